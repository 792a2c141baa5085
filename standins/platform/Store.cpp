#include "Store.h"

#include <chrono>

namespace standin {

namespace {

constexpr int64_t MsPerSecond = 1000;

} // namespace

std::vector<std::pair<std::string, StoredValue>>
Store::range(const std::string &from, const std::string &end) const {
  std::lock_guard lock(Lock);
  std::vector<std::pair<std::string, StoredValue>> out;
  if (end.empty()) {
    if (auto it = Values.find(from); it != Values.end())
      out.emplace_back(*it);
    return out;
  }
  for (auto it = Values.lower_bound(from);
       it != Values.end() && it->first < end; ++it)
    out.emplace_back(*it);
  return out;
}

int64_t Store::putLocked(const std::string &key, const std::string &value,
                         int64_t lease) {
  ++Revision;
  Values[key] = {.Value = value, .ModRevision = Revision, .Lease = lease};
  Changes.push_back({.Revision = Revision, .Key = key, .Value = Values[key]});
  if (Changes.size() > MaxChanges)
    Changes.pop_front();
  Changed.notify_all();
  return Revision;
}

int64_t Store::put(const std::string &key, const std::string &value,
                   int64_t lease) {
  std::lock_guard lock(Lock);
  return putLocked(key, value, lease);
}

int64_t Store::removeLocked(const std::string &from, const std::string &end) {
  int64_t count = 0;
  auto it = Values.lower_bound(from);
  while (it != Values.end() &&
         (end.empty() ? it->first == from : it->first < end)) {
    ++Revision;
    ++count;
    Changes.push_back(
        {.Revision = Revision, .Key = it->first, .Deleted = true});
    it = Values.erase(it);
  }
  Changed.notify_all();
  return count;
}

int64_t Store::remove(const std::string &from, const std::string &end) {
  std::lock_guard lock(Lock);
  return removeLocked(from, end);
}

bool Store::compareAndSwap(
    const std::string &key, int64_t expected,
    const std::vector<std::pair<std::string, std::string>> &writes) {
  std::lock_guard lock(Lock);
  auto it = Values.find(key);
  int64_t actual = it == Values.end() ? 0 : it->second.ModRevision;
  if (actual != expected)
    return false;
  for (const auto &[name, value] : writes)
    putLocked(name, value, 0);
  return true;
}

int64_t Store::grantLease(int64_t seconds, int64_t nowMs) {
  std::lock_guard lock(Lock);
  int64_t id = ++Revision;
  Leases[id] = {.Seconds = seconds, .ExpiresMs = nowMs + seconds * MsPerSecond};
  return id;
}

bool Store::renewLease(int64_t id, int64_t nowMs) {
  std::lock_guard lock(Lock);
  auto it = Leases.find(id);
  if (it == Leases.end())
    return false;
  it->second.ExpiresMs = nowMs + it->second.Seconds * MsPerSecond;
  return true;
}

void Store::expireLeases(int64_t nowMs) {
  std::lock_guard lock(Lock);
  for (auto it = Leases.begin(); it != Leases.end();) {
    if (it->second.ExpiresMs > nowMs) {
      ++it;
      continue;
    }
    std::vector<std::string> expiredKeys;
    for (const auto &[key, value] : Values)
      if (value.Lease == it->first)
        expiredKeys.push_back(key);
    for (const std::string &key : expiredKeys)
      removeLocked(key, "");
    it = Leases.erase(it);
  }
}

void Store::saveSnapshot(int64_t nowMs) {
  std::lock_guard lock(Lock);
  if (!Snapshots.empty() &&
      nowMs - Snapshots.back().TakenMs < SnapshotIntervalMs)
    return;
  Snapshots.push_back({.TakenMs = nowMs,
                       .Revision = Revision,
                       .Values = Values,
                       .Leases = Leases});
  if (Snapshots.size() > MaxSnapshots)
    Snapshots.pop_front();
}

void Store::restore(int64_t nowMs, int64_t ageMs) {
  std::lock_guard lock(Lock);
  while (Snapshots.size() > 1 && nowMs - Snapshots.back().TakenMs < ageMs)
    Snapshots.pop_back();
  if (Snapshots.empty())
    return;
  Revision = Snapshots.back().Revision;
  Values = Snapshots.back().Values;
  Leases = Snapshots.back().Leases;
  Snapshots.clear();
  Changes.clear();
  ++RestoreCount;
  Changed.notify_all();
}

int64_t Store::restoreCount() const {
  std::lock_guard lock(Lock);
  return RestoreCount;
}

int64_t Store::revision() const {
  std::lock_guard lock(Lock);
  return Revision;
}

std::vector<Change> Store::changesAfter(int64_t revision, int waitMs) {
  std::unique_lock lock(Lock);
  auto hasNewerChange = [&] {
    return !Changes.empty() && Changes.back().Revision > revision;
  };
  Changed.wait_for(lock, std::chrono::milliseconds(waitMs), hasNewerChange);
  std::vector<Change> out;
  for (const Change &it : Changes)
    if (it.Revision > revision)
      out.push_back(it);
  return out;
}

} // namespace standin
