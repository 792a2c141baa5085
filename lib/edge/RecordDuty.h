// The control thread's writes to the registry: this instance's own record and
// its share in the record of routes. One call is under way at a time.

#ifndef CHICORYBANK_LIB_EDGE_RECORDDUTY_H
#define CHICORYBANK_LIB_EDGE_RECORDDUTY_H

#include "Http.h"
#include "Log.h"

#include "chicorybank/edge/Announcer.h"
#include "chicorybank/edge/RouteRecorder.h"
#include "chicorybank/edge/Settings.h"

namespace chicory::edge {

/// Runs inside the control thread's loop.
class RecordDuty {
public:
  RecordDuty(Loop &loop, Log &log, const EdgeSettings &settings,
             const RegistryDialect &dialect);

  /// Ends a call whose time is over, and starts one that is due. Serving comes
  /// first: call it only once everything was read. `away`: the registry does
  /// not answer; `patience`: of this instance with news.
  void run(bool away, Duration patience, Time now);
  /// When `run` may have something to do.
  Time nextAt(bool away, Duration patience) const;

  /// The routes and their record as they were read last.
  void learn(const token::RouteSet *routes, const RouteRecords &stored,
             Time now);
  /// The copy of the registry was renewed, with this instance's record or not.
  void seen(bool present, Time now) { Record.seen(present, now); }
  /// The record is to say that this instance leaves; nothing follows that.
  /// `failed` is called where the registry did not answer it.
  void leave(std::function<void()> failed);
  const RouteRecorderStats &recorderStats() const { return Recorder.stats(); }

private:
  bool mayRecord(bool away) const;
  void announce(RegistryCall call);
  void recordRoutes(RegistryCall call);
  void sayThatItLeaves();

  Log &Lines;
  const EdgeSettings &Settings;
  Announcer Record;
  RouteRecorder Recorder;
  HttpClient Calls;
  /// Set once the instance leaves, until that is told.
  std::function<void()> LeaveFailed;
  bool Leaving = false;
};

} // namespace chicory::edge

#endif
