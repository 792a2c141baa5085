#include "ControlPath.h"

namespace chicory {

namespace {

constexpr Duration PullAgainAfter = std::chrono::milliseconds(500);
// A member that is not heard stays in the document for this long at least, so
// that a hiccup does not move flows.
constexpr Duration WantedFor = std::chrono::milliseconds(300);
// Instances propose one after another, so that mostly one does.
constexpr Duration ProposalStagger = std::chrono::milliseconds(400);
constexpr size_t ProbersPerTarget = 2;
constexpr size_t MaxIntroductions = 2;
constexpr Duration IntroduceAfter = std::chrono::seconds(1);
// News goes out at once, but bursts of news share a heartbeat.
constexpr Duration HeartbeatGap = std::chrono::milliseconds(200);

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

void ControlPath::note(Actions &actions, std::string event,
                       std::string detail) const {
  actions.emplace_back(LogEvent{.Why = Reason::None,
                                .Event = std::move(event),
                                .Detail = std::move(detail)});
}

void ControlPath::heartbeat(const Heartbeat &message, Time now,
                            Actions &actions) {
  bool newPeer = !Shared.Members.isReachable(message.Sender.Id, now);
  if (!Shared.Members.recordHeartbeat(message, now))
    return;
  std::optional<Time> echoedAt;
  if (message.EchoIncarnation == Shared.Options.Incarnation)
    echoedAt = Shared.Members.sentAt(message.Echo);
  if (message.Document.Version > MembersVersion{})
    members(message.Document, now, actions);
  Shared.Owners.recordHeartbeat(message.Sender.Id, message.Members, echoedAt,
                                now);
  instances(message.Introductions, now);
  for (TargetId it : message.Draining)
    Shared.Book.markDraining(it, false, now);
  bool behind = message.Rules > Shared.History.version();
  if (behind && now - LastPull > PullAgainAfter) {
    LastPull = now;
    const Peer *peer = Shared.Members.find(message.Sender.Id);
    actions.emplace_back(
        PullRules{.From = peer->Info, .Version = message.Rules});
  }
  if (newPeer) {
    note(actions, "peer_heard", std::to_string(message.Sender.Id.Value));
    NextHeartbeat = now;
  }
  homesChanged();
}

void ControlPath::refused(InstanceId peer, Actions &actions) {
  Shared.Members.recordRefusal(peer);
  if (std::find(KnownHomes.begin(), KnownHomes.end(), peer) != KnownHomes.end())
    note(actions, "peer_refused", std::to_string(peer.Value));
  homesChanged();
}

void ControlPath::homesChanged() {
  if (KnownHomes == Shared.Members.homes())
    return;
  KnownHomes = Shared.Members.homes();
  if (const CompiledRules *rules = Shared.History.newest())
    Shared.Book.assignSlots(*rules, KnownHomes);
}

void ControlPath::rules(const CompiledRulesPtr &rules, Time now,
                        Actions &actions) {
  if (!Shared.History.learn(rules))
    return;
  Shared.Book.learn(*rules, now);
  Shared.Book.assignSlots(*rules, Shared.Members.homes());
  note(actions, "rules_in_force", std::to_string(rules->version().Value));
  // Tell the others at once: some may be cut off from the platform.
  NextHeartbeat = now;
  tryToGoLive(now, actions);
}

void ControlPath::tryToGoLive(Time now, Actions &actions) {
  if (Shared.Members.state() != InstanceState::Joining || StopAsked)
    return;
  RuleVersion own = Shared.History.version();
  bool current = own > RuleVersion{};
  for (const auto &[id, peer] : Shared.Members.peers())
    if (Shared.Members.isReachable(id, now) && peer.Rules > own)
      current = false;
  // Peers and the platform get time to tell of a newer version.
  if (!current || now - Shared.StartedAt < Shared.Options.JoinDelay)
    return;
  Shared.Members.setState(InstanceState::Live);
  NextHeartbeat = now;
  note(actions, "live", "rules=" + std::to_string(own.Value));
  homesChanged();
}

void ControlPath::members(const MembersDocument &document, Time now,
                          Actions &actions) {
  if (!Shared.Owners.learn(document, now))
    return;
  NextHeartbeat = now;
  note(actions, "members",
       "version=" + std::to_string(document.Version.Value) +
           ";members=" + textOf(document.Members));
}

void ControlPath::instances(const std::vector<InstanceInfo> &named, Time now) {
  for (const InstanceInfo &it : named)
    Shared.Members.addPeer(it, now);
}

void ControlPath::stop(Time now, Actions &actions) {
  if (StopAsked)
    return;
  StopAsked = now;
  Shared.Members.setState(InstanceState::Leaving);
  NextHeartbeat = now;
  note(actions, "leaving", "");
  homesChanged();
}

void ControlPath::report(const PacketInFlight &packet, Time now) {
  Shared.Book.recordPacket(packet.From, now);
  if (packet.Content.Draining)
    Shared.Book.markDraining(packet.From, true, now);
  else
    Shared.Book.clearDraining(packet.From);
}

std::vector<InstanceInfo> ControlPath::introductionsFor(const Peer &receiver,
                                                        Time now) const {
  std::vector<InstanceInfo> out;
  for (const auto &[id, peer] : Shared.Members.peers()) {
    bool known =
        id == receiver.Info.Id || contains(receiver.ReachablePeers, id);
    // Mostly the two find each other without help; that is cheaper.
    bool settled = now - peer.KnownSince > IntroduceAfter;
    if (!known && settled && Shared.Members.isReachable(id, now) &&
        out.size() < MaxIntroductions)
      out.push_back(peer.Info);
  }
  return out;
}

void ControlPath::sendHeartbeats(Time now, Actions &actions) {
  Heartbeat common = Shared.Members.nextHeartbeat(now);
  common.Rules = Shared.History.version();
  common.Members = Shared.Owners.document().Version;
  common.Draining = Shared.Book.drainsToAnnounce(now);
  for (const auto &[id, peer] : Shared.Members.peers()) {
    Heartbeat message = common;
    message.Echo = peer.LastSequence;
    message.EchoIncarnation = peer.Incarnation;
    message.Introductions = introductionsFor(peer, now);
    if (contains(peer.ReachablePeers, Shared.self()))
      message.Sender = {.Id = Shared.self()}; // It has the addresses.
    if (peer.Members < common.Members)
      message.Document = Shared.Owners.document();
    actions.emplace_back(SendHeartbeat{.To = peer.Info, .Message = message});
  }
}

std::vector<InstanceId> ControlPath::wantedMembers(Time now) const {
  std::vector<InstanceId> out = Shared.Members.homes();
  for (InstanceId it : Shared.Owners.document().Members) {
    bool present = contains(out, it);
    const Peer *peer = Shared.Members.find(it);
    bool leaves = it == Shared.self()
                      ? StopAsked.has_value()
                      : peer != nullptr &&
                            Shared.Members.isReachable(it, now) &&
                            peer->State == InstanceState::Leaving;
    // A member that others hear is not dead, only out of this one's reach.
    bool dead =
        it != Shared.self() && Shared.Members.isConfirmedUnreachable(it, now);
    if (!present && !leaves && !dead)
      out.push_back(it);
  }
  std::sort(out.begin(), out.end());
  return out;
}

Duration ControlPath::proposalDelay() const {
  const std::vector<InstanceId> &homes = Shared.Members.homes();
  auto it = std::find(homes.begin(), homes.end(), Shared.self());
  return WantedFor + ProposalStagger * (it - homes.begin());
}

void ControlPath::proposeMembers(Time now, Actions &actions) {
  if (Shared.Members.state() == InstanceState::Joining)
    return;
  const MembersDocument &current = Shared.Owners.document();
  std::vector<InstanceId> wanted = wantedMembers(now);
  if (wanted == current.Members || wanted.empty()) {
    WantedSince.reset();
    return;
  }
  if (!WantedSince || wanted != LastWanted) {
    WantedSince = now;
    LastWanted = wanted;
  }
  // Writing a document before the one before the last is void would break
  // the hand-over rule of `OwnershipTracker`.
  bool due = now - *WantedSince >= proposalDelay() &&
             Shared.Owners.isPreviousDocumentRetired(now);
  // The smaller side of a partition could remove the larger one, and gain
  // nothing: it can't retire the larger side's document.
  auto heard = [&](InstanceId it) {
    return it == Shared.self() || Shared.Members.isReachable(it, now);
  };
  auto reach =
      std::count_if(current.Members.begin(), current.Members.end(), heard);
  bool majority = current.Members.empty() ||
                  static_cast<size_t>(reach) > current.Members.size() / 2;
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
      // Two instances probe each target, so that one may be cut off from it.
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

bool ControlPath::handedOver(Time now) const {
  const MembersDocument &document = Shared.Owners.document();
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
  if (!StopAsked || StopTold)
    return;
  if (!handedOver(now))
    OwnsNothingSince.reset();
  else if (!OwnsNothingSince)
    OwnsNothingSince = now;
  // The new owners may ask about requests until their deadlines have passed.
  bool alone = Shared.Members.homes().empty();
  bool asked = OwnsNothingSince &&
               now - *OwnsNothingSince > Shared.Options.Requests.MaxRequestLife;
  bool quiet = Requests.unfinished() == 0;
  bool late = now - *StopAsked > Shared.Options.StopTimeout;
  if (!(quiet && (alone || asked)) && !late)
    return;
  StopTold = true;
  note(actions, "safe_to_stop",
       "unfinished=" + std::to_string(Requests.unfinished()) +
           ";timed_out=" + (late ? "true" : "false"));
  actions.emplace_back(SafeToStop{});
}

void ControlPath::tick(Time now, Actions &actions) {
  Shared.Members.update(now);
  homesChanged();
  tryToGoLive(now, actions);
  bool due = now >= NextHeartbeat && now - LastHeartbeat >= HeartbeatGap;
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
