// The packet: one UDP datagram of a caller, a backend server or an instance.
//
// docs/PACKETS.md maps each kind to its counterpart in TCP/IP. The codec is
// Qt's CBOR (RFC 8949); a packet is one CBOR array. Callers and backend servers
// need to know this format and nothing else of chicorybank.

#ifndef CHICORYBANK_PACKET_PACKET_H
#define CHICORYBANK_PACKET_PACKET_H

#include "chicorybank/base/Reasons.h"
#include "chicorybank/base/Types.h"

#include <QByteArray>
#include <tl/expected.hpp>

namespace chicory {

/// What a packet does. The numbers are on the wire and never change.
enum class PacketKind : uint8_t {
  Open = 1,    ///< A caller opens a flow.
  Data = 2,    ///< Bytes of an established flow, in either direction.
  Close = 3,   ///< An orderly end, by either side.
  Reset = 4,   ///< The flow does not exist, or no longer.
  Request = 5, ///< A whole request of a caller.
  Answer = 6,  ///< One part of an answer.
  Refused = 7, ///< The request has no answer: see `Packet::Outcome`.
  Cancel = 8,  ///< The caller no longer waits for a request.
  Probe = 9,   ///< An instance asks a backend server for a report.
  Report = 10, ///< Health and load of a backend server.
};

/// What is known of a request that gets no answer.
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
  /// True on the way from a backend server to the caller. `Flow` names the
  /// caller as its source in both directions.
  bool ToCaller = false;
  FlowKey Flow;
  /// On the way to the caller: the backend server that sent it. The fabric
  /// hands packets on from addresses of its own, so the datagram can't tell.
  Address Origin;
  RequestId Request;
  /// The request may run more than once without harm.
  bool Idempotent = false;
  /// This is the last part of an answer.
  bool Last = false;
  /// The number of an answer's part, from zero. In a Report: how many
  /// requests run at the backend server now.
  uint32_t Part = 0;
  /// Milliseconds since the Unix epoch; a backend server starts nothing after.
  int64_t DeadlineMs = 0;
  RefusedOutcome Outcome = RefusedOutcome::NotRun;
  /// Why a request was refused.
  Reason Why = Reason::None;
  /// When the caller may try again, in milliseconds from now.
  uint32_t RetryAfterMs = 0;
  /// In a Report: the backend server is leaving.
  bool Draining = false;
  QByteArray Payload;
};

/// The part of a packet that the forwarding path needs.
struct PacketHeader {
  PacketKind Kind = PacketKind::Data;
  bool ToCaller = false;
  FlowKey Flow;
  Address Origin;
};

/// No packet is larger, so that it fits the Ethernet MTU with its headers.
inline constexpr qsizetype MaxPacketBytes = 1400;

/// The version of this format; others are refused with Reason::BadVersion.
inline constexpr uint64_t PacketFormatVersion = 1;

/// The datagram for a packet.
QByteArray encodePacket(const Packet &packet);

/// Reads a whole packet. Fails with BadPacket or BadVersion.
tl::expected<Packet, Reason> decodePacket(const QByteArray &datagram);

/// Reads only the head, for packets that are passed on as they are.
tl::expected<PacketHeader, Reason>
decodePacketHeader(const QByteArray &datagram);

} // namespace chicory

#endif
