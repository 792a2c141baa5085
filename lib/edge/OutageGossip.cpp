#include "chicorybank/edge/OutageGossip.h"

#include "chicorybank/base/Hash.h"

#include <algorithm>
#include <cmath>

namespace chicory::edge {

void OutageGossip::learn(const std::map<InstanceId, PeerRecord> &peers,
                         Time now) {
  for (const auto &[id, peer] : Known)
    if (!peers.contains(id))
      Former[id] = {.Peer = peer, .At = now};
  Known = peers;
  auto near = std::count_if(Known.begin(), Known.end(), [&](const auto &it) {
    return it.first != Self && it.second.Zone == Zone;
  });
  Neighbours = static_cast<size_t>(near);
  Elsewhere = Known.size() - Neighbours;
  std::erase_if(Former, [&](const auto &it) {
    return Known.contains(it.first) || now - it.second.At > FormerRetention;
  });
  for (const auto &[id, peer] : Known)
    if (peer.Leaving)
      Former[id] = {.Peer = peer, .At = now};
}

std::map<InstanceId, PeerRecord> OutageGossip::treeMembers(Time now) const {
  std::map<InstanceId, PeerRecord> out = Known;
  for (const auto &[id, left] : Former)
    if (!left.Peer.Leaving && now - left.At <= LapsedRetention)
      out.emplace(id, left.Peer);
  return out;
}

/// A share of all pairs, another one each turn.
bool OutageGossip::tells(const PeerRecord &peer, uint64_t turn) const {
  bool near = peer.Zone == Zone;
  double share = near ? SendersInZone /
                            static_cast<double>(std::max<size_t>(Neighbours, 1))
                      : SendersElsewhere /
                            static_cast<double>(std::max<size_t>(Elsewhere, 1));
  uint64_t hash = mixHash(mixHash(Self.Value, peer.Id.Value), turn);
  return static_cast<double>(hash) < share * std::ldexp(1.0, 64);
}

std::vector<Address> OutageGossip::dueRegistered(bool away, Time now) {
  std::vector<Address> out;
  if (!away || now < DueAt)
    return out;
  DueAt = now + Interval;
  ++Turn;
  for (const auto &[id, peer] : Known)
    if (id != Self && tells(peer, Turn))
      out.push_back(peer.PeerAddress);
  return out;
}

std::vector<Address> OutageGossip::dueFormer(bool away, Time now) {
  std::vector<Address> out;
  if (!away || now < FormerDueAt)
    return out;
  FormerDueAt = now + FormerInterval;
  ++Turn;
  for (const auto &[id, left] : Former)
    if (now - left.At <= FormerRetention && tells(left.Peer, Turn))
      out.push_back(left.Peer.PeerAddress);
  return out;
}

Time OutageGossip::nextAt(bool away) const {
  if (!away)
    return Time::max();
  return Former.empty() ? DueAt : std::min(DueAt, FormerDueAt);
}

} // namespace chicory::edge
