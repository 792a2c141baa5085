#include "chicorybank/edge/Reminders.h"

namespace chicory::edge {

void Reminders::learn(const std::map<InstanceId, PeerRecord> &peers, Time now) {
  for (const auto &[id, peer] : Known)
    if (!peers.contains(id))
      Former[id] = {.Where = peer.Peers, .At = now};
  Known = peers;
  std::erase_if(Former, [&](const auto &it) {
    return Known.contains(it.first) || now - it.second.At > FormerFor;
  });
  for (const auto &[id, peer] : Known)
    if (peer.Leaving)
      Former[id] = {.Where = peer.Peers, .At = now};
}

bool Reminders::due(bool away, Time now) {
  if (!away || now < DueAt)
    return false;
  DueAt = now + Every;
  return true;
}

std::vector<Address> Reminders::former(Time now) const {
  std::vector<Address> out;
  for (const auto &[id, left] : Former)
    if (now - left.At <= FormerFor)
      out.push_back(left.Where);
  return out;
}

} // namespace chicory::edge
