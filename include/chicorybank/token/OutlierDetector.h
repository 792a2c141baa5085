#ifndef CHICORYBANK_TOKEN_OUTLIERDETECTOR_H
#define CHICORYBANK_TOKEN_OUTLIERDETECTOR_H
// STUB
#include "chicorybank/token/Backends.h"
#include <algorithm>
#include <cmath>
namespace chicory::token {
enum class ServerUse : uint8_t { Normal, Trial, None };
struct OutlierOptions { double OverdueSlowness = 8; };
class OutlierDetector {
  struct H { BackendId Id; ServiceId Service; double LogSlow = 0; uint32_t Samples = 0; double Score = 0, Good = 0, Bad = 0; Time AgedAt, Until, TrialAt, At; uint32_t Times = 0, Goods = 0; bool Trial = false; InstanceId Sender; Time ReportAt; };
  mutable std::vector<H> V;
  H &of(BackendIndex i, BackendId id) { if (V.size() <= i) V.resize(i + 1); if (V[i].Id != id) { V[i] = {}; V[i].Id = id; } return V[i]; }
  const H *get(BackendIndex i, BackendId id) const { return i < V.size() && V[i].Id == id ? &V[i] : nullptr; }
  static void age(H &h, Time now) { double f = h.AgedAt == Time{} ? 0 : std::exp2(-std::chrono::duration<double>(now - h.AgedAt).count() / 2); h.Good *= f; h.Bad *= f; h.AgedAt = now; }
  double peers(ServiceId s, Time now) { std::vector<double> x; for (H &h : V) if (h.Id.Value && h.Service == s) { age(h, now); if (h.Good + h.Bad >= 0.5) x.push_back(h.Bad / (h.Good + h.Bad)); } if (x.empty()) return 0; std::nth_element(x.begin(), x.begin() + x.size()/2, x.end()); return x[x.size()/2]; }
  void eject(H &h, Time now) { if (now - h.At > std::chrono::seconds(15)) h.Times = 0; h.Until = now + std::chrono::seconds(1 << std::min(h.Times, 3u)); ++h.Times; h.Trial = true; h.Goods = 0; h.Score = 0; h.At = now; }
public:
  explicit OutlierDetector(OutlierOptions) {}
  HealthChange record(BackendIndex i, BackendId id, ServiceId service, bool good, Time now) {
    H &h = of(i, id); h.Service = service; age(h, now); (good ? h.Good : h.Bad) += 1;
    if (h.Trial) {
      if (!good) { if (now < h.Until) return HealthChange::None; eject(h, now); return HealthChange::Ejected; }
      if (now < h.Until || ++h.Goods < 3) return HealthChange::None;
      h.Trial = false; h.Score = 0; return HealthChange::Restored;
    }
    double p0 = 0.02; if (!good || h.Score > 0) p0 = std::clamp(peers(service, now) * 1.5, 0.02, 0.6);
    double p1 = std::max(0.4, p0 + 0.3);
    h.Score = std::max(0.0, h.Score + (good ? std::log((1 - p1) / (1 - p0)) : std::log(p1 / p0)));
    if (good || h.Score < 5.5) return HealthChange::None;
    eject(h, now); return HealthChange::Ejected;
  }
  void recordTime(BackendIndex i, BackendId id, double r) { H &h = of(i, id); ++h.Samples; double w = std::max(1.0/8, 1.0/(h.Samples+1)); h.LogSlow += (std::log(std::clamp(r, 0.2, 12.0)) - h.LogSlow) * w; }
  double slowness(BackendIndex i, BackendId id) const { const H *h = get(i, id); return h ? std::exp(h->LogSlow) : 1; }
  double failureShare(BackendIndex i, BackendId id, Time now) const { const H *h = get(i, id); if (!h) return 0; H c = *h; age(c, now); return c.Bad / (c.Good + c.Bad + 2); }
  ServerUse use(BackendIndex i, BackendId id, Time now) const { const H *h = get(i, id); if (!h || !h->Trial) return ServerUse::Normal; if (now < h->Until || now - h->TrialAt < std::chrono::milliseconds(250)) return ServerUse::None; return ServerUse::Trial; }
  bool isDoubtful(BackendIndex i, BackendId id, Time) const { const H *h = get(i, id); return h && h->Score > 2; }
  void onTrial(BackendIndex i, BackendId id, Time now) { H &h = of(i, id); if (h.Trial) h.TrialAt = now; }
  HealthChange applyReport(BackendIndex i, BackendId id, InstanceId from, HealthChange r, Time now) {
    H &h = of(i, id);
    if (r == HealthChange::Ejected) { if (h.Trial) { h.Until = std::max(h.Until, now + std::chrono::seconds(1 << std::min(std::max(h.Times, 1u) - 1, 3u))); h.Goods = 0; } else { h.Score = std::max(h.Score, 3.0); if (h.Sender.Value && h.Sender != from && now - h.ReportAt < std::chrono::seconds(8)) { h.Trial = true; h.Goods = 0; h.Until = now + std::chrono::seconds(1); } h.Sender = from; h.ReportAt = now; } }
    else if (h.Trial) { h.Until = std::min(h.Until, now); h.Goods = std::max(h.Goods, 2u); }
    return HealthChange::None;
  }
  HealthChange recordStall(BackendIndex i, BackendId id, ServiceId s, Time now) { return record(i, id, s, false, now); }
  void withdrawStall(BackendIndex i, BackendId id, Time now) { H &h = of(i, id); age(h, now); h.Bad = std::max(0.0, h.Bad - 1); h.Score = std::max(0.0, h.Score - 3); }
  void forget(BackendIndex i) { if (i < V.size()) V[i] = {}; }
  size_t ejected(ServiceId s, Time) const { size_t n = 0; for (auto &h : V) n += h.Trial && h.Service == s; return n; }
};
}
#endif
