// The control thread: keeps the news current, answers the routers' probes,
// serves news and metrics to others and writes the log.

#ifndef CHICORYBANK_LIB_EDGE_CONTROLWORKER_H
#define CHICORYBANK_LIB_EDGE_CONTROLWORKER_H

#include "Http.h"
#include "Log.h"
#include "RegistrySync.h"
#include "SettingsFile.h"
#include "SharedState.h"

#include "chicorybank/edge/Settings.h"

namespace chicory::edge {

/// Runs on a thread of its own until the stop is complete.
class ControlWorker {
public:
  ControlWorker(EdgeSettings &settings, SettingsFile file,
                const RegistryDialect &dialect, FileDescriptor ready,
                FileDescriptor peerSocket, FileDescriptor peerListener,
                SharedState &shared);

  /// Returns after a planned stop. `stopAsked` and `reloadAsked` are set by
  /// signal handlers, which wake the loop through `wakeup`.
  void run(const std::atomic<bool> &stopAsked, std::atomic<bool> &reloadAsked);
  const Wakeup &wakeup() const { return Signals; }
  Log &log() { return Lines; }

private:
  void writeDecisions();
  HttpResponse answerPeer(const std::string &target);
  HttpResponse answerReady() const;
  Time nextAt(Time now) const;
  void noticePause(Time before, Time now);
  void reload(const char *cause);
  void writeStatus();

  /// Changed by this thread only; the packet thread has its own copy.
  EdgeSettings &Settings;
  SettingsFile File;
  SharedState &Common;
  EventLoop Events;
  Wakeup Signals;
  Log Lines;
  RegistrySync News;
  HttpServer Ready;
  HttpServer Peers;
  Time ExpireAt;
  Time LookAt;
  Time StatusAt;
  Time StopAt = Time::max();
  bool Stopping = false;
};

} // namespace chicory::edge

#endif
