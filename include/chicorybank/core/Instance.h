// What instances tell each other about themselves, and the members document.

#ifndef CHICORYBANK_CORE_INSTANCE_H
#define CHICORYBANK_CORE_INSTANCE_H

#include "chicorybank/base/Types.h"

#include <string>
#include <vector>

namespace chicory {

/// Where an instance can be reached. It comes from the instance's settings.
struct InstanceInfo {
  InstanceId Id;
  std::string Zone;
  /// For packets, its own and passed-on ones (UDP).
  Address Packets;
  /// For control messages (HTTP/2 over TCP).
  Address Peers;
  /// For metrics and for `chicoryctl` (HTTP).
  Address Admin;

  bool operator==(const InstanceInfo &) const = default;
};

/// The life of an instance.
enum class InstanceState : uint8_t {
  Joining, ///< Holds no current rule set yet and is nobody's home.
  Live,    ///< Serves.
  Leaving, ///< Ends what it began and takes nothing new.
};

/// Which instances may own flows, agreed through the platform.
///
/// `core/OwnershipTracker.h` explains why `Previous` is part of it.
struct MembersDocument {
  MembersVersion Version;
  std::vector<InstanceId> Members;
  /// The members of the version before this one.
  std::vector<InstanceId> Previous;

  bool operator==(const MembersDocument &) const = default;
};

/// The periodic message from one instance to another.
struct Heartbeat {
  /// Only the id is set for a receiver that hears the sender already.
  InstanceInfo Sender;
  /// Differs each time that the sender's process starts.
  uint64_t Incarnation = 0;
  uint64_t Sequence = 0;
  /// The last sequence that the sender has seen from the receiver; this is
  /// what grants a lease (see `core/OwnershipTracker.h`).
  uint64_t Echo = 0;
  /// Which life of the receiver `Echo` belongs to: a lease must not pass from
  /// a process to its successor with the same id.
  uint64_t EchoIncarnation = 0;
  InstanceState State = InstanceState::Joining;
  RuleVersion Rules;
  MembersVersion Members;
  /// Whom the sender hears; confirms or denies a suspicion.
  std::vector<InstanceId> ReachablePeers;
  /// Instances that the sender hears and the receiver does not: with the
  /// platform out of reach this is how newcomers become known.
  std::vector<InstanceInfo> Introductions;
  /// Targets that have told the sender that they are leaving.
  std::vector<TargetId> Draining;
  /// The members document, only for a receiver that is behind; else version 0.
  MembersDocument Document;

  bool operator==(const Heartbeat &) const = default;
};

} // namespace chicory

#endif
