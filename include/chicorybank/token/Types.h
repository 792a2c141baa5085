// Names of the token path: ids, tokens and the head of a packet.
//
// Where backend servers answer callers directly, both ends of a flow return a
// 32-bit token that the load balancer wrote into its last packet. The token
// names the flow's backend server, so any instance can serve any packet of an
// open flow without state of its own (docs/design/platform.md).

#ifndef CHICORYBANK_TOKEN_TYPES_H
#define CHICORYBANK_TOKEN_TYPES_H

#include "chicorybank/base/Types.h"

#include <cstddef>
#include <span>
#include <string>

namespace chicory::token {

/// A backend server. Another server has another id, so an address that is in
/// use again can't be mistaken for its former owner; a restart may keep the id
/// (`Registration::Born`).
using BackendId = StrongId<struct BackendTag, uint64_t>;

/// What both ends of a flow return. Zero means "none".
using Token = StrongId<struct TokenTag, uint32_t>;

/// The token of a backend server; never zero. Two servers may share one.
constexpr Token tokenOf(BackendId id) {
  auto bits = static_cast<uint32_t>(id.Value ^ (id.Value >> 32));
  return Token{bits == 0 ? 1 : bits};
}

/// The bytes of a packet as they arrived. They are passed on untouched but for
/// the token.
using Bytes = std::span<const std::byte>;

/// An instance and its availability zone.
struct ZonedInstance {
  InstanceId Id;
  std::string Zone;

  bool operator==(const ZonedInstance &) const = default;
};

/// What decisions need to know of a packet from a caller.
struct FlowPacket {
  Address Caller;
  /// The address that the operator's route names.
  Address Route;
  /// Position of this packet's data in the caller's stream.
  uint32_t Sequence = 0;
  /// How far the caller has received the answer stream.
  uint32_t Acknowledged = 0;
  Token Echo;
  uint16_t DataBytes = 0;
  /// Opens a flow (SYN).
  bool Open = false;
  /// For `Open`: zero for the first one, then the number of the copy.
  uint8_t OpenCopy = 0;
  bool Finish = false;
  bool Reset = false;

  FlowKey key() const { return {.Source = Caller, .Destination = Route}; }
};

} // namespace chicory::token

#endif
