// The control thread's writes to the registry: this instance's own record, and
// its share in the record of routes and in the directory. One call is under way
// at a time.

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

/// Runs inside the control thread's loop.
class RegistryWriter {
public:
  RegistryWriter(EventLoop &loop, Log &log, const EdgeSettings &settings,
                 const RegistryDialect &dialect, const RegistryCache &copy);

  /// Ends a call whose time is over, and starts one that is due. Serving comes
  /// first: call it only once packets can be carried. `current`: everything was
  /// read, and the registry answers, so this instance may write for all;
  /// `stalenessLimit`: of this instance with news.
  void run(bool mayWriteShared, Duration stalenessLimit, Time now);
  /// When `run` may have something to do.
  Time nextAt(bool mayWriteShared, Duration stalenessLimit) const;

  /// The routes and their record as they were read last.
  void learnRoutes(const token::RouteSet *routes,
                   const RouteHistoryParts &stored, Time now);
  /// The copy of the registry, as of some time, has this record of this
  /// instance, or none.
  void learnOwnRecord(const PeerRecord *own, Time asOf) {
    Record.checkRecord(own, asOf);
  }
  void learnDirectory(const DirectorySummary &stored, Time now) {
    Directory.learn(Copy, stored, now);
  }
  /// The record is to say that this instance leaves; nothing follows that.
  /// `failed` is called where the registry did not answer it.
  void leave(std::function<void()> failed);
  /// The registry is in this generation, as its news tells.
  void learnGeneration(std::optional<Generation> generation);
  /// A later generation that an answer to a call of this duty has told, once.
  std::optional<Generation> takeNewGeneration() {
    return std::exchange(Told, {});
  }
  const RegistryCallCounts &callCounts() const { return Calls.counts(); }
  const WriteStats &routeHistoryStats() const { return Recorder.stats(); }

private:
  void announce(RegistryCall call);
  void recordRoutes(RegistryCall call);
  void writeDirectory(RegistryCall call);
  void sayThatItLeaves();
  void noteGeneration(const RegistryAnswer &answer);

  Log &Lines;
  const EdgeSettings &Settings;
  InstanceRegistrar Record;
  RouteHistoryWriter Recorder;
  const RegistryCache &Copy;
  DirectoryWriter Directory;
  const RegistryDialect &Dialect;
  std::optional<Generation> Known;
  std::optional<Generation> Told;
  RegistryClient Calls;
  /// Set once the instance leaves, until that is told.
  std::function<void()> LeaveFailed;
  bool Leaving = false;
};

} // namespace chicory::edge

#endif
