// Keeps the registry cache of an instance current: reads the registry,
// maintains this instance's record there, and exchanges registry updates with
// other instances.

#ifndef CHICORYBANK_LIB_EDGE_REGISTRYSYNC_H
#define CHICORYBANK_LIB_EDGE_REGISTRYSYNC_H

#include "Log.h"
#include "PeerPages.h"
#include "RegistryClient.h"
#include "RegistryWriter.h"
#include "SharedState.h"

#include "chicorybank/edge/FragmentAssembler.h"
#include "chicorybank/edge/HealthReportLimiter.h"
#include "chicorybank/edge/OutageGossip.h"
#include "chicorybank/edge/PropagationTree.h"
#include "chicorybank/edge/Settings.h"
#include "chicorybank/edge/UnreachableReportFilter.h"

#include <deque>

namespace chicory::edge {

/// Counters of the datagrams between instances: `Messages`, `Bytes` and
/// `HealthReportsSent` of sent ones, the others of received ones.
struct PeerMessageStats {
  uint64_t Messages = 0;
  uint64_t Bytes = 0;
  uint64_t Malformed = 0;
  uint64_t UnreachableReports = 0;
  uint64_t HealthReportsSent = 0;
  uint64_t HealthReportsReceived = 0;
  /// Received reports that `HealthReportLimiter` dropped.
  uint64_t HealthReportsOverLimit = 0;
};

/// Runs in the control thread's event loop.
class RegistrySync {
public:
  RegistrySync(EventLoop &loop, Log &log, const EdgeSettings &settings,
               const RegistryDialect &dialect, FileDescriptor socket,
               SharedState &shared);

  /// Starts the calls that are due and ends those whose timeout has passed.
  void run(Time now);
  Time nextAt() const;
  /// Answers another instance that reads registry updates.
  HttpResponse answer(const std::string &target) {
    return Pages.answer(target);
  }
  /// Handles a suspension of the process: pushes that wait in the socket are
  /// stale.
  void handleSuspension(Time now);
  /// Passes changed bounds to the packet thread.
  void updateBounds(const token::BoundsChanged &bounds);
  /// Marks this instance as leaving, so that others remove it from their order
  /// of instances.
  void leave();
  const WatcherStats &stats() const { return Watcher.stats(); }
  const RegistryWatcher &watcher() const { return Watcher; }
  /// Returns the counts of all calls to the registry, by kind.
  RegistryCallCounts callCounts() const;
  const PeerMessageStats &peerStats() const { return Traffic; }
  const WriteStats &routeHistoryStats() const {
    return Writer.routeHistoryStats();
  }

private:
  void callRegistry(Time now);
  void logStartupCall(CallKind kind, const HttpClient::Result &result);
  void updateRouteHistory(Time now);
  void handleResponse(const HttpClient::Result &result);
  void logRestore(const Position &before, InstanceId from);
  void receiveMessages();
  void handlePush(const UpdatePush &push, Time now);
  void handleFragment(Fragment fragment, Time now);
  void handleUnreachableReport(const UnreachableReport &report, Time now);
  void shareUnreachableBackends(Time now);
  void sendUnreachableReport(token::BackendId id, bool isOrigin);
  void sendHealthReports();
  void handleHealthReport(const HealthReport &report, Time now);
  void pullUpdates(InstanceId from, bool whole);
  Address addressOf(InstanceId id) const;
  void pullSeed(InstanceId from);
  void handleSeed(const PageResult &read);
  void sendGossip(Time now);
  bool mayGossip() const;
  void announceList(Time now);
  bool mayAnnounceList() const;
  /// Whether this instance may write shared items. Its cache is complete, so an
  /// item that is missing here is missing in the registry, and the registry
  /// answers, so calls are not wasted.
  bool mayWriteShared() const {
    return Watcher.complete() && !Stale && Watcher.generationIsCurrent();
  }
  void updatePeers(Time now);
  void handlePulledPage(const PageResult &read);
  /// `fromRegistry`: this instance read the updates from the registry.
  void sendPush(bool fromRegistry, Time now);
  void send(const std::string &bytes, Address target);
  /// Passes updates to the packet thread. `from`: the instance that sent them;
  /// the default value for the registry.
  void applyUpdates(std::vector<token::Event> updates, InstanceId from,
                    Time now);
  void logZoneDrain(const token::ZoneDrainLearned &drain, InstanceId from);
  void logBackendDrains(const token::BackendsLearned &servers, InstanceId from);
  void logFirstCurrent(InstanceId from, Time now);
  void forwardPending();
  void updateStaleness(Time now);

  Log &Logger;
  const EdgeSettings &Settings;
  const RegistryDialect &Dialect;
  SharedState &State;
  EventLoop &Events;
  FileDescriptor Socket;
  RegistryWatcher Watcher;
  PropagationTree Tree;
  RegistryWriter Writer;
  RegistryClient Registry;
  Time StartedAt = steadyNow();
  /// When this instance next announces its list.
  Time AnnounceAt;
  PeerPages Pages;
  std::deque<token::Event> Pending;
  /// The registered instances, and former ones that may be back.
  OutageGossip Gossip;
  /// The position up to which the last push had all changes.
  Position PushedPosition;
  /// The time as of which the last push was current.
  Time PushedAsOf;
  bool FirstCurrentLogged = false;
  /// Until when received pushes may be from before a suspension.
  Time StalePushesUntil;
  /// Routes or their stored history have changed since the last
  /// `updateRouteHistory`.
  bool RoutesChanged = false;
  /// The registry counts as unavailable: the updates are stale, or the write of
  /// `leave` failed.
  bool Stale = false;
  bool Leaving = false;
  PeerMessageStats Traffic;
  FragmentAssembler Fragments;
  UnreachableReportFilter ReportFilter;
  HealthReportLimiter HealthLimiter;
  uint64_t MessagesSent = 0;
};

} // namespace chicory::edge

#endif
