// Metrics of an edge instance in the Prometheus text format.

#ifndef CHICORYBANK_LIB_EDGE_METRICS_H
#define CHICORYBANK_LIB_EDGE_METRICS_H

#include "Http.h"
#include "RegistrySync.h"
#include "SharedState.h"

namespace chicory::edge {

/// Renders all metrics.
std::string renderEdgeMetrics(const EdgeStats &edge,
                              const WatcherStats &watcher,
                              const RegistryCallCounts &calls,
                              const PeerMessageStats &peers,
                              const WriteStats &routeHistory);

/// Returns the response to a request for "/metrics".
HttpResponse metricsResponse(SharedState &shared, const RegistrySync &sync);

} // namespace chicory::edge

#endif
