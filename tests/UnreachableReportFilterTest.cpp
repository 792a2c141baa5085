#include "chicorybank/edge/UnreachableReportFilter.h"

#include "Story.h"

using namespace story;
using namespace chicory;
using namespace chicory::edge;
using namespace std::chrono_literals;
using token::BackendId;

class UnreachableReportFilterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnreachableReportFilterTest);
  CPPUNIT_TEST(forwardsEachReportOnce);
  CPPUNIT_TEST(limitsForwardedReports);
  CPPUNIT_TEST_SUITE_END();

  // Guards against instances that send each other the same report forever when
  // it comes back by another path.
  void forwardsEachReportOnce() {
    UnreachableReportFilter filter;
    Time now{100s};
    expectTrue(filter.shouldForward(BackendId{1}, now), "first report");
    expectTrue(!filter.shouldForward(BackendId{1}, now + 1s),
               "same server within the window");
    expectTrue(filter.shouldForward(BackendId{2}, now + 1s), "another server");
    expectTrue(filter.shouldForward(BackendId{1}, now + 2s),
               "after the window");
  }

  void limitsForwardedReports() {
    UnreachableReportFilter filter;
    Time now{100s};
    size_t forwarded = 0;
    for (uint64_t id = 1; id <= 10 * UnreachableReportFilter::MaxReports; ++id)
      if (filter.shouldForward(BackendId{id}, now))
        ++forwarded;
    expectEqual<size_t>(UnreachableReportFilter::MaxReports, forwarded);
    expectTrue(filter.shouldForward(BackendId{1}, now + 3s),
               "forwards again later");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnreachableReportFilterTest);
