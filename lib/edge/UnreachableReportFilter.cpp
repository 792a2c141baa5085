#include "chicorybank/edge/UnreachableReportFilter.h"

namespace chicory::edge {

bool UnreachableReportFilter::shouldForward(token::BackendId id, Time now) {
  std::erase_if(ForwardedAt, [&](const auto &it) {
    return now - it.second >= DeduplicationWindow;
  });
  if (ForwardedAt.size() >= MaxReports)
    return false;
  return ForwardedAt.try_emplace(id, now).second;
}

} // namespace chicory::edge
