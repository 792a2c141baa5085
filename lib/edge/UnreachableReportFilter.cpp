#include "chicorybank/edge/UnreachableReportFilter.h"

namespace chicory::edge {

bool UnreachableReportFilter::shouldForward(token::BackendId id, Time now) {
  std::erase_if(Told, [&](const auto &it) {
    return now - it.second >= DeduplicationWindow;
  });
  if (Told.size() >= MaxReports)
    return false;
  return Told.try_emplace(id, now).second;
}

} // namespace chicory::edge
