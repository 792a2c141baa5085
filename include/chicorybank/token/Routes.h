// The operators' routes as the token path uses them: each address and port
// leads to one or more services.

#ifndef CHICORYBANK_TOKEN_ROUTES_H
#define CHICORYBANK_TOKEN_ROUTES_H

#include "chicorybank/base/Types.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace chicory::token {

/// One service of a route, with its share of new flows.
struct WeightedService {
  ServiceId Service;
  uint32_t Weight = 1;

  bool operator==(const WeightedService &) const = default;
};

/// Where flows to one address go, and properties of the requests inside.
struct Route {
  Address Where;
  std::vector<WeightedService> Services;
  /// The requests may run more than once, so a caller may repeat a request
  /// whose outcome it does not know.
  bool Idempotent = false;
  /// Zero is the highest priority.
  uint32_t Priority = 0;
  /// The time within which callers need the first byte of a response.
  Duration Objective = std::chrono::seconds(1);
  /// The time after which callers give a request up.
  Duration Timeout = std::chrono::seconds(10);
};

/// An address and a service that its route leads to or has led to; the id of
/// the service may be a short one.
struct RoutePair {
  Address Where;
  ServiceId Service;

  auto operator<=>(const RoutePair &) const = default;
};

/// The slow start of the servers of a service.
struct ServiceWarmUp {
  ServiceId Service;
  /// Length of the warm-up, from the start of a server.
  Duration Lasts = Duration::zero();
  /// New flows that one server can take during its warm-up; zero if there is no
  /// limit.
  double FlowsPerSecond = 0;

  bool operator==(const ServiceWarmUp &) const = default;
};

/// One accepted version of the configuration.
struct RouteSet {
  RuleVersion Version;
  std::vector<Route> Routes;
  std::vector<ServiceWarmUp> WarmUps;
  /// A flow that is idle for longer may be discarded.
  Duration IdleTimeout = std::chrono::seconds(60);
};

/// The newest routes, and the services that each address has recently led to.
class RouteTable {
public:
  /// `maxFlowAge` is the maximum age of a flow. If a route lost a service
  /// longer ago, none of its flows can be at that service any more.
  explicit RouteTable(Duration maxFlowAge) : MaxFlowAge(maxFlowAge) {}

  void setMaxFlowAge(Duration age) { MaxFlowAge = age; }

  /// Applies a version. Returns false if it is not newer than the current one:
  /// the version never decreases, whatever source an update comes from.
  bool learn(const RouteSet &routes, Time now);

  /// Adds services that routes led to, as recorded by other instances
  /// (`edge/RouteHistory.h`).
  ///
  /// Without this, an instance that starts after a route has moved knows only
  /// the new version and rejects the tokens of all older flows as forged. The
  /// symptom is `foreign_token` after restarts, and callers that wait until
  /// their deadlines.
  ///
  /// A pair that the route does not lead to any more counts as lost at `now`,
  /// since the record has no times. Keeping a pair for too long is harmless,
  /// because the route did lead to that service.
  void learnPast(const std::vector<RoutePair> &pairs, Time now);

  RuleVersion version() const { return Version; }
  Duration idleTimeout() const { return IdleTimeout; }
  /// Returns the route of an address, or null.
  const Route *find(Address where) const;
  /// Returns true if flows of this address may be at the service: the route
  /// leads to it, or did while a flow that may still be open could start.
  /// Tokens can be forged, so this is checked for each packet.
  bool mayReach(Address where, ServiceId service, Time now) const;
  /// Returns true if the address had a route that was removed.
  bool wasRemoved(Address where) const;
  size_t size() const { return Current.size(); }

private:
  struct FormerService {
    /// May be a short id.
    ServiceId Service;
    Time LostAt;
  };
  bool leadsTo(const RoutePair &pair) const;
  /// Returns true if the route led to the service within the maximum flow age,
  /// but no longer does.
  bool ledToLately(const RoutePair &pair, Time now) const;
  void recordLostServices(const Route &old, Time now);
  /// Records that a route has lost a service now.
  void recordLoss(Address where, ServiceId service, Time now);

  Duration MaxFlowAge;
  Duration IdleTimeout = std::chrono::seconds(60);
  RuleVersion Version;
  std::unordered_map<uint64_t, Route> Current;
  /// Services that routes have lost, by address.
  std::unordered_map<uint64_t, std::vector<FormerService>> FormerServices;
};

} // namespace chicory::token

#endif
