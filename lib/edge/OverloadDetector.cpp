#include "chicorybank/edge/OverloadDetector.h"

#include <algorithm>

namespace chicory::edge {

void OverloadDetector::recordRead(bool drained, Time now) {
  if (!BacklogSince && !drained)
    BacklogSince = now;
  if (!BacklogSince)
    return;
  Duration backlog = now - *BacklogSince;
  bool mayBegin = !BeganAt || now >= EndsAt + Options.MinBetween;
  if (!drained && backlog >= Options.MaxBacklog && mayBegin) {
    BeganAt = now;
    EndsAt = now + Options.MaxOverload;
    LongestBacklog = backlog;
  }
  if (isOverloaded(now))
    LongestBacklog = std::max(LongestBacklog, backlog);
  if (!drained)
    return;
  BacklogSince.reset();
  if (isOverloaded(now) && now - *BeganAt < Options.ConfirmAfter)
    EndsAt = now;
}

bool OverloadDetector::isOverloaded(Time now) const {
  return BeganAt && now < EndsAt;
}

} // namespace chicory::edge
