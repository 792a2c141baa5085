#ifndef CHICORYBANK_TOKEN_SERVERSUBSETS_H
#define CHICORYBANK_TOKEN_SERVERSUBSETS_H
// STUB
#include "chicorybank/base/Hash.h"
#include "chicorybank/token/Backends.h"
#include <algorithm>
#include <cmath>
#include <map>
namespace chicory::token {
struct SubsetMember { BackendIndex Server = NoBackend; double Weight = 1; };
struct SubsetOptions { size_t MinServers = 6; };
class ServerSubsets {
  struct S { Time At; std::map<std::string, std::vector<BackendIndex>> Rings; std::vector<std::string> Zones; uint32_t Slots = 0; };
  std::string Own; InstanceId Self; SubsetOptions O; std::vector<ZonedInstance> Insts; std::map<uint32_t, S> Map; std::vector<std::string> NoZones;
  struct Arc { size_t m = 0; double start = 0, width = 0; };
  Arc arcOf(const std::string &zone, size_t m, InstanceId who, const std::string &whoZone) const {
    bool own = zone == whoZone; size_t n = 0, me = SIZE_MAX;
    for (auto &x : Insts) { if (own ? x.Zone != zone : x.Zone == zone) continue; if (x.Id == who) me = n; ++n; }
    if (me == SIZE_MAX || m == 0) return {};
    double c = std::clamp(std::ceil(double(O.MinServers) * n / m), 1.0, double(n));
    return {m, double(me) * m / n, c * m / n};
  }
public:
  ServerSubsets(std::string z, InstanceId s, SubsetOptions o) : Own(z), Self(s), O(o) {}
  void setInstances(const std::vector<ZonedInstance> &in) { Insts = in; std::sort(Insts.begin(), Insts.end(), [](auto &a, auto &b) { return mixHash(0x51, a.Id.Value) < mixHash(0x51, b.Id.Value); }); }
  void refresh(ServiceId service, const Backends &servers, Time now) {
    S &s = Map[service.Value];
    if (s.At != Time{} && now - s.At < std::chrono::milliseconds(250)) return;
    s = {}; s.At = now;
    for (BackendIndex i : servers.ofService(service)) { const Backend &b = servers.at(i); if (!b.mayAcceptNewFlows()) continue; if (b.Info.Zone == Own) s.Slots += b.Info.Slots; s.Rings[b.Info.Zone].push_back(i); }
    for (auto &[z, r] : s.Rings) { s.Zones.push_back(z); std::sort(r.begin(), r.end(), [&](auto a, auto b) { return mixHash(0x77, servers.at(a).Info.Id.Value) < mixHash(0x77, servers.at(b).Info.Id.Value); }); }
  }
  template <typename U> void select(ServiceId service, const std::string &zone, U usable, std::vector<SubsetMember> &out) const {
    auto it = Map.find(service.Value); if (it == Map.end()) return;
    auto r = it->second.Rings.find(zone); if (r == it->second.Rings.end()) return;
    Arc a = arcOf(zone, r->second.size(), Self, Own); if (!a.m) return;
    double have = 0;
    for (size_t step = 0; step < a.m && step <= 3 * a.width; ++step) {
      if (have >= a.width - 1e-6) break;
      double pos = std::floor(a.start) + double(step), w = std::min(pos + 1, a.start + a.width) - std::max(pos, a.start);
      if (pos >= a.start + a.width) w = 1;
      BackendIndex i = r->second[size_t(pos) % a.m];
      if (w < 0.02 || !usable(i)) continue;
      w = std::min(w, a.width - have); out.push_back({i, std::max(w, 0.02)}); have += w;
    }
  }
  std::vector<InstanceId> sharers(ServiceId service, BackendIndex server) const {
    std::vector<InstanceId> out; auto it = Map.find(service.Value); if (it == Map.end()) return out;
    for (auto &[z, r] : it->second.Rings) for (size_t p = 0; p < r.size(); ++p) if (r[p] == server)
      for (auto &x : Insts) { if (x.Id == Self || x.Zone != z) continue; Arc a = arcOf(z, r.size(), x.Id, x.Zone); double off = double(p) - std::floor(a.start); if (off < 0) off += double(a.m); if (std::floor(a.start) + off < a.start + a.width) out.push_back(x.Id); }
    return out;
  }
  uint32_t slotsInZone(ServiceId s) const { auto it = Map.find(s.Value); return it == Map.end() ? 0 : it->second.Slots; }
  const std::vector<std::string> &zones(ServiceId s) const { auto it = Map.find(s.Value); return it == Map.end() ? NoZones : it->second.Zones; }
};
}
#endif
