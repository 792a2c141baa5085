#include "chicorybank/edge/RouteRecorder.h"

#include <algorithm>

namespace chicory::edge {

namespace {

Position newestOf(const RouteRecords &stored) {
  Position out;
  for (const auto &[part, record] : stored)
    out = std::max(out, record.At);
  return out;
}

} // namespace

void RouteRecorder::learn(const RouteRecords &stored, Duration maxFlowAge,
                          Time now) {
  Ledger.learn(stored, maxFlowAge, now);
  Missing = Ledger.missingFrom(stored, maxFlowAge, now);
  Turn.learn(!Missing.empty(), newestOf(stored), now);
}

std::optional<RegistryCall> RouteRecorder::next(Duration patience, Time now) {
  if (now < nextAt(patience))
    return std::nullopt;
  Turn.begin();
  return Dialect.writeRouteRecords(Missing);
}

} // namespace chicory::edge
