"""A small deployment on loopback: chicory-edge processes as the deploy file starts them, the store, the routers, and a
record of what was sent, answered and run."""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import zlib

from parties import ROOT, Client, Server, Store, wire

ZONES = {"gikondo": 3, "kacyiru": 2, "remera": 2}
# Names the routes inside the packets; nothing listens there.
ROUTE_IP = "127.9.0.1"
# The bounds of a small site, as DEPLOY.md shows them.
BOUNDS = {"seed_lag_s": 3, "addr_reuse_s": 2, "stability_window_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6, "lost_slack_ms": 200, "config_apply_ms": 3000, "rollback_slack_ms": 250, "max_skew_ms": 12000, "recover_s": 12, "reorder_window_ms": 2000, "max_flow_s": 60}
CONTRACTS = ["base", "drain", "config", "cost", "recover", "flows", "platform"]
# The platform asks each machine twice a second; an answer that takes half of that time is a miss.
PROBE_EVERY_S = 0.5
PROBE_TIMEOUT_S = 0.25
# The exit code of a case; run.sh turns it into 1.
RULE_BROKEN = 3


def free_port():
    """A port below those that the system hands out."""
    while True:
        port = random.SystemRandom().randrange(10000, 31000)
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def fill(template, fields):
    """The settings template, filled in with the few forms of placeholders that it uses."""

    def value(path):
        out = fields
        for part in path.split("."):
            out = out[int(part)] if isinstance(out, list) else out[part]
        return out

    def section(match):
        rows = value(match[1])
        return "".join(match[2].replace("{{.}}", str(it)).replace("{{,}}", "," if n + 1 < len(rows) else "") for n, it in enumerate(rows))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda it: str(value(it[1])), text)


class Edge:
    """One machine with its chicory-edge process."""

    def __init__(self, world, zone, number):
        self.world, self.zone = world, zone
        self.name = f"front-{zone}-{number + 1}"
        self.ip = f"127.1.{list(ZONES).index(zone) + 1}.{number + 1}"
        self.misses = 2
        self.missed = asyncio.Event()
        self.wanted = True
        self.process = None

    async def start(self):
        role = self.world.role
        fields = {"node_name": self.name, "ip": self.ip, "zone": self.zone, "listen": {"datagram_addr": f"{self.ip}:{self.world.port}", "ready": f"{self.ip}:{self.world.ready_port}"}, "internal_ports": [self.world.peer_port, self.world.peer_port + 15], "platform": {"address": f"127.0.0.1:{self.world.store_port}"}, "contracts": CONTRACTS, "bounds": BOUNDS}
        settings = self.world.folder / f"{self.name}.toml"
        settings.write_text(fill((ROOT / role["template"]).read_text(), fields))
        environment = {"PATH": os.environ["PATH"], "HOME": str(self.world.folder), "LANG": "C", "CHICORYBANK_NODE_FILE": str(settings)}
        with open(self.world.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(*role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log)

    async def probe(self):
        """Twice a second, however long an answer takes."""
        due = time.monotonic()
        while self.wanted:
            if await self._ready():
                self.misses = 0
            else:
                self.misses += 1
                self.missed.set()
                self.missed.clear()
            due += PROBE_EVERY_S
            await asyncio.sleep(max(due - time.monotonic(), 0))

    async def _ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, self.world.ready_port), PROBE_TIMEOUT_S)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), PROBE_TIMEOUT_S)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def stop_planned(self):
        """SIGTERM, and a start a moment after the process has ended."""
        self.world.disturbed[self.ip] = time.monotonic()
        self.world.note(f"{self.name} gets SIGTERM, as planned")
        self.process.send_signal(signal.SIGTERM)
        await self.process.wait()
        await asyncio.sleep(0.3)
        await self.start()
        self.world.disturbed[self.ip] = time.monotonic()
        self.world.note(f"{self.name} starts again")

    async def end(self):
        self.wanted = False
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class World:
    def __init__(self, case):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = open(pathlib.Path(case) / "record.txt", "w")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.begin = time.monotonic()
        self.role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["edge"]
        self.store = Store()
        self.random = random.Random(os.environ.get("SEED"))
        self.port, self.ready_port, self.peer_port, self.server_port = free_port(), free_port(), free_port(), free_port()
        self.edges = [Edge(self, zone, n) for zone, count in ZONES.items() for n in range(count)]
        self.servers, self.clients, self.tasks = [], [], []
        self.routes = {}
        self.counts = {}
        self.runs = {}
        self.breaks = []
        self.open_flows = {}
        self.resets_sent = {}
        self.names = {it.ip: it.name for it in self.edges}
        self.disturbed = {}
        self.store_disturbed = -1e9
        self.ending = False
        self.version = 0

    # The record.

    def note(self, text):
        self.record.write(f"{time.monotonic() - self.begin:8.3f} s  {text}\n")
        self.record.flush()

    def log(self, text):
        """One line for each packet of interest, written when the run ends."""
        self.record.write(f"{time.monotonic() - self.begin:8.3f} s  {text}\n")

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def broken(self, rule, text):
        self.breaks.append(rule)
        self.note(f"BROKEN {rule}: {text}")

    # What the parties report. A case overrides what it judges.

    def ran(self, request, server):
        self.log(f"run       {request.decode()} at {server.name}")
        self.runs[request] = self.runs.get(request, 0) + 1
        self.count("requests run")

    def flow_opened(self, key, server):
        self.log(f"opened    {wire.ip_text(key[0])}:{key[1]} at {server.name}")
        self.open_flows[key] = server

    def in_touch(self, machine):
        """Whether a machine was not disturbed within the window of stability. `disturbed`: until when it was."""
        return time.monotonic() - self.disturbed.get(machine, -1e9) > BOUNDS["stability_window_ms"] / 1000

    def calm(self, server):
        """Whether the target and the store were left alone for the window of stability. To be on the safe side, the start of
        a target counts as a disruption on it."""
        return time.monotonic() - max(server.started, self.store_disturbed) > BOUNDS["stability_window_ms"] / 1000

    def system_reset(self, key, machine):
        """FLOW (a): a reset that the flow's target did not send, while that target lives."""
        self.count("resets of the system")
        server = self.open_flows.get(key)
        if server and server.alive and self.calm(server) and self.in_touch(machine):
            self.broken("FLOW", f"{self.names[machine]} reset the open flow {wire.ip_text(key[0])}:{key[1]} at {server.name}, which lives")

    def reset_sent(self, key, server, machine):
        self.resets_sent[key] = (server, machine)

    def target_reset(self, key):
        """FLOW (a), as above: the reset is of a target that is not the flow's."""
        server, (sender, machine) = self.open_flows.get(key), self.resets_sent.get(key, (None, None))
        if server and server.alive and self.calm(server) and sender and sender is not server and self.in_touch(machine):
            self.broken("FLOW", f"{sender.name} reset the open flow {wire.ip_text(key[0])}:{key[1]} at {server.name}, which lives: {self.names[machine]} sent it the flow's packets")

    def opening_taken(self, server, machine):
        """DRAIN: an opening packet is taken later than `drain_ms` after the store's acknowledgement."""
        if server.drain_acknowledged is None or not self.in_touch(machine):
            return
        late = time.monotonic() - server.drain_acknowledged
        if late > BOUNDS["drain_ms"] / 1000:
            self.broken("DRAIN", f"{server.name} took an opening from {self.names[machine]} {late:.2f} s after the store had acknowledged that it drains")

    # The routers.

    def router(self, key, zone):
        here = [it for it in self.edges if it.zone == zone]
        ready = [it for it in here if it.misses < 2]
        if not ready:
            ready = [it for it in self.edges if it.misses < 2] or here
        elif len(ready) * 2 < len(here):
            ready = here
        best = max(ready, key=lambda it: zlib.crc32(repr((key, it.ip)).encode()))
        return best.ip, self.port

    # The operator and the targets.

    def configure(self, services):
        """Writes a configuration with one route for each service, in order."""
        self.version += 3
        rows = []
        for n, (service, kind) in enumerate(services):
            self.routes[service] = (wire.ip_number(ROUTE_IP), 443 + n)
            rows.append({"name": f"r-{service}", "host": ROUTE_IP, "prefix": f"/{443 + n}/", "type": kind, "timeout_ms": 2500, "aim_ms": 150, "priority": 1, "service": service, "max_attempts": 2})
        named = [{"name": it, "health_path": "/health", "max_connections": 2000, "protocol": "h1", "tls": False} for it, _ in services]
        self.store.put("op/config", json.dumps({"version": self.version, "routes": rows, "services": named, "limits": {"idle_timeout_ms": 15000}}))

    async def add_server(self, ident, service, zone, number, born=None):
        server = await Server(self, ident, service, zone, f"127.3.{list(ZONES).index(zone) + 1}.{number + 1}", self.server_port, born).start()
        self.servers.append(server)
        return server

    async def add_clients(self, work, each, zones=tuple(ZONES)):
        """`work` makes the task of one client; `each` clients in each of the zones."""
        for z, zone in enumerate(ZONES):
            for _ in range(each if zone in zones else 0):
                client = await Client(self, f"127.2.{z + 1}.{len(self.clients) + 1}", zone).start()
                self.clients.append(client)
                self.tasks.append(asyncio.ensure_future(work(client)))

    async def start(self):
        listener = await asyncio.start_server(self.store.serve, "127.0.0.1", 0)
        self.store_port = listener.sockets[0].getsockname()[1]
        for it in self.edges:
            await it.start()
            self.tasks.append(asyncio.ensure_future(it.probe()))
        for _ in range(100):
            if all(it.misses == 0 for it in self.edges):
                self.note("all processes are ready")
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("not all processes are ready after ten seconds")

    async def end(self):
        self.ending = True
        for it in self.edges:
            if it.process and it.process.returncode is not None:
                self.broken("Fault", f"{it.name} ended by itself with {it.process.returncode}")
            await it.end()
        for it in self.servers:
            if it.alive:
                it.crash()
        for it in self.tasks:
            it.cancel()
        for what, number in sorted(self.counts.items()):
            self.note(f"{what}: {number}")
        twice = sum(1 for it in self.runs.values() if it > 1)
        self.note(f"requests run more than once: {twice}")
        shutil.rmtree(self.folder)


def main(case, story, rule):
    """Runs a case. Returns `RULE_BROKEN`, 0 if the rule held, or 2 if the case could not run."""
    folder = pathlib.Path(case).resolve().parent
    world = World(folder)

    async def whole():
        # A run that is told to end early ends its processes too.
        loop, this = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, this.cancel)
        try:
            await asyncio.wait_for(story(world), 100)
        finally:
            await world.end()

    try:
        asyncio.run(whole())
    except (Exception, asyncio.CancelledError) as problem:  # whatever it is, the case could not run
        world.note(f"could not run: {problem!r}")
        print(f"could not run: {problem!r}")
        return 2
    served = world.counts.get("requests answered", 0)
    if not served:
        world.note("could not run: nothing was served")
        return 2
    number = world.breaks.count(rule)
    print(f"{rule} broken {number} times; {served} requests answered; TROUBLE={int(world.trouble)}")
    others = sorted(set(world.breaks) - {rule})
    if others:
        print(f"also broken: {', '.join(others)}")
    return RULE_BROKEN if number else 0


if __name__ == "__main__":
    sys.exit("this is a module of the cases")
