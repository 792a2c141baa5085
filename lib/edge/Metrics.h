// Metrics of an edge instance in Prometheus' text format.

#ifndef CHICORYBANK_LIB_EDGE_METRICS_H
#define CHICORYBANK_LIB_EDGE_METRICS_H

#include "Http.h"
#include "NewsDuty.h"
#include "Shared.h"

namespace chicory::edge {

/// All figures as text.
std::string renderEdgeMetrics(const EdgeStats &edge, const WatcherStats &news,
                              const RegistryCounts &calls,
                              const PeerStats &peers,
                              const WriteStats &recorder);

/// Answers "/metrics".
HttpAnswer answerMetrics(Shared &shared, const NewsDuty &news);

} // namespace chicory::edge

#endif
