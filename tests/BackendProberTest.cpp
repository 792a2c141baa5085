// Probes over real sockets on loopback.

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

Address someAddress() { return {.Ip = Loopback, .Port = 0}; }

/// Runs the loop until one probe has ended, for two seconds at most.
token::ProbeEnded endOf(EventLoop &loop, BackendProber &probes) {
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
  CPPUNIT_TEST(isRefusedWhereNobodyListens);
  CPPUNIT_TEST(failsWithoutAnAnswerInTime);
  CPPUNIT_TEST(countsAnAnswerThatCameBeforeItsLimit);
  CPPUNIT_TEST(triesNoMoreThanItHasDescriptorsFor);
  CPPUNIT_TEST_SUITE_END();

  void reachesAListener() {
    auto listener = listenTcp(someAddress());
    EventLoop loop;
    BackendProber probes(loop, Loopback);
    probes.start(
        {.Id = BackendId{4}, .Where = boundAddress(*listener), .Timeout = 1s},
        steadyNow());
    token::ProbeEnded ended = endOf(loop, probes);
    expectEqual<uint64_t>(4, ended.Id.Value);
    expectTrue(ended.Outcome == ProbeOutcome::Reached, "reached");
    expectTrue(probes.nextAt() == Time::max(), "nothing is left");
  }

  void isRefusedWhereNobodyListens() {
    Address nobody = boundAddress(*listenTcp(someAddress()));
    EventLoop loop;
    BackendProber probes(loop, Loopback);
    probes.start({.Id = BackendId{4}, .Where = nobody, .Timeout = 1s},
                 steadyNow());
    expectTrue(endOf(loop, probes).Outcome == ProbeOutcome::Refused, "refused");
  }

  void failsWithoutAnAnswerInTime() {
    EventLoop loop;
    BackendProber probes(loop, Loopback);
    auto listener = listenTcp(someAddress());
    ::listen(listener->get(), 0);
    Address full = boundAddress(*listener);
    // One waits to be accepted; the openings of all others are dropped.
    auto first = connectTcp(Loopback, full);
    auto second = connectTcp(Loopback, full);
    probes.start({.Id = BackendId{4}, .Where = full, .Timeout = 50ms},
                 steadyNow());
    expectTrue(endOf(loop, probes).Outcome == ProbeOutcome::Failed, "failed");
  }

  // Symptom: a server that answered at once counts as unreachable.
  // Sequence: the thread gets no turn until after the time limit.
  // Cause: time limits looked at before the sockets.
  void countsAnAnswerThatCameBeforeItsLimit() {
    auto listener = listenTcp(someAddress());
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

  void triesNoMoreThanItHasDescriptorsFor() {
    auto listener = listenTcp(someAddress());
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
