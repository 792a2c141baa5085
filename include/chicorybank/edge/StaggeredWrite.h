// Schedules a write to the registry that any instance could make.
//
// One instance writes, without a leader. Data has to be missing from the
// registry for some time before an instance writes it. This delay grows with
// the rank of the instance (`PropagationTree.h`), so that an instance before it
// has written by then. Two instances that write at once can't undo each other:
// a write succeeds only if the registry is as its writer read it. A refused
// write is not repeated until the local cache has what the other instance has
// written, since it would be refused again. Without this, hundreds of instances
// write every two seconds while updates are late, and `status=412` repeats in
// the logs.

#ifndef CHICORYBANK_EDGE_STAGGEREDWRITE_H
#define CHICORYBANK_EDGE_STAGGEREDWRITE_H

#include "chicorybank/edge/RegistryWatcher.h"

namespace chicory::edge {

struct StaggeredWriteTimes {
  /// The part of the delay that all instances have in common. Changes come in
  /// bursts of several a second, and a write for each would be wasted.
  Duration SettleTime = std::chrono::seconds(1);
  /// Each instance waits in addition for its staleness limit times this factor.
  int StalenessLimitFactor = 2;
  /// The minimum time between the answer to a write and the next write.
  Duration RetryAfter = std::chrono::seconds(2);
};

struct WriteStats {
  uint64_t Written = 0;
  /// Another instance had written before.
  uint64_t Refused = 0;
  uint64_t Failed = 0;
};

/// State machine without I/O. At most one write is in progress.
class StaggeredWrite {
public:
  explicit StaggeredWrite(StaggeredWriteTimes times = {}) : Times(times) {}

  /// Takes whether data is missing now, and the position at which the stored
  /// data was written.
  void learn(bool missing, Position storedAt, Time now);
  /// Returns when this instance may write; `Time::max()` while no write is due.
  Time dueAt(Duration stalenessLimit) const;
  /// Notes that the write was sent.
  void begin() {
    CallInFlight = true;
    StoredAtSend = StoredAt;
  }
  void answered(const RegistryAnswer &answer, Time now);
  /// Sets the part of the delay that all instances have in common.
  void setSettleTime(Duration time) { Times.SettleTime = time; }

  const WriteStats &stats() const { return Stats; }

private:
  StaggeredWriteTimes Times;
  bool Missing = false;
  bool CallInFlight = false;
  /// The last write was refused, and the cache has not changed since.
  bool RefusedAsStale = false;
  Position StoredAt;
  /// `StoredAt` when the last write was sent.
  Position StoredAtSend;
  /// When data was first missing, or when any instance last wrote, if later.
  Time MissingSince;
  Time NotBefore;
  WriteStats Stats;
};

} // namespace chicory::edge

#endif
