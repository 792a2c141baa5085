// Functions that read the system's clocks.

#ifndef CHICORYBANK_BASE_CLOCK_H
#define CHICORYBANK_BASE_CLOCK_H

#include "chicorybank/base/Types.h"

#include <ctime>

namespace chicory {

/// Returns the current time of a system clock.
inline Time clockNow(clockid_t clock) {
  timespec now{};
  ::clock_gettime(clock, &now);
  return Time(std::chrono::seconds(now.tv_sec) +
              std::chrono::microseconds(now.tv_nsec / 1000));
}

/// Returns the time of a clock that stops while the machine is suspended, so
/// that a suspension does not look like a period without messages from peers.
inline Time steadyNow() { return clockNow(CLOCK_MONOTONIC); }

/// Returns the current time of `CoreClock`: the time since the machine booted,
/// suspensions included. With a clock that stops during a suspension, an
/// expired lease would still count as valid afterwards.
inline Time bootTimeNow() { return clockNow(CLOCK_BOOTTIME); }

/// Returns the wall-clock time in milliseconds since the Unix epoch. It may
/// jump forwards or backwards.
inline int64_t unixMillisecondsNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Returns the wall-clock time of the origin of `bootTimeNow`, in milliseconds
/// since the Unix epoch.
inline int64_t bootEpochMs() {
  auto boot = std::chrono::duration_cast<std::chrono::milliseconds>(
      bootTimeNow().time_since_epoch());
  return unixMillisecondsNow() - boot.count();
}

} // namespace chicory

#endif
