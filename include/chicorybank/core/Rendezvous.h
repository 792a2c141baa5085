// Rendezvous hashing (Thaler, Ravishankar 1998): who comes first for a flow.
//
// Every instance that holds the same candidates gives the same order without a
// message, and when a candidate goes only what it held moves.

#ifndef CHICORYBANK_CORE_RENDEZVOUS_H
#define CHICORYBANK_CORE_RENDEZVOUS_H

#include "chicorybank/base/Types.h"

#include <span>
#include <vector>

namespace chicory {

/// The first candidate for a flow's hash; none from an empty list.
///
///   InstanceId home = rendezvousFirst(hashFlow(key), liveInstances);
InstanceId rendezvousFirst(uint64_t flowHash,
                           std::span<const InstanceId> candidates);

/// The candidates for a flow's hash in their order, `count` at the most.
std::vector<InstanceId> rendezvousOrder(uint64_t flowHash,
                                        std::span<const InstanceId> candidates,
                                        size_t count);

/// The targets for a flow's hash in their order, by equal weight.
std::vector<TargetId> rendezvousOrder(uint64_t flowHash,
                                      std::span<const TargetId> candidates,
                                      size_t count);

/// A target's score for a flow; the highest comes first. Weighted as in
/// "Weighted distributed hash tables" (Schindelhauer, Schomaker 2005): a
/// target's share of flows follows its weight.
double rendezvousScore(uint64_t flowHash, TargetId target, double weight);

} // namespace chicory

#endif
