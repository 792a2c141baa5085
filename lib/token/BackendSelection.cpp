// Selects the backend server of a new flow, and decides which servers are
// avoided.

#include "chicorybank/token/Core.h"

#include <algorithm>
#include <limits>

namespace chicory::token {

namespace {

// Costs of the selection, in requests in progress at a server with two slots. A
// server that has just started is slow for some seconds. It needs no extra
// cost, since its requests in progress already show that (on two sites an extra
// cost changed the score by 0.001 or less).

// A flow to another zone breaks if the zones are cut off from each other, and
// until then it costs a millisecond and bandwidth. So another zone is chosen
// only if every server of the own zone has two requests more.
constexpr double OtherZoneCost = 2.0;
// Breaks ties randomly, so that instances with the same view don't choose the
// same server.
constexpr double TieSpread = 0.2;
// A server to avoid is chosen only if there is no other one.
constexpr double AvoidCost = 50;
constexpr double SuspectCost = 20;
// Applies once the registry has shown that a missing server has ended. Such a
// server is worth a try if there is no other one.
constexpr double MissingCost = 30;
constexpr double UsualSlots = 2;
// An opening that is older is not moved, since the caller's next copy is on its
// way.
constexpr Duration MoveWithin = std::chrono::milliseconds(180);
// An opening counts as unanswered after this many smoothed handshake times, or
// after `OpeningTimeout` if that is longer.
constexpr int HandshakeFactor = 4;

} // namespace

bool Core::prefersOwnZone(ServiceId service) {
  double spillShare = ZoneView.spillShare(service);
  return Options.Enabled.OwnZoneFirst &&
         std::uniform_real_distribution<double>(0, 1)(Random) >= spillShare;
}

double Core::costOf(const Backend &backend, bool ownZoneFirst, Time now) {
  double slots = std::max<uint32_t>(backend.Info.Slots, 1);
  double load = backend.load();
  double out = load * UsualSlots / slots;
  if (ownZoneFirst && backend.Info.Zone != Options.Zone)
    out += OtherZoneCost;
  if (isAvoided(backend, now))
    out += SuspectCost;
  return out + std::uniform_real_distribution<double>(0, TieSpread)(Random);
}

BackendIndex Core::chooseServerOf(ServiceId service, bool idempotent,
                                  BackendIndex avoid, Time now) {
  LastSelection = {};
  if (selectsByHealth()) {
    BackendIndex out = selectByHealth(service, idempotent, avoid, now);
    if (out != NoBackend)
      return out;
    ++Stats.FullScans;
  }
  return scanServersOf(service, avoid, now);
}

/// Selects a server by what was observed of the servers of this instance's
/// subset. Returns `NoBackend` if none of them can be used.
BackendIndex Core::selectByHealth(ServiceId service, bool idempotent,
                                  BackendIndex avoid, Time now) {
  // While all registrations expire with the registry, missing servers count in
  // full (see `scanServersOf`).
  bool missingAreUsual = !canTrustMissing(now);
  auto eligible = [&](BackendIndex i) {
    const Backend &backend = Servers.at(i);
    bool accepts = backend.acceptsNewFlows() ||
                   (missingAreUsual && isMissingOnly(backend));
    return accepts && WarmUps.mayOpen(backend, now) && i != avoid &&
           !isAvoided(backend, now) && !Servers.sharesToken(i);
  };
  bool wasPanicking = Selector.isPanicking(service, now);
  LastSelection = Selector.select({.Service = service,
                                   .Idempotent = idempotent,
                                   .OwnZoneFirst = prefersOwnZone(service)},
                                  Servers, eligible, now);
  ZoneView.recordLoad(service, LastSelection.LoadHere, LastSelection.SlotsHere,
                      now);
  Stats.SubsetChoices += LastSelection.Source == SelectionSource::Subset;
  Stats.OtherZoneChoices += LastSelection.Source == SelectionSource::OtherZone;
  Stats.PanicChoices += LastSelection.Panic;
  PanicStarted |= LastSelection.Panic && !wasPanicking;
  return LastSelection.Server;
}

void Core::onFlowOpened(BackendIndex i, Time now) {
  WarmUps.onFlowOpened(Servers.at(i), now);
  if (selectsByHealth())
    Selector.onFlowOpened(i, Servers, now);
}

BackendIndex Core::scanServersOf(ServiceId service, BackendIndex avoid,
                                 Time now) {
  BackendIndex out = NoBackend;
  double lowest = std::numeric_limits<double>::max();
  bool ownZoneFirst = prefersOwnZone(service);
  uint32_t loadHere = 0;
  uint32_t slotsHere = 0;
  // All registrations may expire while the registry is down, and they return
  // one by one. With any cost on missing servers, however small, all instances
  // would send all new flows to the few servers that are back: a hundred
  // instances see no load there, and those servers shed requests. The symptom
  // is 503 in the second after the registry returns.
  double missingCost = canTrustMissing(now) ? MissingCost : 0;
  for (BackendIndex i : Servers.ofService(service)) {
    const Backend &backend = Servers.at(i);
    if (backend.Info.Zone == Options.Zone) {
      loadHere += backend.load();
      slotsHere += backend.acceptsNewFlows() ? backend.Info.Slots : 0;
    }
    bool missing = isMissingOnly(backend);
    if ((!backend.acceptsNewFlows() && !missing) ||
        !WarmUps.mayOpen(backend, now))
      continue;
    double cost = costOf(backend, ownZoneFirst, now);
    if (missing)
      cost += missingCost;
    // If two servers share a token, only this instance's record of the flow can
    // tell them apart.
    if (i == avoid || Servers.sharesToken(i))
      cost += AvoidCost;
    if (cost >= lowest)
      continue;
    lowest = cost;
    out = i;
  }
  ZoneView.recordLoad(service, loadHere, slotsHere, now);
  return out;
}

BackendIndex Core::chooseServer(const Route &route, uint64_t flowHash,
                                BackendIndex avoid, Time now) {
  uint64_t total = 0;
  for (const WeightedService &it : route.Services)
    total += it.Weight;
  if (total == 0)
    return NoBackend;
  uint64_t point = flowHash % total;
  size_t first = 0;
  while (point >= route.Services[first].Weight)
    point -= route.Services[first++].Weight;
  // The hash of the flow selects the service by weight. A service without
  // servers leaves its share to the others.
  for (size_t n = 0; n < route.Services.size(); ++n) {
    const WeightedService &it =
        route.Services[(first + n) % route.Services.size()];
    if (it.Weight == 0)
      continue;
    BackendIndex out = chooseServerOf(it.Service, route.Idempotent, avoid, now);
    if (out != NoBackend)
      return out;
  }
  return NoBackend;
}

Reason Core::whyNoServer(const Route &route) const {
  Reason out = Reason::NoTarget;
  for (const WeightedService &it : route.Services)
    for (BackendIndex i : Servers.ofService(it.Service)) {
      // A server that accepts new flows but was not chosen is warming up.
      if (Servers.at(i).acceptsNewFlows())
        return Reason::WarmingUp;
      if (Servers.at(i).State == BackendState::Ready &&
          Servers.at(i).ZoneDrained)
        out = Reason::ZoneDrained;
    }
  return out;
}

void Core::recordProgress(BackendIndex i, Time now) {
  Backend &backend = Servers.at(i);
  backend.Unanswered = 0;
  backend.Suspicions = 0;
  backend.LastProgress = now;
  backend.SuspectUntil = {};
  backend.Probes.FoundUnreachable = false;
  ZoneView.recordAnswer(backend.Info.Zone);
}

void Core::recordUnanswered(BackendIndex i, Time now, Actions &actions) {
  Backend &backend = Servers.at(i);
  ++backend.Unanswered;
  probeIfDue(i, now, actions);
  if (backend.Unanswered >= Options.SuspectAfter)
    markSuspect(i, now, actions);
  if (!Options.Enabled.Suspicion || !ZoneView.recordMiss(backend, now))
    return;
  addDecision({.What = "zone_suspect",
               .Why = Reason::BackendSilent,
               .Zone = backend.Info.Zone},
              now, actions);
}

void Core::markSuspect(BackendIndex i, Time now, Actions &actions) {
  Backend &backend = Servers.at(i);
  if (!Options.Enabled.Suspicion || backend.isSuspect(now))
    return;
  Duration lasts = Options.SuspectFor;
  for (uint32_t n = 0; n < backend.Suspicions; ++n)
    lasts = std::min(lasts * 2, Options.SuspectForMax);
  ++backend.Suspicions;
  backend.SuspectUntil = now + lasts;
  Servers.yieldAddress(i);
  actions.emplace_back(Decision{.What = "backend_suspect",
                                .Why = Reason::BackendSilent,
                                .At = now,
                                .Backend = backend.Info.Id,
                                .Rules = Routes.version(),
                                .Age = now - backend.LastProgress});
}

/// Sends the openings that a server left unanswered to another server at once.
/// Otherwise they are lost at a silent server, and callers notice only after
/// 200 ms.
///
/// The server must have failed a probe. That its callers' next packets are
/// missing proves nothing: routers may send them through another instance, for
/// example when an instance stops or joins, and then the flows are open.
void Core::moveOpenings(BackendIndex from, Time now, Actions &actions) {
  if (!Options.Enabled.MovedOpenings)
    return;
  for (Opening &it : Openings) {
    FlowState *flow = flowOf(it.Flow);
    if (!flow || !flow->Opening || flow->Backend != from)
      continue;
    Duration waited = now - it.SentAt;
    if (waited < openingTimeout() || waited > MoveWithin ||
        flow->SentAt != it.SentAt)
      continue;
    const Route *route = Routes.find(it.Flow.Destination);
    if (!route)
      continue;
    BackendIndex to = chooseServer(*route, hashFlow(it.Flow), from, now);
    if (to == NoBackend || to == from || isAvoided(Servers.at(to), now))
      continue;
    FlowState &moved = trackFlow(it.Flow, to, now);
    moved.SentAt = now;
    onFlowOpened(to, now);
    moved.AlsoSentTo = Servers.at(from).Info.Id;
    it.SentAt = now;
    it.Counted = true;
    ++Stats.Retries[static_cast<size_t>(Reason::BackendSilent)];
    Resent.push_back(it.Raw);
    send(to, Resent.back(), actions);
    addDecision({.What = "opening_moved",
                 .Why = Reason::BackendSilent,
                 .Flow = it.Flow,
                 .Backend = Servers.at(to).Info.Id},
                now, actions);
  }
}

Duration Core::openingTimeout() const {
  return std::max(Options.OpeningTimeout, Handshake * HandshakeFactor);
}

void Core::checkOpenings(Time now, Actions &actions) {
  Duration timeout = openingTimeout();
  for (size_t n = 0; n < Openings.size(); ++n) {
    Opening &it = Openings[n];
    if (it.Counted || now - it.SentAt < timeout)
      continue;
    it.Counted = true;
    FlowState *flow = flowOf(it.Flow);
    if (!flow || !flow->Opening || flow->SentAt != it.SentAt)
      continue;
    if (selectsByHealth()) {
      HealthChange change = Selector.onUnanswered(flow->Backend, Servers, now);
      if (change != HealthChange::None)
        announceHealth(flow->Backend, change, now, actions);
    }
    recordUnanswered(flow->Backend, now, actions);
  }
  while (!Openings.empty() && now - Openings.front().SentAt > MoveWithin)
    Openings.pop_front();
}

} // namespace chicory::token
