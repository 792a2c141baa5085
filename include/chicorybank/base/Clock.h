// The clocks of a process.

#ifndef CHICORYBANK_BASE_CLOCK_H
#define CHICORYBANK_BASE_CLOCK_H

#include "chicorybank/base/Types.h"

#include <ctime>

namespace chicory {

/// Now on one of the system's clocks.
inline Time clockNow(clockid_t clock) {
  timespec now{};
  ::clock_gettime(clock, &now);
  return Time(std::chrono::seconds(now.tv_sec) +
              std::chrono::microseconds(now.tv_nsec / 1000));
}

/// Now on a clock that stands still while the machine is suspended, so that
/// this time is not taken for silence of the others.
inline Time steadyNow() { return clockNow(CLOCK_MONOTONIC); }

/// Now on `CoreClock`: time since the machine's start, suspension included. A
/// clock that stood still during a suspension would let a lease outlive it.
inline Time bootTimeNow() { return clockNow(CLOCK_BOOTTIME); }

/// The time of day in milliseconds since the Unix epoch. It may jump.
inline int64_t unixMillisecondsNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Milliseconds since the Unix epoch at the origin of `bootTimeNow`.
inline int64_t bootEpochMs() {
  auto boot = std::chrono::duration_cast<std::chrono::milliseconds>(
      bootTimeNow().time_since_epoch());
  return unixMillisecondsNow() - boot.count();
}

} // namespace chicory

#endif
