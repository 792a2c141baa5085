#include "chicorybank/token/Zones.h"

#include <algorithm>
#include <cmath>

namespace chicory::token {

void Zones::setInstances(const std::vector<ZonedInstance> &instances) {
  auto n = std::count_if(instances.begin(), instances.end(),
                         [&](const auto &it) { return it.Zone == OwnZone; });
  InstancesInZone = static_cast<uint32_t>(std::max<int64_t>(n, 1));
}

void Zones::recordAnswer(const std::string &zone) {
  auto it = ByZone.find(zone);
  if (it != ByZone.end())
    it->second = {};
}

bool Zones::recordMiss(const Backend &server, Time now) {
  // An instance can't be cut off from its own zone.
  if (server.Info.Zone == OwnZone)
    return false;
  Evidence &evidence = ByZone[server.Info.Zone];
  if (evidence.LastMissed == server.Info.Id)
    return false;
  evidence.LastMissed = server.Info.Id;
  if (++evidence.Misses < Options.SuspectAfter || now < evidence.SuspectUntil)
    return false;
  evidence.SuspectUntil = now + Options.SuspectFor;
  AnySuspectUntil = std::max(AnySuspectUntil, evidence.SuspectUntil);
  return true;
}

bool Zones::isSuspect(const std::string &zone, Time now) const {
  if (now >= AnySuspectUntil)
    return false;
  auto it = ByZone.find(zone);
  return it != ByZone.end() && now < it->second.SuspectUntil;
}

void Zones::recordLoad(ServiceId service, uint32_t load, uint32_t slots,
                       Time now) {
  Load &it = ByService[service.Value];
  std::chrono::duration<double> passed = now - it.At;
  std::chrono::duration<double> smoothing = Options.Smoothing;
  double weight = 1 - std::exp(-passed / smoothing);
  it.Smoothed += (load - it.Smoothed) * weight;
  it.Slots = slots;
  it.At = now;
}

double Zones::spillShare(ServiceId service) const {
  auto it = ByService.find(service.Value);
  if (it == ByService.end())
    return 0;
  if (it->second.Slots == 0)
    return 1;
  double busy = it->second.Smoothed * InstancesInZone / it->second.Slots;
  return std::clamp((busy - Options.SpillFrom) /
                        (Options.SpillAll - Options.SpillFrom),
                    0.0, 1.0);
}

} // namespace chicory::token
