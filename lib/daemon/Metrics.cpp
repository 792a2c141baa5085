#include "Metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace chicory {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

MetricFamily family(const char *name, const char *help, MetricType type) {
  MetricFamily out;
  out.name = name;
  out.help = help;
  out.type = type;
  return out;
}

ClientMetric counterValue(uint64_t value) {
  ClientMetric out;
  out.counter.value = static_cast<double>(value);
  return out;
}

MetricFamily counter(const char *name, const char *help, uint64_t value) {
  MetricFamily out = family(name, help, MetricType::Counter);
  out.metric.push_back(counterValue(value));
  return out;
}

MetricFamily gauge(const char *name, const char *help, double value) {
  MetricFamily out = family(name, help, MetricType::Gauge);
  ClientMetric metric;
  metric.gauge.value = value;
  out.metric.push_back(metric);
  return out;
}

template <typename Count>
MetricFamily byReason(const char *name, const char *help, Count count) {
  MetricFamily out = family(name, help, MetricType::Counter);
  for (size_t i = 1; i < ReasonCount; ++i) {
    ClientMetric metric = counterValue(count(i));
    metric.label.push_back(
        {"reason", std::string(reasonName(static_cast<Reason>(i)))});
    out.metric.push_back(metric);
  }
  return out;
}

void addCounters(std::vector<MetricFamily> &out, const CoreStats &core,
                 const WorkerCounters &counters, const WorkerStats &workers) {
  out.push_back(byReason(
      "chicory_refusals_total", "Refusals, by reason; see docs/REASONS.md",
      [&](size_t i) { return core.Refusals[i] + counters.Refusals[i]; }));
  out.push_back(byReason("chicory_retries_total", "Retries, by reason",
                         [&](size_t i) { return core.Retries[i]; }));
  out.push_back(counter("chicory_packets_received_total", "Datagrams received",
                        counters.PacketsReceived));
  out.push_back(counter("chicory_packets_to_targets_total",
                        "Packets sent to backend servers",
                        core.PacketsToTargets));
  out.push_back(counter("chicory_packets_to_callers_total",
                        "Packets sent to callers", core.PacketsToCallers));
  out.push_back(counter("chicory_packets_passed_on_total",
                        "Packets sent to other instances",
                        core.PacketsForwarded));
  out.push_back(counter("chicory_flows_opened_total",
                        "New flows assigned to a backend server",
                        core.FlowsOpened));
  out.push_back(counter("chicory_flows_recovered_by_peer_total",
                        "Flow pins recovered from a peer",
                        core.FlowsRecoveredByPeer));
  out.push_back(counter("chicory_flows_recovered_by_target_total",
                        "Flow pins recovered from a target's packet",
                        core.FlowsRecoveredByTarget));
  out.push_back(counter("chicory_recovery_tries_total",
                        "Targets tried for flows without a pin",
                        core.RecoveryTries));
  out.push_back(counter("chicory_requests_accepted_total", "Requests accepted",
                        core.RequestsAccepted));
  out.push_back(counter("chicory_requests_answered_total",
                        "Requests answered in full", core.RequestsAnswered));
  out.push_back(counter("chicory_requests_not_run_total",
                        "Requests reported to callers as \"not run\"",
                        core.RequestsNotRun));
  out.push_back(counter("chicory_requests_unknown_total",
                        "Requests reported to callers as \"outcome unknown\"",
                        core.RequestsUnknown));
  out.push_back(counter("chicory_control_bytes_total",
                        "Bytes of control traffic sent", workers.ControlBytes));
  out.push_back(counter("chicory_store_calls_total", "Calls to the platform",
                        workers.PlatformCalls));
}

void addGauges(std::vector<MetricFamily> &out, const CoreStats &core,
               const WorkerStats &workers) {
  auto number = [](auto value) { return static_cast<double>(value); };
  out.push_back(gauge("chicory_flows", "Flows pinned on this instance",
                      number(core.FlowsNow)));
  out.push_back(gauge("chicory_requests", "Requests without an outcome",
                      number(core.RequestsNow)));
  out.push_back(gauge("chicory_requests_queued", "Requests waiting for a slot",
                      number(core.QueuedNow)));
  out.push_back(gauge("chicory_homes", "Live instances known to this instance",
                      number(core.HomesNow)));
  out.push_back(gauge("chicory_rule_version",
                      "Version of the rule set in force on this instance",
                      number(core.Rules.Value)));
  out.push_back(gauge("chicory_members_version",
                      "Version of the members document",
                      number(core.Members.Value)));
  out.push_back(gauge("chicory_state", "0 joining, 1 live, 2 leaving",
                      number(static_cast<int>(core.State))));
  out.push_back(gauge("chicory_lease",
                      "1 while this instance may run requests once",
                      core.HoldsLease ? 1 : 0));
  out.push_back(gauge("chicory_store_failures_in_row",
                      "Failed calls since the last successful one",
                      number(workers.ConsecutivePlatformFailures)));
  out.push_back(gauge("chicory_store_watching",
                      "1 while this instance watches the platform for its zone",
                      workers.Watching ? 1 : 0));
}

} // namespace

std::string renderMetrics(const CoreStats &core, const WorkerCounters &counters,
                          const WorkerStats &workers) {
  std::vector<MetricFamily> out;
  addCounters(out, core, counters, workers);
  addGauges(out, core, workers);
  return prometheus::TextSerializer().Serialize(out);
}

} // namespace chicory
