// An HTTP client for the registry that counts its calls by kind.

#ifndef CHICORYBANK_LIB_EDGE_REGISTRYCLIENT_H
#define CHICORYBANK_LIB_EDGE_REGISTRYCLIENT_H

#include "Http.h"

#include "chicorybank/edge/RegistryWatcher.h"

#include <array>

namespace chicory::edge {

/// Counters of calls, by kind. They never decrease.
struct RegistryCallCounts {
  std::array<uint64_t, CallKindCount> Sent{};
  /// Calls that were answered with 429 or 503.
  std::array<uint64_t, CallKindCount> Refused{};

  /// Formats the calls sent for a log line, such as "list:2,watch:7". Omits
  /// kinds without calls.
  std::string text() const;
  RegistryCallCounts &operator+=(const RegistryCallCounts &other);
};

/// One connection to the registry, with one call in progress at a time.
class RegistryClient {
public:
  /// `from`: the local IP of the connections.
  RegistryClient(EventLoop &loop, uint32_t from, Address registry,
                 const RegistryDialect &dialect)
      : Http(loop, from, registry) {
    Http.captureHeader(dialect.generationHeader());
  }

  /// Starts a call. It fails once no byte has arrived for `timeout`.
  void call(RegistryCall call, Duration timeout, HttpClient::Handler done);
  bool busy() const { return Http.busy(); }
  Time deadline() const { return Http.deadline(); }
  /// Ends the call if its timeout has passed.
  void expire(Time now) { Http.expire(now); }
  const RegistryCallCounts &counts() const { return Counts; }

private:
  HttpClient Http;
  RegistryCallCounts Counts;
};

/// Converts a result to the form that the registry state machines take.
inline RegistryAnswer toRegistryAnswer(const HttpClient::Result &result,
                                       const RegistryDialect &dialect) {
  if (!result)
    return {};
  return {.Status = result->Status,
          .Body = result->Body,
          .Generation = dialect.parseGeneration(result->CapturedHeader)};
}

} // namespace chicory::edge

#endif
