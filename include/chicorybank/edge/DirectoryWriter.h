// When this instance writes the directory (`Directory.h`), and what.

#ifndef CHICORYBANK_EDGE_DIRECTORYWRITER_H
#define CHICORYBANK_EDGE_DIRECTORYWRITER_H

#include "chicorybank/edge/StaggeredWrite.h"

#include <optional>
#include <set>

namespace chicory::edge {

/// The state machine; it does no I/O. One write is under way at a time.
class DirectoryWriter {
public:
  /// What an entry takes, in bytes.
  static constexpr int64_t EntryBytes = 13;
  /// Parts are written at most so often that they take this much a second: a
  /// hundredth of a link of 20 Mbit/s to whoever watches, which reads them
  /// back. 1,900 registrations are written once a second, 20,000 six times a
  /// minute.
  static constexpr int64_t BytesPerSecond = 25'000;
  /// A part with more registrations is not written, and those that start list:
  /// as base64 it has to fit into the megabyte of an item, even where each
  /// takes 15 bytes.
  static constexpr size_t MaxServers = 50'000;
  /// A transaction has room for so many parts and the note.
  static constexpr size_t MaxParts = 31;

  explicit DirectoryWriter(const RegistryDialect &dialect) : Dialect(dialect) {}

  /// The copy here, and what the registry says of the stored directory.
  void learn(const RegistryCache &copy, const DirectorySummary &stored,
             Time now);

  /// The call that is due, if any. `stalenessLimit`: of this instance with
  /// news. Call it only while the news is current.
  std::optional<RegistryCall> next(const RegistryCache &copy,
                                   Duration stalenessLimit, Time now);
  void answered(const RegistryAnswer &answer, Time now) {
    Turn.answered(answer, now);
  }
  /// When `next` may have something to send.
  Time nextAt(Duration stalenessLimit) const {
    return Turn.dueAt(stalenessLimit);
  }

  const WriteStats &stats() const { return Turn.stats(); }

private:
  const RegistryDialect &Dialect;
  DirectorySummary Stored;
  /// The zones whose parts are not as the copy has them.
  std::set<std::string> Changed;
  StaggeredWrite Turn;
};

} // namespace chicory::edge

#endif
