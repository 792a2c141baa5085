#include "chicorybank/edge/RouteHistoryWriter.h"

#include <algorithm>

namespace chicory::edge {

namespace {

Position newestOf(const RouteHistoryParts &stored) {
  Position out;
  for (const auto &[part, record] : stored)
    out = std::max(out, record.At);
  return out;
}

} // namespace

void RouteHistoryWriter::learn(const RouteHistoryParts &stored,
                               Duration maxFlowAge, Time now) {
  History.learn(stored, maxFlowAge, now);
  Incomplete = History.incompleteParts(stored, maxFlowAge, now);
  Schedule.learn(!Incomplete.empty(), newestOf(stored), now);
}

std::optional<RegistryCall> RouteHistoryWriter::next(Duration stalenessLimit,
                                                     Time now) {
  if (now < nextAt(stalenessLimit))
    return std::nullopt;
  Schedule.begin();
  return Dialect.writeRouteHistory(Incomplete);
}

} // namespace chicory::edge
