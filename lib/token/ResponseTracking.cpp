// Judges backend servers by their responses, as far as callers' packets show
// them, and new flows by the room that is left (ServerSelector.h).

#include "chicorybank/token/Core.h"

#include <algorithm>
#include <utility>

namespace chicory::token {

namespace {

// A response on a flow that stays open is complete once the caller has
// acknowledged nothing for this long. Longer than a retransmission.
constexpr Duration ResponseIdleTime = std::chrono::milliseconds(300);
// Bounds the datagrams of one report. If a service has fewer servers than a
// subset, all instances of the zone share them.
constexpr size_t MaxReportReceivers = 16;
// The shares change up to five times a second.
constexpr Duration ShareLogInterval = std::chrono::seconds(1);

} // namespace

/// Follows the request in progress on a flow, if this instance has seen the
/// flow from its opening on. Otherwise it may have missed the first part of a
/// response, which would look too short.
void Core::trackResponse(const FlowPacket &head, FlowState &flow, Time now,
                         Actions &actions) {
  if (!selectsByHealth() || !flow.SeenFromOpening)
    return;
  bool isRepeated =
      flow.RequestInProgress && head.Acknowledged == flow.LastAcknowledged;
  // The next request may be the first packet that acknowledges the response.
  if (head.DataBytes == 0 || !isRepeated)
    flow.Response.onAcknowledged(head.Acknowledged, now);
  if (head.DataBytes == 0 || isRepeated)
    return;
  finishResponse(head.key(), flow, now, actions);
  flow.Response.onRequest(head.Acknowledged, now);
}

void Core::finishResponse(const FlowKey &key, FlowState &flow, Time now,
                          Actions &actions) {
  std::optional<ObservedResponse> response = flow.Response.finish(now);
  if (!response || Servers.at(flow.Backend).Info.Id != flow.Id)
    return;
  JudgedResponse judged = Selector.onResponse(flow.Backend, key.Destination,
                                              *response, Servers, now);
  bool whole = judged.Kind == ResponseKind::Whole;
  ++(whole ? Stats.WholeResponses : Stats.ShortResponses);
  // An overdue response was counted when it became overdue.
  if (!whole || !response->WasOverdue)
    recordOutcome(flow.Backend, whole, judged.Change, now, actions);
}

/// Checks a flow for a response that has ended without a packet that shows so,
/// and for a request that waits for longer than its callers can.
void Core::checkResponse(const FlowKey &key, FlowState &flow, Time now,
                         Actions &actions) {
  if (flow.Response.isAnswered() && !flow.RequestInProgress &&
      now - flow.LastSeen > ResponseIdleTime)
    return finishResponse(key, flow, now, actions);
  const Route *route = Routes.find(key.Destination);
  if (!route || !flow.Response.isWaiting())
    return;
  if (!StopRequested && flow.Response.becameOverdue(route->Objective, now)) {
    ++Stats.OverdueRequests;
    // A stalled request was counted against the server before.
    HealthChange change = HealthChange::None;
    if (!flow.Response.isStalled())
      change = Selector.onOverdue(flow.Backend, Servers, now);
    recordOutcome(flow.Backend, false, change, now, actions);
  }
  if (now - flow.Response.requestedAt() <= route->Timeout)
    return;
  // The caller has given up. Until its flow is forgotten, its request would
  // count as load of the server.
  flow.Response.finish(now);
  if (flow.RequestInProgress)
    endRequest(flow);
}

/// Counts a request that waits for unusually long against its server. A server
/// that resets the flow when the request arrives shows nothing else.
void Core::recordStall(FlowState &flow, Time now, Actions &actions) {
  if (!selectsByHealth() || !flow.Response.markStalled())
    return;
  ++Stats.StalledRequests;
  HealthChange change = Selector.onStall(flow.Backend, Servers, now);
  if (change != HealthChange::None)
    announceHealth(flow.Backend, change, now, actions);
}

void Core::recordOutcome(BackendIndex i, bool good, HealthChange change,
                         Time now, Actions &actions) {
  const Registration &info = Servers.at(i).Info;
  if (Selector.isInUse(i, Servers, now))
    Admission.recordOutcome(info.Service, good, now);
  if (change != HealthChange::None)
    announceHealth(i, change, now, actions);
}

/// Logs a change of a server's health and reports it to the instances that
/// share the server, so that not each of them has to lose requests there.
void Core::announceHealth(BackendIndex i, HealthChange change, Time now,
                          Actions &actions) {
  const Registration &info = Servers.at(i).Info;
  bool ejected = change == HealthChange::Ejected;
  ++(ejected ? Stats.Ejections : Stats.Restores);
  addDecision({.What = ejected ? "backend_ejected" : "backend_restored",
               .Why = ejected ? Reason::BackendFailing : Reason::None,
               .Backend = info.Id},
              now, actions);
  // Reports between zones would cost more than they save, since few flows go to
  // another zone.
  if (!Options.Enabled.HealthReports || info.Zone != Options.Zone)
    return;
  std::vector<InstanceId> receivers = Selector.sharers(i, Servers);
  if (receivers.empty())
    return;
  receivers.resize(std::min(receivers.size(), MaxReportReceivers));
  Stats.HealthReportsSent += receivers.size();
  actions.emplace_back(ReportHealth{.Id = info.Id,
                                    .StartedAtMs = info.StartedAtMs,
                                    .Change = change,
                                    .To = std::move(receivers)});
}

void Core::on(const BackendHealthReported &event, Time now,
              Actions & /*actions*/) {
  BackendIndex i = Servers.find(event.Id);
  bool isKnown = i != NoBackend &&
                 Servers.at(i).Info.StartedAtMs == event.StartedAtMs &&
                 Selector.isListed(event.Sender);
  if (!selectsByHealth() || !Options.Enabled.HealthReports || !isKnown) {
    ++Stats.HealthReportsIgnored;
    return;
  }
  ++Stats.HealthReportsApplied;
  Selector.onReport(i, event.Sender, event.Change, Servers, now);
}

/// Returns false if the flow must be refused because its service has no room
/// for flows of its priority. Only a first opening may be refused: after a
/// copy, the request may run.
bool Core::mayBeAdmitted(const FlowPacket &head, const Route &route,
                         BackendIndex i, Time now) {
  bool controlled = Options.Balancing.PriorityAdmission &&
                    Options.Enabled.PriorityAdmission && selectsByHealth();
  if (!controlled || head.OpenCopy != 0)
    return true;
  return Admission.admit(Servers.at(i).Info.Service, route.Priority,
                         head.Caller.Ip, LastSelection.RoomKnown, now);
}

/// Collects the priorities of the routes that lead to each service.
void Core::updatePriorities(const RouteSet &routes) {
  std::map<ServiceId, std::vector<uint32_t>> former;
  former.swap(Priorities);
  for (const Route &route : routes.Routes)
    for (const WeightedService &it : route.Services)
      Priorities[it.Service].push_back(route.Priority);
  for (const auto &[service, list] : Priorities)
    Admission.setPriorities(service, list);
  for (const auto &[service, list] : former)
    if (!Priorities.contains(service))
      Admission.setPriorities(service, {});
}

/// Logs that the health of servers is ignored, and the admitted shares if they
/// have changed.
void Core::logShortage(Time now, Actions &actions) {
  if (std::exchange(PanicStarted, false))
    addDecision({.What = "evidence_ignored", .Zone = Options.Zone}, now,
                actions);
  if (now - SharesLoggedAt < ShareLogInterval)
    return;
  for (const auto &[service, list] : Priorities)
    for (uint32_t priority : list) {
      double share = Admission.admittedShare(service, priority);
      auto it = LoggedShares.try_emplace({service, priority}, 1).first;
      if (it->second == share)
        continue;
      it->second = share;
      SharesLoggedAt = now;
      addDecision({.What = "service_overloaded",
                   .Why = Reason::ServiceOverloaded,
                   .Admitted = AdmittedShare{.Service = service,
                                             .Priority = priority,
                                             .Share = share}},
                  now, actions);
    }
}

} // namespace chicory::token
