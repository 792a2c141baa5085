// Connections that are opened to see whether a backend server can be reached.

#ifndef CHICORYBANK_LIB_EDGE_BACKENDPROBER_H
#define CHICORYBANK_LIB_EDGE_BACKENDPROBER_H

#include "EventLoop.h"

#include "chicorybank/token/Events.h"

#include <map>
#include <vector>

namespace chicory::edge {

/// Runs probes in a loop. Each ends exactly once, in `takeEnded`.
class BackendProber {
public:
  /// Descriptors that probes may hold at once. Above that they are not tried.
  static constexpr size_t MaxProbes = 64;

  /// Connections come from the IP `from`.
  BackendProber(EventLoop &loop, uint32_t from) : Events(loop), From(from) {}

  void start(const token::ProbeBackend &probe, Time now);
  /// When `takeEnded` has something to end.
  Time nextAt() const;
  /// The probes that have ended since the last call. Call it after the loop's
  /// handlers, so that an answer that has come counts before a time limit.
  std::vector<token::ProbeEnded> takeEnded(Time now);

private:
  struct Probe {
    token::BackendId Id;
    FileDescriptor Socket;
    Time Deadline;
  };

  void end(int fd, token::ProbeOutcome outcome);

  EventLoop &Events;
  uint32_t From;
  std::map<int, Probe> Running;
  std::vector<token::ProbeEnded> Ended;
};

} // namespace chicory::edge

#endif
