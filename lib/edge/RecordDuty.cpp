#include "RecordDuty.h"

#include <algorithm>
#include <utility>

namespace chicory::edge {

namespace {

// A write that takes longer is given up and made again: some 400 times what the
// registry takes as a rule.
constexpr Duration CallTimeout = std::chrono::milliseconds(1500);

} // namespace

RecordDuty::RecordDuty(Loop &loop, Log &log, const EdgeSettings &settings,
                       const RegistryDialect &dialect,
                       const RegistryCache &copy)
    : Lines(log), Settings(settings), Record(dialect,
                                             {.Id = InstanceId{settings.Ip},
                                              .Zone = settings.Zone,
                                              .PeerAddress = settings.Peers},
                                             {}),
      Recorder(dialect), Copy(copy), Directory(dialect), Dialect(dialect),
      Calls(loop, settings.Ip, settings.Registry, dialect) {}

void RecordDuty::run(bool current, Duration patience, Time now) {
  Calls.expire(now);
  if (Calls.busy())
    return;
  if (Leaving)
    return sayThatItLeaves();
  if (auto call = Record.next(now))
    return announce(std::move(*call));
  if (!current)
    return;
  if (Settings.Core.Use.RouteRecord)
    if (auto call = Recorder.next(patience, now))
      return recordRoutes(std::move(*call));
  if (auto call = Directory.next(Copy, patience, now))
    writeDirectory(std::move(*call));
}

Time RecordDuty::nextAt(bool current, Duration patience) const {
  if (Calls.busy())
    return Calls.deadline();
  if (Leaving)
    return LeaveFailed ? Time{} : Time::max();
  Time out = Record.nextAt();
  if (!current)
    return out;
  if (Settings.Core.Use.RouteRecord)
    out = std::min(out, Recorder.nextAt(patience));
  return std::min(out, Directory.nextAt(patience));
}

void RecordDuty::announce(RegistryCall call) {
  Calls.call(std::move(call), CallTimeout,
             [this](const HttpClient::Result &it) {
               RegistryAnswer answer = newsAnswer(it, Dialect);
               Record.answered(answer, steadyNow());
               noteGeneration(answer);
             });
}

void RecordDuty::recordRoutes(RegistryCall call) {
  Calls.call(
      std::move(call), CallTimeout, [this](const HttpClient::Result &it) {
        RegistryAnswer answer = newsAnswer(it, Dialect);
        Recorder.answered(answer, steadyNow());
        noteGeneration(answer);
        Lines.write(LogLine("routes_recorded").with("status", answer.Status));
      });
}

void RecordDuty::writeDirectory(RegistryCall call) {
  Calls.call(
      std::move(call), CallTimeout, [this](const HttpClient::Result &it) {
        RegistryAnswer answer = newsAnswer(it, Dialect);
        Directory.answered(answer, steadyNow());
        noteGeneration(answer);
        Lines.write(LogLine("directory_written").with("status", answer.Status));
      });
}

void RecordDuty::learn(const token::RouteSet *routes,
                       const RouteRecords &stored, Time now) {
  if (routes)
    Recorder.learn(*routes, now);
  Recorder.learn(stored, Settings.Core.MaxFlowAge, now);
}

void RecordDuty::noteGeneration(const RegistryAnswer &answer) {
  if (answer.Generation <= Known)
    return;
  Told = answer.Generation;
  learnGeneration(answer.Generation);
}

void RecordDuty::learnGeneration(std::optional<Generation> generation) {
  if (Known && Known != generation)
    Record.registryRestored();
  Known = generation;
}

void RecordDuty::leave(std::function<void()> failed) {
  Leaving = true;
  LeaveFailed = std::move(failed);
}

void RecordDuty::sayThatItLeaves() {
  if (!LeaveFailed)
    return;
  auto failed = std::exchange(LeaveFailed, nullptr);
  std::optional<RegistryCall> call = Record.end();
  if (!call)
    return;
  Calls.call(std::move(*call), CallTimeout,
             [failed](const HttpClient::Result &it) {
               if (!it)
                 failed();
             });
}

} // namespace chicory::edge
