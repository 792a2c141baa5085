// What this instance remembers of flows that pass through it.
//
// Nothing here is needed to carry an open flow: the token is. It serves to see
// requests in progress and backend servers that fall silent, and to keep the
// copies of an opening packet together.

#ifndef CHICORYBANK_TOKEN_FLOWTRACKER_H
#define CHICORYBANK_TOKEN_FLOWTRACKER_H

#include "chicorybank/base/Hash.h"
#include "chicorybank/token/Backends.h"

#include <unordered_map>

namespace chicory::token {

/// One flow.
struct FlowState {
  BackendIndex Backend = NoBackend;
  /// Guards against an index that was given to another server meanwhile.
  BackendId Id;
  /// The opening also went to this server; none where it went to one alone.
  BackendId AlsoSentTo;
  /// The opening packet was sent, and nothing shows yet that it was answered.
  bool Opening = true;
  /// A request is in progress.
  bool RequestInProgress = false;
  uint32_t LastSequence = 0;
  uint32_t LastAcknowledged = 0;
  /// When the opening packet was last sent to `Backend`.
  Time SentAt;
  /// When it was first and last seen here.
  Time FirstSeen;
  Time LastSeen;
  /// When data was last sent, and when the request in progress began.
  Time DataAt;
  Time RequestSince;
};

struct FlowKeyHash {
  size_t operator()(const FlowKey &key) const { return hashFlow(key); }
};

/// Flows by their key; grows with use.
using FlowTracker = std::unordered_map<FlowKey, FlowState, FlowKeyHash>;

} // namespace chicory::token

#endif
