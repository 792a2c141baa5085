// Metrics of an edge instance in Prometheus' text format.

#ifndef CHICORYBANK_LIB_EDGE_METRICS_H
#define CHICORYBANK_LIB_EDGE_METRICS_H

#include "Http.h"
#include "RegistrySync.h"
#include "SharedState.h"

namespace chicory::edge {

/// All figures as text.
std::string renderEdgeMetrics(const EdgeStats &edge, const WatcherStats &news,
                              const RegistryCallCounts &calls,
                              const PeerMessageStats &peers,
                              const WriteStats &recorder);

/// Answers "/metrics".
HttpResponse metricsResponse(SharedState &shared, const RegistrySync &news);

} // namespace chicory::edge

#endif
