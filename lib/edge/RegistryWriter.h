// The control thread's writes to the registry: this instance's own record, and
// its share of the writes of the route history and the directory. One call is
// in progress at a time.

#ifndef CHICORYBANK_LIB_EDGE_REGISTRYWRITER_H
#define CHICORYBANK_LIB_EDGE_REGISTRYWRITER_H

#include "Log.h"
#include "RegistryClient.h"

#include "chicorybank/edge/DirectoryWriter.h"
#include "chicorybank/edge/InstanceRegistrar.h"
#include "chicorybank/edge/RouteHistoryWriter.h"
#include "chicorybank/edge/Settings.h"

#include <utility>

namespace chicory::edge {

/// Runs in the control thread's event loop.
class RegistryWriter {
public:
  RegistryWriter(EventLoop &loop, Log &log, const EdgeSettings &settings,
                 const RegistryDialect &dialect, const RegistryCache &cache);

  /// Ends the call if its timeout has passed, and starts the next one that is
  /// due. Serving has priority: call it only once packets can be forwarded.
  /// `mayWriteShared`: this instance has read everything and the registry
  /// answers, so it may write shared items. `stalenessLimit`: how old this
  /// instance's updates may become before it asks the registry itself.
  void run(bool mayWriteShared, Duration stalenessLimit, Time now);
  /// Returns when `run` may have something to do.
  Time nextAt(bool mayWriteShared, Duration stalenessLimit) const;

  /// Takes the routes and their stored history as last read.
  void learnRoutes(const token::RouteSet *routes,
                   const RouteHistoryParts &stored, Time now);
  /// Takes this instance's record in the registry cache, or null if it is
  /// absent. `asOf`: the time as of which the cache is current.
  void learnOwnRecord(const PeerRecord *own, Time asOf) {
    Registrar.checkRecord(own, asOf);
    Registrar.confirmTakeOver(Cache, asOf);
  }
  void learnDirectory(const DirectorySummary &stored, Time now) {
    Directory.learn(Cache, stored, now);
  }
  /// Marks this instance as leaving in its record, which is the last write.
  /// Calls `failed` if the registry does not answer.
  void leave(std::function<void()> failed);
  /// Takes the registry's generation, as read with updates.
  void learnGeneration(std::optional<Generation> generation);
  /// Returns a newer generation that a response to a write had, only once.
  std::optional<Generation> takeNewGeneration() {
    return std::exchange(NewGeneration, {});
  }
  const RegistryCallCounts &callCounts() const { return Client.counts(); }
  const WriteStats &routeHistoryStats() const { return HistoryWriter.stats(); }

private:
  void writeOwnRecord(RegistryCall call);
  void writeRouteHistory(RegistryCall call);
  void writeDirectory(RegistryCall call);
  void writeLeaving();
  void updateGeneration(const RegistryAnswer &answer);

  Log &Logger;
  const EdgeSettings &Settings;
  InstanceRegistrar Registrar;
  RouteHistoryWriter HistoryWriter;
  const RegistryCache &Cache;
  DirectoryWriter Directory;
  const RegistryDialect &Dialect;
  std::optional<Generation> KnownGeneration;
  std::optional<Generation> NewGeneration;
  RegistryClient Client;
  /// Set from `leave` until the last write starts.
  std::function<void()> LeaveFailed;
  bool Leaving = false;
};

} // namespace chicory::edge

#endif
