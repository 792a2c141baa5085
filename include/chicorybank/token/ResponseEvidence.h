#ifndef CHICORYBANK_TOKEN_RESPONSEEVIDENCE_H
#define CHICORYBANK_TOKEN_RESPONSEEVIDENCE_H
// STUB
#include "chicorybank/token/Types.h"
#include <algorithm>
#include <array>
#include <cmath>
#include <optional>
#include <unordered_map>
namespace chicory::token {
struct ObservedResponse {
  uint32_t Bytes = 0;
  Duration Took = Duration::zero();
  bool WasStalled = false, WasOverdue = false;
};
enum class ResponseKind : uint8_t { Whole, Short };
class ResponseProgress {
public:
  void onRequest(uint32_t a, Time now) {
    Start = Max = a;
    At = now;
    First = {};
    Active = true;
    Overdue = Stalled = false;
  }
  void onAcknowledged(uint32_t a, Time now) {
    if (!Active || static_cast<int32_t>(a - Max) <= 0)
      return;
    if (First == Time{})
      First = now;
    Max = a;
  }
  std::optional<ObservedResponse> finish(Time) {
    bool had = Active && Max != Start;
    Active = false;
    if (!had)
      return std::nullopt;
    return ObservedResponse{Max - Start, First - At, Stalled, Overdue};
  }
  bool isWaiting() const { return Active && First == Time{}; }
  bool isAnswered() const { return Active && First != Time{}; }
  bool markStalled() {
    return isWaiting() && !Stalled ? (Stalled = true) : false;
  }
  bool isStalled() const { return Stalled; }
  Time requestedAt() const { return At; }
  bool becameOverdue(Duration o, Time now) {
    if (!isWaiting() || Overdue || now - At < o)
      return false;
    return Overdue = true;
  }

private:
  Time At, First;
  uint32_t Start = 0, Max = 0;
  bool Active = false, Overdue = false, Stalled = false;
};
class ResponseBaselines {
  struct B {
    std::array<float, 64> Size{}, Took{};
    uint32_t N = 0, NT = 0;
    float Low = -1e9f, Mid = 0;
  };
  std::unordered_map<uint64_t, B> Map;

public:
  ResponseKind classify(Address route, const ObservedResponse &r) {
    B &b = Map[route.packed()];
    float size = std::log(float(std::max(r.Bytes, 1u)));
    if (size < b.Low)
      return ResponseKind::Short;
    b.Size[b.N++ % 64] = size;
    if (b.N >= 16 && b.N % 8 == 0) {
      auto s = b.Size;
      size_t n = std::min<size_t>(b.N, 64);
      std::nth_element(s.begin(), s.begin() + n / 2, s.begin() + n);
      float mid = s[n / 2];
      std::nth_element(s.begin(), s.begin() + n / 4, s.begin() + n);
      float low = s[n / 4];
      b.Low = mid - 3.5f * std::max(0.15f, (mid - low) / 0.674f);
    }
    b.Took[b.NT++ % 64] = std::chrono::duration<float>(r.Took).count();
    if (b.NT >= 8 && b.NT % 8 == 0) {
      auto s = b.Took;
      size_t n = std::min<size_t>(b.NT, 64);
      std::nth_element(s.begin(), s.begin() + n / 2, s.begin() + n);
      b.Mid = s[n / 2];
    }
    return ResponseKind::Whole;
  }
  std::optional<double> relativeTime(Address route, Duration took) const {
    auto it = Map.find(route.packed());
    if (it == Map.end() || it->second.Mid <= 0)
      return std::nullopt;
    return std::chrono::duration<double>(took).count() / it->second.Mid;
  }
};
} // namespace chicory::token
#endif
