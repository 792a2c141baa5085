// Calls of the registry's dialect over HTTP, counted by what they are for.

#ifndef CHICORYBANK_LIB_EDGE_REGISTRYCLIENT_H
#define CHICORYBANK_LIB_EDGE_REGISTRYCLIENT_H

#include "Http.h"

#include "chicorybank/edge/RegistryWatcher.h"

#include <array>

namespace chicory::edge {

/// Calls that were made. Counters never fall.
struct RegistryCallCounts {
  std::array<uint64_t, CallKindCount> Sent{};
  /// Answered with 429 or 503.
  std::array<uint64_t, CallKindCount> Refused{};

  /// Calls made, for a log line: "list:2,watch:7"; kinds without any are left
  /// out.
  std::string text() const;
  RegistryCallCounts &operator+=(const RegistryCallCounts &other);
};

/// One connection to the registry; one call is under way at a time.
class RegistryClient {
public:
  /// Connections come from the IP `from`.
  RegistryClient(EventLoop &loop, uint32_t from, Address registry,
                 const RegistryDialect &dialect)
      : Http(loop, from, registry) {
    Http.captureHeader(dialect.generationHeader());
  }

  /// `timeout`: without any byte of the answer.
  void call(RegistryCall call, Duration timeout, HttpClient::Handler done);
  bool busy() const { return Http.busy(); }
  Time deadline() const { return Http.deadline(); }
  /// Ends a call whose time is over.
  void expire(Time now) { Http.expire(now); }
  const RegistryCallCounts &counts() const { return Counts; }

private:
  HttpClient Http;
  RegistryCallCounts Counts;
};

/// An answer as the state machines take it.
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
