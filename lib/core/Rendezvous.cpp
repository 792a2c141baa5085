#include "chicorybank/core/Rendezvous.h"

#include "chicorybank/base/Hash.h"

#include <algorithm>
#include <cmath>

namespace chicory {

namespace {

uint64_t score(uint64_t flowHash, InstanceId id) {
  return mixHash(flowHash, id.Value);
}

uint64_t score(uint64_t flowHash, TargetId id) {
  return mixHash(flowHash, id.packed());
}

template <typename Id>
std::vector<Id> order(uint64_t flowHash, std::span<const Id> candidates,
                      size_t count) {
  std::vector<Id> out(candidates.begin(), candidates.end());
  std::sort(out.begin(), out.end(), [flowHash](Id a, Id b) {
    return score(flowHash, a) > score(flowHash, b);
  });
  out.resize(std::min(count, out.size()));
  return out;
}

} // namespace

InstanceId rendezvousFirst(uint64_t flowHash,
                           std::span<const InstanceId> candidates) {
  InstanceId best;
  uint64_t bestScore = 0;
  for (InstanceId it : candidates) {
    uint64_t n = score(flowHash, it);
    if (best == InstanceId{} || n > bestScore) {
      best = it;
      bestScore = n;
    }
  }
  return best;
}

std::vector<InstanceId> rendezvousOrder(uint64_t flowHash,
                                        std::span<const InstanceId> candidates,
                                        size_t count) {
  return order(flowHash, candidates, count);
}

std::vector<TargetId> rendezvousOrder(uint64_t flowHash,
                                      std::span<const TargetId> candidates,
                                      size_t count) {
  return order(flowHash, candidates, count);
}

double rendezvousScore(uint64_t flowHash, TargetId target, double weight) {
  // 53 bits make an exact double in (0, 1).
  constexpr double Scale = 1.0 / (uint64_t{1} << 53);
  uint64_t bits = mixHash(flowHash, target.packed()) >> 11;
  double uniform = (static_cast<double>(bits) + 0.5) * Scale;
  return -weight / std::log(uniform);
}

} // namespace chicory
