#include "chicorybank/peer/Messages.h"

#include "chicorybank/base/Hash.h"
#include "chicorybank/cbor/CborReader.h"

#include <QCborStreamReader>
#include <QCborStreamWriter>
#include <QCryptographicHash>
#include <QMessageAuthenticationCode>

namespace chicory {

namespace {

constexpr qint64 ProtocolVersion = 1;
// A datagram starts with a CBOR array of four fields; a caller's packet is an
// array of thirteen, so their first bytes differ.
constexpr uint64_t HeaderFields = 4;
constexpr auto FirstByte = static_cast<char>(0x84);

enum class ControlType : qint64 { Heartbeat = 1, RuleRequest, RuleDocument };
enum class DatagramType : uint64_t { ForwardedPacket = 1, Query, Reply };

template <typename... Visitors> struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

// --- Control messages -------------------------------------------------------

QCborArray encodeInfo(const InstanceInfo &info) {
  if (!info.Peers)
    return {qint64{info.Id.Value}};
  return {qint64{info.Id.Value}, QString::fromStdString(info.Zone),
          static_cast<qint64>(info.Packets.packed()),
          static_cast<qint64>(info.Peers.packed()),
          static_cast<qint64>(info.Admin.packed())};
}

QCborArray encodeInfos(const std::vector<InstanceInfo> &infos) {
  QCborArray out;
  for (const InstanceInfo &it : infos)
    out.append(encodeInfo(it));
  return out;
}

template <typename Id> QCborArray encodeIds(const std::vector<Id> &ids) {
  QCborArray out;
  for (Id it : ids)
    out.append(static_cast<qint64>(it.Value));
  return out;
}

QCborArray encodeTargets(const std::vector<TargetId> &targets) {
  QCborArray out;
  for (TargetId it : targets)
    out.append(static_cast<qint64>(it.packed()));
  return out;
}

QCborValue encodeDocument(const MembersDocument &document) {
  if (document.Version == MembersVersion{})
    return QCborArray();
  return QCborArray{static_cast<qint64>(document.Version.Value),
                    encodeIds(document.Members), encodeIds(document.Previous)};
}

InstanceInfo readInfo(CborReader &outer, const QCborValue &value) {
  CborReader reader(value);
  InstanceInfo out;
  out.Id.Value = static_cast<uint32_t>(reader.number(UINT32_MAX));
  if (!reader.done()) {
    out.Zone = reader.text();
    out.Packets = reader.address();
    out.Peers = reader.address();
    out.Admin = reader.address();
  }
  outer.require(reader.done() && out.Id != InstanceId{});
  return out;
}

std::vector<PageId> readPageIds(CborReader &outer) {
  std::vector<PageId> out;
  const QCborArray list = outer.list();
  for (const auto &it : list) {
    outer.require(it.isInteger());
    out.push_back(PageId{static_cast<uint64_t>(it.toInteger())});
  }
  return out;
}

MembersDocument readDocument(CborReader &outer) {
  QCborArray list = outer.list();
  MembersDocument out;
  if (list.isEmpty())
    return out;
  CborReader reader(list);
  out.Version.Value = static_cast<uint64_t>(reader.number());
  out.Members = reader.instances();
  out.Previous = reader.instances();
  outer.require(reader.done());
  return out;
}

QCborArray encode(const Heartbeat &message) {
  return {ProtocolVersion,
          static_cast<qint64>(ControlType::Heartbeat),
          encodeInfo(message.Sender),
          static_cast<qint64>(message.Incarnation),
          static_cast<qint64>(message.Sequence),
          static_cast<qint64>(message.Echo),
          static_cast<qint64>(message.EchoIncarnation),
          static_cast<qint64>(message.State),
          static_cast<qint64>(message.Rules.Value),
          static_cast<qint64>(message.Members.Value),
          encodeIds(message.ReachablePeers),
          encodeInfos(message.Introductions),
          encodeTargets(message.Draining),
          encodeDocument(message.Document)};
}

Heartbeat readHeartbeat(CborReader &reader) {
  Heartbeat out;
  out.Sender = readInfo(reader, reader.list());
  out.Incarnation = reader.bits();
  out.Sequence = static_cast<uint64_t>(reader.number());
  out.Echo = static_cast<uint64_t>(reader.number());
  out.EchoIncarnation = reader.bits();
  auto lastState = static_cast<qint64>(InstanceState::Leaving);
  out.State = static_cast<InstanceState>(reader.number(lastState));
  out.Rules.Value = static_cast<uint64_t>(reader.number());
  out.Members.Value = static_cast<uint64_t>(reader.number());
  out.ReachablePeers = reader.instances();
  const QCborArray introductions = reader.list();
  for (const auto &it : introductions)
    out.Introductions.push_back(readInfo(reader, it));
  const QCborArray draining = reader.list();
  for (const auto &it : draining) {
    reader.require(it.isInteger());
    out.Draining.push_back(
        Address::unpack(static_cast<uint64_t>(it.toInteger())));
  }
  out.Document = readDocument(reader);
  return out;
}

QCborArray encode(const RuleRequest &message) {
  return {ProtocolVersion, static_cast<qint64>(ControlType::RuleRequest),
          encodeInfo(message.Sender), encodeIds(message.KnownPages)};
}

RuleRequest readRuleRequest(CborReader &reader) {
  RuleRequest out;
  out.Sender = readInfo(reader, reader.list());
  out.KnownPages = readPageIds(reader);
  return out;
}

QCborArray encode(const RuleDocument &message) {
  QCborArray pages;
  for (const auto &[id, bytes] : message.Pages)
    pages.append(bytes);
  return {ProtocolVersion, static_cast<qint64>(ControlType::RuleDocument),
          encodeManifest(message.Manifest), pages};
}

RuleDocument readRuleDocument(CborReader &reader) {
  RuleDocument out;
  tl::expected<RuleManifest, Reason> manifest = decodeManifest(reader.bytes());
  reader.require(manifest.has_value());
  if (manifest)
    out.Manifest = *manifest;
  const QCborArray pages = reader.list();
  for (const auto &it : pages) {
    reader.require(it.isByteArray());
    out.Pages[pageIdOf(it.toByteArray())] = it.toByteArray();
  }
  return out;
}

// --- Datagrams --------------------------------------------------------------

bool readUnsigned(QCborStreamReader &reader, uint64_t &value) {
  if (!reader.isUnsignedInteger())
    return false;
  value = reader.toUnsignedInteger();
  return reader.next();
}

/// Reads an array of exactly `Size` unsigned integers.
template <size_t Size>
bool readNumbers(QCborStreamReader &reader,
                 std::array<uint64_t, Size> &numbers) {
  if (!reader.isArray() || !reader.isLengthKnown() || reader.length() != Size ||
      !reader.enterContainer())
    return false;
  for (uint64_t &it : numbers)
    if (!readUnsigned(reader, it))
      return false;
  return reader.leaveContainer();
}

/// Writes the header and an array of numbers. Reserves space for `payloadBytes`
/// bytes that the caller appends.
template <size_t Size>
QByteArray writeDatagram(DatagramType type, InstanceId sender,
                         const PeerKey &key,
                         const std::array<uint64_t, Size> &numbers,
                         qsizetype payloadBytes) {
  QByteArray buf;
  buf.reserve(96 + payloadBytes);
  QCborStreamWriter writer(&buf);
  writer.startArray(HeaderFields);
  writer.append(ProtocolVersion);
  writer.append(quint64{key.datagramToken()});
  writer.append(static_cast<quint64>(type));
  writer.append(quint64{sender.Value});
  writer.endArray();
  writer.startArray(Size);
  for (uint64_t it : numbers)
    writer.append(quint64{it});
  writer.endArray();
  return buf;
}

FlowKey flowOf(uint64_t source, uint64_t destination, uint64_t protocol) {
  return {.Source = Address::unpack(source),
          .Destination = Address::unpack(destination),
          .Protocol = static_cast<uint8_t>(protocol)};
}

std::optional<ForwardedPacketArrived>
readForwardedPacket(QCborStreamReader &reader, const QByteArray &bytes) {
  std::array<uint64_t, 3> numbers{};
  if (!readNumbers(reader, numbers) || numbers[0] > UINT8_MAX)
    return std::nullopt;
  ForwardedPacketArrived out{.Hops = static_cast<uint8_t>(numbers[0]),
                             .Rules = RuleVersion{numbers[1]}};
  out.Packet.From = Address::unpack(numbers[2]);
  out.Packet.Datagram = bytes.mid(reader.currentOffset());
  return out;
}

std::optional<FlowQuery> readQuery(QCborStreamReader &reader) {
  std::array<uint64_t, 7> numbers{};
  if (!readNumbers(reader, numbers))
    return std::nullopt;
  return FlowQuery{.Flow = flowOf(numbers[0], numbers[1], numbers[2]),
                   .Request = RequestId{numbers[3]},
                   .DeadlineMs = static_cast<int64_t>(numbers[4]),
                   .Asker = InstanceId{static_cast<uint32_t>(numbers[5])},
                   .Hops = static_cast<uint8_t>(numbers[6])};
}

std::optional<FlowReply> readReply(QCborStreamReader &reader) {
  std::array<uint64_t, 8> numbers{};
  bool ok = readNumbers(reader, numbers) &&
            numbers[4] <= static_cast<uint64_t>(QueryResult::MayBeSeen);
  if (!ok)
    return std::nullopt;
  return FlowReply{.Flow = flowOf(numbers[0], numbers[1], numbers[2]),
                   .Request = RequestId{numbers[3]},
                   .Result = static_cast<QueryResult>(numbers[4]),
                   .Target = Address::unpack(numbers[5]),
                   .Service = ServiceId{static_cast<uint32_t>(numbers[6])},
                   .Replier = InstanceId{static_cast<uint32_t>(numbers[7])}};
}

template <typename Message>
tl::expected<PeerDatagram, Reason>
orBadPeerMessage(std::optional<Message> message) {
  if (!message)
    return tl::make_unexpected(Reason::BadPeerMessage);
  return PeerDatagram(std::move(*message));
}

} // namespace

PeerKey::PeerKey(const QByteArray &secret) : Secret(secret) {
  QByteArray bytes = mac("datagram token");
  Token = hashBytes({bytes.constData(), static_cast<size_t>(bytes.size())});
}

QByteArray PeerKey::mac(const QByteArray &message) const {
  return QMessageAuthenticationCode::hash(message, Secret,
                                          QCryptographicHash::Sha256)
      .left(MessageMacBytes);
}

QByteArray encodeControl(const ControlMessage &message) {
  QCborArray fields =
      std::visit([](const auto &it) { return encode(it); }, message);
  return QCborValue(fields).toCbor();
}

tl::expected<ControlMessage, Reason> decodeControl(const QByteArray &bytes) {
  CborReader reader(decodeCbor(bytes));
  if (reader.number() != ProtocolVersion)
    return tl::make_unexpected(Reason::BadVersion);
  ControlMessage out;
  switch (static_cast<ControlType>(reader.number())) {
  case ControlType::Heartbeat:
    out = readHeartbeat(reader);
    break;
  case ControlType::RuleRequest:
    out = readRuleRequest(reader);
    break;
  case ControlType::RuleDocument:
    out = readRuleDocument(reader);
    break;
  default:
    return tl::make_unexpected(Reason::BadPeerMessage);
  }
  if (!reader.done())
    return tl::make_unexpected(Reason::BadPeerMessage);
  return out;
}

QByteArray encodePeerDatagram(const PeerDatagram &message, InstanceId sender,
                              const PeerKey &key) {
  auto forwardedPacket = [&](const ForwardedPacketArrived &it) {
    std::array<uint64_t, 3> numbers = {it.Hops, it.Rules.Value,
                                       it.Packet.From.packed()};
    return writeDatagram(DatagramType::ForwardedPacket, sender, key, numbers,
                         it.Packet.Datagram.size()) +
           it.Packet.Datagram;
  };
  auto query = [&](const FlowQuery &it) {
    std::array<uint64_t, 7> numbers = {it.Flow.Source.packed(),
                                       it.Flow.Destination.packed(),
                                       it.Flow.Protocol,
                                       it.Request.Value,
                                       static_cast<uint64_t>(it.DeadlineMs),
                                       it.Asker.Value,
                                       it.Hops};
    return writeDatagram(DatagramType::Query, sender, key, numbers, 0);
  };
  auto reply = [&](const FlowReply &it) {
    std::array<uint64_t, 8> numbers = {it.Flow.Source.packed(),
                                       it.Flow.Destination.packed(),
                                       it.Flow.Protocol,
                                       it.Request.Value,
                                       static_cast<uint64_t>(it.Result),
                                       it.Target.packed(),
                                       it.Service.Value,
                                       it.Replier.Value};
    return writeDatagram(DatagramType::Reply, sender, key, numbers, 0);
  };
  return std::visit(Overloaded{forwardedPacket, query, reply}, message);
}

bool isPeerDatagram(const QByteArray &datagram) {
  return !datagram.isEmpty() && datagram.front() == FirstByte;
}

tl::expected<PeerDatagram, Reason> decodePeerDatagram(const QByteArray &bytes,
                                                      const PeerKey &key) {
  auto badMessage = tl::make_unexpected(Reason::BadPeerMessage);
  QCborStreamReader reader(bytes.constData(), bytes.size());
  std::array<uint64_t, HeaderFields> header{};
  if (!readNumbers(reader, header))
    return badMessage;
  auto [version, token, type, sender] = header;
  if (version != ProtocolVersion)
    return tl::make_unexpected(Reason::BadVersion);
  if (token != key.datagramToken())
    return tl::make_unexpected(Reason::BadPeerKey);
  // A reader stops after one item of a CBOR sequence; the next item needs a new
  // reader.
  qsizetype offset = reader.currentOffset();
  QByteArray rest = bytes.mid(offset);
  QCborStreamReader fields(rest.constData(), rest.size());
  switch (static_cast<DatagramType>(type)) {
  case DatagramType::ForwardedPacket: {
    std::optional<ForwardedPacketArrived> out =
        readForwardedPacket(fields, rest);
    if (out)
      out->Sender = InstanceId{static_cast<uint32_t>(sender)};
    return orBadPeerMessage(std::move(out));
  }
  case DatagramType::Query:
    return orBadPeerMessage(readQuery(fields));
  case DatagramType::Reply:
    return orBadPeerMessage(readReply(fields));
  }
  return badMessage;
}

} // namespace chicory
