#include "chicorybank/core/Targets.h"

#include "Samples.h"
#include "Story.h"

using namespace story;
using namespace std::chrono_literals;
using namespace chicory;

namespace {

constexpr Time Start{100s};

std::vector<InstanceId> instances(uint32_t count) {
  std::vector<InstanceId> out;
  for (uint32_t i = 1; i <= count; ++i)
    out.push_back(InstanceId{i});
  return out;
}

} // namespace

class TargetsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetsTest);
  CPPUNIT_TEST(assignsEverySlotOnce);
  CPPUNIT_TEST(usesItsShareThenBorrows);
  CPPUNIT_TEST(borrowsLessAfterAShedRequest);
  CPPUNIT_TEST(ejectsFailingTargetsUpToTheLimit);
  CPPUNIT_TEST(choosesNoDrainingTarget);
  CPPUNIT_TEST(startsNewTargetsSlowly);
  CPPUNIT_TEST(movesOnlyTheFlowsOfARemovedTarget);
  CPPUNIT_TEST_SUITE_END();

  void assignsEverySlotOnce() {
    property("shares add up to the slots, evenly over the instances", [] {
      auto count = *rc::gen::inRange<uint32_t>(1, 12);
      auto rules = samples::compiled(samples::ruleSet(1));
      std::map<TargetId, uint32_t> sum;
      std::vector<uint32_t> totals;
      for (InstanceId it : instances(count)) {
        Targets targets(it, 1, {});
        targets.learn(*rules, Start);
        targets.assignSlots(*rules, instances(count));
        uint32_t total = 0;
        for (const auto &[id, state] : targets.all()) {
          sum[id] += state.Share;
          total += state.Share;
        }
        totals.push_back(total);
      }
      for (const auto &[id, share] : sum)
        RC_ASSERT(share == 2U);
      auto [least, most] = std::minmax_element(totals.begin(), totals.end());
      RC_ASSERT(*most - *least <= 2U);
    });
  }

  static size_t fill(Targets &targets, const Service &service) {
    size_t sent = 0;
    while (auto target = targets.chooseForRequest(service, {}, Start)) {
      targets.requestSent(*target);
      ++sent;
    }
    return sent;
  }

  void usesItsShareThenBorrows() {
    auto rules = samples::compiled(samples::ruleSet(1));
    const Service &service = rules->set().Services[0];
    Targets targets(InstanceId{1}, 1, {});
    targets.learn(*rules, Start);
    targets.assignSlots(*rules, instances(7));
    uint32_t share = targets.shareOf(service);
    expectTrue(share >= 4 && share <= 5, "30 slots over 7 instances");
    expectEqual<size_t>(share + 1, fill(targets, service));
  }

  void borrowsLessAfterAShedRequest() {
    auto rules = samples::compiled(samples::ruleSet(1));
    const Service &service = rules->set().Services[0];
    Targets targets(InstanceId{1}, 1, {});
    targets.learn(*rules, Start);
    targets.assignSlots(*rules, instances(7));
    TargetId target = *targets.chooseForRequest(service, {}, Start);
    targets.requestSent(target);
    targets.requestEnded(target, RequestEnd::Shed, Start, Start);
    expectEqual<size_t>(targets.shareOf(service), fill(targets, service));
  }

  void ejectsFailingTargetsUpToTheLimit() {
    auto rules = samples::compiled(samples::ruleSet(1));
    Targets targets(InstanceId{1}, 1,
                    {.EjectAfter = 3, .MaxEjectedShare = 0.5});
    targets.learn(*rules, Start);
    const Service &service = rules->set().Services[1];
    for (const Target &it : service.Targets) {
      for (int n = 0; n < 3; ++n) {
        targets.requestSent(it.Id);
        targets.requestEnded(it.Id, RequestEnd::Silent, Start, Start);
      }
    }
    size_t ejected = 0;
    for (const Target &it : service.Targets)
      ejected += targets.isEjected(it.Id, Start) ? 1 : 0;
    expectEqual<size_t>(2, ejected);
  }

  void choosesNoDrainingTarget() {
    auto rules = samples::compiled(samples::ruleSet(1));
    Targets targets(InstanceId{1}, 1, {});
    targets.learn(*rules, Start);
    targets.assignSlots(*rules, instances(1));
    const Service &service = rules->set().Services[1];
    for (uint32_t n = 51; n < 54; ++n)
      targets.markDraining(samples::target(n), n == 51, Start);
    for (uint64_t hash = 1; hash < 100; ++hash)
      expectTrue(*targets.chooseForFlow(service, hash, 1, Start) ==
                     samples::target(50),
                 "only the target that is not draining is chosen");
    section("only drains reported by the target itself are announced", [&] {
      auto announced = targets.drainsToAnnounce(Start);
      expectEqual<size_t>(1, announced.size());
      expectTrue(announced[0] == samples::target(51),
                 "the drain that the target reported");
    });
  }

  void startsNewTargetsSlowly() {
    auto rules = samples::compiled(samples::ruleSet(1));
    Targets targets(InstanceId{1}, 1, {.SlowStart = 10s});
    targets.learn(*rules, Start);
    RuleSet more = samples::ruleSet(2);
    more.Services[1].Targets.push_back(
        {.Id = samples::target(60), .Zone = "gikondo"});
    auto newer = samples::compiled(more);
    targets.learn(*newer, Start);
    const Service &service = newer->set().Services[1];
    auto shareAt = [&](Time now) {
      int chosen = 0;
      for (uint64_t hash = 1; hash <= 2000; ++hash)
        chosen += *targets.chooseForFlow(service, hash * 0x9e3779b9, 1, now) ==
                          samples::target(60)
                      ? 1
                      : 0;
      return chosen;
    };
    int cold = shareAt(Start + 1s);
    int warm = shareAt(Start + 11s);
    expectTrue(cold < 120,
               "about 50 of 2000 when cold, got " + std::to_string(cold));
    expectTrue(warm > 300 && warm < 500,
               "about 400 of 2000 when warm, got " + std::to_string(warm));
  }

  void movesOnlyTheFlowsOfARemovedTarget() {
    auto rules = samples::compiled(samples::ruleSet(1));
    Targets targets(InstanceId{1}, 1, {});
    targets.learn(*rules, Start);
    Service fewer = rules->set().Services[0];
    TargetId removed = fewer.Targets[4].Id;
    fewer.Targets.erase(fewer.Targets.begin() + 4);
    for (uint64_t hash = 1; hash < 3000; ++hash) {
      TargetId before =
          *targets.chooseForFlow(rules->set().Services[0], hash, 1, Start);
      TargetId after = *targets.chooseForFlow(fewer, hash, 1, Start);
      expectTrue(before == after || before == removed,
                 "only flows of the removed target move");
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetsTest);
