// Notices that a thread which turns regularly has stood still.

#ifndef CHICORYBANK_LIB_EDGE_SUSPENSIONDETECTOR_H
#define CHICORYBANK_LIB_EDGE_SUSPENSIONDETECTOR_H

#include "chicorybank/base/Types.h"

namespace chicory::edge {

/// Compares the time between two turns of a loop with the longest that the loop
/// ever waits. Times are of the boot clock, which counts suspensions.
class SuspensionDetector {
public:
  explicit SuspensionDetector(Duration longestTurn)
      : LongestTurn(longestTurn) {}

  void recordTurn(Time now) { LastTurn = now; }
  /// The thread has not turned for longer than it ever waits: it was stopped,
  /// or its machine was, and what it finds in its sockets may be old.
  bool wasSuspended(Time now) const {
    return LastTurn != Time{} && now - LastTurn > LongestTurn;
  }

private:
  Duration LongestTurn;
  Time LastTurn;
};

} // namespace chicory::edge

#endif
