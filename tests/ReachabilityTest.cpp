// Probes of servers that stop answering, and the resets that follow.

#include "chicorybank/token/Reachability.h"

#include "Story.h"
#include "TokenSamples.h"

#include <algorithm>

using namespace story;
using namespace samples::token;

namespace {

RouteSet routesWithIdempotentFeed() {
  RouteSet out = bothRoutes(2);
  out.Routes[0].Idempotent = true;
  return out;
}

/// An instance with two servers of one service. A caller's request went to
/// server 1, and a probe of that server is under way.
struct ProbedServerFixture : Instance {
  ProbedServerFixture() {
    configure({server(1), server(2)});
    handle(RoutesLearned{routesWithIdempotentFeed()});
    pass(1s);
    Waiting.Echo = tokenOf(BackendId{1});
    packet(Waiting.data(1));
    FirstProbes = filter<ProbeBackend>(pass(70ms));
  }
  /// Server 2 answers another caller.
  void server2Answers() {
    Caller other{.Port = 7, .Echo = tokenOf(BackendId{2})};
    uint32_t position = ++Count;
    packet(other.data(position, position));
    packet(other.ack(++Count));
  }
  Actions endProbe(ProbeOutcome outcome, uint64_t id = 1) {
    return handle(ProbeEnded{.Id = BackendId{id}, .Outcome = outcome});
  }
  /// A further probe of a server fails while one of server 2 is answered.
  Actions failFurtherProbe(uint64_t id = 1) {
    Now += 2ms;
    endProbe(ProbeOutcome::Reached, 2);
    Now += 80ms;
    return endProbe(ProbeOutcome::Failed, id);
  }
  /// Three probes of a server fail while the link works.
  Actions failAllProbes(uint64_t id = 1) {
    server2Answers();
    endProbe(ProbeOutcome::Failed, id);
    failFurtherProbe(id);
    return failFurtherProbe(id);
  }

  Caller Waiting{.Port = 1};
  uint32_t Count = 10;
  std::vector<ProbeBackend> FirstProbes;
};

} // namespace

class ReachabilityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReachabilityTest);
  CPPUNIT_TEST(resetsFlowsOfAnUnreachableServer);
  CPPUNIT_TEST(keepsFlowsOfASlowServer);
  CPPUNIT_TEST(neverResetsRequestsThatMustNotRunTwice);
  CPPUNIT_TEST(resetsNothingIfItsOwnLinkIsDown);
  CPPUNIT_TEST(resetsNothingIfItsOwnLinkIsSlow);
  CPPUNIT_TEST(resetsIdleFlowsWhoseRequestsMustNotRunTwice);
  CPPUNIT_TEST(declaresNoServerUnreachableAfterAFalseAlarm);
  CPPUNIT_TEST(ignoresConclusionsFromBeforeAFalseAlarm);
  CPPUNIT_TEST(scalesTheProbeTimeoutWithTheRoundTrip);
  CPPUNIT_TEST(resetsNothingInAZoneThatNeverAnswered);
  CPPUNIT_TEST(dropsAnOldConclusion);
  CPPUNIT_TEST(acceptsAnAnswerAsASignOfLife);
  CPPUNIT_TEST(ignoresProbesFromBeforeASuspension);
  CPPUNIT_TEST(reportsAnUnreachableServer);
  CPPUNIT_TEST(probesAServerThatAnotherInstanceReported);
  CPPUNIT_TEST(limitsTheRateOfProbes);
  CPPUNIT_TEST(detectsSeveralUnreachableServersAtATime);
  CPPUNIT_TEST(comparesWithAnotherServerIfTheFirstFailsToo);
  CPPUNIT_TEST(waitsForTheLastAnswersOfADrainingServer);
  CPPUNIT_TEST(resetsFlowsOfAServerWhoseAddressWasReused);
  CPPUNIT_TEST(resetsNothingWithoutThreeFailedProbes);
  CPPUNIT_TEST_SUITE_END();

  // Guards against the reset of an open flow during a planned replacement while
  // its server still works on the request. The server drains for five seconds
  // and stops listening; a request takes longer than usual; three probes are
  // refused within ten milliseconds. A refused probe of a draining server is no
  // evidence that it has failed.
  void waitsForTheLastAnswersOfADrainingServer() {
    auto resetsAfter = [](bool draining, ProbeOutcome outcome) {
      ProbedServerFixture instance;
      Registration leaving = server(1);
      leaving.Draining = draining;
      instance.handle(BackendsLearned{.Present = {leaving}});
      instance.server2Answers();
      size_t resets = filter<ResetFlow>(instance.endProbe(outcome)).size();
      for (int n = 0; n < 2; ++n) {
        instance.Now += 2ms;
        instance.endProbe(ProbeOutcome::Reached, 2);
        resets += filter<ResetFlow>(instance.endProbe(outcome)).size();
      }
      return resets;
    };
    expectEqual<size_t>(0, resetsAfter(true, ProbeOutcome::Refused));
    section("a server that was not draining has crashed", [&] {
      expectEqual<size_t>(1, resetsAfter(false, ProbeOutcome::Refused));
    });
    section("a planned stop does not explain a missing answer", [&] {
      expectEqual<size_t>(1, resetsAfter(true, ProbeOutcome::Failed));
    });
  }

  // Guards against callers of crashed servers that wait for more than a second,
  // from two seconds after the crash until the registrations expire. The
  // address of a crashed server is given to another server, which answers
  // probes while the updates about it are late. An answered probe must then
  // count neither as a sign of life nor as a false alarm.
  //
  // Load: a quarter of 120 servers replaced at once while the registry takes
  // 250 ms for an answer. Objectives are 500 ms; a reset after the usual wait
  // leaves time for the repeated request.
  void resetsFlowsOfAServerWhoseAddressWasReused() {
    auto later = [](Duration after) {
      auto out = std::make_unique<ProbedServerFixture>();
      out->handle(BackendsLearned{.Present = {server(5)}});
      out->failAllProbes();
      out->pass(after);
      out->endProbe(ProbeOutcome::Reached);
      return out;
    };
    Caller idle{.Port = 3, .Echo = tokenOf(BackendId{1})};
    auto waits = [&](ProbedServerFixture &instance) {
      expectEqual<uint64_t>(1, sentTo(instance.packet(idle.data(1))));
      return filter<ResetFlow>(instance.pass(300ms));
    };
    section("after two seconds the new owner of the address may answer", [&] {
      auto instance = later(2s);
      auto resets = waits(*instance);
      expectTrue(resets.size() == 1 && resets[0].Flow.Source.Port == 3,
                 "the flow is reset after the usual wait");
      section(
          "it is no false alarm: other servers are still declared unreachable",
          [&] {
            Caller other{.Port = 8, .Echo = tokenOf(BackendId{5})};
            instance->packet(other.data(1));
            instance->pass(70ms);
            expectEqual<size_t>(
                1, filter<ResetFlow>(instance->failAllProbes(5)).size());
          });
    });
    section("a server that was cut off and answers its flows is trusted", [&] {
      auto instance = later(2s);
      Caller served{.Port = 9, .Echo = tokenOf(BackendId{1})};
      instance->packet(served.data(1, 1));
      instance->packet(served.ack(2));
      expectTrue(waits(*instance).empty(), "no reset");
    });
    section("so is a server that is still registered seconds later", [&] {
      auto instance = later(2s);
      instance->pass(4s);
      expectTrue(waits(*instance).empty(), "no reset");
    });
    section("an answer shortly afterwards is a false alarm", [&] {
      auto instance = later(200ms);
      expectTrue(waits(*instance).empty(), "no reset");
    });
  }

  // Guards against callers that wait until their deadlines if a server loses
  // power. Its registration stays until it expires, and without probes nothing
  // else ends its flows.
  void resetsFlowsOfAnUnreachableServer() {
    ProbedServerFixture instance;
    expectEqual<size_t>(1, instance.FirstProbes.size());
    expectEqual<uint64_t>(1, instance.FirstProbes[0].Id.Value);
    section("after one failure it is probed again with a longer timeout", [&] {
      instance.server2Answers();
      Actions actions = instance.endProbe(ProbeOutcome::Failed);
      auto again = filter<ProbeBackend>(actions);
      expectEqual<size_t>(2, again.size());
      expectEqual<uint64_t>(2, again[0].Id.Value);
      expectEqual<uint64_t>(1, again[1].Id.Value);
      expectTrue(again[1].Timeout > instance.FirstProbes[0].Timeout,
                 "the timeout is longer");
      expectTrue(filter<ResetFlow>(actions).empty(), "nothing is reset yet");
    });
    section("also after two failures", [&] {
      Actions actions = instance.failFurtherProbe();
      expectTrue(filter<ResetFlow>(actions).empty(), "nothing is reset yet");
    });
    section("after three failures the flow that waits is reset", [&] {
      Actions actions = instance.failFurtherProbe();
      expectTrue(resetReason(actions) == Reason::BackendUnreachable, "a reset");
    });
    section("the next request on another flow is reset too", [&] {
      Caller idle{.Port = 3, .Echo = tokenOf(BackendId{1})};
      expectTrue(resetReason(instance.packet(idle.data(1))) ==
                     Reason::BackendUnreachable,
                 "a reset");
      expectEqual<uint64_t>(1, sentTo(instance.packet(idle.ack())));
    });
    section("new flows go to another server", [&] {
      for (uint16_t port = 20; port < 40; ++port)
        expectEqual<uint64_t>(
            2, sentTo(instance.packet(Caller{.Port = port}.open())));
    });
  }

  // Guards against resets of flows at a slow server: its requests wait for
  // long, but it accepts connections.
  void keepsFlowsOfASlowServer() {
    ProbedServerFixture instance;
    instance.endProbe(ProbeOutcome::Reached);
    instance.server2Answers();
    expectTrue(filter<ResetFlow>(instance.pass(5s)).empty(), "no reset");
    expectEqual<uint64_t>(1, sentTo(instance.packet(instance.Waiting.data(1))));
  }

  // Guards against the reset of a request that its caller can't repeat. The
  // server may be cut off from this instance only and still answer the caller.
  void neverResetsRequestsThatMustNotRunTwice() {
    ProbedServerFixture instance;
    Caller once{.Port = 5, .Route = Papers, .Echo = tokenOf(BackendId{3})};
    instance.handle(BackendsLearned{.Present = {server(3, Certificates)}});
    instance.packet(once.data(1));
    instance.pass(70ms);
    Actions actions = instance.failAllProbes(3);
    expectTrue(filter<ResetFlow>(actions).empty(), "no reset");
    expectEqual<size_t>(1, filter<ReportUnreachable>(actions).size());
    expectEqual<uint64_t>(3, sentTo(instance.packet(once.data(1))));
  }

  // Guards against an instance that resets all flows because its own link is
  // down or saturated, so that probes of every server fail.
  void resetsNothingIfItsOwnLinkIsDown() {
    ProbedServerFixture instance;
    instance.server2Answers();
    instance.endProbe(ProbeOutcome::Failed);
    for (int n = 0; n < 3; ++n) {
      instance.Now += 80ms;
      instance.endProbe(ProbeOutcome::Failed, 2);
      Actions actions = instance.endProbe(ProbeOutcome::Failed);
      expectTrue(filter<ResetFlow>(actions).empty(), "no server answered");
    }
    expectEqual<uint64_t>(1, sentTo(instance.packet(instance.Waiting.data(1))));
  }

  // Guards against resets while an instance sends a large configuration to
  // others: its link is saturated for a second and delays probes, but answers
  // to earlier packets still arrive. A sign of life of another server does not
  // prove that the link works.
  void resetsNothingIfItsOwnLinkIsSlow() {
    ProbedServerFixture instance;
    instance.server2Answers();
    instance.endProbe(ProbeOutcome::Failed);
    for (int n = 0; n < 3; ++n) {
      instance.Now += 60ms;
      instance.server2Answers();
      instance.endProbe(ProbeOutcome::Reached, 2);
      instance.Now += 20ms;
      Actions actions = instance.endProbe(ProbeOutcome::Failed);
      expectTrue(filter<ResetFlow>(actions).empty(),
                 "the other server answered, but late");
    }
  }

  // Guards against resets while a saturated link drops every other packet:
  // probes of some servers fail several times, others are answered at once. One
  // answer does not prove that the link loses nothing.
  void declaresNoServerUnreachableAfterAFalseAlarm() {
    ProbedServerFixture instance;
    instance.handle(BackendsLearned{.Present = {server(5)}});
    Caller other{.Port = 8, .Echo = tokenOf(BackendId{5})};
    instance.packet(other.data(1));
    expectEqual<size_t>(1, filter<ProbeBackend>(instance.pass(70ms)).size());
    instance.endProbe(ProbeOutcome::Failed, 5);
    instance.endProbe(ProbeOutcome::Reached, 5);
    expectTrue(filter<ResetFlow>(instance.failAllProbes()).empty(),
               "server 5 failed a probe and then answered");
    section("after a while the link is trusted again", [&] {
      instance.pass(3s);
      instance.packet(instance.Waiting.data(1));
      auto resets = filter<ResetFlow>(instance.failFurtherProbe());
      expectEqual<size_t>(1, resets.size());
    });
  }

  // Guards against requests that must not run twice and fail one after the
  // other until the registration of a crashed server expires. Callers keep
  // flows open for such requests; the server crashes between two of them.
  // Without a reset of the idle flows, the next request of each flow is sent to
  // the server and lost, and its caller can't know whether it ran.
  void resetsIdleFlowsWhoseRequestsMustNotRunTwice() {
    ProbedServerFixture instance;
    RouteSet both = routesWithIdempotentFeed();
    both.Version = RuleVersion{3};
    both.Routes[1].Services = {{.Service = Records}};
    instance.handle(RoutesLearned{both});
    auto served = [&](uint16_t port, Address route, uint64_t server) {
      Caller out{
          .Port = port, .Route = route, .Echo = tokenOf(BackendId{server})};
      instance.packet(out.data(1, 1));
      instance.packet(out.ack(2));
      return out;
    };
    served(10, Papers, 1);
    served(11, Feed, 1);
    served(12, Papers, 2);
    instance.endProbe(ProbeOutcome::Reached);
    instance.pass(300ms);
    // The server stops answering while these are in progress.
    Caller busy{.Port = 13, .Route = Papers, .Echo = tokenOf(BackendId{1})};
    instance.packet(busy.data(1));
    Caller repeatable{.Port = 15, .Echo = tokenOf(BackendId{1})};
    instance.packet(repeatable.data(1));
    instance.pass(200ms);
    Actions actions = instance.failAllProbes();
    std::vector<uint16_t> ports;
    for (const ResetFlow &it : filter<ResetFlow>(actions))
      ports.push_back(it.Flow.Source.Port);
    std::sort(ports.begin(), ports.end());
    // The request of the first caller has waited since the start of the test.
    expectTrue(
        ports == std::vector<uint16_t>{1, 10, 15},
        "requests that may be repeated, and the idle flow whose next one "
        "may not");
  }

  // Guards against resets at a healthy server: three of its probes fail, and
  // just after that another server, which had failed a probe too, shows a sign
  // of life. The cause is this instance's saturated link, detected only after
  // the conclusion, so a later request must be forwarded.
  void ignoresConclusionsFromBeforeAFalseAlarm() {
    ProbedServerFixture instance;
    instance.handle(BackendsLearned{.Present = {server(5)}});
    instance.failAllProbes();
    Caller other{.Port = 8, .Echo = tokenOf(BackendId{5})};
    instance.packet(other.data(1));
    expectEqual<size_t>(1, filter<ProbeBackend>(instance.pass(70ms)).size());
    instance.endProbe(ProbeOutcome::Failed, 5);
    Caller idle{.Port = 3, .Echo = tokenOf(BackendId{1})};
    expectTrue(resetReason(instance.packet(idle.data(1))) ==
                   Reason::BackendUnreachable,
               "no false alarm yet");
    instance.endProbe(ProbeOutcome::Reached, 5);
    Caller next{.Port = 4, .Echo = tokenOf(BackendId{1})};
    expectEqual<uint64_t>(1, sentTo(instance.packet(next.data(1))));
  }

  // Guards against resets of flows at servers in another region. A server with
  // a round trip of 150 ms works on a request for longer than nearby servers
  // do; with one timeout for all distances, its probes would fail before the
  // answer can arrive.
  void scalesTheProbeTimeoutWithTheRoundTrip() {
    Instance instance;
    Registration far = server(1);
    far.Zone = "far";
    instance.configure({far});
    Caller caller;
    instance.packet(caller.open());
    instance.Now += 150ms;
    caller.Echo = tokenOf(BackendId{1});
    instance.packet(caller.ack());
    instance.Now += 1ms;
    instance.packet(caller.data(1));
    auto probes = filter<ProbeBackend>(instance.pass(300ms));
    expectEqual<size_t>(1, probes.size());
    expectTrue(probes[0].Timeout >= 450ms, "several round trips");
  }

  void resetsNothingInAZoneThatNeverAnswered() {
    ProbedServerFixture instance;
    Registration far = server(4);
    far.Zone = "far";
    instance.handle(BackendsLearned{.Present = {far}});
    Caller caller{.Port = 9, .Echo = tokenOf(BackendId{4})};
    instance.packet(caller.data(1));
    instance.pass(70ms);
    expectTrue(filter<ResetFlow>(instance.failAllProbes(4)).empty(),
               "no reset");
  }

  // Guards against resets long after the servers are reachable again: a cut
  // between zones ends, and no probe was sent meanwhile.
  void dropsAnOldConclusion() {
    ProbedServerFixture instance;
    instance.failAllProbes();
    instance.pass(700ms);
    instance.server2Answers();
    Caller idle{.Port = 3, .Echo = tokenOf(BackendId{1})};
    Actions actions = instance.packet(idle.data(1));
    expectEqual<uint64_t>(1, sentTo(actions));
    expectEqual<size_t>(2, filter<ProbeBackend>(actions).size());
    section("after an answered probe requests are forwarded again", [&] {
      instance.endProbe(ProbeOutcome::Reached);
      expectEqual<uint64_t>(1, sentTo(instance.packet(idle.data(200))));
    });
  }

  void acceptsAnAnswerAsASignOfLife() {
    ProbedServerFixture instance;
    instance.server2Answers();
    instance.endProbe(ProbeOutcome::Failed);
    instance.Now += 2ms;
    instance.endProbe(ProbeOutcome::Reached, 2);
    instance.packet(instance.Waiting.ack(500));
    Actions actions = instance.endProbe(ProbeOutcome::Failed);
    expectTrue(filter<ResetFlow>(actions).empty(),
               "the server answered a caller");
    Caller idle{.Port = 3, .Echo = tokenOf(BackendId{1})};
    expectEqual<uint64_t>(1, sentTo(instance.packet(idle.data(1))));
  }

  // Guards against resets after the process was suspended: the timeout of a
  // probe passes during the suspension, which does not count against the
  // server.
  void ignoresProbesFromBeforeASuspension() {
    ProbedServerFixture instance;
    instance.Now += 3s;
    instance.handle(Tick{});
    Actions actions = instance.failAllProbes();
    expectTrue(filter<ResetFlow>(actions).empty(),
               "the first probe does not count");
  }

  void reportsAnUnreachableServer() {
    ProbedServerFixture instance;
    auto reports = filter<ReportUnreachable>(instance.failAllProbes());
    expectEqual<size_t>(1, reports.size());
    expectEqual<uint64_t>(1, reports[0].Id.Value);
  }

  // Guards against each of seventy instances losing requests of its own before
  // it avoids servers that have crashed. The first instance detects this after
  // half a second and reports it to the others.
  void probesAServerThatAnotherInstanceReported() {
    Instance instance;
    Registration far = server(3);
    far.Zone = "b";
    instance.configure({server(1), server(2), far});
    Caller old{.Port = 1, .Echo = tokenOf(BackendId{2})};
    instance.packet(old.data(1));
    instance.packet(old.ack(500));
    instance.pass(1s);
    auto reported = [&](uint64_t id) {
      return filter<ProbeBackend>(
          instance.handle(BackendReportedUnreachable{.Id = BackendId{id}}));
    };
    section("the server is probed together with one that answered", [&] {
      expectEqual<size_t>(2, reported(1).size());
      expectTrue(reported(1).empty(), "a probe is under way already");
    });
    section("the report alone changes nothing", [&] {
      Caller caller{.Port = 5, .Echo = tokenOf(BackendId{1})};
      expectEqual<uint64_t>(1, sentTo(instance.packet(caller.data(1))));
      instance.handle(
          ProbeEnded{.Id = BackendId{1}, .Outcome = ProbeOutcome::Reached});
      expectEqual<uint64_t>(1, sentTo(instance.packet(caller.data(200))));
    });
    section("a server in another zone without flows here is not probed", [&] {
      expectTrue(reported(3).empty(), "no probe");
      expectTrue(reported(99).empty(), "no probe of an unknown server");
    });
  }

  void limitsTheRateOfProbes() {
    ProbedServerFixture instance;
    instance.endProbe(ProbeOutcome::Reached);
    size_t probes = 0;
    for (int n = 0; n < 100; ++n) {
      Caller next{.Port = static_cast<uint16_t>(100 + n),
                  .Echo = tokenOf(BackendId{1})};
      instance.packet(next.data(1));
      for (const ProbeBackend &it : filter<ProbeBackend>(instance.pass(10ms))) {
        ++probes;
        instance.handle(
            ProbeEnded{.Id = it.Id, .Outcome = ProbeOutcome::Reached});
      }
    }
    expectTrue(probes >= 1 && probes <= 4, "at most four a second");
  }

  void resetsNothingWithoutThreeFailedProbes() {
    property("with any packets and probes, a reset follows three failures", [] {
      ProbedServerFixture instance;
      auto steps =
          *rc::gen::container<std::vector<int>>(rc::gen::inRange<int>(0, 6));
      int failed = 0;
      for (int it : steps) {
        Actions actions;
        if (it == 0) {
          actions = instance.endProbe(ProbeOutcome::Failed);
          ++failed;
        } else if (it == 1) {
          actions = instance.endProbe(ProbeOutcome::Reached);
          failed = 0;
        } else if (it == 2) {
          actions = instance.packet(instance.Waiting.ack(++instance.Count));
          failed = 0;
        } else if (it == 3) {
          instance.server2Answers();
          instance.endProbe(ProbeOutcome::Reached, 2);
        } else if (it == 4) {
          actions = instance.packet(instance.Waiting.data(1));
        } else {
          actions = instance.pass(100ms);
        }
        if (!filter<ResetFlow>(actions).empty())
          RC_ASSERT(failed >= 3);
      }
    });
  }

  // Guards against callers that wait for a second or two if an instance has
  // flows at several crashed servers. The probes of two servers fail at about
  // the same time, with the same server for comparison. Its later answer must
  // not hide the earlier one, which came in time.
  void detectsSeveralUnreachableServersAtATime() {
    ProbedServerFixture instance;
    instance.configure({server(3)});
    Caller other{.Port = 9, .Echo = tokenOf(BackendId{3})};
    instance.packet(other.data(1));
    instance.server2Answers();
    Actions last = instance.endProbe(ProbeOutcome::Failed, 1);
    for (int n = 0; n < 2; ++n) {
      instance.Now += 2ms;
      instance.endProbe(ProbeOutcome::Reached, 2);
      instance.Now += 60ms;
      instance.handle(BackendReportedUnreachable{BackendId{3}});
      instance.endProbe(ProbeOutcome::Reached, 2);
      instance.Now += 18ms;
      last = instance.endProbe(ProbeOutcome::Failed, 1);
    }
    expectTrue(resetReason(last) == Reason::BackendUnreachable, "a reset");
  }

  // Guards against callers that wait for two seconds if a quarter of a service
  // crashes and there are hundreds of instances. The comparison server, the
  // last one to answer here, has crashed too. Without another comparison,
  // nothing is probed until the caller's next retransmission.
  void comparesWithAnotherServerIfTheFirstFailsToo() {
    ProbedServerFixture instance;
    instance.server2Answers();
    auto comparison =
        filter<ProbeBackend>(instance.endProbe(ProbeOutcome::Failed));
    expectTrue(comparison.size() == 2 && comparison[0].Id == BackendId{2},
               "the last server to answer is probed for comparison");
    section("if it does not answer, another server is probed", [&] {
      // An unanswered request at a healthy server proves nothing about this
      // series.
      instance.configure({server(4)});
      Caller slow{.Port = 11, .Echo = tokenOf(BackendId{4})};
      instance.packet(slow.data(1));
      auto probes = filter<ProbeBackend>(instance.pass(75ms));
      expectTrue(probes.size() == 1 && probes[0].Id == BackendId{4}, "a probe");
      instance.endProbe(ProbeOutcome::Reached, 4);
      Actions own = instance.endProbe(ProbeOutcome::Failed);
      auto again = filter<ProbeBackend>(own);
      expectTrue(filter<ResetFlow>(own).empty(), "no conclusion");
      expectTrue(again.size() == 2 && again[0].Id == BackendId{4} &&
                     again[1].Id == BackendId{1},
                 "probed again at once");
    });
    section("if that one answers, the series continues", [&] {
      Actions last;
      for (int n = 0; n < 2; ++n) {
        instance.Now += 2ms;
        instance.endProbe(ProbeOutcome::Reached, 4);
        instance.Now += 80ms;
        last = instance.endProbe(ProbeOutcome::Failed);
      }
      expectTrue(resetReason(last) == Reason::BackendUnreachable, "a reset");
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReachabilityTest);
