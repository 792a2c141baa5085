// When this instance writes the directory (`Directory.h`), and what.

#ifndef CHICORYBANK_EDGE_DIRECTORYWRITER_H
#define CHICORYBANK_EDGE_DIRECTORYWRITER_H

#include "chicorybank/edge/WriteTurn.h"

#include <optional>

namespace chicory::edge {

/// The state machine; it does no I/O. One write is under way at a time.
class DirectoryWriter {
public:
  /// What an entry takes, in bytes.
  static constexpr int64_t EntryBytes = 36;
  /// A directory is written at most so often that it takes this much a second:
  /// a tenth of a link of 20 Mbit/s to whoever watches, which reads it back.
  /// 600 registrations are written once a second, 18,000 twice a minute.
  static constexpr int64_t BytesPerSecond = 25'000;
  /// With more registrations none is written, and those that start list: as
  /// base64 it has to fit into the megabyte of an item.
  static constexpr size_t MostServers = 18'000;

  explicit DirectoryWriter(const RegistryDialect &dialect) : Dialect(dialect) {}

  /// The copy here, and what the registry says of the stored directory.
  void learn(const Mirror &copy, const DirectoryNote &stored, Time now);

  /// The call that is due, if any. `patience`: of this instance with news.
  /// Call it only while the news is current.
  std::optional<RegistryCall> next(const Mirror &copy, Duration patience,
                                   Time now);
  void answered(const NewsAnswer &answer, Time now) {
    Turn.answered(answer, now);
  }
  /// When `next` may have something to send.
  Time nextAt(Duration patience) const { return Turn.at(patience); }

  const WriteStats &stats() const { return Turn.stats(); }

private:
  const RegistryDialect &Dialect;
  DirectoryNote Stored;
  WriteTurn Turn;
};

} // namespace chicory::edge

#endif
