// Tests of the HTTP server for operators.

#include "lib/daemon/Admin.h"

#include "chicorybank/base/Socket.h"

#include "Story.h"

using namespace story;
using namespace chicory;

class AdminTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdminTest);
  CPPUNIT_TEST(stopsRightAfterItsStart);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a daemon that never ends: it is stopped before the thread of
  // its HTTP server has begun to listen.
  void stopsRightAfterItsStart() {
    constexpr uint32_t Loopback = 0x7f000001;
    CoreRings rings;
    WorkerCounters counters;
    Journal journal(1, "error");
    for (int n = 0; n < 200; ++n) {
      Address listen = boundAddress(*listenTcp({.Ip = Loopback, .Port = 0}));
      AdminServer server(listen, rings, counters, journal,
                         [] { return WorkerStats{}; });
      auto started = server.start();
      expectTrue(started.has_value(), started ? "" : started.error());
      server.stop();
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdminTest);
