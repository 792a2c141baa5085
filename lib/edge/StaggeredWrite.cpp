#include "chicorybank/edge/StaggeredWrite.h"

#include "Http.h"

#include <algorithm>
#include <utility>

namespace chicory::edge {

void StaggeredWrite::learn(bool missing, Position storedAt, Time now) {
  bool before = std::exchange(Missing, missing);
  // While changes continue, data is always missing. The delay starts anew after
  // each write, so that one instance writes and the others don't join it.
  bool changed = std::exchange(StoredAt, storedAt) != storedAt;
  if (!before || changed)
    MissingSince = now;
  RefusedAsStale = RefusedAsStale && !changed;
}

Time StaggeredWrite::dueAt(Duration stalenessLimit) const {
  if (CallInFlight || !Missing || RefusedAsStale)
    return Time::max();
  return std::max(NotBefore, MissingSince + Times.SettleTime +
                                 stalenessLimit * Times.StalenessLimitFactor);
}

void StaggeredWrite::answered(const RegistryAnswer &answer, Time now) {
  CallInFlight = false;
  NotBefore = now + Times.RetryAfter;
  RefusedAsStale =
      answer.Status == HttpPreconditionFailed && StoredAt == StoredAtSend;
  if (answer.Status == HttpOk)
    ++Stats.Written;
  else if (answer.Status == HttpPreconditionFailed)
    ++Stats.Refused;
  else
    ++Stats.Failed;
}

} // namespace chicory::edge
