#include "chicorybank/edge/Settings.h"

#include "chicorybank/base/Hash.h"
#include "chicorybank/base/TomlReader.h"

namespace chicory::edge {

namespace {

using namespace std::chrono_literals;

constexpr Duration MaxDuration = 24h;
// The part of the grace time that is reserved for the exit of the process.
constexpr Duration GraceReserve = 1s;
// The maximum staleness limit is 4.5 of these poll intervals
// (`MaxShareOfApplyTime` in `PropagationTree.cpp`); the rest is for the call
// and for propagation.
constexpr int PollsPerApply = 6;
constexpr Duration PollIntervalMin = 100ms;
// Without updates for this many poll intervals, `UpdateGap` counts them as
// interrupted. In normal operation, updates are up to one poll interval old,
// and registrations may expire as soon as the registry does not answer, so the
// limit is only slightly higher. A false gap only delays the detection that a
// server has ended.
constexpr double PollsInGap = 1.4;
constexpr Duration PollIntervalMax = 1s;

/// Reads one table, or an empty one if it is absent.
class Section {
public:
  Section(TomlReader &parent, std::string_view key, const std::string &file,
          Findings &findings)
      : Reader(tableOf(parent, key), file, findings) {}
  TomlReader *operator->() { return &Reader; }
  ~Section() { Reader.finish(); }
  Section(const Section &) = delete;
  Section &operator=(const Section &) = delete;

private:
  static const toml::table &tableOf(TomlReader &parent, std::string_view key) {
    static const toml::table empty;
    const toml::table *out = parent.table(key);
    return out ? *out : empty;
  }
  TomlReader Reader;
};

template <typename T>
void noteChange(const char *key, const T &inUse, const T &fresh,
                std::vector<std::string> &changed) {
  if (!(inUse == fresh))
    changed.emplace_back(key);
}

template <typename T>
void applyChange(const char *key, T &inUse, const T &fresh,
                 std::vector<std::string> &changed) {
  noteChange(key, inUse, fresh, changed);
  inUse = fresh;
}

} // namespace

SettingsChange applyChanges(EdgeSettings &inUse, const EdgeSettings &fresh) {
  SettingsChange out;
  noteChange("instance.name", inUse.Name, fresh.Name, out.AfterRestart);
  noteChange("instance.zone", inUse.Zone, fresh.Zone, out.AfterRestart);
  noteChange("instance.ip", inUse.Ip, fresh.Ip, out.AfterRestart);
  noteChange("listen.packets", inUse.Packets, fresh.Packets, out.AfterRestart);
  noteChange("listen.ready", inUse.Ready, fresh.Ready, out.AfterRestart);
  noteChange("listen.peer_port", inUse.Peers, fresh.Peers, out.AfterRestart);
  noteChange("registry.address", inUse.Registry, fresh.Registry,
             out.AfterRestart);
  applyChange("times.apply_within", inUse.Core.ApplyWithin,
              fresh.Core.ApplyWithin, out.Applied);
  applyChange("times.max_flow_age", inUse.Core.MaxFlowAge,
              fresh.Core.MaxFlowAge, out.Applied);
  applyChange("times.grace", inUse.Grace, fresh.Grace, out.Applied);
  noteChange("balancing", inUse.Balancing, fresh.Balancing, out.AfterRestart);
  noteChange("balancing.contracts", inUse.Contracts, fresh.Contracts,
             out.AfterRestart);
  noteChange("mechanisms", inUse.Core.Enabled, fresh.Core.Enabled,
             out.AfterRestart);
  inUse.StopDelay = fresh.StopDelay;
  return out;
}

std::vector<std::string> disabledMechanisms(const EdgeSettings &settings) {
  std::vector<std::string> out;
  for (const token::MechanismName &it : token::MechanismNames)
    if (!(settings.Core.Enabled.*it.Switch))
      out.emplace_back(it.Key);
  return out;
}

std::optional<EdgeSettings> readEdgeSettings(std::string_view text,
                                             const std::string &file,
                                             Findings &findings) {
  std::optional<toml::table> table = parseToml(text, file, findings);
  if (!table)
    return std::nullopt;
  EdgeSettings out;
  {
    TomlReader top(*table, file, findings);
    Section instance(top, "instance", file, findings);
    out.Name = instance->requiredText("name");
    out.Zone = instance->requiredText("zone");
    std::string ip = instance->requiredText("ip");
    if (auto parsed = parseIp(ip))
      out.Ip = *parsed;
    else if (!ip.empty())
      instance->addFinding("ip", "\"" + ip + "\" is not an IP address");

    Section listen(top, "listen", file, findings);
    out.Packets = listen->address("packets", true);
    out.Ready = listen->address("ready", true);
    auto port = static_cast<uint16_t>(
        listen->number("peer_port", 0, {.Min = 1, .Max = 65535}));
    out.Peers = {.Ip = out.Ip, .Port = port};

    Section registry(top, "registry", file, findings);
    out.Registry = registry->address("address", true);

    Section times(top, "times", file, findings);
    out.Core.ApplyWithin = times->duration("apply_within", out.Core.ApplyWithin,
                                           100ms, MaxDuration);
    out.Core.MaxFlowAge =
        times->duration("max_flow_age", out.Core.MaxFlowAge, 1s, MaxDuration);
    out.Grace = times->duration("grace", out.Grace, 100ms, MaxDuration);

    Section balancing(top, "balancing", file, findings);
    for (const auto &[name, at] : balancing->texts("contracts"))
      out.Contracts.push_back(name);
    token::BalancingOptions &options = out.Balancing;
    options.OutlierDetection = balancing->flag("outlier_detection", false);
    options.PriorityAdmission = balancing->flag("priority_admission", false);
    options.OverloadReadiness = balancing->flag("overload_readiness", false);
    out.Core.Balancing = options;

    Section mechanisms(top, "mechanisms", file, findings);
    for (const token::MechanismName &it : token::MechanismNames)
      out.Core.Enabled.*it.Switch = mechanisms->flag(it.Key, true);
    top.finish();
  }
  out.Core.Zone = out.Zone;
  out.Core.Self = InstanceId{out.Ip};
  out.Core.Seed = hashBytes(out.Name);
  out.Core.Servers.GoneRetention = out.Core.MaxFlowAge;
  out.Watcher.PollInterval = std::clamp<Duration>(
      out.Core.ApplyWithin / PollsPerApply, PollIntervalMin, PollIntervalMax);
  out.Watcher.FirstListWithin = out.Core.ApplyWithin / 2;
  out.Core.UpdateGap = std::chrono::duration_cast<Duration>(
      out.Watcher.PollInterval * PollsInGap);
  if (out.Grace > 2 * GraceReserve)
    out.StopDelay = std::min(out.StopDelay, out.Grace - GraceReserve);
  else
    out.StopDelay = std::min(out.StopDelay, out.Grace / 2);
  if (!findings.empty())
    return std::nullopt;
  return out;
}

} // namespace chicory::edge
