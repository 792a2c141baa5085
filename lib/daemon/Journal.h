// The event log of an instance: writes a log line per event and keeps the most
// recent events for `chicoryctl events`.

#ifndef CHICORYBANK_LIB_DAEMON_JOURNAL_H
#define CHICORYBANK_LIB_DAEMON_JOURNAL_H

#include "chicorybank/base/Reasons.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <readerwriterqueue/readerwriterqueue.h>
#include <string>
#include <thread>
#include <vector>

namespace chicory {

/// One logged event.
struct JournalEntry {
  /// Milliseconds since the Unix epoch.
  int64_t AtMs = 0;
  std::string Event;
  /// More key=value pairs or a single value; contains no line breaks.
  std::string Detail;
};

/// Records events and writes them to the log on a separate thread.
class Journal {
public:
  /// Each line contains the id `instance`. Lines below `level` are not written.
  Journal(uint32_t instance, const std::string &level);
  ~Journal() { stop(); }

  /// Queues an event; only the core's thread may call this. Drops the event if
  /// the ring is full.
  void record(std::string event, std::string detail);
  /// Returns the most recent events, oldest first.
  std::vector<JournalEntry> recent() const;
  void stop();

private:
  static constexpr size_t RingSize = 4096;
  static constexpr size_t MaxEntries = 1000;
  /// Lines that are written per second for one kind of event. Further ones are
  /// only counted.
  static constexpr uint32_t LinesPerSecond = 20;

  /// Lines of one kind of event in the current second.
  struct LineCount {
    int64_t Second = 0;
    uint32_t Written = 0;
    uint32_t Suppressed = 0;
  };

  void run();
  void write(const JournalEntry &entry);

  uint32_t Instance;
  moodycamel::ReaderWriterQueue<JournalEntry> Ring{RingSize};
  std::map<std::string, LineCount> LineCounts;
  mutable std::mutex Lock;
  std::deque<JournalEntry> Entries;
  std::atomic<bool> Stopping = false;
  std::thread Worker;
};

} // namespace chicory

#endif
