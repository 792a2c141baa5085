#include "RegistryClient.h"

namespace chicory::edge {

const char *callKindName(CallKind kind) {
  switch (kind) {
  case CallKind::List:
    return "list";
  case CallKind::Watch:
    return "watch";
  case CallKind::Lease:
    return "lease";
  case CallKind::Renewal:
    return "renewal";
  case CallKind::WriteInstanceRecord:
    return "announce";
  case CallKind::WriteRouteHistory:
    return "route_record";
  case CallKind::OperatorSettings:
    return "orders";
  case CallKind::Directory:
    return "directory";
  case CallKind::RouteHistory:
    return "past_routes";
  case CallKind::ReadInstanceRecord:
    return "own_record";
  case CallKind::WriteDirectory:
    return "write_directory";
  }
  return "invalid";
}

std::string RegistryCallCounts::text() const {
  std::string out;
  for (size_t n = 0; n < CallKindCount; ++n) {
    if (Sent[n] == 0)
      continue;
    out += out.empty() ? "" : ",";
    out += callKindName(static_cast<CallKind>(n));
    out += ':' + std::to_string(Sent[n]);
  }
  return out;
}

RegistryCallCounts &
RegistryCallCounts::operator+=(const RegistryCallCounts &other) {
  for (size_t n = 0; n < CallKindCount; ++n) {
    Sent[n] += other.Sent[n];
    Refused[n] += other.Refused[n];
  }
  return *this;
}

void RegistryClient::call(RegistryCall call, Duration timeout,
                          HttpClient::Handler done) {
  auto kind = static_cast<size_t>(call.Kind);
  ++Counts.Sent[kind];
  Http.call(
      {.Method = std::move(call.Method),
       .Target = std::move(call.Target),
       .Body = std::move(call.Body),
       .Timeout = timeout,
       .ExtendTimeoutOnData = true},
      [this, kind, done = std::move(done)](const HttpClient::Result &result) {
        bool refused = result && (result->Status == HttpTooManyRequests ||
                                  result->Status == HttpUnavailable);
        if (refused)
          ++Counts.Refused[kind];
        done(result);
      });
}

} // namespace chicory::edge
