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
  Ledger.learn(stored, maxFlowAge, now);
  Missing = Ledger.incompleteParts(stored, maxFlowAge, now);
  Turn.learn(!Missing.empty(), newestOf(stored), now);
}

std::optional<RegistryCall> RouteHistoryWriter::next(Duration stalenessLimit,
                                                     Time now) {
  if (now < nextAt(stalenessLimit))
    return std::nullopt;
  Turn.begin();
  return Dialect.writeRouteHistory(Missing);
}

} // namespace chicory::edge
