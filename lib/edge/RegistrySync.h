// The control thread's work with news: asks the registry, keeps this
// instance's record there, and exchanges news with other instances.

#ifndef CHICORYBANK_LIB_EDGE_REGISTRYSYNC_H
#define CHICORYBANK_LIB_EDGE_REGISTRYSYNC_H

#include "Log.h"
#include "PeerPages.h"
#include "RegistryClient.h"
#include "RegistryWriter.h"
#include "SharedState.h"

#include "chicorybank/edge/FragmentAssembler.h"
#include "chicorybank/edge/OutageGossip.h"
#include "chicorybank/edge/PropagationTree.h"
#include "chicorybank/edge/Settings.h"
#include "chicorybank/edge/UnreachableReportFilter.h"

#include <deque>

namespace chicory::edge {

/// Counters of the messages between instances.
struct PeerMessageStats {
  uint64_t Messages = 0;
  uint64_t Bytes = 0;
  uint64_t Malformed = 0;
  uint64_t UnreachableReports = 0;
};

/// Runs inside the control thread's loop.
class RegistrySync {
public:
  RegistrySync(EventLoop &loop, Log &log, const EdgeSettings &settings,
               const RegistryDialect &dialect, FileDescriptor socket,
               SharedState &shared);

  /// Starts the calls that are due and ends those whose time is over.
  void run(Time now);
  Time nextAt() const;
  /// Answers another instance that reads news.
  HttpResponse answer(const std::string &target) {
    return Pages.answer(target);
  }
  /// The process stood still: pushes that wait in the socket are old.
  void handleSuspension(Time now);
  /// Passes changed bounds on to the packet thread.
  void updateBounds(const token::BoundsChanged &bounds);
  /// Takes this instance out of the others' order.
  void leave();
  const WatcherStats &stats() const { return Reader.stats(); }
  const RegistryWatcher &watcher() const { return Reader; }
  /// Calls to the registry, of whatever kind.
  RegistryCallCounts callCounts() const;
  const PeerMessageStats &peerStats() const { return Traffic; }
  const WriteStats &routeHistoryStats() const {
    return Records.routeHistoryStats();
  }

private:
  void callRegistry(Time now);
  void noteStart(CallKind kind, const HttpClient::Result &result);
  void learnRecord(Time now);
  void takeAnswer(const HttpClient::Result &result);
  void noteRestore(const Position &before, InstanceId from);
  void readPushes();
  void takePush(const UpdatePush &push, Time now);
  void takeFragment(Fragment fragment, Time now);
  void takeDoubt(const UnreachableReport &doubt, Time now);
  void shareDoubts(Time now);
  void sendDoubt(token::BackendId id, bool own);
  void pull(InstanceId from, bool whole);
  Address addressOf(InstanceId id) const;
  void pullSeed(InstanceId from);
  void takeSeed(const PageResult &read);
  void remindOthers(Time now);
  bool mayRemind() const;
  /// What is missing here is missing in the registry, and calls to it are not
  /// wasted.
  bool mayWrite() const {
    return Reader.complete() && !Away && Reader.generationIsCurrent();
  }
  void takePeers(Time now);
  void takePulled(const PageResult &read);
  /// `asked`: this instance got the news from the registry.
  void sendPush(bool asked, Time now);
  void send(const std::string &bytes, Address target);
  /// Passes news on to the packet thread. `from`: the instance that told it;
  /// none for the registry.
  void tell(std::vector<token::Event> news, InstanceId from, Time now);
  void noteDrain(const token::ZoneDrainLearned &drain, InstanceId from);
  void passNews();
  void noteRegistry(Time now);

  Log &Lines;
  const EdgeSettings &Settings;
  const RegistryDialect &Dialect;
  SharedState &Common;
  EventLoop &Events;
  FileDescriptor Socket;
  RegistryWatcher Reader;
  PropagationTree Spread;
  RegistryWriter Records;
  RegistryClient Registry;
  Time StartedAt = steadyNow();
  PeerPages Pages;
  std::deque<token::Event> Pending;
  /// The registered instances, and those that may be back.
  OutageGossip Others;
  /// Where the last push led to.
  Position PushedTo;
  /// As of when the last push was current.
  Time PushedAsOf;
  Time LateUntil;
  /// Routes or their record are newer than what the recorder has learned.
  bool RoutesChanged = false;
  bool Away = false;
  bool Leaving = false;
  PeerMessageStats Traffic;
  FragmentAssembler Fragments;
  UnreachableReportFilter Doubts;
  uint64_t MessagesSent = 0;
};

} // namespace chicory::edge

#endif
