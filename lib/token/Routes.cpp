#include "chicorybank/token/Routes.h"

#include <algorithm>

namespace chicory::token {

namespace {

bool serves(const Route &route, ServiceId service) {
  return std::any_of(
      route.Services.begin(), route.Services.end(),
      [&](const WeightedService &it) { return it.Service == service; });
}

} // namespace

bool RouteTable::learn(const RouteSet &routes, Time now) {
  if (routes.Version <= Version)
    return false;
  std::unordered_map<uint64_t, Route> old = std::move(Current);
  Current.clear();
  Current.reserve(routes.Routes.size());
  // Routes are ordered, and the first match decides.
  for (const Route &it : routes.Routes)
    Current.try_emplace(it.Where.packed(), it);
  for (const auto &[where, route] : old)
    remember(route, now);
  for (auto &[where, former] : Past)
    std::erase_if(
        former, [&](const Former &it) { return now - it.LostAt > MaxFlowAge; });
  std::erase_if(Past, [](const auto &it) { return it.second.empty(); });
  Version = routes.Version;
  IdleTimeout = routes.IdleTimeout;
  return true;
}

void RouteTable::remember(const Route &old, Time now) {
  auto found = Current.find(old.Where.packed());
  for (const WeightedService &it : old.Services) {
    if (found != Current.end() && serves(found->second, it.Service))
      continue;
    lose(old.Where, it.Service, now);
  }
}

void RouteTable::lose(Address where, ServiceId service, Time now) {
  std::vector<Former> &past = Past[where.packed()];
  auto it = std::find_if(past.begin(), past.end(), [&](const Former &other) {
    return other.Service == service;
  });
  if (it == past.end())
    past.push_back({.Service = service, .LostAt = now});
  else
    it->LostAt = now;
}

void RouteTable::learnPast(const std::vector<RoutePair> &pairs, Time now) {
  for (const RoutePair &it : pairs)
    if (!leadsTo(it) && !hasLost(it, now))
      lose(it.Where, it.Service, now);
}

bool RouteTable::leadsTo(const RoutePair &pair) const {
  const Route *route = find(pair.Where);
  return route && serves(*route, pair.Service);
}

const Route *RouteTable::find(Address where) const {
  auto it = Current.find(where.packed());
  return it == Current.end() ? nullptr : &it->second;
}

bool RouteTable::mayReach(Address where, ServiceId service, Time now) const {
  const Route *route = find(where);
  // A removed route takes its flows with it.
  if (!route)
    return false;
  return serves(*route, service) ||
         hasLost({.Where = where, .Service = service}, now);
}

bool RouteTable::hasLost(const RoutePair &pair, Time now) const {
  auto past = Past.find(pair.Where.packed());
  if (past == Past.end())
    return false;
  return std::any_of(
      past->second.begin(), past->second.end(), [&](const Former &it) {
        return it.Service == pair.Service && now - it.LostAt <= MaxFlowAge;
      });
}

bool RouteTable::wasRemoved(Address where) const {
  return !find(where) && Past.contains(where.packed());
}

} // namespace chicory::token
