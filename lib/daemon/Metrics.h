// Metrics in the text form of Prometheus.

#ifndef CHICORYBANK_LIB_DAEMON_METRICS_H
#define CHICORYBANK_LIB_DAEMON_METRICS_H

#include "Admin.h"

#include <string>

namespace chicory {

/// All metrics. Each refusal and retry reason has a counter from the start,
/// so that an alert on its rate works before it first occurs.
std::string renderMetrics(const CoreStats &core, const WorkerCounters &shell,
                          const WorkerStats &figures);

} // namespace chicory

#endif
