// The settings of `chicoryd`, read from a TOML file. All findings in the file
// are reported at once.
//
// docs/SETTINGS.md lists every key; samples/chicoryd.toml is an example.

#ifndef CHICORYBANK_DAEMON_SETTINGS_H
#define CHICORYBANK_DAEMON_SETTINGS_H

#include "chicorybank/base/Findings.h"
#include "chicorybank/core/Core.h"
#include "chicorybank/store/KeyValue.h"

#include <QByteArray>
#include <optional>
#include <string>
#include <vector>

namespace chicory {

/// All settings of one instance.
struct Settings {
  /// This instance, with the addresses at which peers reach it.
  InstanceInfo Self;
  /// The addresses to listen on. They differ from those of `Self` only where
  /// peers reach this instance through a relay.
  Address ListenPackets;
  Address ListenPeers;
  Address Fabric;
  QByteArray PeerSecret;
  std::vector<InstanceInfo> Seeds;
  PlatformClientOptions Platform;
  /// The poll interval of an instance that does not watch the platform.
  Duration PlatformPoll = std::chrono::seconds(30);
  /// Bytes of control traffic that this instance may send per second.
  uint64_t ControlBytesPerSecond = 4000;
  std::string LogLevel = "info";
  /// Times and limits of the core. The daemon sets `Self`, `Incarnation`,
  /// `Seed` and `EpochMs`.
  CoreOptions Core;
};

/// Reads and checks settings. Adds every problem to `findings`, and returns
/// nothing if there is one.
///
///   Findings findings;
///   auto settings = readSettings(text, "chicoryd.toml", findings);
std::optional<Settings> readSettings(std::string_view text,
                                     const std::string &file,
                                     Findings &findings);

} // namespace chicory

#endif
