#include "chicorybank/edge/DoubtLog.h"

#include "Story.h"

using namespace story;
using namespace chicory;
using namespace chicory::edge;
using namespace std::chrono_literals;
using token::BackendId;

class DoubtLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DoubtLogTest);
  CPPUNIT_TEST(passesEachDoubtOnOnce);
  CPPUNIT_TEST(boundsAFlood);
  CPPUNIT_TEST_SUITE_END();

  // Symptom: instances send each other the same doubt for ever.
  // Sequence: a doubt comes back by another way.
  // Cause: no memory of what was passed on.
  void passesEachDoubtOnOnce() {
    DoubtLog log;
    Time now{100s};
    expectTrue(log.isNew(BackendId{1}, now), "the first");
    expectTrue(!log.isNew(BackendId{1}, now + 1s), "the same again");
    expectTrue(log.isNew(BackendId{2}, now + 1s), "another server");
    expectTrue(log.isNew(BackendId{1}, now + 2s), "after a while");
  }

  void boundsAFlood() {
    DoubtLog log;
    Time now{100s};
    size_t passed = 0;
    for (uint64_t id = 1; id <= 10 * DoubtLog::Most; ++id)
      if (log.isNew(BackendId{id}, now))
        ++passed;
    expectEqual<size_t>(DoubtLog::Most, passed);
    expectTrue(log.isNew(BackendId{1}, now + 3s), "and goes on later");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DoubtLogTest);
