#include "chicorybank/edge/OutageGossip.h"

#include "chicorybank/edge/PropagationTree.h"

#include "Story.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <set>

using namespace story;
using namespace chicory;
using namespace chicory::edge;
using namespace std::chrono_literals;

namespace {

constexpr Time Start{100s};
constexpr InstanceId Self{9};

std::map<InstanceId, PeerRecord> peers(const std::vector<uint32_t> &ids) {
  std::map<InstanceId, PeerRecord> out;
  for (uint32_t it : ids)
    out[InstanceId{it}] = {
        .Id = InstanceId{it}, .Zone = "a", .PeerAddress = {it, 7}};
  return out;
}

/// Returns the ids of `size` instances, and those whose records still exist.
std::pair<std::vector<uint32_t>, std::vector<uint32_t>>
everyThirdLapsed(uint32_t size) {
  std::vector<uint32_t> ids(size);
  std::iota(ids.begin(), ids.end(), 1);
  std::vector<uint32_t> registered;
  std::copy_if(ids.begin(), ids.end(), std::back_inserter(registered),
               [](uint32_t n) { return n % 3 != 0; });
  return {ids, registered};
}

/// Returns the former instances due for a push, without changing the argument.
std::vector<Address> formerOf(OutageGossip it, Time now) {
  return it.dueFormer(true, now);
}

} // namespace

class OutageGossipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OutageGossipTest);
  CPPUNIT_TEST(sendsWhileTheRegistryIsUnavailable);
  CPPUNIT_TEST(sendsToFormerInstances);
  CPPUNIT_TEST(sendsToInstancesThatLeftBeforeItStarted);
  CPPUNIT_TEST(keepsInstancesWithLapsedRecordsInTheTree);
  CPPUNIT_TEST(reachesInstancesThatTheRegistryRefuses);
  CPPUNIT_TEST(limitsPushesAtAnyFleetSize);
  CPPUNIT_TEST_SUITE_END();

  // Guards against an instance that restarts in a cut-off zone and serves no
  // callers although a neighbour has all data: it stops, the neighbour
  // restarts, the zone is cut off, and the instance starts. If its record ended
  // with its stop, the neighbour never saw it.
  void sendsToInstancesThatLeftBeforeItStarted() {
    auto some = peers({1, 2});
    some[InstanceId{2}].Leaving = true;
    OutageGossip it(Self, "a");
    it.learn(some, Start);
    expectTrue(formerOf(it, Start) == std::vector{Address{2, 7}},
               "it is leaving");
    it.learn(peers({1}), Start + 8s);
    expectTrue(formerOf(it, Start + 38s) == std::vector{Address{2, 7}},
               "it has left");
    it.learn(peers({1, 2}), Start + 9s);
    expectTrue(formerOf(it, Start + 9s).empty(), "it is back");
  }

  void keepsInstancesWithLapsedRecordsInTheTree() {
    OutageGossip it(Self, "a");
    auto all = peers({1, 2, 3});
    it.learn(all, Start);
    expectTrue(it.treeMembers(Start) == all, "the registered instances");
    it.learn(peers({1, 3}), Start + 1s);
    expectTrue(it.treeMembers(Start + 13s) == all, "one record has lapsed");
    expectTrue(it.treeMembers(Start + 14s) == peers({1, 3}),
               "until the retention ends");
    section("an instance that left as planned", [&] {
      auto leaving = peers({1, 3});
      leaving[InstanceId{3}].Leaving = true;
      it.learn(leaving, Start + 20s);
      it.learn(peers({1}), Start + 21s);
      expectTrue(it.treeMembers(Start + 21s) == peers({1}),
                 "is not in the tree");
    });
  }

  // The registry refuses a third of a fleet until their records lapse. Guards
  // against updates that reach only the others, although the refused instances
  // can't ask for them.
  void reachesInstancesThatTheRegistryRefuses() {
    for (uint32_t size : {300U, 600U}) {
      auto [ids, registered] = everyThirdLapsed(size);
      OutageGossip it(Self, "a");
      it.learn(peers(ids), Start);
      it.learn(peers(registered), Start + 1s);
      auto members = it.treeMembers(Start + 2s);
      std::set<uint32_t> reached{1};
      std::vector<uint32_t> wave{1};
      while (!wave.empty()) {
        PropagationTree tree({.Self = InstanceId{wave.back()}, .Zone = "a"});
        bool fromRegistry = wave.back() == 1;
        wave.pop_back();
        tree.learn(members);
        for (Address to : tree.targets(fromRegistry))
          if (reached.insert(to.Ip).second)
            wave.push_back(to.Ip);
      }
      expectEqual<size_t>(size, reached.size());
    }
  }

  // The registry is unavailable for a whole fleet, and a third of its records
  // have lapsed. Guards against instances that send to all of these five times
  // a second: the total would grow with the square of the fleet.
  void limitsPushesAtAnyFleetSize() {
    for (uint32_t size : {300U, 600U}) {
      auto [ids, registered] = everyThirdLapsed(size);
      constexpr int Seconds = 10;
      std::map<uint32_t, int> received;
      std::map<uint32_t, Duration> firstAfter;
      int sentMax = 0;
      for (uint32_t self : registered) {
        OutageGossip it(InstanceId{self}, "a");
        it.learn(peers(ids), Start);
        it.learn(peers(registered), Start);
        int sent = 0;
        for (Time now = Start; now < Start + 1s * Seconds; now += 100ms) {
          std::vector<Address> receivers = it.dueRegistered(true, now);
          for (Address to : it.dueFormer(true, now))
            receivers.push_back(to);
          sent += static_cast<int>(receivers.size());
          for (Address to : receivers) {
            ++received[to.Ip];
            auto first = firstAfter.try_emplace(to.Ip, now - Start).first;
            first->second = std::min(first->second, now - Start);
          }
        }
        sentMax = std::max(sentMax, sent);
      }
      std::string suffix = " of " + std::to_string(size);
      expectTrue(sentMax <= 40 * Seconds, std::to_string(sentMax) + suffix);
      expectEqual<size_t>(size, received.size());
      for (const auto &[ip, n] : received)
        expectTrue(n <= 40 * Seconds, std::to_string(n) + suffix);
      for (const auto &[ip, after] : firstAfter)
        expectTrue(after <= (ip % 3 == 0 ? 1s : 4s), "reached soon enough");
    }
  }

  void sendsWhileTheRegistryIsUnavailable() {
    OutageGossip it(Self, "a");
    it.learn(peers({1}), Start);
    expectTrue(it.dueRegistered(false, Start).empty(),
               "the registry is available");
    expectTrue(it.dueRegistered(true, Start) == std::vector{Address{1, 7}},
               "the registry is unavailable");
    expectTrue(it.dueRegistered(true, Start + 600ms).empty(),
               "within the interval");
    expectTrue(!it.dueRegistered(true, Start + 700ms).empty(),
               "after the interval");
    expectTrue(it.nextAt(false) == Time::max(),
               "nothing is due while it is available");
    expectTrue(it.nextAt(true) == Start + 1400ms, "the next push");
    section("instances that have left get pushes more often", [&] {
      it.learn(peers({1}), Start);
      it.learn(peers({}), Start);
      expectTrue(it.dueFormer(false, Start).empty(),
                 "the registry is available");
      expectEqual<size_t>(1, it.dueFormer(true, Start).size());
      expectTrue(it.dueFormer(true, Start + 100ms).empty(),
                 "within the interval");
      expectTrue(it.nextAt(true) == Start + 200ms,
                 "after the shorter interval");
      expectEqual<size_t>(1, it.dueFormer(true, Start + 200ms).size());
    });
  }

  // Guards against an instance that restarts in a cut-off zone and serves no
  // callers: it stops, which ends its record; the zone is cut off; it starts at
  // the same address. Pushes only to instances with a record don't reach it.
  void sendsToFormerInstances() {
    OutageGossip it(Self, "a");
    it.learn(peers({1, 2}), Start);
    expectTrue(formerOf(it, Start).empty(), "no instance has left");
    it.learn(peers({1}), Start + 1s);
    expectTrue(formerOf(it, Start + 31s) == std::vector{Address{2, 7}},
               "one has left");
    expectTrue(formerOf(it, Start + 32s).empty(), "until the retention ends");
    it.learn(peers({1, 2}), Start + 2s);
    expectTrue(formerOf(it, Start + 2s).empty(), "it is back");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutageGossipTest);
