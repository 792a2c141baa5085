// The state that the two threads of an edge instance share.
//
// The packet thread decides and forwards; the control thread talks to the
// registry, answers probes and writes the log. Ring buffers connect them; a
// full one never blocks the packet thread.

#ifndef CHICORYBANK_LIB_EDGE_SHAREDSTATE_H
#define CHICORYBANK_LIB_EDGE_SHAREDSTATE_H

#include "EventLoop.h"

#include "chicorybank/edge/RegistryWatcher.h"
#include "chicorybank/token/Core.h"

#include <atomic>
#include <mutex>
#include <readerwriterqueue/readerwriterqueue.h>

namespace chicory::edge {

/// Statistics of the packet thread, which publishes a copy periodically.
struct EdgeStats {
  token::CoreStats Core;
  token::Histogram BatchTime;
  uint64_t BadPackets = 0;
  uint64_t StaleOpenings = 0;
  uint64_t SendFailures = 0;
  uint64_t LogsDropped = 0;
  /// Health reports that were not sent because the ring to the control thread
  /// was full, counted once for each receiver.
  uint64_t HealthReportsDropped = 0;
  uint64_t Flows = 0;
  uint64_t Servers = 0;
  uint64_t Routes = 0;
  uint64_t RuleVersion = 0;
  token::DrainedZones Drained;
  double UpdateAgeSeconds = 0;
};

/// Ring buffers, flags and statistics between the threads.
struct SharedState {
  /// From the control thread: registry updates.
  moodycamel::ReaderWriterQueue<token::Event> Updates{128};
  Wakeup PacketWakeup;
  /// From the packet thread: decisions to log.
  moodycamel::ReaderWriterQueue<token::Decision> Decisions{512};
  /// From the packet thread: unreachable backend servers, to be reported to
  /// other instances.
  moodycamel::ReaderWriterQueue<token::BackendId> UnreachableBackends{64};
  /// From the packet thread: changes of servers' health, to be reported to the
  /// instances that share them.
  moodycamel::ReaderWriterQueue<token::ReportHealth> HealthReports{64};
  Wakeup ControlWakeup;

  /// Routes and backend servers are known, so readiness probes succeed.
  std::atomic<bool> ReadyToServe = false;
  /// From the packet thread: it can't keep up with its packets, so readiness
  /// probes fail (OverloadDetector.h).
  std::atomic<bool> Overloaded = false;
  /// For how long the packet socket was not empty, in milliseconds, when
  /// `Overloaded` last changed.
  std::atomic<int64_t> BacklogMs = 0;
  /// From the control thread: this instance is being stopped and still serves.
  std::atomic<bool> Stopping = false;
  std::atomic<bool> Stopped = false;

  /// Returns the packet thread's statistics as of its last `publish`.
  EdgeStats stats() {
    std::lock_guard lock(StatsLock);
    return Stats;
  }
  void publish(const EdgeStats &stats) {
    std::lock_guard lock(StatsLock);
    Stats = stats;
  }

private:
  std::mutex StatsLock;
  EdgeStats Stats;
};

} // namespace chicory::edge

#endif
