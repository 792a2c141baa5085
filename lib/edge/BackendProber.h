// Probes backend servers by opening TCP connections to them.

#ifndef CHICORYBANK_LIB_EDGE_BACKENDPROBER_H
#define CHICORYBANK_LIB_EDGE_BACKENDPROBER_H

#include "EventLoop.h"

#include "chicorybank/token/Events.h"

#include <map>
#include <vector>

namespace chicory::edge {

/// Runs probes in an event loop. `takeEnded` returns each of them exactly once.
class BackendProber {
public:
  /// The maximum number of concurrent probes, and so of their descriptors.
  /// Further probes end at once as `NotTried`.
  static constexpr size_t MaxProbes = 64;

  /// `from`: the local IP of the connections.
  BackendProber(EventLoop &loop, uint32_t from)
      : Events(loop), SourceIp(from) {}

  void start(const token::ProbeBackend &probe, Time now);
  /// When `takeEnded` must be called next.
  Time nextAt() const;
  /// Returns the probes that have ended since the last call, including those
  /// whose timeout has passed. Call it after the loop's handlers, so that an
  /// established connection counts as reached even if its timeout has passed.
  std::vector<token::ProbeEnded> takeEnded(Time now);

private:
  struct Probe {
    token::BackendId Id;
    FileDescriptor Socket;
    Time Deadline;
  };

  void end(int fd, token::ProbeOutcome outcome);

  EventLoop &Events;
  uint32_t SourceIp;
  std::map<int, Probe> Running;
  std::vector<token::ProbeEnded> Ended;
};

} // namespace chicory::edge

#endif
