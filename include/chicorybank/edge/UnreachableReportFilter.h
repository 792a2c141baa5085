// Filters repeated reports of unreachable backend servers.
//
// A report spreads from instance to instance as updates do. Each instance
// forwards it once; reports of the same server soon after come from instances
// that have found it unreachable themselves, and forwarding them would only
// send the same report round again.

#ifndef CHICORYBANK_EDGE_UNREACHABLEREPORTFILTER_H
#define CHICORYBANK_EDGE_UNREACHABLEREPORTFILTER_H

#include "chicorybank/token/Types.h"

#include <map>

namespace chicory::edge {

/// Remembers for some time which reports were forwarded.
class UnreachableReportFilter {
public:
  /// Further reports of a server are dropped for this long after one was
  /// forwarded. Registrations of failed servers end within a few seconds; a
  /// server that is cut off may be reported several times.
  static constexpr Duration DeduplicationWindow = std::chrono::seconds(2);
  /// The most reports that are forwarded within the window, so that a flood of
  /// forged reports does not spread. If more servers fail at once, the other
  /// instances have to detect the rest by themselves.
  static constexpr size_t MaxReports = 256;

  /// Returns whether to forward a report of this server; remembers it if so.
  bool shouldForward(token::BackendId id, Time now);

private:
  std::map<token::BackendId, Time> ForwardedAt;
};

} // namespace chicory::edge

#endif
