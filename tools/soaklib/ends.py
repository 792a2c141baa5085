"""Backend servers and callers, and what they check."""

import asyncio
import itertools
import json
import time

from . import wire

# A caller's opening is sent again after these, and given up after the last.
OPEN_AT = (0.0, 0.2, 0.6)
OPEN_LIFE = 1.4
FIRST_RETRY = 0.2
# A server writes its entry about so often.
HEARTBEAT = 1.2
LAST_RETRY = 1.6
REQUEST_LIFE = 2.5
# How a server answers a request that it fails; far shorter than a whole answer.
ERROR = b"error"
# Whole answers have at least this many bytes, so that their size tells them from errors.
ANSWER_BYTES = 400


def whole_answer(request):
    return (b"answer to " + request).ljust(ANSWER_BYTES)


class Checks:
    """Broken promises, with their story."""

    def __init__(self):
        self.broken = []
        self.counts = {}
        self.runs = {}

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def breaks(self, promise, story):
        self.broken.append(f"{promise}: {story}")


class Backend(asyncio.DatagramProtocol):
    """One start of a backend server."""

    def __init__(self, world, ident, service, ip, port, work):
        self.world, self.ident, self.service, self.ip, self.port, self.work = world, ident, service, ip, port, work
        self.key = f"servers/i-{ident:x}"
        self.zone = world.zones[len(world.backends) % len(world.zones)]
        self.flows = {}
        self.alive = True
        self.draining_since = None
        self.answers = {}
        # How it fails a share of its requests: "errors", "resets" or "hangs".
        self.fault, self.fault_share = None, 0.0
        self.openings = 0
        self.sequence = 0
        # Milliseconds of its start by its own clock.
        self.born = round(time.time() * 1000)

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.ip, self.port))
        # Whoever only wants to know whether it lives opens a connection.
        self.listener = await asyncio.start_server(lambda _, writer: writer.close(), self.ip, self.port)
        self.register()
        asyncio.ensure_future(self._beat())
        return self

    async def start_again(self, clock_step):
        """Starts again under its id, and knows nothing of before; its clock has jumped meanwhile."""
        self.alive = False
        for key in self.flows:
            self.world.flow_ends(key)
        self.flows.clear()
        await asyncio.sleep(0.3)
        self.alive, self.sequence = True, 0
        self.born = round((time.time() + clock_step) * 1000)
        self.register()
        asyncio.ensure_future(self._beat())

    async def _beat(self):
        """Writes while the store is reached, also if its entry has lapsed."""
        born = self.born
        while True:
            await asyncio.sleep(HEARTBEAT)
            if not self.alive or self.born != born or self.world.stopping:
                return
            if not self.world.store.trouble:
                self.register()

    def entry(self):
        state = "draining" if self.draining_since else "ready"
        value = {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone, "version": "v1", "slots": 2, "state": state, "warmup_left_ms": 0, "sequence": self.sequence, "born": self.born}
        return json.dumps(value)

    def register(self):
        self.sequence += 1
        return self.world.store.put(self.key, self.entry())

    def drain(self):
        self.draining_since = time.monotonic()
        self.register()

    def end(self, registered=False):
        self.alive = False
        self.transport.close()
        self.listener.close()
        if not registered:
            self.world.store.remove(self.key)

    def datagram_received(self, raw, _):
        if not self.alive:
            return
        ident = int.from_bytes(raw[:8], "big")
        packet = wire.decode(raw[8:])
        checks = self.world.checks
        if not packet.intact():
            return checks.breaks("changed", f"a packet reached {self.key} that its sender did not write so")
        if ident not in (0, self.ident):
            return checks.count("not intended")
        route = (packet.dst, packet.dport)
        if self.service not in self.world.allowed(route):
            return checks.breaks("misrouted", f"a packet for {wire.ip_text(route[0])}:{route[1]} reached {self.service}")
        key = (packet.src, packet.sport) + route
        if packet.flags & wire.SYN:
            return self._opened(packet, key)
        flow = self.flows.get(key)
        if flow is None:
            if not packet.flags & wire.RST:
                self._send(packet, wire.RST, packet.ack, 0)
            return
        flow["echo"] = packet.echo
        if packet.flags & (wire.FIN | wire.RST):
            self.flows.pop(key)
            self.world.flow_ends(key)
            return self._send(packet, wire.ACK, 1, packet.seq + 1)
        if not flow["open"]:
            if packet.ack != self._sequence() + 1:
                # The caller has the flow with another server, whose answer to the opening came first.
                self.flows.pop(key)
                checks.count("at a second server")
                return self._send(packet, wire.RST, packet.ack, 0)
            flow["open"] = True
            self.world.flow_opens(key, self)
        if packet.data and not self._fails(packet, key):
            asyncio.ensure_future(self._run(packet, key))

    def _opened(self, packet, key):
        self.openings += 1
        self.world.opening_arrived(self, key)
        self.flows.setdefault(key, {"open": False})["echo"] = packet.echo
        self._send(packet, wire.SYN | wire.ACK, self._sequence(), packet.seq + 1)

    def _sequence(self):
        """Its own first sequence number, by which a caller's answer shows whose the flow is."""
        return 1000 + self.ident % (1 << 30)

    def _fails(self, packet, key):
        """Fails a request without running it, as drawn for this request."""
        if not self.fault or packet.data in self.answers or self.world.fault_draw.random() >= self.fault_share:
            return False
        self.world.checks.count(f"server {self.fault}")
        if self.fault == "errors":
            self._send(packet, wire.ACK, 2000, packet.seq + len(packet.data), ERROR)
        elif self.fault == "resets":
            self.flows.pop(key)
            self.world.flow_ends(key)
            self._send(packet, wire.RST, packet.ack, 0)
        return True

    async def _run(self, packet, key):
        request = packet.data
        if request not in self.answers:
            self.answers[request] = None
            self.world.checks.runs[request] = self.world.checks.runs.get(request, 0) + 1
            if self.world.checks.runs[request] > 1 and request.startswith(b"once"):
                self.world.checks.breaks("run twice", request.decode())
            await asyncio.sleep(self.work)
            self.answers[request] = whole_answer(request)
        if self.answers[request] and key in self.flows and self.alive:
            # A server that leaves closes each flow with its next answer.
            leaving = wire.FIN if self.draining_since else 0
            self._send(packet, wire.ACK | leaving, 2000, packet.seq + len(request), self.answers[request])

    def _send(self, to, flags, seq, ack, data=b""):
        reply = wire.Packet(dst=to.src, sport=to.dport, dport=to.sport, src=to.dst, seq=seq, ack=ack, echo=to.echo, flags=flags, data=data)
        self.transport.sendto(reply.encode(), (wire.ip_text(to.src), self.world.port))


class Caller(asyncio.DatagramProtocol):
    """All flows of one address."""

    def __init__(self, world, ip):
        self.world, self.ip = world, ip
        self.ports = itertools.cycle(range(1024, 60000))
        self.flows = {}

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.ip, self.world.port))
        return self

    def datagram_received(self, raw, sender):
        packet = wire.decode(raw)
        flow = self.flows.get(packet.dport)
        if flow:
            flow.received(packet, sender)


class Flow:
    """One flow of a caller."""

    def __init__(self, caller, route):
        self.caller, self.world, self.route = caller, caller.world, route
        self.port = next(caller.ports)
        caller.flows[self.port] = self
        self.key = (wire.ip_number(caller.ip), self.port) + route
        self.echo = self.ack = 0
        self.seq = 1
        self.answers = asyncio.Queue()
        self.open = False
        self.reset = False
        self.finished = False

    def received(self, packet, sender):
        if packet.flags & wire.RST:
            ours = packet.sum == 0
            if not ours and not packet.intact():
                return self.world.checks.breaks("changed", "a caller got a packet that nobody wrote")
            if ours and self.open:
                self.world.flow_was_reset(self.key)
            elif not ours and self.open:
                self.world.server_reset(self.key, sender)
            self.reset = True
            return self.answers.put_nowait(None)
        if not packet.intact():
            return self.world.checks.breaks("changed", "a caller got a packet that its server did not write so")
        self.echo = packet.echo
        if packet.flags & wire.SYN:
            if not self.open:
                self.open = True
                self.ack = packet.seq + 1
                self.answers.put_nowait(b"")
        elif packet.data:
            self.finished = self.finished or bool(packet.flags & wire.FIN)
            self.answers.put_nowait(packet.data)

    def send(self, flags, data=b"", seq=None, ack=None):
        packet = wire.Packet(dst=self.route[0], sport=self.port, dport=self.route[1], src=self.key[0], seq=self.seq if seq is None else seq, ack=self.ack if ack is None else ack, echo=self.echo, flags=flags, data=data)
        self.caller.transport.sendto(packet.encode(), self.world.router(self.key))

    async def _wait(self, seconds):
        try:
            return await asyncio.wait_for(self.answers.get(), seconds)
        except asyncio.TimeoutError:
            return False

    async def connect(self):
        begin = time.monotonic()
        for copy, at in enumerate(OPEN_AT):
            until = OPEN_AT[copy + 1] if copy + 1 < len(OPEN_AT) else OPEN_LIFE
            self.send(wire.SYN, seq=0, ack=copy)
            answer = await self._wait(begin + until - time.monotonic())
            if answer is not False:
                break
        if self.open and not self.reset:
            self.send(wire.ACK)
        return self.open and not self.reset

    async def request(self, name):
        """True: answered; False: not. Says so if the answer is another's."""
        end = time.monotonic() + REQUEST_LIFE
        wait = FIRST_RETRY
        seq, self.seq = self.seq, self.seq + len(name)
        while time.monotonic() < end and not self.reset:
            self.send(wire.ACK, name, seq)
            answer = await self._wait(min(wait, end - time.monotonic()))
            wait = min(wait * 2, LAST_RETRY)
            while answer and answer not in (whole_answer(name), ERROR):
                if not answer.startswith(b"answer to "):
                    self.world.checks.breaks("mixed", f"{name} got {answer}")
                # A late copy of an earlier answer.
                answer = await self._wait(0.2)
            if answer == ERROR:
                self.ack += len(answer)
                self.send(wire.ACK)
                return False
            if answer:
                self.ack += len(answer)
                self.send(wire.ACK)
                return True
        return False

    def close(self):
        self.send(wire.FIN)
        self.caller.flows.pop(self.port, None)
