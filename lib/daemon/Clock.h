// The clocks of a daemon.

#ifndef CHICORYBANK_LIB_DAEMON_CLOCK_H
#define CHICORYBANK_LIB_DAEMON_CLOCK_H

#include "chicorybank/base/Types.h"

#include <ctime>

namespace chicory {

/// Now on `CoreClock`: time since the machine's start, suspension included. A
/// clock that stood still during a suspension would let a lease outlive it.
inline Time bootTimeNow() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return Time(std::chrono::seconds(now.tv_sec) +
              std::chrono::microseconds(now.tv_nsec / 1000));
}

/// Milliseconds since the Unix epoch at the origin of `bootTimeNow`.
inline int64_t bootEpochMs() {
  auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  auto boot = std::chrono::duration_cast<std::chrono::milliseconds>(
      bootTimeNow().time_since_epoch());
  return (wall - boot).count();
}

} // namespace chicory

#endif
