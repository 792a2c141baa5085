// Backend servers that warm up: how many new flows each gets, over all
// instances.
//
// What goes wrong without: a server that has just started, or whose zone was
// drained and has come back, bears only a few requests a second. Each of a
// hundred instances sees it idle and sends it a flow; one sees it shed or
// answer late for as long as it warms up.
//
// For each such server one instance alone opens flows, at the server's rate. It
// is found by rendezvous hashing over the registered instances of the server's
// zone, without a message. Those of its zone, because only they reach it while
// the zone is cut off from the others. Two instances that take themselves for
// it send twice the rate at most, for the seconds in which their lists differ.
//
// The other way, a share of the rate for every instance, serves as well (0.941
// of worth with either where a zone of 40 servers comes back to 86 instances
// under 1.7 times the usual load, at 0.5 flows a second; 0.888 and the limit
// broken 191 times with none). It depends on every instance knowing their
// number: where half of them are not known, each sends twice its share.

#ifndef CHICORYBANK_TOKEN_WARMUP_H
#define CHICORYBANK_TOKEN_WARMUP_H

#include "chicorybank/token/Backends.h"
#include "chicorybank/token/Routes.h"

#include <unordered_map>
#include <vector>

namespace chicory::token {

/// Who may open flows at servers that warm up, and when.
class WarmUpLimits {
public:
  /// Where all instances register at once, as after a long outage, each sees
  /// itself before the others and would open flows at every server. Others that
  /// register at the same time are known after this.
  static constexpr Duration SettlingTime = std::chrono::seconds(2);

  explicit WarmUpLimits(InstanceId self) : Self(self) {}

  void setServices(const std::vector<ServiceWarmUp> &services);
  /// The registered instances, this one included if it is registered.
  void setInstances(std::vector<ZonedInstance> peers, Time now);

  /// A registration was read.
  void onRegistered(Backend &server, Time now) const;
  /// The server's zone is no longer drained: it starts cold, and says so only
  /// with its next heartbeat.
  void onZoneRestored(Backend &server, Time now) const;
  /// This instance may open a flow at the server now.
  bool mayOpen(const Backend &server, Time now) const;
  /// It has opened one there.
  void onFlowOpened(Backend &server, Time now) const;

private:
  const ServiceWarmUp *limitOf(const Backend &server, Time now) const;
  bool isOpenerOf(const Backend &server) const;

  InstanceId Self;
  std::unordered_map<uint32_t, ServiceWarmUp> Services;
  std::vector<ZonedInstance> Peers;
  /// Since when this instance is among them; `Time::max()` while it is not.
  Time ListedSince = Time::max();
};

} // namespace chicory::token

#endif
