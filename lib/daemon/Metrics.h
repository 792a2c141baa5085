// Metrics in the Prometheus text format.

#ifndef CHICORYBANK_LIB_DAEMON_METRICS_H
#define CHICORYBANK_LIB_DAEMON_METRICS_H

#include "Admin.h"

#include <string>

namespace chicory {

/// Renders all metrics. Each refusal and retry reason has a counter from the
/// start, so that an alert on its rate works before the reason first occurs.
std::string renderMetrics(const CoreStats &core, const WorkerCounters &counters,
                          const WorkerStats &workers);

} // namespace chicory

#endif
