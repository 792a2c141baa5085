#include "chicorybank/edge/DirectoryWriter.h"

#include "chicorybank/edge/Directory.h"

#include <algorithm>

namespace chicory::edge {

namespace {

uint64_t digestOf(const ZoneDigests &digests, const std::string &zone) {
  auto it = digests.find(zone);
  return it == digests.end() ? 0 : it->second;
}

/// The zones that one of the two has and the other has not, or not so.
std::set<std::string> differences(const ZoneDigests &a, const ZoneDigests &b) {
  std::set<std::string> out;
  for (const ZoneDigests *digests : {&a, &b})
    for (const auto &[zone, digest] : *digests)
      if (digestOf(a, zone) != digestOf(b, zone))
        out.insert(zone);
  return out;
}

} // namespace

void DirectoryWriter::learn(const RegistryCache &copy,
                            const DirectorySummary &stored, Time now) {
  Stored = stored;
  Changed = differences(copy.registrationDigests(), stored.Digests);
  std::erase_if(Changed, [&](const std::string &zone) {
    return copy.registrationCount(zone) > MaxServers;
  });
  int64_t servers = 0;
  for (const std::string &zone : Changed)
    servers += static_cast<int64_t>(copy.registrationCount(zone));
  Turn.setSettleTime(std::max<Duration>(
      StaggeredWriteTimes{}.SettleTime,
      std::chrono::seconds(servers * EntryBytes / BytesPerSecond)));
  Turn.learn(!Changed.empty(), stored.At, now);
}

std::optional<RegistryCall> DirectoryWriter::next(const RegistryCache &copy,
                                                  Duration stalenessLimit,
                                                  Time now) {
  if (now < nextAt(stalenessLimit))
    return std::nullopt;
  Turn.begin();
  ZoneDigests digests = copy.registrationDigests();
  DirectorySummary note = Stored;
  std::map<std::string, std::string> parts;
  for (const std::string &zone : Changed) {
    if (parts.size() == MaxParts)
      break;
    parts[zone] = encodeDirectory({.Servers = copy.registrations(zone),
                                   .Instances = copy.instanceCount()});
    note.Digests[zone] = digestOf(digests, zone);
    // A zone without servers: its part is empty, and needs no checksum.
    if (note.Digests[zone] == 0)
      note.Digests.erase(zone);
  }
  return Dialect.writeDirectory(note, parts);
}

} // namespace chicory::edge
