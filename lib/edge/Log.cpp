#include "Log.h"

#include <chrono>
#include <cmath>
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

std::string backendIdText(token::BackendId id) {
  constexpr size_t HexDigits = 24;
  char hex[HexDigits];
  std::snprintf(hex, sizeof(hex), "%llx",
                static_cast<unsigned long long>(id.Value));
  return hex;
}

namespace {

std::string orderText(const token::RegistrationOrder &order) {
  std::string out =
      std::to_string(order.Generation) + ':' + std::to_string(order.Revision);
  switch (order.Origin) {
  case token::RegistrationOrigin::ThisGeneration:
    break;
  case token::RegistrationOrigin::UpToThis:
    return out + "/or_earlier";
  case token::RegistrationOrigin::Uncertain:
    return out + "/uncertain";
  }
  return out;
}

} // namespace

LogLine decisionLine(const token::Decision &decision, Time now) {
  LogLine out(decision.What);
  if (decision.Why != Reason::None)
    out.withReason(decision.Why);
  if (decision.Flow.Source) {
    out.with("caller", formatAddress(decision.Flow.Source));
    out.with("route", formatAddress(decision.Flow.Destination));
  }
  if (decision.Backend.Value != 0)
    out.with("server", backendIdText(decision.Backend));
  if (!decision.Zone.empty())
    out.with("zone", decision.Zone);
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  out.with("rules", static_cast<int64_t>(decision.Rules.Value));
  if (decision.Age)
    out.with("age_ms", duration_cast<milliseconds>(*decision.Age).count());
  else
    out.with("age_ms", "unknown");
  out.with("ago_ms", duration_cast<milliseconds>(now - decision.At).count());
  if (*decision.Cause != '\0')
    out.with("cause", decision.Cause);
  constexpr double Percent = 100;
  if (const auto &it = decision.Admitted)
    out.with("service", static_cast<int64_t>(it->Service.Value))
        .with("priority", static_cast<int64_t>(it->Priority))
        .with("admitted_percent", std::lround(it->Share * Percent));
  if (const auto &it = decision.Conflict)
    out.with("address", formatAddress(it->Where))
        .with("order", orderText(it->Order))
        .with("other", backendIdText(it->Other))
        .with("other_order", orderText(it->OtherOrder));
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
