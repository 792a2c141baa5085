#include "chicorybank/token/ServerChoice.h"

#include <algorithm>
#include <cmath>

namespace chicory::token {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr Seconds TimeConstant{1};
// Bounds the effect of a failure share that rests on a few samples: a server
// that is worse is left to the outlier detection.
constexpr double MinSuccessShare = 0.2;

} // namespace

double expectedCost(const Candidate &it) {
  double success = std::max(MinSuccessShare, 1 - it.FailureShare);
  return (it.Load + it.Recent + 1) * it.Slowness / it.Weight / success +
         it.Penalty;
}

void RecentOpenings::add(BackendIndex i, BackendId id, Time now) {
  double count = at(i, id, now) + 1;
  if (Entries.size() <= i)
    Entries.resize(i + 1);
  Entries[i] = {.Id = id, .Count = count, .At = now};
}

double RecentOpenings::at(BackendIndex i, BackendId id, Time now) const {
  if (i >= Entries.size() || Entries[i].Id != id)
    return 0;
  Seconds age = std::max(now - Entries[i].At, Duration::zero());
  return Entries[i].Count * std::exp(-(age / TimeConstant));
}

} // namespace chicory::token
