#include "RegistryWriter.h"

#include <algorithm>
#include <utility>

namespace chicory::edge {

namespace {

// A write that takes longer fails and is retried. The registry usually answers
// in about 4 ms.
constexpr Duration CallTimeout = std::chrono::milliseconds(1500);

} // namespace

RegistryWriter::RegistryWriter(EventLoop &loop, Log &log,
                               const EdgeSettings &settings,
                               const RegistryDialect &dialect,
                               const RegistryCache &cache)
    : Logger(log), Settings(settings),
      Registrar(dialect,
                {.Id = InstanceId{settings.Ip},
                 .Zone = settings.Zone,
                 .PeerAddress = settings.Peers},
                {}),
      HistoryWriter(dialect), Cache(cache), Directory(dialect),
      Dialect(dialect), Client(loop, settings.Ip, settings.Registry, dialect) {}

void RegistryWriter::run(bool mayWriteShared, Duration stalenessLimit,
                         Time now) {
  Client.expire(now);
  if (Client.busy())
    return;
  if (Leaving)
    return writeLeaving();
  if (auto call = Registrar.next(now))
    return writeOwnRecord(std::move(*call));
  if (!mayWriteShared)
    return;
  if (Settings.Core.Enabled.RouteHistory)
    if (auto call = HistoryWriter.next(stalenessLimit, now))
      return writeRouteHistory(std::move(*call));
  if (auto call = Directory.next(Cache, stalenessLimit, now))
    writeDirectory(std::move(*call));
}

Time RegistryWriter::nextAt(bool mayWriteShared,
                            Duration stalenessLimit) const {
  if (Client.busy())
    return Client.deadline();
  if (Leaving)
    return LeaveFailed ? Time{} : Time::max();
  Time out = Registrar.nextAt();
  if (!mayWriteShared)
    return out;
  if (Settings.Core.Enabled.RouteHistory)
    out = std::min(out, HistoryWriter.nextAt(stalenessLimit));
  return std::min(out, Directory.nextAt(stalenessLimit));
}

void RegistryWriter::writeOwnRecord(RegistryCall call) {
  Client.call(std::move(call), CallTimeout,
              [this](const HttpClient::Result &it) {
                RegistryAnswer answer = toRegistryAnswer(it, Dialect);
                Registrar.answered(answer, steadyNow());
                updateGeneration(answer);
              });
}

void RegistryWriter::writeRouteHistory(RegistryCall call) {
  Client.call(
      std::move(call), CallTimeout, [this](const HttpClient::Result &it) {
        RegistryAnswer answer = toRegistryAnswer(it, Dialect);
        HistoryWriter.answered(answer, steadyNow());
        updateGeneration(answer);
        Logger.write(LogLine("routes_recorded").with("status", answer.Status));
      });
}

void RegistryWriter::writeDirectory(RegistryCall call) {
  Client.call(std::move(call), CallTimeout,
              [this](const HttpClient::Result &it) {
                RegistryAnswer answer = toRegistryAnswer(it, Dialect);
                Directory.answered(answer, steadyNow());
                updateGeneration(answer);
                Logger.write(
                    LogLine("directory_written").with("status", answer.Status));
              });
}

void RegistryWriter::learnRoutes(const token::RouteSet *routes,
                                 const RouteHistoryParts &stored, Time now) {
  if (routes)
    HistoryWriter.learn(*routes, now);
  HistoryWriter.learn(stored, Settings.Core.MaxFlowAge, now);
}

void RegistryWriter::updateGeneration(const RegistryAnswer &answer) {
  if (answer.Generation <= KnownGeneration)
    return;
  NewGeneration = answer.Generation;
  learnGeneration(answer.Generation);
}

void RegistryWriter::learnGeneration(std::optional<Generation> generation) {
  if (KnownGeneration && KnownGeneration != generation)
    Registrar.registryRestored();
  KnownGeneration = generation;
}

void RegistryWriter::leave(std::function<void()> failed) {
  Leaving = true;
  LeaveFailed = std::move(failed);
}

void RegistryWriter::writeLeaving() {
  if (!LeaveFailed)
    return;
  auto failed = std::exchange(LeaveFailed, nullptr);
  std::optional<RegistryCall> call = Registrar.leave();
  if (!call)
    return;
  Client.call(std::move(*call), CallTimeout,
              [failed](const HttpClient::Result &it) {
                if (!it)
                  failed();
              });
}

} // namespace chicory::edge
