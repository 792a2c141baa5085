#include "EventLoop.h"

#include <array>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace chicory::edge {

namespace {

constexpr int MaxEventsPerWait = 16;

} // namespace

EventLoop::EventLoop() : Epoll(::epoll_create1(EPOLL_CLOEXEC)) {}

void EventLoop::watch(int fd, uint32_t interest, Handler handler) {
  Handlers[fd] = std::make_shared<Handler>(std::move(handler));
  epoll_event event{};
  event.events = interest;
  event.data.fd = fd;
  ::epoll_ctl(Epoll.get(), EPOLL_CTL_ADD, fd, &event);
}

void EventLoop::modify(int fd, uint32_t interest) const {
  epoll_event event{};
  event.events = interest;
  event.data.fd = fd;
  ::epoll_ctl(Epoll.get(), EPOLL_CTL_MOD, fd, &event);
}

void EventLoop::unwatch(int fd) {
  ::epoll_ctl(Epoll.get(), EPOLL_CTL_DEL, fd, nullptr);
  Handlers.erase(fd);
}

void EventLoop::wait(Duration timeout) {
  std::array<epoll_event, MaxEventsPerWait> events{};
  // Rounds up: a wait that ends just before its deadline would spin.
  auto ms = std::chrono::ceil<std::chrono::milliseconds>(timeout).count();
  int n = ::epoll_wait(Epoll.get(), events.data(), MaxEventsPerWait,
                       static_cast<int>(std::max<int64_t>(ms, 0)));
  for (int i = 0; i < n; ++i) {
    auto it = Handlers.find(events[i].data.fd);
    if (it == Handlers.end())
      continue;
    std::shared_ptr<Handler> handler = it->second;
    (*handler)(events[i].events);
  }
}

Wakeup::Wakeup() : EventFd(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

void Wakeup::attach(EventLoop &loop) {
  int fd = EventFd.get();
  loop.watch(fd, EPOLLIN, [fd](uint32_t) {
    uint64_t count = 0;
    [[maybe_unused]] ssize_t n = ::read(fd, &count, sizeof(count));
  });
}

void Wakeup::wake() const {
  uint64_t one = 1;
  [[maybe_unused]] ssize_t n = ::write(EventFd.get(), &one, sizeof(one));
}

} // namespace chicory::edge
