#include "chicorybank/edge/RouteRecorder.h"

#include "Http.h"

#include <algorithm>
#include <utility>

namespace chicory::edge {

namespace {

int64_t newestOf(const RouteRecords &stored) {
  int64_t out = 0;
  for (const auto &[part, record] : stored)
    out = std::max(out, record.Revision);
  return out;
}

} // namespace

void RouteRecorder::learn(const RouteRecords &stored, Duration maxFlowAge,
                          Time now) {
  Ledger.learn(stored, maxFlowAge, now);
  bool before = !Missing.empty();
  Missing = Ledger.missingFrom(stored, maxFlowAge, now);
  // While routes go on changing there is always something missing; whoever
  // writes must not be joined by all who stand behind.
  int64_t newest = newestOf(stored);
  bool written = std::exchange(StoredAsOf, newest) != newest;
  if (!before || written)
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
