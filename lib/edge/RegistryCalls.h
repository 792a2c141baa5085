// Calls of the registry's dialect as HTTP, and their outcomes back.

#ifndef CHICORYBANK_LIB_EDGE_REGISTRYCALLS_H
#define CHICORYBANK_LIB_EDGE_REGISTRYCALLS_H

#include "Http.h"

#include "chicorybank/edge/NewsReader.h"

namespace chicory::edge {

inline HttpCall httpCall(RegistryCall call, Duration timeout) {
  return {.Method = std::move(call.Method),
          .Target = std::move(call.Target),
          .Body = std::move(call.Body),
          .Timeout = timeout};
}

inline NewsAnswer newsAnswer(const HttpClient::Result &result) {
  if (!result)
    return {};
  return {.Status = result->Status, .Body = result->Body};
}

} // namespace chicory::edge

#endif
