// Which instances are running, as this instance sees it.
//
// The platform's list of instances lags, so it is used only to find peers.
// Heartbeats show that a peer is running; a refused connection shows at once
// that its process has stopped. Two instances may have different views for a
// moment. For flows that is harmless, because a lost pin is recovered (see
// `lib/core/FlowPath.h`). For requests that must not run twice it would do
// harm; there `OwnershipTracker.h` decides.

#ifndef CHICORYBANK_CORE_MEMBERSHIP_H
#define CHICORYBANK_CORE_MEMBERSHIP_H

#include "chicorybank/core/Instance.h"

#include <array>
#include <map>
#include <optional>
#include <vector>

namespace chicory {

/// Timing of heartbeats and suspicion.
struct MembershipOptions {
  Duration HeartbeatInterval = std::chrono::milliseconds(500);
  /// A peer without heartbeats for longer than this is suspected and is not the
  /// home of any flow.
  Duration SuspectAfter = std::chrono::milliseconds(1600);
  /// A peer without heartbeats for longer than this is removed.
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
  /// Empty until the first heartbeat.
  std::optional<Time> LastHeartbeatAt;
  Time KnownSince;
  /// It refused a connection after its last heartbeat.
  bool ConnectionRefused = false;
};

/// The peers of one instance, and which instances can be the home of flows.
class Membership {
public:
  Membership(InstanceInfo self, uint64_t incarnation,
             MembershipOptions options);

  const InstanceInfo &self() const { return Self; }
  InstanceState state() const { return State; }
  void setState(InstanceState state);

  /// Adds a peer from the settings, the platform's list or another peer.
  void addPeer(const InstanceInfo &info, Time now);
  /// Records a heartbeat. Returns false if it is ignored: it has this
  /// instance's own id, is not newer than the last one of the same process, or
  /// has no addresses and its sender is unknown.
  bool recordHeartbeat(const Heartbeat &heartbeat, Time now);
  /// Records that a peer refused a connection: its process has stopped.
  void recordRefusal(InstanceId id);
  /// Detects and removes peers without heartbeats; call it every few
  /// milliseconds.
  void update(Time now);

  /// Returns the part of the next heartbeat that is the same for all receivers.
  /// Call it once for each round of heartbeats.
  Heartbeat nextHeartbeat(Time now);
  /// Returns when the heartbeat with this sequence number was sent, if that is
  /// still recorded.
  std::optional<Time> sentAt(uint64_t sequence) const;

  /// Returns whether a peer, in any state, has sent a heartbeat within
  /// `SuspectAfter` and has refused no connection since.
  bool isReachable(InstanceId id, Time now) const;
  /// The instances that can be the home of a flow, including this one; sorted.
  const std::vector<InstanceId> &homes() const { return Homes; }
  /// Reachable peers that are leaving; they still answer queries.
  const std::vector<InstanceId> &leavingPeers() const { return LeavingPeers; }
  /// Returns all reachable peers, in any state.
  std::vector<InstanceId> reachablePeers(Time now) const;
  /// Returns whether neither this instance nor any reachable peer can reach a
  /// peer.
  bool isConfirmedUnreachable(InstanceId id, Time now) const;
  /// Returns a peer, or null if it is unknown.
  const Peer *find(InstanceId id) const;
  const std::map<InstanceId, Peer> &peers() const { return Peers; }

private:
  static constexpr size_t SentTimesKept = 64;

  void rebuildLists(Time now);

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
