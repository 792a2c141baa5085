#include "chicorybank/core/Membership.h"

#include <algorithm>
#include <utility>

namespace chicory {

Membership::Membership(InstanceInfo self, uint64_t incarnation,
                       MembershipOptions options)
    : Self(std::move(self)), Incarnation(incarnation), Options(options) {}

void Membership::setState(InstanceState state) {
  State = state;
  rebuildLists(LastUpdate);
}

void Membership::addPeer(const InstanceInfo &info, Time now) {
  if (info.Id == Self.Id || info.Id == InstanceId{})
    return;
  auto [it, fresh] = Peers.try_emplace(info.Id);
  if (!fresh)
    return;
  it->second.Info = info;
  it->second.KnownSince = now;
}

bool Membership::recordHeartbeat(const Heartbeat &heartbeat, Time now) {
  InstanceId from = heartbeat.Sender.Id;
  bool idOnly = !heartbeat.Sender.Peers;
  // Heartbeats without addresses are for receivers that have the addresses. A
  // receiver that has removed the peer ignores them until the sender includes
  // the addresses again.
  if (from == Self.Id || (idOnly && !Peers.contains(from)))
    return false;
  addPeer(heartbeat.Sender, now);
  Peer &peer = Peers[from];
  bool sameProcess = peer.Incarnation == heartbeat.Incarnation;
  if (sameProcess && heartbeat.Sequence <= peer.LastSequence)
    return false;
  if (!idOnly)
    peer.Info = heartbeat.Sender;
  peer.Incarnation = heartbeat.Incarnation;
  peer.LastSequence = heartbeat.Sequence;
  peer.State = heartbeat.State;
  peer.Rules = heartbeat.Rules;
  peer.Members = heartbeat.Members;
  peer.ReachablePeers = heartbeat.ReachablePeers;
  peer.LastHeartbeatAt = now;
  peer.ConnectionRefused = false;
  rebuildLists(now);
  return true;
}

void Membership::recordRefusal(InstanceId id) {
  auto it = Peers.find(id);
  if (it == Peers.end() || !it->second.LastHeartbeatAt)
    return;
  it->second.ConnectionRefused = true;
  rebuildLists(LastUpdate);
}

void Membership::update(Time now) {
  // After a pause of this process all peers look silent, and it would consider
  // itself the home of all flows. So the length of the pause does not count as
  // silence of the peers. Leases are not extended (see `OwnershipTracker`).
  Duration gap = now - LastUpdate;
  if (LastUpdate != Time{} && gap > Options.HeartbeatInterval)
    for (auto &[id, peer] : Peers)
      if (peer.LastHeartbeatAt)
        *peer.LastHeartbeatAt += gap;
  std::erase_if(Peers, [&](const auto &entry) {
    const Peer &peer = entry.second;
    return now - peer.LastHeartbeatAt.value_or(peer.KnownSince) >
           Options.ForgetAfter;
  });
  rebuildLists(now);
}

void Membership::rebuildLists(Time now) {
  LastUpdate = now;
  Homes.clear();
  LeavingPeers.clear();
  if (State == InstanceState::Live)
    Homes.push_back(Self.Id);
  for (const auto &[id, peer] : Peers) {
    if (!isReachable(id, now))
      continue;
    if (peer.State == InstanceState::Live)
      Homes.push_back(id);
    else if (peer.State == InstanceState::Leaving)
      LeavingPeers.push_back(id);
  }
  std::sort(Homes.begin(), Homes.end());
}

Heartbeat Membership::nextHeartbeat(Time now) {
  ++Sequence;
  SentTimes[Sequence % SentTimesKept] = now;
  return {.Sender = Self,
          .Incarnation = Incarnation,
          .Sequence = Sequence,
          .State = State,
          .ReachablePeers = reachablePeers(now)};
}

std::optional<Time> Membership::sentAt(uint64_t sequence) const {
  bool remembered = sequence != 0 && sequence <= Sequence &&
                    Sequence - sequence < SentTimesKept;
  if (!remembered)
    return std::nullopt;
  return SentTimes[sequence % SentTimesKept];
}

bool Membership::isReachable(InstanceId id, Time now) const {
  const Peer *peer = find(id);
  return peer != nullptr && peer->LastHeartbeatAt && !peer->ConnectionRefused &&
         now - *peer->LastHeartbeatAt <= Options.SuspectAfter;
}

std::vector<InstanceId> Membership::reachablePeers(Time now) const {
  std::vector<InstanceId> out;
  for (const auto &[id, peer] : Peers)
    if (isReachable(id, now))
      out.push_back(id);
  return out;
}

bool Membership::isConfirmedUnreachable(InstanceId id, Time now) const {
  if (isReachable(id, now))
    return false;
  return std::none_of(Peers.begin(), Peers.end(), [&](const auto &entry) {
    const std::vector<InstanceId> &theirs = entry.second.ReachablePeers;
    return isReachable(entry.first, now) &&
           std::find(theirs.begin(), theirs.end(), id) != theirs.end();
  });
}

const Peer *Membership::find(InstanceId id) const {
  auto it = Peers.find(id);
  return it == Peers.end() ? nullptr : &it->second;
}

} // namespace chicory
