// Decides when this instance writes the directory (`Directory.h`), and which
// parts of it.

#ifndef CHICORYBANK_EDGE_DIRECTORYWRITER_H
#define CHICORYBANK_EDGE_DIRECTORYWRITER_H

#include "chicorybank/edge/StaggeredWrite.h"

#include <optional>
#include <set>

namespace chicory::edge {

/// State machine without I/O. At most one write is in progress.
class DirectoryWriter {
public:
  /// The mean size of an encoded registration, to estimate the size of a write.
  static constexpr int64_t EntryBytes = 13;
  /// The highest rate at which parts are written. The watching instance reads
  /// them back, and this is a hundredth of its link of 20 Mbit/s.
  static constexpr int64_t BytesPerSecond = 25'000;
  /// A part with more registrations is not written, and starting instances
  /// list the registrations instead. Encoded in base64, a part has to fit into
  /// an item of one megabyte, even if each entry takes 15 bytes.
  static constexpr size_t MaxServers = 50'000;
  /// The most parts that fit into a transaction together with the summary.
  static constexpr size_t MaxParts = 31;

  explicit DirectoryWriter(const RegistryDialect &dialect) : Dialect(dialect) {}

  /// Takes the local cache, and the summary of the stored directory.
  void learn(const RegistryCache &cache, const DirectorySummary &stored,
             Time now);

  /// Returns the call that is due, if any. Call it only while the cache is
  /// current. `stalenessLimit`: that of this instance (`PropagationTree.h`).
  std::optional<RegistryCall> next(const RegistryCache &cache,
                                   Duration stalenessLimit, Time now);
  void answered(const RegistryAnswer &answer, Time now) {
    Schedule.answered(answer, now);
  }
  /// Returns when `next` may return a call.
  Time nextAt(Duration stalenessLimit) const {
    return Schedule.dueAt(stalenessLimit);
  }

  const WriteStats &stats() const { return Schedule.stats(); }

private:
  const RegistryDialect &Dialect;
  DirectorySummary Stored;
  /// The zones whose stored parts differ from the local cache.
  std::set<std::string> Changed;
  StaggeredWrite Schedule;
};

} // namespace chicory::edge

#endif
