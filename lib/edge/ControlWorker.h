// The control thread: keeps the registry cache current, answers the routers'
// readiness probes, serves registry updates and metrics to other processes and
// writes the log.

#ifndef CHICORYBANK_LIB_EDGE_CONTROLWORKER_H
#define CHICORYBANK_LIB_EDGE_CONTROLWORKER_H

#include "Http.h"
#include "Log.h"
#include "RegistrySync.h"
#include "SettingsFile.h"
#include "SharedState.h"

#include "chicorybank/edge/Settings.h"

namespace chicory::edge {

/// Runs an event loop on its own thread until the planned stop is complete.
class ControlWorker {
public:
  ControlWorker(EdgeSettings &settings, SettingsFile file,
                const RegistryDialect &dialect, FileDescriptor ready,
                FileDescriptor peerSocket, FileDescriptor peerListener,
                SharedState &shared);

  /// Returns after a planned stop. Signal handlers set `stopRequested` and
  /// `reloadRequested`, and wake the loop through `wakeup`.
  void run(const std::atomic<bool> &stopRequested,
           std::atomic<bool> &reloadRequested);
  const Wakeup &wakeup() const { return SignalWakeup; }
  Log &log() { return Logger; }

private:
  void logDecisions();
  void logOverload();
  HttpResponse answerPeer(const std::string &target);
  HttpResponse answerReady() const;
  Time nextWakeup(Time now) const;
  void checkSuspension(Time expected, Time now);
  void reload(const char *cause);
  void logStatus();

  /// Only this thread changes them; the packet thread has its own copy.
  EdgeSettings &Settings;
  SettingsFile File;
  SharedState &State;
  EventLoop Events;
  Wakeup SignalWakeup;
  Log Logger;
  RegistrySync Sync;
  HttpServer Ready;
  HttpServer PeerServer;
  Time IdleCheckAt;
  Time FileCheckAt;
  Time StatusAt;
  Time StopAt = Time::max();
  bool Stopping = false;
  /// The state of `SharedState::Overloaded` that was logged last.
  bool LoggedOverload = false;
};

} // namespace chicory::edge

#endif
