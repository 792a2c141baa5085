// The guarantees of the token path: packets never reach another service, no
// server is guessed, and no flow is reset whose server may still be running.

#include "chicorybank/token/Core.h"

#include "Story.h"
#include "TokenSamples.h"

#include <algorithm>
#include <set>

using namespace story;
using namespace samples::token;

class TokenCoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TokenCoreTest);
  CPPUNIT_TEST(forwardsAFlowAtAnyInstance);
  CPPUNIT_TEST(neverLetsATokenReachAnotherService);
  CPPUNIT_TEST(dropsPacketsWithUnknownTokens);
  CPPUNIT_TEST(resetsAFlowWhoseServerEndedLongAgo);
  CPPUNIT_TEST(limitsTheNumberOfUnknownFlows);
  CPPUNIT_TEST(dropsPacketsWithAmbiguousTokens);
  CPPUNIT_TEST(sendsAllCopiesOfAnOpeningToOneServer);
  CPPUNIT_TEST(movesOpeningsFromASilentServer);
  CPPUNIT_TEST(keepsOpeningsWhoseCallersGoOnElsewhere);
  CPPUNIT_TEST(keepsAFlowThatAnotherInstanceSentToASecondServer);
  CPPUNIT_TEST(judgesNoServerWhileItIsStopped);
  CPPUNIT_TEST(ignoresTheAcknowledgementOfAnOldAnswer);
  CPPUNIT_TEST(keepsAFlowAtTheFirstServerThatAnswered);
  CPPUNIT_TEST(suspectsNoServerAfterASuspension);
  CPPUNIT_TEST(prefersTheTokenToItsRecord);
  CPPUNIT_TEST(sendsNoNewFlowsToADrainingServer);
  CPPUNIT_TEST(keepsFlowsWhileMissingRegistrationsMayReturn);
  CPPUNIT_TEST(resetsNothingOnStaleUpdates);
  CPPUNIT_TEST(usesMissingServersAsALastResort);
  CPPUNIT_TEST(includesServersWithExpiredRegistrations);
  CPPUNIT_TEST(forwardsBeforeAllRegistrationsAreKnown);
  CPPUNIT_TEST(resetsNothingForRoutesItMayNotKnowYet);
  CPPUNIT_TEST(resetsFlowsOfARemovedRoute);
  CPPUNIT_TEST(spreadsRequestsOverServers);
  CPPUNIT_TEST(prefersItsZoneUntilThatIsBusier);
  CPPUNIT_TEST(countsNoLoadAfterAllFlowsHaveEnded);
  CPPUNIT_TEST(resetsFlowsFromBeforeARestart);
  CPPUNIT_TEST(ignoresImplausibleClocks);
  CPPUNIT_TEST(sendsNoNewFlowsToAServerWithAnUnreadableRegistration);
  CPPUNIT_TEST(sendsNoNewFlowsToTheFormerOwnerOfAnAddress);
  CPPUNIT_TEST(keepsFlowsWhenAnEndedServerRegistersLate);
  CPPUNIT_TEST(keepsFlowsBesideAnotherWritersEntry);
  CPPUNIT_TEST(resetsFlowsOfAServerWhoseAddressAnswersForAnother);
  CPPUNIT_TEST(triesTheServersOfAnAddressInTurn);
  CPPUNIT_TEST(learnsNothingFromOldPackets);
  CPPUNIT_TEST(sendsNoOpeningFromBeforeASuspensionAgain);
  CPPUNIT_TEST(appliesARegistrationThatStands);
  CPPUNIT_TEST_SUITE_END();

  // Guards against new flows that are lost at a server which has ended, and
  // against packets for it at its address's present owner, a server of the same
  // service or of another one. A restored registry lists the former owner
  // again.
  void sendsNoNewFlowsToTheFormerOwnerOfAnAddress() {
    for (ServiceId service : {Records, Certificates}) {
      Instance instance;
      Registration owner = server(2);
      owner.Order = {.Generation = 2, .Revision = 61};
      Registration former = server(1, service);
      former.Where = owner.Where;
      former.Order = {.Generation = 3,
                      .Revision = 45,
                      .Origin = RegistrationOrigin::UpToThis};
      instance.configure({owner});
      Caller open;
      instance.packet(open.open());
      open.Echo = tokenOf(owner.Id);
      instance.packet(open.ack());
      Actions actions = instance.handle(BackendsLearned{.Present = {former}});
      auto decisions = filter<Decision>(actions);
      expectTrue(std::ranges::any_of(decisions,
                                     [&](const Decision &it) {
                                       return it.What ==
                                                  std::string_view(
                                                      "backend_contested") &&
                                              it.Conflict->Other == owner.Id;
                                     }),
                 "the conflict is logged");
      expectEqual<uint64_t>(1, instance.UnderTest.stats().ContestedAddresses);
      expectTrue(filter<ResetFlow>(instance.pass(2s)).empty(), "no reset");
      expectEqual<uint64_t>(2, sentTo(instance.packet(open.data(1))));
      for (uint16_t port = 2000; port < 2050; ++port) {
        expectEqual<uint64_t>(
            2, sentTo(instance.packet(Caller{.Port = port}.open())));
        Caller other{.Port = port, .Route = Papers};
        expectEqual<uint64_t>(0, sentTo(instance.packet(other.open())));
      }
    }
  }

  static Registration serverAt(Registration info, const Registration &where,
                               uint64_t revision) {
    info.Where = where.Where;
    info.Order.Revision = revision;
    return info;
  }
  /// Opens a flow at a server, with an answered handshake.
  static Caller openFlowAt(Instance &instance, BackendId server,
                           Caller caller = {}) {
    expectEqual<uint64_t>(server.Value, sentTo(instance.packet(caller.open())));
    instance.Now += 5ms;
    caller.Echo = tokenOf(server);
    instance.packet(caller.ack());
    return caller;
  }
  static BackendState stateOf(const Instance &instance, uint64_t id) {
    const Backends &servers = instance.UnderTest.backends();
    return servers.at(servers.find(BackendId{id})).State;
  }

  // Guards against resets of the open flows of a running server, which then
  // gets no new ones any more, when the registry executes the last write of the
  // former owner of its address seconds late; also on instances that started
  // since, and when the late registration has lapsed.
  void keepsFlowsWhenAnEndedServerRegistersLate() {
    for (bool isKnown : {true, false}) {
      Instance instance;
      Registration running = serverAt(server(2), server(2), 9);
      Registration ended = serverAt(server(1, Certificates), running, 5);
      if (isKnown) {
        instance.configure({ended});
        instance.pass(4s);
        instance.handle(BackendsLearned{.Ended = {ended.Id}});
        instance.pass(1s);
      }
      instance.configure({running});
      instance.pass(3s);
      Caller caller = openFlowAt(instance, running.Id);
      instance.pass(2s);
      ended.Order.Revision = 12;
      instance.handle(BackendsLearned{.Present = {ended}});
      expectTrue(filter<ResetFlow>(instance.pass(1s)).empty(), "no reset");
      expectEqual<uint64_t>(2, sentTo(instance.packet(caller.data(1))));
      instance.Now += 20ms;
      instance.packet(caller.ack(2));
      expectTrue(filter<ResetFlow>(instance.pass(1s)).empty(), "no reset");
      expectTrue(stateOf(instance, 1) == BackendState::Gone,
                 "the answer shows which one has ended");
      openFlowAt(instance, running.Id, {.Port = 2000});
      section("the late registration lapses", [&] {
        instance.handle(BackendsLearned{.Ended = {ended.Id}});
        expectTrue(filter<ResetFlow>(instance.pass(5s)).empty(), "no reset");
        openFlowAt(instance, running.Id, {.Port = 2001});
        expectEqual<uint64_t>(2, sentTo(instance.packet(caller.data(101, 2))));
      });
    }
  }

  // Guards against resets of the flows of a running server because another
  // program has written an entry with its address, of a service that no route
  // leads to.
  void keepsFlowsBesideAnotherWritersEntry() {
    Instance instance;
    Registration running = serverAt(server(2), server(2), 9);
    instance.configure({running});
    Caller caller = openFlowAt(instance, running.Id);
    instance.pass(5s);
    instance.handle(BackendsLearned{
        .Present = {serverAt(server(3, ServiceId{77}), running, 12)}});
    expectTrue(filter<ResetFlow>(instance.pass(5s)).empty(), "no reset");
    expectEqual<uint64_t>(2, sentTo(instance.packet(caller.data(1))));
    openFlowAt(instance, running.Id, {.Port = 2000});
    expectEqual<uint64_t>(0, instance.UnderTest.stats().ContestedAddresses);
  }

  // Guards against callers that wait at a server which has ended until its
  // registration expires, while another server has its address.
  void resetsFlowsOfAServerWhoseAddressAnswersForAnother() {
    Instance instance;
    Registration former = serverAt(server(1), server(1), 5);
    instance.configure({former});
    openFlowAt(instance, former.Id);
    instance.pass(3s);
    Registration next = serverAt(server(2, Certificates), former, 9);
    instance.handle(BackendsLearned{.Present = {next}});
    expectTrue(filter<ResetFlow>(instance.pass(500ms)).empty(),
               "a registration proves nothing");
    openFlowAt(instance, next.Id, {.Port = 2000, .Route = Papers});
    auto resets = filter<ResetFlow>(instance.pass(500ms));
    expectEqual<size_t>(1, resets.size());
    expectTrue(resets[0].Why == Reason::BackendGone, "its server has ended");
    expectEqual<uint64_t>(1, instance.UnderTest.stats().ReplacedServers);
  }

  // Guards against a running server without new flows while a registration that
  // is never answered for stands at its address.
  void triesTheServersOfAnAddressInTurn() {
    Instance instance;
    Registration running = serverAt(server(2), server(2), 9);
    instance.configure({running, serverAt(server(1), running, 12)});
    uint16_t port = 2000;
    for (; port < 2010; ++port) {
      if (sentTo(instance.packet(Caller{.Port = port}.open())) == 2)
        break;
      instance.pass(50ms);
    }
    expectTrue(port < 2005, "the other one after two silent openings");
  }

  // Guards against evidence from packets that waited in the socket: what looks
  // like an answer is from before its server ended.
  void learnsNothingFromOldPackets() {
    Instance instance;
    Registration running = serverAt(server(2), server(2), 9);
    instance.configure({running, serverAt(server(1), running, 5)});
    Caller caller;
    instance.packet(caller.open());
    instance.Now += 5ms;
    caller.Echo = tokenOf(running.Id);
    instance.handle(PacketReceived{
        .Head = caller.ack(), .Raw = instance.Raw, .MayBeOld = true});
    instance.pass(1s);
    expectTrue(stateOf(instance, 1) == BackendState::Ready,
               "nothing is proven");
  }

  // Guards against a flow that is open at one server while its token names
  // another: an opening from before a suspension, by a clock that stood still
  // meanwhile, is sent to a second server.
  void sendsNoOpeningFromBeforeASuspensionAgain() {
    for (bool suspended : {false, true}) {
      Instance instance;
      instance.configure({server(1)});
      for (uint16_t port = 2000; port < 2010; ++port)
        instance.packet(Caller{.Port = port}.open());
      instance.handle(BackendsLearned{.Present = {server(2)}});
      if (suspended)
        instance.handle(ProcessResumed{});
      bool sentAgain =
          !filter<Forward>(instance.passWithoutAnswers(150ms)).empty();
      expectTrue(sentAgain != suspended, "only without a suspension");
    }
  }

  // Guards against a server that gets new flows while it drains, because it has
  // started again with an earlier clock than before.
  void appliesARegistrationThatStands() {
    Instance instance;
    Registration info = server(1);
    info.StartedAtMs = 5000;
    instance.configure({info});
    info.StartedAtMs = 2600;
    instance.handle(BackendsLearned{.Present = {info}, .ReadAt = 9000});
    expectEqual<uint64_t>(1, instance.UnderTest.stats().HeldRegistrations);
    instance.pass(4s);
    info.Draining = true;
    instance.handle(BackendsLearned{.Present = {info}});
    expectTrue(stateOf(instance, 1) == BackendState::Draining, "it drains");
    expectEqual<uint64_t>(0, sentTo(instance.packet(Caller{}.open())));
  }

  void forwardsAFlowAtAnyInstance() {
    Instance opener;
    Instance other;
    opener.configure({server(1), server(2), server(3)});
    other.configure({server(1), server(2), server(3)});
    Caller caller;
    uint64_t to = sentTo(opener.packet(caller.open()));
    expectTrue(to != 0, "a server is chosen");
    caller.Echo = tokenOf(BackendId{to});
    section("another instance gets the remaining packets", [&] {
      auto sent = filter<Forward>(other.packet(caller.data(1)));
      expectEqual<size_t>(1, sent.size());
      expectEqual<uint64_t>(to, sent[0].To.Value);
      expectTrue(sent[0].Echo == caller.Echo,
                 "the token is written into the packet again");
    });
  }

  void neverLetsATokenReachAnotherService() {
    property(
        "with any token, a packet reaches only a service of its route", [] {
          Instance instance;
          instance.configure({server(1), server(2), server(3, Certificates),
                              server(4, Certificates)});
          Caller caller;
          caller.Route = *rc::gen::element(Feed, Papers);
          caller.Echo = Token{*rc::gen::inRange<uint32_t>(0, 6)};
          FlowPacket head = *rc::gen::element(caller.open(), caller.data(1),
                                              caller.ack(), caller.ack(9));
          std::set<uint64_t> allowed = caller.Route == Feed
                                           ? std::set<uint64_t>{1, 2}
                                           : std::set<uint64_t>{3, 4};
          for (const Forward &it : filter<Forward>(instance.packet(head)))
            RC_ASSERT(allowed.contains(it.To.Value));
        });
  }

  // Guards against an open flow that is reset or reaches a wrong server: its
  // server has just registered, and its next packet comes to an instance that
  // does not know the server yet.
  void dropsPacketsWithUnknownTokens() {
    Instance instance;
    instance.configure({server(1)});
    instance.pass(5s);
    Caller caller{.Echo = tokenOf(BackendId{9})};
    Actions actions = instance.packet(caller.data(1));
    expectTrue(isIgnored(actions), "nothing is sent, nothing is reset");
    instance.pass(2s);
    expectTrue(isIgnored(instance.packet(caller.data(1))),
               "still nothing is sent");
    section("its registration arrives", [&] {
      instance.handle(BackendsLearned{.Present = {server(9)}});
      expectEqual<uint64_t>(9, sentTo(instance.packet(caller.data(1))));
    });
  }

  void resetsAFlowWhoseServerEndedLongAgo() {
    Instance instance;
    instance.configure({server(1)});
    Caller caller{.Echo = tokenOf(BackendId{9})};
    instance.packet(caller.data(1));
    section("no reset while updates are stale", [&] {
      instance.pass(6s, false);
      expectTrue(isIgnored(instance.packet(caller.data(1))), "no reset");
    });
    instance.pass(6s);
    expectTrue(resetReason(instance.packet(caller.data(1, 77))) ==
                   Reason::BackendGone,
               "the flow is reset, since the registration would have arrived");
  }

  // Guards against running out of memory if somebody sends packets with forged
  // tokens from ever new ports, and each such flow is tracked for a minute.
  void limitsTheNumberOfUnknownFlows() {
    Instance instance({.Zone = "a", .MaxUnknownFlows = 50});
    instance.configure({server(1)});
    for (uint16_t port = 1; port <= 500; ++port)
      instance.packet(
          Caller{.Port = port, .Echo = tokenOf(BackendId{9})}.data(1));
    expectEqual<size_t>(50, instance.UnderTest.unknownFlows());
    section("tracked flows are still reset in time", [&] {
      instance.pass(6s);
      Caller first{.Port = 1, .Echo = tokenOf(BackendId{9})};
      expectTrue(resetReason(instance.packet(first.data(1))) ==
                     Reason::BackendGone,
                 "a reset");
    });
  }

  // The ids of two servers of one service fold to the same token.
  void dropsPacketsWithAmbiguousTokens() {
    constexpr uint64_t High = uint64_t{1} << 32;
    Instance instance;
    instance.configure({server(5), server(High | 4), server(7)});
    section("new flows avoid both", [&] {
      for (uint16_t port = 1; port < 50; ++port)
        expectEqual<uint64_t>(
            7, sentTo(instance.packet(Caller{.Port = port}.open())));
    });
    section("the server of an untracked flow is not guessed", [&] {
      Caller caller{.Echo = tokenOf(BackendId{5})};
      expectTrue(isIgnored(instance.packet(caller.data(1))), "dropped");
      auto ambiguous = static_cast<size_t>(Reason::AmbiguousToken);
      expectEqual<uint64_t>(1, instance.UnderTest.stats().Drops[ambiguous]);
    });
  }

  // Guards against a flow at one server whose token names another one: copies
  // of an opening go to two servers, and both answer.
  void sendsAllCopiesOfAnOpeningToOneServer() {
    property("all copies go to one server that is not silent", [] {
      Instance instance;
      instance.configure({server(1), server(2), server(3)});
      Caller caller;
      caller.Port = *rc::gen::inRange<uint16_t>(1, 60000);
      uint64_t first = sentTo(instance.packet(caller.open()));
      instance.pass(std::chrono::milliseconds(*rc::gen::inRange(0, 24)));
      RC_ASSERT(sentTo(instance.packet(caller.open(1))) == first);
      RC_ASSERT(sentTo(instance.packet(caller.open(2))) == first);
    });
  }

  // Guards against callers that wait 200 ms for each opening that is lost at a
  // crashed server, until its registration expires seconds later.
  void movesOpeningsFromASilentServer() {
    Instance instance;
    instance.configure({server(1)});
    Caller one{.Port = 1};
    Caller two{.Port = 2};
    expectEqual<uint64_t>(1, sentTo(instance.packet(one.open())));
    expectEqual<uint64_t>(1, sentTo(instance.packet(two.open())));
    instance.handle(BackendsLearned{.Present = {server(2)}});
    section("the server fails a probe too", [&] {
      Actions actions = instance.passWithoutAnswers(100ms);
      auto sent = filter<Forward>(actions);
      expectEqual<size_t>(2, sent.size());
      for (const Forward &it : sent)
        expectEqual<uint64_t>(2, it.To.Value);
    });
    section("new flows avoid it", [&] {
      for (uint16_t port = 10; port < 20; ++port)
        expectEqual<uint64_t>(
            2, sentTo(instance.packet(Caller{.Port = port}.open())));
    });
    section("an answer ends the suspicion", [&] {
      Caller old{.Port = 1, .Echo = tokenOf(BackendId{1})};
      instance.packet(old.data(1, 1));
      instance.packet(old.ack(500));
      std::set<uint64_t> used;
      for (uint16_t port = 100; port < 160; ++port)
        used.insert(sentTo(instance.packet(Caller{.Port = port}.open())));
      expectTrue(used.contains(1), "it gets flows again");
    });
  }

  // Guards against open flows that are reset by a second server: an instance
  // that loses flows to another one, because either stops or joins, misses the
  // end of their handshakes and sends their openings on.
  void keepsOpeningsWhoseCallersGoOnElsewhere() {
    property("a server that answers probes keeps its openings", [] {
      Instance instance;
      instance.configure({server(1)});
      auto count = *rc::gen::inRange<uint16_t>(2, 40);
      for (uint16_t port = 1; port <= count; ++port)
        instance.packet(Caller{.Port = port}.open());
      instance.handle(BackendsLearned{.Present = {server(2), server(3)}});
      for (int n = 0; n < 30; ++n) {
        Actions actions = instance.pass(10ms);
        RC_ASSERT(filter<Forward>(actions).empty());
        for (const ProbeBackend &it : filter<ProbeBackend>(actions))
          instance.handle(
              ProbeEnded{.Id = it.Id, .Outcome = ProbeOutcome::Reached});
      }
    });
  }

  // Guards against an open flow that is reset by a second server to which
  // another instance has sent its opening too.
  void keepsAFlowThatAnotherInstanceSentToASecondServer() {
    Instance instance;
    instance.configure({server(1), server(2)});
    uint32_t start = 4'000'000'000;
    Caller caller{.Echo = tokenOf(BackendId{1})};
    expectEqual<uint64_t>(1, sentTo(instance.packet(caller.ack(start))));
    caller.Echo = tokenOf(BackendId{2});
    for (uint32_t received = 0; received < 500'000'000; received += 70'000)
      expectEqual<uint64_t>(
          1, sentTo(instance.packet(caller.data(received, start + received))));
    section("also with a token that is not known here", [&] {
      Caller unknown{.Echo = tokenOf(BackendId{9})};
      expectEqual<uint64_t>(
          1, sentTo(instance.packet(unknown.ack(start + 500'000'000))));
    });
    section("a later flow of the caller's port", [&] {
      expectEqual<uint64_t>(
          2, sentTo(instance.packet(caller.ack(start + 700'000'000))));
    });
  }

  // Guards against servers that are avoided or ejected everywhere because an
  // instance that stops misses the packets that other instances get.
  void judgesNoServerWhileItIsStopped() {
    CoreOptions options{.Zone = "a"};
    options.Balancing.OutlierDetection = true;
    for (bool stopped : {false, true}) {
      Instance instance(options);
      instance.configure({server(1), server(2), server(3)});
      if (stopped)
        instance.handle(StopBegun{});
      for (uint16_t port = 1; port <= 30; ++port) {
        Caller caller{.Port = port};
        uint64_t to = sentTo(instance.packet(caller.open()));
        caller.Echo = tokenOf(BackendId{to});
        if (port % 2 == 0)
          instance.packet(caller.data(1));
      }
      bool judged = !filter<ProbeBackend>(instance.pass(2s)).empty();
      for (BackendIndex i = 0; i < 3; ++i)
        judged |= instance.UnderTest.backends().at(i).Suspicions != 0;
      expectTrue(judged != stopped, "only while it is not stopped");
    }
  }

  // Guards against a crashed server that gets new flows until its registration
  // expires: a caller whose flow was idle sends its next request, which
  // acknowledges the last part of an earlier answer. This acknowledgement is no
  // sign of life.
  void ignoresTheAcknowledgementOfAnOldAnswer() {
    Instance instance;
    instance.configure({server(1)});
    Caller idle{.Port = 1, .Echo = tokenOf(BackendId{1})};
    instance.packet(idle.data(1, 1));
    instance.packet(idle.ack(500));
    instance.packet(Caller{.Port = 2}.open());
    instance.packet(Caller{.Port = 3}.open());
    instance.pass(60ms);
    expectTrue(instance.UnderTest.backends().at(0).isSuspect(instance.Now),
               "two unanswered openings");
    instance.packet(idle.data(100, 700));
    expectTrue(instance.UnderTest.backends().at(0).isSuspect(instance.Now),
               "still suspect");
  }

  // Guards against packets that reach a server without their flow. An opening
  // is moved from a silent server to another, and the silent one answers late.
  // The caller has the flow with the server that answered first, and the token
  // of the one that answered last.
  void keepsAFlowAtTheFirstServerThatAnswered() {
    property("the order of the two answers does not matter", [] {
      Instance instance;
      instance.configure({server(1)});
      Caller caller;
      instance.packet(caller.open());
      instance.packet(Caller{.Port = 1}.open());
      instance.handle(BackendsLearned{.Present = {server(2)}});
      RC_ASSERT(filter<Forward>(instance.passWithoutAnswers(100ms)).size() ==
                2);
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

  // Guards against suspecting all servers after the process was suspended:
  // openings were sent before, and the answers of callers wait in its socket.
  void suspectsNoServerAfterASuspension() {
    Instance instance;
    instance.configure({server(1), server(2)});
    instance.pass(1s);
    for (uint16_t port = 1; port < 9; ++port)
      instance.packet(Caller{.Port = port}.open());
    instance.Now += 4s;
    Actions actions = instance.handle(Tick{});
    expectTrue(filter<Forward>(actions).empty(), "nothing is sent again");
    for (BackendIndex i = 0; i < 2; ++i)
      expectTrue(!instance.UnderTest.backends().at(i).isSuspect(instance.Now),
                 "no server is suspect");
  }

  void prefersTheTokenToItsRecord() {
    Instance instance;
    instance.configure({server(1)});
    Caller caller;
    instance.packet(caller.open());
    instance.handle(BackendsLearned{.Present = {server(2)}});
    caller.Echo = tokenOf(BackendId{2});
    expectEqual<uint64_t>(2, sentTo(instance.packet(caller.data(1))));
    expectEqual<uint32_t>(0, instance.UnderTest.backends().at(0).Flows);
  }

  void sendsNoNewFlowsToADrainingServer() {
    Instance instance;
    instance.configure({server(1), server(2)});
    Registration leaving = server(1);
    leaving.Draining = true;
    instance.handle(BackendsLearned{.Present = {leaving}});
    for (uint16_t port = 1; port < 40; ++port)
      expectEqual<uint64_t>(
          2, sentTo(instance.packet(Caller{.Port = port}.open())));
    section("its open flows continue", [&] {
      Caller caller{.Port = 99, .Echo = tokenOf(BackendId{1})};
      expectEqual<uint64_t>(1, sentTo(instance.packet(caller.data(1))));
    });
  }

  // Guards against resets of open flows after an outage of the registry: no
  // updates for seconds, registrations expire, the first updates afterwards
  // lack them, and the servers register again within two seconds.
  void keepsFlowsWhileMissingRegistrationsMayReturn() {
    Instance instance;
    instance.configure({server(1)});
    instance.pass(5s);
    Caller caller{.Echo = tokenOf(BackendId{1})};
    expectEqual<uint64_t>(1, sentTo(instance.packet(caller.data(1))));
    instance.pass(4s, false);
    instance.handle(BackendsLearned{.Ended = {BackendId{1}}});
    section("before and after the updates are confirmed as current", [&] {
      expectTrue(filter<ResetFlow>(instance.pass(300ms, false)).empty(),
                 "none");
      expectTrue(filter<ResetFlow>(instance.pass(2s)).empty(), "no reset yet");
      expectEqual<uint64_t>(1, sentTo(instance.packet(caller.data(2))));
    });
    section("still missing after the grace time", [&] {
      Actions actions = instance.pass(1s);
      expectTrue(resetReason(actions) == Reason::BackendGone,
                 "the open flow is reset at once");
    });
  }

  // Guards against the reset of a flow whose server came back: the registry
  // returns without the server's registration, this instance gets no updates
  // for a while, and the server registers meanwhile. The grace time counts by
  // the time of the updates, not by this instance's clock.
  void resetsNothingOnStaleUpdates() {
    Instance instance;
    instance.configure({server(1)});
    instance.pass(5s);
    instance.pass(4s, false);
    instance.handle(BackendsLearned{.Ended = {BackendId{1}}});
    instance.handle(FreshnessUpdated{.CurrentAt = instance.Now});
    Caller caller{.Echo = tokenOf(BackendId{1})};
    instance.packet(caller.data(1));
    expectTrue(filter<ResetFlow>(instance.pass(10s, false)).empty(),
               "no reset without updates");
  }

  // Guards against resets of new flows although every server is running: the
  // registry returns from an outage with all registrations expired, and servers
  // register again one by one.
  void usesMissingServersAsALastResort() {
    Instance instance;
    instance.configure({server(1), server(2)});
    instance.pass(5s);
    instance.pass(4s, false);
    instance.handle(BackendsLearned{.Ended = {BackendId{1}, BackendId{2}}});
    instance.handle(FreshnessUpdated{.CurrentAt = instance.Now});
    expectTrue(sentTo(instance.packet(Caller{.Port = 7}.open())) != 0,
               "a missing server is tried");
    section("once the registry shows that a server has ended, it is used last",
            [] {
              Instance steady;
              steady.configure({server(1), server(2)});
              steady.pass(5s);
              steady.handle(BackendsLearned{.Ended = {BackendId{1}}});
              for (uint16_t port = 20; port < 40; ++port)
                expectEqual<uint64_t>(
                    2, sentTo(steady.packet(Caller{.Port = port}.open())));
            });
  }

  // Guards against servers that shed requests in the second after the registry
  // returns: all registrations have expired, and one server in ten is back. If
  // returned servers cost less than missing ones, all instances choose them at
  // once.
  //
  // Modeled load: 1,500 requests a second through 86 instances, 150 servers. In
  // the test one instance opens 200 flows at 40 servers, four of which are
  // back. With equal costs each server gets its usual share; a tenth of the
  // servers must not get more than a fifth of the flows.
  void includesServersWithExpiredRegistrations() {
    Instance instance;
    std::vector<Registration> all;
    std::vector<BackendId> ids;
    for (uint64_t id = 1; id <= 40; ++id) {
      all.push_back(server(id));
      ids.push_back(BackendId{id});
    }
    instance.configure(all);
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
      // Answered at once, as by running servers.
      FlowPacket last = caller.ack();
      last.Finish = true;
      instance.packet(last);
    }
    expectTrue(atReturned <= Flows / 5,
               "at most a fifth of the flows at the returned servers, got " +
                   toText(atReturned));
  }

  // Guards against two seconds without service after a restart of all
  // instances: 300 of them read 3,000 registrations each at the same time.
  // Packets are forwarded before the last registration is known.
  void forwardsBeforeAllRegistrationsAreKnown() {
    Instance instance;
    expectTrue(!instance.UnderTest.canForward(), "nothing is known yet");
    instance.handle(RoutesLearned{bothRoutes(1)});
    instance.handle(BackendsLearned{.Present = {server(1)}});
    expectTrue(instance.UnderTest.canForward() && !instance.UnderTest.isReady(),
               "some routes and servers are known");
    expectEqual<uint64_t>(1, sentTo(instance.packet(Caller{}.open())));
    expectEqual<uint64_t>(1, instance.UnderTest.stats().OpenedUnconfirmed);
    section("unknown services and tokens are not reset yet", [&] {
      Caller other{.Port = 2, .Route = Papers};
      expectTrue(isIgnored(instance.packet(other.open())), "no server yet");
      Caller unknown{.Port = 3, .Echo = tokenOf(BackendId{9})};
      expectTrue(isIgnored(instance.packet(unknown.data(1))), "unknown token");
    });
    section("once all is known, flows of a service without servers are reset",
            [&] {
              instance.handle(BackendsComplete{});
              instance.handle(FreshnessUpdated{.CurrentAt = instance.Now});
              Caller other{.Port = 4, .Route = Papers};
              expectTrue(resetReason(instance.packet(other.open())) ==
                             Reason::NoTarget,
                         "a reset");
            });
    section("flows opened afterwards do not count as unconfirmed", [&] {
      instance.packet(Caller{.Port = 5}.open());
      expectEqual<uint64_t>(1, instance.UnderTest.stats().OpenedUnconfirmed);
      expectEqual<uint64_t>(2, instance.UnderTest.stats().Opened);
    });
  }

  void resetsNothingForRoutesItMayNotKnowYet() {
    Instance instance;
    instance.configure({server(1)});
    Caller caller{.Route = {.Ip = 1, .Port = 1}};
    expectTrue(resetReason(instance.packet(caller.open())) == Reason::NoMatch,
               "with current updates the route does not exist");
    instance.pass(4s, false);
    Caller later{.Port = 2, .Route = caller.Route};
    expectTrue(isIgnored(instance.packet(later.open())),
               "with stale updates the route may exist by now");
    caller.Echo = tokenOf(BackendId{1});
    expectTrue(isIgnored(instance.packet(caller.data(1))),
               "an open flow of an unknown route is never reset");
  }

  void resetsFlowsOfARemovedRoute() {
    Instance instance;
    instance.configure({server(1)});
    Caller caller{.Echo = tokenOf(BackendId{1})};
    instance.packet(caller.data(1));
    RouteSet fewer = bothRoutes(2);
    fewer.Routes.erase(fewer.Routes.begin());
    instance.handle(RoutesLearned{fewer});
    expectTrue(resetReason(instance.packet(caller.data(2))) ==
                   Reason::RouteRemoved,
               "open flows are reset");
    expectTrue(resetReason(instance.packet(Caller{.Port = 9}.open())) ==
                   Reason::RouteRemoved,
               "new flows are reset");
  }

  // Short flows with one request each, as many in progress as there are
  // servers. Even a slightly uneven choice would queue requests at one of them.
  void spreadsRequestsOverServers() {
    Instance instance;
    std::vector<Registration> servers;
    for (uint64_t id = 1; id <= 14; ++id)
      servers.push_back(server(id));
    instance.configure(servers);
    std::set<uint64_t> used;
    for (uint16_t port = 1; port <= 14; ++port)
      used.insert(sentTo(instance.packet(Caller{.Port = port}.open())));
    expectEqual<size_t>(14, used.size());
  }

  void prefersItsZoneUntilThatIsBusier() {
    Instance instance;
    Registration far = server(2);
    far.Zone = "b";
    instance.configure({server(1), far});
    std::vector<uint64_t> order;
    for (uint16_t port = 1; port <= 4; ++port)
      order.push_back(sentTo(instance.packet(Caller{.Port = port}.open())));
    expectEqual<uint64_t>(1, order[0]);
    expectEqual<uint64_t>(1, order[1]);
    expectTrue(std::find(order.begin(), order.end(), 2) != order.end(),
               "a busy zone spills over");
  }

  void countsNoLoadAfterAllFlowsHaveEnded() {
    property("no load is left after all flows have ended", [] {
      Instance instance;
      instance.configure({server(1), server(2)});
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
        RC_ASSERT(instance.UnderTest.backends().at(i).load() == 0);
        RC_ASSERT(instance.UnderTest.backends().at(i).Flows == 0);
      }
    });
  }

  /// Server 1, started at this Unix millisecond.
  static Registration startedAt(int64_t started) {
    Registration out = server(1);
    out.StartedAtMs = started;
    return out;
  }

  // Guards against requests that wait for retransmissions or deadlines at a
  // server that does not know them: the server crashes behind a network cut and
  // restarts under its id, so its registration never expires.
  void resetsFlowsFromBeforeARestart() {
    Instance instance;
    instance.configure({startedAt(1'000'000)});
    Caller earlier{.Port = 1, .Echo = tokenOf(BackendId{1})};
    instance.packet(earlier.data(1));
    instance.pass(20s);
    Caller since{.Port = 2, .Echo = tokenOf(BackendId{1})};
    instance.packet(since.data(1));
    instance.pass(1s);
    expectEqual<uint32_t>(1, instance.UnderTest.backends().at(0).InProgress);
    // The server started two seconds before this was read.
    Actions actions = instance.handle(BackendsLearned{
        .Present = {startedAt(2'000'000)}, .ReadAt = 2'002'000});
    auto resets = filter<ResetFlow>(actions);
    expectEqual<size_t>(1, resets.size());
    expectEqual<uint16_t>(1, resets[0].Flow.Source.Port);
    expectTrue(resets[0].Why == Reason::BackendRestarted,
               "with the reason of the restart");
    expectEqual<uint64_t>(1, sentTo(instance.packet(since.data(2))));
  }

  // Guards against resets of flows that were just opened if a clock jumps: a
  // registration seems to come from the future, or to be much younger than it
  // is, since ages are computed from two clocks.
  void ignoresImplausibleClocks() {
    Caller caller{.Port = 1, .Echo = tokenOf(BackendId{1})};
    auto resetsAfter = [&](Duration open, int64_t started, int64_t readAt) {
      Instance instance;
      instance.configure({startedAt(1'000'000)});
      instance.packet(caller.data(1));
      instance.pass(open);
      return filter<ResetFlow>(
                 instance.handle(BackendsLearned{
                     .Present = {startedAt(started)}, .ReadAt = readAt}))
          .size();
    };
    expectEqual<size_t>(1, resetsAfter(20s, 2'000'000, 2'000'000));
    expectEqual<size_t>(0, resetsAfter(20s, 2'000'000, 1'999'999));
    expectEqual<size_t>(0, resetsAfter(20s, 2'000'000, 0));
    expectEqual<size_t>(0, resetsAfter(4s, 2'000'000, 2'000'000));
    expectEqual<size_t>(0, resetsAfter(20s, 900'000, 2'000'000));
  }

  void sendsNoNewFlowsToAServerWithAnUnreadableRegistration() {
    Instance instance;
    instance.configure({server(1), server(2)});
    Caller open{.Port = 1, .Echo = tokenOf(BackendId{1})};
    instance.packet(open.data(1));
    instance.handle(BackendsLearned{.Unreadable = {BackendId{1}}});
    expectTrue(filter<ResetFlow>(instance.pass(10s)).empty(), "no reset");
    expectEqual<uint64_t>(1, sentTo(instance.packet(open.data(2))));
    for (uint16_t port = 10; port < 30; ++port)
      expectEqual<uint64_t>(
          2, sentTo(instance.packet(Caller{.Port = port}.open())));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TokenCoreTest);
