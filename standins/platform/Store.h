// Key-value store of the simulated platform, with leases and revisions and
// without networking.

#ifndef CHICORYBANK_STANDINS_PLATFORM_STORE_H
#define CHICORYBANK_STANDINS_PLATFORM_STORE_H

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace standin {

/// A key's value and the revision that wrote it.
struct StoredValue {
  std::string Value;
  int64_t ModRevision = 0;
  int64_t Lease = 0;
};

/// One change of a key, as reported to watches.
struct Change {
  int64_t Revision = 0;
  std::string Key;
  StoredValue Value;
  bool Deleted = false;
};

/// Key-value store with compare-and-swap, leases and a change log.
class Store {
public:
  std::vector<std::pair<std::string, StoredValue>>
  range(const std::string &from, const std::string &end) const;
  int64_t put(const std::string &key, const std::string &value,
              int64_t lease = 0);
  int64_t remove(const std::string &from, const std::string &end);
  /// Applies all writes if the key has the expected revision (0: no such key).
  bool compareAndSwap(
      const std::string &key, int64_t expected,
      const std::vector<std::pair<std::string, std::string>> &writes);
  int64_t grantLease(int64_t seconds, int64_t nowMs);
  bool renewLease(int64_t id, int64_t nowMs);
  void expireLeases(int64_t nowMs);
  int64_t revision() const;
  /// Returns the changes after a revision; waits at most `waitMs` for one.
  std::vector<Change> changesAfter(int64_t revision, int waitMs);

  /// Saves a snapshot for `restore`, at most one per `SnapshotIntervalMs`. Call
  /// this several times a second.
  void saveSnapshot(int64_t nowMs);
  /// Restores the latest snapshot that is at least `ageMs` old, or else the
  /// oldest. Later writes are lost, their revisions are assigned again, and
  /// watches have to end.
  void restore(int64_t nowMs, int64_t ageMs);
  /// Returns the number of restores.
  int64_t restoreCount() const;

private:
  struct Lease {
    int64_t Seconds = 0;
    int64_t ExpiresMs = 0;
  };
  static constexpr size_t MaxChanges = 10'000;

  int64_t putLocked(const std::string &key, const std::string &value,
                    int64_t lease);
  int64_t removeLocked(const std::string &from, const std::string &end);

  struct Snapshot {
    int64_t TakenMs = 0;
    int64_t Revision = 0;
    std::map<std::string, StoredValue> Values;
    std::map<int64_t, Lease> Leases;
  };
  static constexpr size_t MaxSnapshots = 40;
  static constexpr int64_t SnapshotIntervalMs = 250;

  mutable std::mutex Lock;
  std::condition_variable Changed;
  std::map<std::string, StoredValue> Values;
  std::map<int64_t, Lease> Leases;
  std::deque<Change> Changes;
  int64_t Revision = 1;
  std::deque<Snapshot> Snapshots;
  int64_t RestoreCount = 0;
};

} // namespace standin

#endif
