// Who asks the registry and who passes news on to whom, without a leader.
//
// All instances put the registered instances in the same order: zones by a
// hash, instances within a zone by a hash. The place in that order gives each
// a patience: the first asks when its news is as old as the pace, the others
// later. Whoever asked pushes the answer to the head of each zone's order; from
// there it goes down a tree in which each instance passes it on to a few.
//
// An instance that does not see its own record yet has no place: its patience
// is that of the last. Otherwise each of hundreds that start at once would take
// itself for the first, and ask for changes twice a second until it knew
// better.
//
// Records lapse while the registry is away, all of them at once. An instance
// whose own record is missing keeps the order that it knew until its record is
// back, which takes a renewal; of the others most live.
//
// If the first dies, is cut off or is turned away, no push comes, the next
// one's patience ends and it asks. If one inside the tree does, the first of
// those to whom it would pass news on asks, and tells the others of them:
// patience grows with the steps from the first, so that one call serves all
// behind the one that died, however many they are. Two instances that disagree
// about the order only cost a call or a datagram more.

#ifndef CHICORYBANK_EDGE_PROPAGATIONTREE_H
#define CHICORYBANK_EDGE_PROPAGATIONTREE_H

#include "chicorybank/edge/RegistryWatcher.h"

#include <map>
#include <vector>

namespace chicory::edge {

/// How an instance takes part.
struct PropagationOptions {
  InstanceId Self;
  std::string Zone;
  Duration PollInterval = std::chrono::milliseconds(500);
  /// News has to be in force everywhere within this time.
  Duration ApplyWithin = std::chrono::seconds(3);
  Duration RetryMax = std::chrono::milliseconds(800);
  uint64_t Seed = 1;
};

/// The order and what follows from it.
class PropagationTree {
public:
  /// Each instance passes news on to this many in its zone: 900 instances are
  /// reached in four steps, with 16 datagrams a second from each.
  static constexpr size_t FanOut = 8;
  /// In another zone the news goes to this many, in case the first is gone.
  static constexpr size_t HeadsPerOtherZone = 2;

  explicit PropagationTree(PropagationOptions options);

  /// The registered instances changed. Those that leave have no place.
  void learn(const std::map<InstanceId, PeerRecord> &peers);

  Duration stalenessLimit() const { return StalenessLimit; }
  Duration retryMax() const { return RetryMax; }
  /// Whom to tell. `asked`: this instance got the news from the registry, not
  /// from another instance.
  std::vector<Address> targets(bool asked) const;

private:
  struct Place;

  void setStalenessLimit(size_t zoneRank, size_t rank);
  void append(const std::vector<Place> &places, size_t first,
              std::vector<Address> &out) const;
  double share() const;

  PropagationOptions Options;
  Duration StalenessLimit;
  Duration RetryMax;
  /// Its own record has been seen.
  bool Placed = false;
  std::vector<Address> Children;
  std::vector<Address> Heads;
  /// Those that get news from the same instance as this one.
  std::vector<Address> Siblings;
};

} // namespace chicory::edge

#endif
