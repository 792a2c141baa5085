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
// Limits for packets that wait for a newer rule set.
constexpr size_t MaxWaitingPackets = 1024;
constexpr Duration MaxWaitForRules = std::chrono::milliseconds(300);

bool concernsRequest(const Packet &packet) {
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

/// Dispatches events to the parts of the core.
class CoreImpl {
public:
  CoreImpl(CoreOptions options, Time startedAt)
      : State(std::move(options), startedAt), Flows(State),
        Requests(State, Flows), Control(State, Flows, Requests) {}

  void on(const PacketArrived &event) { route(event.Packet, 0); }
  void on(const ForwardedPacketArrived &event);
  void on(const QueryArrived &event);
  void on(const HeartbeatArrived &event) {
    Control.handleHeartbeat(event.Message, Now, *Out);
  }
  void on(const PeerRefused &event) {
    Control.handleRefusedConnection(event.Peer, *Out);
  }
  void on(const RulesLearned &event);
  void on(const MembersLearned &event) {
    Control.handleMembers(event.Document, Now, *Out);
  }
  void on(const InstancesDiscovered &event) {
    Control.addInstances(event.Instances, Now);
  }
  void on(const StopRequested & /*event*/) { Control.startStop(Now, *Out); }
  void on(const Tick & /*event*/);

  void route(const PacketInFlight &packet, uint8_t hops);
  InstanceId destination(const Packet &packet) const;
  void handleHere(const PacketInFlight &packet, uint8_t hops);
  void retryWaiting();

  /// A packet forwarded by an instance that has newer rules than this one.
  struct WaitingPacket {
    ForwardedPacketArrived Event;
    Time Until;
  };

  CoreState State;
  FlowPath Flows;
  RequestPath Requests;
  ControlPath Control;
  std::vector<WaitingPacket> WaitingForRules;
  Time Now;
  Actions *Out = nullptr;
};

InstanceId CoreImpl::destination(const Packet &packet) const {
  uint64_t hash = hashFlow(packet.Flow);
  if (concernsRequest(packet)) {
    InstanceId owner =
        rendezvousFirst(hash, State.Ownership.document().Members);
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
    return Control.handleReport(packet, Now);
  if (content.Kind == PacketKind::Probe)
    return State.countRefusal(Reason::BadPacket);
  InstanceId to = destination(content);
  // A joining instance that knows no home yet drops the packet: it has no state
  // of established flows and would reset them. The caller's next packet reaches
  // a home. The drop is counted as `NoRules`.
  bool knowsNoHome =
      to == InstanceId{} && State.Members.state() == InstanceState::Joining;
  if (knowsNoHome)
    return State.countRefusal(Reason::NoRules);
  // During a hand-over the former owner has the record of the request, while
  // the members document already names the new owner. If the two forwarded the
  // parts of an answer back and forth, the parts would end at different
  // instances and the caller would get only some of them.
  bool recordedHere = content.ToCaller && Requests.hasRecord(content);
  bool here = recordedHere || to == State.self() || to == InstanceId{};
  if (!here && hops < MaxHops)
    return State.forward(to, packet, hops + 1, *Out);
  if (!here)
    State.countRefusal(Reason::HopLimit);
  handleHere(packet, hops);
}

void CoreImpl::handleHere(const PacketInFlight &packet, uint8_t hops) {
  const Packet &content = packet.Content;
  switch (content.Kind) {
  case PacketKind::Request:
    return Requests.handleRequest(packet, hops, Now, *Out);
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
    return Flows.handlePacket(packet, Now, *Out);
  default:
    return Flows.handlePacket(packet, Now, *Out);
  }
}

void CoreImpl::on(const ForwardedPacketArrived &event) {
  bool opensFlowOrRequest = event.Packet.Content.Kind == PacketKind::Open ||
                            event.Packet.Content.Kind == PacketKind::Request;
  bool behind = event.Rules > State.History.version();
  if (!opensFlowOrRequest || !behind)
    return route(event.Packet, event.Hops);
  // The other instance has newer rules and may already have placed flows by
  // them. A decision by older rules could send this flow to another target.
  if (WaitingForRules.size() >= MaxWaitingPackets)
    return State.countRefusal(Reason::NoRules);
  WaitingForRules.push_back({.Event = event, .Until = Now + MaxWaitForRules});
  const Peer *peer = State.Members.find(event.Sender);
  if (peer != nullptr)
    Out->emplace_back(PullRules{.From = peer->Info, .Version = event.Rules});
}

void CoreImpl::retryWaiting() {
  std::vector<WaitingPacket> waiting = std::exchange(WaitingForRules, {});
  for (WaitingPacket &it : waiting) {
    if (it.Event.Rules <= State.History.version())
      route(it.Event.Packet, it.Event.Hops);
    else if (it.Until > Now)
      WaitingForRules.push_back(std::move(it));
    else
      State.countRefusal(Reason::NoRules);
  }
}

void CoreImpl::on(const QueryArrived &event) {
  if (const auto *query = std::get_if<FlowQuery>(&event.Message)) {
    if (query->Request == RequestId{})
      Flows.answerQuery(*query, *Out);
    else
      Requests.answerQuery(*query, Now, *Out);
    return;
  }
  const auto &reply = std::get<FlowReply>(event.Message);
  if (reply.Request == RequestId{})
    Flows.handleReply(reply, Now, *Out);
  else
    Requests.handleReply(reply, Now, *Out);
}

void CoreImpl::on(const RulesLearned &event) {
  Control.handleRules(event.Rules, Now, *Out);
  retryWaiting();
}

void CoreImpl::on(const Tick & /*event*/) {
  Control.tick(Now, *Out);
  Flows.tick(Now, *Out);
  Requests.tick(Now, *Out);
  if (!WaitingForRules.empty())
    retryWaiting();
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
  out.Members = Impl->State.Ownership.document().Version;
  out.State = Impl->State.Members.state();
  out.HoldsLease = Impl->State.Ownership.holdsLease(Impl->Now);
  return out;
}

Explanation Core::explain(const FlowKey &flow, Time now) const {
  CoreState &state = Impl->State;
  uint64_t hash = hashFlow(flow);
  Explanation out{.Flow = flow,
                  .Replier = state.self(),
                  .Rules = state.History.version(),
                  .Home = state.homeOf(hash),
                  .Owner = state.Ownership.ownershipOf(hash, now).Owner};
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
  out.NewTarget = state.TargetStates.chooseForFlow(
      *service, hash, state.Members.homes().size(), now);
  if (!out.NewTarget)
    out.Why = Reason::NoTarget;
  return out;
}

const Membership &Core::membership() const { return Impl->State.Members; }
const OwnershipTracker &Core::ownership() const {
  return Impl->State.Ownership;
}
const Targets &Core::targets() const { return Impl->State.TargetStates; }
const CompiledRules *Core::rules() const {
  return Impl->State.History.newest();
}

} // namespace chicory
