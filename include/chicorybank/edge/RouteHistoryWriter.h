// When this instance writes the record of routes, and what.
//
// Each instance keeps a ledger; whose turn it is to write follows from
// `StaggeredWrite`. A longer wait than there would leave a route that lasts for
// seconds unrecorded if all processes end with it.

#ifndef CHICORYBANK_EDGE_ROUTEHISTORYWRITER_H
#define CHICORYBANK_EDGE_ROUTEHISTORYWRITER_H

#include "chicorybank/edge/RouteHistory.h"
#include "chicorybank/edge/StaggeredWrite.h"

#include <optional>

namespace chicory::edge {

/// The state machine; it does no I/O. One call is under way at a time.
class RouteHistoryWriter {
public:
  explicit RouteHistoryWriter(const RegistryDialect &dialect,
                              StaggeredWriteTimes times = {})
      : Dialect(dialect), Turn(times) {}

  /// A version came into force here.
  void learn(const token::RouteSet &routes, Time now) {
    Ledger.learn(routes, now);
  }
  /// What is recorded as of now. Follows each version, and each change of the
  /// record.
  void learn(const RouteHistoryParts &stored, Duration maxFlowAge, Time now);

  /// The call that is due, if any. `stalenessLimit`: of this instance with
  /// news. Call it only while everything was read and the news is current: what
  /// was not read yet must not be taken for missing.
  std::optional<RegistryCall> next(Duration stalenessLimit, Time now);
  void answered(const RegistryAnswer &answer, Time now) {
    Turn.answered(answer, now);
  }
  /// When `next` may have something to send.
  Time nextAt(Duration stalenessLimit) const {
    return Turn.dueAt(stalenessLimit);
  }

  const WriteStats &stats() const { return Turn.stats(); }

private:
  const RegistryDialect &Dialect;
  StaggeredWrite Turn;
  RouteHistory Ledger;
  std::vector<RouteHistoryPart> Missing;
};

} // namespace chicory::edge

#endif
