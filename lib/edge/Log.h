// Log lines of an edge instance: one key=value line for each event.

#ifndef CHICORYBANK_LIB_EDGE_LOG_H
#define CHICORYBANK_LIB_EDGE_LOG_H

#include "chicorybank/token/Events.h"

#include <map>
#include <string>

namespace chicory::edge {

/// One line under construction.
///
///   log.write(LogLine("reload").with("settings", path));
class LogLine {
public:
  explicit LogLine(std::string event) : Event(std::move(event)) {}

  LogLine &with(const char *key, const std::string &value);
  LogLine &with(const char *key, int64_t value) {
    return with(key, std::to_string(value));
  }

  const std::string &event() const { return Event; }
  /// Lines of one kind share a bound; each reason is a kind of its own, so that
  /// many of one never hide another.
  const std::string &rateLimitKey() const {
    return RateLimitKey.empty() ? Event : RateLimitKey;
  }
  LogLine &withReason(Reason why);
  const std::string &text() const { return Text; }

private:
  std::string Event;
  std::string RateLimitKey;
  std::string Text;
};

/// The line of a decision of the core. Lines are written in batches, so it
/// says how long ago the decision was made.
LogLine decisionLine(const token::Decision &decision, Time now);

/// Writes lines to a descriptor and never waits for it.
///
/// Lines of one kind above a number in a second are counted in place of being
/// written; the next line that is written says how many were left out.
class Log {
public:
  static constexpr uint32_t LinesPerSecond = 20;

  Log(int fd, std::string instance) : Fd(fd), Instance(std::move(instance)) {}

  void write(const LogLine &line);

private:
  struct RateCounter {
    int64_t Second = 0;
    uint32_t Written = 0;
    uint64_t LeftOut = 0;
  };

  int Fd;
  std::string Instance;
  std::map<std::string, RateCounter> Seen;
};

} // namespace chicory::edge

#endif
