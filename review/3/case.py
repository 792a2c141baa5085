"""The last heartbeat of a target that crashed gets no answer; the store executes it seconds later, when another target has its address."""

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins"))
sys.dont_write_bytecode = True

from deployment import BOUNDS, ZONES, main  # noqa: E402
from parties import HEARTBEAT_S, Server  # noqa: E402

SERVICES = (("records", "safe"), ("certificates", "unsafe"))
CALM_S = 6.0
# A call without an answer "may be executed seconds later"; `platform_lost`, how late: 1 to 6 s.
EXECUTED_AFTER_S = 5.9
# When one machine is stopped and started as planned, and again, in seconds after the crash; the end of the run.
STOPS_S = (14.0, 26.5)
ENDS_S = 32.0


async def story(world):
    world.configure(SERVICES)
    ident = 0x7F3A9100
    for service, count in (("records", 3), ("certificates", 2)):
        for zone in ZONES:
            for n in range(count):
                ident += 0x01000193
                await world.add_server(ident, service, zone, n if service == "records" else 3 + n)
    await world.start()
    zone = list(ZONES)[0]
    await world.add_clients(lambda it: it.feed(world.routes["records"], 0.3, 25), 45, (zone,))
    await world.add_clients(lambda it: it.feed(world.routes["records"], 0.3, 25), 5)
    await world.add_clients(lambda it: it.singles(world.routes["certificates"], 0.2), 2)
    await asyncio.sleep(CALM_S)
    # A target of certificates crashes while its heartbeat is on the way; the one before was answered.
    old = next(it for it in world.servers if it.service == "certificates" and it.zone == zone)
    sequence = old.sequence
    while old.sequence == sequence:
        await asyncio.sleep(0.01)
    await asyncio.sleep(HEARTBEAT_S - 0.05)
    last = json.loads(old.entry())
    old.crash()
    world.store_disturbed = time.monotonic()
    world.note(f"{old.name} crashed; its last heartbeat has no answer")
    loop = asyncio.get_running_loop()
    crashed = loop.time()

    async def until(seconds):
        await asyncio.sleep(max(crashed + seconds - loop.time(), 0))

    await until(BOUNDS["addr_reuse_s"] + 0.05)
    new = await Server(world, 0x5EED0002, "records", old.zone, old.ip, old.port).start()
    world.servers.append(new)
    world.note(f"{new.name} of records starts at its address")
    # Three heartbeat intervals after the last heartbeat that the store has executed.
    await until(3 * HEARTBEAT_S - HEARTBEAT_S)
    world.store.remove(old.key)
    world.note(f"the entry of {old.name} has expired")
    await until(EXECUTED_AFTER_S)
    if world.trouble:
        world.store.put(old.key, json.dumps(last))
        world.note(f"the store executes the last heartbeat of {old.name}, {EXECUTED_AFTER_S} s after it was sent")
    openings = new.openings
    # Three heartbeat intervals without another heartbeat.
    await until(EXECUTED_AFTER_S + 3 * HEARTBEAT_S)
    world.store.remove(old.key)
    world.note(f"{new.name} lives; it took {new.openings - openings} opening packets since then")
    machine = next(it for it in world.edges if it.zone == zone)
    for at in STOPS_S:
        await until(at)
        openings = new.openings
        await machine.stop_planned()
    await until(ENDS_S)
    world.note(f"{new.name} lives; it took {new.openings - openings} opening packets since the last stop")


if __name__ == "__main__":
    sys.exit(main(__file__, story, "FLOW"))
