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
  case CallKind::RouteRecord:
    return "route_record";
  case CallKind::OperatorSettings:
    return "orders";
  case CallKind::Directory:
    return "directory";
  case CallKind::PastRoutes:
    return "past_routes";
  case CallKind::ReadInstanceRecord:
    return "own_record";
  case CallKind::WriteDirectory:
    return "write_directory";
  }
  return "invalid";
}

std::string RegistryCounts::text() const {
  std::string out;
  for (size_t n = 0; n < CallKindCount; ++n) {
    if (Made[n] == 0)
      continue;
    out += out.empty() ? "" : ",";
    out += callKindName(static_cast<CallKind>(n));
    out += ':' + std::to_string(Made[n]);
  }
  return out;
}

RegistryCounts &RegistryCounts::operator+=(const RegistryCounts &other) {
  for (size_t n = 0; n < CallKindCount; ++n) {
    Made[n] += other.Made[n];
    Refused[n] += other.Refused[n];
  }
  return *this;
}

void RegistryClient::call(RegistryCall call, Duration timeout,
                          HttpClient::Handler done) {
  auto kind = static_cast<size_t>(call.Kind);
  ++Counts.Made[kind];
  Http.call(
      {.Method = std::move(call.Method),
       .Target = std::move(call.Target),
       .Body = std::move(call.Body),
       .Timeout = timeout,
       .LimitsSilence = true},
      [this, kind, done = std::move(done)](const HttpClient::Result &result) {
        bool refused = result && (result->Status == HttpTooMany ||
                                  result->Status == HttpUnavailable);
        if (refused)
          ++Counts.Refused[kind];
        done(result);
      });
}

} // namespace chicory::edge
