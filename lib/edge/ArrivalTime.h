// The arrival times of datagrams, which the kernel records.

#ifndef CHICORYBANK_LIB_EDGE_ARRIVALTIME_H
#define CHICORYBANK_LIB_EDGE_ARRIVALTIME_H

#include "chicorybank/base/Types.h"

#include <cstddef>
#include <ctime>
#include <optional>
#include <sys/socket.h>

namespace chicory::edge {

/// Room for the arrival time of one datagram, as a message's `msg_control`.
struct ArrivalTimeBuffer {
  alignas(cmsghdr) std::byte Bytes[CMSG_SPACE(sizeof(timespec))];
};

/// Makes the kernel record when each datagram arrives at a socket. Where the
/// kernel can't, `waitingTime` returns nothing. If no other socket of the
/// machine has this enabled, the kernel starts a moment later, and datagrams
/// that arrive before appear to arrive when they are read.
void enableArrivalTimes(int socket);

/// Returns how long a datagram that was received with an `ArrivalTimeBuffer`
/// has waited in the socket until now. Both times are of the wall clock, so the
/// result is wrong if that clock has jumped in between.
std::optional<Duration> waitingTime(const msghdr &message);

/// Returns true if the caller of an opening has sent the next copy of it, or
/// has given up, while the opening waited. `copy` is the number of copies that
/// were sent before this one.
bool isSuperseded(uint8_t copy, Duration waited);

} // namespace chicory::edge

#endif
