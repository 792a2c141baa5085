#include "chicorybank/edge/OverloadDetector.h"

#include "Story.h"

using namespace story;
using namespace std::chrono_literals;
using chicory::Duration, chicory::Time, chicory::edge::OverloadDetector;

namespace {

constexpr Time Start{1h};
constexpr int Steps = 60s / 20ms;

/// An instance behind routers that probe it as docs/HARD-LOAD.md says. Its
/// capacity is relative to its load when all instances are in use.
struct Simulated {
  double Capacity = 2, Queue = 0;
  int FailedProbes = 0, Changes = 0, StepsInUse = 0;
  bool Overloaded = false;
  OverloadDetector Detector{{}};
};

} // namespace

class OverloadDetectorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OverloadDetectorTest);
  CPPUNIT_TEST(reportsABacklogForALimitedTime);
  CPPUNIT_TEST(keepsAZoneInUse);
  CPPUNIT_TEST_SUITE_END();

  void reportsABacklogForALimitedTime() {
    OverloadDetector detector({});
    auto read = [&](Duration at, bool drained) {
      detector.recordRead(drained, Start + at);
      return detector.isOverloaded(Start + at);
    };
    expectTrue(!read(0ms, false) && !read(299ms, false), "a burst");
    expectTrue(!read(300ms, true) && !read(301ms, false), "is over");
    expectTrue(!read(600ms, false) && read(601ms, false), "overloaded");
    expectTrue(read(1100ms, false) && read(1101ms, true), "empty when idle");
    expectTrue(detector.longestBacklog() == Duration(800ms), "the backlog");
    expectTrue(read(3600ms, false), "3 s at most");
    expectTrue(!detector.isOverloaded(Start + 3601ms), "without a read");
    expectTrue(!read(6600ms, false) && read(6601ms, false), "3 s between");
    expectTrue(!read(7100ms, true), "empty before a second probe");
    expectTrue(!read(7200ms, false) && !read(10'099ms, false), "3 s between");
  }

  // Guards against slow instances that flap, since out of rotation their
  // sockets are empty, and against a zone in which all are slow and leave.
  void keepsAZoneInUse() {
    for (int slow : {3, 10}) {
      std::vector<Simulated> zone(10);
      for (int n = 0; n < slow; ++n)
        zone[n].Capacity = 0.3 + 0.04 * n;
      for (int step = 0; step < Steps; ++step) {
        int n = 0;
        for (const Simulated &it : zone)
          n += it.FailedProbes < 2;
        for (Simulated &it : zone) {
          bool used = n < 5 || it.FailedProbes < 2;
          it.StepsInUse += used;
          double load = used ? 10.0 / (n < 5 ? 10 : n) : 0;
          it.Queue = std::max(0.0, it.Queue + load - it.Capacity);
          Time now = Start + step * 20ms;
          it.Detector.recordRead(it.Queue == 0, now);
          it.Changes += it.Detector.isOverloaded(now) != it.Overloaded;
          it.Overloaded = it.Detector.isOverloaded(now);
          if (step % 25 == 0) // A probe each 500 ms.
            it.FailedProbes = it.Overloaded ? it.FailedProbes + 1 : 0;
        }
      }
      for (const Simulated &it : zone) {
        bool isSlow = it.Capacity < 1;
        int most = isSlow && slow == 3 ? Steps * 7 / 10 : Steps;
        int least = isSlow ? Steps / 2 : Steps;
        expectTrue(it.StepsInUse >= least && it.StepsInUse <= most,
                   "in use for " + toText(it.StepsInUse) + " steps");
        expectTrue(it.Changes <= (isSlow ? 20 : 0),
                   "changes every 3 s at most: " + toText(it.Changes));
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadDetectorTest);
