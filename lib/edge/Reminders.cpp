#include "chicorybank/edge/Reminders.h"

#include <algorithm>

namespace chicory::edge {

void Reminders::learn(const std::map<InstanceId, PeerRecord> &peers, Time now) {
  for (const auto &[id, peer] : Known)
    if (!peers.contains(id))
      Former[id] = {.Peer = peer, .At = now};
  Known = peers;
  std::erase_if(Former, [&](const auto &it) {
    return Known.contains(it.first) || now - it.second.At > FormerFor;
  });
  for (const auto &[id, peer] : Known)
    if (peer.Leaving)
      Former[id] = {.Peer = peer, .At = now};
}

std::map<InstanceId, PeerRecord> Reminders::placed(Time now) const {
  std::map<InstanceId, PeerRecord> out = Known;
  for (const auto &[id, left] : Former)
    if (!left.Peer.Leaving && now - left.At <= PlaceKeptFor)
      out.emplace(id, left.Peer);
  return out;
}

bool Reminders::due(bool away, Time now) {
  if (!away || now < DueAt)
    return false;
  DueAt = now + Every;
  return true;
}

std::vector<Address> Reminders::dueFormer(bool away, Time now) {
  std::vector<Address> out;
  if (!away || now < FormerDueAt)
    return out;
  FormerDueAt = now + FormerEvery;
  for (const auto &[id, left] : Former)
    if (now - left.At <= FormerFor)
      out.push_back(left.Peer.Peers);
  return out;
}

Time Reminders::nextAt(bool away) const {
  if (!away)
    return Time::max();
  return Former.empty() ? DueAt : std::min(DueAt, FormerDueAt);
}

} // namespace chicory::edge
