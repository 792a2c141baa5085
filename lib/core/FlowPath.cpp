#include "FlowPath.h"

namespace chicory {

namespace {

// How many possible former homes are queried for a pin.
constexpr size_t MaxPeersQueried = 3;
// A sweep of the whole table takes about this many ticks.
constexpr size_t SweepTicks = 250;

uint32_t seconds(Time now) {
  return static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch())
          .count());
}

} // namespace

FlowPath::FlowPath(CoreState &state)
    : Shared(state), Flows(state.Options.Flows.MaxFlows) {}

void FlowPath::handlePacket(const PacketInFlight &packet, Time now,
                            Actions &actions) {
  if (packet.Content.ToCaller)
    fromTarget(packet, now, actions);
  else
    fromCaller(packet, now, actions);
}

void FlowPath::fromCaller(const PacketInFlight &packet, Time now,
                          Actions &actions) {
  const FlowKey &flow = packet.Content.Flow;
  if (Shared.Options.FlowPlacement == Placement::NoPins)
    unpin(flow);
  if (FlowPin *found = Flows.find(flow)) {
    if (found->Tentative)
      bufferForNextTarget(packet);
    relayToTarget(*found, packet, now, actions);
    if (packet.Content.Kind == PacketKind::Close ||
        packet.Content.Kind == PacketKind::Reset)
      unpin(flow);
    return;
  }
  bool placeAnew = packet.Content.Kind == PacketKind::Open ||
                   Shared.Options.FlowPlacement != Placement::Pinned;
  if (placeAnew)
    open(packet, now, actions);
  else
    recover(packet, now, actions);
}

void FlowPath::bufferForNextTarget(const PacketInFlight &packet) {
  // If this target rejects the flow, the next one must get this packet too.
  auto it = Recoveries.find(packet.Content.Flow);
  bool room =
      it != Recoveries.end() &&
      it->second.Buffered.size() < Shared.Options.Flows.MaxBufferedPackets;
  if (room)
    it->second.Buffered.push_back(packet);
}

void FlowPath::relayToTarget(FlowPin &pin, const PacketInFlight &packet,
                             Time now, Actions &actions) {
  pin.LastFromCaller = seconds(now);
  if (pin.Unanswered < UINT8_MAX)
    ++pin.Unanswered;
  Shared.sendToTarget(pin.PinnedTarget, packet, actions);
}

void FlowPath::open(const PacketInFlight &packet, Time now, Actions &actions) {
  const FlowKey &flow = packet.Content.Flow;
  const CompiledRules *rules = Shared.History.newest();
  if (rules == nullptr)
    return refuseFlow(flow, Reason::NoRules, actions);
  const Rule *rule = rules->match(flow);
  if (rule == nullptr)
    return refuseFlow(flow, Reason::NoMatch, actions);
  const Service *service = rules->service(rule->Service);
  if (service == nullptr)
    return refuseFlow(flow, Reason::RuleRefuses, actions);
  if (Flows.size() == Flows.capacity())
    return refuseFlow(flow, Reason::FlowTableFull, actions);
  std::optional<TargetId> target = Shared.TargetStates.chooseForFlow(
      *service, hashFlow(flow), Shared.Members.homes().size(), now);
  if (!target)
    return refuseFlow(flow, Reason::NoTarget, actions);
  FlowPin *fresh = pin(flow, *target, service->Id, now);
  ++Shared.Stats.FlowsOpened;
  relayToTarget(*fresh, packet, now, actions);
}

void FlowPath::refuseFlow(const FlowKey &flow, Reason why, Actions &actions) {
  Shared.countRefusal(why);
  PacketInFlight reset = barePacket(PacketKind::Reset, flow, true);
  reset.Content.Why = why;
  Shared.sendToCaller(reset, actions);
}

FlowPin *FlowPath::pin(const FlowKey &flow, TargetId target, ServiceId service,
                       Time now) {
  FlowPin *fresh = Flows.insert(flow);
  if (fresh == nullptr)
    return nullptr;
  fresh->PinnedTarget = target;
  fresh->Service = service;
  fresh->LastFromCaller = seconds(now);
  fresh->LastFromTarget = seconds(now);
  Shared.TargetStates.flowPinned(target, service);
  return fresh;
}

void FlowPath::unpin(const FlowKey &flow) {
  if (const FlowPin *found = Flows.find(flow)) {
    Shared.TargetStates.flowEnded(found->PinnedTarget);
    Flows.erase(flow);
  }
}

void FlowPath::fromTarget(const PacketInFlight &packet, Time now,
                          Actions &actions) {
  const FlowKey &flow = packet.Content.Flow;
  PacketKind kind = packet.Content.Kind;
  Shared.TargetStates.recordPacket(packet.From, now);
  if (Shared.Options.FlowPlacement != Placement::Pinned)
    return Shared.sendToCaller(packet, actions);
  if (kind == PacketKind::Reset && handleRejection(packet, now, actions))
    return;
  FlowPin *found = Flows.find(flow);
  if (found == nullptr || found->Tentative) {
    // Only a target that has the flow sends packets of it, so pin to it.
    ServiceId service = Shared.History.serviceOfTarget(packet.From);
    if (service == ServiceId{})
      return Shared.countRefusal(Reason::ForeignSource);
    if (kind == PacketKind::Data) {
      ++Shared.Stats.FlowsRecoveredByTarget;
      completeRecovery(flow, packet.From, service, now, actions);
      found = Flows.find(flow);
    }
  } else if (found->PinnedTarget != packet.From) {
    return Shared.countRefusal(Reason::ForeignSource);
  }
  if (found != nullptr) {
    found->LastFromTarget = seconds(now);
    found->Unanswered = 0;
  }
  Shared.sendToCaller(packet, actions);
  if (kind == PacketKind::Close || kind == PacketKind::Reset)
    unpin(flow);
}

bool FlowPath::handleRejection(const PacketInFlight &packet, Time now,
                               Actions &actions) {
  const FlowKey &flow = packet.Content.Flow;
  FlowPin *found = Flows.find(flow);
  auto it = Recoveries.find(flow);
  // A reset from a target that the flow is not pinned to is a late rejection.
  if (found == nullptr || found->PinnedTarget != packet.From)
    return true;
  if (!found->Tentative)
    return false;
  // The guess was wrong. If no recovery is in progress, the caller's next
  // packet starts one.
  unpin(flow);
  if (it != Recoveries.end() && !tryNextTarget(flow, it->second, now, actions))
    failRecovery(flow, now, actions);
  return true;
}

void FlowPath::failRecovery(const FlowKey &flow, Time now, Actions &actions) {
  auto it = Recoveries.find(flow);
  std::vector<TargetId> silent = std::move(it->second.Silent);
  Recoveries.erase(it);
  if (silent.empty())
    return refuseFlow(flow, Reason::UnknownFlow, actions);
  // A target that did not answer may have the flow and be unreachable. A reset
  // would break the flow. Pin to a guess until a target sends a packet of it.
  Shared.countRefusal(Reason::RecoveryFailed);
  TargetId guess = silent.front();
  if (FlowPin *fresh =
          pin(flow, guess, Shared.History.serviceOfTarget(guess), now))
    fresh->Tentative = true;
}

void FlowPath::recover(const PacketInFlight &packet, Time now,
                       Actions &actions) {
  const FlowKey &flow = packet.Content.Flow;
  const FlowOptions &options = Shared.Options.Flows;
  auto it = Recoveries.find(flow);
  if (it != Recoveries.end()) {
    if (it->second.Buffered.size() < options.MaxBufferedPackets)
      it->second.Buffered.push_back(packet);
    else
      Shared.countRefusal(Reason::RecoveryBufferFull);
    return;
  }
  if (Recoveries.size() >= options.MaxRecoveries)
    return Shared.countRefusal(Reason::RecoveryBufferFull);
  Recovery &recovery = Recoveries[flow];
  recovery.Buffered.push_back(packet);
  recovery.Deadline = now + options.QueryTimeout;
  std::vector<InstanceId> peers = rendezvousOrder(
      hashFlow(flow), Shared.Members.homes(), MaxPeersQueried + 1);
  std::erase(peers, Shared.self());
  const std::vector<InstanceId> &leaving = Shared.Members.leavingPeers();
  peers.insert(peers.end(), leaving.begin(), leaving.end());
  for (InstanceId peer : peers)
    actions.emplace_back(
        SendQuery{.To = peer,
                  .Message = FlowQuery{.Flow = flow, .Asker = Shared.self()}});
  recovery.PendingReplies = peers.size();
  if (peers.empty())
    tryTargets(flow, recovery, now, actions);
}

void FlowPath::answerQuery(const FlowQuery &query, Actions &actions) {
  FlowReply reply{.Flow = query.Flow, .Replier = Shared.self()};
  const FlowPin *found = Flows.find(query.Flow);
  if (found != nullptr && !found->Tentative) {
    reply.Result = QueryResult::Seen;
    reply.Target = found->PinnedTarget;
    reply.Service = found->Service;
  }
  actions.emplace_back(SendQuery{.To = query.Asker, .Message = reply});
}

void FlowPath::handleReply(const FlowReply &reply, Time now, Actions &actions) {
  auto it = Recoveries.find(reply.Flow);
  if (it == Recoveries.end() || it->second.PendingReplies == 0)
    return;
  if (reply.Result == QueryResult::Seen) {
    ++Shared.Stats.FlowsRecoveredByPeer;
    return completeRecovery(reply.Flow, reply.Target, reply.Service, now,
                            actions);
  }
  if (--it->second.PendingReplies == 0)
    tryTargets(reply.Flow, it->second, now, actions);
}

void FlowPath::tryTargets(const FlowKey &flow, Recovery &recovery, Time now,
                          Actions &actions) {
  recovery.PendingReplies = 0;
  std::vector<ServiceId> services = Shared.History.servicesOf(flow);
  // Trying a target of the wrong service would deliver a packet to a service
  // that it was not meant for. Wait until the target that has the flow sends.
  if (services.size() > 1) {
    Shared.countRefusal(Reason::AmbiguousService);
    Recoveries.erase(flow);
    return;
  }
  if (services.empty()) {
    Recoveries.erase(flow);
    return refuseFlow(flow, Reason::UnknownFlow, actions);
  }
  std::vector<TargetId> targets = Shared.History.targetsOf(services.front());
  recovery.Candidates =
      rendezvousOrder(hashFlow(flow), std::span(std::as_const(targets)),
                      Shared.Options.Flows.MaxRecoveryTries);
  if (!tryNextTarget(flow, recovery, now, actions))
    failRecovery(flow, now, actions);
}

bool FlowPath::tryNextTarget(const FlowKey &flow, Recovery &recovery, Time now,
                             Actions &actions) {
  if (recovery.NextCandidate == recovery.Candidates.size())
    return false;
  TargetId target = recovery.Candidates[recovery.NextCandidate++];
  FlowPin *fresh =
      pin(flow, target, Shared.History.serviceOfTarget(target), now);
  if (fresh == nullptr)
    return false;
  fresh->Tentative = true;
  ++Shared.Stats.RecoveryTries;
  recovery.Deadline = now + Shared.Options.Flows.TryTimeout;
  for (const PacketInFlight &it : recovery.Buffered)
    relayToTarget(*fresh, it, now, actions);
  return true;
}

void FlowPath::completeRecovery(const FlowKey &flow, TargetId target,
                                ServiceId service, Time now, Actions &actions) {
  FlowPin *found = Flows.find(flow);
  bool sameTarget = found != nullptr && found->PinnedTarget == target;
  if (!sameTarget) {
    unpin(flow);
    found = pin(flow, target, service, now);
  }
  auto it = Recoveries.find(flow);
  if (found == nullptr) {
    Shared.countRefusal(Reason::FlowTableFull);
  } else {
    found->Tentative = false;
    // The same target has already got the buffered packets as a try.
    if (it != Recoveries.end() && !sameTarget)
      for (const PacketInFlight &buffered : it->second.Buffered)
        relayToTarget(*found, buffered, now, actions);
  }
  if (it != Recoveries.end())
    Recoveries.erase(it);
}

bool FlowPath::expireIfDue(const FlowPin &pin, Time now, Actions &actions) {
  const FlowOptions &options = Shared.Options.Flows;
  auto idleFor = std::chrono::seconds(
      seconds(now) - std::max(pin.LastFromCaller, pin.LastFromTarget));
  if (idleFor > options.IdleTimeout) {
    Shared.TargetStates.flowEnded(pin.PinnedTarget);
    return true;
  }
  // A flow is silent when its caller keeps sending and its target does not,
  // although other packets arrive from the target: something in between has
  // lost the flow's state. Both ends get a reset, so that the caller opens a
  // new flow.
  const TargetState *target = Shared.TargetStates.find(pin.PinnedTarget);
  auto silentFor = std::chrono::seconds(
      pin.LastFromCaller - std::min(pin.LastFromTarget, pin.LastFromCaller));
  bool silent = pin.Unanswered >= options.SilentAfterPackets &&
                silentFor >= options.SilentAfter && target != nullptr &&
                now - target->LastPacketAt < options.SilentAfter / 2;
  if (!silent)
    return false;
  PacketInFlight reset = barePacket(PacketKind::Reset, pin.key(), false);
  reset.Content.Why = Reason::FlowSilent;
  Shared.sendToTarget(pin.PinnedTarget, reset, actions);
  refuseFlow(pin.key(), Reason::FlowSilent, actions);
  Shared.TargetStates.flowEnded(pin.PinnedTarget);
  return true;
}

void FlowPath::tick(Time now, Actions &actions) {
  Flows.sweep(Flows.capacity() / SweepTicks + 1,
              [&](const FlowPin &it) { return expireIfDue(it, now, actions); });
  for (auto it = Recoveries.begin(); it != Recoveries.end();) {
    // The calls below may erase the entry.
    auto current = it++;
    if (current->second.Deadline > now)
      continue;
    if (current->second.PendingReplies > 0) {
      tryTargets(FlowKey(current->first), current->second, now, actions);
      continue;
    }
    // The target did not answer. It may have the flow, or be unreachable.
    FlowKey flow = current->first;
    if (FlowPin *found = Flows.find(flow)) {
      current->second.Silent.push_back(found->PinnedTarget);
      unpin(flow);
    }
    if (!tryNextTarget(flow, current->second, now, actions))
      failRecovery(flow, now, actions);
  }
}

} // namespace chicory
