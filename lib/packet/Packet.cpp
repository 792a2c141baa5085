#include "chicorybank/packet/Packet.h"

#include <QCborStreamReader>
#include <QCborStreamWriter>

namespace chicory {

namespace {

// The number of fields in the CBOR array. In order: version, kind, flags,
// source, destination, protocol, origin, request, deadline, part, reason,
// retry-after, payload.
constexpr uint64_t FieldCount = 13;

enum PacketFlag : uint64_t {
  FlagToCaller = 1,
  FlagIdempotent = 2,
  FlagLast = 4,
  FlagUnknownOutcome = 8,
  FlagDraining = 16,
  AllFlags = 31,
};

constexpr uint64_t MaxPackedAddress = (uint64_t{1} << 48) - 1;

/// Reads the next item as an unsigned integer of at most `limit`.
bool readNumber(QCborStreamReader &reader, uint64_t limit, uint64_t &value) {
  if (!reader.isUnsignedInteger())
    return false;
  value = reader.toUnsignedInteger();
  return value <= limit && reader.next();
}

bool readPayload(QCborStreamReader &reader, QByteArray &payload) {
  if (!reader.isByteArray() || !reader.isLengthKnown())
    return false;
  auto chunk = reader.readByteArray();
  if (chunk.status != QCborStreamReader::Ok)
    return false;
  payload = chunk.data;
  // Reading the end of the string moves the reader to the next item.
  return reader.readByteArray().status == QCborStreamReader::EndOfString;
}

struct RawHeader {
  PacketHeader Header;
  uint64_t Flags = 0;
};

tl::expected<RawHeader, Reason> readHeader(QCborStreamReader &reader) {
  auto bad = tl::make_unexpected(Reason::BadPacket);
  if (!reader.isArray() || !reader.isLengthKnown() || reader.length() == 0)
    return bad;
  uint64_t count = reader.length();
  uint64_t version = 0;
  if (!reader.enterContainer() || !readNumber(reader, UINT32_MAX, version))
    return bad;
  if (version != PacketFormatVersion)
    return tl::make_unexpected(Reason::BadVersion);
  uint64_t kind = 0;
  uint64_t source = 0;
  uint64_t destination = 0;
  uint64_t protocol = 0;
  uint64_t origin = 0;
  RawHeader out;
  bool ok =
      count == FieldCount &&
      readNumber(reader, static_cast<uint64_t>(PacketKind::Report), kind) &&
      kind != 0 && readNumber(reader, AllFlags, out.Flags) &&
      readNumber(reader, MaxPackedAddress, source) &&
      readNumber(reader, MaxPackedAddress, destination) &&
      readNumber(reader, UINT8_MAX, protocol) &&
      readNumber(reader, MaxPackedAddress, origin);
  if (!ok)
    return bad;
  out.Header.Kind = static_cast<PacketKind>(kind);
  out.Header.ToCaller = (out.Flags & FlagToCaller) != 0;
  out.Header.Flow = {.Source = Address::unpack(source),
                     .Destination = Address::unpack(destination),
                     .Protocol = static_cast<uint8_t>(protocol)};
  out.Header.Origin = Address::unpack(origin);
  return out;
}

uint64_t encodeFlags(const Packet &packet) {
  uint64_t flags = 0;
  if (packet.ToCaller)
    flags |= FlagToCaller;
  if (packet.Idempotent)
    flags |= FlagIdempotent;
  if (packet.Last)
    flags |= FlagLast;
  if (packet.Outcome == RefusedOutcome::Unknown)
    flags |= FlagUnknownOutcome;
  if (packet.Draining)
    flags |= FlagDraining;
  return flags;
}

} // namespace

QByteArray encodePacket(const Packet &packet) {
  QByteArray buf;
  buf.reserve(packet.Payload.size() + 64);
  QCborStreamWriter writer(&buf);
  writer.startArray(FieldCount);
  writer.append(quint64{PacketFormatVersion});
  writer.append(static_cast<quint64>(packet.Kind));
  writer.append(quint64{encodeFlags(packet)});
  writer.append(quint64{packet.Flow.Source.packed()});
  writer.append(quint64{packet.Flow.Destination.packed()});
  writer.append(quint64{packet.Flow.Protocol});
  writer.append(quint64{packet.Origin.packed()});
  writer.append(quint64{packet.Request.Value});
  writer.append(static_cast<quint64>(packet.DeadlineMs));
  writer.append(quint64{packet.Part});
  writer.append(static_cast<quint64>(packet.Why));
  writer.append(quint64{packet.RetryAfterMs});
  writer.append(packet.Payload);
  writer.endArray();
  return buf;
}

tl::expected<PacketHeader, Reason>
decodePacketHeader(const QByteArray &datagram) {
  if (datagram.size() > MaxPacketBytes)
    return tl::make_unexpected(Reason::BadPacket);
  QCborStreamReader reader(datagram.constData(), datagram.size());
  return readHeader(reader).map(
      [](const RawHeader &raw) { return raw.Header; });
}

tl::expected<Packet, Reason> decodePacket(const QByteArray &datagram) {
  if (datagram.size() > MaxPacketBytes)
    return tl::make_unexpected(Reason::BadPacket);
  QCborStreamReader reader(datagram.constData(), datagram.size());
  tl::expected<RawHeader, Reason> raw = readHeader(reader);
  if (!raw)
    return tl::make_unexpected(raw.error());
  uint64_t request = 0;
  uint64_t deadline = 0;
  uint64_t part = 0;
  uint64_t why = 0;
  uint64_t retryAfter = 0;
  Packet out{.Kind = raw->Header.Kind,
             .ToCaller = raw->Header.ToCaller,
             .Flow = raw->Header.Flow,
             .Origin = raw->Header.Origin,
             .Idempotent = (raw->Flags & FlagIdempotent) != 0,
             .Last = (raw->Flags & FlagLast) != 0,
             .Draining = (raw->Flags & FlagDraining) != 0};
  bool ok = readNumber(reader, UINT64_MAX, request) &&
            readNumber(reader, INT64_MAX, deadline) &&
            readNumber(reader, UINT32_MAX, part) &&
            readNumber(reader, ReasonCount - 1, why) &&
            readNumber(reader, UINT32_MAX, retryAfter) &&
            readPayload(reader, out.Payload) && reader.leaveContainer() &&
            reader.currentOffset() == datagram.size();
  if (!ok)
    return tl::make_unexpected(Reason::BadPacket);
  out.Request = RequestId{request};
  out.DeadlineMs = static_cast<int64_t>(deadline);
  out.Part = static_cast<uint32_t>(part);
  out.Why = static_cast<Reason>(why);
  out.RetryAfterMs = static_cast<uint32_t>(retryAfter);
  if ((raw->Flags & FlagUnknownOutcome) != 0)
    out.Outcome = RefusedOutcome::Unknown;
  return out;
}

} // namespace chicory
