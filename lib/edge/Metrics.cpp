#include "Metrics.h"

#include <sstream>

namespace chicory::edge {

namespace {

void header(std::ostringstream &out, const char *name, const char *type,
            const char *help) {
  out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << ' ' << type
      << '\n';
}

template <typename T>
void scalar(std::ostringstream &out, const char *name, const char *type,
            const char *help, T value) {
  header(out, name, type, help);
  out << name << ' ' << value << '\n';
}

void byReason(std::ostringstream &out, const char *name, const char *help,
              const std::array<uint64_t, ReasonCount> &counts) {
  header(out, name, "counter", help);
  for (size_t n = 1; n < ReasonCount; ++n)
    out << name << "{reason=\"" << reasonName(static_cast<Reason>(n)) << "\"} "
        << counts[n] << '\n';
}

void histogram(std::ostringstream &out, const char *name, const char *help,
               const token::Histogram &values) {
  using Seconds = std::chrono::duration<double>;
  header(out, name, "histogram", help);
  uint64_t below = 0;
  for (size_t n = 0; n < token::Histogram::Bounds.size(); ++n) {
    below += values.count(n);
    out << name << "_bucket{le=\""
        << Seconds(token::Histogram::Bounds[n]).count() << "\"} " << below
        << '\n';
  }
  below += values.count(token::Histogram::Bounds.size());
  out << name << "_bucket{le=\"+Inf\"} " << below << '\n'
      << name << "_sum " << Seconds(values.sum()).count() << '\n'
      << name << "_count " << below << '\n';
}

void byKind(std::ostringstream &out, const char *name, const char *help,
            const std::array<uint64_t, CallKindCount> &counts) {
  header(out, name, "counter", help);
  for (size_t n = 0; n < CallKindCount; ++n)
    out << name << "{kind=\"" << callKindName(static_cast<CallKind>(n))
        << "\"} " << counts[n] << '\n';
}

void registryMetrics(std::ostringstream &out, const WatcherStats &watcher,
                     const RegistryCallCounts &calls) {
  byKind(out, "chicory_registry_calls_total", "Registry calls, by kind",
         calls.Sent);
  byKind(out, "chicory_registry_refused_total",
         "Registry calls refused with 429 or 503, by kind", calls.Refused);
  scalar(out, "chicory_registry_failures_total", "counter",
         "Registry calls without a valid response", watcher.Failures);
  scalar(out, "chicory_bad_registry_answers_total", "counter",
         "Registry responses that can't be parsed", watcher.BadAnswers);
  scalar(out, "chicory_registry_generations_total", "counter",
         "Detected restores of the registry", watcher.Restores);
  scalar(out, "chicory_registry_items_lost_total", "counter",
         "Items lost in a restore of the registry and not written again",
         watcher.RetainedExpired);
  scalar(
      out, "chicory_news_pushes_other_generation_total", "counter",
      "Pushes of another generation of the registry, before or after a restore",
      watcher.OtherGenerations);
  scalar(
      out, "chicory_registry_revisions_behind_total", "counter",
      "Registry responses with a revision below that of this instance's copy",
      watcher.RevisionsBehind);
  scalar(out, "chicory_bad_registry_items_total", "counter",
         "Registry items that can't be parsed", watcher.BadItems);
}

void routeHistoryMetrics(std::ostringstream &out,
                         const WriteStats &routeHistory) {
  scalar(out, "chicory_route_record_writes_total", "counter",
         "Successful writes of the route history", routeHistory.Written);
  scalar(out, "chicory_route_record_refused_total", "counter",
         "Writes of the route history refused after another instance's write",
         routeHistory.Refused);
  scalar(out, "chicory_route_record_failures_total", "counter",
         "Writes of the route history without a valid response",
         routeHistory.Failed);
}

void peerMetrics(std::ostringstream &out, const WatcherStats &watcher,
                 const PeerMessageStats &peers) {
  scalar(out, "chicory_news_pushes_total", "counter",
         "Registry updates pushed by other instances", watcher.Pushes);
  scalar(out, "chicory_news_pulls_total", "counter",
         "Pages of registry updates pulled from other instances",
         watcher.Pulls);
  scalar(out, "chicory_news_whole_pulls_total", "counter",
         "Full copies of the registry's items read from other instances",
         watcher.WholePulls);
  scalar(out, "chicory_peer_messages_total", "counter",
         "Datagrams sent to other instances, including failed attempts",
         peers.Messages);
  scalar(out, "chicory_peer_bytes_total", "counter",
         "Bytes of datagrams sent to other instances", peers.Bytes);
  scalar(out, "chicory_bad_peer_messages_total", "counter",
         "Datagrams from other instances that can't be parsed",
         peers.Malformed);
  scalar(out, "chicory_doubts_heard_total", "counter",
         "Reports from other instances of an unreachable backend server",
         peers.UnreachableReports);
}

/// Counters with the same name and different values of one label.
using LabelledCounts = std::initializer_list<std::pair<const char *, uint64_t>>;

void byLabel(std::ostringstream &out, const char *name, const char *help,
             const char *label, LabelledCounts counts) {
  header(out, name, "counter", help);
  for (const auto &[value, count] : counts)
    out << name << '{' << label << "=\"" << value << "\"} " << count << '\n';
}

void healthMetrics(std::ostringstream &out, const EdgeStats &edge,
                   const PeerMessageStats &peers) {
  const token::CoreStats &core = edge.Core;
  byLabel(out, "chicory_responses_total",
          "Responses and requests without one, as far as they were judged by "
          "callers' packets, by kind",
          "kind",
          {{"whole", core.WholeResponses},
           {"short", core.ShortResponses},
           {"stalled", core.StalledRequests},
           {"overdue", core.OverdueRequests}});
  scalar(out, "chicory_ejections_total", "counter",
         "Backend servers that got no new flows because they failed requests",
         core.Ejections);
  scalar(out, "chicory_restores_total", "counter",
         "Ejected backend servers that got new flows again", core.Restores);
  byLabel(out, "chicory_server_choices_total",
          "New flows, by where their backend server was found", "from",
          {{"subset", core.SubsetChoices},
           {"other_zone", core.OtherZoneChoices},
           {"scan", core.FullScans}});
  scalar(out, "chicory_panic_choices_total", "counter",
         "New flows whose choice ignored the health of backend servers, since "
         "most of them looked unhealthy",
         core.PanicChoices);
  scalar(out, "chicory_health_reports_decided_total", "counter",
         "Reports of a backend server's health to other instances that were "
         "decided on, counted once for each receiver",
         core.HealthReportsSent);
  scalar(out, "chicory_health_reports_sent_total", "counter",
         "Datagrams with a report of a backend server's health, including "
         "failed attempts",
         peers.HealthReportsSent);
  scalar(out, "chicory_health_reports_received_total", "counter",
         "Valid reports from other instances of a backend server's health",
         peers.HealthReportsReceived);
  scalar(out, "chicory_health_reports_applied_total", "counter",
         "Received reports of a backend server's health that were applied",
         core.HealthReportsApplied);
  byLabel(out, "chicory_health_reports_dropped_total",
          "Reports of a backend server's health that were not sent "
          "(queue_full) or not applied (over_limit; not_applicable: unknown "
          "server, start or sender, or switched off), by reason",
          "reason",
          {{"queue_full", edge.HealthReportsDropped},
           {"over_limit", peers.HealthReportsOverLimit},
           {"not_applicable", core.HealthReportsIgnored}});
}

void openingMetrics(std::ostringstream &out, const token::CoreStats &core) {
  scalar(out, "chicory_opened_total", "counter",
         "Flows assigned to a backend server", core.Opened);
  scalar(out, "chicory_second_server_tokens_total", "counter",
         "Packets of open flows with the token of another server, which stayed "
         "at the flow's server",
         core.SecondServerTokens);
  scalar(out, "chicory_opened_unconfirmed_total", "counter",
         "Flows assigned to a backend server before the registry updates were "
         "first confirmed as current",
         core.OpenedUnconfirmed);
}

} // namespace

std::string renderEdgeMetrics(const EdgeStats &edge,
                              const WatcherStats &watcher,
                              const RegistryCallCounts &calls,
                              const PeerMessageStats &peers,
                              const WriteStats &routeHistory) {
  std::ostringstream out;
  byReason(out, "chicory_drops_total", "Packets dropped, by reason",
           edge.Core.Drops);
  byReason(out, "chicory_resets_total", "Flows reset, by reason",
           edge.Core.Resets);
  byReason(out, "chicory_retries_total",
           "First packets of flows sent to another backend server, by reason",
           edge.Core.Retries);
  scalar(out, "chicory_packets_total", "counter", "Packets from callers",
         edge.Core.Packets);
  scalar(out, "chicory_forwarded_total", "counter",
         "Packets sent to backend servers", edge.Core.Forwarded);
  openingMetrics(out, edge.Core);
  scalar(out, "chicory_probes_total", "counter",
         "Connections opened to probe whether a backend server is reachable",
         edge.Core.Probes);
  scalar(out, "chicory_probes_failed_total", "counter",
         "Probes that were refused or timed out", edge.Core.ProbesFailed);
  scalar(out, "chicory_contested_addresses_total", "counter",
         "Backend servers that got no new flows because another one is "
         "registered at their address and is its likely owner",
         edge.Core.ContestedAddresses);
  scalar(out, "chicory_replaced_servers_total", "counter",
         "Backend servers that were found to have ended because another one "
         "answered at their address",
         edge.Core.ReplacedServers);
  scalar(out, "chicory_held_registrations_total", "counter",
         "Registrations that were held back because they may be late writes",
         edge.Core.HeldRegistrations);
  histogram(out, "chicory_handshake_seconds",
            "Time from forwarding an opening to the caller's next packet",
            edge.Core.HandshakeTime);
  histogram(out, "chicory_request_seconds",
            "Time from a request's data to the first sign of its response",
            edge.Core.RequestTime);
  histogram(
      out, "chicory_routes_age_seconds",
      "Age of a configuration version when it came into force on this instance",
      edge.Core.RoutesAge);
  histogram(out, "chicory_batch_seconds",
            "Time to process one batch of packets, from reading to sending",
            edge.BatchTime);
  scalar(out, "chicory_bad_packets_total", "counter",
         "Datagrams from callers that can't be parsed", edge.BadPackets);
  scalar(out, "chicory_old_openings_total", "counter",
         "Openings dropped because they had waited until the next copy, or "
         "while the process was suspended",
         edge.StaleOpenings);
  scalar(out, "chicory_send_failures_total", "counter",
         "Datagrams that the system failed to send", edge.SendFailures);
  scalar(out, "chicory_log_lines_dropped_total", "counter",
         "Log lines lost because the buffer to the logging thread was full",
         edge.LogsDropped);
  registryMetrics(out, watcher, calls);
  routeHistoryMetrics(out, routeHistory);
  peerMetrics(out, watcher, peers);
  healthMetrics(out, edge, peers);
  scalar(out, "chicory_flows", "gauge", "Tracked flows", edge.Flows);
  scalar(out, "chicory_servers", "gauge", "Running backend servers",
         edge.Servers);
  scalar(out, "chicory_routes", "gauge", "Routes in force", edge.Routes);
  scalar(out, "chicory_rule_version", "gauge", "Configuration version in force",
         edge.RuleVersion);
  header(out, "chicory_zone_drained_seconds", "gauge",
         "Time since a zone's servers stopped receiving new flows");
  for (const auto &[zone, since] : edge.Drained)
    out << "chicory_zone_drained_seconds{zone=\"" << zone << "\"} "
        << std::chrono::duration<double>(steadyNow() - since).count() << '\n';
  scalar(out, "chicory_news_age_seconds", "gauge",
         "Age of the registry updates: time since they were last confirmed "
         "current",
         edge.UpdateAgeSeconds);
  return out.str();
}

HttpResponse metricsResponse(SharedState &shared, const RegistrySync &sync) {
  return {.Status = HttpOk,
          .Body =
              renderEdgeMetrics(shared.stats(), sync.stats(), sync.callCounts(),
                                sync.peerStats(), sync.routeHistoryStats()),
          .ContentType = "text/plain; version=0.0.4"};
}

} // namespace chicory::edge
