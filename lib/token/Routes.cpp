#include "chicorybank/token/Routes.h"

#include "chicorybank/base/Hash.h"

#include <algorithm>

namespace chicory::token {

namespace {

/// Returns whether `id`, which may be a short one, is that of the service.
bool names(ServiceId id, ServiceId service) {
  return id == service || (isShort(id) && id == shortServiceId(service));
}

/// Returns whether a route leads to a service, whose id may be a short one.
bool includes(const Route &route, ServiceId id) {
  return std::any_of(
      route.Services.begin(), route.Services.end(),
      [&](const WeightedService &it) { return names(id, it.Service); });
}

} // namespace

bool RouteTable::learn(const RouteSet &routes, Time now) {
  if (routes.Version <= Version)
    return false;
  std::unordered_map<uint64_t, Route> old = std::move(Current);
  Current.clear();
  Current.reserve(routes.Routes.size());
  // Routes are ordered, and the first match applies.
  for (const Route &it : routes.Routes)
    Current.try_emplace(it.Where.packed(), it);
  for (const auto &[where, route] : old)
    recordLostServices(route, now);
  for (auto &[where, former] : FormerServices)
    std::erase_if(former, [&](const FormerService &it) {
      return now - it.LostAt > MaxFlowAge;
    });
  std::erase_if(FormerServices,
                [](const auto &it) { return it.second.empty(); });
  Version = routes.Version;
  IdleTimeout = routes.IdleTimeout;
  return true;
}

void RouteTable::recordLostServices(const Route &old, Time now) {
  auto found = Current.find(old.Where.packed());
  for (const WeightedService &it : old.Services) {
    if (found != Current.end() && includes(found->second, it.Service))
      continue;
    recordLoss(old.Where, it.Service, now);
  }
}

void RouteTable::recordLoss(Address where, ServiceId service, Time now) {
  std::vector<FormerService> &past = FormerServices[where.packed()];
  auto it =
      std::find_if(past.begin(), past.end(), [&](const FormerService &other) {
        return other.Service == service;
      });
  if (it == past.end())
    past.push_back({.Service = service, .LostAt = now});
  else
    it->LostAt = now;
}

void RouteTable::learnPast(const std::vector<RoutePair> &pairs, Time now) {
  for (const RoutePair &it : pairs)
    if (!leadsTo(it) && !ledToLately(it, now))
      recordLoss(it.Where, it.Service, now);
}

bool RouteTable::leadsTo(const RoutePair &pair) const {
  const Route *route = find(pair.Where);
  return route && includes(*route, pair.Service);
}

const Route *RouteTable::find(Address where) const {
  auto it = Current.find(where.packed());
  return it == Current.end() ? nullptr : &it->second;
}

bool RouteTable::mayReach(Address where, ServiceId service, Time now) const {
  const Route *route = find(where);
  // The flows of a removed route end with it.
  if (!route)
    return false;
  return includes(*route, service) ||
         ledToLately({.Where = where, .Service = service}, now);
}

bool RouteTable::ledToLately(const RoutePair &pair, Time now) const {
  auto past = FormerServices.find(pair.Where.packed());
  if (past == FormerServices.end())
    return false;
  return std::any_of(
      past->second.begin(), past->second.end(), [&](const FormerService &it) {
        return names(it.Service, pair.Service) && now - it.LostAt <= MaxFlowAge;
      });
}

bool RouteTable::wasRemoved(Address where) const {
  return !find(where) && FormerServices.contains(where.packed());
}

} // namespace chicory::token
