// Rendezvous hashing (Thaler, Ravishankar 1998): orders candidates for a flow.
//
// All instances with the same candidates get the same order without exchanging
// messages. When a candidate is removed, only its own flows move.

#ifndef CHICORYBANK_CORE_RENDEZVOUS_H
#define CHICORYBANK_CORE_RENDEZVOUS_H

#include "chicorybank/base/Types.h"

#include <span>
#include <vector>

namespace chicory {

/// Returns the first candidate for a flow's hash, or none from an empty list.
///
///   InstanceId home = rendezvousFirst(hashFlow(key), liveInstances);
InstanceId rendezvousFirst(uint64_t flowHash,
                           std::span<const InstanceId> candidates);

/// Returns the first `count` candidates for a flow's hash, in order.
std::vector<InstanceId> rendezvousOrder(uint64_t flowHash,
                                        std::span<const InstanceId> candidates,
                                        size_t count);

/// Returns the first `count` targets for a flow's hash, in order. All targets
/// have equal weight.
std::vector<TargetId> rendezvousOrder(uint64_t flowHash,
                                      std::span<const TargetId> candidates,
                                      size_t count);

/// Returns a target's score for a flow; the highest comes first. Weighted as in
/// "Weighted distributed hash tables" (Schindelhauer, Schomaker 2005): a
/// target's share of flows follows its weight.
double rendezvousScore(uint64_t flowHash, TargetId target, double weight);

} // namespace chicory

#endif
