// What is done about backend servers that may be unreachable (Reach.h).

#include "chicorybank/token/Core.h"

#include <algorithm>

namespace chicory::token {

namespace {

// A slow link delays a probe as much as it delays openings.
constexpr int HandshakesInTimeout = 4;

} // namespace

/// Something sent to a server has no answer yet. That alone proves nothing.
void Core::doubt(BackendIndex i, Time now, Actions &actions) {
  const Reach &reach = Servers.at(i).Probes;
  bool asked =
      now - std::max(reach.ReachedAt, reach.FailedAt) < Options.Reaching.Every;
  if (!reach.Probing && !asked)
    probe(i, now, actions);
}

void Core::probe(BackendIndex i, Time now, Actions &actions) {
  Backend &backend = Servers.at(i);
  Reach &reach = backend.Probes;
  if (reach.Failed == 0)
    reach.RowBeganAt = now;
  reach.Probing = true;
  reach.SentAt = now;
  ++Stats.Probes;
  Duration timeout =
      std::max(Options.Reaching.Timeout, Handshake * HandshakesInTimeout);
  actions.emplace_back(
      ProbeBackend{.Id = backend.Info.Id,
                   .Where = backend.Info.Where,
                   .Timeout = reach.Failed == 0 ? timeout : timeout * 2});
}

void Core::on(const ProbeEnded &event, Time now, Actions &actions) {
  BackendIndex i = Servers.find(event.Id);
  if (i == NoBackend)
    return;
  Backend &backend = Servers.at(i);
  Reach &reach = backend.Probes;
  reach.Probing = false;
  if (event.Outcome == ProbeOutcome::Reached) {
    reach.Failed = 0;
    reach.ReachedAt = now;
    return;
  }
  // A probe that was under way while this process stood still shows nothing.
  if (event.Outcome == ProbeOutcome::NotTried || reach.SentAt < ResumedAt)
    return;
  ++Stats.ProbesFailed;
  // Its answers go to callers directly, so they may show life all the same.
  if (backend.LastProgress >= reach.RowBeganAt) {
    reach.Failed = 0;
    return;
  }
  ++reach.Failed;
  reach.FailedAt = now;
  suspect(i, now, actions);
  if (reach.Failed < Options.Reaching.Conclusive)
    return probe(i, now, actions);
  decided({.What = "backend_unreachable",
           .Why = Reason::BackendUnreachable,
           .Backend = backend.Info.Id},
          now, actions);
  if (knownUnreachable(backend, now))
    resetRequestsOf(i, now, actions);
}

/// Where nobody answers, the fault is this instance's own link.
bool Core::othersAnswered(BackendIndex i, Time since) const {
  for (BackendIndex other = 0; other < Servers.limit(); ++other) {
    const Backend &it = Servers.at(other);
    if (other != i && it.Info.Id.Value != 0 &&
        std::max(it.LastProgress, it.Probes.ReachedAt) >= since)
      return true;
  }
  return false;
}

bool Core::knownUnreachable(const Backend &backend, Time now) const {
  const Reach &reach = backend.Probes;
  return reach.Failed >= Options.Reaching.Conclusive &&
         now - reach.FailedAt < Options.Reaching.BelieveFor &&
         othersAnswered(Servers.find(backend.Info.Id), reach.RowBeganAt);
}

/// A request for a server that can't be reached: its caller is told at once, if
/// it may ask again. Returns true where that was done.
///
/// A request that must not run twice is passed on: if the belief is wrong it is
/// served, and if not, its caller could not have repeated it anyway.
bool Core::resetUnreachable(const FlowPacket &head, BackendIndex i, Time now,
                            Actions &actions) {
  const Backend &backend = Servers.at(i);
  if (backend.Probes.Failed < Options.Reaching.Conclusive)
    return false;
  doubt(i, now, actions);
  const Route *route = Routes.find(head.Route);
  bool request = head.DataBytes != 0 && !head.Finish && !head.Reset;
  if (!request || !route || !route->Idempotent ||
      !knownUnreachable(backend, now))
    return false;
  forget(head.key());
  reset(head, Reason::BackendUnreachable, i, now, actions);
  return true;
}

/// Requests that are under way at a server that can't be reached.
void Core::resetRequestsOf(BackendIndex i, Time now, Actions &actions) {
  std::vector<FlowKey> waiting;
  for (const auto &[key, flow] : Flows) {
    const Route *route = Routes.find(key.Destination);
    if (flow.Backend == i && flow.Busy && route && route->Idempotent)
      waiting.push_back(key);
  }
  resetFlows(waiting, Reason::BackendUnreachable, now, actions);
}

Duration Core::requestPatience() const {
  return std::max(Options.Reaching.RequestPatience,
                  RequestWait * Options.Reaching.RequestFactor);
}

/// Doubts the servers of requests that wait for longer than usual while the
/// server shows no progress with any other.
void Core::checkRequests(Time now, Actions &actions) {
  Duration patience = requestPatience();
  while (!Requests.empty() && now - Requests.front().SentAt >= patience) {
    Request it = Requests.front();
    Requests.pop_front();
    FlowState *flow = flowOf(it.Flow);
    if (flow && flow->Busy && flow->BusySince == it.SentAt &&
        Servers.at(flow->Backend).LastProgress < it.SentAt)
      doubt(flow->Backend, now, actions);
  }
}

} // namespace chicory::token
