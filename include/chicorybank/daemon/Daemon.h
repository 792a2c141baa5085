// The daemon: a core with the threads around it.

#ifndef CHICORYBANK_DAEMON_DAEMON_H
#define CHICORYBANK_DAEMON_DAEMON_H

#include "chicorybank/daemon/Settings.h"

#include <atomic>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace chicory {

/// Runs one instance.
///
///   Daemon daemon(settings);
///   if (auto started = daemon.start(); !started)
///     fail(started.error());
///   daemon.run(stopRequested);
class Daemon {
public:
  explicit Daemon(Settings settings);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Binds all addresses and starts the threads. Fails with a text for
  /// operators.
  tl::expected<void, std::string> start();
  /// Runs the core on the calling thread. When `stopRequested` becomes true, a
  /// planned stop begins; returns when it is complete.
  void run(const std::atomic<bool> &stopRequested);

private:
  class Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace chicory

#endif
