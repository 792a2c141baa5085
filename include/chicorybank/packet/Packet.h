// The format of packets: UDP datagrams between callers, instances and backend
// servers.
//
// A packet is one CBOR array (RFC 8949), encoded by Qt. docs/PACKETS.md maps
// each kind to its counterpart in TCP/IP. This format is all that callers and
// backend servers need to know of chicorybank.

#ifndef CHICORYBANK_PACKET_PACKET_H
#define CHICORYBANK_PACKET_PACKET_H

#include "chicorybank/base/Reasons.h"
#include "chicorybank/base/Types.h"

#include <QByteArray>
#include <tl/expected.hpp>

namespace chicory {

/// The kind of a packet. The numbers are sent on the wire and never change.
enum class PacketKind : uint8_t {
  Open = 1,    ///< A caller opens a flow.
  Data = 2,    ///< Bytes of an established flow, in either direction.
  Close = 3,   ///< Either side closes the flow in an orderly way.
  Reset = 4,   ///< The flow does not exist, or no longer exists.
  Request = 5, ///< A caller sends a whole request.
  Answer = 6,  ///< One part of an answer.
  Refused = 7, ///< The request has no answer: see `Packet::Outcome`.
  Cancel = 8,  ///< The caller no longer waits for a request.
  Probe = 9,   ///< An instance asks a backend server for a report.
  Report = 10, ///< A backend server reports its health and load.
};

/// Whether a refused request may have run.
enum class RefusedOutcome : uint8_t {
  NotRun,  ///< It was not run and never will be.
  Unknown, ///< It may have run.
};

/// A decoded packet.
///
///   Packet packet{.Kind = PacketKind::Open, .Flow = key};
///   QByteArray datagram = encodePacket(packet);
struct Packet {
  PacketKind Kind = PacketKind::Data;
  /// True for packets from a backend server to the caller. In both directions
  /// the source of `Flow` is the caller.
  bool ToCaller = false;
  FlowKey Flow;
  /// In packets to the caller: the backend server that sent it. The fabric
  /// forwards packets from its own addresses, so the source address of the
  /// datagram does not identify the server.
  Address Origin;
  RequestId Request;
  /// The request may run more than once without harm.
  bool Idempotent = false;
  /// This is the last part of an answer.
  bool Last = false;
  /// The index of this part of an answer, from zero. In a Report: the number of
  /// requests that the backend server is running.
  uint32_t Part = 0;
  /// Milliseconds since the Unix epoch. A backend server does not start the
  /// request after this time.
  int64_t DeadlineMs = 0;
  RefusedOutcome Outcome = RefusedOutcome::NotRun;
  /// Why a request was refused.
  Reason Why = Reason::None;
  /// The delay after which the caller may retry, in milliseconds.
  uint32_t RetryAfterMs = 0;
  /// In a Report: the backend server is draining.
  bool Draining = false;
  QByteArray Payload;
};

/// The fields of a packet that forwarding needs.
struct PacketHeader {
  PacketKind Kind = PacketKind::Data;
  bool ToCaller = false;
  FlowKey Flow;
  Address Origin;
};

/// The maximum size of a packet. With its headers it fits the Ethernet MTU.
inline constexpr qsizetype MaxPacketBytes = 1400;

/// The version of this format. Packets of any other version are refused with
/// Reason::BadVersion.
inline constexpr uint64_t PacketFormatVersion = 1;

/// Encodes a packet as a datagram.
QByteArray encodePacket(const Packet &packet);

/// Decodes a whole packet. Fails with BadPacket or BadVersion.
tl::expected<Packet, Reason> decodePacket(const QByteArray &datagram);

/// Decodes only the header, for packets that are forwarded unchanged. Fails
/// with BadPacket or BadVersion.
tl::expected<PacketHeader, Reason>
decodePacketHeader(const QByteArray &datagram);

} // namespace chicory

#endif
