#include "chicorybank/token/Core.h"

#include <algorithm>
#include <cstdlib>
#include <unordered_set>

namespace chicory::token {

namespace {

// Interval between checks of unanswered openings.
constexpr Duration OpeningCheckInterval = std::chrono::milliseconds(10);
// Interval between checks for idle flows and missing servers.
constexpr Duration SweepInterval = std::chrono::milliseconds(250);
// A tick that follows the previous one by more than this plus `SweepInterval`
// shows that the process was suspended. Missing answers to what it sent before
// prove nothing.
constexpr Duration SuspendedAfter = std::chrono::milliseconds(150);
// Callers send copies of an opening after 200 ms and 600 ms. A copy that is
// handled sooner after the previous one waited in a queue of this instance.
constexpr Duration MinCopyInterval = std::chrono::milliseconds(150);

// Clocks of instances and servers may differ, and may jump by seconds. Only a
// flow that is older than a server's process by more than this counts as older.
constexpr Duration MaxClockError = std::chrono::seconds(5);

// A packet whose acknowledgement is farther from the last one belongs to a
// later flow of the same caller port. The protocol accepts resets within this
// distance.
constexpr int64_t MaxStreamDistance = 76'800;

// With subsets as large as this, each one holds all servers.
constexpr size_t AllServers = 1'000'000;

SelectorOptions selectorOptions(const CoreOptions &options) {
  SelectorOptions out = options.Selection;
  if (!options.Enabled.ServerSubsets)
    out.Subsets.MinServers = out.Subsets.MaxServers = AllServers;
  return out;
}

} // namespace

Core::Core(CoreOptions options)
    : Options(std::move(options)), Routes(Options.MaxFlowAge),
      Servers(Options.Servers), WarmUps(Options.Self),
      ZoneView(Options.Zone, Options.Zoning),
      Selector(Options.Zone, Options.Self, selectorOptions(Options)),
      Admission(Options.Admission), Random(Options.Seed) {}

void Core::handle(const Event &event, Time now, Actions &actions) {
  Resent.clear();
  std::visit([&](const auto &it) { on(it, now, actions); }, event);
}

void Core::on(const PacketReceived &event, Time now, Actions &actions) {
  ++Stats.Packets;
  if (event.Head.Open)
    openFlow(event, now, actions);
  else
    forwardPacket(event, now, actions);
}

void Core::openFlow(const PacketReceived &event, Time now, Actions &actions) {
  const FlowPacket &head = event.Head;
  const Route *route = Routes.find(head.Route);
  if (!route) {
    // With stale updates the route may exist by now. No answer makes the caller
    // try again, while a reset would be a wrong answer.
    if (!isCurrent(now))
      return drop(head, Reason::NotCurrent, now, actions);
    Reason why =
        Routes.wasRemoved(head.Route) ? Reason::RouteRemoved : Reason::NoMatch;
    return reset(head, why, NoBackend, now, actions);
  }
  BackendIndex avoid = NoBackend;
  forgetEarlierFlow(head.key(), now);
  if (FlowState *flow = flowOf(head.key())) {
    const Backend &backend = Servers.at(flow->Backend);
    bool avoided = isAvoided(backend, now) || !backend.acceptsNewFlows();
    // All copies go to one server: if two servers answered, the caller could
    // have its flow at one server and the token of the other. A copy goes to
    // another server only if the first one, or its zone, is avoided or accepts
    // no new flows, and only if this is a real copy.
    bool isRealCopy = flow->Opening && now - flow->SentAt >= MinCopyInterval;
    if (!isRealCopy || !avoided)
      return sendOpening(event, flow->Backend, now, actions);
    avoid = flow->Backend;
  }
  BackendIndex i = chooseServer(*route, hashFlow(head.key()), avoid, now);
  if (i == NoBackend && !AllBackendsKnown)
    return drop(head, Reason::NotCurrent, now, actions);
  if (i == NoBackend)
    return reset(head, whyNoServer(*route), NoBackend, now, actions);
  if (avoid == NoBackend && !mayBeAdmitted(head, *route, i, now))
    return reset(head, Reason::ServiceOverloaded, i, now, actions);
  ++Stats.Opened;
  if (CurrentAt == NeverCurrent)
    ++Stats.OpenedUnconfirmed;
  sendOpening(event, i, now, actions);
  if (avoid != NoBackend && avoid != i)
    flowOf(head.key())->AlsoSentTo = Servers.at(avoid).Info.Id;
  addDecision({.What = "flow_opened",
               .Flow = head.key(),
               .Backend = Servers.at(i).Info.Id},
              now, actions);
}

void Core::sendOpening(const PacketReceived &event, BackendIndex i, Time now,
                       Actions &actions) {
  FlowKey key = event.Head.key();
  FlowState &flow = trackFlow(key, i, now);
  flow.LastSequence = event.Head.Sequence;
  if (flow.Opening) {
    // A copy of an opening is not counted again.
    if (flow.SentAt == Time{})
      onFlowOpened(i, now);
    flow.SentAt = now;
    if (!StopRequested)
      Openings.push_back({.Flow = key,
                          .SentAt = now,
                          .Raw = {event.Raw.begin(), event.Raw.end()}});
  }
  send(i, event.Raw, actions);
}

BackendIndex Core::serverOfToken(const FlowPacket &head, Time now,
                                 Reason &why) const {
  const std::vector<BackendIndex> &named = Servers.withToken(head.Echo);
  why = named.empty() ? Reason::UnknownToken : Reason::ForeignToken;
  BackendIndex out = NoBackend;
  for (BackendIndex it : named) {
    if (!Routes.mayReach(head.Route, Servers.at(it).Info.Service, now))
      continue;
    if (out == NoBackend) {
      out = it;
      continue;
    }
    // Two servers of the route share the token. Only the record of the flow can
    // tell them apart; a wrong guess would break the flow.
    auto flow = Flows.find(head.key());
    if (flow != Flows.end() && tokenOf(flow->second.Id) == head.Echo)
      return flow->second.Backend;
    why = Reason::AmbiguousToken;
    return NoBackend;
  }
  return out;
}

void Core::forwardPacket(const PacketReceived &event, Time now,
                         Actions &actions) {
  const FlowPacket &head = event.Head;
  if (!Routes.find(head.Route)) {
    if (isCurrent(now) && Routes.wasRemoved(head.Route) && !head.Reset)
      return reset(head, Reason::RouteRemoved, NoBackend, now, actions);
    return drop(head, Reason::NoMatch, now, actions);
  }
  Reason why = Reason::None;
  BackendIndex i = serverOfToken(head, now, why);
  // If the opening went to two servers, from this instance or from two, both
  // may have answered. The caller has its flow with the first one. If its token
  // changes to that of the second one, the second one must not get the packets
  // of the flow.
  const FlowState *flow = flowOf(head.key());
  if (flow && i == NoBackend && head.Echo.Value == 0)
    i = flow->Backend;
  if (flow && i != flow->Backend &&
      (isSecondServer(i, *flow) || continuesFlow(head, *flow, now))) {
    ++Stats.SecondServerTokens;
    i = flow->Backend;
  }
  if (i == NoBackend) {
    drop(head, why, now, actions);
    if (why == Reason::UnknownToken)
      handleUnknownToken(head, now, actions);
    return;
  }
  if (Servers.at(i).State == BackendState::Gone) {
    forget(head.key());
    if (!head.Reset)
      reset(head, Reason::BackendGone, i, now, actions);
    return;
  }
  if (resetIfUnreachable(head, i, now, actions))
    return;
  send(i, event.Raw, actions);
  trackPacket(event, i, now, actions);
}

bool Core::isSecondServer(BackendIndex i, const FlowState &flow) const {
  return i != NoBackend && !flow.Opening &&
         flow.AlsoSentTo == Servers.at(i).Info.Id;
}

/// The acknowledgement tells the flow from a later one of the same caller port,
/// since servers start each stream at a random position.
bool Core::continuesFlow(const FlowPacket &head, const FlowState &flow,
                         Time now) const {
  const Backend &recorded = Servers.at(flow.Backend);
  int64_t distance =
      static_cast<int32_t>(head.Acknowledged - flow.LastAcknowledged);
  return !flow.Opening && std::abs(distance) <= MaxStreamDistance &&
         recorded.State != BackendState::Gone &&
         Routes.mayReach(head.Route, recorded.Info.Service, now);
}

/// Handles a token that no known server has. The token may be newer than the
/// registrations here. The server is known to have ended only if the token has
/// been unknown for `UnknownTokenTimeout`, within which every registration
/// arrives, and the updates were current for all of that time.
void Core::handleUnknownToken(const FlowPacket &head, Time now,
                              Actions &actions) {
  if (head.Reset || head.Echo.Value == 0)
    return;
  if (Unknown.size() >= Options.MaxUnknownFlows &&
      !Unknown.contains(head.key()))
    return;
  Time since = Unknown.try_emplace(head.key(), now).first->second;
  since = std::max(since, CurrentSince);
  if (!canTrustMissing(now) || CurrentAt - since < Options.UnknownTokenTimeout)
    return;
  Unknown.erase(head.key());
  reset(head, Reason::BackendGone, NoBackend, now, actions);
}

void Core::drop(const FlowPacket &head, Reason why, Time now,
                Actions &actions) {
  ++Stats.Drops[static_cast<size_t>(why)];
  addDecision({.What = "packet_dropped", .Why = why, .Flow = head.key()}, now,
              actions);
}

void Core::send(BackendIndex i, Bytes raw, Actions &actions) {
  const Registration &to = Servers.at(i).Info;
  ++Stats.Forwarded;
  actions.emplace_back(Forward{
      .To = to.Id, .Where = to.Where, .Echo = tokenOf(to.Id), .Raw = raw});
}

void Core::reset(const FlowPacket &head, Reason why, BackendIndex i, Time now,
                 Actions &actions) {
  ++Stats.Resets[static_cast<size_t>(why)];
  actions.emplace_back(
      ResetFlow{.Flow = head.key(), .Near = head.Acknowledged, .Why = why});
  addDecision({.What = "flow_reset",
               .Why = why,
               .Flow = head.key(),
               .Backend = i == NoBackend ? BackendId{} : Servers.at(i).Info.Id},
              now, actions);
}

void Core::on(const RoutesLearned &event, Time now, Actions &actions) {
  if (!Routes.learn(event.Routes, now))
    return;
  WarmUps.setServices(event.Routes.WarmUps);
  updatePriorities(event.Routes);
  updateNamedServices(event.Routes, now, actions);
  if (auto age = updateAge(now))
    Stats.RoutesAge.add(*age);
  addDecision({.What = "routes_in_force"}, now, actions);
}

void Core::on(const PastRoutesLearned &event, Time now, Actions & /*actions*/) {
  Routes.learnPast(event.Pairs, now);
}

void Core::on(const BackendsLearned &event, Time now, Actions &actions) {
  for (const Registration &it : event.Present)
    applyRegistration(it, now, actions);
  for (BackendId it : event.Ended)
    if (Servers.markMissing(it, now))
      addDecision({.What = "backend_missing", .Backend = it}, now, actions);
  for (BackendId it : event.Unreadable)
    if (Servers.markUnreadable(it))
      addDecision({.What = "backend_unreadable", .Backend = it}, now, actions);
  resetFlowsOfRestarted(event.ReadAt, now, actions);
  // Missing servers are kept until the updates are confirmed as current.
  expireServers(false, now, actions);
}

void Core::applyRegistration(const Registration &info, Time now,
                             Actions &actions) {
  bool changed = Servers.applyRegistration(info, now);
  BackendIndex i = Servers.find(info.Id);
  if (changed)
    logState(i, now, actions);
  if (Servers.holdsRegistrationOf(i)) {
    ++Stats.HeldRegistrations;
    return addDecision({.What = "registration_held", .Backend = info.Id}, now,
                       actions);
  }
  WarmUps.onRegistered(Servers.at(i), now);
}

void Core::logState(BackendIndex i, Time now, Actions &actions) const {
  const Backend &backend = Servers.at(i);
  bool draining = backend.State == BackendState::Draining;
  addDecision({.What = draining ? "backend_draining" : "backend_ready",
               .Backend = backend.Info.Id},
              now, actions);
}

/// Without this, an entry of another program at the address of a running server
/// would take its new flows, though no route leads to that entry's service.
void Core::updateNamedServices(const RouteSet &routes, Time now,
                               Actions &actions) {
  std::unordered_set<uint64_t> named;
  for (const Route &route : routes.Routes)
    for (const WeightedService &it : route.Services)
      named.insert(it.Service.Value);
  for (const ServiceWarmUp &it : routes.WarmUps)
    named.insert(it.Service.Value);
  Servers.setNamedServices(std::move(named), now);
  expireServers(false, now, actions);
}

void Core::on(const ZoneDrainLearned &event, Time now, Actions &actions) {
  if (!Servers.drainZone(event.Zone, event.Active, now))
    return;
  if (!event.Active)
    for (BackendIndex i = 0; i < Servers.indexEnd(); ++i)
      if (Servers.at(i).Info.Zone == event.Zone)
        WarmUps.onZoneRestored(Servers.at(i), now);
  addDecision({.What = event.Active ? "zone_drained" : "zone_restored",
               .Zone = event.Zone},
              now, actions);
}

void Core::on(const InstancesLearned &event, Time now, Actions & /*actions*/) {
  WarmUps.setInstances(event.Instances, now);
  Selector.setInstances(event.Instances);
  ZoneView.setInstances(event.Instances);
}

void Core::addDecision(Decision decision, Time now, Actions &actions) const {
  decision.At = now;
  decision.Rules = Routes.version();
  decision.Age = updateAge(now);
  actions.emplace_back(decision);
}

void Core::on(const BackendsComplete & /*event*/, Time /*now*/,
              Actions & /*actions*/) {
  AllBackendsKnown = true;
}

void Core::on(const FreshnessUpdated &event, Time /*now*/,
              Actions & /*actions*/) {
  if (event.CurrentAt - CurrentAt > Options.UpdateGap)
    CurrentSince = event.CurrentAt;
  CurrentAt = std::max(CurrentAt, event.CurrentAt);
}

void Core::on(const BoundsChanged &event, Time /*now*/, Actions & /*actions*/) {
  Options.ApplyWithin = event.ApplyWithin;
  Options.MaxFlowAge = event.MaxFlowAge;
  Routes.setMaxFlowAge(event.MaxFlowAge);
}

/// Packets of callers that show answers may still wait in the socket, so
/// nothing counts against the servers. Openings that are not answered yet are
/// too old to be sent to another server.
void Core::on(const ProcessResumed & /*event*/, Time now,
              Actions & /*actions*/) {
  Openings.clear();
  Requests.clear();
  ResumedAt = now;
}

void Core::on(const StopBegun & /*event*/, Time /*now*/,
              Actions & /*actions*/) {
  Openings.clear();
  Requests.clear();
  StopRequested = true;
}

void Core::on(const Tick & /*event*/, Time now, Actions &actions) {
  bool first = LastTick == Time{};
  if (!first && now - LastTick > SuspendedAfter + SweepInterval)
    on(ProcessResumed{}, now, actions);
  LastTick = now;
  checkOpenings(now, actions);
  checkRequests(now, actions);
  if (now - LastSweep < SweepInterval)
    return;
  LastSweep = now;
  expireServers(canTrustMissing(now), now, actions);
  sweep(now, actions);
  if (selectsByHealth())
    logShortage(now, actions);
}

/// Resets the flows of earlier processes of restarted servers. A restarted
/// server resets such flows itself, but only once a caller sends a packet. A
/// caller that waits for an answer would wait until its next retransmission, so
/// flows that are certainly older than the new process are reset here.
///
/// The age of the process is computed from two clocks. If they can't be right,
/// or the flow may have been opened in the new process, the decision is left to
/// the server.
void Core::resetFlowsOfRestarted(int64_t readAt, Time now, Actions &actions) {
  for (BackendIndex i : Servers.takeRestarted()) {
    Selector.onRestart(i);
    Backend &backend = Servers.at(i);
    addDecision({.What = "backend_restarted", .Backend = backend.Info.Id}, now,
                actions);
    Duration age = std::chrono::milliseconds(readAt - backend.Info.StartedAtMs);
    bool known = readAt != 0 && age >= Duration::zero();
    std::vector<FlowKey> former;
    for (auto &[key, flow] : Flows) {
      if (!known || flow.Backend != i)
        continue;
      if (now - flow.FirstSeen > age + MaxClockError)
        former.push_back(key);
      else if (flow.RequestInProgress && now - flow.RequestSince > age)
        endRequest(flow);
    }
    resetFlows(former, Reason::BackendRestarted, now, actions);
  }
}

void Core::expireServers(bool trusted, Time now, Actions &actions) {
  for (BackendIndex it : Servers.applyHeld(now)) {
    logState(it, now, actions);
    WarmUps.onRegistered(Servers.at(it), now);
  }
  std::vector<BackendIndex> ended = Servers.expire(trusted, now);
  for (BackendIndex it : Servers.takeReinstated())
    logState(it, now, actions);
  for (BackendIndex it : Servers.takeContested())
    logContest(it, now, actions);
  for (BackendIndex it : ended) {
    // It is back already.
    if (Servers.at(it).State != BackendState::Gone)
      continue;
    Decision gone{.What = "backend_gone", .Backend = Servers.at(it).Info.Id};
    const AddressConflict *conflict = Servers.lostConflict(it);
    gone.Cause = conflict ? "address_taken" : "registration_ended";
    if (conflict) {
      gone.Conflict = *conflict;
      ++Stats.ReplacedServers;
    }
    addDecision(gone, now, actions);
    if (Options.Enabled.GoneResets)
      resetFlowsOf(it, now, actions);
  }
}

void Core::logContest(BackendIndex i, Time now, Actions &actions) {
  const Backend &backend = Servers.at(i);
  Decision out{.What = "backend_uncontested", .Backend = backend.Info.Id};
  if (backend.AddressContested) {
    ++Stats.ContestedAddresses;
    out.What = "backend_contested";
    out.Conflict = Servers.conflictOf(i);
  }
  addDecision(out, now, actions);
}

void Core::resetFlowsOf(BackendIndex i, Time now, Actions &actions) {
  // An opening that was also sent to another server may have opened the flow
  // there.
  std::vector<FlowKey> ended =
      flowsOf(i, [](const FlowKey &, const FlowState &flow) {
        return !flow.Opening || flow.AlsoSentTo.Value == 0;
      });
  resetFlows(ended, Reason::BackendGone, now, actions);
}

void Core::resetFlows(const std::vector<FlowKey> &keys, Reason why, Time now,
                      Actions &actions) {
  for (const FlowKey &it : keys) {
    const FlowState &flow = Flows.at(it);
    FlowPacket last{.Caller = it.Source,
                    .Route = it.Destination,
                    .Acknowledged = flow.LastAcknowledged};
    reset(last, why, flow.Backend, now, actions);
    forget(it);
  }
}

Time Core::nextTick(Time now) const {
  Time sweep = LastSweep + SweepInterval;
  if (!Openings.empty())
    return std::min(sweep, now + OpeningCheckInterval);
  if (Requests.empty())
    return sweep;
  Time due = Requests.front().SentAt + requestTimeout();
  return std::min(sweep, std::max(due, now + OpeningCheckInterval));
}

} // namespace chicory::token
