// News reaches everybody, and few ask the registry.

#include "chicorybank/edge/PropagationTree.h"

#include "Story.h"

#include <functional>
#include <queue>
#include <set>

using namespace story;
using namespace chicory;
using namespace chicory::edge;
using namespace std::chrono_literals;

namespace {

using Fleet = std::map<InstanceId, PeerRecord>;

Fleet fleet(uint32_t zones, uint32_t each) {
  Fleet out;
  for (uint32_t z = 0; z < zones; ++z)
    for (uint32_t n = 0; n < each; ++n) {
      InstanceId id{0x0a000000 + z * 65536 + n};
      out[id] = {.Id = id,
                 .Zone = "zone-" + std::to_string(z),
                 .PeerAddress = {.Ip = id.Value, .Port = 7720}};
    }
  return out;
}

PropagationTree spreadOf(const PeerRecord &self, const Fleet &all) {
  PropagationTree out({.Self = self.Id, .Zone = self.Zone});
  out.learn(all);
  return out;
}

/// Who is reached when `from` has asked the registry, leaving out the dead,
/// and in how many steps.
std::pair<std::set<uint32_t>, int> reach(InstanceId from, const Fleet &all,
                                         const std::set<uint32_t> &dead = {}) {
  std::set<uint32_t> reached{from.Value};
  std::vector<uint32_t> wave{from.Value};
  int steps = 0;
  bool asked = true;
  while (!wave.empty()) {
    std::vector<uint32_t> next;
    for (uint32_t it : wave)
      for (Address to : spreadOf(all.at(InstanceId{it}), all).targets(asked))
        if (!dead.contains(to.Ip) && reached.insert(to.Ip).second)
          next.push_back(to.Ip);
    asked = false;
    wave = next;
    ++steps;
  }
  return {reached, steps - 1};
}

/// How many ask the registry before somebody's answer reaches them, from the
/// moment on at which the dead stop passing news on. All that live had the
/// same news then; a push takes a twentieth of a pace a step.
size_t askersAfter(const Fleet &all, const std::set<uint32_t> &dead,
                   InstanceId watcher) {
  constexpr Duration Step = 25ms;
  std::map<uint32_t, PropagationTree> spreads;
  for (const auto &[id, it] : all)
    if (!dead.contains(id.Value))
      spreads.emplace(id.Value, spreadOf(it, all));
  // Who acts when: asks, or has news to pass on.
  struct Act {
    Duration At;
    uint32_t Who;
    bool Asks;
    bool operator>(const Act &other) const { return At > other.At; }
  };
  std::priority_queue<Act, std::vector<Act>, std::greater<>> acts;
  for (const auto &[id, it] : spreads)
    acts.push({.At = id == watcher.Value ? 500ms : it.stalenessLimit(),
               .Who = id,
               .Asks = true});
  std::set<uint32_t> reached;
  size_t askers = 0;
  while (!acts.empty()) {
    Act it = acts.top();
    acts.pop();
    if (!reached.insert(it.Who).second)
      continue;
    askers += it.Asks ? 1 : 0;
    for (Address to : spreads.at(it.Who).targets(it.Asks))
      if (!dead.contains(to.Ip))
        acts.push({.At = it.At + Step, .Who = to.Ip, .Asks = false});
  }
  return askers;
}

/// The instances of a zone to whom a head of it passes news on.
std::vector<Address> childrenOf(const PeerRecord &it, const Fleet &all) {
  return spreadOf(it, all).targets(false);
}

} // namespace

class PropagationTreeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PropagationTreeTest);
  CPPUNIT_TEST(reachesEverybodyInFewSteps);
  CPPUNIT_TEST(reachesOtherZonesWithoutTheirFirst);
  CPPUNIT_TEST(letsOneAskFirst);
  CPPUNIT_TEST(isLastUntilItsRecordIsSeen);
  CPPUNIT_TEST(keepsTheOrderWhileRecordsLapse);
  CPPUNIT_TEST(asksInTimeWhateverTheFleet);
  CPPUNIT_TEST(sendsNoMoreInALargerFleet);
  CPPUNIT_TEST(asksOnceForAllBehindADeadInstance);
  CPPUNIT_TEST_SUITE_END();

  void reachesEverybodyInFewSteps() {
    Fleet all = fleet(4, 60);
    for (const auto &[id, it] : all) {
      if (id.Value % 37 != 0)
        continue;
      auto [reached, steps] = reach(id, all);
      expectEqual<size_t>(all.size(), reached.size());
      expectTrue(steps <= 4, "four steps: " + std::to_string(steps));
    }
  }

  // Symptom: a zone that the registry turns away learns nothing.
  // Sequence: the first of its order has died, its record is still there.
  // Cause: one instance as the only way into a zone.
  void reachesOtherZonesWithoutTheirFirst() {
    Fleet all = fleet(3, 5);
    InstanceId from = all.begin()->first;
    Address first = spreadOf(all.begin()->second, all).targets(true).back();
    auto [reached, steps] = reach(from, all, {first.Ip});
    expectEqual<size_t>(all.size() - 1, reached.size());
  }

  // Pattern: 295 instances start before any has a record. Grounds: each took
  // itself for the first and watched at once, 295 calls for one.
  void isLastUntilItsRecordIsSeen() {
    Fleet all = fleet(1, 60);
    Duration last = Duration::zero();
    for (const auto &[id, it] : all)
      last = std::max(last, spreadOf(it, all).stalenessLimit());
    PropagationTree fresh({.Self = InstanceId{9}, .Zone = "zone-0"});
    expectTrue(fresh.stalenessLimit() >= 1500ms, "nobody is known");
    fresh.learn(all);
    expectTrue(fresh.stalenessLimit() >= 1500ms, "others are");
    std::set<Duration> patiences;
    for (uint64_t seed = 1; seed <= 100; ++seed)
      patiences.insert(
          PropagationTree(
              {.Self = InstanceId{9}, .Zone = "zone-0", .Seed = seed})
              .stalenessLimit());
    expectTrue(*patiences.rbegin() - *patiences.begin() > 700ms,
               "those without a place don't ask at once");
    all[InstanceId{9}] = {.Id = InstanceId{9}, .Zone = "zone-0"};
    fresh.learn(all);
    expectTrue(fresh.stalenessLimit() <= last, "it has a place");
  }

  // Symptom: when the registry is back from an outage all instances ask it
  // twice a second, or the news of all is stale for seconds.
  // Sequence: all records lapse with their leases; each instance knows nobody.
  // Cause: records that are missing taken for instances that are gone.
  void keepsTheOrderWhileRecordsLapse() {
    Fleet all = fleet(2, 5);
    const PeerRecord &self = all.begin()->second;
    PropagationTree spread = spreadOf(self, all);
    Duration stalenessLimit = spread.stalenessLimit();
    auto targets = spread.targets(true);
    spread.learn({});
    expectTrue(spread.stalenessLimit() == stalenessLimit, "its place");
    expectTrue(spread.targets(true) == targets, "and whom it tells");
    section("until its own record is back", [&] {
      spread.learn({{self.Id, self}});
      expectTrue(spread.targets(true).empty(), "the only one");
    });
  }

  void letsOneAskFirst() {
    Fleet all = fleet(3, 8);
    std::multiset<Duration> stalenessLimit;
    for (const auto &[id, it] : all)
      stalenessLimit.insert(spreadOf(it, all).stalenessLimit());
    expectEqual<size_t>(1, stalenessLimit.count(500ms));
    expectTrue(*std::next(stalenessLimit.begin()) >= 700ms,
               "the next one leaves time for a call and a push");
  }

  void asksInTimeWhateverTheFleet() {
    property("three quarters of the time to apply at most", [] {
      Fleet all = fleet(*rc::gen::inRange<uint32_t>(1, 20),
                        *rc::gen::inRange<uint32_t>(1, 12));
      for (const auto &[id, it] : all)
        RC_ASSERT(spreadOf(it, all).stalenessLimit() <= 2250ms);
    });
  }

  // Pattern: instances inside the tree die, and their records stand until their
  // leases end. Guards against a call by each of all those behind them, twice
  // as many in a fleet of twice the size.
  void asksOnceForAllBehindADeadInstance() {
    for (uint32_t each : {200U, 400U, 800U}) {
      Fleet all = fleet(2, each);
      const PeerRecord *watcher = &all.begin()->second;
      for (const auto &[id, it] : all)
        if (spreadOf(it, all).stalenessLimit() == 500ms)
          watcher = &it;
      expectEqual<size_t>(1, askersAfter(all, {}, watcher->Id));
      auto heads = childrenOf(*watcher, all);
      size_t few = 3;
      section("one of the first step", [&] {
        size_t n = askersAfter(all, {heads[5].Ip}, watcher->Id);
        expectTrue(n <= 1 + few, std::to_string(n) + " of " +
                                     std::to_string(2 * each) + " ask");
      });
      section("one of the second", [&] {
        auto second = childrenOf(all.at(InstanceId{heads[5].Ip}), all);
        size_t n = askersAfter(all, {second[2].Ip}, watcher->Id);
        expectTrue(n <= 1 + few, std::to_string(n) + " of " +
                                     std::to_string(2 * each) + " ask");
      });
    }
  }

  void sendsNoMoreInALargerFleet() {
    for (uint32_t each : {10U, 100U, 400U}) {
      Fleet all = fleet(3, each);
      size_t most = 0;
      for (uint32_t n = 0; n < each; n += 9)
        most = std::max(most, spreadOf(all.at(InstanceId{0x0a000000 + n}), all)
                                  .targets(false)
                                  .size());
      expectTrue(most <= PropagationTree::FanOut,
                 "of " + std::to_string(each) + ": " + std::to_string(most));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PropagationTreeTest);
