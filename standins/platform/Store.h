// The platform stand-in's keys, leases and revisions, without any network.

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

/// One change, for watches.
struct Change {
  int64_t Revision = 0;
  std::string Key;
  StoredValue Value;
  bool Deleted = false;
};

/// Keys with compare-and-swap, leases and a log of changes.
class Store {
public:
  std::vector<std::pair<std::string, StoredValue>>
  range(const std::string &from, const std::string &end) const;
  int64_t put(const std::string &key, const std::string &value,
              int64_t lease = 0);
  int64_t remove(const std::string &from, const std::string &end);
  /// Applies all writes if the key has this revision.
  bool compareAndSwap(
      const std::string &key, int64_t expected,
      const std::vector<std::pair<std::string, std::string>> &writes);
  int64_t grantLease(int64_t seconds, int64_t nowMs);
  bool renewLease(int64_t id, int64_t nowMs);
  void expireLeases(int64_t nowMs);
  int64_t revision() const;
  /// Changes after a revision; waits for one for at most `waitMs`.
  std::vector<Change> changesAfter(int64_t revision, int waitMs);

  /// Keeps a copy that `restore` can bring back; call it a few times a second.
  void saveSnapshot(int64_t nowMs);
  /// Comes back from a copy that is so old. What was written since is lost, its
  /// revisions are given out again, and watches have to end.
  void restore(int64_t nowMs, int64_t ageMs);
  /// How often it was restored.
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
