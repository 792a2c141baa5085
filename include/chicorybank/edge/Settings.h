// The settings of an edge instance, read from TOML; docs/SETTINGS.md lists
// them.

#ifndef CHICORYBANK_EDGE_SETTINGS_H
#define CHICORYBANK_EDGE_SETTINGS_H

#include "chicorybank/base/Findings.h"
#include "chicorybank/edge/RegistryWatcher.h"
#include "chicorybank/token/Core.h"

#include <optional>
#include <string>
#include <vector>

namespace chicory::edge {

struct EdgeSettings {
  std::string Name;
  std::string Zone;
  uint32_t Ip = 0;
  /// Receives callers' packets from the routers.
  Address Packets;
  /// Answers the routers' readiness probes.
  Address Ready;
  /// Serves other instances: receives pushed registry updates over UDP, and
  /// answers requests for updates and metrics with HTTP on the same TCP port.
  Address Peers;
  Address Registry;
  WatcherTimes Watcher;
  token::CoreOptions Core;
  /// The flags of the section `balancing`. `Core.Balancing` has, in addition,
  /// what the contracts ask for.
  token::BalancingOptions Balancing;
  /// The names of the deployment's contracts. The adapter to the platform knows
  /// which parts of `Core.Balancing` they ask for.
  std::vector<std::string> Contracts;
  /// Time from the stop signal to the end of serving. Routers probe twice a
  /// second and stop sending new packets after two refusals; the rest is for
  /// packets in flight.
  Duration StopDelay = std::chrono::milliseconds(2500);
  /// The process is killed this long after the stop signal.
  Duration Grace = std::chrono::seconds(6);
};

/// The changed settings, by when they take effect.
struct SettingsChange {
  /// Keys whose new values are in use.
  std::vector<std::string> Applied;
  /// Keys whose new values need a restart.
  std::vector<std::string> AfterRestart;
};

/// Compares the settings in use with new ones, and copies those that can change
/// without a restart to `inUse`.
SettingsChange applyChanges(EdgeSettings &inUse, const EdgeSettings &fresh);

/// Returns the keys of the disabled mechanisms. Production disables none.
std::vector<std::string> disabledMechanisms(const EdgeSettings &settings);

/// Parses settings. Adds every error, with its position, to `findings`.
std::optional<EdgeSettings> readEdgeSettings(std::string_view text,
                                             const std::string &file,
                                             Findings &findings);

} // namespace chicory::edge

#endif
