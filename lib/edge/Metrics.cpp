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
  scalar(out, "chicory_opened_total", "counter",
         "Flows assigned to a backend server", edge.Core.Opened);
  scalar(out, "chicory_opened_unconfirmed_total", "counter",
         "Flows assigned to a backend server before the registry updates were "
         "first confirmed as current",
         edge.Core.OpenedUnconfirmed);
  scalar(out, "chicory_probes_total", "counter",
         "Connections opened to probe whether a backend server is reachable",
         edge.Core.Probes);
  scalar(out, "chicory_probes_failed_total", "counter",
         "Probes that were refused or timed out", edge.Core.ProbesFailed);
  scalar(out, "chicory_contested_addresses_total", "counter",
         "Backend servers that got no new flows because another registration "
         "of their address is most likely newer",
         edge.Core.ContestedAddresses);
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
         "Openings dropped because they waited while the process was suspended",
         edge.StaleOpenings);
  scalar(out, "chicory_send_failures_total", "counter",
         "Datagrams that the system failed to send", edge.SendFailures);
  scalar(out, "chicory_log_lines_dropped_total", "counter",
         "Log lines lost because the buffer to the logging thread was full",
         edge.LogsDropped);
  registryMetrics(out, watcher, calls);
  routeHistoryMetrics(out, routeHistory);
  peerMetrics(out, watcher, peers);
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
