// What the instance did: one log line per event, and the last of them kept for
// `chicoryctl events`.

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

/// One event.
struct JournalEntry {
  /// Milliseconds since the Unix epoch.
  int64_t AtMs = 0;
  std::string Event;
  /// Further key=value pairs, or a value, without line breaks.
  std::string Detail;
};

/// Writes events on a thread of its own.
class Journal {
public:
  /// `instance` stands in each line.
  Journal(uint32_t instance, const std::string &level);
  ~Journal() { stop(); }

  /// Notes an event; only the core's thread may call it. A full ring drops it.
  void record(std::string event, std::string detail);
  /// The last events, the oldest first.
  std::vector<JournalEntry> recent() const;
  void stop();

private:
  static constexpr size_t RingSize = 4096;
  static constexpr size_t MaxEntries = 1000;
  /// Lines of one kind that are written in a second; the rest is counted.
  static constexpr uint32_t LinesPerSecond = 20;

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
