#include "ControlWorker.h"

#include "Metrics.h"

#include <unistd.h>

namespace chicory::edge {

namespace {

// The maximum delay of log lines. Waking this thread for each line would cost
// more.
constexpr Duration LogInterval = std::chrono::milliseconds(250);
// The interval of status lines. It limits how much is missing from the log when
// the process is killed, at a negligible cost.
constexpr Duration StatusInterval = std::chrono::seconds(10);
// How often the settings file is checked for changes.
constexpr Duration FileCheckInterval = std::chrono::seconds(1);
// A wait that takes this much longer than requested, by the clock that runs
// during suspensions, means that the process was suspended.
constexpr Duration SuspensionThreshold = std::chrono::milliseconds(400);

std::string namesOf(const token::DrainedZones &zones) {
  std::string out;
  for (const auto &[zone, since] : zones)
    out += (out.empty() ? "" : ",") + zone;
  return out;
}

} // namespace

ControlWorker::ControlWorker(EdgeSettings &settings, SettingsFile file,
                             const RegistryDialect &dialect,
                             FileDescriptor ready, FileDescriptor peerSocket,
                             FileDescriptor peerListener, SharedState &shared)
    : Settings(settings), File(std::move(file)), State(shared),
      Logger(STDOUT_FILENO, settings.Name),
      Sync(Events, Logger, settings, dialect, std::move(peerSocket), shared),
      Ready(Events, std::move(ready),
            [this](const std::string &) { return answerReady(); }),
      PeerServer(Events, std::move(peerListener),
                 [this](const std::string &it) { return answerPeer(it); }) {
  SignalWakeup.attach(Events);
  State.ControlWakeup.attach(Events);
}

HttpResponse ControlWorker::answerReady() const {
  bool ready = State.ReadyToServe && !Stopping && !State.Overloaded;
  return {.Status = ready ? HttpOk : HttpUnavailable,
          .ContentType = "text/plain"};
}

HttpResponse ControlWorker::answerPeer(const std::string &target) {
  if (target == "/metrics")
    return metricsResponse(State, Sync);
  return Sync.answer(target);
}

void ControlWorker::run(const std::atomic<bool> &stopRequested,
                        std::atomic<bool> &reloadRequested) {
  Time now = steadyNow();
  while (now < StopAt) {
    Sync.run(now);
    Time before = bootTimeNow();
    Duration wait = std::max(nextWakeup(now) - now, Duration::zero());
    Events.wait(wait);
    checkSuspension(before + wait, bootTimeNow());
    now = steadyNow();
    logDecisions();
    logOverload();
    if (now >= IdleCheckAt) {
      IdleCheckAt = now + LogInterval;
      Ready.closeIdleConnections(now);
      PeerServer.closeIdleConnections(now);
    }
    if (now >= StatusAt) {
      StatusAt = now + StatusInterval;
      logStatus();
    }
    if (reloadRequested.exchange(false)) {
      File.changed();
      reload("signal");
    } else if (now >= FileCheckAt) {
      FileCheckAt = now + FileCheckInterval;
      if (File.changed())
        reload("file");
    }
    if (stopRequested && !Stopping) {
      Stopping = true;
      State.Stopping = true;
      State.PacketWakeup.wake();
      StopAt = now + Settings.StopDelay;
      Sync.leave();
      Logger.write(LogLine("stopping"));
      logStatus();
    }
  }
  logDecisions();
}

/// Logs the main statistics, for operators who have logs but no metrics.
void ControlWorker::logStatus() {
  EdgeStats stats = State.stats();
  const WatcherStats &watcher = Sync.stats();
  RegistryCallCounts calls = Sync.callCounts();
  constexpr double MsPerSecond = 1000;
  Logger.write(
      LogLine("status")
          .with("rules", static_cast<int64_t>(stats.RuleVersion))
          .with("news_age_ms",
                static_cast<int64_t>(stats.UpdateAgeSeconds * MsPerSecond))
          .with("revision", Sync.watcher().cache().position().Revision)
          .with("registry_revision", Sync.watcher().registryPosition().Revision)
          .with("generation",
                static_cast<int64_t>(
                    Sync.watcher().cache().position().Generation.Value))
          .with("servers", static_cast<int64_t>(stats.Servers))
          .with("drained_zones", namesOf(stats.Drained))
          .with("flows", static_cast<int64_t>(stats.Flows))
          .with("packets", static_cast<int64_t>(stats.Core.Packets))
          .with("opened", static_cast<int64_t>(stats.Core.Opened))
          .with("ejections", static_cast<int64_t>(stats.Core.Ejections))
          .with("restores", static_cast<int64_t>(stats.Core.Restores))
          .with("short_responses",
                static_cast<int64_t>(stats.Core.ShortResponses))
          .with("overdue_requests",
                static_cast<int64_t>(stats.Core.OverdueRequests))
          .with("registry_calls", calls.text())
          .with("registry_failures", static_cast<int64_t>(watcher.Failures))
          .with("pushes", static_cast<int64_t>(watcher.Pushes))
          .with("pulls", static_cast<int64_t>(watcher.Pulls))
          .with("whole_pulls", static_cast<int64_t>(watcher.WholePulls)));
}

/// Applies the settings that can change without a restart. A file with errors
/// changes nothing.
void ControlWorker::reload(const char *cause) {
  Findings findings;
  std::optional<EdgeSettings> fresh = File.read(findings);
  LogLine line("reload");
  line.with("cause", cause);
  if (!fresh) {
    Logger.write(
        line.with("outcome", "refused").with("finding", findings.text()));
    return;
  }
  SettingsChange change = applyChanges(Settings, *fresh);
  for (const std::string &it : change.Applied)
    line.with("applied", it);
  for (const std::string &it : change.AfterRestart)
    line.with("after_restart", it);
  bool none = change.Applied.empty() && change.AfterRestart.empty();
  Logger.write(line.with("outcome", none ? "unchanged" : "read"));
  Sync.updateBounds({.ApplyWithin = Settings.Core.ApplyWithin,
                     .MaxFlowAge = Settings.Core.MaxFlowAge});
}

/// Detects that the process was stopped or its machine suspended, by the boot
/// clock. By the monotonic clock the registry updates look current and the data
/// that waits in the sockets looks fresh after a suspension.
void ControlWorker::checkSuspension(Time expected, Time now) {
  if (now - expected < SuspensionThreshold)
    return;
  Sync.handleSuspension(steadyNow());
  Logger.write(
      LogLine("stood_still")
          .with("ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                          now - expected)
                          .count()));
}

Time ControlWorker::nextWakeup(Time now) const {
  return std::min({Sync.nextAt(), StopAt, now + LogInterval});
}

void ControlWorker::logDecisions() {
  token::Decision decision;
  while (State.Decisions.try_dequeue(decision))
    Logger.write(decisionLine(decision, steadyNow()));
}

/// Logs that readiness probes fail or succeed again because of overload.
void ControlWorker::logOverload() {
  bool overloaded = State.Overloaded;
  if (overloaded == LoggedOverload)
    return;
  LoggedOverload = overloaded;
  Logger.write(LogLine("instance_overloaded")
                   .with("state", overloaded ? "on" : "off")
                   .with("not_empty_ms", State.BacklogMs));
}

} // namespace chicory::edge
