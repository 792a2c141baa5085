"""Names and numbers that look alike, crowds at planned stops, and instances that are left alone.

Each runs beside everything else, with draws of its own, so that what a seed plays otherwise stays as it was."""

import asyncio
import json
import random
import signal

from . import ends

# Names of services of which two each have one hash of 32 bits.
NAMESAKES = (("moci18a", "jawe17b"), ("service-137637", "service-161609"))
# One seed in so many has each of these; crowds come with planned work alone.
NAMESAKES_EVERY = 3
LONE_EVERY = 5
OLDER_EVERY = 3
# Entries of a service without traffic: so many that a first list could wait for seconds.
IDLE_SERVERS = 3000
CROWD = 150
# One way between the callers of a crowd and the platform: a handshake takes longer than a stop needs to be noticed.
CROWD_DELAY = 0.008


class DistantCaller(ends.Caller):
    """A caller at a distance: its packets and those for it take a while."""

    async def start(self):
        await super().start()
        send, later = self.transport.sendto, asyncio.get_running_loop().call_later
        self.transport.sendto = lambda raw, to: later(CROWD_DELAY, send, raw, to)
        return self

    def datagram_received(self, raw, sender):
        asyncio.get_running_loop().call_later(CROWD_DELAY, super().datagram_received, raw, sender)


async def crowd(world, seconds):
    """Many callers open flows while instances are stopped, one after the other."""
    if not world.planned_only:
        return
    draw = random.Random(f"crowd {world.seed}")
    route = next(it for it, to in world.routes.items() if to == world.services()[0])
    end = asyncio.get_running_loop().time() + seconds

    async def call(number):
        caller = await DistantCaller(world, f"127.2.4.{number + 1}").start()
        while asyncio.get_running_loop().time() < end:
            flow = ends.Flow(caller, route)
            if await flow.connect():
                for part in range(2):
                    served = await flow.request(f"crowd {number} {flow.port} {part}".encode())
                    world.checks.count("crowd served" if served else "crowd failed")
                    await asyncio.sleep(draw.uniform(0.05, 0.2))
            flow.close()
        # What is on its way is still sent.
        await asyncio.sleep(2 * CROWD_DELAY)
        caller.transport.close()

    callers = [asyncio.ensure_future(call(n)) for n in range(CROWD)]
    number = 0
    while asyncio.get_running_loop().time() < end:
        await asyncio.sleep(draw.uniform(2, 4))
        for _ in range(draw.randint(1, 2)):
            world.instances[number % len(world.instances)].send_signal(signal.SIGTERM)
            number += 1
    await asyncio.gather(*callers)


async def namesakes(world, seconds):
    """Two services whose names have one hash, each with a route, servers and callers of its own."""
    if world.seed % NAMESAKES_EVERY != 0:
        return
    draw = random.Random(f"namesakes {world.seed}")
    tasks = []
    for number, service in enumerate(draw.choice(NAMESAKES)):
        await asyncio.sleep(draw.uniform(0, seconds / 4))
        for _ in range(3):
            await world.add_backend(service)
        route = world.set_route(9443 + number, service)
        caller = await ends.Caller(world, f"127.2.5.{number + 1}").start()
        tasks.append(asyncio.ensure_future(world.orders(caller, route)))
    await asyncio.sleep(seconds / 2)
    for it in tasks:
        it.cancel()
    world.checks.count("namesakes")


async def numbers(world, seconds):
    """Entries of another writer at keys with the number of a running server's id come and go."""
    draw = random.Random(f"numbers {world.seed}")
    end = asyncio.get_running_loop().time() + seconds
    while not world.planned_only and asyncio.get_running_loop().time() < end:
        server = draw.choice(world.living())
        key = f"servers/{draw.choice(('agent-', 'z-', 'i-0', 'a-i-', ''))}{server.ident:x}"
        value = json.loads(server.entry()) | {"sequence": 1}
        kind = draw.choice(("damaged", "whole", "unknown service", "other service"))
        if kind == "damaged":
            for it in draw.sample(("state", "warmup_left_ms", "sequence", "version", "zone"), 2):
                value.pop(it)
        elif kind != "whole":
            value["service"] = "node-metrics" if kind == "unknown service" else draw.choice(world.services())
        world.checks.count(f"entry with a server's number, {kind}")
        world.store.put(key, json.dumps(value))
        await asyncio.sleep(draw.uniform(0.5, 4))
        world.store.remove(key)
        await asyncio.sleep(draw.uniform(0, 1))


def has_older_entries(world):
    return not world.planned_only and world.seed % OLDER_EVERY == 2


def older_entries(world):
    """Keys with the numbers of two servers' ids, and the servers."""
    return [(f"servers/agent-{it.ident:x}", it) for it in world.backends[:2]]


def register_older_entries(world):
    """Another writer's entries of an unknown service, at keys that are older than those of the servers."""
    if not has_older_entries(world):
        return
    for key, server in older_entries(world):
        world.store.remove(server.key)
        world.store.put(key, json.dumps(json.loads(server.entry()) | {"service": "node-metrics", "sequence": 1}))
        server.register()


async def older_entries_end(world, seconds):
    if not has_older_entries(world):
        return
    keys = [key for key, _ in older_entries(world)]
    await asyncio.sleep(seconds / 2)
    for it in keys:
        world.store.remove(it)
    world.checks.count("older entries ended")


def register_idle_servers(world):
    if world.planned_only or world.seed % LONE_EVERY != 1:
        return
    for n in range(IDLE_SERVERS):
        value = {"service": "idle", "address": f"127.20.{n // 250}.{n % 250 + 1}:9", "zone": world.zones[0], "version": "v1", "slots": 2, "state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": 1_700_000_000_000 + n}
        world.store.put(f"servers/i-{0x70000000000 + n * 37:x}", json.dumps(value))


async def left_alone(world, seconds):
    """All instances are killed, and for a while one alone starts again; changes must be in force there in time."""
    draw = random.Random(f"alone {world.seed}")
    end = asyncio.get_running_loop().time() + seconds
    while not world.planned_only and world.seed % LONE_EVERY == 1 and asyncio.get_running_loop().time() < end:
        await asyncio.sleep(draw.uniform(2, 4))
        world.checks.count("left alone")
        world.disturb()
        only = draw.choice(world.instances)
        for it in world.instances:
            it.held = it is not only
            it.send_signal(signal.SIGKILL)
        await asyncio.sleep(draw.uniform(6, 10))
        world.disturb()
        for it in world.instances:
            it.held = False


PLAYS = (crowd, namesakes, numbers, left_alone, older_entries_end)
