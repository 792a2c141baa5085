// What is done about backend servers that may be unreachable (Reachability.h).

#include "chicorybank/token/Core.h"

#include <algorithm>
#include <utility>

namespace chicory::token {

namespace {

// A slow link delays a probe as much as it delays openings.
constexpr int HandshakesInTimeout = 4;
// A far zone is asked with as much patience as its distance calls for.
constexpr int RoundTripsInTimeout = 4;
// Of the longest round trip so much is left at each shorter one, so that a
// single slow one is forgotten after some ten.
constexpr double RoundTripDecay = 0.8;

} // namespace

/// No probe of it is under way, and none has ended just now.
bool Core::mayProbe(const Reachability &reach, Time now) const {
  Time endedAt = std::max(reach.AnsweredAt, reach.FailedAt);
  return !reach.Probing && now - endedAt >= Options.Probing.MinInterval;
}

/// Something sent to a server has no answer yet. That alone proves nothing.
void Core::doubt(BackendIndex i, Time now, Actions &actions) {
  if (Options.Enabled.Probes && mayProbe(Servers.at(i).Probes, now))
    probe(i, now, actions);
}

/// Probes a server. After a failure one to a server that answered lately goes
/// out with it.
void Core::probe(BackendIndex i, Time now, Actions &actions) {
  Reachability &reach = Servers.at(i).Probes;
  if (reach.Failures == 0) {
    reach.SeriesStartedAt = now;
    reach.Inconclusive = 0;
  }
  reach.Timeout =
      std::max({Options.Probing.Timeout, Handshake * HandshakesInTimeout,
                roundTrip(Servers.at(i).Info.Zone) * RoundTripsInTimeout});
  if (reach.Failures != 0) {
    reach.Timeout *= Options.Probing.RetryTimeoutFactor;
    BackendIndex other = lastToAnswer(i);
    reach.ComparisonServer = {};
    if (other != NoBackend) {
      reach.ComparisonServer = Servers.at(other).Info.Id;
      Servers.at(other).Probes.Timeout = reach.Timeout;
      sendProbe(other, now, actions);
    }
  }
  sendProbe(i, now, actions);
}

void Core::sendProbe(BackendIndex i, Time now, Actions &actions) {
  Backend &backend = Servers.at(i);
  backend.Probes.Probing = true;
  backend.Probes.SentAt = now;
  ++Stats.Probes;
  actions.emplace_back(ProbeBackend{.Id = backend.Info.Id,
                                    .Where = backend.Info.Where,
                                    .Timeout = backend.Probes.Timeout});
}

/// The server, other than `i`, that showed life last and is not in doubt. One
/// that is being probed could not tell how long this probe takes.
BackendIndex Core::lastToAnswer(BackendIndex i) const {
  BackendIndex out = NoBackend;
  Time newest;
  for (BackendIndex other = 0; other < Servers.indexEnd(); ++other) {
    const Backend &it = Servers.at(other);
    Time answered = std::max(it.LastProgress, it.Probes.AnsweredAt);
    bool inDoubt = it.Probes.Failures != 0 || it.Probes.Probing;
    if (other == i || inDoubt || answered <= newest)
      continue;
    newest = answered;
    out = other;
  }
  return out;
}

void Core::on(const ProbeEnded &event, Time now, Actions &actions) {
  BackendIndex i = Servers.find(event.Id);
  if (i == NoBackend)
    return;
  Backend &backend = Servers.at(i);
  Reachability &reach = backend.Probes;
  reach.Probing = false;
  if (event.Outcome == ProbeOutcome::Reached) {
    addressAnswers(i, now, actions);
    reach.AnsweredAt = now;
    noteLink(i, now);
    learnRoundTrip(backend.Info.Zone, now - reach.SentAt);
    return;
  }
  // A probe that was under way while this process stood still shows nothing.
  if (event.Outcome == ProbeOutcome::NotTried || reach.SentAt < ResumedAt)
    return;
  ++Stats.ProbesFailed;
  reach.FailedAt = now;
  if (event.Outcome == ProbeOutcome::Refused && finishing(backend))
    return;
  // Its answers go to callers directly, so they may show life all the same.
  if (backend.LastProgress >= reach.SeriesStartedAt)
    return showedLife(reach, now);
  probeFailed(i, now, actions);
}

/// A server that leaves stops to listen before it has answered its last
/// requests. What goes wrong without: their flows are reset although the
/// answers are on their way, in a planned stop. That it has ended shows when
/// its registration does.
bool Core::finishing(const Backend &backend) {
  return backend.State == BackendState::Draining;
}

/// A probe shows that somebody listens at the server's address. Long after the
/// server was found to be unreachable, that may be the address's next owner.
///
/// What goes wrong without: a quarter of a service's servers die, and two
/// seconds later other servers listen at their addresses, while the news of
/// them is slow. Each answered probe looks like a false alarm, so that nothing
/// more is concluded of any server, and callers wait until the registrations
/// lapse; one sees `backend_unreachable` end two seconds after it began, and
/// answers that take more than a second. Worth 0.005 on a
/// day on which 30 of 120 servers end so (three runs each; of 2,242 requests in
/// the two seconds after it 136 were late without, 110 with it).
void Core::addressAnswers(BackendIndex i, Time now, Actions &actions) {
  Reachability &reach = Servers.at(i).Probes;
  bool another =
      distrusted(reach, now) &&
      now - reach.SeriesStartedAt >= Options.Probing.AddressReusedAfter;
  if (!another)
    return showedLife(reach, now);
  reach.Failures = 0;
  resetWaitingAt(i, now, actions);
}

bool Core::distrusted(const Reachability &reach, Time now) const {
  return reach.FoundUnreachable &&
         now - reach.FailedAt <= Options.Probing.DistrustFor;
}

/// Requests that may be repeated and have waited for longer than usual.
void Core::resetWaitingAt(BackendIndex i, Time now, Actions &actions) {
  auto waits = [&](const FlowKey &key, const FlowState &flow) {
    const Route *route = Routes.find(key.Destination);
    return flow.RequestInProgress && route && route->Idempotent &&
           now - flow.RequestSince >= requestPatience();
  };
  resetFlows(flowsOf(i, waits), Reason::BackendUnreachable, now, actions);
}

void Core::showedLife(Reachability &reach, Time now) {
  if (std::exchange(reach.Failures, 0) != 0)
    FalseAlarmAt = now;
}

void Core::probeFailed(BackendIndex i, Time now, Actions &actions) {
  Backend &backend = Servers.at(i);
  Reachability &reach = backend.Probes;
  suspect(i, now, actions);
  // How long an answer from a zone takes that was never heard is not known.
  bool knownDistance = backend.Info.Zone == Options.Zone ||
                       RoundTrips.contains(backend.Info.Zone);
  if (reach.Failures != 0 && !knownDistance)
    return;
  if (reach.Failures != 0 && !linkWorked(i)) {
    if (!comparedAnswered(i))
      probeOnceMore(i, now, actions);
    return;
  }
  if (++reach.Failures < Options.Probing.UnreachableAfter)
    return probe(i, now, actions);
  if (falseAlarmLately(now))
    return;
  reach.UnreachableUntil = now + Options.Probing.UnreachableFor;
  reach.FoundUnreachable = true;
  decided({.What = "backend_unreachable",
           .Why = Reason::BackendUnreachable,
           .Backend = backend.Info.Id},
          now, actions);
  if (Options.Enabled.SharedDoubts)
    actions.emplace_back(ReportUnreachable{.Id = backend.Info.Id});
  resetHopelessFlowsOf(i, now, actions);
}

/// The server that was asked for comparison did not answer either. It may have
/// died with this one: where a quarter of hundreds fall silent at once, and an
/// instance hears from each seldom, the last one to answer is dead one time in
/// four. The next one is asked for comparison then, at once; waiting for the
/// next doubt leaves callers without a reset for seconds. Where it is this
/// instance's link, further probes fail alike, and only few are made; a late
/// answer shows a slow link, and nothing more is asked.
void Core::probeOnceMore(BackendIndex i, Time now, Actions &actions) {
  Reachability &reach = Servers.at(i).Probes;
  if (reach.Inconclusive >= Options.Probing.MaxInconclusive)
    return;
  ++reach.Inconclusive;
  probe(i, now, actions);
}

/// The other instance's probes stand for the first one here. A server that this
/// instance has nothing to do with can wait.
void Core::on(const BackendReportedUnreachable &event, Time now,
              Actions &actions) {
  BackendIndex i = Servers.find(event.Id);
  if (i == NoBackend)
    return;
  Backend &backend = Servers.at(i);
  Reachability &reach = backend.Probes;
  bool concerned = backend.Flows != 0 || backend.Info.Zone == Options.Zone;
  if (!concerned || !mayProbe(reach, now))
    return;
  reach.SeriesStartedAt = now;
  reach.Inconclusive = 0;
  reach.Failures = 1;
  probe(i, now, actions);
}

/// A probe of another server was answered: the link works, as far as the probes
/// that are under way can tell. Only the first such answer counts for each.
///
/// What goes wrong with the last one: an instance has flows at a dozen servers
/// that die together, and asks the same one for comparison with each. The
/// answer to a later probe hides the one that came in time, and half of all
/// rows end without a conclusion; one sees callers who wait a second or two
/// longer.
void Core::noteLink(BackendIndex answered, Time now) {
  for (BackendIndex i = 0; i < Servers.indexEnd(); ++i) {
    Reachability &reach = Servers.at(i).Probes;
    bool first = reach.LinkWorkedAt < reach.SentAt;
    if (i != answered && reach.Probing && first)
      reach.LinkWorkedAt = now;
  }
}

/// While the last probe of a server was under way, a probe of another one was
/// answered, and quickly.
bool Core::linkWorked(BackendIndex i) const {
  const Reachability &reach = Servers.at(i).Probes;
  Time soon = reach.SentAt + reach.Timeout / Options.Probing.RetryTimeoutFactor;
  return reach.LinkWorkedAt >= reach.SentAt && reach.LinkWorkedAt <= soon;
}

/// The server that was asked with the last probe of this one has answered,
/// however late.
bool Core::comparedAnswered(BackendIndex i) const {
  const Reachability &reach = Servers.at(i).Probes;
  BackendIndex other = Servers.find(reach.ComparisonServer);
  return other != NoBackend &&
         Servers.at(other).Probes.AnsweredAt >= reach.SentAt;
}

void Core::learnRoundTrip(const std::string &zone, Duration took) {
  Duration &longest = RoundTrips[zone];
  auto left = std::chrono::duration_cast<Duration>(longest * RoundTripDecay);
  longest = std::max(took, left);
}

Duration Core::roundTrip(const std::string &zone) const {
  auto it = RoundTrips.find(zone);
  return it == RoundTrips.end() ? Duration::zero() : it->second;
}

/// A request for a server that can't be reached: its caller is told at once, if
/// it may ask again. Returns true where that was done.
///
/// A request that must not run twice is passed on: if the belief is wrong it is
/// served, and if not, its caller could not have repeated it anyway.
bool Core::resetUnreachable(const FlowPacket &head, BackendIndex i, Time now,
                            Actions &actions) {
  const Reachability &reach = Servers.at(i).Probes;
  if (reach.Failures == 0)
    return false;
  doubt(i, now, actions);
  const Route *route = Routes.find(head.Route);
  bool request = head.DataBytes != 0 && !head.Finish && !head.Reset;
  if (!request || !route || !route->Idempotent ||
      now >= reach.UnreachableUntil || falseAlarmLately(now))
    return false;
  forget(head.key());
  reset(head, Reason::BackendUnreachable, i, now, actions);
  return true;
}

/// Flows of a server that can't be reached, where their callers gain by it:
///
/// - a request under way that may be repeated: its caller repeats it at once;
/// - no request under way, and the next one must not run twice: sent on this
///   flow it would be lost, since a caller can't know whether it ran. On a new
///   flow it runs elsewhere.
///
/// An idle flow whose requests may be repeated stays: if its next request comes
/// while the server is still unreachable, it is reset then, and its caller has
/// lost a round trip.
void Core::resetHopelessFlowsOf(BackendIndex i, Time now, Actions &actions) {
  auto hopeless = [&](const FlowKey &key, const FlowState &flow) {
    const Route *route = Routes.find(key.Destination);
    if (!route || flow.Opening)
      return false;
    bool repeatable = flow.RequestInProgress && route->Idempotent;
    bool idle = !flow.RequestInProgress && !route->Idempotent;
    return repeatable || (idle && Options.Enabled.IdleResets);
  };
  resetFlows(flowsOf(i, hopeless), Reason::BackendUnreachable, now, actions);
}

Duration Core::requestPatience() const {
  return std::max(Options.Probing.RequestTimeoutMin,
                  RequestWait * Options.Probing.RequestTimeoutFactor);
}

/// Doubts the servers of requests that wait for longer than usual while the
/// server shows no progress with any other.
void Core::checkRequests(Time now, Actions &actions) {
  Duration patience = requestPatience();
  while (!Requests.empty() && now - Requests.front().SentAt >= patience) {
    Request it = Requests.front();
    Requests.pop_front();
    FlowState *flow = flowOf(it.Flow);
    if (!flow || !flow->RequestInProgress || flow->RequestSince != it.SentAt ||
        Servers.at(flow->Backend).LastProgress >= it.SentAt)
      continue;
    const Reachability &reach = Servers.at(flow->Backend).Probes;
    if (reach.Failures == 0 && distrusted(reach, now) && !falseAlarmLately(now))
      resetWaitingAt(flow->Backend, now, actions);
    else
      doubt(flow->Backend, now, actions);
  }
}

} // namespace chicory::token
