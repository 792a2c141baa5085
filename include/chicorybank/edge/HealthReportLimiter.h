// Limits the health reports of other instances.

#ifndef CHICORYBANK_EDGE_HEALTHREPORTLIMITER_H
#define CHICORYBANK_EDGE_HEALTHREPORTLIMITER_H

#include "chicorybank/base/Types.h"

#include <deque>

namespace chicory::edge {

/// Bounds the number of accepted reports in any period of `Window`, so that a
/// flood of forged reports does not occupy the packet thread.
///
/// Unlike `UnreachableReportFilter`, it counts every report: those of several
/// senders about one server are separate evidence.
class HealthReportLimiter {
public:
  static constexpr Duration Window = std::chrono::seconds(2);
  /// A server that fails costs 4 reports at each instance that shares it, so
  /// this is room for 64 servers that fail within the window.
  static constexpr size_t MaxReports = 256;

  /// Returns whether to accept a report that arrives now.
  bool accept(Time now);

private:
  std::deque<Time> AcceptedAt;
};

} // namespace chicory::edge

#endif
