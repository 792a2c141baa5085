// The settings of an edge instance, in TOML; docs/SETTINGS.md lists them.

#ifndef CHICORYBANK_EDGE_SETTINGS_H
#define CHICORYBANK_EDGE_SETTINGS_H

#include "chicorybank/base/Findings.h"
#include "chicorybank/edge/RegistryWatcher.h"
#include "chicorybank/token/Core.h"

#include <optional>
#include <string>
#include <vector>

namespace chicory::edge {

/// Everything that an edge instance is told at its start.
struct EdgeSettings {
  std::string Name;
  std::string Zone;
  uint32_t Ip = 0;
  /// Where routers send callers' packets.
  Address Packets;
  /// Where routers ask whether this instance is ready.
  Address Ready;
  /// For other instances: pushed news (UDP), news to be read and metrics (HTTP
  /// over TCP, same port).
  Address Peers;
  Address Registry;
  WatcherTimes Watcher;
  token::CoreOptions Core;
  /// From the order to stop until the end. Routers ask twice a second and turn
  /// away after two refusals; the rest is for packets under way.
  Duration StopDelay = std::chrono::milliseconds(2500);
  /// The process is killed this long after the order to stop.
  Duration Grace = std::chrono::seconds(6);
};

/// What a changed file means for a running instance.
struct SettingsChange {
  /// Keys whose new values are used from now on.
  std::vector<std::string> Applied;
  /// Keys whose new values are used after a restart.
  std::vector<std::string> AfterRestart;
};

/// Compares the settings in use with new ones, and takes over what a running
/// instance can take over.
SettingsChange applyChanges(EdgeSettings &inUse, const EdgeSettings &fresh);

/// The mechanisms that are off. In production there are none.
std::vector<std::string> disabledMechanisms(const EdgeSettings &settings);

/// Reads settings. Reports every fault with its place.
std::optional<EdgeSettings> readEdgeSettings(std::string_view text,
                                             const std::string &file,
                                             Findings &findings);

} // namespace chicory::edge

#endif
