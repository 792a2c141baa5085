#include "chicorybank/edge/DirectoryWriter.h"

#include "chicorybank/edge/Directory.h"

#include <algorithm>

namespace chicory::edge {

namespace {

uint64_t digestOf(const ZoneDigests &digests, const std::string &zone) {
  auto it = digests.find(zone);
  return it == digests.end() ? 0 : it->second;
}

/// Returns the zones whose digests differ, or that only one of the two has.
std::set<std::string> differences(const ZoneDigests &a, const ZoneDigests &b) {
  std::set<std::string> out;
  for (const ZoneDigests *digests : {&a, &b})
    for (const auto &[zone, digest] : *digests)
      if (digestOf(a, zone) != digestOf(b, zone))
        out.insert(zone);
  return out;
}

} // namespace

void DirectoryWriter::learn(const RegistryCache &cache,
                            const DirectorySummary &stored, Time now) {
  Stored = stored;
  Changed = differences(cache.registrationDigests(), stored.Digests);
  std::erase_if(Changed, [&](const std::string &zone) {
    return cache.registrationCount(zone) > MaxServers;
  });
  int64_t servers = 0;
  for (const std::string &zone : Changed)
    servers += static_cast<int64_t>(cache.registrationCount(zone));
  Schedule.setSettleTime(std::max<Duration>(
      StaggeredWriteTimes{}.SettleTime,
      std::chrono::seconds(servers * EntryBytes / BytesPerSecond)));
  Schedule.learn(!Changed.empty(), stored.At, now);
}

std::optional<RegistryCall> DirectoryWriter::next(const RegistryCache &cache,
                                                  Duration stalenessLimit,
                                                  Time now) {
  if (now < nextAt(stalenessLimit))
    return std::nullopt;
  Schedule.begin();
  ZoneDigests digests = cache.registrationDigests();
  DirectorySummary summary = Stored;
  std::map<std::string, std::string> parts;
  for (const std::string &zone : Changed) {
    if (parts.size() == MaxParts)
      break;
    parts[zone] = encodeDirectory({.Servers = cache.registrations(zone),
                                   .Instances = cache.instanceCount()});
    summary.Digests[zone] = digestOf(digests, zone);
    // The part of a zone without servers is empty and needs no checksum.
    if (summary.Digests[zone] == 0)
      summary.Digests.erase(zone);
  }
  return Dialect.writeDirectory(summary, parts);
}

} // namespace chicory::edge
