// The log of an edge instance: one line of key=value pairs for each event.

#ifndef CHICORYBANK_LIB_EDGE_LOG_H
#define CHICORYBANK_LIB_EDGE_LOG_H

#include "chicorybank/token/Events.h"

#include <map>
#include <string>

namespace chicory::edge {

/// Builds one log line.
///
///   log.write(LogLine("reload").with("cause", "file"));
class LogLine {
public:
  explicit LogLine(std::string event) : Event(std::move(event)) {}

  LogLine &with(const char *key, const std::string &value);
  LogLine &with(const char *key, int64_t value) {
    return with(key, std::to_string(value));
  }

  const std::string &event() const { return Event; }
  /// Lines with the same key share a rate limit. Each reason has its own key,
  /// so that a flood of one reason never suppresses the lines of another.
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

/// Returns a server's id as it is written in the log.
std::string backendIdText(token::BackendId id);

/// Builds the log line of a decision of the core. Lines are written in batches,
/// so `ago_ms` is the time since the decision was made.
LogLine decisionLine(const token::Decision &decision, Time now);

/// Writes lines to a file descriptor, which has to be non-blocking: otherwise a
/// slow reader blocks `write`.
///
/// Lines above the rate limit of their key are counted instead of written. The
/// next line with that key has the count in `left_out`.
class Log {
public:
  /// The rate limit of each key.
  static constexpr uint32_t LinesPerSecond = 20;

  Log(int fd, std::string instance) : Fd(fd), Instance(std::move(instance)) {}

  void write(const LogLine &line);

private:
  struct RateCounter {
    int64_t Second = 0;
    uint32_t Written = 0;
    uint64_t Suppressed = 0;
  };

  int Fd;
  std::string Instance;
  std::map<std::string, RateCounter> RateCounters;
};

} // namespace chicory::edge

#endif
