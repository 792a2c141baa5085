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
  CPPUNIT_TEST(dealsEverySlotOnce);
  CPPUNIT_TEST(fillsItsShareThenBorrows);
  CPPUNIT_TEST(borrowsLessAfterSheds);
  CPPUNIT_TEST(ejectsAFailingTargetButNotAll);
  CPPUNIT_TEST(leavesDrainingTargetsAlone);
  CPPUNIT_TEST(startsNewTargetsSlowly);
  CPPUNIT_TEST(movesFewFlowsWhenATargetGoes);
  CPPUNIT_TEST_SUITE_END();

  void dealsEverySlotOnce() {
    property("shares add up to the slots, evenly over the instances", [] {
      auto count = *rc::gen::inRange<uint32_t>(1, 12);
      auto rules = samples::compiled(samples::ruleSet(1));
      std::map<TargetId, uint32_t> sum;
      std::vector<uint32_t> totals;
      for (InstanceId it : instances(count)) {
        Targets book(it, 1, {});
        book.learn(*rules, Start);
        book.assignSlots(*rules, instances(count));
        uint32_t total = 0;
        for (const auto &[id, state] : book.all()) {
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

  static size_t fill(Targets &book, const Service &service) {
    size_t sent = 0;
    while (auto target = book.chooseForRequest(service, {}, Start)) {
      book.requestSent(*target);
      ++sent;
    }
    return sent;
  }

  void fillsItsShareThenBorrows() {
    auto rules = samples::compiled(samples::ruleSet(1));
    const Service &service = rules->set().Services[0];
    Targets book(InstanceId{1}, 1, {});
    book.learn(*rules, Start);
    book.assignSlots(*rules, instances(7));
    uint32_t share = book.shareOf(service);
    expectTrue(share >= 4 && share <= 5, "30 slots over 7 instances");
    expectEqual<size_t>(share + 1, fill(book, service));
  }

  void borrowsLessAfterSheds() {
    auto rules = samples::compiled(samples::ruleSet(1));
    const Service &service = rules->set().Services[0];
    Targets book(InstanceId{1}, 1, {});
    book.learn(*rules, Start);
    book.assignSlots(*rules, instances(7));
    TargetId target = *book.chooseForRequest(service, {}, Start);
    book.requestSent(target);
    book.requestEnded(target, RequestEnd::Shed, Start, Start);
    expectEqual<size_t>(book.shareOf(service), fill(book, service));
  }

  void ejectsAFailingTargetButNotAll() {
    auto rules = samples::compiled(samples::ruleSet(1));
    Targets book(InstanceId{1}, 1, {.EjectAfter = 3, .MaxEjectedShare = 0.5});
    book.learn(*rules, Start);
    const Service &service = rules->set().Services[1];
    for (const Target &it : service.Targets) {
      for (int n = 0; n < 3; ++n) {
        book.requestSent(it.Id);
        book.requestEnded(it.Id, RequestEnd::Silent, Start, Start);
      }
    }
    size_t ejected = 0;
    for (const Target &it : service.Targets)
      ejected += book.isEjected(it.Id, Start) ? 1 : 0;
    expectEqual<size_t>(2, ejected);
  }

  void leavesDrainingTargetsAlone() {
    auto rules = samples::compiled(samples::ruleSet(1));
    Targets book(InstanceId{1}, 1, {});
    book.learn(*rules, Start);
    book.assignSlots(*rules, instances(1));
    const Service &service = rules->set().Services[1];
    for (uint32_t n = 51; n < 54; ++n)
      book.markDraining(samples::target(n), n == 51, Start);
    for (uint64_t hash = 1; hash < 100; ++hash)
      expectTrue(*book.chooseForFlow(service, hash, 1, Start) ==
                     samples::target(50),
                 "only the one that stays is chosen");
    section("peers are told what the target itself has said", [&] {
      auto told = book.drainsToAnnounce(Start);
      expectEqual<size_t>(1, told.size());
      expectTrue(told[0] == samples::target(51), "the one that said so");
    });
  }

  void startsNewTargetsSlowly() {
    auto rules = samples::compiled(samples::ruleSet(1));
    Targets book(InstanceId{1}, 1, {.SlowStart = 10s});
    book.learn(*rules, Start);
    RuleSet more = samples::ruleSet(2);
    more.Services[1].Targets.push_back(
        {.Id = samples::target(60), .Zone = "gikondo"});
    auto newer = samples::compiled(more);
    book.learn(*newer, Start);
    const Service &service = newer->set().Services[1];
    auto shareAt = [&](Time now) {
      int chosen = 0;
      for (uint64_t hash = 1; hash <= 2000; ++hash)
        chosen += *book.chooseForFlow(service, hash * 0x9e3779b9, 1, now) ==
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

  void movesFewFlowsWhenATargetGoes() {
    auto rules = samples::compiled(samples::ruleSet(1));
    Targets book(InstanceId{1}, 1, {});
    book.learn(*rules, Start);
    Service fewer = rules->set().Services[0];
    TargetId gone = fewer.Targets[4].Id;
    fewer.Targets.erase(fewer.Targets.begin() + 4);
    for (uint64_t hash = 1; hash < 3000; ++hash) {
      TargetId before =
          *book.chooseForFlow(rules->set().Services[0], hash, 1, Start);
      TargetId after = *book.chooseForFlow(fewer, hash, 1, Start);
      expectTrue(before == after || before == gone,
                 "only flows of the target that went move");
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetsTest);
