#include "edge/SuspensionDetector.h"

#include "Story.h"

using namespace story;
using namespace chicory;
using namespace chicory::edge;
using namespace std::chrono_literals;

class SuspensionDetectorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SuspensionDetectorTest);
  CPPUNIT_TEST(detectsATurnThatTookTooLong);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a flow that is open at one server while its token names
  // another. An opening waits in the socket of a suspended instance, and its
  // copy opens the flow through another instance. The first instance resumes,
  // treats the stale opening as fresh and forwards it to a server of its own
  // choice, which answers too.
  void detectsATurnThatTookTooLong() {
    SuspensionDetector detector(600ms);
    Time now{100s};
    expectTrue(!detector.wasSuspended(now),
               "not suspended before the first turn");
    detector.recordIteration(now);
    expectTrue(!detector.wasSuspended(now + 600ms),
               "a turn of the maximum time is no suspension");
    expectTrue(detector.wasSuspended(now + 601ms),
               "a longer turn is a suspension");
    detector.recordIteration(now + 2s);
    expectTrue(!detector.wasSuspended(now + 2s),
               "the next turn ends the suspension");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuspensionDetectorTest);
