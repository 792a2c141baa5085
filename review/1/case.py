"""Another writer's entry names a service that the configuration does not name, at the address of a target that lives."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins"))
sys.dont_write_bytecode = True

from deployment import ZONES, main  # noqa: E402

SERVICES = (("records", "safe"), ("certificates", "unsafe"))
CALM_S = 8.0
WATCH_S = 10.0


async def story(world):
    world.configure(SERVICES)
    ident = 0x7F3A9100
    for service, count in (("records", 3), ("certificates", 1)):
        for zone in ZONES:
            for n in range(count):
                ident += 0x01000193
                await world.add_server(ident, service, zone, n if service == "records" else 3)
    await world.start()
    await world.add_clients(lambda it: it.feed(world.routes["records"], 0.3, 60), 30)
    await world.add_clients(lambda it: it.singles(world.routes["certificates"], 0.2), 2)
    # The traffic is steady, and all machines are in touch.
    await asyncio.sleep(CALM_S)
    victim = world.servers[0]
    if world.trouble:
        entry = {"service": "node-metrics", "address": f"{victim.ip}:{victim.port}", "zone": victim.zone, "version": "v1", "slots": 1, "state": "ready", "warmup_left_ms": 0, "sequence": 1}
        world.store.put("servers/i-0badcafe", json.dumps(entry))
        world.note(f"another writer's entry is in the store: service node-metrics at the address of {victim.name}")
    openings = victim.openings
    await asyncio.sleep(WATCH_S)
    world.note(f"{victim.name} lives; it took {victim.openings - openings} opening packets in the last {WATCH_S:.0f} s")


if __name__ == "__main__":
    sys.exit(main(__file__, story, "FLOW"))
