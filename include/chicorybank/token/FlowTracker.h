// What this instance records about the flows that it forwards.
//
// None of it is needed to forward a packet of an open flow: the token is
// enough. It serves to track requests in progress, to detect backend servers
// that stop answering, and to send all copies of an opening packet to the same
// server.

#ifndef CHICORYBANK_TOKEN_FLOWTRACKER_H
#define CHICORYBANK_TOKEN_FLOWTRACKER_H

#include "chicorybank/base/Hash.h"
#include "chicorybank/token/Backends.h"
#include "chicorybank/token/ResponseEvidence.h"

#include <unordered_map>

namespace chicory::token {

/// The state of one flow.
struct FlowState {
  BackendIndex Backend = NoBackend;
  /// Id of the server. Detects that the index was reused for another server.
  BackendId Id;
  /// Another server that the opening was also sent to; none in the usual case
  /// of a single server.
  BackendId AlsoSentTo;
  /// The opening packet was sent, and no packet shows yet that it was answered.
  bool Opening = true;
  bool RequestInProgress = false;
  /// This instance has seen the flow from its opening on, so what it sees of a
  /// response is all of it.
  bool SeenFromOpening = false;
  uint32_t LastSequence = 0;
  uint32_t LastAcknowledged = 0;
  /// When the opening packet was last sent to `Backend`.
  Time SentAt;
  /// When a packet of the flow was first and last received here.
  Time FirstSeen;
  Time LastSeen;
  /// When data was last sent, and when the request in progress started.
  Time DataAt;
  Time RequestSince;
  ResponseProgress Response;
};

struct FlowKeyHash {
  size_t operator()(const FlowKey &key) const { return hashFlow(key); }
};

/// Flows by their key; grows with use.
using FlowTracker = std::unordered_map<FlowKey, FlowState, FlowKeyHash>;

} // namespace chicory::token

#endif
