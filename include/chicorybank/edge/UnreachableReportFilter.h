// Which doubts about backend servers were passed on lately.
//
// A doubt goes the way of news, from instance to instance. Each passes it on
// once; what it hears of the same server soon after comes from others that have
// found it themselves, and would only go round again.

#ifndef CHICORYBANK_EDGE_UNREACHABLEREPORTFILTER_H
#define CHICORYBANK_EDGE_UNREACHABLEREPORTFILTER_H

#include "chicorybank/token/Types.h"

#include <map>

namespace chicory::edge {

/// Remembers doubts for a while.
class UnreachableReportFilter {
public:
  /// A server whose doubt was passed on is not told of again for this long.
  /// Registrations of dead servers end within a few seconds; a server that is
  /// cut off may be doubted several times.
  static constexpr Duration DeduplicationWindow = std::chrono::seconds(2);
  /// More doubts than this at a time are kept to oneself: so many servers don't
  /// die at once, and a flood of made-up ones must not be passed on.
  static constexpr size_t MaxReports = 256;

  /// True where this doubt is to be passed on.
  bool shouldForward(token::BackendId id, Time now);

private:
  std::map<token::BackendId, Time> Told;
};

} // namespace chicory::edge

#endif
