// The two threads that talk to the platform: one reads and watches, one writes.

#ifndef CHICORYBANK_LIB_DAEMON_PLATFORMWORKER_H
#define CHICORYBANK_LIB_DAEMON_PLATFORMWORKER_H

#include "Rings.h"
#include "RuleStore.h"

#include "chicorybank/daemon/Settings.h"
#include "chicorybank/store/RuleRegistry.h"

#include <thread>

namespace chicory {

/// Keeps the core informed of the platform's values and writes for it.
///
/// A waiting watch counts as a call of the platform, so only few instances of
/// a zone watch (`setWatching`); the others hear of changes from these by
/// heartbeat, and read the platform now and then in case they do not.
class PlatformWorker {
public:
  PlatformWorker(const Settings &settings, RuleStore &store, CoreRings &rings,
                 WorkerCounters &counters);
  ~PlatformWorker() { stop(); }

  void start();
  void stop();
  /// Whether this instance is one of the watchers of its zone.
  void setWatching(bool watching) { Watching = watching; }
  /// Asks for a write; replaces one that has not begun.
  void write(const MembersDocument &document);
  /// How many calls failed since the last that did not.
  uint64_t consecutiveFailures() const { return Failures; }
  uint64_t calls() const { return Calls; }

private:
  void runReader();
  void runWriter();
  bool readAll();
  bool watchOnce();
  void apply(const KeyValue &change, KeyValueService &service);
  void applyManifest(const QByteArray &value, KeyValueService &service);
  void repairRules(const RuleManifest &stored, KeyValueService &service);
  void applyMembers(const QByteArray &value,
                    moodycamel::ReaderWriterQueue<Event> &ring);
  void writeMembers(const MembersDocument &document);
  void pause(Duration length);

  const Settings &Config;
  RuleStore &Store;
  CoreRings &Rings;
  WorkerCounters &Counters;
  std::unique_ptr<KeyValueService> Reader;
  std::unique_ptr<KeyValueService> Writer;
  std::atomic<bool> Stopping = false;
  std::atomic<bool> Watching = true;
  std::atomic<uint64_t> Failures = 0;
  std::atomic<uint64_t> Calls = 0;
  std::mutex WriteLock;
  std::optional<MembersDocument> PendingWrite;
  std::thread ReaderThread;
  std::thread WriterThread;
};

} // namespace chicory

#endif
