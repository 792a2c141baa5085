// Tracks the flows that a core forwards: which of them have an opening or a
// request in progress, and when that ends.

#include "chicorybank/token/Core.h"

#include <algorithm>

namespace chicory::token {

namespace {

// A caller gives up an opening after 1.4 s.
constexpr Duration MaxOpeningAge = std::chrono::milliseconds(1500);
// The longest plausible deadline of a request. If a flow with a request in
// progress has been idle for longer, its last packet was lost.
constexpr Duration MaxRequestAge = std::chrono::seconds(10);
// A new sample counts an eighth, as in the round-trip estimate of TCP (RFC
// 6298).
constexpr int SmoothingDivisor = 8;
// Callers retransmit data after 200 ms at the earliest.
constexpr Duration MinRetransmitInterval = std::chrono::milliseconds(150);

} // namespace

void Core::trackPacket(const PacketReceived &event, BackendIndex i, Time now,
                       Actions &actions) {
  const FlowPacket &head = event.Head;
  FlowKey key = head.key();
  if (head.Finish || head.Reset) {
    if (FlowState *flow = flowOf(key); flow && head.Finish) {
      flow->Response.onAcknowledged(head.Acknowledged, now);
      finishResponse(key, *flow, now, actions);
    }
    return forget(key);
  }
  FlowState &flow = trackFlow(key, i, now);
  if (flow.Opening) {
    flow.Opening = false;
    --Servers.at(i).Opening;
    if (flow.SentAt != Time{}) {
      flow.SeenFromOpening = true;
      Duration took = now - flow.SentAt;
      Handshake += (took - Handshake) / SmoothingDivisor;
      Stats.HandshakeTime.add(took);
      recordRoundTrip(Servers.at(i).Info.Zone, took);
      recordProgress(i, now);
      if (!event.MayBeOld)
        Servers.recordAnswer(i, flow.FirstSeen, now);
    }
    flow.LastAcknowledged = head.Acknowledged;
  }
  trackData(event, flow, now, actions);
  flow.LastAcknowledged = head.Acknowledged;
}

void Core::trackData(const PacketReceived &event, FlowState &flow, Time now,
                     Actions &actions) {
  const FlowPacket &head = event.Head;
  trackResponse(head, flow, now, actions);
  bool answered = head.Acknowledged != flow.LastAcknowledged;
  // A packet with data may acknowledge the end of an answer that arrived long
  // before. An acknowledgement without data responds to what has just arrived.
  if (answered && head.DataBytes == 0)
    recordProgress(flow.Backend, now);
  Backend &backend = Servers.at(flow.Backend);
  if (head.DataBytes == 0) {
    if (answered && flow.RequestInProgress) {
      // A packet that was overtaken acknowledges less than the one before.
      bool advances =
          static_cast<int32_t>(head.Acknowledged - flow.LastAcknowledged) > 0;
      if (advances && !event.MayBeOld)
        Servers.recordAnswer(flow.Backend, flow.RequestSince, now);
      endRequest(flow);
      Duration took = now - flow.RequestSince;
      ResponseTime += (took - ResponseTime) / SmoothingDivisor;
      Stats.RequestTime.add(took);
    }
    return;
  }
  bool isRetransmission =
      flow.RequestInProgress && !answered && head.Sequence == flow.LastSequence;
  if (isRetransmission && now - flow.DataAt >= MinRetransmitInterval)
    recordUnanswered(flow.Backend, now, actions);
  if (!flow.RequestInProgress) {
    flow.RequestInProgress = true;
    flow.RequestSince = now;
    ++backend.InProgress;
    if (!StopRequested)
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

FlowState &Core::trackFlow(const FlowKey &key, BackendIndex i, Time now) {
  FlowState *flow = flowOf(key);
  // The token takes precedence over the record, which may be from before the
  // process was suspended.
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

/// A caller may open a flow from a port that it used for an earlier flow whose
/// end went through another instance. If the new flow went to the server of the
/// earlier one, that server could have stopped accepting new flows long ago.
void Core::forgetEarlierFlow(const FlowKey &key, Time now) {
  const FlowState *flow = flowOf(key);
  if (flow && now - flow->FirstSeen > MaxOpeningAge)
    forget(key);
}

void Core::sweep(Time now, Actions &actions) {
  for (auto it = Flows.begin(); it != Flows.end();) {
    FlowState &flow = it->second;
    Duration idle = now - flow.LastSeen;
    if (idle > (flow.Opening ? MaxOpeningAge : Routes.idleTimeout())) {
      release(flow);
      it = Flows.erase(it);
      continue;
    }
    if (flow.RequestInProgress && idle > MaxRequestAge) {
      endRequest(flow);
    }
    checkResponse(it->first, flow, now, actions);
    ++it;
  }
  std::erase_if(Unknown, [&](const auto &it) {
    return now - it.second > Options.MaxFlowAge;
  });
}

} // namespace chicory::token
