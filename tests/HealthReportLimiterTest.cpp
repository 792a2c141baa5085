#include "chicorybank/edge/HealthReportLimiter.h"

#include "Story.h"

using namespace story;
using namespace chicory;
using namespace chicory::edge;
using namespace std::chrono_literals;

class HealthReportLimiterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HealthReportLimiterTest);
  CPPUNIT_TEST(limitsReportsInAnyPeriod);
  CPPUNIT_TEST_SUITE_END();

  // Guards against twice the limit within two seconds, which a counter that
  // starts anew at fixed times would let through, and against a flood that
  // blocks true reports after it has ended.
  void limitsReportsInAnyPeriod() {
    constexpr size_t Max = HealthReportLimiter::MaxReports;
    HealthReportLimiter limiter;
    Time now{100s};
    auto acceptedOf = [&](size_t count, Time at) {
      size_t out = 0;
      for (size_t n = 0; n < count; ++n)
        out += limiter.accept(at) ? 1 : 0;
      return out;
    };
    expectEqual<size_t>(Max / 2, acceptedOf(Max / 2, now));
    expectEqual<size_t>(Max / 2, acceptedOf(10 * Max, now + 1900ms));
    expectEqual<size_t>(Max / 2, acceptedOf(10 * Max, now + 2s));
    expectEqual<size_t>(0, acceptedOf(Max, now + 3800ms));
    expectEqual<size_t>(Max, acceptedOf(10 * Max, now + 10s));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HealthReportLimiterTest);
