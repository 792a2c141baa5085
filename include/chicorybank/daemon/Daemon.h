// One instance: the core and the threads that do its input and output.

#ifndef CHICORYBANK_DAEMON_DAEMON_H
#define CHICORYBANK_DAEMON_DAEMON_H

#include "chicorybank/daemon/Settings.h"

#include <atomic>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace chicory {

/// Runs one instance of the load balancer.
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

  /// Binds all addresses and starts the threads. An error is a message for
  /// operators.
  tl::expected<void, std::string> start();
  /// Runs the core on the calling thread. Begins a planned stop when
  /// `stopRequested` becomes true, and returns when the stop is complete.
  void run(const std::atomic<bool> &stopRequested);

private:
  class Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace chicory

#endif
