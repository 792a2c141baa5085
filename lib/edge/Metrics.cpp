#include "Metrics.h"

#include <sstream>

namespace chicory::edge {

namespace {

void head(std::ostringstream &out, const char *name, const char *type,
          const char *help) {
  out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << ' ' << type
      << '\n';
}

template <typename T>
void single(std::ostringstream &out, const char *name, const char *type,
            const char *help, T value) {
  head(out, name, type, help);
  out << name << ' ' << value << '\n';
}

void byReason(std::ostringstream &out, const char *name, const char *help,
              const std::array<uint64_t, ReasonCount> &counts) {
  head(out, name, "counter", help);
  for (size_t n = 1; n < ReasonCount; ++n)
    out << name << "{reason=\"" << reasonName(static_cast<Reason>(n)) << "\"} "
        << counts[n] << '\n';
}

void histogram(std::ostringstream &out, const char *name, const char *help,
               const token::Histogram &values) {
  using Seconds = std::chrono::duration<double>;
  head(out, name, "histogram", help);
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
  head(out, name, "counter", help);
  for (size_t n = 0; n < CallKindCount; ++n)
    out << name << "{kind=\"" << callKindName(static_cast<CallKind>(n))
        << "\"} " << counts[n] << '\n';
}

void registryFigures(std::ostringstream &out, const WatcherStats &news,
                     const RegistryCallCounts &calls) {
  byKind(out, "chicory_registry_calls_total", "Registry calls, by kind",
         calls.Sent);
  byKind(out, "chicory_registry_refused_total",
         "Registry calls refused with 429 or 503, by kind", calls.Refused);
  single(out, "chicory_registry_failures_total", "counter",
         "Registry calls without a good answer", news.Failures);
  single(out, "chicory_bad_registry_answers_total", "counter",
         "Answers that can't be read", news.BadAnswers);
  single(out, "chicory_registry_generations_total", "counter",
         "Restores of the registry that were noticed", news.Generations);
  single(out, "chicory_registry_items_lost_total", "counter",
         "Items that a restore lost and nobody wrote again",
         news.RetainedExpired);
  single(out, "chicory_news_pushes_other_generation_total", "counter",
         "Pushes of another generation than this instance's copy",
         news.OtherGenerations);
  single(out, "chicory_registry_revisions_behind_total", "counter",
         "Answers with a revision below that of this instance's copy",
         news.RevisionsBehind);
  single(out, "chicory_bad_registry_items_total", "counter",
         "Items that can't be read", news.BadItems);
}

void recordFigures(std::ostringstream &out, const WriteStats &recorder) {
  single(out, "chicory_route_record_writes_total", "counter",
         "Writes of the record of routes that held", recorder.Written);
  single(out, "chicory_route_record_refused_total", "counter",
         "Writes of the record of routes after another instance's",
         recorder.Refused);
  single(out, "chicory_route_record_failures_total", "counter",
         "Writes of the record of routes without a good answer",
         recorder.Failed);
}

void peerFigures(std::ostringstream &out, const WatcherStats &news,
                 const PeerMessageStats &peers) {
  single(out, "chicory_news_pushes_total", "counter",
         "Pushes of news from other instances", news.Pushes);
  single(out, "chicory_news_pulls_total", "counter",
         "News read from other instances", news.Pulls);
  single(out, "chicory_news_whole_pulls_total", "counter",
         "Of those, the ones that read everything", news.WholePulls);
  single(out, "chicory_peer_messages_total", "counter",
         "Messages sent to other instances", peers.Messages);
  single(out, "chicory_peer_bytes_total", "counter",
         "Bytes of messages sent to other instances", peers.Bytes);
  single(out, "chicory_bad_peer_messages_total", "counter",
         "Messages from instances that can't be read", peers.Malformed);
  single(out, "chicory_doubts_heard_total", "counter",
         "Messages of instances that can't reach a backend server",
         peers.UnreachableReports);
}

} // namespace

std::string renderEdgeMetrics(const EdgeStats &edge, const WatcherStats &news,
                              const RegistryCallCounts &calls,
                              const PeerMessageStats &peers,
                              const WriteStats &recorder) {
  std::ostringstream out;
  byReason(out, "chicory_drops_total", "Packets dropped, by reason",
           edge.Core.Drops);
  byReason(out, "chicory_resets_total", "Flows reset, by reason",
           edge.Core.Resets);
  byReason(out, "chicory_retries_total", "Openings sent again, by reason",
           edge.Core.Retries);
  single(out, "chicory_packets_total", "counter", "Packets of callers",
         edge.Core.Packets);
  single(out, "chicory_forwarded_total", "counter",
         "Packets sent to backend servers", edge.Core.Forwarded);
  single(out, "chicory_opened_total", "counter", "Flows placed",
         edge.Core.Opened);
  single(out, "chicory_probes_total", "counter",
         "Connections opened to see whether a backend server can be reached",
         edge.Core.Probes);
  single(out, "chicory_probes_failed_total", "counter",
         "Probes that were refused or not answered in time",
         edge.Core.ProbesFailed);
  histogram(out, "chicory_handshake_seconds",
            "From an opening sent to the caller's next packet",
            edge.Core.HandshakeTime);
  histogram(out, "chicory_request_seconds",
            "From a request's data to the first sign of its answer",
            edge.Core.RequestTime);
  histogram(out, "chicory_routes_age_seconds",
            "Age of a version when it came into force here",
            edge.Core.RoutesAge);
  histogram(out, "chicory_batch_seconds",
            "Time for one batch of packets, from reading to sending",
            edge.BatchTime);
  single(out, "chicory_bad_packets_total", "counter",
         "Datagrams that can't be read", edge.BadPackets);
  single(out, "chicory_old_openings_total", "counter",
         "Openings dropped because they waited while the process stood still",
         edge.StaleOpenings);
  single(out, "chicory_send_failures_total", "counter",
         "Datagrams that the system refused", edge.SendFailures);
  single(out, "chicory_log_lines_dropped_total", "counter",
         "Decisions lost before the log", edge.LogsDropped);
  registryFigures(out, news, calls);
  recordFigures(out, recorder);
  peerFigures(out, news, peers);
  single(out, "chicory_flows", "gauge", "Flows followed", edge.Flows);
  single(out, "chicory_servers", "gauge", "Backend servers that live",
         edge.Servers);
  single(out, "chicory_routes", "gauge", "Routes in force", edge.Routes);
  single(out, "chicory_rule_version", "gauge", "Version in force",
         edge.RuleVersion);
  head(out, "chicory_zone_drained_seconds", "gauge",
       "Since a zone's servers get no new flows from here");
  for (const auto &[zone, since] : edge.Drained)
    out << "chicory_zone_drained_seconds{zone=\"" << zone << "\"} "
        << std::chrono::duration<double>(steadyNow() - since).count() << '\n';
  single(out, "chicory_news_age_seconds", "gauge",
         "Since the news was last shown to be current", edge.UpdateAgeSeconds);
  return out.str();
}

HttpResponse metricsResponse(SharedState &shared, const RegistrySync &news) {
  return {.Status = HttpOk,
          .Body =
              renderEdgeMetrics(shared.stats(), news.stats(), news.callCounts(),
                                news.peerStats(), news.routeHistoryStats()),
          .ContentType = "text/plain; version=0.0.4"};
}

} // namespace chicory::edge
