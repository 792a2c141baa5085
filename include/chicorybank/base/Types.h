// Strong types for ids, addresses and times.
//
// All packages use these instead of plain integers, so that an instance id
// can't be passed where a request id is expected.

#ifndef CHICORYBANK_BASE_TYPES_H
#define CHICORYBANK_BASE_TYPES_H

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace chicory {

/// The clock type of `core`: microseconds since an origin that the caller
/// chooses.
///
/// `core` never reads a clock; its caller passes the current time. The daemon
/// uses CLOCK_BOOTTIME (see `base/Clock.h`), which continues to count while the
/// machine is suspended. Leases depend on this.
struct CoreClock {
  using rep = int64_t;
  using period = std::micro;
  using duration = std::chrono::duration<rep, period>;
  using time_point = std::chrono::time_point<CoreClock>;
  static constexpr bool is_steady = true; // NOLINT: named by the standard.
};

/// A duration in microseconds.
///
///   Duration timeout = std::chrono::milliseconds(250);
using Duration = CoreClock::duration;

/// A point in time on `CoreClock`.
using Time = CoreClock::time_point;

/// An integer with a type of its own for each kind of id.
///
///   InstanceId a{3};
///   uint32_t raw = a.Value;
template <typename Tag, typename Rep> struct StrongId {
  Rep Value = 0;
  auto operator<=>(const StrongId &) const = default;
};

/// The id of an instance. Zero means "none".
using InstanceId = StrongId<struct InstanceTag, uint32_t>;
/// The id of a service: a hash of its name (`serviceIdOf`). Zero means "none".
using ServiceId = StrongId<struct ServiceTag, uint64_t>;
/// The id of a request on a flow, chosen by the caller.
using RequestId = StrongId<struct RequestTag, uint64_t>;
/// The version of the operators' rule set. Zero means that none is known.
using RuleVersion = StrongId<struct RuleVersionTag, uint64_t>;
/// The version of the members document (see `core/OwnershipTracker.h`).
using MembersVersion = StrongId<struct MembersVersionTag, uint64_t>;

/// An IPv4 address and a port, both in host byte order.
struct Address {
  uint32_t Ip = 0;
  uint16_t Port = 0;

  auto operator<=>(const Address &) const = default;
  /// Returns true for every address except 0.0.0.0:0.
  explicit operator bool() const { return Ip != 0 || Port != 0; }
  /// Returns both parts in one integer, for hashing and for compact tables.
  uint64_t packed() const { return (uint64_t{Ip} << 16) | Port; }
  /// The inverse of `packed`.
  static Address unpack(uint64_t bits) {
    return {.Ip = static_cast<uint32_t>(bits >> 16),
            .Port = static_cast<uint16_t>(bits)};
  }
};

/// The id of a target is its address, so it stays the same across rule sets.
using TargetId = Address;

/// The five fields that identify a flow, as the caller sees them.
struct FlowKey {
  Address Source;
  Address Destination;
  uint8_t Protocol = 17;

  auto operator<=>(const FlowKey &) const = default;
};

/// Parses "10.0.0.1:80". Returns nothing for any other text.
///
///   std::optional<Address> a = parseAddress("127.0.0.1:9000");
std::optional<Address> parseAddress(std::string_view text);

/// Parses "10.0.0.1" and returns it in host byte order.
std::optional<uint32_t> parseIp(std::string_view text);

/// Parses an unsigned decimal integer. Returns nothing if the text has any
/// other character.
std::optional<uint64_t> parseNumber(std::string_view text);

/// Formats an IPv4 address as "10.0.0.1".
std::string formatIp(uint32_t ip);

/// Formats an address as "10.0.0.1:80".
std::string formatAddress(Address address);

/// Formats a flow key as "source>destination/protocol", for logs and operators.
std::string formatFlow(const FlowKey &key);

} // namespace chicory

template <typename Tag, typename Rep>
struct std::hash<chicory::StrongId<Tag, Rep>> {
  size_t operator()(const chicory::StrongId<Tag, Rep> &id) const {
    return std::hash<Rep>{}(id.Value);
  }
};

template <> struct std::hash<chicory::Address> {
  size_t operator()(const chicory::Address &address) const {
    return std::hash<uint64_t>{}(address.packed());
  }
};

#endif
