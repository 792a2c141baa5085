"""What happens in a soak: planned work and faults, drawn by a seed, overlapping."""

import asyncio
import random
import signal
import time

from . import ends, fleet, names, registrations


async def stop_planned(world):
    world.random.choice(world.instances).send_signal(signal.SIGTERM)


async def reload(world):
    world.random.choice(world.instances).send_signal(signal.SIGHUP)


async def release(world):
    service = world.random.choice(("records", "certificates"))
    await world.add_backend(service)
    await asyncio.sleep(1)
    living = world.living(service)
    if len(living) > 2:
        await world.leave(living[0])


async def routes(world):
    """A route is added and removed; a caller tries it after each time when that must be in force."""
    caller, port = world.prober, 9000 + world.random.randrange(1000)
    route = world.set_route(port, "records")
    await asyncio.sleep(fleet.APPLY_SECONDS + 0.3)
    flow = ends.Flow(caller, route)
    if not await flow.connect() and world.quiet():
        world.checks.breaks("config", f"no flow on a route that was added {fleet.APPLY_SECONDS + 0.3} s before")
    flow.close()
    world.set_route(port, None)
    await asyncio.sleep(fleet.APPLY_SECONDS + 0.3)
    # `World.opening_arrived` says so if a server gets it.
    late = ends.Flow(caller, route)
    await late.connect()
    late.close()


async def kill(world):
    world.disturb()
    for it in world.random.sample(world.instances, world.random.randint(1, len(world.instances))):
        it.send_signal(signal.SIGKILL)


async def pause(world):
    it = world.random.choice(world.instances)
    seconds = world.random.uniform(0.3, 4)
    world.disturb(seconds)
    it.send_signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    it.send_signal(signal.SIGCONT)


async def signals(world, seconds):
    """Stops, reloads and short pauses of one instance after another, in series that overlap, with draws of their own."""

    async def series(draw):
        end = time.monotonic() + seconds
        while not world.planned_only and time.monotonic() < end:
            it = draw.choice(world.instances)
            for kind in draw.choices(("pause", "reload", "stop"), (6, 3, 1), k=draw.randint(1, 5)):
                world.checks.count(f"signal {kind}")
                world.disturb(1)
                if kind == "pause":
                    it.send_signal(signal.SIGSTOP)
                    await asyncio.sleep(draw.uniform(0.05, 1.2))
                    it.send_signal(signal.SIGCONT)
                else:
                    it.send_signal(signal.SIGHUP if kind == "reload" else signal.SIGTERM)
                await asyncio.sleep(draw.uniform(0, 0.5))
            await asyncio.sleep(draw.uniform(0.5, 4))

    await asyncio.gather(*(series(random.Random(f"signals {world.seed} {n}")) for n in range(2)))


async def crash(world):
    service = world.random.choice(("records", "certificates"))
    living = world.living(service)
    if len(living) < 3:
        return
    victim = living[0]
    world.disturb(4)
    victim.end(registered=True)
    await asyncio.sleep(2)
    # Its address goes to another service before its registration lapses.
    other = "certificates" if service == "records" else "records"
    await world.add_backend(other, (victim.ip, victim.port))
    await asyncio.sleep(1.6)
    world.store.remove(victim.key)
    await world.add_backend(service)


async def slow(world):
    """A server takes a second for each request. It lives, so its flows may not be reset."""
    victim = world.random.choice(world.living())
    before, victim.work = victim.work, 1.0
    await asyncio.sleep(world.random.uniform(1, 4))
    victim.work = before


async def peers(world):
    """Messages from other instances to one are lost, late or doubled."""
    way = world.random.choice(world.instances).peers
    seconds = world.random.uniform(0.5, 5)
    world.disturb(seconds)
    way.fault = world.random.choice(("lost", "half_lost", "late", "twice"))
    await asyncio.sleep(seconds)
    way.fault = None


async def store_trouble(world):
    kind = world.random.choice(("down", "busy", "silent"))
    seconds = world.random.uniform(0.5, 5)
    lapse = world.random.random() < 0.5
    world.disturb(seconds + 2)
    world.store.trouble = kind
    lapsed = []
    # A busy store answers watches that wait already, so nothing lapses in it.
    if lapse and kind != "busy":
        lapsed = world.random.sample(world.living(), len(world.living()) // 2)
        for it in lapsed:
            world.store.remove(it.key)
    await asyncio.sleep(seconds)
    world.store.trouble = None
    for it in lapsed:
        await asyncio.sleep(1.8 / len(lapsed))
        if it.alive:
            it.register()


async def store_slow(world):
    seconds = world.random.uniform(1, 4)
    world.disturb(seconds)
    world.store.delay, before = 0.4, 0.004
    await asyncio.sleep(seconds)
    world.store.delay = before


async def store_loses(world):
    seconds = world.random.uniform(1, 4)
    world.disturb(seconds)
    world.store.lose = 0.5
    await asyncio.sleep(seconds)
    world.store.lose = 0.0


async def store_forgets(world):
    world.disturb()
    world.store.forget()


async def connection(world):
    proxy = world.random.choice(world.instances).proxy
    kind = world.random.choice(("reset", "one_way", "silent", "silence_open", "reset_open", "delay"))
    seconds = world.random.uniform(0.5, 5)
    world.disturb(seconds)
    if kind == "silence_open":
        proxy.silence_open()
    elif kind == "reset_open":
        proxy.reset_open()
    elif kind == "delay":
        proxy.delay = 0.3
    else:
        proxy.fault = kind
    await asyncio.sleep(seconds)
    proxy.fault, proxy.delay = None, 0.0


async def drain_zones(world, seconds):
    """Zones are drained in turn beside everything else, with draws of its own: what other seeds play stays as it was."""
    draw = random.Random(len(world.instances))
    end = time.monotonic() + seconds
    while world.drains_zones and time.monotonic() < end:
        zone = draw.choice(world.zones)
        world.checks.count("drain_zone")
        world.drain_zone(zone)
        await asyncio.sleep(fleet.APPLY_SECONDS + draw.uniform(0.1, 2))
        world.restore_zone(zone)
        await asyncio.sleep(draw.uniform(0.1, 2))


async def restore_store(world, draw):
    """The store is away for a moment and comes back from an older copy. Whoever wrote there writes again."""
    seconds = draw.uniform(0.3, 2)
    world.disturb(seconds + 2)
    world.store.trouble = "down"
    await asyncio.sleep(seconds)
    world.store.restore(draw.uniform(0.2, 5))
    world.store.trouble = None
    await asyncio.sleep(draw.uniform(0, 0.5))
    world.write_orders_again()
    for it in world.backends:
        if it.alive:
            await asyncio.sleep(1.0 / len(world.backends))
            it.register()
    # A server that had left is back in the copy until its registration lapses.
    await asyncio.sleep(2.0)
    for it in world.backends:
        if not it.alive:
            world.store.remove(it.key)


async def restore_stores(world, seconds):
    """Beside everything else, with draws of its own."""
    draw = random.Random(world.seed)
    end = time.monotonic() + seconds
    while world.restores and time.monotonic() < end:
        await asyncio.sleep(draw.uniform(1, 5))
        world.checks.count("restore_store")
        await restore_store(world, draw)


async def fail_in_part(world, seconds):
    """Servers fail a share of their requests while they say that they are well, beside everything else, with draws of
    their own. Once they are well again, they must get new flows again."""
    draw = world.fault_draw
    end = time.monotonic() + seconds
    failed = set()
    while world.balances and time.monotonic() < end:
        victim = draw.choice(world.living())
        kind = draw.choice(("errors", "resets", "hangs"))
        world.checks.count(f"fail_in_part {kind}")
        # Requests that were lost to it may count as lost by planned work.
        world.disturb(1)
        victim.fault, victim.fault_share = kind, 0.6
        await asyncio.sleep(draw.uniform(1, 3))
        victim.fault = None
        failed.add(victim)
        await asyncio.sleep(draw.uniform(0.2, 2))
    world.failed_in_part = failed


async def press(world, seconds):
    """Callers press: three times as many of them for a while, beside everything else."""
    draw = world.fault_draw
    end = time.monotonic() + seconds
    while world.balances and time.monotonic() < end:
        await asyncio.sleep(draw.uniform(1, 3))
        world.checks.count("press")
        world.pressing = True
        crowd = [asyncio.ensure_future(world.press(n)) for n in range(16)]
        await asyncio.sleep(draw.uniform(1, 3))
        world.pressing = False
        await asyncio.gather(*crowd)


PLANNED = (stop_planned, reload, release, routes)
FAULTS = (kill, pause, crash, store_trouble, store_slow, store_loses, store_forgets, connection, slow, peers)


async def play(world, seconds):
    """Starts one thing after another; they overlap."""
    end = time.monotonic() + seconds
    kinds = PLANNED if world.planned_only else PLANNED + FAULTS + FAULTS
    running = {asyncio.ensure_future(it(world, seconds)) for it in (drain_zones, restore_stores, fail_in_part, press, signals, registrations.play, *names.PLAYS)}
    while time.monotonic() < end:
        kind = world.random.choice(kinds)
        world.checks.count(kind.__name__)
        running.add(asyncio.ensure_future(kind(world)))
        await asyncio.sleep(world.random.uniform(0.3, 1.5))
    if running:
        await asyncio.gather(*running)
    if world.planned_only and world.checks.counts.get("failed", 0):
        world.checks.breaks("cut", f"{world.checks.counts['failed']} requests lost to planned work")
