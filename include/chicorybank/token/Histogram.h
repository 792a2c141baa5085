// Latency histograms with fixed buckets. Counts are per bucket, not cumulative
// as in the metrics format of Prometheus.

#ifndef CHICORYBANK_TOKEN_HISTOGRAM_H
#define CHICORYBANK_TOKEN_HISTOGRAM_H

#include "chicorybank/base/Types.h"

#include <array>

namespace chicory::token {

/// Counts durations in buckets from half a millisecond to ten seconds.
class Histogram {
public:
  /// Upper bounds of the buckets; a final bucket takes all longer durations.
  static constexpr std::array<Duration, 14> Bounds = {
      Duration(500),       Duration(1'000),     Duration(2'000),
      Duration(5'000),     Duration(10'000),    Duration(20'000),
      Duration(50'000),    Duration(100'000),   Duration(200'000),
      Duration(500'000),   Duration(1'000'000), Duration(2'000'000),
      Duration(5'000'000), Duration(10'000'000)};

  void add(Duration took) {
    size_t i = 0;
    while (i < Bounds.size() && took > Bounds[i])
      ++i;
    ++Counts[i];
    Total += took;
  }
  /// Returns the number of durations in a bucket.
  uint64_t count(size_t bucket) const { return Counts[bucket]; }
  Duration sum() const { return Total; }

private:
  std::array<uint64_t, Bounds.size() + 1> Counts{};
  Duration Total = Duration::zero();
};

} // namespace chicory::token

#endif
