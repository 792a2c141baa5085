// The bounded ring buffers between the daemon's threads.
//
// Each ring has one writer and one reader. If a ring is full, the writer drops
// the item, counts Reason::RingFull and continues; the packet path never
// blocks.

#ifndef CHICORYBANK_LIB_DAEMON_RINGS_H
#define CHICORYBANK_LIB_DAEMON_RINGS_H

#include "chicorybank/core/Core.h"
#include "chicorybank/peer/Messages.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <readerwriterqueue/readerwriterqueue.h>
#include <vector>

namespace chicory {

/// The packets of one read from the socket.
using EventBatch = std::vector<Event>;

/// A task that another thread runs on the core's thread.
using CoreTask = std::function<void(Core &, Time)>;

/// Counters of the worker threads.
struct WorkerCounters {
  std::array<std::atomic<uint64_t>, ReasonCount> Refusals{};
  std::atomic<uint64_t> PacketsReceived = 0;

  void refuse(Reason why) { ++Refusals[static_cast<size_t>(why)]; }
};

/// All rings that the core's thread reads.
struct CoreRings {
  static constexpr size_t PacketBatches = 1024;
  static constexpr size_t Messages = 4096;
  static constexpr size_t Tasks = 64;

  /// From the packet thread. The core's thread blocks on this ring when idle.
  moodycamel::BlockingReaderWriterQueue<EventBatch> Packets{PacketBatches};
  /// From the peers' thread.
  moodycamel::ReaderWriterQueue<Event> Peers{Messages};
  /// From the platform's reader thread and its writer thread.
  moodycamel::ReaderWriterQueue<Event> PlatformReader{Messages};
  moodycamel::ReaderWriterQueue<Event> PlatformWriter{Messages};
  /// From the admin threads and the peers' thread. `TaskLock` makes them a
  /// single writer.
  std::mutex TaskLock;
  moodycamel::ReaderWriterQueue<CoreTask> AdminTasks{Tasks};
};

} // namespace chicory

#endif
