#include "BackendProber.h"

#include <cerrno>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>

namespace chicory::edge {

namespace {

using token::ProbeOutcome;

/// Returns the outcome of a probe whose socket has become writable.
ProbeOutcome outcomeOf(int fd) {
  int error = 0;
  socklen_t size = sizeof(error);
  int rc = ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (rc == 0 && error == 0)
    return ProbeOutcome::Reached;
  return rc == 0 && error == ECONNREFUSED ? ProbeOutcome::Refused
                                          : ProbeOutcome::Failed;
}

bool hasOutcome(int fd) {
  pollfd ready{.fd = fd, .events = POLLOUT};
  return ::poll(&ready, 1, 0) > 0;
}

} // namespace

void BackendProber::start(const token::ProbeBackend &probe, Time now) {
  auto socket = Running.size() < MaxProbes
                    ? connectTcp(SourceIp, probe.Where)
                    : tl::make_unexpected(std::string("too many probes"));
  if (!socket) {
    Ended.push_back({.Id = probe.Id, .Outcome = ProbeOutcome::NotTried});
    return;
  }
  int fd = socket->get();
  Running[fd] = {.Id = probe.Id,
                 .Socket = std::move(*socket),
                 .Deadline = now + probe.Timeout};
  Events.watch(fd, EPOLLOUT, [this, fd](uint32_t) { end(fd, outcomeOf(fd)); });
}

void BackendProber::end(int fd, ProbeOutcome outcome) {
  auto it = Running.find(fd);
  Ended.push_back({.Id = it->second.Id, .Outcome = outcome});
  Events.unwatch(fd);
  Running.erase(it);
}

Time BackendProber::nextAt() const {
  if (!Ended.empty())
    return Time::min();
  Time out = Time::max();
  for (const auto &[fd, probe] : Running)
    out = std::min(out, probe.Deadline);
  return out;
}

std::vector<token::ProbeEnded> BackendProber::takeEnded(Time now) {
  std::vector<int> due;
  for (const auto &[fd, probe] : Running)
    if (now >= probe.Deadline)
      due.push_back(fd);
  // The thread may not have run until after the timeout, so a connection may be
  // established without its handler having been called.
  for (int fd : due)
    end(fd, hasOutcome(fd) ? outcomeOf(fd) : ProbeOutcome::Failed);
  return std::exchange(Ended, {});
}

} // namespace chicory::edge
