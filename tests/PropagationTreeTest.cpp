// Tests that updates reach all instances, and that few ask the registry.

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

PropagationTree treeOf(const PeerRecord &self, const Fleet &all) {
  PropagationTree out({.Self = self.Id, .Zone = self.Zone});
  out.learn(all);
  return out;
}

/// Returns the instances that an update reaches from `from`, which has asked
/// the registry, and in how many steps. Failed instances forward nothing.
std::pair<std::set<uint32_t>, int>
propagate(InstanceId from, const Fleet &all,
          const std::set<uint32_t> &failed = {}) {
  std::set<uint32_t> reached{from.Value};
  std::vector<uint32_t> wave{from.Value};
  int steps = 0;
  bool fromRegistry = true;
  while (!wave.empty()) {
    std::vector<uint32_t> next;
    for (uint32_t it : wave)
      for (Address to :
           treeOf(all.at(InstanceId{it}), all).targets(fromRegistry))
        if (!failed.contains(to.Ip) && reached.insert(to.Ip).second)
          next.push_back(to.Ip);
    fromRegistry = false;
    wave = next;
    ++steps;
  }
  return {reached, steps - 1};
}

/// Returns how many instances ask the registry before an answer reaches them,
/// from the moment at which the failed ones stop forwarding. At that moment,
/// all running instances have data of the same age; each step of a push takes a
/// twentieth of a poll interval.
size_t askersAfterFailure(const Fleet &all, const std::set<uint32_t> &failed,
                          InstanceId watcher) {
  constexpr Duration Step = 25ms;
  std::map<uint32_t, PropagationTree> trees;
  for (const auto &[id, it] : all)
    if (!failed.contains(id.Value))
      trees.emplace(id.Value, treeOf(it, all));
  // An instance asks the registry or forwards an update at some time.
  struct Action {
    Duration At;
    uint32_t Instance;
    bool AsksRegistry;
    bool operator>(const Action &other) const { return At > other.At; }
  };
  std::priority_queue<Action, std::vector<Action>, std::greater<>> actions;
  for (const auto &[id, it] : trees)
    actions.push({.At = id == watcher.Value ? 500ms : it.stalenessLimit(),
                  .Instance = id,
                  .AsksRegistry = true});
  std::set<uint32_t> reached;
  size_t askers = 0;
  while (!actions.empty()) {
    Action it = actions.top();
    actions.pop();
    if (!reached.insert(it.Instance).second)
      continue;
    askers += it.AsksRegistry ? 1 : 0;
    for (Address to : trees.at(it.Instance).targets(it.AsksRegistry))
      if (!failed.contains(to.Ip))
        actions.push(
            {.At = it.At + Step, .Instance = to.Ip, .AsksRegistry = false});
  }
  return askers;
}

/// Returns the instances to which one forwards an update within its zone.
std::vector<Address> childrenOf(const PeerRecord &it, const Fleet &all) {
  return treeOf(it, all).targets(false);
}

} // namespace

class PropagationTreeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PropagationTreeTest);
  CPPUNIT_TEST(reachesAllInstancesInFewSteps);
  CPPUNIT_TEST(reachesOtherZonesIfTheirFirstFailed);
  CPPUNIT_TEST(onlyOneInstanceAsksFirst);
  CPPUNIT_TEST(hasNoRankUntilItsRecordIsSeen);
  CPPUNIT_TEST(keepsTheLastOrderWhileRecordsLapse);
  CPPUNIT_TEST(asksInTimeAtAnyFleetSize);
  CPPUNIT_TEST(sendsNoMorePushesInALargerFleet);
  CPPUNIT_TEST(asksOnceForTheSubtreeOfAFailedInstance);
  CPPUNIT_TEST_SUITE_END();

  void reachesAllInstancesInFewSteps() {
    Fleet all = fleet(4, 60);
    for (const auto &[id, it] : all) {
      if (id.Value % 37 != 0)
        continue;
      auto [reached, steps] = propagate(id, all);
      expectEqual<size_t>(all.size(), reached.size());
      expectTrue(steps <= 4, "four steps: " + std::to_string(steps));
    }
  }

  // Guards against a zone that gets no updates while the registry refuses it:
  // its first instance has failed, its record still exists, and no other
  // instance of the zone gets pushes from outside.
  void reachesOtherZonesIfTheirFirstFailed() {
    Fleet all = fleet(3, 5);
    InstanceId from = all.begin()->first;
    Address first = treeOf(all.begin()->second, all).targets(true).back();
    auto [reached, steps] = propagate(from, all, {first.Ip});
    expectEqual<size_t>(all.size() - 1, reached.size());
  }

  // 295 instances start before any has a record. If each took itself for the
  // first one and watched at once, they would make 295 calls instead of one.
  void hasNoRankUntilItsRecordIsSeen() {
    Fleet all = fleet(1, 60);
    Duration last = Duration::zero();
    for (const auto &[id, it] : all)
      last = std::max(last, treeOf(it, all).stalenessLimit());
    PropagationTree fresh({.Self = InstanceId{9}, .Zone = "zone-0"});
    expectTrue(fresh.stalenessLimit() >= 1500ms, "no instance is known");
    fresh.learn(all);
    expectTrue(fresh.stalenessLimit() >= 1500ms, "other instances are known");
    std::set<Duration> limits;
    for (uint64_t seed = 1; seed <= 100; ++seed)
      limits.insert(PropagationTree(
                        {.Self = InstanceId{9}, .Zone = "zone-0", .Seed = seed})
                        .stalenessLimit());
    expectTrue(*limits.rbegin() - *limits.begin() > 700ms,
               "instances without a rank don't ask all at once");
    all[InstanceId{9}] = {.Id = InstanceId{9}, .Zone = "zone-0"};
    fresh.learn(all);
    expectTrue(fresh.stalenessLimit() <= last, "it has a rank");
  }

  // Guards against a deployment that comes out of an outage of the registry
  // with every instance asking it twice a second, or with stale data everywhere
  // for seconds. All records lapse with their leases; if a missing record meant
  // that the instance is gone, no instance would know another.
  void keepsTheLastOrderWhileRecordsLapse() {
    Fleet all = fleet(2, 5);
    const PeerRecord &self = all.begin()->second;
    PropagationTree tree = treeOf(self, all);
    Duration limit = tree.stalenessLimit();
    auto targets = tree.targets(true);
    tree.learn({});
    expectTrue(tree.stalenessLimit() == limit, "its limit is unchanged");
    expectTrue(tree.targets(true) == targets, "its receivers are unchanged");
    section("until its own record is back", [&] {
      tree.learn({{self.Id, self}});
      expectTrue(tree.targets(true).empty(), "it is the only instance");
    });
  }

  void onlyOneInstanceAsksFirst() {
    Fleet all = fleet(3, 8);
    std::multiset<Duration> limits;
    for (const auto &[id, it] : all)
      limits.insert(treeOf(it, all).stalenessLimit());
    expectEqual<size_t>(1, limits.count(500ms));
    expectTrue(*std::next(limits.begin()) >= 700ms,
               "the second instance leaves time for a call and a push");
  }

  void asksInTimeAtAnyFleetSize() {
    property("at most three quarters of the time to apply", [] {
      Fleet all = fleet(*rc::gen::inRange<uint32_t>(1, 20),
                        *rc::gen::inRange<uint32_t>(1, 12));
      for (const auto &[id, it] : all)
        RC_ASSERT(treeOf(it, all).stalenessLimit() <= 2250ms);
    });
  }

  // Instances inside the tree fail, and their records exist until their leases
  // end. Guards against a call by each instance of their subtrees, twice as
  // many in a fleet of twice the size.
  void asksOnceForTheSubtreeOfAFailedInstance() {
    for (uint32_t each : {200U, 400U, 800U}) {
      Fleet all = fleet(2, each);
      const PeerRecord *watcher = &all.begin()->second;
      for (const auto &[id, it] : all)
        if (treeOf(it, all).stalenessLimit() == 500ms)
          watcher = &it;
      expectEqual<size_t>(1, askersAfterFailure(all, {}, watcher->Id));
      auto children = childrenOf(*watcher, all);
      size_t few = 3;
      section("an instance at depth one", [&] {
        size_t n = askersAfterFailure(all, {children[5].Ip}, watcher->Id);
        expectTrue(n <= 1 + few, std::to_string(n) + " of " +
                                     std::to_string(2 * each) + " ask");
      });
      section("an instance at depth two", [&] {
        auto second = childrenOf(all.at(InstanceId{children[5].Ip}), all);
        size_t n = askersAfterFailure(all, {second[2].Ip}, watcher->Id);
        expectTrue(n <= 1 + few, std::to_string(n) + " of " +
                                     std::to_string(2 * each) + " ask");
      });
    }
  }

  void sendsNoMorePushesInALargerFleet() {
    for (uint32_t each : {10U, 100U, 400U}) {
      Fleet all = fleet(3, each);
      size_t most = 0;
      for (uint32_t n = 0; n < each; n += 9)
        most = std::max(most, treeOf(all.at(InstanceId{0x0a000000 + n}), all)
                                  .targets(false)
                                  .size());
      expectTrue(most <= PropagationTree::FanOut,
                 "pushes of an instance in a zone of " + std::to_string(each) +
                     ": " + std::to_string(most));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PropagationTreeTest);
