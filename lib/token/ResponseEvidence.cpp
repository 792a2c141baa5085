#include "chicorybank/token/ResponseEvidence.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <span>

namespace chicory::token {

namespace {

// Steps of `LogValue` for a factor of e.
constexpr double LogSteps = 2048;
// A response is short if it is more than this many deviations below the median.
constexpr double ShortDeviations = 3.5;
// Before the deviation is computed from both quartiles, values this far below
// are left out as possible errors. Less strict than `ShortDeviations`, because
// a fifth of errors shifts the median down and widens the first estimate.
constexpr double TrimDeviations = 2.5;
// A smaller deviation would classify responses of almost constant size as short
// after a slight change of their content.
constexpr double MinDeviation = 0.15;
// Distance of the quartile from the median of a normal distribution, in
// standard deviations.
constexpr double QuartileDistance = 0.6745;
// A baseline is updated after each so many whole responses.
constexpr uint32_t UpdateInterval = 8;
// The limit is averaged over about so many updates. The quartiles of 64 sizes
// vary by a sixth, and each too small spread would let whole responses count as
// short: 0.15% of them without the average, 0.06% with it.
constexpr uint32_t LimitAverage = 8;

/// Returns whether position `a` is later than `b` in a stream that wraps.
bool isLater(uint32_t a, uint32_t b) { return static_cast<int32_t>(a - b) > 0; }

/// Returns the value at a fraction of a sorted list. The n values divide the
/// distribution into n + 1 parts that are equal on average. With n - 1 parts,
/// quartiles of 64 values would lie 3% too close to the median.
double quantile(std::span<const uint16_t> sorted, double fraction) {
  double at = fraction * static_cast<double>(sorted.size() + 1) - 1;
  auto below = static_cast<size_t>(at);
  size_t above = std::min(below + 1, sorted.size() - 1);
  double part = at - static_cast<double>(below);
  return sorted[below] + part * (sorted[above] - sorted[below]);
}

/// Returns the value that lies `deviations` below the median.
double lowerLimit(double median, double deviation, double deviations) {
  return median - deviations * std::max(deviation, MinDeviation * LogSteps);
}

/// Returns the limit below which a size may be that of an error. Errors are
/// small, so it uses only the median and the upper quartile.
double trimLimit(std::span<const uint16_t> sorted) {
  double median = quantile(sorted, 0.5);
  double deviation = (quantile(sorted, 0.75) - median) / QuartileDistance;
  return lowerLimit(median, deviation, TrimDeviations);
}

/// Returns the limit below which a response is short.
double shortLimit(std::span<const uint16_t> sorted) {
  double spread = quantile(sorted, 0.75) - quantile(sorted, 0.25);
  return lowerLimit(quantile(sorted, 0.5), spread / (2 * QuartileDistance),
                    ShortDeviations);
}

} // namespace

void ResponseProgress::onRequest(uint32_t acknowledged, Time now) {
  if (!HasPosition || isLater(acknowledged, Latest))
    Latest = acknowledged;
  HasPosition = true;
  Start = Latest;
  RequestedAt = now;
  State = Phase::Waiting;
  Overdue = false;
  Stalled = false;
}

void ResponseProgress::onAcknowledged(uint32_t acknowledged, Time now) {
  if (State == Phase::Idle || !isLater(acknowledged, Latest))
    return;
  Latest = acknowledged;
  if (State == Phase::Waiting)
    AnsweredAt = now;
  State = Phase::Answered;
}

std::optional<ObservedResponse> ResponseProgress::finish(Time /*now*/) {
  bool answered = isAnswered();
  State = Phase::Idle;
  if (!answered)
    return std::nullopt;
  return ObservedResponse{.Bytes = Latest - Start,
                          .Took = AnsweredAt - RequestedAt,
                          .WasStalled = Stalled,
                          .WasOverdue = Overdue};
}

bool ResponseProgress::becameOverdue(Duration objective, Time now) {
  bool waits = isWaiting() && !Overdue && objective > Duration::zero();
  if (!waits || now - RequestedAt < objective)
    return false;
  Overdue = true;
  return true;
}

bool ResponseProgress::markStalled() {
  if (!isWaiting() || Stalled)
    return false;
  Stalled = true;
  return true;
}

ResponseBaselines::LogValue ResponseBaselines::logOf(int64_t value) {
  constexpr int64_t Max = std::numeric_limits<uint32_t>::max();
  auto bounded = static_cast<double>(std::clamp<int64_t>(value, 1, Max));
  return static_cast<LogValue>(std::lround(std::log(bounded) * LogSteps));
}

ResponseBaselines::Baseline &ResponseBaselines::baselineOf(Address route) {
  auto it = Index.find(route);
  if (it != Index.end()) {
    Baselines.splice(Baselines.begin(), Baselines, it->second);
    return Baselines.front();
  }
  if (Index.size() == MaxRoutes) {
    Index.erase(Baselines.back().Route);
    Baselines.pop_back();
  }
  Baselines.push_front({.Route = route});
  Index.emplace(route, Baselines.begin());
  return Baselines.front();
}

void ResponseBaselines::update(Baseline &baseline) {
  size_t n = std::min<size_t>(baseline.Learned, Window);
  std::array<LogValue, Window> buf = baseline.Sizes;
  std::sort(buf.begin(), buf.begin() + n);
  std::span<const LogValue> sizes(buf.data(), n);
  double trim = trimLimit(sizes);
  auto first = std::lower_bound(sizes.begin(), sizes.end(), trim);
  auto limit = static_cast<float>(shortLimit({first, sizes.end()}));
  uint32_t updates = (baseline.Learned - MinLearned) / UpdateInterval + 1;
  baseline.MinSize += (limit - baseline.MinSize) /
                      static_cast<float>(std::min(updates, LimitAverage));

  std::array<LogValue, Window> times{};
  size_t kept = 0;
  for (size_t i = 0; i < n; ++i)
    if (baseline.Sizes[i] >= trim)
      times[kept++] = baseline.Times[i];
  auto middle = times.begin() + kept / 2;
  std::nth_element(times.begin(), middle, times.begin() + kept);
  baseline.TypicalTime = *middle;
}

void ResponseBaselines::learn(Baseline &baseline, LogValue size,
                              LogValue time) {
  size_t at = baseline.Learned % Window;
  baseline.Sizes[at] = size;
  baseline.Times[at] = time;
  ++baseline.Learned;
  if (baseline.Learned >= MinLearned && baseline.Learned % UpdateInterval == 0)
    update(baseline);
}

ResponseKind ResponseBaselines::classify(Address route,
                                         const ObservedResponse &response) {
  Baseline &baseline = baselineOf(route);
  LogValue size = logOf(response.Bytes);
  if (static_cast<float>(size) < baseline.MinSize) {
    if (++baseline.ShortInRow >= MaxShortInRow)
      baseline = {.Route = route};
    return ResponseKind::Short;
  }
  baseline.ShortInRow = 0;
  learn(baseline, size, logOf(response.Took.count()));
  return ResponseKind::Whole;
}

std::optional<double> ResponseBaselines::relativeTime(Address route,
                                                      Duration took) const {
  auto it = Index.find(route);
  if (it == Index.end() || it->second->Learned < MinLearned)
    return std::nullopt;
  int steps = logOf(took.count()) - it->second->TypicalTime;
  return std::exp(steps / LogSteps);
}

} // namespace chicory::token
