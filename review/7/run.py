"""A deployment with as many servers as a whole fleet loses all daemons but one, which restarts (see claim.txt)."""

import asyncio
import json
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

from soaklib import ends, fleet  # noqa: E402

# The exit code for a broken rule; run.sh makes 1 of it.
BROKEN = 10
# What counts of the things that the stand-ins notice.
BREAKS = ("CONFIG", "DRAIN")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DAEMONS = 40
FIRST = 4
SERVICE = "records"
# Servers that take flows here, and those of the other service, whose entries alone matter.
RUNNING = 12
REGISTERED = 10_000
ZONES = ("a", "b", "c", "d", "e")
# The figures of the site: stability_window_ms, drain_ms, config_apply_ms.
WINDOW = 8.0
BOUND = 8.0
# The checks leave out this much more than the rules do: a copy of an opening is sent 0.6 s after the first one.
SLACK = 0.7
CALLERS = 20

SETTINGS = fleet.SETTINGS.replace('apply_within = "3s"', 'apply_within = "8s"')

# Every address is a loopback address, also that of the routes.
fleet.ROUTE_IP = "127.9.0.1"

# For each request: when it was sent first, when it was answered, and when and where it was run.
REQUESTS = {}


class Flow(ends.Flow):
    async def request(self, name):
        row = REQUESTS.setdefault(name, {"run": []})
        row["sent"] = time.monotonic()
        served = await super().request(name)
        if served:
            row["answered"] = time.monotonic()
        return served


class Backend(ends.Backend):
    async def _run(self, packet, key):
        if packet.data not in self.answers:
            REQUESTS.setdefault(packet.data, {"run": []})["run"].append((time.monotonic(), self.key))
        await super()._run(packet, key)


ends.Flow, ends.Backend = Flow, Backend


def request_lines(began):
    """A line for each request, with seconds since the start."""
    for name, row in REQUESTS.items():
        sent, answered = (f"{row[it] - began:.3f}" if it in row else "never" for it in ("sent", "answered"))
        run = ", ".join(f"{at - began:.3f} at {key}" for at, key in row["run"]) or "never"
        yield f"request {name.decode()}: sent {sent}, answered {answered}, run {run}"


class Instance(fleet.Instance):
    async def prepare(self):
        await super().prepare()
        self.settings.write_text(self.settings.read_text().replace('apply_within = "3s"', 'apply_within = "8s"'))


class World(fleet.World):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.instances = [Instance(self, n + 1) for n in range(DAEMONS)]
        self.alive = []
        self.notes = []
        self.began = time.monotonic()
        self.restarted_at = None
        self.last_sent = {}

    def note(self, text):
        self.notes.append(f"{time.monotonic() - self.began:.2f} s: {text}")

    def in_touch(self):
        """The only daemon runs for so long that the rules count it."""
        return self.restarted_at is None or time.monotonic() - self.restarted_at > WINDOW + SLACK

    def router(self, key):
        # Machines that were removed are no longer there; the others of the zone are used even if they are not ready.
        ready = [it for it in self.alive if it.misses < 2]
        if len(ready) * 2 < len(self.alive):
            ready = self.alive
        best = max(ready, key=lambda it: hash((key, it.ip)))
        return best.ip, self.port

    def opening_arrived(self, backend, key):
        now = time.monotonic()
        self.checks.count("openings")
        if not self.in_touch():
            return
        if backend.draining_since and now - backend.draining_since > BOUND + SLACK:
            self.checks.breaks("DRAIN", f"an opening at {backend.key} {now - backend.draining_since:.2f} s after the store acknowledged its drain")
        gone = self.dropped.get(key[2:])
        if gone and now - gone > BOUND + SLACK:
            self.checks.breaks("CONFIG", f"an opening at {backend.key} on a route that was dropped {now - gone:.2f} s before")

    async def orders(self, caller, route, draw):
        number = 0
        while not self.stopping:
            number += 1
            flow = ends.Flow(caller, route)
            if await flow.connect():
                served = await flow.request(f"order {caller.ip} {flow.port} {number}".encode())
                self.checks.count("served" if served else "failed")
            else:
                self.checks.count("not opened")
            flow.close()
            await asyncio.sleep(draw.uniform(0.05, 0.15))

    def register_others(self):
        for n in range(REGISTERED - RUNNING):
            value = {"service": "certificates", "address": f"127.{10 + n // 60000}.{n // 250 % 240}.{n % 250 + 1}:9", "zone": ZONES[n % len(ZONES)], "version": "v1", "slots": 2, "state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": 1_700_000_000_000 + n}
            self.store.put(f"servers/i-{0x40000000 + n * 37:x}", json.dumps(value))

    async def until_ready(self, instances, seconds):
        for _ in range(int(seconds * 10)):
            if all(it.misses == 0 for it in instances):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("not all daemons are ready in time")

    async def until(self, what, seconds):
        for _ in range(int(seconds * 10)):
            if what():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the directory was not written in time")

    def directory_revision(self):
        return max((it["revision"] for key, it in self.store.items.items() if key.startswith("chicorybank/start/")), default=0)

    async def start(self, instances):
        for it in instances:
            await it.prepare()
            await it.start()
            self.tasks.append(asyncio.ensure_future(it.probe()))
            self.alive.append(it)

    async def play(self):
        server = await asyncio.start_server(self.store.serve, "127.0.0.1", 0, backlog=1000)
        self.store_port = server.sockets[0].getsockname()[1]
        self.tasks = []
        kept, dropped = self.set_route(443, SERVICE), self.set_route(8443, SERVICE)
        self.register_others()
        for _ in range(RUNNING):
            await self.add_backend(SERVICE)
        await self.start(self.instances[:FIRST])
        await self.until_ready(self.alive, 20)
        self.note(f"{FIRST} daemons are ready")
        await self.until(self.directory_revision, 20)
        for n in range(FIRST, DAEMONS, 6):
            await self.start(self.instances[n : n + 6])
            await self.until_ready(self.alive, 20)
        self.note(f"{DAEMONS} daemons are ready")
        # A server is added, as in any release, and the directory is written anew.
        before = self.directory_revision()
        await asyncio.sleep(2)
        for _ in range(len(ZONES)):
            await self.add_backend(SERVICE)
        await self.until(lambda: self.directory_revision() > before, 15)
        self.note("the directory names all daemons")
        await asyncio.sleep(2)
        for n in range(CALLERS):
            caller = await ends.Caller(self, f"127.2.0.{n + 1}").start()
            self.tasks.append(asyncio.ensure_future(self.orders(caller, (kept, dropped)[n % 2], random.Random(n))))
        await asyncio.sleep(2)
        # The wait before its first list is drawn from its name; most names draw a long one.
        only = self.instances[1]
        if TROUBLE:
            for it in self.instances:
                it.send_signal(signal.SIGKILL)
            await asyncio.sleep(0.5)
            self.alive = [only]
            only.misses = 2
            await only.start()
            self.restarted_at = time.monotonic()
            self.note(f"all daemons were killed, and {only.name} has started again; the others do not come back")
        await asyncio.sleep(3)
        leaving = next(it for it in self.backends if it.zone == "a")
        leaving.drain()
        self.note(f"the store has acknowledged that {leaving.key} is draining")
        self.set_route(8443, None)
        self.note("the store has acknowledged a configuration without the second route")
        await asyncio.sleep(BOUND + 8)
        self.stopping = True
        for it in self.instances:
            await it.end()
        for it in self.tasks:
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
    world = World(edge, folder, 1, DAEMONS)
    world.zones = ZONES
    try:
        asyncio.run(guarded(world))
    except (OSError, RuntimeError, asyncio.CancelledError) as error:
        print(f"could not run: {error}", *world.notes, sep="\n")
        return 2
    kinds = {}
    for it in world.checks.broken:
        kinds[it.split(":")[0]] = kinds.get(it.split(":")[0], 0) + 1
    counts = " ".join(f"{key.replace(' ', '_')}={value}" for key, value in sorted(world.checks.counts.items()))
    lines = [f"trouble={int(TROUBLE)} {counts} broken={kinds}", *world.notes, *(f"broken: {it}" for it in world.checks.broken[:400])]
    pathlib.Path("record.txt").write_text("\n".join([*lines, *request_lines(world.began)]) + "\n")
    print(lines[0], flush=True)
    if os.environ.get("KEEP"):
        print(folder)
    else:
        shutil.rmtree(folder, ignore_errors=True)
    if any(it in BREAKS for it in kinds):
        return BROKEN
    # Anything else, such as a port that another program has taken, says nothing about the rule.
    return 2 if kinds else 0


if __name__ == "__main__":
    sys.exit(main())
