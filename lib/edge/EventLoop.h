// Waits for file descriptors and calls back. One thread owns a loop.

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
  /// Gets the EPOLL* bits that are set.
  using Handler = std::function<void(uint32_t)>;

  EventLoop();

  /// Calls `handler` while any of the EPOLL* bits of `interest` is set.
  void watch(int fd, uint32_t interest, Handler handler);
  void modify(int fd, uint32_t interest) const;
  void unwatch(int fd);
  /// Waits for at most `most`, then calls the handlers that are due.
  void wait(Duration most);

private:
  FileDescriptor Epoll;
  /// Shared, since a handler may unwatch its own descriptor.
  std::unordered_map<int, std::shared_ptr<Handler>> Handlers;
};

/// Wakes a loop that belongs to another thread.
class Wakeup {
public:
  Wakeup();
  /// Adds the receiving end to a loop.
  void attach(EventLoop &loop);
  /// From any thread.
  void wake() const;

private:
  FileDescriptor Event;
};

} // namespace chicory::edge

#endif
