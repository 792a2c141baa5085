#include "ControlPath.h"

namespace chicory {

namespace {

constexpr Duration PullRetryInterval = std::chrono::milliseconds(500);
// An unreachable member stays in the document for at least this long, so that a
// short interruption does not move flows.
constexpr Duration MinProposalDelay = std::chrono::milliseconds(300);
// Instances propose with staggered delays, so that usually only one proposes.
constexpr Duration ProposalStagger = std::chrono::milliseconds(400);
constexpr size_t ProbersPerTarget = 2;
constexpr size_t MaxIntroductions = 2;
constexpr Duration IntroductionDelay = std::chrono::seconds(1);
// A change is announced at once, but several changes in a short time share one
// heartbeat.
constexpr Duration MinHeartbeatGap = std::chrono::milliseconds(200);

bool contains(const std::vector<InstanceId> &ids, InstanceId id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

std::string textOf(const std::vector<InstanceId> &ids) {
  std::string out;
  for (InstanceId it : ids) {
    if (!out.empty())
      out += ',';
    out += std::to_string(it.Value);
  }
  return out;
}

} // namespace

ControlPath::ControlPath(CoreState &state, FlowPath &flows,
                         RequestPath &requests)
    : Shared(state), Flows(flows), Requests(requests) {}

void ControlPath::logEvent(Actions &actions, std::string event,
                           std::string detail) const {
  actions.emplace_back(LogEvent{.Why = Reason::None,
                                .Event = std::move(event),
                                .Detail = std::move(detail)});
}

void ControlPath::handleHeartbeat(const Heartbeat &message, Time now,
                                  Actions &actions) {
  bool newPeer = !Shared.Members.isReachable(message.Sender.Id, now);
  if (!Shared.Members.recordHeartbeat(message, now))
    return;
  std::optional<Time> echoedAt;
  if (message.EchoIncarnation == Shared.Options.Incarnation)
    echoedAt = Shared.Members.sentAt(message.Echo);
  if (message.Document.Version > MembersVersion{})
    handleMembers(message.Document, now, actions);
  Shared.Ownership.recordHeartbeat(message.Sender.Id, message.Members, echoedAt,
                                   now);
  addInstances(message.Introductions, now);
  for (TargetId it : message.Draining)
    Shared.TargetStates.markDraining(it, false, now);
  bool behind = message.Rules > Shared.History.version();
  if (behind && now - LastPull > PullRetryInterval) {
    LastPull = now;
    const Peer *peer = Shared.Members.find(message.Sender.Id);
    actions.emplace_back(
        PullRules{.From = peer->Info, .Version = message.Rules});
  }
  if (newPeer) {
    logEvent(actions, "peer_heard", std::to_string(message.Sender.Id.Value));
    NextHeartbeat = now;
  }
  updateHomes();
}

void ControlPath::handleRefusedConnection(InstanceId peer, Actions &actions) {
  Shared.Members.recordRefusal(peer);
  if (std::find(KnownHomes.begin(), KnownHomes.end(), peer) != KnownHomes.end())
    logEvent(actions, "peer_refused", std::to_string(peer.Value));
  updateHomes();
}

void ControlPath::updateHomes() {
  if (KnownHomes == Shared.Members.homes())
    return;
  KnownHomes = Shared.Members.homes();
  if (const CompiledRules *rules = Shared.History.newest())
    Shared.TargetStates.assignSlots(*rules, KnownHomes);
}

void ControlPath::handleRules(const CompiledRulesPtr &rules, Time now,
                              Actions &actions) {
  if (!Shared.History.learn(rules))
    return;
  Shared.TargetStates.learn(*rules, now);
  Shared.TargetStates.assignSlots(*rules, Shared.Members.homes());
  logEvent(actions, "rules_in_force", std::to_string(rules->version().Value));
  // Announce the version at once: some peers may not reach the platform.
  NextHeartbeat = now;
  tryToGoLive(now, actions);
}

void ControlPath::tryToGoLive(Time now, Actions &actions) {
  if (Shared.Members.state() != InstanceState::Joining || StopRequestedAt)
    return;
  RuleVersion own = Shared.History.version();
  bool current = own > RuleVersion{};
  for (const auto &[id, peer] : Shared.Members.peers())
    if (Shared.Members.isReachable(id, now) && peer.Rules > own)
      current = false;
  // Wait for peers and the platform to announce a newer version.
  if (!current || now - Shared.StartedAt < Shared.Options.JoinDelay)
    return;
  Shared.Members.setState(InstanceState::Live);
  NextHeartbeat = now;
  logEvent(actions, "live", "rules=" + std::to_string(own.Value));
  updateHomes();
}

void ControlPath::handleMembers(const MembersDocument &document, Time now,
                                Actions &actions) {
  if (!Shared.Ownership.learn(document, now))
    return;
  NextHeartbeat = now;
  logEvent(actions, "members",
           "version=" + std::to_string(document.Version.Value) +
               ";members=" + textOf(document.Members));
}

void ControlPath::addInstances(const std::vector<InstanceInfo> &named,
                               Time now) {
  for (const InstanceInfo &it : named)
    Shared.Members.addPeer(it, now);
}

void ControlPath::startStop(Time now, Actions &actions) {
  if (StopRequestedAt)
    return;
  StopRequestedAt = now;
  Shared.Members.setState(InstanceState::Leaving);
  NextHeartbeat = now;
  logEvent(actions, "leaving", "");
  updateHomes();
}

void ControlPath::handleReport(const PacketInFlight &packet, Time now) {
  Shared.TargetStates.recordPacket(packet.From, now);
  if (packet.Content.Draining)
    Shared.TargetStates.markDraining(packet.From, true, now);
  else
    Shared.TargetStates.clearDraining(packet.From);
}

std::vector<InstanceInfo> ControlPath::introductionsFor(const Peer &receiver,
                                                        Time now) const {
  std::vector<InstanceInfo> out;
  for (const auto &[id, peer] : Shared.Members.peers()) {
    bool known =
        id == receiver.Info.Id || contains(receiver.ReachablePeers, id);
    // Usually the two find each other without an introduction, which is
    // cheaper.
    bool settled = now - peer.KnownSince > IntroductionDelay;
    if (!known && settled && Shared.Members.isReachable(id, now) &&
        out.size() < MaxIntroductions)
      out.push_back(peer.Info);
  }
  return out;
}

void ControlPath::sendHeartbeats(Time now, Actions &actions) {
  Heartbeat common = Shared.Members.nextHeartbeat(now);
  common.Rules = Shared.History.version();
  common.Members = Shared.Ownership.document().Version;
  common.Draining = Shared.TargetStates.drainsToAnnounce(now);
  for (const auto &[id, peer] : Shared.Members.peers()) {
    Heartbeat message = common;
    message.Echo = peer.LastSequence;
    message.EchoIncarnation = peer.Incarnation;
    message.Introductions = introductionsFor(peer, now);
    if (contains(peer.ReachablePeers, Shared.self()))
      message.Sender = {.Id = Shared.self()}; // The receiver has the addresses.
    if (peer.Members < common.Members)
      message.Document = Shared.Ownership.document();
    actions.emplace_back(SendHeartbeat{.To = peer.Info, .Message = message});
  }
}

std::vector<InstanceId> ControlPath::wantedMembers(Time now) const {
  std::vector<InstanceId> out = Shared.Members.homes();
  for (InstanceId it : Shared.Ownership.document().Members) {
    bool present = contains(out, it);
    const Peer *peer = Shared.Members.find(it);
    bool leaves = it == Shared.self()
                      ? StopRequestedAt.has_value()
                      : peer != nullptr &&
                            Shared.Members.isReachable(it, now) &&
                            peer->State == InstanceState::Leaving;
    // A member that other peers can reach is running; only this instance can't
    // reach it.
    bool stopped =
        it != Shared.self() && Shared.Members.isConfirmedUnreachable(it, now);
    if (!present && !leaves && !stopped)
      out.push_back(it);
  }
  std::sort(out.begin(), out.end());
  return out;
}

Duration ControlPath::proposalDelay() const {
  const std::vector<InstanceId> &homes = Shared.Members.homes();
  auto it = std::find(homes.begin(), homes.end(), Shared.self());
  return MinProposalDelay + ProposalStagger * (it - homes.begin());
}

void ControlPath::proposeMembers(Time now, Actions &actions) {
  if (Shared.Members.state() == InstanceState::Joining)
    return;
  const MembersDocument &current = Shared.Ownership.document();
  std::vector<InstanceId> wanted = wantedMembers(now);
  if (wanted == current.Members || wanted.empty()) {
    WantedSince.reset();
    return;
  }
  if (!WantedSince || wanted != LastWanted) {
    WantedSince = now;
    LastWanted = wanted;
  }
  // While leases under the previous document may remain, writing another
  // document would break the hand-over rule of `OwnershipTracker`.
  bool due = now - *WantedSince >= proposalDelay() &&
             Shared.Ownership.isPreviousDocumentRetired(now);
  // The smaller side of a partition could remove the larger side from the
  // document but would gain nothing: it can't get the majority that ends the
  // leases under the larger side's document.
  auto reachable = [&](InstanceId it) {
    return it == Shared.self() || Shared.Members.isReachable(it, now);
  };
  auto reachableCount =
      std::count_if(current.Members.begin(), current.Members.end(), reachable);
  bool majority =
      current.Members.empty() ||
      static_cast<size_t>(reachableCount) > current.Members.size() / 2;
  if (!due || !majority)
    return;
  WantedSince = now;
  actions.emplace_back(WriteMembers{
      .Document = {.Version = MembersVersion{current.Version.Value + 1},
                   .Members = wanted,
                   .Previous = current.Members}});
}

void ControlPath::probeTargets(Actions &actions) {
  const CompiledRules *rules = Shared.History.newest();
  if (rules == nullptr)
    return;
  for (const Service &service : rules->set().Services) {
    for (const Target &target : service.Targets) {
      // Two instances probe each target, in case one of them can't reach it.
      std::vector<InstanceId> probers = rendezvousOrder(
          target.Id.packed(), Shared.Members.homes(), ProbersPerTarget);
      if (!contains(probers, Shared.self()))
        continue;
      FlowKey self{.Source = Shared.Options.Self.Packets,
                   .Destination = target.Id};
      Shared.sendToTarget(target.Id, barePacket(PacketKind::Probe, self, false),
                          actions);
    }
  }
}

bool ControlPath::hasHandedOver(Time now) const {
  const MembersDocument &document = Shared.Ownership.document();
  if (contains(document.Members, Shared.self()))
    return false;
  for (InstanceId it : Shared.Members.homes()) {
    const Peer *peer = Shared.Members.find(it);
    if (peer != nullptr && Shared.Members.isReachable(it, now) &&
        peer->Members < document.Version)
      return false;
  }
  return true;
}

void ControlPath::checkStop(Time now, Actions &actions) {
  if (!StopRequestedAt || StopReported)
    return;
  if (!hasHandedOver(now))
    OwnsNothingSince.reset();
  else if (!OwnsNothingSince)
    OwnsNothingSince = now;
  // The new owners may query requests until their deadlines have passed.
  bool alone = Shared.Members.homes().empty();
  bool queriesOver =
      OwnsNothingSince &&
      now - *OwnsNothingSince > Shared.Options.Requests.MaxRequestLife;
  bool idle = Requests.unfinished() == 0;
  bool timedOut = now - *StopRequestedAt > Shared.Options.StopTimeout;
  if (!(idle && (alone || queriesOver)) && !timedOut)
    return;
  StopReported = true;
  logEvent(actions, "safe_to_stop",
           "unfinished=" + std::to_string(Requests.unfinished()) +
               ";timed_out=" + (timedOut ? "true" : "false"));
  actions.emplace_back(SafeToStop{});
}

void ControlPath::tick(Time now, Actions &actions) {
  Shared.Members.update(now);
  updateHomes();
  tryToGoLive(now, actions);
  bool due = now >= NextHeartbeat && now - LastHeartbeat >= MinHeartbeatGap;
  if (due) {
    LastHeartbeat = now;
    NextHeartbeat = now + Shared.Options.Membership.HeartbeatInterval;
    sendHeartbeats(now, actions);
  }
  if (now >= NextProbe) {
    NextProbe = now + Shared.Options.ProbeInterval;
    probeTargets(actions);
  }
  proposeMembers(now, actions);
  checkStop(now, actions);
}

} // namespace chicory
