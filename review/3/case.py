"""A target goes down and up twice under its id; its machine's clock is ahead at the first start and right again at the second. Later it drains."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins"))
sys.dont_write_bytecode = True

from deployment import ZONES, main  # noqa: E402

SERVICES = (("records", "safe"), ("certificates", "unsafe"))
# The step of the clock, as `clock_step` has it, and a target that goes down and up with a period of 1.4 s, as `srv_flap`.
AHEAD_MS = 2400
UP_S = DOWN_S = 0.7
CALM_S = 8.0
LINGERS_S = 7.0


def now_ms():
    return int(time.time() * 1000)


async def story(world):
    world.configure(SERVICES)
    ident = 0x7F3A9100
    for service, count in (("records", 2), ("certificates", 1)):
        for zone in ZONES:
            for n in range(count):
                ident += 0x01000193
                await world.add_server(ident, service, zone, n if service == "records" else 3, now_ms())
    await world.start()
    await world.add_clients(lambda it: it.feed(world.routes["records"], 0.3, 10), 4)
    await world.add_clients(lambda it: it.singles(world.routes["records"], 0.1), 3)
    await world.add_clients(lambda it: it.singles(world.routes["certificates"], 0.2), 1)
    await asyncio.sleep(3.0)
    ahead = AHEAD_MS if world.trouble else 0
    target = world.servers[0]
    for step, what in ((ahead, f"its clock is {ahead} ms ahead"), (0, "its clock is right again")):
        target.crash()
        await asyncio.sleep(DOWN_S)
        target = await world.add_server(target.ident, target.service, target.zone, 0, now_ms() + step)
        world.note(f"{target.name} starts again under its id, born {target.born}: {what}")
        await asyncio.sleep(UP_S)
    # Nothing is disturbed for twice the window of stability.
    await asyncio.sleep(CALM_S)
    world.note(f"{target.name} has taken {target.openings} opening packets; it begins to leave")
    target.drain()
    await asyncio.sleep(LINGERS_S)
    target.leave()
    world.note(f"{target.name} has left")
    await asyncio.sleep(1.0)


if __name__ == "__main__":
    sys.exit(main(__file__, story, "DRAIN"))
