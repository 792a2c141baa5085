#include "edge/SuspensionDetector.h"

#include "Story.h"

using namespace story;
using namespace chicory;
using namespace chicory::edge;
using namespace std::chrono_literals;

class SuspensionDetectorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SuspensionDetectorTest);
  CPPUNIT_TEST(noticesATurnThatTookTooLong);
  CPPUNIT_TEST_SUITE_END();

  // Symptom: a caller's flow is open at one server and its token names another.
  // Sequence: an opening waits in the socket of an instance that stands still;
  // its copy opens the flow through another instance; the first one goes on and
  // passes the old opening to a server of its own choice, which answers too.
  // Cause: what waited in the socket taken for fresh.
  void noticesATurnThatTookTooLong() {
    SuspensionDetector watch(600ms);
    Time now{100s};
    expectTrue(!watch.wasSuspended(now), "not before the first turn");
    watch.recordTurn(now);
    expectTrue(!watch.wasSuspended(now + 600ms), "a long turn");
    expectTrue(watch.wasSuspended(now + 601ms), "a pause");
    watch.recordTurn(now + 2s);
    expectTrue(!watch.wasSuspended(now + 2s), "it is over with the next turn");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuspensionDetectorTest);
