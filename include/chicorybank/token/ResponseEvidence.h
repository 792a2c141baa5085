// What callers' packets show of the responses of backend servers.
//
// Responses go directly to callers. An instance sees only which position of the
// response stream the caller acknowledges, and when.
//
//   ResponseProgress progress;
//   progress.onRequest(head.Acknowledged, now);
//   progress.onAcknowledged(later.Acknowledged, now);
//   if (auto response = progress.finish(now))
//     if (baselines.classify(route, *response) == ResponseKind::Short)
//       countFailure(server);
//
// A response is judged by its size. So a route whose whole responses are as
// small as its errors gives no evidence by size: its errors count as whole, and
// only stalled and overdue requests show a server that fails.
//
// Memory: 32 bytes for each flow; about 360 bytes for each route with its place
// in the table, so at most 0.28 MB for 768 routes and 37 KB for 100.

#ifndef CHICORYBANK_TOKEN_RESPONSEEVIDENCE_H
#define CHICORYBANK_TOKEN_RESPONSEEVIDENCE_H

#include "chicorybank/token/Types.h"

#include <array>
#include <list>
#include <optional>
#include <unordered_map>

namespace chicory::token {

/// What the caller's packets showed of one response.
struct ObservedResponse {
  /// Bytes that the caller acknowledged.
  uint32_t Bytes = 0;
  /// From the request's data to the first acknowledged byte.
  Duration Took = Duration::zero();
  bool WasStalled = false;
  bool WasOverdue = false;
};

enum class ResponseKind : uint8_t {
  Whole,
  Short, ///< Much smaller than usual on its route, as errors are.
};

/// Tracks one request at a time on one flow, without heap.
///
/// Positions are those of the response stream: 32 bits that wrap. A position
/// counts as later than another if it is less than 2^31 ahead of it. Positions
/// only advance, so packets that arrive out of order change nothing.
class ResponseProgress {
public:
  /// Starts to track a request whose data was sent now. A request that is
  /// tracked already is replaced.
  void onRequest(uint32_t acknowledged, Time now);
  /// Records a position that the caller acknowledged. Ignored if no request is
  /// tracked, so that an instance that sees only the end of a flow takes no
  /// evidence from it.
  void onAcknowledged(uint32_t acknowledged, Time now);
  /// Ends the request: on FIN, on the next request, or when the flow is idle.
  /// The position in the packet that ends it has to be recorded first, since a
  /// FIN is often the first packet that shows a response. Returns nothing if no
  /// request was tracked or no byte of its response was acknowledged.
  std::optional<ObservedResponse> finish(Time now);

  /// Returns true while no byte of the response was acknowledged.
  bool isWaiting() const { return State == Phase::Waiting; }
  /// Returns true while some bytes are acknowledged and the response is not
  /// finished.
  bool isAnswered() const { return State == Phase::Answered; }
  /// Returns when the last request was sent; `Time{}` before the first.
  Time requestedAt() const { return RequestedAt; }
  /// Returns true once for each request: when it has waited for `objective`.
  /// Never if the route has no objective (zero).
  bool becameOverdue(Duration objective, Time now);
  /// Returns true if the request waits and was not marked before.
  bool markStalled();
  bool isStalled() const { return Stalled; }

private:
  enum class Phase : uint8_t { Idle, Waiting, Answered };

  Time RequestedAt;
  Time AnsweredAt;
  uint32_t Start = 0;
  uint32_t Latest = 0;
  Phase State = Phase::Idle;
  /// `Latest` is a position of this flow.
  bool HasPosition = false;
  bool Overdue = false;
  bool Stalled = false;
};

static_assert(sizeof(ResponseProgress) == 32);

/// Typical size and time of the responses of each route, learned from its last
/// whole responses.
///
/// A response is short if the logarithm of its size is more than 3.5 robust
/// standard deviations below the median. Up to a fifth of the responses may be
/// errors, also while a route is learned.
class ResponseBaselines {
public:
  /// The most routes that are remembered; the least recently used is evicted.
  static constexpr size_t MaxRoutes = 768;
  /// Whole responses that a baseline is computed from.
  static constexpr size_t Window = 64;
  /// Before so many whole responses nothing is classified as short.
  static constexpr uint32_t MinLearned = 16;
  /// After so many short responses in a row, without a whole one, the baseline
  /// is learned anew. Otherwise a route whose responses have become smaller,
  /// with a new release of its servers, would count as failing forever.
  static constexpr uint32_t MaxShortInRow = 256;

  /// Classifies a response. Learns from whole ones only.
  ResponseKind classify(Address route, const ObservedResponse &response);
  /// Returns the time relative to the median of the route's whole responses; 1
  /// is typical. Returns nothing before `MinLearned` of them.
  std::optional<double> relativeTime(Address route, Duration took) const;
  size_t size() const { return Index.size(); }

private:
  /// Logarithm of a size or a time, in 1/2048; 16 bits reach to 2^32.
  using LogValue = uint16_t;

  struct Baseline {
    Address Route;
    uint32_t ShortInRow = 0;
    uint32_t Learned = 0;
    /// Logarithm of the smallest whole size; 0 before `MinLearned`.
    float MinSize = 0;
    LogValue TypicalTime = 0;
    /// The last whole responses, as a ring.
    std::array<LogValue, Window> Sizes{};
    std::array<LogValue, Window> Times{};
  };

  static LogValue logOf(int64_t value);
  static void learn(Baseline &baseline, LogValue size, LogValue time);
  static void update(Baseline &baseline);
  Baseline &baselineOf(Address route);

  /// Most recently used first.
  std::list<Baseline> Baselines;
  std::unordered_map<Address, std::list<Baseline>::iterator> Index;
};

} // namespace chicory::token

#endif
