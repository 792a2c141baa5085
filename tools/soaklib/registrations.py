"""What the registry holds beside the servers' own heartbeats: writes that it executes late, and entries of others.

Each runs beside everything else, with draws of its own, so that what a seed plays otherwise stays as it was."""

import asyncio
import json
import random

from . import ends

# An address is free for this long after its server's end.
ADDRESS_UNUSED = 2.0
# An entry is removed after three heartbeats of silence.
LAPSE = 3 * ends.HEARTBEAT
# A call without an answer may be executed so much later.
LATE = (1.0, 6.0)


async def late_last_write(world, draw):
    """A server crashes with a write on the way, another one starts at its address, and the write is executed."""
    living = [it for it in world.living() if len(world.living(it.service)) > 2]
    if not living:
        return
    old = draw.choice(living)
    last = old.entry()
    world.disturb(4)
    old.end(registered=True)
    late = draw.uniform(*LATE)

    async def next_owner():
        await asyncio.sleep(ADDRESS_UNUSED + draw.uniform(0.02, 1))
        await world.add_backend(draw.choice(world.services()), (old.ip, old.port))

    async def entry():
        await asyncio.sleep(LAPSE - draw.uniform(0, ends.HEARTBEAT))
        world.store.remove(old.key)
        await asyncio.sleep(max(late - LAPSE, 0))
        world.store.put(old.key, last)
        await asyncio.sleep(LAPSE)
        world.store.remove(old.key)

    await asyncio.gather(next_owner(), entry())


async def late_write_after_drain(world, draw):
    """A write from before a server's drain is executed after it."""
    living = [it for it in world.living() if len(world.living(it.service)) > 2]
    if not living:
        return
    server = draw.choice(living)
    await world.add_backend(server.service)
    before = server.entry()
    server.register()
    leaving = asyncio.ensure_future(world.leave(server))
    await asyncio.sleep(draw.uniform(0.2, 3))
    if server.alive:
        world.store.put(server.key, before)
    await leaving


async def entry_of_another_writer(world, draw):
    """An entry with the address of a running server, under a key of its own; whole, damaged, or of a service that nobody has
    configured."""
    server = draw.choice(world.living())
    value = json.loads(server.entry()) | {"sequence": 1}
    kind = draw.choice(("unknown service", "whole", "damaged"))
    if kind == "unknown service":
        value["service"] = "node-metrics"
    elif kind == "damaged":
        value.pop(draw.choice(("zone", "slots", "state")))
    world.checks.count(f"entry of another writer, {kind}")
    key = f"servers/agent-{draw.randrange(1 << 40):x}"
    world.store.put(key, json.dumps(value))
    await asyncio.sleep(draw.uniform(1, 8))
    world.store.remove(key)


async def start_with_an_earlier_clock(world, draw):
    """A server starts again under its id and at its address, with a clock that was ahead at the former start."""
    living = [it for it in world.living() if len(world.living(it.service)) > 2]
    if not living:
        return
    world.disturb(4)
    await draw.choice(living).start_again(draw.uniform(-3, 3))


KINDS = (late_last_write, late_write_after_drain, entry_of_another_writer, start_with_an_earlier_clock)


async def play(world, seconds):
    """In series, and two series at a time."""

    async def series(draw):
        end = asyncio.get_running_loop().time() + seconds
        while not world.planned_only and asyncio.get_running_loop().time() < end:
            kind = draw.choice(KINDS)
            world.checks.count(kind.__name__)
            await kind(world, draw)
            await asyncio.sleep(draw.uniform(0, 1))

    await asyncio.gather(*(series(random.Random(f"registrations {world.seed} {n}")) for n in range(2)))
