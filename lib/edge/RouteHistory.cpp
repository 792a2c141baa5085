#include "chicorybank/edge/RouteHistory.h"

#include "chicorybank/base/Hash.h"

#include <algorithm>
#include <bit>
#include <set>

namespace chicory::edge {

namespace {

// This many take about 9 kB, far less than a configuration with as many routes.
constexpr size_t AddressesPerPart = 256;

std::set<token::RoutePair> pairsOf(const RouteHistoryParts &stored) {
  std::set<token::RoutePair> out;
  for (const auto &[part, record] : stored)
    out.insert(record.Pairs.begin(), record.Pairs.end());
  return out;
}

std::set<token::RoutePair> pairsOf(const token::RouteSet &routes) {
  std::set<token::RoutePair> out;
  std::set<Address> seen;
  for (const token::Route &it : routes.Routes) {
    // The first route of an address decides.
    if (!seen.insert(it.Where).second)
      continue;
    for (const token::WeightedService &service : it.Services)
      out.insert(
          {.Where = it.Where, .Service = shortServiceId(service.Service)});
  }
  return out;
}

/// Returns whether `record` holds all pairs of `wanted`.
bool holds(const RouteHistoryPart &record, const RouteHistoryPart &wanted) {
  std::set<token::RoutePair> have(record.Pairs.begin(), record.Pairs.end());
  return std::all_of(
      wanted.Pairs.begin(), wanted.Pairs.end(),
      [&](const token::RoutePair &it) { return have.contains(it); });
}

} // namespace

uint32_t RouteHistory::partCount(size_t addresses) {
  auto parts = std::bit_ceil(addresses / AddressesPerPart + 1);
  return static_cast<uint32_t>(std::min<size_t>(parts, MaxRouteHistoryParts));
}

uint32_t RouteHistory::partOf(Address address, uint32_t parts) {
  return static_cast<uint32_t>(mixHash(1, address.packed()) % parts);
}

void RouteHistory::learn(const token::RouteSet &routes, Time now) {
  if (routes.Version <= Version)
    return;
  Version = routes.Version;
  std::set<token::RoutePair> current = pairsOf(routes);
  for (auto &[where, entries] : EntriesByAddress) {
    for (Entry &it : entries) {
      if (current.erase({.Where = where, .Service = it.Service}) != 0)
        it.RemovedAt.reset();
      else if (!it.RemovedAt)
        it.RemovedAt = now;
    }
    limitFormerServices(entries);
  }
  for (const token::RoutePair &it : current)
    EntriesByAddress[it.Where].push_back(
        {.Service = it.Service, .RemovedAt = {}});
}

void RouteHistory::learn(const RouteHistoryParts &stored, Duration maxFlowAge,
                         Time now) {
  std::set<token::RoutePair> recorded = pairsOf(stored);
  for (auto &it : EntriesByAddress)
    std::erase_if(it.second, [&](const Entry &entry) {
      bool kept =
          recorded.erase({.Where = it.first, .Service = entry.Service}) != 0;
      return !kept && expired(entry, maxFlowAge, now);
    });
  for (const token::RoutePair &it : recorded) {
    Entries &entries = EntriesByAddress[it.Where];
    entries.push_back({.Service = it.Service, .RemovedAt = now});
    limitFormerServices(entries);
  }
  std::erase_if(EntriesByAddress,
                [](const auto &it) { return it.second.empty(); });
}

void RouteHistory::limitFormerServices(Entries &entries) {
  auto removed = [](const Entry &it) { return it.RemovedAt.has_value(); };
  while (static_cast<size_t>(std::count_if(entries.begin(), entries.end(),
                                           removed)) > MaxFormerServices)
    entries.erase(std::min_element(entries.begin(), entries.end(),
                                   [](const Entry &a, const Entry &b) {
                                     return a.RemovedAt.value_or(Time::max()) <
                                            b.RemovedAt.value_or(Time::max());
                                   }));
}

std::vector<RouteHistoryPart>
RouteHistory::incompleteParts(const RouteHistoryParts &stored,
                              Duration maxFlowAge, Time now) const {
  std::map<uint32_t, RouteHistoryPart> wanted;
  uint32_t parts = partCount(EntriesByAddress.size());
  for (const auto &[where, entries] : EntriesByAddress) {
    RouteHistoryPart &record = wanted[partOf(where, parts)];
    for (const Entry &it : entries)
      if (!expired(it, maxFlowAge, now))
        record.Pairs.push_back({.Where = where, .Service = it.Service});
  }
  std::vector<RouteHistoryPart> out;
  for (auto &[part, record] : wanted) {
    auto old = stored.find(part);
    if (old != stored.end() && holds(old->second, record))
      continue;
    record.Part = part;
    record.At = old == stored.end() ? Position{} : old->second.At;
    out.push_back(std::move(record));
  }
  return out;
}

} // namespace chicory::edge
