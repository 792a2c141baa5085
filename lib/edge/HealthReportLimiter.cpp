#include "chicorybank/edge/HealthReportLimiter.h"

namespace chicory::edge {

bool HealthReportLimiter::accept(Time now) {
  while (!AcceptedAt.empty() && now - AcceptedAt.front() >= Window)
    AcceptedAt.pop_front();
  if (AcceptedAt.size() >= MaxReports)
    return false;
  AcceptedAt.push_back(now);
  return true;
}

} // namespace chicory::edge
