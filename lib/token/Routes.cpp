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
    Past[old.Where.packed()].push_back({.Service = it.Service, .LostAt = now});
  }
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
  if (serves(*route, service))
    return true;
  auto past = Past.find(where.packed());
  if (past == Past.end())
    return false;
  return std::any_of(
      past->second.begin(), past->second.end(), [&](const Former &it) {
        return it.Service == service && now - it.LostAt <= MaxFlowAge;
      });
}

bool RouteTable::wasRemoved(Address where) const {
  return !find(where) && Past.contains(where.packed());
}

} // namespace chicory::token
