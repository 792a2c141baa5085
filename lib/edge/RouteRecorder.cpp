#include "chicorybank/edge/RouteRecorder.h"

#include "Http.h"

#include <algorithm>

namespace chicory::edge {

void RouteRecorder::learn(const RouteRecords &stored, Duration maxFlowAge,
                          Time now) {
  Ledger.learn(stored, maxFlowAge, now);
  bool before = !Missing.empty();
  Missing = Ledger.missingFrom(stored, maxFlowAge, now);
  if (!before)
    MissingSince = now;
}

Time RouteRecorder::nextAt(Duration patience) const {
  if (Waiting || Missing.empty())
    return Time::max();
  return std::max(NotBefore, MissingSince + Times.SettleFor +
                                 patience * Times.PatienceFactor);
}

std::optional<RegistryCall> RouteRecorder::next(Duration patience, Time now) {
  if (now < nextAt(patience))
    return std::nullopt;
  Waiting = true;
  return Dialect.writeRouteRecords(Missing);
}

void RouteRecorder::answered(const NewsAnswer &answer, Time now) {
  Waiting = false;
  NotBefore = now + Times.RetryAfter;
  if (answer.Status == HttpOk)
    ++Stats.Written;
  else if (answer.Status == HttpPreconditionFailed)
    ++Stats.Refused;
  else
    ++Stats.Failed;
}

} // namespace chicory::edge
