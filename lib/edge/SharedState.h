// What the two threads of an edge instance share.
//
// The packet thread decides and forwards; the control thread talks to the
// registry, answers probes and writes logs. Rings join them: a full one never
// makes the packet thread wait.

#ifndef CHICORYBANK_LIB_EDGE_SHAREDSTATE_H
#define CHICORYBANK_LIB_EDGE_SHAREDSTATE_H

#include "EventLoop.h"

#include "chicorybank/edge/RegistryWatcher.h"
#include "chicorybank/token/Core.h"

#include <atomic>
#include <mutex>
#include <readerwriterqueue/readerwriterqueue.h>

namespace chicory::edge {

/// Figures of the packet thread, copied now and then.
struct EdgeStats {
  token::CoreStats Core;
  token::Histogram BatchTime;
  uint64_t BadPackets = 0;
  uint64_t StaleOpenings = 0;
  uint64_t SendFailures = 0;
  uint64_t LogsDropped = 0;
  uint64_t Flows = 0;
  uint64_t Servers = 0;
  uint64_t Routes = 0;
  uint64_t RuleVersion = 0;
  token::DrainedZones Drained;
  double UpdateAgeSeconds = 0;
};

/// Rings, flags and figures between the threads.
struct SharedState {
  /// From the control thread: what the registry says.
  moodycamel::ReaderWriterQueue<token::Event> Updates{128};
  Wakeup PacketWakeup;
  /// From the packet thread: decisions to be logged.
  moodycamel::ReaderWriterQueue<token::Decision> Decisions{512};
  /// From the packet thread: servers that can't be reached, for the others.
  moodycamel::ReaderWriterQueue<token::BackendId> UnreachableBackends{64};
  Wakeup ControlWakeup;

  /// Routes and backend servers are known.
  std::atomic<bool> ReadyToServe = false;
  std::atomic<bool> Stopped = false;

  /// The packet thread's figures, as of its last `publish`.
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
