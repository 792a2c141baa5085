// The operators' routes as the token path uses them: an address and a port
// lead to one or more services.

#ifndef CHICORYBANK_TOKEN_ROUTES_H
#define CHICORYBANK_TOKEN_ROUTES_H

#include "chicorybank/base/Types.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace chicory::token {

/// One service of a route and its share of new flows.
struct WeightedService {
  ServiceId Service;
  uint32_t Weight = 1;

  bool operator==(const WeightedService &) const = default;
};

/// Where flows to one address go, and what the requests inside are like.
struct Route {
  Address Where;
  std::vector<WeightedService> Services;
  /// Its requests may run more than once, so a caller may repeat one whose
  /// outcome it does not know.
  bool Idempotent = false;
};

/// An address and a service to which its route leads or has led.
struct RoutePair {
  Address Where;
  ServiceId Service;

  auto operator<=>(const RoutePair &) const = default;
};

/// How the servers of a service begin.
struct ServiceWarmUp {
  ServiceId Service;
  /// From a server's start.
  Duration Lasts = Duration::zero();
  /// New flows that one server bears meanwhile; zero where no limit is known.
  double FlowsPerSecond = 0;

  bool operator==(const ServiceWarmUp &) const = default;
};

/// One accepted version of the configuration.
struct RouteSet {
  RuleVersion Version;
  std::vector<Route> Routes;
  std::vector<ServiceWarmUp> WarmUps;
  /// A flow that is idle for longer may be forgotten.
  Duration IdleTimeout = std::chrono::seconds(60);
};

/// The newest routes, and which services each address had lately.
class RouteTable {
public:
  /// How long a flow may live; a service that a route lost longer ago can't
  /// have a flow of that route.
  explicit RouteTable(Duration maxFlowAge) : MaxFlowAge(maxFlowAge) {}

  void setMaxFlowAge(Duration age) { MaxFlowAge = age; }

  /// Takes a version into force. Returns false for one that is not newer:
  /// versions never go back, whichever way the news took.
  bool learn(const RouteSet &routes, Time now);

  /// Takes what other instances have seen routes lead to (`RouteHistory.h`).
  ///
  /// What goes wrong without: an instance that starts after a route has moved
  /// has only read the new version, so it takes the tokens of all older flows
  /// for forged ones. One sees `foreign_token` after restarts, and callers that
  /// wait until their deadlines.
  ///
  /// A pair that the route does not lead to now counts as lost now: the time is
  /// not told, and a pair that is kept for too long harms nobody, because the
  /// route did lead there.
  void learnPast(const std::vector<RoutePair> &pairs, Time now);

  RuleVersion version() const { return Version; }
  Duration idleTimeout() const { return IdleTimeout; }
  /// The route of an address, or null.
  const Route *find(Address where) const;
  /// True where flows of this address may live on the service: it is one of
  /// the route's, or was while a flow that still lives could open. A token
  /// can be forged, so this is checked for each packet.
  bool mayReach(Address where, ServiceId service, Time now) const;
  /// True where the route stood here and was removed.
  bool wasRemoved(Address where) const;
  size_t size() const { return Current.size(); }

private:
  struct Former {
    ServiceId Service;
    Time LostAt;
  };
  bool leadsTo(const RoutePair &pair) const;
  /// The route has led there while a flow that still lives could open.
  bool hasLost(const RoutePair &pair, Time now) const;
  void remember(const Route &old, Time now);
  /// A route has lost a service, or lost it again.
  void lose(Address where, ServiceId service, Time now);

  Duration MaxFlowAge;
  Duration IdleTimeout = std::chrono::seconds(60);
  RuleVersion Version;
  std::unordered_map<uint64_t, Route> Current;
  /// By address: services that the route has lost.
  std::unordered_map<uint64_t, std::vector<Former>> Past;
};

} // namespace chicory::token

#endif
