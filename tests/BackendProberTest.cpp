// Tests backend probes over TCP on loopback.

#include "edge/BackendProber.h"

#include "Story.h"

#include <sys/socket.h>

using namespace story;
using namespace chicory;
using namespace chicory::edge;
using namespace std::chrono_literals;
using token::BackendId;
using token::ProbeOutcome;

namespace {

constexpr uint32_t Loopback = 0x7f000001;

Address loopbackAddress() { return {.Ip = Loopback, .Port = 0}; }

/// Runs the loop until one probe has ended, for at most two seconds.
token::ProbeEnded waitForEnd(EventLoop &loop, BackendProber &probes) {
  Time until = steadyNow() + 2s;
  while (steadyNow() < until) {
    loop.wait(5ms);
    auto ended = probes.takeEnded(steadyNow());
    if (!ended.empty())
      return ended.front();
  }
  fail("no probe has ended");
}

} // namespace

class BackendProberTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BackendProberTest);
  CPPUNIT_TEST(reachesAListener);
  CPPUNIT_TEST(reportsRefusalWithoutAListener);
  CPPUNIT_TEST(failsAfterTheTimeout);
  CPPUNIT_TEST(countsAnAnswerBeforeTheTimeout);
  CPPUNIT_TEST(limitsConcurrentProbes);
  CPPUNIT_TEST_SUITE_END();

  void reachesAListener() {
    auto listener = listenTcp(loopbackAddress());
    EventLoop loop;
    BackendProber probes(loop, Loopback);
    probes.start(
        {.Id = BackendId{4}, .Where = boundAddress(*listener), .Timeout = 1s},
        steadyNow());
    token::ProbeEnded ended = waitForEnd(loop, probes);
    expectEqual<uint64_t>(4, ended.Id.Value);
    expectTrue(ended.Outcome == ProbeOutcome::Reached, "reached");
    expectTrue(probes.nextAt() == Time::max(), "no probe is left");
  }

  void reportsRefusalWithoutAListener() {
    Address unusedAddress = boundAddress(*listenTcp(loopbackAddress()));
    EventLoop loop;
    BackendProber probes(loop, Loopback);
    probes.start({.Id = BackendId{4}, .Where = unusedAddress, .Timeout = 1s},
                 steadyNow());
    expectTrue(waitForEnd(loop, probes).Outcome == ProbeOutcome::Refused,
               "refused");
  }

  void failsAfterTheTimeout() {
    EventLoop loop;
    BackendProber probes(loop, Loopback);
    auto listener = listenTcp(loopbackAddress());
    ::listen(listener->get(), 0);
    Address full = boundAddress(*listener);
    // The backlog holds one connection; the kernel drops all further SYNs.
    auto first = connectTcp(Loopback, full);
    auto second = connectTcp(Loopback, full);
    probes.start({.Id = BackendId{4}, .Where = full, .Timeout = 50ms},
                 steadyNow());
    expectTrue(waitForEnd(loop, probes).Outcome == ProbeOutcome::Failed,
               "failed");
  }

  // Guards against a server that answered at once and counts as unreachable.
  // The thread does not run until after the timeout, and then checks the
  // timeouts before the sockets.
  void countsAnAnswerBeforeTheTimeout() {
    auto listener = listenTcp(loopbackAddress());
    EventLoop loop;
    BackendProber probes(loop, Loopback);
    Time now = steadyNow();
    probes.start(
        {.Id = BackendId{4}, .Where = boundAddress(*listener), .Timeout = 1s},
        now);
    auto ended = probes.takeEnded(now + 10s);
    expectEqual<size_t>(1, ended.size());
    expectTrue(ended[0].Outcome == ProbeOutcome::Reached, "reached");
  }

  void limitsConcurrentProbes() {
    auto listener = listenTcp(loopbackAddress());
    EventLoop loop;
    BackendProber probes(loop, Loopback);
    for (uint64_t id = 1; id <= BackendProber::MaxProbes + 1; ++id)
      probes.start({.Id = BackendId{id},
                    .Where = boundAddress(*listener),
                    .Timeout = 1s},
                   steadyNow());
    auto ended = probes.takeEnded(steadyNow());
    expectEqual<size_t>(1, ended.size());
    expectTrue(ended[0].Outcome == ProbeOutcome::NotTried, "not tried");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendProberTest);
