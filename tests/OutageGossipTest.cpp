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

/// So many instances, and those of them whose records still stand.
std::pair<std::vector<uint32_t>, std::vector<uint32_t>>
everyThirdLapsed(uint32_t size) {
  std::vector<uint32_t> ids(size);
  std::iota(ids.begin(), ids.end(), 1);
  std::vector<uint32_t> registered;
  std::copy_if(ids.begin(), ids.end(), std::back_inserter(registered),
               [](uint32_t n) { return n % 3 != 0; });
  return {ids, registered};
}

/// Those that a fresh copy would tell at a time.
std::vector<Address> formerOf(OutageGossip it, Time now) {
  return it.dueFormer(true, now);
}

} // namespace

class OutageGossipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OutageGossipTest);
  CPPUNIT_TEST(remindsWhileTheRegistryIsAway);
  CPPUNIT_TEST(remembersWhoHasLeft);
  CPPUNIT_TEST(knowsWhoLeftBeforeItStarted);
  CPPUNIT_TEST(keepsThePlacesOfThoseWhoseRecordsLapse);
  CPPUNIT_TEST(tellsThoseWhomTheRegistryTurnsAway);
  CPPUNIT_TEST(tellsFewAtATimeWhateverTheFleet);
  CPPUNIT_TEST_SUITE_END();

  // Symptom: an instance that restarts in a cut-off zone serves nobody, though
  // a neighbour knows everything.
  // Sequence: it stops; the neighbour restarts meanwhile; the zone is cut off;
  // it starts.
  // Cause: its record ended with its stop, so the neighbour never saw it.
  void knowsWhoLeftBeforeItStarted() {
    auto some = peers({1, 2});
    some[InstanceId{2}].Leaving = true;
    OutageGossip it(Self, "a");
    it.learn(some, Start);
    expectTrue(formerOf(it, Start) == std::vector{Address{2, 7}}, "it leaves");
    it.learn(peers({1}), Start + 8s);
    expectTrue(formerOf(it, Start + 38s) == std::vector{Address{2, 7}},
               "it left");
    it.learn(peers({1, 2}), Start + 9s);
    expectTrue(formerOf(it, Start + 9s).empty(), "it is back");
  }

  void keepsThePlacesOfThoseWhoseRecordsLapse() {
    OutageGossip it(Self, "a");
    auto all = peers({1, 2, 3});
    it.learn(all, Start);
    expectTrue(it.treeMembers(Start) == all, "the registered ones");
    it.learn(peers({1, 3}), Start + 1s);
    expectTrue(it.treeMembers(Start + 13s) == all, "one has lapsed");
    expectTrue(it.treeMembers(Start + 14s) == peers({1, 3}), "for a while");
    section("one that left as planned", [&] {
      auto leaving = peers({1, 3});
      leaving[InstanceId{3}].Leaving = true;
      it.learn(leaving, Start + 20s);
      it.learn(peers({1}), Start + 21s);
      expectTrue(it.treeMembers(Start + 21s) == peers({1}), "has no place");
    });
  }

  // Pattern: the registry turns a third of a fleet away until their records
  // lapse. Guards against news that reaches only the others, while those that
  // can't ask are told nothing.
  void tellsThoseWhomTheRegistryTurnsAway() {
    for (uint32_t size : {300U, 600U}) {
      auto [ids, registered] = everyThirdLapsed(size);
      OutageGossip it(Self, "a");
      it.learn(peers(ids), Start);
      it.learn(peers(registered), Start + 1s);
      auto placed = it.treeMembers(Start + 2s);
      std::set<uint32_t> reached{1};
      std::vector<uint32_t> wave{1};
      while (!wave.empty()) {
        PropagationTree spread({.Self = InstanceId{wave.back()}, .Zone = "a"});
        bool asked = wave.back() == 1;
        wave.pop_back();
        spread.learn(placed);
        for (Address to : spread.targets(asked))
          if (reached.insert(to.Ip).second)
            wave.push_back(to.Ip);
      }
      expectEqual<size_t>(size, reached.size());
    }
  }

  // Pattern: the registry is away for a whole fleet, and a third of its records
  // have lapsed. Guards against instances that tell all of those five times a
  // second, which grows with the square of the fleet.
  void tellsFewAtATimeWhateverTheFleet() {
    for (uint32_t size : {300U, 600U}) {
      auto [ids, registered] = everyThirdLapsed(size);
      constexpr int Seconds = 10;
      std::map<uint32_t, int> received;
      std::map<uint32_t, Duration> firstAfter;
      int sentMost = 0;
      for (uint32_t self : registered) {
        OutageGossip it(InstanceId{self}, "a");
        it.learn(peers(ids), Start);
        it.learn(peers(registered), Start);
        int sent = 0;
        for (Time now = Start; now < Start + 1s * Seconds; now += 100ms) {
          std::vector<Address> told = it.dueRegistered(true, now);
          for (Address to : it.dueFormer(true, now))
            told.push_back(to);
          sent += static_cast<int>(told.size());
          for (Address to : told) {
            ++received[to.Ip];
            auto first = firstAfter.try_emplace(to.Ip, now - Start).first;
            first->second = std::min(first->second, now - Start);
          }
        }
        sentMost = std::max(sentMost, sent);
      }
      std::string shown = " of " + std::to_string(size);
      expectTrue(sentMost <= 40 * Seconds, std::to_string(sentMost) + shown);
      expectEqual<size_t>(size, received.size());
      for (const auto &[ip, n] : received)
        expectTrue(n <= 40 * Seconds, std::to_string(n) + shown);
      for (const auto &[ip, after] : firstAfter)
        expectTrue(after <= (ip % 3 == 0 ? 1s : 4s), "told soon enough");
    }
  }

  void remindsWhileTheRegistryIsAway() {
    OutageGossip it(Self, "a");
    it.learn(peers({1}), Start);
    expectTrue(it.dueRegistered(false, Start).empty(), "all is well");
    expectTrue(it.dueRegistered(true, Start) == std::vector{Address{1, 7}},
               "away");
    expectTrue(it.dueRegistered(true, Start + 600ms).empty(), "a moment ago");
    expectTrue(!it.dueRegistered(true, Start + 700ms).empty(), "again");
    expectTrue(it.nextAt(false) == Time::max(), "nothing is due");
    expectTrue(it.nextAt(true) == Start + 1400ms, "the next one");
    section("those that have left are told more often", [&] {
      it.learn(peers({1}), Start);
      it.learn(peers({}), Start);
      expectTrue(it.dueFormer(false, Start).empty(), "all is well");
      expectEqual<size_t>(1, it.dueFormer(true, Start).size());
      expectTrue(it.dueFormer(true, Start + 100ms).empty(), "a moment ago");
      expectTrue(it.nextAt(true) == Start + 200ms, "soon");
      expectEqual<size_t>(1, it.dueFormer(true, Start + 200ms).size());
    });
  }

  // Symptom: an instance that restarts in a cut-off zone serves nobody.
  // Sequence: it stops, which ends its record; the zone is cut off; it starts
  // at the same address.
  // Cause: only those with a record were told.
  void remembersWhoHasLeft() {
    OutageGossip it(Self, "a");
    it.learn(peers({1, 2}), Start);
    expectTrue(formerOf(it, Start).empty(), "nobody has");
    it.learn(peers({1}), Start + 1s);
    expectTrue(formerOf(it, Start + 31s) == std::vector{Address{2, 7}}, "one");
    expectTrue(formerOf(it, Start + 32s).empty(), "not for ever");
    it.learn(peers({1, 2}), Start + 2s);
    expectTrue(formerOf(it, Start + 2s).empty(), "it is back");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutageGossipTest);
