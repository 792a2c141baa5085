#include "chicorybank/edge/UnreachableReportFilter.h"

#include "Story.h"

using namespace story;
using namespace chicory;
using namespace chicory::edge;
using namespace std::chrono_literals;
using token::BackendId;

class UnreachableReportFilterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnreachableReportFilterTest);
  CPPUNIT_TEST(passesEachDoubtOnOnce);
  CPPUNIT_TEST(boundsAFlood);
  CPPUNIT_TEST_SUITE_END();

  // Symptom: instances send each other the same doubt for ever.
  // Sequence: a doubt comes back by another way.
  // Cause: no memory of what was passed on.
  void passesEachDoubtOnOnce() {
    UnreachableReportFilter log;
    Time now{100s};
    expectTrue(log.shouldForward(BackendId{1}, now), "the first");
    expectTrue(!log.shouldForward(BackendId{1}, now + 1s), "the same again");
    expectTrue(log.shouldForward(BackendId{2}, now + 1s), "another server");
    expectTrue(log.shouldForward(BackendId{1}, now + 2s), "after a while");
  }

  void boundsAFlood() {
    UnreachableReportFilter log;
    Time now{100s};
    size_t passed = 0;
    for (uint64_t id = 1; id <= 10 * UnreachableReportFilter::MaxReports; ++id)
      if (log.shouldForward(BackendId{id}, now))
        ++passed;
    expectEqual<size_t>(UnreachableReportFilter::MaxReports, passed);
    expectTrue(log.shouldForward(BackendId{1}, now + 3s), "and goes on later");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnreachableReportFilterTest);
