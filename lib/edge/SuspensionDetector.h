// Detects that the process or its machine was suspended.

#ifndef CHICORYBANK_LIB_EDGE_SUSPENSIONDETECTOR_H
#define CHICORYBANK_LIB_EDGE_SUSPENSIONDETECTOR_H

#include "chicorybank/base/Types.h"

namespace chicory::edge {

/// Compares the time between two iterations of a loop with the maximum time
/// that a iteration may take. Takes times of the boot clock, which runs during
/// suspensions.
class SuspensionDetector {
public:
  explicit SuspensionDetector(Duration maxIteration)
      : MaxIteration(maxIteration) {}

  void recordIteration(Time now) { LastIteration = now; }
  /// Returns whether more than the maximum has passed since the last iteration.
  /// The process or its machine was suspended then, and data that waits in the
  /// sockets may be stale.
  bool wasSuspended(Time now) const {
    return LastIteration != Time{} && now - LastIteration > MaxIteration;
  }

private:
  Duration MaxIteration;
  Time LastIteration;
};

} // namespace chicory::edge

#endif
