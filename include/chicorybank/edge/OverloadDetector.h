// Detects that this instance is too slow for the packets that it gets.
//
//   OverloadDetector detector({});
//   int count = ::recvmmsg(socket, messages, Size, MSG_DONTWAIT, nullptr);
//   detector.recordRead(count < Size, now);
//   answerReadinessProbesWith(detector.isOverloaded(now) ? 503 : 200);
//
// An instance that reports overload leaves the rotation of the routers. Then it
// is idle, so an empty socket no longer shows that it would keep up. It returns
// after a fixed time and stays for at least a fixed time. So if all instances
// of a zone are slow, each is in rotation for half of the time or more.

#ifndef CHICORYBANK_EDGE_OVERLOADDETECTOR_H
#define CHICORYBANK_EDGE_OVERLOADDETECTOR_H

#include "chicorybank/base/Types.h"

#include <optional>

namespace chicory::edge {

/// Times of an overload detector.
struct OverloadOptions {
  /// A socket that was not empty for this long shows overload. Above the 200 ms
  /// after which callers retransmit, so that a short burst is not reported.
  Duration MaxBacklog = std::chrono::milliseconds(300);
  /// While overload is younger, the routers can't have removed the instance:
  /// they need two failed probes, half a second apart. So a socket that becomes
  /// empty shows that the instance keeps up, and ends the overload.
  Duration ConfirmAfter = std::chrono::milliseconds(500);
  /// The longest overload.
  Duration MaxOverload = std::chrono::seconds(3);
  /// The shortest time between two overloads.
  Duration MinBetween = std::chrono::seconds(3);
};

/// The state of one instance. Not thread-safe.
class OverloadDetector {
public:
  explicit OverloadDetector(OverloadOptions options) : Options(options) {}

  /// Records, after each read of the packet socket, whether the read emptied
  /// the socket (`drained`) or left packets behind. Times must not decrease.
  void recordRead(bool drained, Time now);
  /// Returns whether readiness probes should fail. Changes with time alone, so
  /// it has to be called periodically while there are no reads.
  bool isOverloaded(Time now) const;
  /// Returns for how long the socket was not empty, the longest time since the
  /// last overload began. Zero before the first.
  Duration longestBacklog() const { return LongestBacklog; }

private:
  OverloadOptions Options;
  /// When a read first left packets behind, while none has emptied the socket.
  std::optional<Time> BacklogSince;
  Duration LongestBacklog = Duration::zero();
  /// The last overload.
  std::optional<Time> BeganAt;
  Time EndsAt;
};

} // namespace chicory::edge

#endif
