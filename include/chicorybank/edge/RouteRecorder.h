// When this instance writes the record of routes, and what.
//
// Each instance keeps a ledger; one of them writes, without a leader. What is
// missing has to be missing for a while, for longer the further back an
// instance stands in line, and by then whoever stands before it has written.
// Two that write at once can't undo each other: a write holds only where the
// items are as its writer read them.

#ifndef CHICORYBANK_EDGE_ROUTERECORDER_H
#define CHICORYBANK_EDGE_ROUTERECORDER_H

#include "chicorybank/edge/NewsReader.h"
#include "chicorybank/edge/RouteLedger.h"

#include <optional>

namespace chicory::edge {

/// Times of a recorder.
struct RouteRecorderTimes {
  /// How long the record may lack something before the first in line writes.
  /// Routes change in bursts of some a second, and a write for each is wasted;
  /// a longer wait would leave a route that lasts for seconds unrecorded if all
  /// processes end with it.
  Duration SettleFor = std::chrono::seconds(1);
  /// Of its patience with news, an instance further back waits so much longer.
  int PatienceFactor = 2;
  /// A write that failed, or was refused since another one wrote, is tried
  /// again after this time.
  Duration RetryAfter = std::chrono::seconds(2);
};

/// Counters of a recorder.
struct RouteRecorderStats {
  uint64_t Written = 0;
  /// Another instance had written first.
  uint64_t Refused = 0;
  uint64_t Failed = 0;
};

/// The state machine; it does no I/O. One call is under way at a time.
class RouteRecorder {
public:
  explicit RouteRecorder(const RegistryDialect &dialect,
                         RouteRecorderTimes times = {})
      : Dialect(dialect), Times(times) {}

  /// A version came into force here.
  void learn(const token::RouteSet &routes, Time now) {
    Ledger.learn(routes, now);
  }
  /// What is recorded as of now. Follows each version, and each change of the
  /// record.
  void learn(const RouteRecords &stored, Duration maxFlowAge, Time now);

  /// The call that is due, if any. `patience`: of this instance with news.
  /// Call it only while everything was read and the news is current: what
  /// was not read yet must not be taken for missing.
  std::optional<RegistryCall> next(Duration patience, Time now);
  void answered(const NewsAnswer &answer, Time now);
  /// When `next` may have something to send.
  Time nextAt(Duration patience) const;

  const RouteRecorderStats &stats() const { return Stats; }

private:
  const RegistryDialect &Dialect;
  RouteRecorderTimes Times;
  RouteLedger Ledger;
  std::vector<RouteRecord> Missing;
  /// The newest revision of any part.
  int64_t StoredAsOf = 0;
  /// Since when something has been missing, or since the last write.
  Time MissingSince;
  Time NotBefore;
  bool Waiting = false;
  RouteRecorderStats Stats;
};

} // namespace chicory::edge

#endif
