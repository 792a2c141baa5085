// Whom an instance tells that it is there, while the registry is away.
//
// An instance that starts while the registry is away, or in a zone that is cut
// off from it, knows nothing and nobody: it drops all packets, and one sees
// `not_current` with `rules=0`. Its neighbours still have its record, or the
// one that it left with, and all that it needs; so they go on telling it that
// they are there, and it reads from whoever does.
//
// In a rolling restart it may be that just those are left who are about to
// stop, or who have only what a neighbour told them. They tell as well.
//
// Each instance is told by a few at a time, other ones each time. If all told
// all, or all told the heads of zones, a fleet whose registry is away would do
// nothing else; one sees `pushes` in `status` lines rise by hundreds a second.

#ifndef CHICORYBANK_EDGE_OUTAGEGOSSIP_H
#define CHICORYBANK_EDGE_OUTAGEGOSSIP_H

#include "chicorybank/edge/Registry.h"

#include <map>
#include <vector>

namespace chicory::edge {

/// Remembers who has left, and when others are next told.
class OutageGossip {
public:
  /// Registered instances are told about at the pace of other news: one of them
  /// may have been killed and be back.
  static constexpr Duration Interval = std::chrono::milliseconds(700);
  /// Those that have left are few, and each may start at any moment; its
  /// packets wait for 200 ms before they are dropped. The news of all
  /// neighbours goes stale at the same moment, so they don't fill each other's
  /// gaps.
  static constexpr Duration FormerInterval = std::chrono::milliseconds(200);
  /// An instance that left may be back at its address, as in a rolling restart.
  static constexpr Duration FormerRetention = std::chrono::seconds(30);
  /// One whose record lapsed keeps its place in the order for this long: a
  /// registry that turns it away for as long as a lease lives is no exception.
  static constexpr Duration LapsedRetention = std::chrono::seconds(12);

  /// So many in its zone tell an instance at a time, in the mean. Where half of
  /// them have died with it, it hears of one at the first or second time.
  static constexpr double SendersInZone = 4;
  /// And so many elsewhere, in case its whole zone has died.
  static constexpr double SendersElsewhere = 1;

  /// For an instance in this zone.
  OutageGossip(InstanceId self, std::string zone)
      : Self(self), Zone(std::move(zone)) {}

  /// The registered instances are now these.
  void learn(const std::map<InstanceId, PeerRecord> &peers, Time now);
  /// Registered instances to be told now.
  std::vector<Address> dueRegistered(bool away, Time now);
  /// Instances to be told now that have left, or are leaving, and may be back.
  std::vector<Address> dueFormer(bool away, Time now);
  /// When either is due while the registry is away.
  Time nextAt(bool away) const;
  const std::map<InstanceId, PeerRecord> &registered() const { return Known; }
  /// Those that have a place in the order: the registered ones, and those whose
  /// records have lapsed. Most of them live, and the registry turns them away:
  /// without a place nobody would tell them anything, just when they can't ask.
  std::map<InstanceId, PeerRecord> treeMembers(Time now) const;

private:
  struct Left {
    PeerRecord Peer;
    Time At;
  };
  bool tells(const PeerRecord &peer, uint64_t turn) const;

  InstanceId Self;
  std::string Zone;
  std::map<InstanceId, PeerRecord> Known;
  /// Of those, the others in this zone, and those elsewhere.
  size_t Neighbours = 0;
  size_t Elsewhere = 0;
  std::map<InstanceId, Left> Former;
  /// Counts the times at which any were told.
  uint64_t Turn = 0;
  Time DueAt;
  Time FormerDueAt;
};

} // namespace chicory::edge

#endif
