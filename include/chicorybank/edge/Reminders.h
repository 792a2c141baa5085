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

#ifndef CHICORYBANK_EDGE_REMINDERS_H
#define CHICORYBANK_EDGE_REMINDERS_H

#include "chicorybank/edge/Registry.h"

#include <map>
#include <vector>

namespace chicory::edge {

/// Remembers who has left, and when others are next told.
class Reminders {
public:
  /// Registered instances are told about at the pace of other news: one of them
  /// may have been killed and be back.
  static constexpr Duration Every = std::chrono::milliseconds(700);
  /// Those that have left are few, and each may start at any moment; its
  /// packets wait for 200 ms before they are dropped. The news of all
  /// neighbours goes stale at the same moment, so they don't fill each other's
  /// gaps.
  static constexpr Duration FormerEvery = std::chrono::milliseconds(200);
  /// An instance that left may be back at its address, as in a rolling restart.
  static constexpr Duration FormerFor = std::chrono::seconds(30);
  /// One whose record lapsed keeps its place in the order for this long: a
  /// registry that turns it away for as long as a lease lives is no exception.
  static constexpr Duration PlaceKeptFor = std::chrono::seconds(12);

  /// The registered instances are now these.
  void learn(const std::map<InstanceId, PeerRecord> &peers, Time now);
  /// Whether the registered instances are to be told now.
  bool due(bool away, Time now);
  /// Instances to be told now that have left, or are leaving, and may be back.
  std::vector<Address> dueFormer(bool away, Time now);
  /// When either is due while the registry is away.
  Time nextAt(bool away) const;
  const std::map<InstanceId, PeerRecord> &known() const { return Known; }
  /// Those that have a place in the order: the registered ones, and those whose
  /// records have lapsed. Most of them live, and the registry turns them away:
  /// without a place nobody would tell them anything, just when they can't ask.
  std::map<InstanceId, PeerRecord> placed(Time now) const;

private:
  struct Left {
    PeerRecord Peer;
    Time At;
  };
  std::map<InstanceId, PeerRecord> Known;
  std::map<InstanceId, Left> Former;
  Time DueAt;
  Time FormerDueAt;
};

} // namespace chicory::edge

#endif
