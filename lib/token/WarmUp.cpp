#include "chicorybank/token/WarmUp.h"

#include "chicorybank/base/Hash.h"

#include <algorithm>

namespace chicory::token {

void WarmUpLimits::setServices(const std::vector<ServiceWarmUp> &services) {
  Services.clear();
  for (const ServiceWarmUp &it : services)
    if (it.FlowsPerSecond > 0)
      Services[it.Service.Value] = it;
}

void WarmUpLimits::setInstances(std::vector<ZonedInstance> instances,
                                Time now) {
  Instances = std::move(instances);
  bool listed = std::any_of(Instances.begin(), Instances.end(),
                            [&](const auto &it) { return it.Id == Self; });
  ListedSince = listed ? std::min(ListedSince, now) : Time::max();
}

void WarmUpLimits::onRegistered(Backend &server, Time now) const {
  if (server.Info.WarmUpLeft > Duration::zero())
    server.WarmUpUntil =
        std::max(server.WarmUpUntil, now + server.Info.WarmUpLeft);
}

void WarmUpLimits::onZoneRestored(Backend &server, Time now) const {
  auto it = Services.find(server.Info.Service.Value);
  if (it != Services.end())
    server.WarmUpUntil = std::max(server.WarmUpUntil, now + it->second.Lasts);
}

const ServiceWarmUp *WarmUpLimits::limitFor(const Backend &server,
                                            Time now) const {
  if (now >= server.WarmUpUntil)
    return nullptr;
  auto it = Services.find(server.Info.Service.Value);
  return it == Services.end() ? nullptr : &it->second;
}

bool WarmUpLimits::mayOpen(const Backend &server, Time now) const {
  if (!limitFor(server, now))
    return true;
  bool settled =
      ListedSince != Time::max() && now - ListedSince >= SettlingTime;
  return settled && now >= server.NextWarmUpFlow && opensFlowsFor(server);
}

void WarmUpLimits::onFlowOpened(Backend &server, Time now) const {
  const ServiceWarmUp *limit = limitFor(server, now);
  if (!limit)
    return;
  std::chrono::duration<double> gap(1 / limit->FlowsPerSecond);
  server.NextWarmUpFlow = now + std::chrono::duration_cast<Duration>(gap);
}

bool WarmUpLimits::opensFlowsFor(const Backend &server) const {
  InstanceId opener;
  uint64_t highest = 0;
  bool inZone = false;
  for (const ZonedInstance &it : Instances) {
    bool same = it.Zone == server.Info.Zone;
    uint64_t hash = mixHash(server.Info.Id.Value, it.Id.Value);
    // If the zone has no instance, an instance of another zone is selected.
    if (same < inZone || (same == inZone && hash < highest))
      continue;
    inZone = same;
    highest = hash;
    opener = it.Id;
  }
  return opener == Self;
}

} // namespace chicory::token
