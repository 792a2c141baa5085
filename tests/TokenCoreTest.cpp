// The token path's promises: never another service, never a guess, and resets
// for nobody whose server may live.

#include "chicorybank/token/Core.h"

#include "Story.h"
#include "TokenSamples.h"

#include <algorithm>
#include <set>

using namespace story;
using namespace samples::token;

class TokenCoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TokenCoreTest);
  CPPUNIT_TEST(carriesAFlowAtAnyInstance);
  CPPUNIT_TEST(neverLetsATokenReachAnotherService);
  CPPUNIT_TEST(holdsBackWhatItDoesNotKnow);
  CPPUNIT_TEST(resetsAFlowWhoseServerHasLongEnded);
  CPPUNIT_TEST(remembersOnlySoManyUnknownFlows);
  CPPUNIT_TEST(dropsWhatTwoServersCouldOwn);
  CPPUNIT_TEST(keepsCopiesOfAnOpeningTogether);
  CPPUNIT_TEST(movesOpeningsFromASilentServer);
  CPPUNIT_TEST(takesAnOldAnswerForNoSignOfLife);
  CPPUNIT_TEST(keepsAFlowWithTheFirstThatAnswered);
  CPPUNIT_TEST(blamesNobodyForItsOwnPause);
  CPPUNIT_TEST(believesTheTokenRatherThanItsMemory);
  CPPUNIT_TEST(leavesADrainingServer);
  CPPUNIT_TEST(keepsFlowsWhileRegistrationsAreInDoubt);
  CPPUNIT_TEST(takesOldNewsForNoProof);
  CPPUNIT_TEST(usesMissingServersAsTheLastResort);
  CPPUNIT_TEST(spreadsOverServersThatLapsed);
  CPPUNIT_TEST(servesWhatItKnowsBeforeItKnowsAll);
  CPPUNIT_TEST(saysNothingOnRoutesItMayNotKnowYet);
  CPPUNIT_TEST(takesARouteAwayWithItsFlows);
  CPPUNIT_TEST(spreadsRequestsOverServers);
  CPPUNIT_TEST(staysInItsZoneUntilThatIsBusier);
  CPPUNIT_TEST(endsItsCountsWithTheFlows);
  CPPUNIT_TEST(resetsFlowsOfAFormerLife);
  CPPUNIT_TEST(believesNoClockThatCannotBeRight);
  CPPUNIT_TEST(sendsNothingNewWhereARegistrationCannotBeRead);
  CPPUNIT_TEST_SUITE_END();

  void carriesAFlowAtAnyInstance() {
    Instance opener;
    Instance other;
    opener.learn({server(1), server(2), server(3)});
    other.learn({server(1), server(2), server(3)});
    Caller caller;
    uint64_t to = sentTo(opener.packet(caller.open()));
    expectTrue(to != 0, "it is placed");
    caller.Echo = tokenOf(BackendId{to});
    section("another instance gets the rest", [&] {
      auto sent = only<Forward>(other.packet(caller.data(1)));
      expectEqual<size_t>(1, sent.size());
      expectEqual<uint64_t>(to, sent[0].To.Value);
      expectTrue(sent[0].Echo == caller.Echo, "the token is written again");
    });
  }

  void neverLetsATokenReachAnotherService() {
    property("a packet reaches a service of its route, whatever the token", [] {
      Instance instance;
      instance.learn({server(1), server(2), server(3, Certificates),
                      server(4, Certificates)});
      Caller caller;
      caller.Route = *rc::gen::element(Feed, Papers);
      caller.Echo = Token{*rc::gen::inRange<uint32_t>(0, 6)};
      FlowPacket head = *rc::gen::element(caller.open(), caller.data(1),
                                          caller.ack(), caller.ack(9));
      std::set<uint64_t> allowed = caller.Route == Feed
                                       ? std::set<uint64_t>{1, 2}
                                       : std::set<uint64_t>{3, 4};
      for (const Forward &it : only<Forward>(instance.packet(head)))
        RC_ASSERT(allowed.contains(it.To.Value));
    });
  }

  // Symptom: an open flow is reset or lands at a wrong server.
  // Sequence: a server registers, a flow opens through an instance that knows
  // it, the next packet comes to one that does not yet.
  // Cause: an unknown token taken for an old one.
  void holdsBackWhatItDoesNotKnow() {
    Instance instance;
    instance.learn({server(1)});
    instance.pass(5s);
    Caller caller{.Echo = tokenOf(BackendId{9})};
    Actions actions = instance.packet(caller.data(1));
    expectTrue(silent(actions), "nothing is sent, nothing is reset");
    instance.pass(2s);
    expectTrue(silent(instance.packet(caller.data(1))), "still nothing");
    section("its registration arrives", [&] {
      instance.handle(BackendsLearned{.Present = {server(9)}});
      expectEqual<uint64_t>(9, sentTo(instance.packet(caller.data(1))));
    });
  }

  void resetsAFlowWhoseServerHasLongEnded() {
    Instance instance;
    instance.learn({server(1)});
    Caller caller{.Echo = tokenOf(BackendId{9})};
    instance.packet(caller.data(1));
    section("while the news is not current nothing is certain", [&] {
      instance.pass(6s, false);
      expectTrue(silent(instance.packet(caller.data(1))), "no reset");
    });
    instance.pass(6s);
    expectTrue(resetWhy(instance.packet(caller.data(1, 77))) ==
                   Reason::BackendGone,
               "after all that time no registration can be on its way");
  }

  // Symptom: an instance is killed for its memory.
  // Sequence: somebody sends packets with made-up tokens from ever new ports.
  // Cause: each such flow remembered for a minute.
  void remembersOnlySoManyUnknownFlows() {
    Instance instance({.Zone = "a", .MaxUnknownFlows = 50});
    instance.learn({server(1)});
    for (uint16_t port = 1; port <= 500; ++port)
      instance.packet(
          Caller{.Port = port, .Echo = tokenOf(BackendId{9})}.data(1));
    expectEqual<size_t>(50, instance.Steers.unknownFlows());
    section("those that are remembered are reset in time all the same", [&] {
      instance.pass(6s);
      Caller first{.Port = 1, .Echo = tokenOf(BackendId{9})};
      expectTrue(resetWhy(instance.packet(first.data(1))) ==
                     Reason::BackendGone,
                 "reset");
    });
  }

  // Two servers whose ids fold to one token, in one service.
  void dropsWhatTwoServersCouldOwn() {
    constexpr uint64_t High = uint64_t{1} << 32;
    Instance instance;
    instance.learn({server(5), server(High | 4), server(7)});
    section("new flows avoid both", [&] {
      for (uint16_t port = 1; port < 50; ++port)
        expectEqual<uint64_t>(
            7, sentTo(instance.packet(Caller{.Port = port}.open())));
    });
    section("a flow that is not remembered is not guessed at", [&] {
      Caller caller{.Echo = tokenOf(BackendId{5})};
      expectTrue(silent(instance.packet(caller.data(1))), "dropped");
      auto ambiguous = static_cast<size_t>(Reason::AmbiguousToken);
      expectEqual<uint64_t>(1, instance.Steers.stats().Drops[ambiguous]);
    });
  }

  // Symptom: a caller's flow is at one server and its token names another.
  // Sequence: copies of an opening go to two servers, both answer.
  // Cause: a copy placed anew although the first server answers others.
  void keepsCopiesOfAnOpeningTogether() {
    property("all copies go to one server that is not silent", [] {
      Instance instance;
      instance.learn({server(1), server(2), server(3)});
      Caller caller;
      caller.Port = *rc::gen::inRange<uint16_t>(1, 60000);
      uint64_t first = sentTo(instance.packet(caller.open()));
      instance.pass(std::chrono::milliseconds(*rc::gen::inRange(0, 24)));
      RC_ASSERT(sentTo(instance.packet(caller.open(1))) == first);
      RC_ASSERT(sentTo(instance.packet(caller.open(2))) == first);
    });
  }

  // Symptom: callers wait 200 ms for each opening that a dead server swallows.
  // Sequence: a server falls silent; its registration lapses seconds later.
  // Cause: nothing but the registry tells that it is dead.
  void movesOpeningsFromASilentServer() {
    Instance instance;
    instance.learn({server(1)});
    Caller one{.Port = 1};
    Caller two{.Port = 2};
    expectEqual<uint64_t>(1, sentTo(instance.packet(one.open())));
    expectEqual<uint64_t>(1, sentTo(instance.packet(two.open())));
    instance.handle(BackendsLearned{.Present = {server(2)}});
    section("two openings without an answer make it suspect", [&] {
      Actions actions = instance.pass(60ms);
      auto sent = only<Forward>(actions);
      expectEqual<size_t>(2, sent.size());
      for (const Forward &it : sent)
        expectEqual<uint64_t>(2, it.To.Value);
    });
    section("new flows avoid it", [&] {
      for (uint16_t port = 10; port < 20; ++port)
        expectEqual<uint64_t>(
            2, sentTo(instance.packet(Caller{.Port = port}.open())));
    });
    section("an answer clears it", [&] {
      Caller old{.Port = 1, .Echo = tokenOf(BackendId{1})};
      instance.packet(old.data(1, 1));
      instance.packet(old.ack(500));
      std::set<uint64_t> used;
      for (uint16_t port = 100; port < 160; ++port)
        used.insert(sentTo(instance.packet(Caller{.Port = port}.open())));
      expectTrue(used.contains(1), "it takes flows again");
    });
  }

  // Symptom: a dead server takes new flows until its registration lapses.
  // Sequence: it dies; a caller whose flow was idle sends its next request,
  // which acknowledges the last part of an answer from before.
  // Cause: an acknowledgement taken for an answer that has just come.
  void takesAnOldAnswerForNoSignOfLife() {
    Instance instance;
    instance.learn({server(1)});
    Caller idle{.Port = 1, .Echo = tokenOf(BackendId{1})};
    instance.packet(idle.data(1, 1));
    instance.packet(idle.ack(500));
    instance.packet(Caller{.Port = 2}.open());
    instance.packet(Caller{.Port = 3}.open());
    instance.pass(60ms);
    expectTrue(instance.Steers.backends().at(0).isSuspect(instance.Now),
               "two openings without an answer");
    instance.packet(idle.data(100, 700));
    expectTrue(instance.Steers.backends().at(0).isSuspect(instance.Now),
               "still suspect");
  }

  // Symptom: a flow's packets reach a server that does not have it.
  // Sequence: an opening is moved from a silent server to another; the silent
  // one answers late; the caller has the flow with whoever came first, and the
  // token of whoever came last.
  // Cause: the token believed although the opening went to two servers.
  void keepsAFlowWithTheFirstThatAnswered() {
    property("whatever the order of the two answers", [] {
      Instance instance;
      instance.learn({server(1)});
      Caller caller;
      instance.packet(caller.open());
      instance.packet(Caller{.Port = 1}.open());
      instance.handle(BackendsLearned{.Present = {server(2)}});
      RC_ASSERT(only<Forward>(instance.pass(60ms)).size() == 2);
      auto first = *rc::gen::inRange<uint64_t>(1, 3);
      caller.Echo = tokenOf(BackendId{first});
      RC_ASSERT(sentTo(instance.packet(caller.ack())) == first);
      uint32_t sequence = 1;
      auto later = *rc::gen::container<std::vector<uint64_t>>(
          rc::gen::inRange<uint64_t>(1, 3));
      for (uint64_t it : later) {
        caller.Echo = tokenOf(BackendId{it});
        RC_ASSERT(sentTo(instance.packet(caller.data(++sequence))) == first);
      }
    });
  }

  // Symptom: after a pause of the process all servers are suspect.
  // Sequence: openings are sent, the process stands still for seconds, the
  // answers of callers wait in its socket.
  // Cause: its own silence taken for theirs.
  void blamesNobodyForItsOwnPause() {
    Instance instance;
    instance.learn({server(1), server(2)});
    instance.pass(1s);
    for (uint16_t port = 1; port < 9; ++port)
      instance.packet(Caller{.Port = port}.open());
    instance.Now += 4s;
    Actions actions = instance.handle(Tick{});
    expectTrue(only<Forward>(actions).empty(), "nothing is sent again");
    for (BackendIndex i = 0; i < 2; ++i)
      expectTrue(!instance.Steers.backends().at(i).isSuspect(instance.Now),
                 "no server is suspect");
  }

  void believesTheTokenRatherThanItsMemory() {
    Instance instance;
    instance.learn({server(1)});
    Caller caller;
    instance.packet(caller.open());
    instance.handle(BackendsLearned{.Present = {server(2)}});
    caller.Echo = tokenOf(BackendId{2});
    expectEqual<uint64_t>(2, sentTo(instance.packet(caller.data(1))));
    expectEqual<uint32_t>(0, instance.Steers.backends().at(0).Flows);
  }

  void leavesADrainingServer() {
    Instance instance;
    instance.learn({server(1), server(2)});
    Registration leaving = server(1);
    leaving.Draining = true;
    instance.handle(BackendsLearned{.Present = {leaving}});
    for (uint16_t port = 1; port < 40; ++port)
      expectEqual<uint64_t>(
          2, sentTo(instance.packet(Caller{.Port = port}.open())));
    section("and its flows go on", [&] {
      Caller caller{.Port = 99, .Echo = tokenOf(BackendId{1})};
      expectEqual<uint64_t>(1, sentTo(instance.packet(caller.data(1))));
    });
  }

  // Symptom: open flows are reset after an outage of the registry.
  // Sequence: no news for seconds; registrations lapse; the first news after
  // it lacks them; the servers register again within two seconds.
  // Cause: a lapsed registration taken for the end of its server.
  void keepsFlowsWhileRegistrationsAreInDoubt() {
    Instance instance;
    instance.learn({server(1)});
    instance.pass(5s);
    Caller caller{.Echo = tokenOf(BackendId{1})};
    expectEqual<uint64_t>(1, sentTo(instance.packet(caller.data(1))));
    instance.pass(4s, false);
    instance.handle(BackendsLearned{.Ended = {BackendId{1}}});
    section("before and after the news is shown to be current", [&] {
      expectTrue(only<ResetFlow>(instance.pass(300ms, false)).empty(), "none");
      expectTrue(only<ResetFlow>(instance.pass(2s)).empty(), "no reset yet");
      expectEqual<uint64_t>(1, sentTo(instance.packet(caller.data(2))));
    });
    section("still missing after that", [&] {
      Actions actions = instance.pass(1s);
      expectTrue(resetWhy(actions) == Reason::BackendGone,
                 "the open flow is told at once");
    });
  }

  // Symptom: a flow to a server that came back is reset.
  // Sequence: the registry returns, the server's registration is missing; this
  // instance hears nothing for a while; meanwhile the server registers.
  // Cause: the grace time measured by this clock, not by the news's.
  void takesOldNewsForNoProof() {
    Instance instance;
    instance.learn({server(1)});
    instance.pass(5s);
    instance.pass(4s, false);
    instance.handle(BackendsLearned{.Ended = {BackendId{1}}});
    instance.handle(FreshnessUpdated{.CurrentAt = instance.Now});
    Caller caller{.Echo = tokenOf(BackendId{1})};
    instance.packet(caller.data(1));
    expectTrue(only<ResetFlow>(instance.pass(10s, false)).empty(),
               "no news, no reset");
  }

  // Symptom: new flows are reset although every server lives.
  // Sequence: the registry returns from an outage with all registrations
  // lapsed; servers register again one by one.
  // Cause: a missing registration taken for "takes nothing".
  void usesMissingServersAsTheLastResort() {
    Instance instance;
    instance.learn({server(1), server(2)});
    instance.pass(5s);
    instance.pass(4s, false);
    instance.handle(BackendsLearned{.Ended = {BackendId{1}, BackendId{2}}});
    instance.handle(FreshnessUpdated{.CurrentAt = instance.Now});
    expectTrue(sentTo(instance.packet(Caller{.Port = 7}.open())) != 0,
               "a missing server is tried");
    section("where the registry shows that one has ended, not before another",
            [] {
              Instance calm;
              calm.learn({server(1), server(2)});
              calm.pass(5s);
              calm.handle(BackendsLearned{.Ended = {BackendId{1}}});
              for (uint16_t port = 20; port < 40; ++port)
                expectEqual<uint64_t>(
                    2, sentTo(calm.packet(Caller{.Port = port}.open())));
            });
  }

  // Symptom: servers shed requests in the second after the registry is back.
  // Sequence: all registrations lapse in an outage; one server in ten is back.
  // Cause: whoever is back costs less than the others, in the eyes of all
  // instances at once.
  // Pattern: 1,500 requests a second through 86 instances, 150 servers.
  // Grounds: with shares alike, each server has what it always has; a tenth of
  // the servers must not get more than a fifth.
  void spreadsOverServersThatLapsed() {
    Instance instance;
    std::vector<Registration> all;
    std::vector<BackendId> ids;
    for (uint64_t id = 1; id <= 40; ++id) {
      all.push_back(server(id));
      ids.push_back(BackendId{id});
    }
    instance.learn(all);
    instance.pass(5s);
    instance.pass(4s, false);
    instance.handle(BackendsLearned{.Ended = ids});
    instance.handle(FreshnessUpdated{.CurrentAt = instance.Now});
    instance.handle(BackendsLearned{.Present = {all.begin(), all.begin() + 4}});
    int atReturned = 0;
    constexpr int Flows = 200;
    for (uint16_t port = 1; port <= Flows; ++port) {
      Caller caller{.Port = port};
      atReturned += sentTo(instance.packet(caller.open())) <= 4 ? 1 : 0;
      // Answered at once, as by servers that live.
      FlowPacket last = caller.ack();
      last.Finish = true;
      instance.packet(last);
    }
    expectTrue(atReturned <= Flows / 5,
               "a fifth at most: " + toText(atReturned));
  }

  // Symptom: nobody is served for two seconds after all instances were killed.
  // Sequence: 300 of them read 3,000 registrations each, all at once.
  // Cause: no packet carried before the last registration is known.
  void servesWhatItKnowsBeforeItKnowsAll() {
    Instance instance;
    expectTrue(!instance.Steers.canForward(), "nothing is known");
    instance.handle(RoutesLearned{bothRoutes(1)});
    instance.handle(BackendsLearned{.Present = {server(1)}});
    expectTrue(instance.Steers.canForward() && !instance.Steers.isReady(),
               "a part is known");
    expectEqual<uint64_t>(1, sentTo(instance.packet(Caller{}.open())));
    section("what it does not know yet is not refused", [&] {
      Caller other{.Port = 2, .Route = Papers};
      expectTrue(silent(instance.packet(other.open())), "no server yet");
      Caller unknown{.Port = 3, .Echo = tokenOf(BackendId{9})};
      expectTrue(silent(instance.packet(unknown.data(1))), "unknown token");
    });
    section("when all is known, a service without servers is refused", [&] {
      instance.handle(BackendsComplete{});
      instance.handle(FreshnessUpdated{.CurrentAt = instance.Now});
      Caller other{.Port = 4, .Route = Papers};
      expectTrue(resetWhy(instance.packet(other.open())) == Reason::NoTarget,
                 "reset");
    });
  }

  void saysNothingOnRoutesItMayNotKnowYet() {
    Instance instance;
    instance.learn({server(1)});
    Caller caller{.Route = {.Ip = 1, .Port = 1}};
    expectTrue(resetWhy(instance.packet(caller.open())) == Reason::NoMatch,
               "with current news it is certain");
    instance.pass(4s, false);
    Caller later{.Port = 2, .Route = caller.Route};
    expectTrue(silent(instance.packet(later.open())),
               "with old news the route may exist by now");
    caller.Echo = tokenOf(BackendId{1});
    expectTrue(silent(instance.packet(caller.data(1))),
               "an open flow of an unknown route is never reset");
  }

  void takesARouteAwayWithItsFlows() {
    Instance instance;
    instance.learn({server(1)});
    Caller caller{.Echo = tokenOf(BackendId{1})};
    instance.packet(caller.data(1));
    RouteSet fewer = bothRoutes(2);
    fewer.Routes.erase(fewer.Routes.begin());
    instance.handle(RoutesLearned{fewer});
    expectTrue(resetWhy(instance.packet(caller.data(2))) ==
                   Reason::RouteRemoved,
               "its flows end");
    expectTrue(resetWhy(instance.packet(Caller{.Port = 9}.open())) ==
                   Reason::RouteRemoved,
               "and none opens");
  }

  // The load: short flows, one request each, as many in progress as there are
  // servers. Even a slightly uneven choice would queue at one of them.
  void spreadsRequestsOverServers() {
    Instance instance;
    std::vector<Registration> servers;
    for (uint64_t id = 1; id <= 14; ++id)
      servers.push_back(server(id));
    instance.learn(servers);
    std::set<uint64_t> used;
    for (uint16_t port = 1; port <= 14; ++port)
      used.insert(sentTo(instance.packet(Caller{.Port = port}.open())));
    expectEqual<size_t>(14, used.size());
  }

  void staysInItsZoneUntilThatIsBusier() {
    Instance instance;
    Registration far = server(2);
    far.Zone = "b";
    instance.learn({server(1), far});
    std::vector<uint64_t> order;
    for (uint16_t port = 1; port <= 4; ++port)
      order.push_back(sentTo(instance.packet(Caller{.Port = port}.open())));
    expectEqual<uint64_t>(1, order[0]);
    expectEqual<uint64_t>(1, order[1]);
    expectTrue(std::find(order.begin(), order.end(), 2) != order.end(),
               "a busy zone spills over");
  }

  void endsItsCountsWithTheFlows() {
    property("after all flows have ended no load is left", [] {
      Instance instance;
      instance.learn({server(1), server(2)});
      std::vector<Caller> callers;
      for (uint16_t port = 1; port <= 6; ++port)
        callers.push_back({.Port = port});
      auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
          rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 6)));
      for (auto [who, what] : steps) {
        Caller &it = callers[static_cast<size_t>(who)];
        Actions actions;
        switch (what) {
        case 0:
          actions = instance.packet(it.open());
          break;
        case 1:
          actions = instance.packet(it.data(1));
          break;
        case 2:
          actions = instance.packet(it.ack(50));
          break;
        case 3:
          it.Echo = tokenOf(BackendId{1});
          break;
        case 4:
          it.Echo = tokenOf(BackendId{2});
          break;
        default:
          instance.pass(30ms);
        }
      }
      for (const Caller &it : callers) {
        FlowPacket end = it.packet();
        end.Echo = tokenOf(BackendId{1});
        end.Reset = true;
        instance.packet(end);
      }
      for (BackendIndex i = 0; i < 2; ++i) {
        RC_ASSERT(instance.Steers.backends().at(i).load() == 0);
        RC_ASSERT(instance.Steers.backends().at(i).Flows == 0);
      }
    });
  }

  /// The same server, started at this Unix millisecond.
  static Registration bornAt(int64_t born) {
    Registration out = server(1);
    out.StartedAtMs = born;
    return out;
  }

  // Symptom: requests wait for retransmissions, or for their deadlines, at a
  // server that knows nothing of them.
  // Sequence: a server crashes behind a cut and starts again under its id; its
  // registration never lapses.
  // Cause: the new life taken for the old one.
  void resetsFlowsOfAFormerLife() {
    Instance instance;
    instance.learn({bornAt(1'000'000)});
    Caller former{.Port = 1, .Echo = tokenOf(BackendId{1})};
    instance.packet(former.data(1));
    instance.pass(20s);
    Caller since{.Port = 2, .Echo = tokenOf(BackendId{1})};
    instance.packet(since.data(1));
    instance.pass(1s);
    expectEqual<uint32_t>(1, instance.Steers.backends().at(0).InProgress);
    // It started two seconds before this was read.
    Actions actions = instance.handle(
        BackendsLearned{.Present = {bornAt(2'000'000)}, .ReadAt = 2'002'000});
    auto resets = only<ResetFlow>(actions);
    expectEqual<size_t>(1, resets.size());
    expectEqual<uint16_t>(1, resets[0].Flow.Source.Port);
    expectTrue(resets[0].Why == Reason::BackendRestarted, "for its reason");
    expectEqual<uint64_t>(1, sentTo(instance.packet(since.data(2))));
  }

  // Symptom: flows that were opened a moment ago are reset.
  // Sequence: a clock jumps; a registration of a new life seems to come from
  // the future, or to be much younger than it is.
  // Cause: ages worked out from two clocks.
  void believesNoClockThatCannotBeRight() {
    Caller caller{.Port = 1, .Echo = tokenOf(BackendId{1})};
    auto resetsAfter = [&](Duration open, int64_t born, int64_t readAt) {
      Instance instance;
      instance.learn({bornAt(1'000'000)});
      instance.packet(caller.data(1));
      instance.pass(open);
      return only<ResetFlow>(instance.handle(BackendsLearned{
                                 .Present = {bornAt(born)}, .ReadAt = readAt}))
          .size();
    };
    expectEqual<size_t>(1, resetsAfter(20s, 2'000'000, 2'000'000));
    expectEqual<size_t>(0, resetsAfter(20s, 2'000'000, 1'999'999));
    expectEqual<size_t>(0, resetsAfter(20s, 2'000'000, 0));
    expectEqual<size_t>(0, resetsAfter(4s, 2'000'000, 2'000'000));
    expectEqual<size_t>(0, resetsAfter(20s, 900'000, 2'000'000));
  }

  void sendsNothingNewWhereARegistrationCannotBeRead() {
    Instance instance;
    instance.learn({server(1), server(2)});
    Caller open{.Port = 1, .Echo = tokenOf(BackendId{1})};
    instance.packet(open.data(1));
    instance.handle(BackendsLearned{.Unreadable = {BackendId{1}}});
    expectTrue(only<ResetFlow>(instance.pass(10s)).empty(), "no reset");
    expectEqual<uint64_t>(1, sentTo(instance.packet(open.data(2))));
    for (uint16_t port = 10; port < 30; ++port)
      expectEqual<uint64_t>(
          2, sentTo(instance.packet(Caller{.Port = port}.open())));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TokenCoreTest);
