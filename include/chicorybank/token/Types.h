// Types of the token path: ids, tokens and the packet head.
//
// Backend servers answer callers directly. Both ends of a flow echo a 32-bit
// token that the load balancer wrote into the last packet that it forwarded on
// the flow. The token identifies
// the flow's backend server, so any instance can forward any packet of an open
// flow without state of its own (docs/design/platform.md).

#ifndef CHICORYBANK_TOKEN_TYPES_H
#define CHICORYBANK_TOKEN_TYPES_H

#include "chicorybank/base/Types.h"

#include <cstddef>
#include <span>
#include <string>

namespace chicory::token {

/// A backend server. Different servers have different ids, so a server at a
/// reused address can't be confused with the previous owner of the address. A
/// restarted server may keep its id (`Registration::StartedAtMs`).
using BackendId = StrongId<struct BackendTag, uint64_t>;

/// The token that both ends of a flow echo. Zero means "none".
using Token = StrongId<struct TokenTag, uint32_t>;

/// Returns the token of a backend server; never zero. Two servers may have the
/// same token.
constexpr Token tokenOf(BackendId id) {
  auto bits = static_cast<uint32_t>(id.Value ^ (id.Value >> 32));
  return Token{bits == 0 ? 1 : bits};
}

/// The bytes of a packet as received. They are forwarded unchanged except for
/// the token.
using Bytes = std::span<const std::byte>;

/// An instance and its availability zone.
struct ZonedInstance {
  InstanceId Id;
  std::string Zone;

  bool operator==(const ZonedInstance &) const = default;
};

/// How a server's health changed in the view of one instance.
enum class HealthChange : uint8_t {
  None,
  Ejected,  ///< It gets no new flows, because it fails part of its requests.
  Restored, ///< It gets new flows again.
};

/// The fields of a caller's packet that decisions depend on.
struct FlowPacket {
  Address Caller;
  /// The address of the route, as the operators configured it.
  Address Route;
  /// Position of this packet's data in the caller's stream.
  uint32_t Sequence = 0;
  /// Position up to which the caller has received the response stream.
  uint32_t Acknowledged = 0;
  Token Echo;
  uint16_t DataBytes = 0;
  /// Opens a flow (SYN).
  bool Open = false;
  /// For `Open`: zero for the first opening, then the number of the copy.
  uint8_t OpenCopy = 0;
  bool Finish = false;
  bool Reset = false;

  FlowKey key() const { return {.Source = Caller, .Destination = Route}; }
};

} // namespace chicory::token

#endif
