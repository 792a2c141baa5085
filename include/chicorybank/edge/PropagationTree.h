// Decides which instance asks the registry, and to which instances each one
// forwards updates, without a leader.
//
// All instances sort the registered instances in the same way: zones by a hash
// of their name, and instances within a zone by a hash of their id. The rank of
// an instance sets its staleness limit, the age of its data at which it asks
// the registry itself. The limit of the first instance is the poll interval;
// those of the others are longer. An instance that has asked pushes the answer
// to the heads of each zone, the first ones in its order. From there it goes
// down a tree in which each instance forwards it to a few others.
//
// An instance that does not see its own record yet has no rank and uses a
// random staleness limit, no shorter than that of rank 4 in its zone.
// Otherwise each of hundreds of instances that start at once would take itself
// for the first, and ask for changes twice a second until it saw its record.
//
// While the registry is unavailable, all records lapse at once. An instance
// whose own record is missing keeps the last known order until its record is
// back, which takes a new lease and a write; most of the other instances are
// still running.
//
// If the first instance fails, is cut off or is refused by the registry, no
// push comes, and the next one asks when its staleness limit is reached. If an
// instance inside the tree fails, the first of its children asks and pushes the
// answer to its siblings. The limit grows with the depth in the tree, so that
// one call serves the whole subtree of the failed instance, however large. Two
// instances that disagree about the order cost only an extra call or datagram.

#ifndef CHICORYBANK_EDGE_PROPAGATIONTREE_H
#define CHICORYBANK_EDGE_PROPAGATIONTREE_H

#include "chicorybank/edge/RegistryWatcher.h"

#include <map>
#include <vector>

namespace chicory::edge {

/// The place of an instance in the deployment, and the times that apply to it.
struct PropagationOptions {
  InstanceId Self;
  std::string Zone;
  Duration PollInterval = std::chrono::milliseconds(500);
  /// An update has to be in force on all instances within this time.
  Duration ApplyWithin = std::chrono::seconds(3);
  Duration RetryMax = std::chrono::milliseconds(800);
  uint64_t Seed = 1;
};

/// Computes this instance's staleness limit and the receivers of its pushes.
class PropagationTree {
public:
  /// Each instance forwards updates to this many others in its zone. An update
  /// reaches 900 instances in four steps, and each instance sends 16 datagrams
  /// a second.
  static constexpr size_t FanOut = 8;
  /// Updates go to this many instances of each other zone, in case the first
  /// one has failed.
  static constexpr size_t HeadsPerOtherZone = 2;

  explicit PropagationTree(PropagationOptions options);

  /// Takes the registered instances. Those that are leaving get no rank.
  void learn(const std::map<InstanceId, PeerRecord> &peers);

  Duration stalenessLimit() const { return StalenessLimit; }
  Duration retryMax() const { return RetryMax; }
  /// Returns the receivers of a push. `fromRegistry`: this instance got the
  /// update from the registry, not from another instance.
  std::vector<Address> targets(bool fromRegistry) const;

private:
  struct Member;

  void setStalenessLimit(size_t zoneRank, size_t rank);
  void appendAddresses(const std::vector<Member> &members, size_t first,
                       std::vector<Address> &out) const;
  double jitter() const;

  PropagationOptions Options;
  Duration StalenessLimit;
  Duration RetryMax;
  /// This instance has seen its own record.
  bool Ranked = false;
  std::vector<Address> Children;
  std::vector<Address> Heads;
  /// The other children of this instance's parent.
  std::vector<Address> Siblings;
};

} // namespace chicory::edge

#endif
