// Which backend server takes a new flow, and which ones are avoided.

#include "chicorybank/token/Core.h"

#include <algorithm>
#include <limits>

namespace chicory::token {

namespace {

// Weights of the choice, in requests in progress at a server with two slots.
// A server that has just started is slow for some seconds; it needs no weight
// of its own, since its requests in progress show it (measured on two sites:
// 0.001 of worth either way).
// A flow to another zone breaks when the zones are cut off from each other, and
// costs a millisecond and bandwidth until then: taken only where every server
// here has two requests more.
constexpr double OtherZoneCost = 2.0;
// Spreads ties, so that instances with the same view don't pick the same one.
constexpr double TieSpread = 0.2;
// A server to avoid is taken only where there is no other.
constexpr double AvoidCost = 50;
constexpr double SuspectCost = 20;
// A missing registration of which the registry has shown that it ended. Its
// server is worth a try where there is no other.
constexpr double MissingCost = 30;
constexpr double UsualSlots = 2;
// An opening that is older than this has its caller's next copy under way.
constexpr Duration SteerWithin = std::chrono::milliseconds(180);
// The smoothed handshake may vary by this factor without meaning silence.
constexpr int HandshakeFactor = 4;

} // namespace

bool Core::staysInZone(ServiceId service) {
  double leaves = ZoneView.spillShare(service);
  return Options.Enabled.OwnZoneFirst &&
         std::uniform_real_distribution<double>(0, 1)(Random) >= leaves;
}

double Core::score(const Backend &backend, bool ownZoneFirst, Time now) {
  double slots = std::max<uint32_t>(backend.Info.Slots, 1);
  double load = backend.load();
  double out = load * UsualSlots / slots;
  if (ownZoneFirst && backend.Info.Zone != Options.Zone)
    out += OtherZoneCost;
  if (silent(backend, now))
    out += SuspectCost;
  return out + std::uniform_real_distribution<double>(0, TieSpread)(Random);
}

BackendIndex Core::chooseOf(ServiceId service, BackendIndex avoid, Time now) {
  BackendIndex out = NoBackend;
  double best = std::numeric_limits<double>::max();
  bool stays = staysInZone(service);
  uint32_t loadHere = 0;
  uint32_t slotsHere = 0;
  // All registrations may lapse while the registry is away, and they return one
  // by one. Any cost, however small, would have all instances send what they
  // have to the few that are back: a hundred instances see no load there, and
  // those servers shed it. One notices 503 in the second after the registry
  // returns.
  double missingCost = trustsMissing(now) ? MissingCost : 0;
  for (BackendIndex i : Servers.ofService(service)) {
    const Backend &backend = Servers.at(i);
    if (backend.Info.Zone == Options.Zone) {
      loadHere += backend.load();
      slotsHere += backend.acceptsNewFlows() ? backend.Info.Slots : 0;
    }
    bool missing = Options.Enabled.MissingAsLastResort &&
                   backend.State == BackendState::Missing &&
                   !backend.Info.Draining && !backend.ZoneDrained;
    if ((!backend.acceptsNewFlows() && !missing) ||
        !WarmUps.mayOpen(backend, now))
      continue;
    double cost = score(backend, stays, now);
    if (missing)
      cost += missingCost;
    // A flow at one of two servers with one token would depend on memory.
    if (i == avoid || Servers.sharesToken(i))
      cost += AvoidCost;
    if (cost >= best)
      continue;
    best = cost;
    out = i;
  }
  ZoneView.recordLoad(service, loadHere, slotsHere, now);
  return out;
}

BackendIndex Core::choose(const Route &route, uint64_t flowHash,
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
  // The flow's share decides; a service without servers leaves its to others.
  for (size_t n = 0; n < route.Services.size(); ++n) {
    const WeightedService &it =
        route.Services[(first + n) % route.Services.size()];
    if (it.Weight == 0)
      continue;
    BackendIndex out = chooseOf(it.Service, avoid, now);
    if (out != NoBackend)
      return out;
  }
  return NoBackend;
}

Reason Core::whyNone(const Route &route) const {
  Reason out = Reason::NoTarget;
  for (const WeightedService &it : route.Services)
    for (BackendIndex i : Servers.ofService(it.Service)) {
      // All that take new flows warm up, or one of them would have been chosen.
      if (Servers.at(i).acceptsNewFlows())
        return Reason::WarmingUp;
      if (Servers.at(i).State == BackendState::Ready)
        out = Reason::ZoneDrained;
    }
  return out;
}

void Core::progress(BackendIndex i, Time now) {
  Backend &backend = Servers.at(i);
  backend.Unanswered = 0;
  backend.Suspicions = 0;
  backend.LastProgress = now;
  backend.SuspectUntil = {};
  backend.Probes.FoundUnreachable = false;
  ZoneView.recordAnswer(backend.Info.Zone);
}

void Core::missed(BackendIndex i, Time now, Actions &actions) {
  Backend &backend = Servers.at(i);
  ++backend.Unanswered;
  doubt(i, now, actions);
  if (backend.Unanswered >= Options.SuspectAfter)
    suspect(i, now, actions);
  if (!Options.Enabled.Suspicion || !ZoneView.recordMiss(backend, now))
    return;
  decided({.What = "zone_suspect",
           .Why = Reason::BackendSilent,
           .Zone = backend.Info.Zone},
          now, actions);
  steerOpeningsAway(now, actions);
}

void Core::suspect(BackendIndex i, Time now, Actions &actions) {
  Backend &backend = Servers.at(i);
  if (!Options.Enabled.Suspicion || backend.isSuspect(now))
    return;
  Duration lasts = Options.SuspectFor;
  for (uint32_t n = 0; n < backend.Suspicions; ++n)
    lasts = std::min(lasts * 2, Options.SuspectForMax);
  ++backend.Suspicions;
  backend.SuspectUntil = now + lasts;
  actions.emplace_back(Decision{.What = "backend_suspect",
                                .Why = Reason::BackendSilent,
                                .At = now,
                                .Backend = backend.Info.Id,
                                .Rules = Routes.version(),
                                .Age = now - backend.LastProgress});
  steerOpeningsAway(now, actions);
}

/// A silent server swallows openings, and callers notice after 200 ms. The
/// openings that wait at silent ones go to another server at once.
void Core::steerOpeningsAway(Time now, Actions &actions) {
  if (!Options.Enabled.MovedOpenings)
    return;
  for (Opening &it : Openings) {
    FlowState *flow = flowOf(it.Flow);
    if (!flow || !flow->Opening || !silent(Servers.at(flow->Backend), now))
      continue;
    BackendIndex from = flow->Backend;
    if (now - it.SentAt > SteerWithin || flow->SentAt != it.SentAt)
      continue;
    const Route *route = Routes.find(it.Flow.Destination);
    if (!route)
      continue;
    BackendIndex to = choose(*route, hashFlow(it.Flow), from, now);
    if (to == NoBackend || to == from || silent(Servers.at(to), now))
      continue;
    FlowState &moved = remember(it.Flow, to, now);
    moved.SentAt = now;
    WarmUps.onFlowOpened(Servers.at(to), now);
    moved.AlsoSentTo = Servers.at(from).Info.Id;
    it.SentAt = now;
    it.Counted = true;
    ++Stats.Retries[static_cast<size_t>(Reason::BackendSilent)];
    Resent.push_back(it.Raw);
    send(to, Resent.back(), actions);
    decided({.What = "opening_moved",
             .Why = Reason::BackendSilent,
             .Flow = it.Flow,
             .Backend = Servers.at(to).Info.Id},
            now, actions);
  }
}

void Core::checkOpenings(Time now, Actions &actions) {
  Duration patience =
      std::max(Options.OpeningTimeout, Handshake * HandshakeFactor);
  for (size_t n = 0; n < Openings.size(); ++n) {
    Opening &it = Openings[n];
    if (it.Counted || now - it.SentAt < patience)
      continue;
    it.Counted = true;
    FlowState *flow = flowOf(it.Flow);
    if (flow && flow->Opening && flow->SentAt == it.SentAt)
      missed(flow->Backend, now, actions);
  }
  while (!Openings.empty() && now - Openings.front().SentAt > SteerWithin)
    Openings.pop_front();
}

} // namespace chicory::token
