#include "RegistryWriter.h"

#include <algorithm>
#include <utility>

namespace chicory::edge {

namespace {

// A write that takes longer is given up and made again: some 400 times what the
// registry takes as a rule.
constexpr Duration CallTimeout = std::chrono::milliseconds(1500);

} // namespace

RegistryWriter::RegistryWriter(EventLoop &loop, Log &log,
                               const EdgeSettings &settings,
                               const RegistryDialect &dialect,
                               const RegistryCache &copy)
    : Lines(log), Settings(settings), Record(dialect,
                                             {.Id = InstanceId{settings.Ip},
                                              .Zone = settings.Zone,
                                              .PeerAddress = settings.Peers},
                                             {}),
      Recorder(dialect), Copy(copy), Directory(dialect), Dialect(dialect),
      Calls(loop, settings.Ip, settings.Registry, dialect) {}

void RegistryWriter::run(bool mayWriteShared, Duration stalenessLimit,
                         Time now) {
  Calls.expire(now);
  if (Calls.busy())
    return;
  if (Leaving)
    return sayThatItLeaves();
  if (auto call = Record.next(now))
    return announce(std::move(*call));
  if (!mayWriteShared)
    return;
  if (Settings.Core.Enabled.RouteHistory)
    if (auto call = Recorder.next(stalenessLimit, now))
      return recordRoutes(std::move(*call));
  if (auto call = Directory.next(Copy, stalenessLimit, now))
    writeDirectory(std::move(*call));
}

Time RegistryWriter::nextAt(bool mayWriteShared,
                            Duration stalenessLimit) const {
  if (Calls.busy())
    return Calls.deadline();
  if (Leaving)
    return LeaveFailed ? Time{} : Time::max();
  Time out = Record.nextAt();
  if (!mayWriteShared)
    return out;
  if (Settings.Core.Enabled.RouteHistory)
    out = std::min(out, Recorder.nextAt(stalenessLimit));
  return std::min(out, Directory.nextAt(stalenessLimit));
}

void RegistryWriter::announce(RegistryCall call) {
  Calls.call(std::move(call), CallTimeout,
             [this](const HttpClient::Result &it) {
               RegistryAnswer answer = toRegistryAnswer(it, Dialect);
               Record.answered(answer, steadyNow());
               noteGeneration(answer);
             });
}

void RegistryWriter::recordRoutes(RegistryCall call) {
  Calls.call(
      std::move(call), CallTimeout, [this](const HttpClient::Result &it) {
        RegistryAnswer answer = toRegistryAnswer(it, Dialect);
        Recorder.answered(answer, steadyNow());
        noteGeneration(answer);
        Lines.write(LogLine("routes_recorded").with("status", answer.Status));
      });
}

void RegistryWriter::writeDirectory(RegistryCall call) {
  Calls.call(
      std::move(call), CallTimeout, [this](const HttpClient::Result &it) {
        RegistryAnswer answer = toRegistryAnswer(it, Dialect);
        Directory.answered(answer, steadyNow());
        noteGeneration(answer);
        Lines.write(LogLine("directory_written").with("status", answer.Status));
      });
}

void RegistryWriter::learnRoutes(const token::RouteSet *routes,
                                 const RouteHistoryParts &stored, Time now) {
  if (routes)
    Recorder.learn(*routes, now);
  Recorder.learn(stored, Settings.Core.MaxFlowAge, now);
}

void RegistryWriter::noteGeneration(const RegistryAnswer &answer) {
  if (answer.Generation <= Known)
    return;
  Told = answer.Generation;
  learnGeneration(answer.Generation);
}

void RegistryWriter::learnGeneration(std::optional<Generation> generation) {
  if (Known && Known != generation)
    Record.registryRestored();
  Known = generation;
}

void RegistryWriter::leave(std::function<void()> failed) {
  Leaving = true;
  LeaveFailed = std::move(failed);
}

void RegistryWriter::sayThatItLeaves() {
  if (!LeaveFailed)
    return;
  auto failed = std::exchange(LeaveFailed, nullptr);
  std::optional<RegistryCall> call = Record.leave();
  if (!call)
    return;
  Calls.call(std::move(*call), CallTimeout,
             [failed](const HttpClient::Result &it) {
               if (!it)
                 failed();
             });
}

} // namespace chicory::edge
