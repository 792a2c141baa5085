// When this instance writes something that any instance could write.
//
// One of them writes, without a leader. What is missing in the registry has to
// be missing for a while, for longer the further back an instance stands in
// line, and by then whoever stands before it has written. Two that write at
// once can't undo each other: a write holds only where the registry is as its
// writer read it. One that was refused is not repeated until the copy here has
// what the other has written: it would be refused again. Where news is late,
// hundreds would write every two seconds; one sees `status=412` in rows.

#ifndef CHICORYBANK_EDGE_STAGGEREDWRITE_H
#define CHICORYBANK_EDGE_STAGGEREDWRITE_H

#include "chicorybank/edge/RegistryWatcher.h"

namespace chicory::edge {

/// Times of a turn.
struct StaggeredWriteTimes {
  /// How long something may be missing before the first in line writes.
  /// Changes come in bursts of some a second, and a write for each is wasted.
  Duration SettleTime = std::chrono::seconds(1);
  /// Of its patience with news, an instance further back waits so much longer.
  int StalenessLimitFactor = 2;
  /// A write that failed is tried again after this time, and one that was
  /// refused when the copy has moved on.
  Duration RetryAfter = std::chrono::seconds(2);
};

/// Counters of writes.
struct WriteStats {
  uint64_t Written = 0;
  /// Another instance had written first.
  uint64_t Refused = 0;
  uint64_t Failed = 0;
};

/// The state machine; it does no I/O. One write is under way at a time.
class StaggeredWrite {
public:
  explicit StaggeredWrite(StaggeredWriteTimes times = {}) : Times(times) {}

  /// Whether something is missing now, and where what is stored was written.
  void learn(bool missing, Position storedAsOf, Time now);
  /// When this instance may write; far away while nothing is missing.
  Time dueAt(Duration stalenessLimit) const;
  /// The write was sent.
  void begin() {
    Waiting = true;
    SentAsOf = StoredAsOf;
  }
  void answered(const RegistryAnswer &answer, Time now);
  /// From now on the first in line waits for this long.
  void setSettleTime(Duration time) { Times.SettleTime = time; }

  const WriteStats &stats() const { return Stats; }

private:
  StaggeredWriteTimes Times;
  bool Missing = false;
  bool Waiting = false;
  /// The last write was refused, and the copy is as it was then.
  bool Overtaken = false;
  Position StoredAsOf;
  /// `StoredAsOf` at the last write.
  Position SentAsOf;
  /// Since when something has been missing, or since the last write by anyone.
  Time MissingSince;
  Time NotBefore;
  WriteStats Stats;
};

} // namespace chicory::edge

#endif
