// Hash functions that decide the placement of flows, based on xxHash (XXH3,
// 64 bits).
//
// Every instance must compute the same placement. The inputs are therefore
// copied into a buffer with a fixed layout, and no hash depends on padding.

#ifndef CHICORYBANK_BASE_HASH_H
#define CHICORYBANK_BASE_HASH_H

#include "chicorybank/base/Types.h"

#include <string_view>

namespace chicory {

/// Returns the hash of raw bytes.
uint64_t hashBytes(std::string_view bytes);

/// Returns the hash of a flow key, the input of every placement decision.
uint64_t hashFlow(const FlowKey &key);

/// Returns the score of a candidate for a flow in rendezvous hashing. It is
/// called once per candidate, so it must be cheap.
///
///   uint64_t score = mixHash(hashFlow(key), target.packed());
inline uint64_t mixHash(uint64_t hash, uint64_t candidate) {
  // The finalizer of SplitMix64 (Steele, Lea, Flood 2014).
  uint64_t x = hash ^ (candidate * 0x9e3779b97f4a7c15ULL);
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

/// Returns the id of the service with this name, which fits into a signed
/// integer and is never zero. It has 63 bits of two hashes, so that no two of
/// tens of thousands of names share it by chance: each would get the flows of
/// the other.
ServiceId serviceIdOf(std::string_view name);

/// Returns the lower 32 bits of a service's id, for formats that have no room
/// for more; never zero. Two of 34,000 names share it in one deployment out of
/// eight.
ServiceId shortServiceId(ServiceId id);

/// Returns true if the id is a short one.
bool isShort(ServiceId id);

} // namespace chicory

#endif
