#include "chicorybank/edge/WriteTurn.h"

#include "Http.h"

#include <algorithm>
#include <utility>

namespace chicory::edge {

void WriteTurn::learn(bool missing, Position storedAsOf, Time now) {
  bool before = std::exchange(Missing, missing);
  // While things go on changing there is always something missing; whoever
  // writes must not be joined by all who stand behind.
  bool written = std::exchange(StoredAsOf, storedAsOf) != storedAsOf;
  if (!before || written)
    MissingSince = now;
  Overtaken = Overtaken && !written;
}

Time WriteTurn::at(Duration patience) const {
  if (Waiting || !Missing || Overtaken)
    return Time::max();
  return std::max(NotBefore, MissingSince + Times.SettleFor +
                                 patience * Times.PatienceFactor);
}

void WriteTurn::answered(const RegistryAnswer &answer, Time now) {
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
