// Instance addresses and states, the members document and heartbeats.

#ifndef CHICORYBANK_CORE_INSTANCE_H
#define CHICORYBANK_CORE_INSTANCE_H

#include "chicorybank/base/Types.h"

#include <string>
#include <vector>

namespace chicory {

/// The addresses of an instance, taken from its settings.
struct InstanceInfo {
  InstanceId Id;
  std::string Zone;
  /// For packets from the fabric, targets and other instances (UDP).
  Address Packets;
  /// For control messages (HTTP/2 over TCP).
  Address Peers;
  /// For metrics and for `chicoryctl` (HTTP).
  Address Admin;

  bool operator==(const InstanceInfo &) const = default;
};

/// Lifecycle of an instance.
enum class InstanceState : uint8_t {
  Joining, ///< Has no current rule set yet and is not the home of any flow.
  Live,    ///< Serves traffic.
  Leaving, ///< Finishes its requests and accepts nothing new.
};

/// The instances that may own flows, as agreed through the platform.
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
  /// Only the id is set if the receiver already gets the sender's heartbeats.
  InstanceInfo Sender;
  /// Different for each start of the sender's process.
  uint64_t Incarnation = 0;
  uint64_t Sequence = 0;
  /// The last sequence number that the sender got from the receiver. The echo
  /// grants the receiver a lease (see `core/OwnershipTracker.h`).
  uint64_t Echo = 0;
  /// The receiver's incarnation that `Echo` belongs to: a lease must not pass
  /// from a process to its successor with the same id.
  uint64_t EchoIncarnation = 0;
  InstanceState State = InstanceState::Joining;
  RuleVersion Rules;
  MembersVersion Members;
  /// Peers that the sender can reach; confirms or refutes a suspicion.
  std::vector<InstanceId> ReachablePeers;
  /// Instances that the sender can reach and the receiver can't. New instances
  /// become known through these while the platform is unreachable.
  std::vector<InstanceInfo> Introductions;
  /// Targets that reported to the sender that they are leaving.
  std::vector<TargetId> Draining;
  /// The members document if the receiver has an older one; otherwise version
  /// 0.
  MembersDocument Document;

  bool operator==(const Heartbeat &) const = default;
};

} // namespace chicory

#endif
