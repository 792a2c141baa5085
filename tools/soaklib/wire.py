"""The packets of callers and backend servers, as the platform's pages lay them out."""

import dataclasses
import socket
import struct
import zlib

HEAD = struct.Struct(">IHHIIHIIIBB")
SYN, ACK, FIN, RST = 128, 16, 4, 32
KEY = b"known to both ends, not to the load balancer"


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


@dataclasses.dataclass
class Packet:
    dst: int
    sport: int
    dport: int
    src: int
    seq: int = 0
    ack: int = 0
    echo: int = 0
    flags: int = 0
    data: bytes = b""
    sum: int = 0

    def keyed_sum(self):
        fields = (self.dst, self.sport, self.dport, self.src, self.seq, self.ack, self.flags, self.data)
        # Zero stands for a reset of the load balancer.
        return zlib.crc32(KEY + repr(fields).encode()) or 1

    def encode(self):
        head = HEAD.pack(self.dst, self.sport, self.dport, self.src, self.keyed_sum(), len(self.data), self.seq, self.ack, self.echo, self.flags, 0)
        return head + self.data

    def intact(self):
        return self.sum == self.keyed_sum()


def decode(raw):
    dst, sport, dport, src, check, size, seq, ack, echo, flags, _ = HEAD.unpack(raw[: HEAD.size])
    data = raw[HEAD.size :]
    if len(data) != size:
        raise ValueError("length")
    return Packet(dst, sport, dport, src, seq, ack, echo, flags, data, check)
