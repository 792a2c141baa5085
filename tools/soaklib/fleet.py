"""The world of a soak: instances as processes, the store, servers, callers, and what is promised."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import time
import zlib

from . import ends, names, peers, store, wire

APPLY_SECONDS = 3.0
# A fault's effects may last this long; promises with a time count outside it.
SETTLE_SECONDS = 4.0
ROUTE_IP = "198.18.0.1"
SERVICES = ("records", "certificates")

SETTINGS = """[instance]
name = "{name}"
zone = "a"
ip = "{ip}"
[listen]
packets = "{ip}:{port}"
ready = "{ip}:{ready}"
peer_port = {peers}
[registry]
address = "{ip}:{proxy}"
[times]
apply_within = "3s"
max_flow_age = "60s"
grace = "6s"
"""

# Settings of the instances in runs in which servers fail in part and callers press.
BALANCING = """[balancing]
outlier_detection = true
priority_admission = true
overload_readiness = true
"""


# Below the ports that the system hands out: proxies of this run and of others listen there at the instances'
# addresses, and one of them could take a port that an instance needs.
OWN_PORTS = range(10000, 32000)


def free_port():
    while True:
        port = random.SystemRandom().choice(OWN_PORTS)
        with socket.socket() as it:
            try:
                it.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


class Instance:
    """One chicory-edge process, and its way to the store."""

    def __init__(self, world, number):
        self.world, self.name = world, f"edge-{number}"
        self.ip = f"127.1.0.{number}"
        self.process = None
        self.pidfd = None
        self.misses = 2
        self.wanted = True
        self.paused = False
        # Its process is not started again for now.
        self.held = False

    async def prepare(self):
        self.proxy = store.Proxy(self.world.store_port)
        port = await self.proxy.listen(self.ip)
        self.peers = await peers.PeerWay(self.ip, self.world.peer_port, self.world.random).listen()
        self.settings = self.world.folder / f"{self.name}.toml"
        text = SETTINGS.format(name=self.name, ip=self.ip, port=self.world.port, ready=self.world.ready_port, peers=self.world.peer_port, proxy=port)
        self.settings.write_text(text + (BALANCING if self.world.balances else ""))

    async def start(self):
        with open(self.world.folder / f"{self.name}.log", "ab") as log:
            process = await asyncio.create_subprocess_exec(str(self.world.edge), "run", str(self.settings), stdout=log, stderr=log)
        # The process may have ended already; then nothing is sent to it.
        with contextlib.suppress(ProcessLookupError):
            self._close_pidfd()
            self.pidfd = os.pidfd_open(process.pid)
        self.process = process

    def _close_pidfd(self):
        if self.pidfd is not None:
            os.close(self.pidfd)
        self.pidfd = None

    def running(self):
        return self.process is not None and self.process.returncode is None

    def send_signal(self, number):
        # Popen's own call would reap a process that has ended, and its exit code would be lost.
        if self.running() and self.pidfd is not None:
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(self.pidfd, number)

    async def watch(self):
        """Restarts the process whenever it has ended, as the platform does."""
        while self.wanted:
            if not self.running() and not self.held:
                if self.process is not None and self.process.returncode not in (0, -signal.SIGKILL):
                    self.world.checks.breaks("ended by itself", f"{self.name} with {self.process.returncode}")
                await self.start()
            await asyncio.sleep(0.1)

    async def probe(self):
        while self.wanted:
            ok = await self._ready()
            self.misses = 0 if ok else self.misses + 1
            await asyncio.sleep(0.5)

    async def _ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, self.world.ready_port), 0.4)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.4)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def end(self):
        self.wanted = False
        if self.running():
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGKILL)
            await self.process.wait()
        self._close_pidfd()


class World:
    """Everything, and the promises."""

    KEEPS_WAYS_EVERY = 3

    # One seed in three has servers in two zones, and the operators drain one now and then.
    DRAINS_EVERY = 3

    # One seed in four has a store that is restored from an older copy now and then.
    RESTORES_EVERY = 4

    # One seed in two that has faults has servers that fail in part, and callers that press.
    BALANCES_EVERY = 2

    # A server that was ejected is on trial eight seconds later at the latest.
    RETURN_SECONDS = 10.0

    def __init__(self, edge, folder, seed, instances):
        self.balances = seed % self.BALANCES_EVERY == 0 and seed % 5 != 0
        self.fault_draw = random.Random(seed + 1)
        self.failed_in_part = set()
        self.pressing = False
        self.restores = seed % self.RESTORES_EVERY == 0
        self.drains_zones = seed % self.DRAINS_EVERY == 1
        self.zones = ("a", "b") if self.drains_zones else ("a",)
        self.drained = {}
        self.seed = seed
        self.edge, self.folder = edge, pathlib.Path(folder)
        self.random = random.Random(seed)
        self.checks = ends.Checks()
        self.store = store.Store()
        self.store.random = self.random
        self.store.rewrite = self.way_to_instance
        self.port, self.ready_port, self.peer_port = free_port(), free_port(), free_port()
        self.server_port = free_port()
        self.instances = [Instance(self, n + 1) for n in range(instances)]
        self.backends = []
        self.routes = {}
        self.dropped = {}
        self.ever = {}
        self.version = 0
        self.flows = {}
        # One seed in three has callers that go on through the instance of a flow's first packet until its process is gone.
        self.keeps_ways = seed % self.KEEPS_WAYS_EVERY == 2
        self.ways = {}
        self.disturbed_until = 0.0
        self.next_id = 0x100
        self.next_address = 0
        self.stopping = False

    def way_to_instance(self, key, value):
        """An instance's record, as the others get to see it."""
        prefix = "chicorybank/instances/"
        for it in self.instances:
            if key == prefix + it.ip:
                return json.dumps(json.loads(value) | {"peers": f"{it.ip}:{it.peers.port}"})
        return value

    # Promises.

    def quiet(self):
        return time.monotonic() > self.disturbed_until + SETTLE_SECONDS

    def disturb(self, seconds=0.0):
        self.disturbed_until = max(self.disturbed_until, time.monotonic() + seconds)

    def allowed(self, route):
        return self.ever.get(route, ())

    def flow_opens(self, key, backend):
        self.flows[key] = backend

    def flow_ends(self, key):
        self.flows.pop(key, None)

    def flow_was_reset(self, key):
        backend = self.flows.get(key)
        if backend and backend.alive and key[2:] in self.routes:
            self.checks.breaks("reset", f"an open flow {key} while {backend.key} serves it")

    def server_reset(self, key, sender):
        backend = self.flows.get(key)
        if backend and backend.alive and sender != (backend.ip, backend.port):
            self.checks.breaks("second server", f"{sender} reset the open flow {key} that {backend.key} serves")

    def opening_arrived(self, backend, key):
        now = time.monotonic()
        if not self.quiet():
            return
        if backend.draining_since and now - backend.draining_since > APPLY_SECONDS:
            self.checks.breaks("drain", f"an opening at {backend.key} {now - backend.draining_since:.1f} s after it began to leave")
        drained = self.drained.get(backend.zone)
        if drained and now - drained > APPLY_SECONDS:
            self.checks.breaks("zone drain", f"an opening at {backend.key} {now - drained:.1f} s after zone {backend.zone} was drained")
        gone = self.dropped.get(key[2:])
        if gone and now - gone > APPLY_SECONDS:
            self.checks.breaks("config", f"an opening on a route that was removed {now - gone:.1f} s before")

    # The routers.

    def router(self, key):
        way = self.ways.get(key)
        if way and way[0].process is way[1] and way[0].running():
            return way[0].ip, self.port
        present = [it for it in self.instances if not it.held]
        ready = [it for it in present if it.misses < 2]
        if len(ready) * 2 < len(present):
            ready = present
        best = max(ready, key=lambda it: zlib.crc32(repr((key, it.ip)).encode()))
        if self.keeps_ways:
            self.ways[key] = (best, best.process)
        return best.ip, self.port

    # The operator and the servers.

    def set_route(self, port, service):
        route = (wire.ip_number(ROUTE_IP), port)
        if service is None:
            self.routes.pop(route, None)
        else:
            self.routes[route] = service
            self.ever.setdefault(route, set()).add(service)
            self.dropped.pop(route, None)
        self.version += self.random.randint(1, 9)
        at = self.write_config()
        if service is None:
            self.dropped[route] = at
        return route

    def write_config(self):
        rows = [{"name": f"r{p}", "host": ROUTE_IP, "prefix": f"/{p}/", "type": "safe", "service": s} for (_, p), s in self.routes.items()]
        return self.store.put("op/config", json.dumps({"version": self.version, "routes": rows, "services": [], "limits": {"idle_timeout_ms": 15000}}))

    def drain_zone(self, zone):
        self.drained[zone] = self.store.put(f"op/evacuate/{zone}", "{}")

    def restore_zone(self, zone):
        self.drained.pop(zone, None)
        self.store.remove(f"op/evacuate/{zone}")

    def write_orders_again(self):
        """What the operators wrote may be lost in a restored store, and what they took back may be there again."""
        self.write_config()
        for zone in self.zones:
            if zone in self.drained:
                self.store.put(f"op/evacuate/{zone}", "{}")
            else:
                self.store.remove(f"op/evacuate/{zone}")

    async def add_backend(self, service, address=None):
        self.next_id += 1 + self.random.randrange(1 << 32)
        if address is None:
            address = f"127.3.{self.next_address // 200}.{self.next_address % 200 + 1}", self.server_port
            self.next_address += 1
        ip, port = address
        backend = await ends.Backend(self, self.next_id, service, ip, port, self.random.uniform(0.005, 0.03)).start()
        self.backends.append(backend)
        return backend

    def services(self):
        return SERVICES

    def living(self, service=None):
        return [it for it in self.backends if it.alive and not it.draining_since and service in (None, it.service)]

    async def leave(self, backend):
        backend.drain()
        await asyncio.sleep(APPLY_SECONDS + 1)
        for _ in range(40):
            if not backend.flows:
                break
            await asyncio.sleep(0.1)
        backend.end()

    # Load.

    async def feed(self, caller, route):
        """A long flow with requests now and then."""
        number = 0
        while not self.stopping:
            flow = ends.Flow(caller, route)
            if await flow.connect():
                for _ in range(self.random.randint(5, 30)):
                    number += 1
                    served = await flow.request(f"feed {caller.ip} {flow.port} {number}".encode())
                    self.checks.count("served" if served else "failed")
                    if not served or flow.finished or self.stopping:
                        break
                    await asyncio.sleep(self.random.uniform(0.05, 0.3))
            else:
                self.checks.count("not opened")
                await asyncio.sleep(0.1)
            flow.close()

    async def orders(self, caller, route):
        """A flow for each request, which must not run twice."""
        number = 0
        while not self.stopping:
            number += 1
            flow = ends.Flow(caller, route)
            if await flow.connect():
                served = await flow.request(f"once {caller.ip} {flow.port} {number}".encode())
                self.checks.count("served" if served else "failed")
            else:
                self.checks.count("not opened")
            flow.close()
            await asyncio.sleep(self.random.uniform(0.02, 0.1))

    async def press(self, number, service=SERVICES[0]):
        """A caller that opens a flow for each request, one after the other."""
        caller = await ends.Caller(self, f"127.2.2.{number + 1}").start()
        route = next(it for it, to in self.routes.items() if to == service)
        count = 0
        while self.pressing and not self.stopping:
            count += 1
            flow = ends.Flow(caller, route)
            if await flow.connect():
                await flow.request(f"press {caller.ip} {flow.port} {count}".encode())
            self.checks.count("pressed")
            flow.close()
        caller.transport.close()

    async def run(self, seconds, plan):
        server = await asyncio.start_server(self.store.serve, "127.0.0.1", 0)
        self.store_port = server.sockets[0].getsockname()[1]
        feeds, orders = self.set_route(443, SERVICES[0]), self.set_route(8443, SERVICES[1])
        for service, count in zip(SERVICES, (5, 3)):
            for _ in range(count):
                await self.add_backend(service)
        names.register_idle_servers(self)
        names.register_older_entries(self)
        for it in self.instances:
            await it.prepare()
        tasks = [asyncio.ensure_future(work) for it in self.instances for work in (it.watch(), it.probe())]
        for _ in range(100):
            if all(it.misses == 0 for it in self.instances):
                break
            await asyncio.sleep(0.1)
        else:
            self.checks.breaks("start", "not all instances are ready after ten seconds")
        self.prober = await ends.Caller(self, "127.2.1.1").start()
        for n in range(8):
            caller = await ends.Caller(self, f"127.2.0.{n + 1}").start()
            work = self.feed(caller, feeds) if n % 2 == 0 else self.orders(caller, orders)
            tasks.append(asyncio.ensure_future(work))
        await plan(self, seconds)
        await self._recovers()
        self.stopping = True
        for it in self.instances:
            await it.end()
        for it in tasks:
            it.cancel()
        server.close()

    async def _recovers(self):
        """Without faults nearly everything is served again."""
        await asyncio.sleep(SETTLE_SECONDS + 2)
        before = dict(self.checks.counts)
        await asyncio.sleep(2)
        served, lost = (sum(self.checks.counts.get(k, 0) - before.get(k, 0) for k in kinds) for kinds in (("served",), ("failed", "not opened")))
        if served < 20 or lost > served * 0.05:
            self.checks.breaks("recover", f"{served} served and {lost} lost in two seconds after all faults")
        await self._returns()

    async def _returns(self):
        """A server that failed in part and is well again gets new flows."""
        self.pressing = True
        crowd = [asyncio.ensure_future(self.press(n, service)) for n, service in enumerate([*dict.fromkeys(self.routes.values())] * 2)]
        waiting = {it: it.openings for it in self.failed_in_part if it in self.living()}
        # A server of another zone gets new flows only while those of the instances' own zone are busy or drained.
        for drained in (None, *self.zones[:-1]):
            if drained:
                self.drain_zone(drained)
            end = time.monotonic() + self.RETURN_SECONDS
            while waiting and time.monotonic() < end:
                await asyncio.sleep(0.2)
                waiting = {it: n for it, n in waiting.items() if it.openings == n and it in self.living()}
            if drained:
                self.restore_zone(drained)
            if not any(it.zone != self.zones[0] for it in waiting):
                break
        self.pressing = False
        await asyncio.gather(*crowd)
        for it in waiting:
            self.checks.breaks("return", f"{it.key} of zone {it.zone} got no new flow for {self.RETURN_SECONDS} s although it is well")
