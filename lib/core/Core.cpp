#include "chicorybank/core/Core.h"

#include "ControlPath.h"
#include "CoreState.h"
#include "FlowPath.h"
#include "RequestPath.h"

#include <utility>

namespace chicory {

namespace {

// A packet goes from its first instance to the home and, while homes move, to
// a former home.
constexpr uint8_t MaxHops = 3;
// Packets that wait for a newer rule set, and for how long.
constexpr size_t MaxWaiting = 1024;
constexpr Duration WaitForRules = std::chrono::milliseconds(300);

bool isAboutRequest(const Packet &packet) {
  switch (packet.Kind) {
  case PacketKind::Request:
  case PacketKind::Answer:
  case PacketKind::Refused:
  case PacketKind::Cancel:
    return true;
  default:
    return packet.Kind == PacketKind::Reset && packet.Request != RequestId{};
  }
}

} // namespace

/// Sorts events out to the parts of the core.
class CoreImpl {
public:
  CoreImpl(CoreOptions options, Time startedAt)
      : State(std::move(options), startedAt), Flows(State),
        Requests(State, Flows), Control(State, Flows, Requests) {}

  void on(const PacketArrived &event) { route(event.Packet, 0); }
  void on(const ForwardedPacketArrived &event);
  void on(const QueryArrived &event);
  void on(const HeartbeatArrived &event) {
    Control.heartbeat(event.Message, Now, *Out);
  }
  void on(const PeerRefused &event) { Control.refused(event.Peer, *Out); }
  void on(const RulesLearned &event);
  void on(const MembersLearned &event) {
    Control.members(event.Document, Now, *Out);
  }
  void on(const InstancesDiscovered &event) {
    Control.instances(event.Instances, Now);
  }
  void on(const StopRequested & /*event*/) { Control.stop(Now, *Out); }
  void on(const Tick & /*event*/);

  void route(const PacketInFlight &packet, uint8_t hops);
  InstanceId destination(const Packet &packet) const;
  void local(const PacketInFlight &packet, uint8_t hops);
  void releaseWaiting();

  /// A packet from an instance that holds newer rules than this one.
  struct Waiting {
    ForwardedPacketArrived Event;
    Time Until;
  };

  CoreState State;
  FlowPath Flows;
  RequestPath Requests;
  ControlPath Control;
  std::vector<Waiting> WaitingForRules;
  Time Now;
  Actions *Out = nullptr;
};

InstanceId CoreImpl::destination(const Packet &packet) const {
  uint64_t hash = hashFlow(packet.Flow);
  if (isAboutRequest(packet)) {
    InstanceId owner = rendezvousFirst(hash, State.Owners.document().Members);
    if (owner == State.self() || State.Members.isReachable(owner, Now))
      return owner;
  }
  if (State.Options.FlowPlacement != Placement::Pinned)
    return State.self();
  return State.homeOf(hash);
}

void CoreImpl::route(const PacketInFlight &packet, uint8_t hops) {
  const Packet &content = packet.Content;
  if (content.Kind == PacketKind::Report)
    return Control.report(packet, Now);
  if (content.Kind == PacketKind::Probe)
    return State.refuse(Reason::BadPacket);
  InstanceId to = destination(content);
  // An instance that joins and knows no home yet must not judge: it would
  // reset established flows because it has never heard of them. The caller's
  // next packet finds a home.
  bool blind =
      to == InstanceId{} && State.Members.state() == InstanceState::Joining;
  if (blind)
    return State.refuse(Reason::NoRules);
  // During a hand-over the former owner holds the request, while members
  // already name the new one. Passed to and fro between them, the parts of an
  // answer would end at different instances and the caller would get half.
  bool ours = content.ToCaller && Requests.holds(content);
  bool here = ours || to == State.self() || to == InstanceId{};
  if (!here && hops < MaxHops)
    return State.forward(to, packet, hops + 1, *Out);
  if (!here)
    State.refuse(Reason::HopLimit);
  local(packet, hops);
}

void CoreImpl::local(const PacketInFlight &packet, uint8_t hops) {
  const Packet &content = packet.Content;
  switch (content.Kind) {
  case PacketKind::Request:
    return Requests.request(packet, hops, Now, *Out);
  case PacketKind::Cancel:
    return Requests.cancel(content, Now, *Out);
  case PacketKind::Answer:
  case PacketKind::Refused:
    return Requests.fromTarget(packet, hops, Now, *Out);
  case PacketKind::Close:
  case PacketKind::Reset:
    if (content.ToCaller && content.Request != RequestId{})
      return Requests.fromTarget(packet, hops, Now, *Out);
    if (!content.ToCaller)
      Requests.flowClosed(content.Flow, Now, *Out);
    return Flows.packet(packet, Now, *Out);
  default:
    return Flows.packet(packet, Now, *Out);
  }
}

void CoreImpl::on(const ForwardedPacketArrived &event) {
  bool decides = event.Packet.Content.Kind == PacketKind::Open ||
                 event.Packet.Content.Kind == PacketKind::Request;
  bool behind = event.Rules > State.History.version();
  if (!decides || !behind)
    return route(event.Packet, event.Hops);
  // Another instance has already seen newer rules, and may have decided by
  // them. Deciding by older ones now would send this flow elsewhere.
  if (WaitingForRules.size() >= MaxWaiting)
    return State.refuse(Reason::NoRules);
  WaitingForRules.push_back({.Event = event, .Until = Now + WaitForRules});
  const Peer *peer = State.Members.find(event.Sender);
  if (peer != nullptr)
    Out->emplace_back(PullRules{.From = peer->Info, .Version = event.Rules});
}

void CoreImpl::releaseWaiting() {
  std::vector<Waiting> waiting = std::exchange(WaitingForRules, {});
  for (Waiting &it : waiting) {
    if (it.Event.Rules <= State.History.version())
      route(it.Event.Packet, it.Event.Hops);
    else if (it.Until > Now)
      WaitingForRules.push_back(std::move(it));
    else
      State.refuse(Reason::NoRules);
  }
}

void CoreImpl::on(const QueryArrived &event) {
  if (const auto *query = std::get_if<FlowQuery>(&event.Message)) {
    if (query->Request == RequestId{})
      Flows.query(*query, *Out);
    else
      Requests.query(*query, Now, *Out);
    return;
  }
  const auto &reply = std::get<FlowReply>(event.Message);
  if (reply.Request == RequestId{})
    Flows.reply(reply, Now, *Out);
  else
    Requests.reply(reply, Now, *Out);
}

void CoreImpl::on(const RulesLearned &event) {
  Control.rules(event.Rules, Now, *Out);
  releaseWaiting();
}

void CoreImpl::on(const Tick & /*event*/) {
  Control.tick(Now, *Out);
  Flows.tick(Now, *Out);
  Requests.tick(Now, *Out);
  if (!WaitingForRules.empty())
    releaseWaiting();
}

Core::Core(CoreOptions options, Time startedAt)
    : Impl(std::make_unique<CoreImpl>(std::move(options), startedAt)) {}
Core::~Core() = default;
Core::Core(Core &&) noexcept = default;
Core &Core::operator=(Core &&) noexcept = default;

void Core::handle(const Event &event, Time now, Actions &actions) {
  Impl->Now = now;
  Impl->Out = &actions;
  std::visit([this](const auto &it) { Impl->on(it); }, event);
}

CoreStats Core::stats() const {
  CoreStats out = Impl->State.Stats;
  out.FlowsNow = Impl->Flows.size();
  out.RequestsNow = Impl->Requests.unfinished();
  out.QueuedNow = Impl->Requests.queued();
  out.HomesNow = Impl->State.Members.homes().size();
  out.Rules = Impl->State.History.version();
  out.Members = Impl->State.Owners.document().Version;
  out.State = Impl->State.Members.state();
  out.HoldsLease = Impl->State.Owners.holdsLease(Impl->Now);
  return out;
}

Explanation Core::explain(const FlowKey &flow, Time now) const {
  CoreState &state = Impl->State;
  uint64_t hash = hashFlow(flow);
  Explanation out{.Flow = flow,
                  .Replier = state.self(),
                  .Rules = state.History.version(),
                  .Home = state.homeOf(hash),
                  .Owner = state.Owners.ownershipOf(hash, now).Owner};
  if (const FlowPin *pin = Impl->Flows.find(flow)) {
    out.PinnedTarget = pin->PinnedTarget;
    const CompiledRules *rules = state.History.newest();
    const Service *service =
        rules == nullptr ? nullptr : rules->service(pin->Service);
    out.PinnedService = service == nullptr ? "" : service->Name;
  }
  const CompiledRules *rules = state.History.newest();
  const Rule *rule = rules == nullptr ? nullptr : rules->match(flow);
  if (rule == nullptr) {
    out.Why = rules == nullptr ? Reason::NoRules : Reason::NoMatch;
    return out;
  }
  out.RuleName = rule->Name;
  const Service *service = rules->service(rule->Service);
  if (service == nullptr) {
    out.Why = Reason::RuleRefuses;
    return out;
  }
  out.ServiceName = service->Name;
  out.NewTarget = state.Book.chooseForFlow(*service, hash,
                                           state.Members.homes().size(), now);
  if (!out.NewTarget)
    out.Why = Reason::NoTarget;
  return out;
}

const Membership &Core::membership() const { return Impl->State.Members; }
const OwnershipTracker &Core::ownership() const { return Impl->State.Owners; }
const Targets &Core::targets() const { return Impl->State.Book; }
const CompiledRules *Core::rules() const {
  return Impl->State.History.newest();
}

} // namespace chicory
