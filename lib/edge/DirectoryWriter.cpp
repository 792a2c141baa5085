#include "chicorybank/edge/DirectoryWriter.h"

#include "chicorybank/edge/Directory.h"

#include <algorithm>

namespace chicory::edge {

void DirectoryWriter::learn(const Mirror &copy, const DirectoryNote &stored,
                            Time now) {
  Stored = stored;
  size_t servers = copy.registrationCount();
  int64_t seconds = static_cast<int64_t>(servers) * EntryBytes / BytesPerSecond;
  Turn.settleFor(std::max<Duration>(WriteTimes{}.SettleFor,
                                    std::chrono::seconds(seconds)));
  bool differs = copy.registrationsDigest() != stored.Digest;
  Turn.learn(differs && servers <= MostServers, stored.At, now);
}

std::optional<RegistryCall> DirectoryWriter::next(const Mirror &copy,
                                                  Duration patience, Time now) {
  if (now < nextAt(patience))
    return std::nullopt;
  Turn.begin();
  return Dialect.writeDirectory(
      {.Digest = copy.registrationsDigest(), .At = Stored.At},
      encodeDirectory(copy.registrations()));
}

} // namespace chicory::edge
