// Who is alive, as this instance sees it.
//
// The platform's list of instances lags, so it only says whom to talk to. Life
// is judged by heartbeats, and by refused connections, which tell of a dead
// process at once. Two instances may differ for a moment: for flows that is
// harmless, because a pin is found again (see `Recovery.h`). Where it would
// do harm, for requests that must not run twice, `OwnershipTracker.h` decides.

#ifndef CHICORYBANK_CORE_MEMBERSHIP_H
#define CHICORYBANK_CORE_MEMBERSHIP_H

#include "chicorybank/core/Instance.h"

#include <array>
#include <map>
#include <optional>
#include <vector>

namespace chicory {

/// The times of membership.
struct MembershipOptions {
  Duration HeartbeatInterval = std::chrono::milliseconds(500);
  /// Silence after which a peer is no one's home.
  Duration SuspectAfter = std::chrono::milliseconds(1600);
  /// Silence after which a peer is forgotten.
  Duration ForgetAfter = std::chrono::seconds(60);
};

/// One peer as this instance sees it.
struct Peer {
  InstanceInfo Info;
  InstanceState State = InstanceState::Joining;
  uint64_t Incarnation = 0;
  uint64_t LastSequence = 0;
  RuleVersion Rules;
  MembersVersion Members;
  std::vector<InstanceId> ReachablePeers;
  /// Nothing until the first heartbeat.
  std::optional<Time> LastHeartbeatAt;
  Time KnownSince;
  /// A connection to it was refused after its last heartbeat.
  bool ConnectionRefused = false;
};

/// The peers of one instance and the list of homes.
class Membership {
public:
  Membership(InstanceInfo self, uint64_t incarnation,
             MembershipOptions options);

  const InstanceInfo &self() const { return Self; }
  InstanceState state() const { return State; }
  void setState(InstanceState state);

  /// A peer was named by settings, by the platform's list or by a peer.
  void addPeer(const InstanceInfo &info, Time now);
  /// A heartbeat came. Returns false for one that is older than the last.
  bool recordHeartbeat(const Heartbeat &heartbeat, Time now);
  /// A connection to a peer was refused: its process is gone.
  void recordRefusal(InstanceId id);
  /// Looks for silent peers; call it every few milliseconds.
  void update(Time now);

  /// The next heartbeat's common part. Call once for each round.
  Heartbeat nextHeartbeat(Time now);
  /// When the heartbeat with this sequence was sent, if that is remembered.
  std::optional<Time> sentAt(uint64_t sequence) const;

  /// True while a peer is heard, whatever its state.
  bool isReachable(InstanceId id, Time now) const;
  /// The instances that can be a home, this one included; sorted.
  const std::vector<InstanceId> &homes() const { return Homes; }
  /// Peers that are leaving but still answer questions.
  const std::vector<InstanceId> &leavingPeers() const { return LeavingPeers; }
  /// Peers that are heard, whatever their state.
  std::vector<InstanceId> reachablePeers(Time now) const;
  /// True where nobody else that is heard hears this peer either.
  bool isConfirmedUnreachable(InstanceId id, Time now) const;
  /// Null for an unknown peer.
  const Peer *find(InstanceId id) const;
  const std::map<InstanceId, Peer> &peers() const { return Peers; }

private:
  static constexpr size_t SentTimesKept = 64;

  void rebuild(Time now);

  InstanceInfo Self;
  uint64_t Incarnation;
  MembershipOptions Options;
  InstanceState State = InstanceState::Joining;
  uint64_t Sequence = 0;
  std::array<Time, SentTimesKept> SentTimes{};
  std::map<InstanceId, Peer> Peers;
  std::vector<InstanceId> Homes;
  std::vector<InstanceId> LeavingPeers;
  Time LastUpdate;
};

} // namespace chicory

#endif
