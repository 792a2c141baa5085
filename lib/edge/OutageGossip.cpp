#include "chicorybank/edge/OutageGossip.h"

#include "chicorybank/base/Hash.h"

#include <algorithm>
#include <cmath>

namespace chicory::edge {

void OutageGossip::learn(const std::map<InstanceId, PeerRecord> &peers,
                         Time now) {
  for (const auto &[id, peer] : Registered)
    if (!peers.contains(id))
      Former[id] = {.Peer = peer, .LeftAt = now};
  Registered = peers;
  auto near =
      std::count_if(Registered.begin(), Registered.end(), [&](const auto &it) {
        return it.first != Self && it.second.Zone == Zone;
      });
  Neighbours = static_cast<size_t>(near);
  Elsewhere = Registered.size() - Neighbours;
  std::erase_if(Former, [&](const auto &it) {
    return Registered.contains(it.first) ||
           now - it.second.LeftAt > FormerRetention;
  });
  for (const auto &[id, peer] : Registered)
    if (peer.Leaving)
      Former[id] = {.Peer = peer, .LeftAt = now};
}

std::map<InstanceId, PeerRecord> OutageGossip::treeMembers(Time now) const {
  std::map<InstanceId, PeerRecord> out = Registered;
  for (const auto &[id, former] : Former)
    if (!former.Peer.Leaving && now - former.LeftAt <= LapsedRetention)
      out.emplace(id, former.Peer);
  return out;
}

/// Selects a share of all pairs of instances, a different one each round.
bool OutageGossip::sendsTo(const PeerRecord &peer, uint64_t round) const {
  bool near = peer.Zone == Zone;
  double share = near ? SendersInZone /
                            static_cast<double>(std::max<size_t>(Neighbours, 1))
                      : SendersElsewhere /
                            static_cast<double>(std::max<size_t>(Elsewhere, 1));
  uint64_t hash = mixHash(mixHash(Self.Value, peer.Id.Value), round);
  return static_cast<double>(hash) < share * std::ldexp(1.0, 64);
}

std::vector<Address> OutageGossip::dueRegistered(bool registryUnavailable,
                                                 Time now) {
  std::vector<Address> out;
  if (!registryUnavailable || now < DueAt)
    return out;
  DueAt = now + Interval;
  ++Round;
  for (const auto &[id, peer] : Registered)
    if (id != Self && sendsTo(peer, Round))
      out.push_back(peer.PeerAddress);
  return out;
}

std::vector<Address> OutageGossip::dueFormer(bool registryUnavailable,
                                             Time now) {
  std::vector<Address> out;
  if (!registryUnavailable || now < FormerDueAt)
    return out;
  FormerDueAt = now + FormerInterval;
  ++Round;
  for (const auto &[id, former] : Former)
    if (now - former.LeftAt <= FormerRetention && sendsTo(former.Peer, Round))
      out.push_back(former.Peer.PeerAddress);
  return out;
}

Time OutageGossip::nextAt(bool registryUnavailable) const {
  if (!registryUnavailable)
    return Time::max();
  return Former.empty() ? DueAt : std::min(DueAt, FormerDueAt);
}

} // namespace chicory::edge
