// Flows on several instances while instances stop and join and rules change.

#include "FakeDeployment.h"
#include "Story.h"

#include "chicorybank/core/Rendezvous.h"

#include <algorithm>

using namespace story;
using namespace std::chrono_literals;
using chicory::InstanceId;
using chicory::InstanceState;
using chicory::RuleSet;
using chicory::RuleVersion;
using fakes::FakeDeployment;
using samples::flow;

namespace {

constexpr uint32_t Flows = 60;

void openAll(FakeDeployment &deployment, uint32_t count = Flows) {
  for (uint32_t i = 0; i < count; ++i)
    deployment.open(flow(i));
  deployment.run(100ms);
}

/// Returns the target that a recovery of a flow tries first.
chicory::TargetId firstTriedTarget(uint32_t n) {
  std::vector<chicory::TargetId> targets;
  for (uint32_t i = 0; i < 15; ++i)
    targets.push_back(samples::target(i));
  return chicory::rendezvousOrder(chicory::hashFlow(flow(n)),
                                  std::span<const chicory::TargetId>(targets),
                                  1)
      .front();
}

/// Returns a flow whose target is not the one that a recovery tries first.
uint32_t flowOnSecondChoice(FakeDeployment &deployment) {
  for (uint32_t n = 0; n < 400; ++n)
    if (firstTriedTarget(n) != deployment.ReachedTargets[flow(n)].front())
      return n;
  throw std::runtime_error("every flow is on its first target");
}

/// Expects that every flow still carries data and that none was reset.
void expectAllFlowsWork(FakeDeployment &deployment, uint32_t count = Flows) {
  deployment.run(200ms);
  auto before = deployment.DataToCaller;
  for (uint32_t i = 0; i < count; ++i)
    deployment.data(flow(i));
  deployment.run(2s);
  for (uint32_t i = 0; i < count; ++i) {
    expectTrue(deployment.DataToCaller[flow(i)] > before[flow(i)],
               "flow " + std::to_string(i) + " still gets data");
    expectEqual<uint64_t>(0, deployment.ResetsToCaller[flow(i)]);
  }
}

} // namespace

class CoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CoreTest);
  CPPUNIT_TEST(placesEachFlowOnOneTarget);
  CPPUNIT_TEST(keepsFlowsWhenHomesStop);
  CPPUNIT_TEST(keepsFlowsWhenAHomeStopsDuringATargetChange);
  CPPUNIT_TEST(keepsFlowsWhenAnInstanceJoins);
  CPPUNIT_TEST(keepsFlowsWhileEveryInstanceIsReplaced);
  CPPUNIT_TEST(keepsTheServiceOfAFlowWhenRulesMoveItsAddress);
  CPPUNIT_TEST(dropsPacketsOfAnAmbiguousService);
  CPPUNIT_TEST(forwardsOpensWithTheNewerRuleVersion);
  CPPUNIT_TEST(distributesRulesWithoutThePlatform);
  CPPUNIT_TEST(servesOnBothSidesOfAPartition);
  CPPUNIT_TEST(keepsAFlowWhoseFirstTriedTargetIsUnreachable);
  CPPUNIT_TEST(joinsWhileThePlatformIsDown);
  CPPUNIT_TEST(replacesMembersAfterThePlatformIsRestored);
  CPPUNIT_TEST(resetsASilentFlow);
  CPPUNIT_TEST(refusesNewFlowsWhenTheTableIsFull);
  CPPUNIT_TEST(dropsPacketsBeforeItKnowsAnyHome);
  CPPUNIT_TEST(keepsFlowsThroughRandomEvents);
  CPPUNIT_TEST(choosesTheSameHomeInAnyMessageOrder);
  CPPUNIT_TEST_SUITE_END();

  void placesEachFlowOnOneTarget() {
    section("seven instances and any packet at any of them", [] {
      FakeDeployment deployment(7, 1);
      deployment.DuplicateProbability = 0.1;
      expectTrue(deployment.settle(), "the instances settle");
      openAll(deployment);
      expectAllFlowsWork(deployment);
      for (uint32_t i = 0; i < Flows; ++i)
        expectEqual<size_t>(1, deployment.ReachedTargets[flow(i)].size());
    });
  }

  // Guards against lost feeds when an instance crashes: the home that stopped
  // was the only instance that knew the targets of its flows.
  void keepsFlowsWhenHomesStop() {
    FakeDeployment deployment(7, 2);
    deployment.settle();
    openAll(deployment);
    section("one instance stops", [&] {
      deployment.kill(InstanceId{3});
      expectAllFlowsWork(deployment);
    });
    section("two more stop at the same time", [&] {
      deployment.kill(InstanceId{1});
      deployment.kill(InstanceId{5});
      expectAllFlowsWork(deployment);
    });
  }

  // Guards against feeds that break when a home stops in the same second in
  // which the target set changes, although they survive either change alone. A
  // table computed anew from the new target set names targets that never had
  // the flows.
  void keepsFlowsWhenAHomeStopsDuringATargetChange() {
    FakeDeployment deployment(7, 3);
    deployment.settle();
    openAll(deployment);
    RuleSet changed = samples::ruleSet(1);
    auto &targets = changed.Services[0].Targets;
    targets.erase(targets.begin(), targets.begin() + 5);
    for (uint32_t i = 20; i < 26; ++i) {
      deployment.Targets[samples::target(i)] = {};
      targets.push_back({.Id = samples::target(i), .Zone = "gikondo"});
    }
    deployment.submit(changed);
    deployment.kill(InstanceId{2});
    expectAllFlowsWork(deployment);
  }

  void keepsFlowsWhenAnInstanceJoins() {
    FakeDeployment deployment(6, 4);
    deployment.settle();
    openAll(deployment);
    section("an instance joins and becomes the home of some flows", [&] {
      deployment.add();
      expectTrue(deployment.settle(), "seven instances settle");
      expectAllFlowsWork(deployment);
    });
  }

  void keepsFlowsWhileEveryInstanceIsReplaced() {
    FakeDeployment deployment(4, 5);
    deployment.settle();
    openAll(deployment);
    for (InstanceId old : deployment.ids()) {
      deployment.add();
      expectTrue(deployment.settle(), "the new instance settles");
      deployment.stop(old);
      expectTrue(deployment.runUntil(
                     [&] { return deployment.isSafeToStop(old); }, 20s),
                 "the old instance becomes safe to stop");
      deployment.kill(old);
      expectAllFlowsWork(deployment);
    }
  }

  // Guards against packets of a feed that reach another service after a rule
  // change: a flow opens to one service, new rules assign its address to
  // another, and its home stops. The next packet reaches a new home that must
  // not decide by the new rules alone.
  void keepsTheServiceOfAFlowWhenRulesMoveItsAddress() {
    FakeDeployment deployment(7, 6);
    deployment.settle();
    openAll(deployment);
    RuleSet moved = samples::ruleSet(1);
    moved.Rules[0].Service = moved.Services[1].Id;
    deployment.submit(moved);
    deployment.run(2s);
    section("established flows keep their targets",
            [&] { expectAllFlowsWork(deployment); });
    section("no packet reaches the other service after the home stops", [&] {
      deployment.kill(InstanceId{4});
      for (uint32_t i = 0; i < Flows; ++i)
        deployment.data(flow(i));
      deployment.run(3s);
      for (uint32_t i = 0; i < Flows; ++i)
        for (chicory::TargetId it : deployment.ReachedTargets[flow(i)])
          expectTrue(it.Port < samples::target(50).Port,
                     "only the first service's targets are reached");
    });
  }

  void dropsPacketsOfAnAmbiguousService() {
    FakeDeployment deployment(1, 7);
    deployment.settle();
    RuleSet moved = samples::ruleSet(1);
    moved.Rules[0].Service = moved.Services[1].Id;
    deployment.submit(moved);
    deployment.run(1s);
    section("an unknown flow that two services may have", [&] {
      deployment.data(flow(1));
      deployment.run(1s);
      expectEqual<size_t>(0, deployment.ReachedTargets[flow(1)].size());
      auto stats = deployment.core(InstanceId{1}).stats();
      auto i = static_cast<size_t>(chicory::Reason::AmbiguousService);
      expectEqual<uint64_t>(1, stats.Refusals[i]);
    });
  }

  void forwardsOpensWithTheNewerRuleVersion() {
    FakeDeployment deployment(2, 8);
    deployment.settle();
    deployment.Watchers = {InstanceId{1}};
    RuleSet refusing = samples::ruleSet(1);
    refusing.Rules[0].Service = {};
    deployment.submit(refusing);
    // Only instance 1 has the new rules. An open that instance 1 forwards
    // carries their version, so that the receiver waits for them.
    deployment.run(5ms);
    for (uint32_t i = 0; i < Flows; ++i) {
      chicory::PacketInFlight open;
      open.Content = {.Kind = chicory::PacketKind::Open, .Flow = flow(i)};
      chicory::Actions actions;
      deployment.core(InstanceId{1})
          .handle(chicory::PacketArrived{.Packet = open}, deployment.now(),
                  actions);
      for (const auto &it : actions)
        if (const auto *passOn = std::get_if<chicory::ForwardPacket>(&it))
          expectEqual<uint64_t>(2, passOn->Rules.Value);
    }
    deployment.run(1s);
    for (InstanceId it : deployment.ids())
      expectEqual<uint64_t>(2, deployment.core(it).stats().Rules.Value);
  }

  void distributesRulesWithoutThePlatform() {
    FakeDeployment deployment(7, 9);
    deployment.settle();
    deployment.Watchers = {InstanceId{7}};
    deployment.submit(samples::ruleSet(1));
    section("one watcher is enough, within two seconds", [&] {
      expectTrue(
          deployment.runUntil(
              [&] {
                auto ids = deployment.ids();
                return std::all_of(ids.begin(), ids.end(), [&](InstanceId it) {
                  return deployment.core(it).stats().Rules == RuleVersion{2};
                });
              },
              2s),
          "all instances have version 2");
    });
    section("an older set is never applied again", [&] {
      chicory::Actions actions;
      auto old = samples::compiled(samples::ruleSet(1));
      deployment.core(InstanceId{1})
          .handle(chicory::RulesLearned{.Rules = old}, deployment.now(),
                  actions);
      expectEqual<uint64_t>(2,
                            deployment.core(InstanceId{1}).stats().Rules.Value);
    });
  }

  void servesOnBothSidesOfAPartition() {
    FakeDeployment deployment(7, 10);
    deployment.settle();
    openAll(deployment);
    deployment.partition({InstanceId{1}, InstanceId{2}});
    deployment.run(3s);
    section("during the partition", [&] { expectAllFlowsWork(deployment); });
    deployment.endPartition();
    expectTrue(deployment.settle(), "the two sides reach each other again");
    section("after the partition", [&] { expectAllFlowsWork(deployment); });
  }

  // Guards against feeds that are reset when a partition ends: a flow's new
  // home tries one target after another, and the first is unreachable. If the
  // missing answer counts as proof that this target has the flow, the target
  // rejects the flow once it is reachable again.
  void keepsAFlowWhoseFirstTriedTargetIsUnreachable() {
    FakeDeployment deployment(2, 13);
    deployment.settle();
    openAll(deployment, 400);
    uint32_t n = flowOnSecondChoice(deployment);
    chicory::TargetId at = deployment.ReachedTargets[flow(n)].front();
    InstanceId home =
        deployment.core(InstanceId{1}).explain(flow(n), deployment.now()).Home;
    deployment.UnreachableTargets[InstanceId{3 - home.Value}] = {
        firstTriedTarget(n)};
    deployment.kill(home);
    section("the caller's packet reaches its target after the unreachable one",
            [&] {
              uint64_t before = deployment.DataToCaller[flow(n)];
              deployment.data(flow(n));
              deployment.run(6s);
              expectEqual<uint64_t>(before + 1,
                                    deployment.DataToCaller[flow(n)]);
            });
    section("a packet from the target reaches the caller", [&] {
      uint64_t before = deployment.DataToCaller[flow(n)];
      deployment.sendFromTarget(at, flow(n));
      deployment.run(1s);
      expectEqual<uint64_t>(before + 1, deployment.DataToCaller[flow(n)]);
    });
    section("nothing is reset after the partition", [&] {
      deployment.UnreachableTargets.clear();
      uint64_t before = deployment.DataToCaller[flow(n)];
      deployment.data(flow(n));
      deployment.run(1s);
      expectEqual<uint64_t>(before + 1, deployment.DataToCaller[flow(n)]);
      expectEqual<uint64_t>(0, deployment.ResetsToCaller[flow(n)]);
    });
  }

  void joinsWhileThePlatformIsDown() {
    FakeDeployment deployment(6, 11);
    deployment.settle();
    openAll(deployment);
    deployment.PlatformUp = false;
    deployment.kill(InstanceId{2});
    InstanceId fresh = deployment.add();
    deployment.run(5s);
    expectTrue(deployment.core(fresh).stats().State == InstanceState::Live,
               "the new instance got the rules from a peer");
    expectAllFlowsWork(deployment);
  }

  // Guards against flows whose requests are refused for ever, since their owner
  // has died and nobody can write a members document: the platform was restored
  // to one older than those that the instances know.
  void replacesMembersAfterThePlatformIsRestored() {
    FakeDeployment deployment(6, 31);
    expectTrue(deployment.settle(), "it settles");
    chicory::MembersDocument older = deployment.members();
    deployment.add();
    expectTrue(deployment.settle(), "it settles with one instance more");
    expectTrue(deployment.members().Version > older.Version,
               "there is a newer document");
    deployment.restoreMembers(older);
    deployment.kill(InstanceId{1});
    expectTrue(deployment.runUntil(
                   [&] {
                     const auto &members = deployment.members().Members;
                     return std::ranges::find(members, InstanceId{1}) ==
                            members.end();
                   },
                   30s),
               "the dead instance is no longer a member");
  }

  // Guards against a client that shows outdated figures for hours on a flow
  // that looks open: a device between the ends has lost the flow's state, the
  // caller keeps sending, and the target's other flows work. Only a comparison
  // of both directions finds this.
  void resetsASilentFlow() {
    FakeDeployment deployment(1, 12);
    deployment.settle();
    openAll(deployment, 400);
    chicory::FlowKey silent = flow(0);
    chicory::TargetId at = deployment.ReachedTargets[silent].front();
    auto neighbour =
        std::find_if(deployment.ReachedTargets.begin(),
                     deployment.ReachedTargets.end(), [&](const auto &it) {
                       return it.first != silent && it.second.front() == at;
                     });
    expectTrue(neighbour != deployment.ReachedTargets.end(),
               "another flow is on the same target");
    // Packets of the silent flow go to the core directly and its actions are
    // not performed, so that they never reach the target and get no answer.
    chicory::Actions actions;
    for (int i = 0; i < 30 && deployment.ResetsToCaller[silent] == 0; ++i) {
      chicory::PacketInFlight data;
      data.Content = {.Kind = chicory::PacketKind::Data, .Flow = silent};
      deployment.core(InstanceId{1})
          .handle(chicory::PacketArrived{.Packet = data}, deployment.now(),
                  actions);
      deployment.data(neighbour->first);
      deployment.run(1s);
    }
    expectEqual<uint64_t>(1, deployment.ResetsToCaller[silent]);
    expectEqual<uint64_t>(0, deployment.ResetsToCaller[neighbour->first]);
  }

  void refusesNewFlowsWhenTheTableIsFull() {
    chicory::CoreOptions options;
    options.Self = {.Id = InstanceId{1}};
    options.Flows.MaxFlows = 10;
    chicory::Time now{1000s};
    chicory::Core core(options, now);
    chicory::Actions actions;
    core.handle(
        chicory::RulesLearned{.Rules = samples::compiled(samples::ruleSet(1))},
        now, actions);
    core.handle(chicory::Tick{}, now + 2s, actions);
    actions.clear();
    for (uint32_t i = 0; i < 12; ++i) {
      chicory::PacketInFlight open;
      open.Content = {.Kind = chicory::PacketKind::Open, .Flow = flow(i)};
      core.handle(chicory::PacketArrived{.Packet = open}, now + 2s, actions);
    }
    auto full = static_cast<size_t>(chicory::Reason::FlowTableFull);
    expectEqual<uint64_t>(2, core.stats().Refusals[full]);
    expectEqual<uint64_t>(10, core.stats().FlowsNow);
  }

  // Guards against feeds that are reset when an instance joins: the fabric
  // sends it packets of established flows before it knows any peer, and it
  // considers itself the home of these unknown flows.
  // keepsFlowsThroughRandomEvents covers this too.
  void dropsPacketsBeforeItKnowsAnyHome() {
    chicory::Core core({.Self = {.Id = InstanceId{9}}}, chicory::Time{1000s});
    chicory::Actions actions;
    chicory::PacketInFlight data;
    data.Content = {.Kind = chicory::PacketKind::Data, .Flow = flow(1)};
    core.handle(chicory::PacketArrived{.Packet = data}, chicory::Time{1000s},
                actions);
    expectEqual<size_t>(0, actions.size());
    auto i = static_cast<size_t>(chicory::Reason::NoRules);
    expectEqual<uint64_t>(1, core.stats().Refusals[i]);
  }

  void keepsFlowsThroughRandomEvents() {
    property("a flow keeps its target while that target is running", [] {
      auto seed = *rc::gen::arbitrary<uint32_t>();
      FakeDeployment deployment(5, seed);
      deployment.DuplicateProbability = 0.05;
      RC_ASSERT(deployment.settle());
      openAll(deployment, 20);
      auto first = deployment.ReachedTargets;
      auto steps =
          *rc::gen::container<std::vector<int>>(6, rc::gen::inRange(0, 4));
      for (int step : steps) {
        std::vector<InstanceId> ids = deployment.ids();
        if (step == 0 && ids.size() > 3)
          deployment.kill(ids[seed % ids.size()]);
        else if (step == 1)
          deployment.add();
        else if (step == 2)
          deployment.submit(samples::ruleSet(1));
        else if (step == 3)
          deployment.PlatformUp = !deployment.PlatformUp;
        for (uint32_t i = 0; i < 20; ++i)
          deployment.data(flow(i));
        deployment.run(1500ms);
      }
      deployment.run(3s);
      auto before = deployment.DataToCaller;
      for (uint32_t i = 0; i < 20; ++i)
        deployment.data(flow(i));
      deployment.run(3s);
      for (uint32_t i = 0; i < 20; ++i) {
        RC_ASSERT(deployment.DataToCaller[flow(i)] > before[flow(i)]);
        RC_ASSERT(
            deployment.Targets[first[flow(i)].front()].Flows.contains(flow(i)));
        RC_ASSERT(deployment.ResetsToCaller[flow(i)] == 0U);
      }
    });
  }

  void choosesTheSameHomeInAnyMessageOrder() {
    property("instances with the same inputs choose the same home", [] {
      auto seed = *rc::gen::arbitrary<uint32_t>();
      FakeDeployment deployment(5, seed);
      deployment.MaxDelay = 80ms;
      RC_ASSERT(deployment.settle());
      for (uint32_t i = 0; i < 50; ++i) {
        std::set<uint32_t> homes;
        for (InstanceId it : deployment.ids())
          homes.insert(deployment.core(it)
                           .explain(flow(i), deployment.now())
                           .Home.Value);
        RC_ASSERT(homes.size() == 1U);
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoreTest);
