#include "chicorybank/daemon/Settings.h"

#include "chicorybank/base/TomlReader.h"

#include <algorithm>
#include <array>

namespace chicory {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr qsizetype MinSecretBytes = 16;
constexpr std::array<std::string_view, 4> LogLevels = {"debug", "info",
                                                       "warning", "error"};

/// Reads the tables of a settings file.
class SettingsReader {
public:
  SettingsReader(std::string file, Findings &findings)
      : File(std::move(file)), Faults(findings) {}

  Settings read(const toml::table &root);

private:
  /// Reads one table with `part`. Reports a missing table that is required.
  template <typename Part>
  void section(TomlReader &root, const char *name, bool required, Part part);
  void readInstance(TomlReader &reader);
  void readPlatform(TomlReader &reader);
  void readPeers(TomlReader &reader);
  void readLimits(TomlReader &reader);
  void readTimes(TomlReader &reader);
  void checkTimes(TomlReader &reader);
  InstanceInfo readInfo(TomlReader &reader);

  std::string File;
  Findings &Faults;
  Settings Out;
};

template <typename Part>
void SettingsReader::section(TomlReader &root, const char *name, bool required,
                             Part part) {
  const toml::table *table = root.table(name);
  if (table == nullptr) {
    if (required)
      root.addFinding(name, "the table is missing");
    return;
  }
  TomlReader reader(*table, File, Faults);
  part(reader);
  reader.finish();
}

InstanceInfo SettingsReader::readInfo(TomlReader &reader) {
  InstanceInfo out;
  out.Id.Value = static_cast<uint32_t>(
      reader.number("id", 0, {.Min = 1, .Max = UINT32_MAX}));
  if (out.Id == InstanceId{})
    reader.addFinding("id", "expected a number above zero");
  out.Zone = reader.requiredText("zone");
  out.Packets = reader.address("packets", true);
  out.Peers = reader.address("peers", true);
  out.Admin = reader.address("admin", true);
  return out;
}

void SettingsReader::readInstance(TomlReader &reader) {
  Out.Self = readInfo(reader);
  Out.ListenPackets = Out.Self.Packets;
  Out.ListenPeers = Out.Self.Peers;
  if (Address it = reader.address("advertise_packets", false))
    Out.Self.Packets = it;
  if (Address it = reader.address("advertise_peers", false))
    Out.Self.Peers = it;
}

void SettingsReader::readPlatform(TomlReader &reader) {
  for (const auto &[text, place] : reader.texts("servers")) {
    std::optional<Address> server = parseAddress(text);
    if (server)
      Out.Platform.Servers.push_back(*server);
    else
      Faults.add(place, "servers: \"" + text + "\" is no IP:port");
  }
  if (Out.Platform.Servers.empty())
    reader.addFinding("servers", "at least one IP:port is needed");
  Out.Platform.Timeout = reader.duration("timeout", Out.Platform.Timeout,
                                         milliseconds(50), seconds(60));
  Out.PlatformPoll =
      reader.duration("poll", Out.PlatformPoll, seconds(1), hours(1));
}

void SettingsReader::readPeers(TomlReader &reader) {
  Out.PeerSecret = QByteArray::fromStdString(reader.requiredText("key"));
  if (!Out.PeerSecret.isEmpty() && Out.PeerSecret.size() < MinSecretBytes)
    reader.addFinding("key", "is shorter than " +
                                 std::to_string(MinSecretBytes) + " bytes");
  for (const toml::table *it : reader.tables("seeds")) {
    TomlReader seed(*it, File, Faults);
    Out.Seeds.push_back(readInfo(seed));
    seed.finish();
  }
}

void SettingsReader::readLimits(TomlReader &reader) {
  auto count = [&](const char *key, size_t &value, int64_t min, int64_t max) {
    value = static_cast<size_t>(reader.number(key, static_cast<int64_t>(value),
                                              {.Min = min, .Max = max}));
  };
  CoreOptions &core = Out.Core;
  count("max_flows", core.Flows.MaxFlows, 100, 20'000'000);
  count("rule_history", core.Flows.HistoryDepth, 2, 256);
  count("max_recoveries", core.Flows.MaxRecoveries, 16, 1'000'000);
  count("max_requests", core.Requests.MaxRequests, 100, 10'000'000);
  count("max_cached_bytes", core.Requests.MaxCachedBytes, 0, 1 << 30);
  count("max_queue", core.Requests.MaxQueue, 1, 100'000);
  Out.ControlBytesPerSecond = static_cast<uint64_t>(reader.number(
      "control_bytes_per_second", 4000, {.Min = 500, .Max = 100'000'000}));
  int64_t percent = reader.number("retry_percent", 10, {.Min = 0, .Max = 100});
  core.Requests.RetryShare = static_cast<double>(percent) / 100;
}

void SettingsReader::readTimes(TomlReader &reader) {
  CoreOptions &core = Out.Core;
  auto time = [&](const char *key, Duration &value, Duration min,
                  Duration max) {
    value = reader.duration(key, value, min, max);
  };
  time("heartbeat", core.Membership.HeartbeatInterval, milliseconds(50),
       seconds(10));
  time("suspect_after", core.Membership.SuspectAfter, milliseconds(100),
       minutes(1));
  time("lease", core.Ownership.LeaseTime, milliseconds(100), minutes(1));
  time("lease_margin", core.Ownership.LeaseMargin, milliseconds(1),
       seconds(10));
  time("max_request_life", core.Requests.MaxRequestLife, milliseconds(100),
       minutes(5));
  time("max_clock_skew", core.Requests.MaxClockSkew, milliseconds(1),
       seconds(10));
  time("flow_idle", core.Flows.IdleTimeout, seconds(10), hours(240));
  time("flow_silent", core.Flows.SilentAfter, seconds(1), hours(1));
  time("probe", core.ProbeInterval, milliseconds(100), minutes(1));
  time("slow_start", core.Targets.SlowStart, milliseconds(1), minutes(10));
  time("stop_timeout", core.StopTimeout, seconds(1), hours(1));
  checkTimes(reader);
}

void SettingsReader::checkTimes(TomlReader &reader) {
  const CoreOptions &core = Out.Core;
  // If a span holds fewer than two heartbeats, a single lost packet makes a
  // peer suspect or ends a lease.
  if (core.Membership.SuspectAfter < core.Membership.HeartbeatInterval * 2)
    reader.addFinding("suspect_after", "must be at least twice heartbeat");
  if (core.Ownership.LeaseTime < core.Membership.HeartbeatInterval * 2)
    reader.addFinding("lease", "must be at least twice heartbeat");
}

Settings SettingsReader::read(const toml::table &root) {
  TomlReader reader(root, File, Faults);
  section(reader, "instance", true, [&](TomlReader &it) { readInstance(it); });
  section(reader, "fabric", true,
          [&](TomlReader &it) { Out.Fabric = it.address("address", true); });
  section(reader, "platform", true, [&](TomlReader &it) { readPlatform(it); });
  section(reader, "peers", true, [&](TomlReader &it) { readPeers(it); });
  section(reader, "limits", false, [&](TomlReader &it) { readLimits(it); });
  section(reader, "times", false, [&](TomlReader &it) { readTimes(it); });
  section(reader, "log", false, [&](TomlReader &it) {
    Out.LogLevel = it.text("level", Out.LogLevel);
    if (std::find(LogLevels.begin(), LogLevels.end(), Out.LogLevel) ==
        LogLevels.end())
      it.addFinding("level", "expected debug, info, warning or error");
  });
  reader.finish();
  Out.Platform.SourceIp = Out.ListenPeers.Ip;
  return Out;
}

} // namespace

std::optional<Settings> readSettings(std::string_view text,
                                     const std::string &file,
                                     Findings &findings) {
  size_t before = findings.items().size();
  std::optional<toml::table> root = parseToml(text, file, findings);
  if (!root)
    return std::nullopt;
  Settings settings = SettingsReader(file, findings).read(*root);
  if (findings.items().size() != before)
    return std::nullopt;
  return settings;
}

} // namespace chicory
