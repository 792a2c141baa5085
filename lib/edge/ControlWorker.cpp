#include "ControlWorker.h"

#include "Metrics.h"

#include <unistd.h>

namespace chicory::edge {

namespace {

// Log lines wait this long at most; a wake-up for each would cost more.
constexpr Duration LogEvery = std::chrono::milliseconds(250);
// A line of figures; one in ten seconds costs nothing and bounds what is lost
// when a process is killed.
constexpr Duration StatusEvery = std::chrono::seconds(10);
// How often the settings file is looked at.
constexpr Duration LookEvery = std::chrono::seconds(1);
// A wait that took this much longer than asked for, by the clock that counts
// suspensions, shows that the process stood still.
constexpr Duration StoodStill = std::chrono::milliseconds(400);

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
    : Settings(settings), File(std::move(file)), Common(shared),
      Lines(STDOUT_FILENO, settings.Name),
      News(Events, Lines, settings, dialect, std::move(peerSocket), shared),
      Ready(Events, std::move(ready),
            [this](const std::string &) { return answerReady(); }),
      Peers(Events, std::move(peerListener),
            [this](const std::string &it) { return answerPeer(it); }) {
  Signals.attach(Events);
  Common.ControlWakeup.attach(Events);
}

HttpResponse ControlWorker::answerReady() const {
  bool ready = Common.ReadyToServe && !Stopping;
  return {.Status = ready ? HttpOk : HttpUnavailable,
          .ContentType = "text/plain"};
}

HttpResponse ControlWorker::answerPeer(const std::string &target) {
  if (target == "/metrics")
    return metricsResponse(Common, News);
  return News.answer(target);
}

void ControlWorker::run(const std::atomic<bool> &stopAsked,
                        std::atomic<bool> &reloadAsked) {
  Time now = steadyNow();
  while (now < StopAt) {
    News.run(now);
    Time before = bootTimeNow();
    Duration wait = std::max(nextAt(now) - now, Duration::zero());
    Events.wait(wait);
    noticePause(before + wait, bootTimeNow());
    now = steadyNow();
    writeDecisions();
    if (now >= ExpireAt) {
      ExpireAt = now + LogEvery;
      Ready.closeIdleConnections(now);
      Peers.closeIdleConnections(now);
    }
    if (now >= StatusAt) {
      StatusAt = now + StatusEvery;
      writeStatus();
    }
    if (reloadAsked.exchange(false)) {
      File.changed();
      reload("signal");
    } else if (now >= LookAt) {
      LookAt = now + LookEvery;
      if (File.changed())
        reload("file");
    }
    if (stopAsked && !Stopping) {
      Stopping = true;
      StopAt = now + Settings.StopDelay;
      News.leave();
      Lines.write(LogLine("stopping"));
      writeStatus();
    }
  }
  writeDecisions();
}

/// The figures that explain most, for whoever has logs alone.
void ControlWorker::writeStatus() {
  EdgeStats stats = Common.stats();
  const WatcherStats &news = News.stats();
  RegistryCallCounts calls = News.callCounts();
  constexpr double MsPerSecond = 1000;
  Lines.write(
      LogLine("status")
          .with("rules", static_cast<int64_t>(stats.RuleVersion))
          .with("news_age_ms",
                static_cast<int64_t>(stats.UpdateAgeSeconds * MsPerSecond))
          .with("revision", News.watcher().cache().position().Revision)
          .with("registry_revision", News.watcher().registryPosition().Revision)
          .with("generation",
                static_cast<int64_t>(
                    News.watcher().cache().position().Generation.Value))
          .with("servers", static_cast<int64_t>(stats.Servers))
          .with("drained_zones", namesOf(stats.Drained))
          .with("flows", static_cast<int64_t>(stats.Flows))
          .with("packets", static_cast<int64_t>(stats.Core.Packets))
          .with("opened", static_cast<int64_t>(stats.Core.Opened))
          .with("registry_calls", calls.text())
          .with("registry_failures", static_cast<int64_t>(news.Failures))
          .with("pushes", static_cast<int64_t>(news.Pushes))
          .with("pulls", static_cast<int64_t>(news.Pulls))
          .with("whole_pulls", static_cast<int64_t>(news.WholePulls)));
}

/// Takes over what a running instance can. A file with faults changes nothing.
void ControlWorker::reload(const char *cause) {
  Findings findings;
  std::optional<EdgeSettings> fresh = File.read(findings);
  LogLine line("reload");
  line.with("cause", cause);
  if (!fresh) {
    Lines.write(
        line.with("outcome", "refused").with("finding", findings.text()));
    return;
  }
  SettingsChange change = applyChanges(Settings, *fresh);
  for (const std::string &it : change.Applied)
    line.with("applied", it);
  for (const std::string &it : change.AfterRestart)
    line.with("after_restart", it);
  bool none = change.Applied.empty() && change.AfterRestart.empty();
  Lines.write(line.with("outcome", none ? "unchanged" : "read"));
  News.updateBounds({.ApplyWithin = Settings.Core.ApplyWithin,
                     .MaxFlowAge = Settings.Core.MaxFlowAge});
}

/// A process that was stopped, or a machine that was suspended, goes on as if
/// nothing had happened: its news looks current, and what waits in its sockets
/// looks fresh. The boot clock shows it.
void ControlWorker::noticePause(Time before, Time now) {
  if (now - before < StoodStill)
    return;
  News.handleSuspension(steadyNow());
  Lines.write(
      LogLine("stood_still")
          .with("ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                          now - before)
                          .count()));
}

Time ControlWorker::nextAt(Time now) const {
  return std::min({News.nextAt(), StopAt, now + LogEvery});
}

void ControlWorker::writeDecisions() {
  token::Decision decision;
  while (Common.Decisions.try_dequeue(decision))
    Lines.write(decisionLine(decision, steadyNow()));
}

} // namespace chicory::edge
