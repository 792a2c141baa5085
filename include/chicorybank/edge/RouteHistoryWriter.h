// Decides when this instance writes the route history, and which parts.
//
// Each instance computes what the stored history has to hold
// (`RouteHistory.h`); `StaggeredWrite` decides which one writes, and when. With
// a longer delay than that of `StaggeredWriteTimes`, a route that exists for
// seconds would not be stored if all processes ended with it.

#ifndef CHICORYBANK_EDGE_ROUTEHISTORYWRITER_H
#define CHICORYBANK_EDGE_ROUTEHISTORYWRITER_H

#include "chicorybank/edge/RouteHistory.h"
#include "chicorybank/edge/StaggeredWrite.h"

#include <optional>

namespace chicory::edge {

/// State machine without I/O. At most one call is in progress.
class RouteHistoryWriter {
public:
  explicit RouteHistoryWriter(const RegistryDialect &dialect,
                              StaggeredWriteTimes times = {})
      : Dialect(dialect), Schedule(times) {}

  /// Takes the routes of a version that came into force on this instance.
  void learn(const token::RouteSet &routes, Time now) {
    History.learn(routes, now);
  }
  /// Takes the stored history. Call it after each new version, and after each
  /// change of the stored history.
  void learn(const RouteHistoryParts &stored, Duration maxFlowAge, Time now);

  /// Returns the call that is due, if any. Call it only while everything has
  /// been read and is current: a part that was not read yet must not count as
  /// missing. `stalenessLimit`: that of this instance (`PropagationTree.h`).
  std::optional<RegistryCall> next(Duration stalenessLimit, Time now);
  void answered(const RegistryAnswer &answer, Time now) {
    Schedule.answered(answer, now);
  }
  /// Returns when `next` may return a call.
  Time nextAt(Duration stalenessLimit) const {
    return Schedule.dueAt(stalenessLimit);
  }

  const WriteStats &stats() const { return Schedule.stats(); }

private:
  const RegistryDialect &Dialect;
  StaggeredWrite Schedule;
  RouteHistory History;
  std::vector<RouteHistoryPart> Incomplete;
};

} // namespace chicory::edge

#endif
