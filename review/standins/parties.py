"""Backend servers and clients of the cases. They follow PROTOCOL.md; the store and the packet layout are those of tools/soaklib."""

import asyncio
import itertools
import json
import pathlib
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "tools"))
sys.dont_write_bytecode = True

from soaklib import wire  # noqa: E402
from soaklib.store import Store  # noqa: E402,F401  (used by the deployment)

HEARTBEAT_S = 1.2
# A client's opening packet and its copies, and the time after which it gives the attempt up.
OPENING_AT_S = (0.0, 0.2, 0.6)
OPENING_ENDS_S = 1.4
RETRY_FIRST_S, RETRY_LAST_S = 0.2, 1.6
WORK_S = 0.03
# A client takes a reset of the system on an open flow only so near to its last "ack".
RESET_WINDOW = 76_800
ANSWER_BYTES = 400


class Server(asyncio.DatagramProtocol):
    """One start of a target: flows over UDP, a health check over TCP, its entry in the store."""

    def __init__(self, world, ident, service, zone, ip, port, born=None):
        self.world, self.ident, self.service, self.zone, self.ip, self.port, self.born = world, ident, service, zone, ip, port, born
        self.name = f"i-{ident:08x}"
        self.key = f"servers/{self.name}"
        self.flows = {}
        self.ended = set()
        self.alive = True
        self.drain_acknowledged = None
        self.sequence = 0
        self.openings = 0
        self.started = time.monotonic()
        self.first_seq = 1000 + ident % (1 << 24)

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.ip, self.port))
        self.listener = await asyncio.start_server(self._health, self.ip, self.port)
        self.heart = asyncio.ensure_future(self._beat())
        return self

    async def _beat(self):
        while self.alive:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def register(self):
        """Writes the entry; the store's answer is the acknowledgement."""
        self.sequence += 1
        return self.world.store.put(self.key, self.entry())

    def entry(self):
        entry = {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone, "version": "v1", "slots": 2, "state": "draining" if self.draining else "ready", "warmup_left_ms": 0, "sequence": self.sequence}
        if self.born is not None:
            entry["born"] = self.born
        return json.dumps(entry)

    draining = False

    def drain(self):
        self.draining = True
        self.drain_acknowledged = self.register()
        self.world.note(f"{self.name} reports draining, and the store has acknowledged it")

    def crash(self):
        """Ends without a word. The entry stays until its time runs out."""
        self.alive = False
        self.heart.cancel()
        self.transport.close()
        self.listener.close()

    def leave(self):
        self.crash()
        self.world.store.remove(self.key)

    async def _health(self, reader, writer):
        try:
            if await reader.readline():
                state = b"503 Unavailable" if self.draining else b"200 OK"
                writer.write(b"HTTP/1.1 " + state + b"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                await writer.drain()
        except OSError:
            pass
        writer.close()

    def datagram_received(self, raw, sender):
        if not self.alive:
            return
        # The machine that took the packet from the client.
        self.via = sender[0]
        packet = wire.decode(raw[8:])
        if int.from_bytes(raw[:8], "big") not in (0, self.ident):
            self.world.count("packets for another target")
            return
        if not packet.intact():
            return self.world.broken("UNASKED", f"{self.name} got a packet that its sender did not write so")
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        if packet.flags & wire.SYN:
            return self._opening(packet, key)
        flow = self.flows.get(key)
        if flow is None:
            return self._stray(packet, key)
        flow["echo"] = packet.echo
        if packet.flags & (wire.FIN | wire.RST):
            del self.flows[key]
            self.ended.add(key)
            if packet.flags & wire.FIN:
                self._send(packet, wire.ACK | wire.FIN, packet.ack, packet.seq + 1)
            return
        if not flow["open"]:
            if packet.ack != self.first_seq + 1:
                # The flow opened at the target whose "seq" the client has acknowledged; this one does not hold it.
                del self.flows[key]
                return self._stray(packet, key)
            flow["open"] = True
            self.world.flow_opened(key, self)
        if packet.data:
            asyncio.ensure_future(self._run(packet, key))

    def _opening(self, packet, key):
        self.openings += 1
        self.world.opening_taken(self, self.via)
        self.flows.setdefault(key, {"open": False, "answers": {}})["echo"] = packet.echo
        self._send(packet, wire.SYN | wire.ACK, self.first_seq, packet.seq + 1)

    def _stray(self, packet, key):
        if packet.flags & wire.RST:
            return
        if key in self.ended and packet.flags & wire.FIN:
            return self._send(packet, wire.ACK, packet.ack, packet.seq + 1)
        self.world.reset_sent(key, self, self.via)
        self._send(packet, wire.RST, packet.ack, 0)

    async def _run(self, packet, key):
        answers = self.flows[key]["answers"]
        if packet.seq not in answers:
            answers[packet.seq] = None
            self.world.ran(packet.data, self)
            await asyncio.sleep(WORK_S)
            answers[packet.seq] = (b"answer to " + packet.data).ljust(ANSWER_BYTES)
        if answers[packet.seq] and key in self.flows and self.alive:
            leaving = wire.FIN if self.draining else 0
            self._send(packet, wire.ACK | leaving, packet.ack, packet.seq + len(packet.data), answers[packet.seq])

    def _send(self, to, flags, seq, ack, data=b""):
        reply = wire.Packet(dst=to.src, sport=to.dport, dport=to.sport, src=to.dst, seq=seq, ack=ack, echo=to.echo, flags=flags, data=data)
        self.transport.sendto(reply.encode(), (wire.ip_text(to.src), self.world.port))


class Client(asyncio.DatagramProtocol):
    """All flows of one client address."""

    def __init__(self, world, ip, zone):
        self.world, self.ip, self.zone = world, ip, zone
        self.ports = itertools.count(20000)
        self.flows = {}

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.ip, self.world.port))
        return self

    def datagram_received(self, raw, sender):
        packet = wire.decode(raw)
        flow = self.flows.get(packet.dport)
        if flow:
            flow.received(packet, sender[0])

    async def feed(self, route, pause, requests):
        """Flows with many requests and pauses between them."""
        await asyncio.sleep(self.world.random.uniform(0, pause * requests))
        while not self.world.ending:
            flow = Flow(self, route)
            if await flow.connect():
                for n in range(requests):
                    if self.world.ending or not await flow.request(f"{self.ip}:{flow.port} request {n}".encode()) or flow.finished:
                        break
                    await asyncio.sleep(self.world.random.uniform(0.5, 1.5) * pause)
            flow.close()

    async def singles(self, route, pause):
        """A flow for each request."""
        while not self.world.ending:
            flow = Flow(self, route)
            if await flow.connect():
                await flow.request(f"{self.ip}:{flow.port} single".encode())
            flow.close()
            await asyncio.sleep(pause)


class Flow:
    def __init__(self, client, route):
        self.client, self.world, self.route = client, client.world, route
        self.port = next(client.ports)
        client.flows[self.port] = self
        self.key = (wire.ip_number(client.ip), self.port) + route
        self.echo = self.ack = 0
        self.seq = 1
        self.inbox = asyncio.Queue()
        self.open = self.reset = self.finished = False

    def received(self, packet, sender):
        own = bool(packet.flags & wire.RST) and packet.sum == 0
        if not own and not packet.intact():
            return self.world.broken("MIXED", f"{self.client.ip}:{self.port} got a packet that its sender did not write so")
        if packet.flags & wire.RST:
            if own and self.open and abs(packet.seq - self.ack) > RESET_WINDOW:
                return None
            self.reset = True
            if own:
                self.world.system_reset(self.key, sender)
            else:
                self.world.target_reset(self.key)
            return self.inbox.put_nowait(None)
        self.echo = packet.echo
        if packet.flags & wire.SYN:
            if not self.open:
                self.open = True
                self.ack = packet.seq + 1
                self.inbox.put_nowait(b"")
        elif packet.data:
            self.finished = self.finished or bool(packet.flags & wire.FIN)
            self.inbox.put_nowait(packet.data)

    def send(self, flags, data=b"", seq=None, ack=None):
        packet = wire.Packet(dst=self.route[0], sport=self.port, dport=self.route[1], src=self.key[0], seq=self.seq if seq is None else seq, ack=self.ack if ack is None else ack, echo=self.echo, flags=flags, data=data)
        self.client.transport.sendto(packet.encode(), self.world.router(self.key, self.client.zone))

    async def _next(self, seconds):
        try:
            return await asyncio.wait_for(self.inbox.get(), max(seconds, 0.001))
        except asyncio.TimeoutError:
            return False

    async def connect(self):
        begin = time.monotonic()
        for copy in range(len(OPENING_AT_S)):
            until = OPENING_AT_S[copy + 1] if copy + 1 < len(OPENING_AT_S) else OPENING_ENDS_S
            self.send(wire.SYN, seq=0, ack=copy)
            if await self._next(begin + until - time.monotonic()) is not False:
                break
        done = self.open and not self.reset
        if done:
            self.send(wire.ACK)
        self.world.count("flows opened" if done else "flows not opened")
        return done

    async def request(self, name):
        end = time.monotonic() + 2.5
        wait = RETRY_FIRST_S
        seq, self.seq = self.seq, self.seq + len(name)
        self.world.count("requests sent")
        self.world.log(f"sent      {name.decode()}")
        while time.monotonic() < end and not self.reset:
            self.send(wire.ACK, name, seq)
            answer = await self._next(min(wait, end - time.monotonic()))
            wait = min(wait * 2, RETRY_LAST_S)
            while answer and not answer.startswith(b"answer to " + name):
                answer = await self._next(RETRY_FIRST_S)
            if answer:
                self.ack += len(answer)
                self.send(wire.ACK)
                self.world.count("requests answered")
                self.world.log(f"answered  {name.decode()}")
                return True
        self.world.count("requests reset" if self.reset else "requests without an answer")
        self.world.log(f"{'reset    ' if self.reset else 'silence  '} {name.decode()}")
        return False

    def close(self):
        if self.open and not self.reset:
            self.send(wire.FIN)
        self.client.flows.pop(self.port, None)
