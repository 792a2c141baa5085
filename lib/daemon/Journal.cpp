#include "Journal.h"

#include <chrono>
#include <easylogging++.h>

namespace chicory {

namespace {

constexpr auto Pause = std::chrono::milliseconds(50);
constexpr int64_t MsPerSecond = 1000;

int64_t wallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void configureLogging(const std::string &level) {
  el::Configurations conf;
  conf.setToDefault();
  conf.setGlobally(el::ConfigurationType::ToFile, "false");
  conf.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  conf.setGlobally(el::ConfigurationType::Format,
                   "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%levshort %msg");
  if (level == "warning" || level == "error")
    conf.set(el::Level::Info, el::ConfigurationType::Enabled, "false");
  if (level == "error")
    conf.set(el::Level::Warning, el::ConfigurationType::Enabled, "false");
  if (level != "debug")
    conf.set(el::Level::Debug, el::ConfigurationType::Enabled, "false");
  el::Loggers::reconfigureAllLoggers(conf);
}

} // namespace

Journal::Journal(uint32_t instance, const std::string &level)
    : Instance(instance) {
  configureLogging(level);
  Worker = std::thread([this] { run(); });
}

void Journal::record(std::string event, std::string detail) {
  (void)Ring.try_enqueue({.AtMs = wallMs(),
                          .Event = std::move(event),
                          .Detail = std::move(detail)});
}

std::vector<JournalEntry> Journal::recent() const {
  std::lock_guard lock(Lock);
  return {Entries.begin(), Entries.end()};
}

void Journal::stop() {
  Stopping = true;
  if (Worker.joinable())
    Worker.join();
}

void Journal::run() {
  JournalEntry entry;
  for (;;) {
    bool last = Stopping;
    while (Ring.try_dequeue(entry))
      write(entry);
    if (last)
      return;
    std::this_thread::sleep_for(Pause);
  }
}

void Journal::write(const JournalEntry &entry) {
  {
    std::lock_guard lock(Lock);
    Entries.push_back(entry);
    if (Entries.size() > MaxEntries)
      Entries.pop_front();
  }
  LineCount &count = LineCounts[entry.Event];
  int64_t second = entry.AtMs / MsPerSecond;
  if (second != count.Second) {
    if (count.Suppressed > 0)
      LOG(WARNING) << "instance=" << Instance << " event=" << entry.Event
                   << " left_out=" << count.Suppressed;
    count = {.Second = second};
  }
  if (++count.Written > LinesPerSecond) {
    ++count.Suppressed;
    return;
  }
  LOG(INFO) << "instance=" << Instance << " event=" << entry.Event
            << " detail=" << (entry.Detail.empty() ? "-" : entry.Detail);
}

} // namespace chicory
