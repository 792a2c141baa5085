#include "ArrivalTime.h"

#include <algorithm>
#include <array>
#include <cstring>

namespace chicory::edge {

namespace {

using namespace std::chrono_literals;

// Callers send an opening at 0, 200 and 600 ms, and give up at 1400 ms.
constexpr std::array<Duration, 3> NextCopyAfter{200ms, 400ms, 800ms};
// The time that the packet and the answer to it are on their way.
constexpr Duration TravelTime = 50ms;

} // namespace

void enableArrivalTimes(int socket) {
  int on = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_TIMESTAMPNS, &on, sizeof(on));
}

std::optional<Duration> waitingTime(const msghdr &message) {
  for (const cmsghdr *it = CMSG_FIRSTHDR(&message); it;
       it = CMSG_NXTHDR(const_cast<msghdr *>(&message),
                        const_cast<cmsghdr *>(it))) {
    if (it->cmsg_level != SOL_SOCKET || it->cmsg_type != SCM_TIMESTAMPNS)
      continue;
    timespec arrived{};
    std::memcpy(&arrived, CMSG_DATA(it), sizeof(arrived));
    timespec now{};
    ::clock_gettime(CLOCK_REALTIME, &now);
    return std::chrono::seconds(now.tv_sec - arrived.tv_sec) +
           std::chrono::duration_cast<Duration>(
               std::chrono::nanoseconds(now.tv_nsec - arrived.tv_nsec));
  }
  return std::nullopt;
}

bool isSuperseded(uint8_t copy, Duration waited) {
  size_t n = std::min<size_t>(copy, NextCopyAfter.size() - 1);
  return waited >= NextCopyAfter[n] - TravelTime;
}

} // namespace chicory::edge
