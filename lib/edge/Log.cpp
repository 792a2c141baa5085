#include "Log.h"

#include <chrono>
#include <unistd.h>
#include <utility>

namespace chicory::edge {

LogLine &LogLine::with(const char *key, const std::string &value) {
  Text += ' ';
  Text += key;
  Text += '=';
  bool plain = value.find_first_of(" \"=\n") == std::string::npos;
  if (plain && !value.empty()) {
    Text += value;
    return *this;
  }
  Text += '"';
  for (char it : value) {
    if (it == '"' || it == '\\')
      Text += '\\';
    Text += it == '\n' ? ' ' : it;
  }
  Text += '"';
  return *this;
}

LogLine &LogLine::withReason(Reason why) {
  std::string name(reasonName(why));
  RateLimitKey = Event + ' ' + name;
  return with("why", name);
}

LogLine decisionLine(const token::Decision &decision, Time now) {
  LogLine out(decision.What);
  if (decision.Why != Reason::None)
    out.withReason(decision.Why);
  if (decision.Flow.Source) {
    out.with("caller", formatAddress(decision.Flow.Source));
    out.with("route", formatAddress(decision.Flow.Destination));
  }
  if (decision.Backend.Value != 0) {
    constexpr size_t HexDigits = 24;
    char hex[HexDigits];
    std::snprintf(hex, sizeof(hex), "%llx",
                  static_cast<unsigned long long>(decision.Backend.Value));
    out.with("server", hex);
  }
  if (!decision.Zone.empty())
    out.with("zone", decision.Zone);
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  out.with("rules", static_cast<int64_t>(decision.Rules.Value));
  out.with("age_ms", duration_cast<milliseconds>(decision.Age).count());
  out.with("ago_ms", duration_cast<milliseconds>(now - decision.At).count());
  return out;
}

void Log::write(const LogLine &line) {
  using namespace std::chrono;
  int64_t ms =
      duration_cast<milliseconds>(system_clock::now().time_since_epoch())
          .count();
  constexpr int64_t MsPerSecond = 1000;
  RateCounter &counter = RateCounters[line.rateLimitKey()];
  if (counter.Second != ms / MsPerSecond) {
    counter.Second = ms / MsPerSecond;
    counter.Written = 0;
  }
  if (counter.Written >= LinesPerSecond) {
    ++counter.Suppressed;
    return;
  }
  ++counter.Written;
  std::string out = "at_ms=" + std::to_string(ms) + " instance=" + Instance +
                    " event=" + line.event() + line.text();
  if (counter.Suppressed != 0)
    out += " left_out=" + std::to_string(std::exchange(counter.Suppressed, 0));
  out += '\n';
  // A line that can't be written is lost. A slow reader blocks this call unless
  // the descriptor is non-blocking.
  [[maybe_unused]] ssize_t n = ::write(Fd, out.data(), out.size());
}

} // namespace chicory::edge
