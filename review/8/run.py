"""A route comes back while one daemon is cut off from the others and another one is stopped as planned (see claim.txt)."""

import asyncio
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))

from soaklib import ends, fleet, peers  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DAEMONS = 9
TARGETS = 6
CALLERS = 90
ROUNDS = 9
ROUTE_PORT = 8443
# For so long the route is away; its removal is in force everywhere then.
AWAY_SECONDS = 3.5
# The cut begins this long before the route comes back, and ends so long after that.
CUT_BEFORE = 0.3
CUT_AFTER = 2.5
CALM_SECONDS = 1.5
# The planned stops begin so long after the route is back.
STOP_AFTER = 0.3
# So many daemons are cut off from the others, and so many are stopped at a time.
CUT_OFF = 2
STOPPED = 3


# The figure of the site: `config_apply_ms`.
APPLY = "8s"


class Way(peers.PeerWay):
    """Messages to one daemon; those from daemons on the other side of a cut are lost."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.cut_from = set()

    def datagram_received(self, data, sender):
        if sender[0] not in self.cut_from:
            super().datagram_received(data, sender)

    async def _accept(self, reader, writer):
        if writer.get_extra_info("peername")[0] not in self.cut_from:
            await super()._accept(reader, writer)


class World(fleet.World):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.notes = []
        self.began = time.monotonic()
        self.opened = 0

    def note(self, text):
        self.notes.append(f"{time.monotonic() - self.began:.2f} s: {text}")

    async def board(self, caller, route, draw):
        """A board opens a flow whenever its route is there, and asks on it again and again."""
        number = 0
        while not self.stopping:
            if route not in self.routes:
                await asyncio.sleep(0.02)
                continue
            flow = ends.Flow(caller, route)
            if await flow.connect():
                self.opened += 1
                for _ in range(10):
                    number += 1
                    served = await flow.request(f"feed {caller.ip} {flow.port} {number}".encode())
                    self.checks.count("served" if served else "failed")
                    if not served or self.stopping or route not in self.routes:
                        break
                    await asyncio.sleep(draw.uniform(0.05, 0.15))
                flow.close()
            else:
                self.checks.count("not opened")
                flow.close()
                await asyncio.sleep(0.05)

    def flow_was_reset(self, key):
        before = len(self.checks.broken)
        super().flow_was_reset(key)
        if len(self.checks.broken) > before:
            self.note(f"the system reset {key}")

    def cut(self, some):
        """Each of these is cut off from all other daemons."""
        lost = {it.ip for it in some}
        for it in self.instances:
            it.peers.cut_from = {other.ip for other in self.instances if other is not it} if it in some else lost

    async def play(self):
        server = await asyncio.start_server(self.store.serve, "127.0.0.1", 0)
        self.store_port = server.sockets[0].getsockname()[1]
        self.set_route(443, "records")
        route = self.set_route(ROUTE_PORT, "records")
        for _ in range(TARGETS):
            await self.add_backend("records")
        for it in self.instances:
            await it.prepare()
        tasks = [asyncio.ensure_future(work) for it in self.instances for work in (it.watch(), it.probe())]
        for _ in range(100):
            if all(it.misses == 0 for it in self.instances):
                break
            await asyncio.sleep(0.1)
        else:
            raise RuntimeError("not all daemons are ready after ten seconds")
        await asyncio.sleep(5)
        for n in range(CALLERS):
            caller = await ends.Caller(self, f"127.2.0.{n + 1}").start()
            tasks.append(asyncio.ensure_future(self.board(caller, route, random.Random(n))))
        for number in range(ROUNDS):
            turn = [self.instances[(number * CUT_OFF + n) % DAEMONS] for n in range(DAEMONS)]
            # Whoever is cut off was stopped three rounds ago at the latest, and has been in touch for long.
            cut_off, stopped = turn[:CUT_OFF], turn[-STOPPED:]
            self.set_route(ROUTE_PORT, None)
            self.note(f"version {self.version} without the route")
            await asyncio.sleep(AWAY_SECONDS - CUT_BEFORE)
            if TROUBLE:
                self.cut(cut_off)
                self.note(f"{', '.join(it.name for it in cut_off)} are cut off from the other daemons, not from the store")
            await asyncio.sleep(CUT_BEFORE)
            self.set_route(ROUTE_PORT, "records")
            self.note(f"version {self.version} with the route")
            await asyncio.sleep(STOP_AFTER)
            for it in stopped:
                it.send_signal(signal.SIGTERM)
            self.note(f"SIGTERM to {', '.join(it.name for it in stopped)}")
            await asyncio.sleep(CUT_AFTER)
            self.cut([])
            await asyncio.sleep(CALM_SECONDS)
        self.stopping = True
        for it in self.instances:
            await it.end()
        for it in tasks:
            it.cancel()
        server.close()


async def guarded(world):
    """Plays the case, and ends all daemons whatever happens."""
    task = asyncio.ensure_future(world.play())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        return await task
    finally:
        world.stopping = True
        # A daemon may have been on its way up in the first round.
        for _ in range(2):
            for it in world.instances:
                await it.end()
            await asyncio.sleep(0.2)


def main():
    edge = ROOT / "target" / "chicory-edge"
    if not edge.exists():
        print("target/chicory-edge is missing")
        return 2
    folder = tempfile.mkdtemp(prefix="chicory-case-")
    peers.PeerWay = Way
    fleet.peers.PeerWay = Way
    fleet.SETTINGS = fleet.SETTINGS.replace('apply_within = "3s"', f'apply_within = "{APPLY}"')
    world = World(edge, folder, 1, DAEMONS)
    world.zones = ("a",)
    try:
        asyncio.run(guarded(world))
    except (OSError, RuntimeError, asyncio.CancelledError) as error:
        print(f"could not run: {error}")
        return 2
    counts = " ".join(f"{key.replace(' ', '_')}={value}" for key, value in sorted(world.checks.counts.items()))
    lines = [f"trouble={int(TROUBLE)} flows_opened={world.opened} {counts}", *world.notes, *(f"broken: {it}" for it in world.checks.broken)]
    pathlib.Path("record.txt").write_text("\n".join(lines) + "\n")
    print(lines[0], f"broken={len(world.checks.broken)}", flush=True)
    if os.environ.get("KEEP"):
        print(folder)
    else:
        shutil.rmtree(folder, ignore_errors=True)
    return 1 if world.checks.broken else 0


if __name__ == "__main__":
    sys.exit(main())
