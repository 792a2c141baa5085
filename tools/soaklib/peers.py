"""The way of messages to one instance: datagrams and connections, with faults in between."""

import asyncio

LATE_SECONDS = 0.4


class PeerWay(asyncio.DatagramProtocol):
    """Passes on what comes to an address of its own. Faults of datagrams: "lost", "half_lost", "late",
    "twice"; while they are lost no new connection is passed on either."""

    def __init__(self, ip, peer_port, random):
        self.target = (ip, peer_port)
        self.random = random
        self.fault = None

    async def listen(self):
        loop = asyncio.get_running_loop()
        self.server = await asyncio.start_server(self._accept, self.target[0], 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self.target[0], self.port))
        return self

    def datagram_received(self, data, _):
        if self.fault == "lost" or (self.fault == "half_lost" and self.random.random() < 0.5):
            return
        loop = asyncio.get_running_loop()
        loop.call_later(LATE_SECONDS if self.fault == "late" else 0, self.transport.sendto, data, self.target)
        if self.fault == "twice":
            loop.call_later(LATE_SECONDS, self.transport.sendto, data, self.target)

    async def _accept(self, reader, writer):
        if self.fault == "lost":
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self._pump(reader, far_writer), self._pump(far_reader, writer))

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()
