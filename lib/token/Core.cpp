#include "chicorybank/token/Core.h"

#include <algorithm>

namespace chicory::token {

namespace {

// Openings are looked at this often while there are any.
constexpr Duration OpeningCheck = std::chrono::milliseconds(10);
// How often idle flows and missing servers are looked for.
constexpr Duration SweepInterval = std::chrono::milliseconds(250);
// A tick that is later than this shows that the process stood still: what it
// sent before and has heard nothing of proves nothing.
constexpr Duration StoodStill = std::chrono::milliseconds(150);
// Callers send copies of an opening after 200 ms and 600 ms. A copy that is
// handled sooner after the one before waited in a queue of ours.
constexpr Duration CopyGap = std::chrono::milliseconds(150);

// Clocks of instances and servers may differ, and jump by seconds. A flow is
// taken for older than a server's life only by more than this.
constexpr Duration ClockDoubt = std::chrono::seconds(5);

} // namespace

Core::Core(CoreOptions options)
    : Options(std::move(options)), Routes(Options.MaxFlowAge),
      Servers(Options.Servers), WarmUps(Options.Self),
      ZoneView(Options.Zone, Options.Zoning), Random(Options.Seed) {}

void Core::handle(const Event &event, Time now, Actions &actions) {
  Resent.clear();
  std::visit([&](const auto &it) { on(it, now, actions); }, event);
}

void Core::on(const PacketReceived &event, Time now, Actions &actions) {
  ++Stats.Packets;
  if (event.Head.Open)
    open(event, now, actions);
  else
    carry(event, now, actions);
}

void Core::open(const PacketReceived &event, Time now, Actions &actions) {
  const FlowPacket &head = event.Head;
  const Route *route = Routes.find(head.Route);
  if (!route) {
    // Without current news the route may exist by now; silence makes the
    // caller ask again, a reset would be a wrong answer.
    if (!newsIsCurrent(now))
      return drop(head, Reason::NotCurrent, now, actions);
    Reason why =
        Routes.wasRemoved(head.Route) ? Reason::RouteRemoved : Reason::NoMatch;
    return reset(head, why, NoBackend, now, actions);
  }
  BackendIndex avoid = NoBackend;
  forgetFormer(head.key(), now);
  if (FlowState *flow = flowOf(head.key())) {
    const Backend &backend = Servers.at(flow->Backend);
    bool away = silent(backend, now) || !backend.acceptsNewFlows();
    // All copies go to one server: two that answer would leave the caller with
    // a flow at one and the token of the other. Only a server that answers
    // nobody loses its openings, and only where the copy is a real one.
    bool real = flow->Opening && now - flow->SentAt >= CopyGap;
    if (!real || !away)
      return openAt(event, flow->Backend, now, actions);
    avoid = flow->Backend;
  }
  BackendIndex i = choose(*route, hashFlow(head.key()), avoid, now);
  if (i == NoBackend && !SawBackends)
    return drop(head, Reason::NotCurrent, now, actions);
  if (i == NoBackend)
    return reset(head, whyNone(*route), NoBackend, now, actions);
  ++Stats.Opened;
  openAt(event, i, now, actions);
  if (avoid != NoBackend && avoid != i)
    flowOf(head.key())->AlsoSentTo = Servers.at(avoid).Info.Id;
  decided({.What = "flow_opened",
           .Flow = head.key(),
           .Backend = Servers.at(i).Info.Id},
          now, actions);
}

void Core::openAt(const PacketReceived &event, BackendIndex i, Time now,
                  Actions &actions) {
  FlowKey key = event.Head.key();
  FlowState &flow = remember(key, i, now);
  flow.LastSequence = event.Head.Sequence;
  if (flow.Opening) {
    // A copy is no further flow.
    if (flow.SentAt == Time{})
      WarmUps.onFlowOpened(Servers.at(i), now);
    flow.SentAt = now;
    Openings.push_back({.Flow = key,
                        .SentAt = now,
                        .Raw = {event.Raw.begin(), event.Raw.end()}});
  }
  send(i, event.Raw, actions);
}

BackendIndex Core::resolve(const FlowPacket &head, Time now,
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
    // Two servers of the route share the token. Only memory can tell them
    // apart; a guess could break the flow.
    auto flow = Flows.find(head.key());
    if (flow != Flows.end() && tokenOf(flow->second.Id) == head.Echo)
      return flow->second.Backend;
    why = Reason::AmbiguousToken;
    return NoBackend;
  }
  return out;
}

void Core::carry(const PacketReceived &event, Time now, Actions &actions) {
  const FlowPacket &head = event.Head;
  if (!Routes.find(head.Route)) {
    if (newsIsCurrent(now) && Routes.wasRemoved(head.Route) && !head.Reset)
      return reset(head, Reason::RouteRemoved, NoBackend, now, actions);
    return drop(head, Reason::NoMatch, now, actions);
  }
  Reason why = Reason::None;
  BackendIndex i = resolve(head, now, why);
  // Where the opening went to two servers, both may have answered. The caller
  // has the flow with the first; its token changes to the second's, which must
  // not get the flow's packets.
  const FlowState *flow = flowOf(head.key());
  bool second = flow && i != NoBackend && !flow->Opening &&
                flow->AlsoSentTo == Servers.at(i).Info.Id;
  if (flow && (second || (i == NoBackend && head.Echo.Value == 0)))
    i = flow->Backend;
  if (i == NoBackend) {
    drop(head, why, now, actions);
    if (why == Reason::UnknownToken)
      unknownToken(head, now, actions);
    return;
  }
  if (Servers.at(i).State == BackendState::Gone) {
    forget(head.key());
    if (!head.Reset)
      reset(head, Reason::BackendGone, i, now, actions);
    return;
  }
  if (resetUnreachable(head, i, now, actions))
    return;
  send(i, event.Raw, actions);
  follow(head, i, now, actions);
}

/// A token that nobody registered may be newer than the registrations here.
/// Only after a time that every registration needs at most, all of it with
/// current news, is its server known to have ended.
void Core::unknownToken(const FlowPacket &head, Time now, Actions &actions) {
  if (head.Reset || head.Echo.Value == 0)
    return;
  if (Unknown.size() >= Options.MaxUnknownFlows &&
      !Unknown.contains(head.key()))
    return;
  Time since = Unknown.try_emplace(head.key(), now).first->second;
  since = std::max(since, CurrentSince);
  if (!trustsMissing(now) || CurrentAt - since < Options.UnknownTokenTimeout)
    return;
  Unknown.erase(head.key());
  reset(head, Reason::BackendGone, NoBackend, now, actions);
}

void Core::drop(const FlowPacket &head, Reason why, Time now,
                Actions &actions) {
  ++Stats.Drops[static_cast<size_t>(why)];
  decided({.What = "packet_dropped", .Why = why, .Flow = head.key()}, now,
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
  decided({.What = "flow_reset",
           .Why = why,
           .Flow = head.key(),
           .Backend = i == NoBackend ? BackendId{} : Servers.at(i).Info.Id},
          now, actions);
}

void Core::on(const RoutesLearned &event, Time now, Actions &actions) {
  if (!Routes.learn(event.Routes, now))
    return;
  WarmUps.setServices(event.Routes.WarmUps);
  Stats.RoutesAge.add(newsAge(now));
  decided({.What = "routes_in_force"}, now, actions);
}

void Core::on(const PastRoutesLearned &event, Time now, Actions & /*actions*/) {
  Routes.learnPast(event.Pairs, now);
}

void Core::on(const BackendsLearned &event, Time now, Actions &actions) {
  for (const Registration &it : event.Present) {
    if (Servers.applyRegistration(it, now))
      decided({.What = it.Draining ? "backend_draining" : "backend_ready",
               .Backend = it.Id},
              now, actions);
    WarmUps.onRegistered(Servers.at(Servers.find(it.Id)), now);
  }
  for (BackendId it : event.Ended)
    if (Servers.markMissing(it, now))
      decided({.What = "backend_missing", .Backend = it}, now, actions);
  for (BackendId it : event.Unreadable)
    if (Servers.markUnreadable(it))
      decided({.What = "backend_unreadable", .Backend = it}, now, actions);
  endFormerLives(event.ReadAt, now, actions);
  // What is missing has to wait until the news is shown to be current.
  endServers(false, now, actions);
}

void Core::on(const ZoneDrainLearned &event, Time now, Actions &actions) {
  if (!Servers.drainZone(event.Zone, event.Active, now))
    return;
  if (!event.Active)
    for (BackendIndex i = 0; i < Servers.indexEnd(); ++i)
      if (Servers.at(i).Info.Zone == event.Zone)
        WarmUps.onZoneRestored(Servers.at(i), now);
  decided({.What = event.Active ? "zone_drained" : "zone_restored",
           .Zone = event.Zone},
          now, actions);
}

void Core::on(const InstancesLearned &event, Time now, Actions & /*actions*/) {
  WarmUps.setInstances(event.Instances, now);
  ZoneView.setInstances(event.Instances);
}

void Core::decided(Decision decision, Time now, Actions &actions) const {
  decision.At = now;
  decision.Rules = Routes.version();
  decision.Age = newsAge(now);
  actions.emplace_back(decision);
}

void Core::on(const BackendsComplete & /*event*/, Time /*now*/,
              Actions & /*actions*/) {
  SawBackends = true;
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

void Core::on(const Tick & /*event*/, Time now, Actions &actions) {
  bool first = LastTick == Time{};
  // Callers' answers may wait in the socket; count nothing against servers.
  if (!first && now - LastTick > StoodStill + SweepInterval) {
    Openings.clear();
    Requests.clear();
    ResumedAt = now;
  }
  LastTick = now;
  checkOpenings(now, actions);
  checkRequests(now, actions);
  if (now - LastSweep < SweepInterval)
    return;
  LastSweep = now;
  endServers(trustsMissing(now), now, actions);
  sweep(now);
}

/// A server that has started again answers the packets of its former life's
/// flows with resets of its own, but only once a caller sends one. A caller
/// whose request waits would wait for its next retransmission, so the flows
/// that are surely older than the new life are reset here.
///
/// How old the life is follows from two clocks. Where they can't be right, or
/// the flow may have been opened in the new life, the server decides.
void Core::endFormerLives(int64_t readAt, Time now, Actions &actions) {
  for (BackendIndex i : Servers.takeRestarted()) {
    Backend &backend = Servers.at(i);
    decided({.What = "backend_restarted", .Backend = backend.Info.Id}, now,
            actions);
    Duration age = std::chrono::milliseconds(readAt - backend.Info.StartedAtMs);
    bool known = readAt != 0 && age >= Duration::zero();
    std::vector<FlowKey> former;
    for (auto &[key, flow] : Flows) {
      if (!known || flow.Backend != i)
        continue;
      if (now - flow.FirstSeen > age + ClockDoubt)
        former.push_back(key);
      else if (flow.RequestInProgress && now - flow.RequestSince > age)
        endRequest(flow);
    }
    resetFlows(former, Reason::BackendRestarted, now, actions);
  }
}

void Core::endServers(bool trusted, Time now, Actions &actions) {
  for (BackendIndex it : Servers.expire(trusted, now)) {
    decided({.What = "backend_gone", .Backend = Servers.at(it).Info.Id}, now,
            actions);
    if (Options.Enabled.GoneResets)
      resetFlowsOf(it, now, actions);
  }
}

void Core::resetFlowsOf(BackendIndex i, Time now, Actions &actions) {
  std::vector<FlowKey> ended =
      flowsOf(i, [](const FlowKey &, const FlowState &) { return true; });
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
    return std::min(sweep, now + OpeningCheck);
  if (Requests.empty())
    return sweep;
  Time due = Requests.front().SentAt + requestPatience();
  return std::min(sweep, std::max(due, now + OpeningCheck));
}

} // namespace chicory::token
