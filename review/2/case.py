"""One machine stands still for four seconds. When it wakes, it forwards the opening packets that waited in its socket."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins"))
sys.dont_write_bytecode = True

from deployment import ZONES, main  # noqa: E402

SERVICES = (("records", "safe"), ("certificates", "unsafe"))
CALM_S = 8.0
FROZEN_S = 4.0
WATCH_S = 3.5


async def story(world):
    world.configure(SERVICES)
    ident = 0x7F3A9100
    for service, count in (("records", 4), ("certificates", 1)):
        for zone in ZONES:
            for n in range(count):
                ident += 0x01000193
                await world.add_server(ident, service, zone, n if service == "records" else 4)
    await world.start()
    zone = list(ZONES)[1]
    await world.add_clients(lambda it: it.feed(world.routes["records"], 0.15, 21), 110, (zone,))
    await world.add_clients(lambda it: it.feed(world.routes["records"], 0.5, 10), 5)
    # The traffic is steady, and all machines are in touch.
    await asyncio.sleep(CALM_S + world.random.uniform(0, 0.5))
    machine = next(it for it in world.edges if it.zone == zone)
    if not world.trouble:
        return await asyncio.sleep(FROZEN_S + WATCH_S)
    begin = time.monotonic()
    machine.process.send_signal(signal.SIGSTOP)
    world.note(f"{machine.name} stands still")
    # It wakes between two questions of the platform, so it stays out of rotation until the next one.
    await asyncio.sleep(FROZEN_S - 0.6)
    await machine.missed.wait()
    machine.process.send_signal(signal.SIGCONT)
    world.disturbed[machine.ip] = time.monotonic()
    world.note(f"{machine.name} wakes after {time.monotonic() - begin:.2f} s")
    await asyncio.sleep(WATCH_S)


if __name__ == "__main__":
    sys.exit(main(__file__, story, "FLOW"))
