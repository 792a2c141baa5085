// The bounded rings between the daemon's threads.
//
// Each ring has one writer and one reader. A full ring refuses: the writer
// counts Reason::RingFull and goes on; the packet path never waits.

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

/// Packets of one read from the socket.
using EventBatch = std::vector<Event>;

/// Something that another thread wants done on the core's thread.
using CoreTask = std::function<void(Core &, Time)>;

/// Counters of the threads around the core.
struct WorkerCounters {
  std::array<std::atomic<uint64_t>, ReasonCount> Refusals{};
  std::atomic<uint64_t> PacketsReceived = 0;

  void refuse(Reason why) { ++Refusals[static_cast<size_t>(why)]; }
};

/// All rings that lead into the core's thread.
struct CoreRings {
  static constexpr size_t PacketBatches = 1024;
  static constexpr size_t Messages = 4096;
  static constexpr size_t Tasks = 64;

  /// From the packet thread. The core's thread sleeps on this one.
  moodycamel::BlockingReaderWriterQueue<EventBatch> Packets{PacketBatches};
  /// From the peers' thread.
  moodycamel::ReaderWriterQueue<Event> Peers{Messages};
  /// From the platform's watching and its calling thread.
  moodycamel::ReaderWriterQueue<Event> PlatformReader{Messages};
  moodycamel::ReaderWriterQueue<Event> PlatformWriter{Messages};
  /// From the admin threads, which take turns by the lock.
  std::mutex TaskLock;
  moodycamel::ReaderWriterQueue<CoreTask> AdminTasks{Tasks};
};

} // namespace chicory

#endif
