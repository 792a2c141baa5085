// The two threads that call the platform: one reads and watches, one writes.

#ifndef CHICORYBANK_LIB_DAEMON_PLATFORMWORKER_H
#define CHICORYBANK_LIB_DAEMON_PLATFORMWORKER_H

#include "Rings.h"
#include "RuleStore.h"

#include "chicorybank/daemon/Settings.h"
#include "chicorybank/store/RuleRegistry.h"

#include <thread>

namespace chicory {

/// Delivers the platform's values to the core and writes members documents for
/// it.
///
/// An open watch counts as a call to the platform, so only a few instances of a
/// zone watch (`setWatching`). The others learn of changes from the heartbeats
/// of these instances, and also poll the platform in case they miss one.
class PlatformWorker {
public:
  PlatformWorker(const Settings &settings, RuleStore &store, CoreRings &rings,
                 WorkerCounters &counters);
  ~PlatformWorker() { stop(); }

  void start();
  void stop();
  /// Sets whether this instance watches the platform for its zone.
  void setWatching(bool watching) { Watching = watching; }
  /// Queues a document to write; replaces a queued one that has not been begun.
  void write(const MembersDocument &document);
  /// Returns how many reads have failed since the last successful one.
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
