// An event loop over file descriptors. Each loop belongs to one thread.

#ifndef CHICORYBANK_LIB_EDGE_EVENTLOOP_H
#define CHICORYBANK_LIB_EDGE_EVENTLOOP_H

#include "chicorybank/base/Clock.h"
#include "chicorybank/base/Socket.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

namespace chicory::edge {

/// An epoll set with a handler for each descriptor.
class EventLoop {
public:
  /// Takes the EPOLL* bits that are set.
  using Handler = std::function<void(uint32_t)>;

  EventLoop();

  /// Calls `handler` while any of the EPOLL* bits of `interest` is set.
  void watch(int fd, uint32_t interest, Handler handler);
  void modify(int fd, uint32_t interest) const;
  void unwatch(int fd);
  /// Waits for events for at most `timeout` and calls their handlers.
  void wait(Duration timeout);

private:
  FileDescriptor Epoll;
  /// Shared pointers, because a handler may unwatch its own descriptor.
  std::unordered_map<int, std::shared_ptr<Handler>> Handlers;
};

/// Wakes the loop of another thread.
class Wakeup {
public:
  Wakeup();
  /// Adds the receiving end to `loop`.
  void attach(EventLoop &loop);
  /// Wakes the loop. Any thread and any signal handler may call it.
  void wake() const;

private:
  FileDescriptor EventFd;
};

} // namespace chicory::edge

#endif
