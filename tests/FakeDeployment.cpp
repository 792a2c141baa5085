#include "FakeDeployment.h"

#include <algorithm>

namespace fakes {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(10);
constexpr Duration Step = std::chrono::milliseconds(1);

} // namespace

FakeDeployment::FakeDeployment(uint32_t instances, uint64_t seed)
    : Random(seed) {
  Rules = samples::compiled(samples::ruleSet(1));
  for (const Service &service : Rules->set().Services)
    for (const Target &it : service.Targets)
      Targets[it.Id] = {};
  for (uint32_t i = 0; i < instances; ++i)
    add();
}

InstanceInfo FakeDeployment::info(InstanceId id) const {
  Address at{.Ip = 0x7f000000 + id.Value, .Port = 7000};
  return {.Id = id, .Zone = "gikondo", .Packets = at, .Peers = at};
}

std::vector<InstanceId> FakeDeployment::ids() const {
  std::vector<InstanceId> out;
  for (const auto &[id, node] : Nodes)
    out.push_back(id);
  return out;
}

InstanceId FakeDeployment::add() {
  InstanceId id{NextId++};
  CoreOptions options;
  options.Self = info(id);
  options.Incarnation = Random();
  options.Seed = Random();
  Nodes[id].CoreUnderTest = std::make_unique<Core>(options, Now);
  InstancesDiscovered named;
  for (InstanceId it : ids())
    named.Instances.push_back(info(it));
  deliver(id, named);
  if (PlatformUp) {
    learnRules(id);
    learnMembers(id);
  }
  at(TickInterval, [this, id] { tick(id); });
  return id;
}

void FakeDeployment::tick(InstanceId id) {
  if (!Nodes.contains(id))
    return;
  if (!Nodes[id].Paused)
    handle(id, Tick{});
  at(TickInterval, [this, id] { tick(id); });
}

void FakeDeployment::kill(InstanceId id) {
  Nodes.erase(id);
  for (InstanceId it : ids())
    if (!isPartitioned(it, id))
      deliver(it, PeerRefused{.Peer = id});
}

void FakeDeployment::pause(InstanceId id, bool paused) {
  Node &node = Nodes.at(id);
  node.Paused = paused;
  if (paused)
    return;
  // Events that arrived during the pause are handled before the first tick.
  std::vector<Event> held = std::move(node.PendingEvents);
  node.PendingEvents.clear();
  for (const Event &it : held)
    handle(id, it);
}

void FakeDeployment::stop(InstanceId id) { handle(id, StopRequested{}); }

bool FakeDeployment::settle() {
  bool ok = runUntil(
      [this] {
        return std::all_of(Nodes.begin(), Nodes.end(), [this](auto &it) {
          CoreStats stats = it.second.CoreUnderTest->stats();
          return stats.HomesNow == Nodes.size() && stats.HoldsLease &&
                 stats.Members == Members.Version;
        });
      },
      std::chrono::seconds(20));
  // Wait until new owners no longer refuse with `Reason::MayHaveRun`.
  run(std::chrono::seconds(6));
  return ok;
}

void FakeDeployment::at(Duration delay, std::function<void()> run) {
  Queue.emplace(Now + delay, Task{std::move(run)});
}

Duration FakeDeployment::delay() {
  return Duration(1 + static_cast<int64_t>(
                          Random() % static_cast<uint64_t>(MaxDelay.count())));
}

void FakeDeployment::run(Duration length) {
  Time end = Now + length;
  while (!Queue.empty() && Queue.begin()->first <= end) {
    Now = std::max(Now, Queue.begin()->first);
    std::function<void()> run = std::move(Queue.begin()->second.Run);
    Queue.erase(Queue.begin());
    run();
  }
  Now = end;
}

bool FakeDeployment::runUntil(const std::function<bool()> &done,
                              Duration timeout) {
  for (Time end = Now + timeout; Now < end; run(Step))
    if (done())
      return true;
  return done();
}

bool FakeDeployment::isPartitioned(InstanceId one, InstanceId other) const {
  return PartitionSide.contains(one) != PartitionSide.contains(other);
}

void FakeDeployment::deliver(InstanceId to, Event event) {
  at(delay(), [this, to, event = std::move(event)] { handle(to, event); });
}

void FakeDeployment::handle(InstanceId to, const Event &event) {
  auto it = Nodes.find(to);
  if (it == Nodes.end())
    return;
  if (it->second.Paused) {
    it->second.PendingEvents.push_back(event);
    return;
  }
  Actions actions;
  it->second.CoreUnderTest->handle(event, Now, actions);
  for (const Action &action : actions)
    perform(to, action);
}

void FakeDeployment::perform(InstanceId from, const Action &action) {
  if (const auto *packet = std::get_if<SendPacket>(&action)) {
    Packet content = packet->Content;
    if (packet->To)
      at(delay(), [this, to = *packet->To, content, from] {
        toTarget(to, content, from);
      });
    else
      at(delay(), [this, content] { toCaller(content); });
  } else if (const auto *passOn = std::get_if<ForwardPacket>(&action)) {
    if (!isPartitioned(from, passOn->To))
      deliver(passOn->To, ForwardedPacketArrived{.Sender = from,
                                                 .Packet = passOn->Packet,
                                                 .Hops = passOn->Hops,
                                                 .Rules = passOn->Rules});
  } else if (const auto *query = std::get_if<SendQuery>(&action)) {
    if (!isPartitioned(from, query->To))
      deliver(query->To, QueryArrived{.Message = query->Message});
  } else if (const auto *heartbeat = std::get_if<SendHeartbeat>(&action)) {
    ++HeartbeatsSent[from];
    if (!isPartitioned(from, heartbeat->To.Id))
      deliver(heartbeat->To.Id,
              HeartbeatArrived{.Message = heartbeat->Message});
  } else if (const auto *pull = std::get_if<PullRules>(&action)) {
    bool reachable = Nodes.contains(pull->From.Id) &&
                     !isPartitioned(from, pull->From.Id) &&
                     core(pull->From.Id).stats().Rules == Rules->version();
    if (reachable)
      deliver(from, RulesLearned{.Rules = Rules});
  } else if (const auto *members = std::get_if<WriteMembers>(&action)) {
    write(from, members->Document);
  } else if (std::holds_alternative<SafeToStop>(action)) {
    Nodes.at(from).SafeToStop = true;
  }
}

void FakeDeployment::write(InstanceId from, const MembersDocument &document) {
  if (!PlatformUp || PartitionSide.contains(from))
    return;
  if (document.Version.Value == Members.Version.Value + 1) {
    Members = document;
    for (InstanceId it : ids())
      learnMembers(it);
  } else {
    learnMembers(from);
  }
}

void FakeDeployment::restoreMembers(const MembersDocument &older) {
  Members = older;
  for (InstanceId it : ids())
    learnMembers(it);
}

void FakeDeployment::learnMembers(InstanceId id) {
  if (!PartitionSide.contains(id) && Members.Version != MembersVersion{})
    deliver(id, MembersLearned{.Document = Members});
}

void FakeDeployment::learnRules(InstanceId id) {
  bool watches = Watchers.empty() || Watchers.contains(id);
  if (PlatformUp && watches && !PartitionSide.contains(id))
    deliver(id, RulesLearned{.Rules = Rules});
}

void FakeDeployment::submit(RuleSet rules) {
  rules.Version = RuleVersion{Rules->version().Value + 1};
  Rules = samples::compiled(std::move(rules));
  for (InstanceId it : ids())
    learnRules(it);
}

void FakeDeployment::sendToRandomInstances(const PacketInFlight &packet) {
  if (Nodes.empty())
    return;
  std::bernoulli_distribution twice(DuplicateProbability);
  int copies = DuplicateProbability > 0 && twice(Random) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    auto it = std::next(Nodes.begin(),
                        static_cast<ptrdiff_t>(Random() % Nodes.size()));
    deliver(it->first, PacketArrived{.Packet = packet});
  }
}

void FakeDeployment::send(PacketKind kind, const FlowKey &flow) {
  PacketInFlight out;
  out.Content = {.Kind = kind, .Flow = flow};
  sendToRandomInstances(out);
}

void FakeDeployment::request(const FlowKey &flow, uint64_t id, bool idempotent,
                             Duration deadline, int copies) {
  auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      (Now + deadline).time_since_epoch());
  PacketInFlight out;
  out.Content = {.Kind = PacketKind::Request,
                 .Flow = flow,
                 .Request = RequestId{id},
                 .Idempotent = idempotent,
                 .DeadlineMs = ms.count()};
  Outcomes[id];
  for (int i = 0; i < copies; ++i)
    sendToRandomInstances(out);
}

void FakeDeployment::requestAt(InstanceId at, const FlowKey &flow, uint64_t id,
                               Time deadline) {
  auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline.time_since_epoch());
  PacketInFlight out;
  out.Content = {.Kind = PacketKind::Request,
                 .Flow = flow,
                 .Request = RequestId{id},
                 .DeadlineMs = ms.count()};
  Outcomes[id];
  deliver(at, PacketArrived{.Packet = out});
}

void FakeDeployment::cancel(const FlowKey &flow, uint64_t id) {
  PacketInFlight out;
  out.Content = {
      .Kind = PacketKind::Cancel, .Flow = flow, .Request = RequestId{id}};
  sendToRandomInstances(out);
}

void FakeDeployment::toTarget(TargetId id, const Packet &packet,
                              InstanceId from) {
  auto found = Targets.find(id);
  bool cutOff = UnreachableTargets[from].contains(id);
  if (found == Targets.end() || found->second.Stopped || cutOff)
    return;
  FakeTarget &target = found->second;
  std::vector<TargetId> &reached = ReachedTargets[packet.Flow];
  bool ofFlow =
      packet.Kind == PacketKind::Open || packet.Kind == PacketKind::Data;
  if (ofFlow && (reached.empty() || reached.back() != id))
    reached.push_back(id);
  switch (packet.Kind) {
  case PacketKind::Open:
    target.Flows.insert(packet.Flow);
    return fromTarget(id, {.Kind = PacketKind::Data, .Flow = packet.Flow});
  case PacketKind::Data:
    return fromTarget(id, {.Kind = target.Flows.contains(packet.Flow)
                                       ? PacketKind::Data
                                       : PacketKind::Reset,
                           .Flow = packet.Flow});
  case PacketKind::Close:
  case PacketKind::Reset:
    target.Flows.erase(packet.Flow);
    return;
  case PacketKind::Request:
    return runRequest(id, packet);
  case PacketKind::Probe:
    return fromTarget(id, {.Kind = PacketKind::Report,
                           .Flow = packet.Flow,
                           .Draining = target.Draining});
  default:
    return;
  }
}

void FakeDeployment::runRequest(TargetId id, const Packet &packet) {
  FakeTarget &target = Targets[id];
  Packet refusal{.Kind = PacketKind::Refused,
                 .Flow = packet.Flow,
                 .Request = packet.Request};
  if (target.Draining)
    refusal.Why = Reason::TargetDraining;
  else if (target.Running >= 2)
    refusal.Why = Reason::TargetShed;
  if (refusal.Why != Reason::None)
    return fromTarget(id, refusal);
  ++target.Running;
  ++target.Executed;
  ++Runs[packet.Request.Value];
  auto spread = static_cast<uint64_t>((MaxWork - MinWork).count()) + 1;
  Duration work = MinWork + Duration(Random() % spread);
  at(work, [this, id, packet] {
    --Targets[id].Running;
    for (uint32_t part : {1U, 0U})
      fromTarget(id, {.Kind = PacketKind::Answer,
                      .Flow = packet.Flow,
                      .Request = packet.Request,
                      .Last = part == 1,
                      .Part = part});
  });
}

void FakeDeployment::fromTarget(TargetId id, Packet packet) {
  if (Targets[id].Stopped)
    return;
  packet.ToCaller = true;
  PacketInFlight out;
  out.Content = std::move(packet);
  out.From = id;
  sendToRandomInstances(out);
}

void FakeDeployment::toCaller(const Packet &packet) {
  Outcome &outcome = Outcomes[packet.Request.Value];
  switch (packet.Kind) {
  case PacketKind::Data:
    ++DataToCaller[packet.Flow];
    return;
  case PacketKind::Reset:
    ++ResetsToCaller[packet.Flow];
    return;
  case PacketKind::Answer:
    ++outcome.Parts;
    outcome.Whole = outcome.Parts >= 2;
    return;
  case PacketKind::Refused:
    outcome.Refusals.push_back(packet.Outcome);
    outcome.Reasons.push_back(packet.Why);
    return;
  default:
    return;
  }
}

} // namespace fakes
