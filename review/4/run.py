"""Planned stops of single daemons while callers open flows (see claim.txt)."""

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

from soaklib import ends, fleet  # noqa: E402

# The exit code for a broken rule; run.sh makes 1 of it.
BROKEN = 10
# What counts of the things that the stand-ins notice.
BREAKS = ("second server", "reset")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SECONDS = 60.0
DAEMONS = 2
TARGETS = 4
# Callers that hold one flow at a time each.
CALLERS = 150
# One way between callers and the platform, as at Kigali.
CALLER_DELAY = 0.003
WORK_SECONDS = 0.005
# From one planned stop to the next; a stop and the restart take about three seconds.
BETWEEN_STOPS = 4.0
# A flow that breaks within so much time of a pause of the stand-ins themselves is not counted.
LAG_SECONDS = 0.4
MAX_LAG = 0.012

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


class DelayedTransport:
    """Sends each datagram after the link's delay."""

    def __init__(self, transport):
        self.transport = transport

    def sendto(self, raw, to):
        asyncio.get_running_loop().call_later(CALLER_DELAY, self.transport.sendto, raw, to)

    def close(self):
        self.transport.close()


class DistantCaller(ends.Caller):
    async def start(self):
        await super().start()
        self.transport = DelayedTransport(self.transport)
        return self

    def datagram_received(self, raw, sender):
        asyncio.get_running_loop().call_later(CALLER_DELAY, super().datagram_received, raw, sender)


class World(fleet.World):
    opened = 0
    lag = 0.0
    lagged_at = 0.0

    def server_reset(self, key, sender):
        # Pauses of this process delay callers and servers, which the pages do not name; what they cause is left out.
        if time.monotonic() - self.lagged_at < LAG_SECONDS:
            return self.checks.count("reset after an own pause")
        super().server_reset(key, sender)

    async def board(self, caller, route, draw):
        """A board opens a flow, asks twice on it, and closes it."""
        number = 0
        while not self.stopping:
            flow = ends.Flow(caller, route)
            if await flow.connect():
                self.opened += 1
                for _ in range(2):
                    number += 1
                    served = await flow.request(f"feed {caller.ip} {flow.port} {number}".encode())
                    self.checks.count("served" if served else "failed")
                    if not served or self.stopping:
                        break
                    await asyncio.sleep(draw.uniform(0.05, 0.2))
            else:
                self.checks.count("not opened")
            flow.close()
            await asyncio.sleep(draw.uniform(0.0, 0.02))

    async def watch_lag(self):
        while not self.stopping:
            before = time.monotonic()
            await asyncio.sleep(0.005)
            lag = time.monotonic() - before - 0.005
            self.lag = max(self.lag, lag)
            if lag > MAX_LAG:
                self.lagged_at = time.monotonic()

    async def play(self):
        server = await asyncio.start_server(self.store.serve, "127.0.0.1", 0)
        self.store_port = server.sockets[0].getsockname()[1]
        route = self.set_route(443, "records")
        for _ in range(TARGETS):
            (await self.add_backend("records")).work = WORK_SECONDS
        for it in self.instances:
            await it.prepare()
        tasks = [asyncio.ensure_future(work) for it in self.instances for work in (it.watch(), it.probe())]
        for _ in range(100):
            if all(it.misses == 0 for it in self.instances):
                break
            await asyncio.sleep(0.1)
        else:
            raise RuntimeError("not all daemons are ready after ten seconds")
        tasks.append(asyncio.ensure_future(self.watch_lag()))
        for n in range(CALLERS):
            caller = await DistantCaller(self, f"127.2.0.{n + 1}").start()
            tasks.append(asyncio.ensure_future(self.board(caller, route, random.Random(n))))
        # The stand-ins settle first.
        await asyncio.sleep(5)
        self.lag = 0.0
        end = time.monotonic() + SECONDS
        number = 0
        stops = []
        while time.monotonic() < end:
            if TROUBLE:
                it = self.instances[number % DAEMONS]
                stops.append((time.monotonic(), it.name))
                it.send_signal(signal.SIGTERM)
                number += 1
            await asyncio.sleep(BETWEEN_STOPS)
        self.stopping = True
        for it in self.instances:
            await it.end()
        for it in tasks:
            it.cancel()
        server.close()
        return stops


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
    world.zones = ("a",)
    begin = time.monotonic()
    try:
        stops = asyncio.run(guarded(world))
    except (OSError, RuntimeError, asyncio.CancelledError) as error:
        print(f"could not run: {error}")
        return 2
    counts = " ".join(f"{key.replace(' ', '_')}={value}" for key, value in sorted(world.checks.counts.items()))
    lines = [f"trouble={int(TROUBLE)} flows_opened={world.opened} {counts} worst_lag_ms={world.lag * 1000:.1f}"]
    lines += [f"{at - begin:.1f} s: SIGTERM to {name}" for at, name in stops]
    lines += [f"broken: {it}" for it in world.checks.broken]
    pathlib.Path("record.txt").write_text("\n".join([*lines, *request_lines(begin)]) + "\n")
    print(lines[0], f"broken={len(world.checks.broken)}", flush=True)
    if os.environ.get("KEEP"):
        print(folder)
    else:
        shutil.rmtree(folder, ignore_errors=True)
    if any(it.split(":")[0] in BREAKS for it in world.checks.broken):
        return BROKEN
    # Anything else, such as a port that another program has taken, says nothing about the rule.
    return 2 if world.checks.broken else 0


if __name__ == "__main__":
    sys.exit(main())
