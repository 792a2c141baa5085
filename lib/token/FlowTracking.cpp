// What a core remembers of the flows that it carries: who has an opening or a
// request under way, and when that ends.

#include "chicorybank/token/Core.h"

#include <algorithm>

namespace chicory::token {

namespace {

// A caller gives up an opening after 1.4 s.
constexpr Duration OpeningLife = std::chrono::milliseconds(1500);
// The longest deadline of a request that is plausible; a flow that looks busy
// for longer has lost its last packet.
constexpr Duration BusyLife = std::chrono::seconds(10);
// A new time counts an eighth, as in TCP's estimate of the round trip (RFC
// 6298).
constexpr int SmoothingShare = 8;
// Callers send data again after 200 ms at the earliest.
constexpr Duration RetransmitGap = std::chrono::milliseconds(150);

} // namespace

void Core::follow(const FlowPacket &head, BackendIndex i, Time now,
                  Actions &actions) {
  FlowKey key = head.key();
  if (head.Finish || head.Reset)
    return forget(key);
  FlowState &flow = remember(key, i, now);
  if (flow.Opening) {
    flow.Opening = false;
    --Servers.at(i).Opening;
    if (flow.SentAt != Time{}) {
      Duration took = now - flow.SentAt;
      Handshake += (took - Handshake) / SmoothingShare;
      Stats.HandshakeTime.add(took);
      learnRoundTrip(Servers.at(i).Info.Zone, took);
      progress(i, now);
    }
    flow.LastAcknowledged = head.Acknowledged;
  }
  followData(head, flow, now, actions);
  flow.LastAcknowledged = head.Acknowledged;
}

void Core::followData(const FlowPacket &head, FlowState &flow, Time now,
                      Actions &actions) {
  bool answered = head.Acknowledged != flow.LastAcknowledged;
  // A request may acknowledge the end of an answer that came long before it; an
  // acknowledgement by itself answers what has just come.
  if (answered && head.DataBytes == 0)
    progress(flow.Backend, now);
  Backend &backend = Servers.at(flow.Backend);
  if (head.DataBytes == 0) {
    if (answered && flow.RequestInProgress) {
      endRequest(flow);
      Duration took = now - flow.RequestSince;
      RequestWait += (took - RequestWait) / SmoothingShare;
      Stats.RequestTime.add(took);
    }
    return;
  }
  bool again =
      flow.RequestInProgress && !answered && head.Sequence == flow.LastSequence;
  if (again && now - flow.DataAt >= RetransmitGap)
    missed(flow.Backend, now, actions);
  if (!flow.RequestInProgress) {
    flow.RequestInProgress = true;
    flow.RequestSince = now;
    ++backend.InProgress;
    Requests.push_back({.Flow = head.key(), .SentAt = now});
  }
  flow.LastSequence = head.Sequence;
  flow.DataAt = now;
}

FlowState *Core::flowOf(const FlowKey &key) {
  auto it = Flows.find(key);
  if (it == Flows.end())
    return nullptr;
  if (Servers.at(it->second.Backend).Info.Id == it->second.Id)
    return &it->second;
  Flows.erase(it);
  return nullptr;
}

FlowState &Core::remember(const FlowKey &key, BackendIndex i, Time now) {
  FlowState *flow = flowOf(key);
  // The token goes before memory, which may be from before a freeze.
  BackendId other;
  if (flow && flow->Backend != i) {
    if (flow->AlsoSentTo == Servers.at(i).Info.Id)
      other = flow->Id;
    forget(key);
    flow = nullptr;
  }
  if (!flow) {
    flow = &Flows[key];
    flow->Backend = i;
    flow->Id = Servers.at(i).Info.Id;
    flow->AlsoSentTo = other;
    flow->FirstSeen = now;
    ++Servers.at(i).Flows;
    ++Servers.at(i).Opening;
  }
  flow->LastSeen = now;
  return *flow;
}

void Core::release(FlowState &flow) {
  Backend &backend = Servers.at(flow.Backend);
  if (backend.Info.Id != flow.Id)
    return;
  --backend.Flows;
  if (flow.Opening)
    --backend.Opening;
  if (flow.RequestInProgress)
    --backend.InProgress;
}

void Core::endRequest(FlowState &flow) {
  flow.RequestInProgress = false;
  if (Servers.at(flow.Backend).Info.Id == flow.Id)
    --Servers.at(flow.Backend).InProgress;
}

void Core::forget(const FlowKey &key) {
  auto it = Flows.find(key);
  if (it == Flows.end())
    return;
  release(it->second);
  Flows.erase(it);
}

/// A caller opens a flow from a port that it used for an earlier one, whose end
/// went through another instance. Opened where the earlier one was, the new
/// flow could go to a server that takes nothing new for long.
void Core::forgetFormer(const FlowKey &key, Time now) {
  const FlowState *flow = flowOf(key);
  if (flow && now - flow->FirstSeen > OpeningLife)
    forget(key);
}

void Core::sweep(Time now) {
  for (auto it = Flows.begin(); it != Flows.end();) {
    FlowState &flow = it->second;
    Duration idle = now - flow.LastSeen;
    if (idle > (flow.Opening ? OpeningLife : Routes.idleTimeout())) {
      release(flow);
      it = Flows.erase(it);
      continue;
    }
    if (flow.RequestInProgress && idle > BusyLife) {
      endRequest(flow);
    }
    ++it;
  }
  std::erase_if(Unknown, [&](const auto &it) {
    return now - it.second > Options.MaxFlowAge;
  });
}

} // namespace chicory::token
