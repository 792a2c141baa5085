// Compares servers by the expected completion of one more request.
//
//   RecentOpenings recent;
//   double cost = expectedCost({.Server = i,
//                               .Load = load,
//                               .Recent = recent.at(i, id, now),
//                               .Slowness = slowness});
//   ...
//   recent.add(cheapest, id, now);
//
// The recent openings stand for the requests of the other instances that share
// the server, which this instance can't see: they open flows at about the same
// rate. At low load they let equal servers take turns; at high load, when they
// outweigh the 1, each server gets flows in proportion to its speed.

#ifndef CHICORYBANK_TOKEN_SERVERCHOICE_H
#define CHICORYBANK_TOKEN_SERVERCHOICE_H

#include "chicorybank/token/Backends.h"

namespace chicory::token {

/// A server that may get a flow, and what this instance knows of it.
struct Candidate {
  BackendIndex Server = NoBackend;
  /// Part of the server that this instance may use (`SubsetMember::Weight`).
  double Weight = 1;
  /// Requests in progress and openings of this instance, times 2 / slots.
  double Load = 0;
  /// Flows opened by this instance within about the last second
  /// (`RecentOpenings`).
  double Recent = 0;
  /// Response time relative to the typical one (`OutlierDetector::slowness`).
  double Slowness = 1;
  /// 0 to 1 (`OutlierDetector::failureShare`).
  double FailureShare = 0;
  /// Added for a server in another zone, in requests of typical time.
  double Penalty = 0;
};

/// Returns the expected time until one more request is completed, in requests
/// of typical time. A request that fails is tried again, so the time grows by
/// 1 / (1 - FailureShare), up to five times. Infinite for a weight of 0.
double expectedCost(const Candidate &it);

/// Exponentially decaying count of opened flows per server, with a time
/// constant of 1 s: at r flows a second it is about r. Uses 24 bytes per
/// server.
class RecentOpenings {
public:
  void add(BackendIndex i, BackendId id, Time now);
  /// Returns 0 if the index belonged to another server when it was last used.
  double at(BackendIndex i, BackendId id, Time now) const;

private:
  struct Entry {
    BackendId Id;
    double Count = 0; // At time `At`.
    Time At;
  };

  std::vector<Entry> Entries;
};

} // namespace chicory::token

#endif
