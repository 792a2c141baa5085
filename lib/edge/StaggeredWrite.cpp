#include "chicorybank/edge/StaggeredWrite.h"

#include "Http.h"

#include <algorithm>
#include <utility>

namespace chicory::edge {

void StaggeredWrite::learn(bool missing, Position storedAsOf, Time now) {
  bool before = std::exchange(Missing, missing);
  // While things go on changing there is always something missing; whoever
  // writes must not be joined by all who stand behind.
  bool written = std::exchange(StoredAsOf, storedAsOf) != storedAsOf;
  if (!before || written)
    MissingSince = now;
  Overtaken = Overtaken && !written;
}

Time StaggeredWrite::dueAt(Duration stalenessLimit) const {
  if (Waiting || !Missing || Overtaken)
    return Time::max();
  return std::max(NotBefore, MissingSince + Times.SettleTime +
                                 stalenessLimit * Times.StalenessLimitFactor);
}

void StaggeredWrite::answered(const RegistryAnswer &answer, Time now) {
  Waiting = false;
  NotBefore = now + Times.RetryAfter;
  Overtaken = answer.Status == HttpPreconditionFailed && StoredAsOf == SentAsOf;
  if (answer.Status == HttpOk)
    ++Stats.Written;
  else if (answer.Status == HttpPreconditionFailed)
    ++Stats.Refused;
  else
    ++Stats.Failed;
}

} // namespace chicory::edge
