// What each route leads to and has led to, as it is recorded in the registry.
//
// What goes wrong without: an operator moves a route to another service; open
// flows stay where they are. Then instances restart, one by one or all at once.
// A new process has only ever read the new version, so it takes the tokens of
// the old flows for forged ones and drops their packets. One notices
// `foreign_token` after restarts; callers wait until their deadlines.
//
// The record holds pairs of an address and a service. A pair that the routes in
// force have is written soon after it came into force, well before it can be
// lost; so whoever starts learns from the record alone what a version that it
// has never seen led to, even if all processes ended with the very change. No
// time is written: each instance counts a pair as lost from when it first saw
// it missing from the routes. Clocks, and the order in which a late write
// arrives, change nothing.
//
//   RouteHistory ledger;
//   ledger.learn(routes, now);
//   ledger.learn(reader.routeHistory(), maxFlowAge, now);
//   for (const RouteHistoryPart &it : ledger.wanted(stored, maxFlowAge, now))
//   ...

#ifndef CHICORYBANK_EDGE_ROUTEHISTORY_H
#define CHICORYBANK_EDGE_ROUTEHISTORY_H

#include "chicorybank/edge/Registry.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace chicory::edge {

/// Knows what the record should say. It does no I/O.
class RouteHistory {
public:
  /// Services that one address has lost and that are kept, the latest ones. It
  /// bounds a part to some 60 kB where routes move all day and flows live for
  /// hours; an address that moves more often loses its oldest flows at a
  /// restart.
  static constexpr size_t MaxFormerServices = 8;

  /// A version came into force. Older ones are ignored.
  void learn(const token::RouteSet &routes, Time now);
  /// The record was read: it may know pairs that this instance does not.
  /// Pairs that were lost longer ago than a flow lives are forgotten once they
  /// are out of the record.
  void learn(const RouteHistoryParts &stored, Duration maxFlowAge, Time now);
  /// The parts that lack a pair of theirs, as they should be, each with the
  /// revision that its item has. A pair too many is no reason to write.
  std::vector<RouteHistoryPart> incompleteParts(const RouteHistoryParts &stored,
                                                Duration maxFlowAge,
                                                Time now) const;

  /// How many parts hold so many addresses. Each part is an item that every
  /// start has to read, so there are more of them only where one would be
  /// large.
  static uint32_t partCount(size_t addresses);
  /// The part, of so many, that holds an address.
  static uint32_t partOf(Address where, uint32_t parts);

private:
  struct Entry {
    ServiceId Service;
    /// Nothing while the route leads there.
    std::optional<Time> LostAt;
  };
  using Entries = std::vector<Entry>;

  static void boundLost(Entries &entries);
  static bool expired(const Entry &entry, Duration maxFlowAge, Time now) {
    return entry.LostAt && now - *entry.LostAt > maxFlowAge;
  }

  RuleVersion Version;
  std::map<Address, Entries> Pairs;
};

} // namespace chicory::edge

#endif
