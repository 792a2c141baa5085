// The services that each route leads to and has led to, as stored in the
// registry.
//
// Without this history, flows break when instances restart after a route has
// moved. An operator moves a route to another service, and open flows stay with
// the old one. Then instances restart, one by one or all at once. A new process
// has only ever read the new version, so it takes the tokens of the old flows
// for forged ones and drops their packets. The logs show `foreign_token` after
// restarts, and callers wait until their deadlines.
//
// The stored history holds pairs of an address and a service. A pair of the
// routes in force is written soon after it came into force, well before it can
// be removed. So a starting instance learns from the history alone what a
// version that it has never seen led to, even if all processes ended at that
// very change. The stored history has no times: each instance measures the age
// of a removed pair from when it first saw it missing from the routes. So
// neither clock differences nor the order of late writes matter.
//
//   RouteHistory history;
//   history.learn(routes, now);
//   const RouteHistoryParts &stored = watcher.routeHistory();
//   history.learn(stored, maxFlowAge, now);
//   auto parts = history.incompleteParts(stored, maxFlowAge, now);

#ifndef CHICORYBANK_EDGE_ROUTEHISTORY_H
#define CHICORYBANK_EDGE_ROUTEHISTORY_H

#include "chicorybank/edge/Registry.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace chicory::edge {

/// Computes what the stored history has to hold. It does no I/O.
class RouteHistory {
public:
  /// The most former services kept for one address; the latest are kept. This
  /// bounds a part to about 60 kB if routes move all day and flows last for
  /// hours. An address whose route moves more often loses its oldest flows
  /// at a restart.
  static constexpr size_t MaxFormerServices = 8;

  /// Takes the routes of a version that came into force, and ignores an older
  /// version.
  void learn(const token::RouteSet &routes, Time now);
  /// Takes the stored history, which may hold pairs that this instance does not
  /// know. A pair that was removed longer ago than `maxFlowAge`, the longest
  /// life of a flow, is forgotten once it is out of the stored history.
  void learn(const RouteHistoryParts &stored, Duration maxFlowAge, Time now);
  /// Returns the parts that lack a pair, with all pairs that they should hold
  /// and the revision of their stored item. A surplus pair alone does not make
  /// a part incomplete.
  std::vector<RouteHistoryPart> incompleteParts(const RouteHistoryParts &stored,
                                                Duration maxFlowAge,
                                                Time now) const;

  /// Returns the number of parts for this number of addresses. It is kept
  /// low, since every starting instance reads all parts; there are more only to
  /// bound the size of each.
  static uint32_t partCount(size_t addresses);
  /// Returns which of the parts holds an address.
  static uint32_t partOf(Address address, uint32_t parts);

private:
  struct Entry {
    ServiceId Service;
    /// When the route ceased to lead there; empty while it does.
    std::optional<Time> RemovedAt;
  };
  using Entries = std::vector<Entry>;

  static void limitFormerServices(Entries &entries);
  static bool expired(const Entry &entry, Duration maxFlowAge, Time now) {
    return entry.RemovedAt && now - *entry.RemovedAt > maxFlowAge;
  }

  RuleVersion Version;
  std::map<Address, Entries> EntriesByAddress;
};

} // namespace chicory::edge

#endif
