// Handles backend servers that may be unreachable (Reachability.h).

#include "chicorybank/token/Core.h"

#include <algorithm>
#include <utility>

namespace chicory::token {

namespace {

// Timeout of a probe in handshakes: a slow link delays probes as much as
// openings.
constexpr int TimeoutHandshakes = 4;
// Timeout of a probe in round trips to the server's zone, so that it allows for
// the distance.
constexpr int TimeoutRoundTrips = 4;
// Factor on the longest round trip at each shorter one, so that a single slow
// round trip is forgotten after about ten others.
constexpr double RoundTripDecay = 0.8;

} // namespace

/// Returns true if no probe of the server is under way and none has ended
/// within `MinInterval`.
bool Core::mayProbe(const Reachability &reach, Time now) const {
  Time endedAt = std::max(reach.AnsweredAt, reach.FailedAt);
  return !reach.Probing && now - endedAt >= Options.Probing.MinInterval;
}

/// Probes a server because something sent to it has no answer yet. The missing
/// answer alone proves nothing.
void Core::probeIfDue(BackendIndex i, Time now, Actions &actions) {
  if (Options.Enabled.Probes && mayProbe(Servers.at(i).Probes, now))
    startProbe(i, now, actions);
}

/// Probes a server. After a failure, a server that answered recently is probed
/// together with it.
void Core::startProbe(BackendIndex i, Time now, Actions &actions) {
  Reachability &reach = Servers.at(i).Probes;
  if (reach.Failures == 0) {
    reach.SeriesStartedAt = now;
    reach.Inconclusive = 0;
  }
  reach.Timeout =
      std::max({Options.Probing.Timeout, Handshake * TimeoutHandshakes,
                roundTrip(Servers.at(i).Info.Zone) * TimeoutRoundTrips});
  if (reach.Failures != 0) {
    reach.Timeout *= Options.Probing.RetryTimeoutFactor;
    BackendIndex other = lastAnsweringServer(i);
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

/// Returns the server, other than `i`, that showed a sign of life last and has
/// no failed probe. A server that is being probed already can't be used, since
/// the time of its answer would not belong to this probe.
BackendIndex Core::lastAnsweringServer(BackendIndex i) const {
  BackendIndex out = NoBackend;
  Time newest;
  for (BackendIndex other = 0; other < Servers.indexEnd(); ++other) {
    const Backend &it = Servers.at(other);
    Time answered = std::max(it.LastProgress, it.Probes.AnsweredAt);
    bool unsuitable = it.Probes.Failures != 0 || it.Probes.Probing;
    if (other == i || unsuitable || answered <= newest)
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
    onAddressAnswered(i, now, actions);
    reach.AnsweredAt = now;
    recordLinkAnswer(i, now);
    recordRoundTrip(backend.Info.Zone, now - reach.SentAt);
    return;
  }
  // A probe that was under way while this process was suspended proves nothing.
  if (event.Outcome == ProbeOutcome::NotTried || reach.SentAt < ResumedAt)
    return;
  ++Stats.ProbesFailed;
  reach.FailedAt = now;
  if (event.Outcome == ProbeOutcome::Refused && isFinishing(backend))
    return;
  // The server answers callers directly, so it may have shown a sign of life
  // all the same.
  if (backend.LastProgress >= reach.SeriesStartedAt)
    return recordSignOfLife(reach, now);
  onProbeFailed(i, now, actions);
}

/// Returns true if the server is shutting down as planned. It stops listening
/// before it has answered its last requests. Without this check, a planned stop
/// resets flows whose answers are on their way. The end of its registration
/// shows that it has ended.
bool Core::isFinishing(const Backend &backend) {
  return backend.State == BackendState::Draining;
}

/// Handles an answered probe, which shows that a process listens at the
/// server's address. Long after the server was found unreachable, this may be
/// the next owner of the address.
///
/// Without this distinction: if a quarter of a service's servers crash, other
/// servers listen at their addresses two seconds later, while the updates about
/// them are late. Each answered probe looks like a false alarm, so no server is
/// declared unreachable any more, and callers wait until the registrations
/// expire. The symptoms are `backend_unreachable` events that stop two seconds
/// after they began, and answers that take more than a second. On a day on
/// which 30 of 120 servers end like this, the distinction raises the score by
/// 0.005 (three runs each; of 2,242 requests in the two seconds after that, 136
/// were late without it and 110 with it).
void Core::onAddressAnswered(BackendIndex i, Time now, Actions &actions) {
  Reachability &reach = Servers.at(i).Probes;
  bool mayBeNewOwner =
      isDistrusted(reach, now) &&
      now - reach.SeriesStartedAt >= Options.Probing.AddressReusedAfter;
  if (!mayBeNewOwner)
    return recordSignOfLife(reach, now);
  reach.Failures = 0;
  resetWaitingRequestsAt(i, now, actions);
}

bool Core::isDistrusted(const Reachability &reach, Time now) const {
  return reach.FoundUnreachable &&
         now - reach.FailedAt <= Options.Probing.DistrustFor;
}

/// Resets the flows whose requests may be repeated and have waited for longer
/// than usual.
void Core::resetWaitingRequestsAt(BackendIndex i, Time now, Actions &actions) {
  auto waits = [&](const FlowKey &key, const FlowState &flow) {
    const Route *route = Routes.find(key.Destination);
    return flow.RequestInProgress && route && route->Idempotent &&
           now - flow.RequestSince >= requestTimeout();
  };
  resetFlows(flowsOf(i, waits), Reason::BackendUnreachable, now, actions);
}

void Core::recordSignOfLife(Reachability &reach, Time now) {
  if (std::exchange(reach.Failures, 0) != 0)
    FalseAlarmAt = now;
}

void Core::onProbeFailed(BackendIndex i, Time now, Actions &actions) {
  Backend &backend = Servers.at(i);
  Reachability &reach = backend.Probes;
  markSuspect(i, now, actions);
  moveOpenings(i, now, actions);
  // If no server of the zone has answered yet, the round-trip time to the zone
  // is unknown.
  bool roundTripKnown = backend.Info.Zone == Options.Zone ||
                        RoundTrips.contains(backend.Info.Zone);
  if (reach.Failures != 0 && !roundTripKnown)
    return;
  if (reach.Failures != 0 && !linkWorked(i)) {
    if (!comparisonServerAnswered(i))
      repeatProbe(i, now, actions);
    return;
  }
  if (++reach.Failures < Options.Probing.UnreachableAfter)
    return startProbe(i, now, actions);
  if (hadRecentFalseAlarm(now))
    return;
  reach.UnreachableUntil = now + Options.Probing.UnreachableFor;
  reach.FoundUnreachable = true;
  addDecision({.What = "backend_unreachable",
               .Why = Reason::BackendUnreachable,
               .Backend = backend.Info.Id},
              now, actions);
  if (Options.Enabled.SharedDoubts)
    actions.emplace_back(ReportUnreachable{.Id = backend.Info.Id});
  resetFlowsOfUnreachable(i, now, actions);
}

/// Repeats a probe because the comparison server did not answer either. The
/// comparison server may have failed at the same time: if a quarter of hundreds
/// of servers stop answering at once and an instance rarely gets answers from
/// each, the last one to answer has failed in one case out of four. So another
/// comparison server is probed at once; waiting for the next unanswered request
/// would leave callers without a reset for seconds. If the cause is this
/// instance's link, the repeated probes fail too, and their number is limited.
/// A late answer indicates a slow link, and no probe is repeated.
void Core::repeatProbe(BackendIndex i, Time now, Actions &actions) {
  Reachability &reach = Servers.at(i).Probes;
  if (reach.Inconclusive >= Options.Probing.MaxInconclusive)
    return;
  ++reach.Inconclusive;
  startProbe(i, now, actions);
}

/// The report counts as the first failed probe. A server of another zone to
/// which this instance has no flows is not probed.
void Core::on(const BackendReportedUnreachable &event, Time now,
              Actions &actions) {
  BackendIndex i = Servers.find(event.Id);
  if (i == NoBackend)
    return;
  Backend &backend = Servers.at(i);
  Reachability &reach = backend.Probes;
  bool isRelevant = backend.Flows != 0 || backend.Info.Zone == Options.Zone;
  if (!isRelevant || !mayProbe(reach, now))
    return;
  reach.SeriesStartedAt = now;
  reach.Inconclusive = 0;
  reach.Failures = 1;
  startProbe(i, now, actions);
}

/// Records that a probe of another server was answered, which shows that the
/// link works for the probes under way. Only the first such answer counts for
/// each probe.
///
/// If the last answer counted, an instance with flows at a dozen servers that
/// crash together would probe the same server for comparison with each of them,
/// and the answer to a later probe would hide the answer that came in time.
/// Half of all series would end without a result; the symptom is callers who
/// wait a second or two longer.
void Core::recordLinkAnswer(BackendIndex answered, Time now) {
  for (BackendIndex i = 0; i < Servers.indexEnd(); ++i) {
    Reachability &reach = Servers.at(i).Probes;
    bool first = reach.LinkWorkedAt < reach.SentAt;
    if (i != answered && reach.Probing && first)
      reach.LinkWorkedAt = now;
  }
}

/// Returns true if a probe of another server was answered quickly while the
/// last probe of this server was under way.
bool Core::linkWorked(BackendIndex i) const {
  const Reachability &reach = Servers.at(i).Probes;
  Time soon = reach.SentAt + reach.Timeout / Options.Probing.RetryTimeoutFactor;
  return reach.LinkWorkedAt >= reach.SentAt && reach.LinkWorkedAt <= soon;
}

/// Returns true if the comparison server of the last probe has answered,
/// however late.
bool Core::comparisonServerAnswered(BackendIndex i) const {
  const Reachability &reach = Servers.at(i).Probes;
  BackendIndex other = Servers.find(reach.ComparisonServer);
  return other != NoBackend &&
         Servers.at(other).Probes.AnsweredAt >= reach.SentAt;
}

void Core::recordRoundTrip(const std::string &zone, Duration took) {
  Duration &longest = RoundTrips[zone];
  auto left = std::chrono::duration_cast<Duration>(longest * RoundTripDecay);
  longest = std::max(took, left);
}

Duration Core::roundTrip(const std::string &zone) const {
  auto it = RoundTrips.find(zone);
  return it == RoundTrips.end() ? Duration::zero() : it->second;
}

/// Resets the flow of a request for an unreachable server at once if the caller
/// may repeat the request. Returns true if it did.
///
/// A request that must not run twice is forwarded: if the server is reachable
/// after all, the request is served; if not, its caller could not have repeated
/// it anyway.
bool Core::resetIfUnreachable(const FlowPacket &head, BackendIndex i, Time now,
                              Actions &actions) {
  const Reachability &reach = Servers.at(i).Probes;
  if (reach.Failures == 0)
    return false;
  probeIfDue(i, now, actions);
  const Route *route = Routes.find(head.Route);
  bool request = head.DataBytes != 0 && !head.Finish && !head.Reset;
  if (!request || !route || !route->Idempotent ||
      now >= reach.UnreachableUntil || hadRecentFalseAlarm(now))
    return false;
  forget(head.key());
  reset(head, Reason::BackendUnreachable, i, now, actions);
  return true;
}

/// Resets the flows of an unreachable server whose callers gain by it:
///
/// - a request is in progress that may be repeated: its caller repeats it at
///   once;
/// - no request is in progress, and the next one must not run twice: if it were
///   sent on this flow it would be lost, and a caller can't know whether it
///   ran. On a new flow it runs at another server.
///
/// An idle flow whose requests may be repeated stays open: if its next request
/// arrives while the server is still unreachable, the flow is reset then, which
/// costs its caller one round trip.
void Core::resetFlowsOfUnreachable(BackendIndex i, Time now, Actions &actions) {
  auto gainsByReset = [&](const FlowKey &key, const FlowState &flow) {
    const Route *route = Routes.find(key.Destination);
    if (!route || flow.Opening)
      return false;
    bool repeatable = flow.RequestInProgress && route->Idempotent;
    bool idle = !flow.RequestInProgress && !route->Idempotent;
    return repeatable || (idle && Options.Enabled.IdleResets);
  };
  resetFlows(flowsOf(i, gainsByReset), Reason::BackendUnreachable, now,
             actions);
}

Duration Core::requestTimeout() const {
  return std::max(Options.Probing.RequestTimeoutMin,
                  ResponseTime * Options.Probing.RequestTimeoutFactor);
}

/// Probes the servers of requests that have waited for longer than usual,
/// unless the server has answered anything meanwhile. If the server was found
/// unreachable and its address now answers probes (`isDistrusted`), the waiting
/// flows are reset instead.
void Core::checkRequests(Time now, Actions &actions) {
  Duration timeout = requestTimeout();
  while (!Requests.empty() && now - Requests.front().SentAt >= timeout) {
    Request it = Requests.front();
    Requests.pop_front();
    FlowState *flow = flowOf(it.Flow);
    if (!flow || !flow->RequestInProgress || flow->RequestSince != it.SentAt)
      continue;
    Time progress = Servers.at(flow->Backend).LastProgress;
    // On a new flow, the request itself answers the handshake.
    if (progress <= it.SentAt)
      recordStall(*flow, now, actions);
    if (progress >= it.SentAt)
      continue;
    const Reachability &reach = Servers.at(flow->Backend).Probes;
    if (reach.Failures == 0 && isDistrusted(reach, now) &&
        !hadRecentFalseAlarm(now))
      resetWaitingRequestsAt(flow->Backend, now, actions);
    else
      probeIfDue(flow->Backend, now, actions);
  }
}

} // namespace chicory::token
