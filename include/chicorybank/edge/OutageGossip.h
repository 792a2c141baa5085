// Selects the instances to which this one announces itself while the registry
// is unavailable.
//
// An instance that starts while the registry is unavailable, or in a zone that
// is cut off from it, has no data and knows no other instance. It drops all
// packets and logs `not_current` with `rules=0`. The other instances of its
// zone, its neighbours, still have its current record, or its last one, marked
// as leaving, and all the data that it needs. So they keep sending it pushes,
// and it reads the data from one of the senders.
//
// In a rolling restart, the only instances left may be ones that are about to
// stop, or that have only data of a neighbour. They send pushes as well.
//
// Each instance gets pushes from a few others at a time, and from different
// ones each time. If all sent to all, or all to the heads of zones, a
// deployment without its registry would do nothing else: `pushes` in `status`
// lines would rise by hundreds a second.

#ifndef CHICORYBANK_EDGE_OUTAGEGOSSIP_H
#define CHICORYBANK_EDGE_OUTAGEGOSSIP_H

#include "chicorybank/edge/Registry.h"

#include <map>
#include <vector>

namespace chicory::edge {

/// Remembers the instances that have left, and when pushes are next due.
class OutageGossip {
public:
  /// Registered instances get pushes about as often as updates come, since one
  /// of them may have been killed and restarted.
  static constexpr Duration Interval = std::chrono::milliseconds(700);
  /// Instances that have left are few, and each may start at any moment; its
  /// packets wait for 200 ms before they are dropped. All senders start their
  /// intervals at the same moment, when their data goes stale, so a receiver
  /// gets their pushes together, once an interval.
  static constexpr Duration FormerInterval = std::chrono::milliseconds(200);
  /// An instance that has left may be back at its address within this time, as
  /// in a rolling restart.
  static constexpr Duration FormerRetention = std::chrono::seconds(30);
  /// An instance whose record has lapsed stays in the propagation tree for this
  /// long: if the registry refuses its calls for the duration of a lease, its
  /// record lapses although it is running.
  static constexpr Duration LapsedRetention = std::chrono::seconds(12);

  /// The mean number of instances in its own zone that send to an instance in
  /// each round. If half of them have failed with it, the first or second round
  /// still reaches it.
  static constexpr double SendersInZone = 4;
  /// The mean number of senders in other zones, in case its whole zone has
  /// failed.
  static constexpr double SendersElsewhere = 1;

  /// Creates the state of instance `self` in this zone.
  OutageGossip(InstanceId self, std::string zone)
      : Self(self), Zone(std::move(zone)) {}

  /// Takes the instances that are registered now.
  void learn(const std::map<InstanceId, PeerRecord> &peers, Time now);
  /// Returns the registered instances that are due for a push; none while the
  /// registry is available.
  std::vector<Address> dueRegistered(bool registryUnavailable, Time now);
  /// Returns the former and leaving instances that are due for a push; none
  /// while the registry is available.
  std::vector<Address> dueFormer(bool registryUnavailable, Time now);
  /// Returns when the next push is due; `Time::max()` while the registry is
  /// available.
  Time nextAt(bool registryUnavailable) const;
  const std::map<InstanceId, PeerRecord> &registered() const {
    return Registered;
  }
  /// Returns the members of the propagation tree: the registered instances, and
  /// those whose records have lapsed. Most of the latter are running, and the
  /// registry refuses them: outside the tree they would get no updates just
  /// when they can't ask for them.
  std::map<InstanceId, PeerRecord> treeMembers(Time now) const;

private:
  struct FormerPeer {
    PeerRecord Peer;
    Time LeftAt;
  };
  bool sendsTo(const PeerRecord &peer, uint64_t round) const;

  InstanceId Self;
  std::string Zone;
  std::map<InstanceId, PeerRecord> Registered;
  /// The number of other registered instances in this zone.
  size_t Neighbours = 0;
  /// The number of all other registered instances. It includes this one if it
  /// is registered.
  size_t Elsewhere = 0;
  std::map<InstanceId, FormerPeer> Former;
  /// Counts the rounds: the times at which pushes were due.
  uint64_t Round = 0;
  Time DueAt;
  Time FormerDueAt;
};

} // namespace chicory::edge

#endif
