// Subsets divide the servers of a zone evenly among its instances, without a
// message.

#include "chicorybank/token/ServerSubsets.h"

#include "Story.h"
#include "TokenSamples.h"

#include <cmath>
#include <numeric>
#include <random>

using namespace story;
using namespace samples::token;

namespace {

constexpr uint64_t UsualServers = 40;
/// Selections return whole arcs, however wide.
const SubsetOptions WholeArcs{.MaxServers = 1'000'000};

bool isAnything(BackendIndex /*i*/) { return true; }

/// Returns instances that are spread over zones a, b, c and so on.
std::vector<ZonedInstance> fleet(uint32_t size, uint32_t zones = 1) {
  std::vector<ZonedInstance> out;
  for (uint32_t n = 0; n < size; ++n)
    out.push_back({.Id = InstanceId{n + 1},
                   .Zone = std::string(1, static_cast<char>('a' + n % zones))});
  return out;
}

Registration serverIn(const std::string &zone, uint64_t id) {
  Registration out = server(id);
  out.Zone = zone;
  return out;
}

struct Servers {
  explicit Servers(uint64_t size) {
    for (uint64_t id = 1; id <= size; ++id)
      List.applyRegistration(server(id), Start);
  }
  Backends List{{}};
};

ServerSubsets subsetsOf(const ZonedInstance &self,
                        const std::vector<ZonedInstance> &known,
                        const Backends &servers,
                        const SubsetOptions &options = {}) {
  ServerSubsets out(self.Zone, self.Id, options);
  out.setInstances(known);
  out.refresh(Records, servers, Start);
  return out;
}

template <typename Usable = bool (*)(BackendIndex)>
std::vector<SubsetMember> membersOf(const ServerSubsets &subsets,
                                    Usable usable = isAnything,
                                    const std::string &zone = "a") {
  std::vector<SubsetMember> out;
  subsets.select(Records, zone, usable, out);
  return out;
}

std::vector<BackendIndex> indexesOf(const std::vector<SubsetMember> &members) {
  std::vector<BackendIndex> out;
  out.reserve(members.size());
  for (const SubsetMember &it : members)
    out.push_back(it.Server);
  return out;
}

/// Returns the weight of each server, by index, in one instance's subset.
std::vector<double> weightsOf(const ZonedInstance &self,
                              const std::vector<ZonedInstance> &known,
                              const Backends &servers,
                              const std::string &zone = "a") {
  std::vector<double> out(servers.indexEnd());
  for (const SubsetMember &it :
       membersOf(subsetsOf(self, known, servers, WholeArcs), isAnything, zone))
    out[it.Server] += it.Weight;
  return out;
}

void addTo(std::vector<double> &sums, const std::vector<double> &weights) {
  for (size_t n = 0; n < sums.size(); ++n)
    sums[n] += weights[n];
}

/// Expects that each server lies in the same number of arcs.
void expectEven(const std::vector<double> &sums, size_t instances) {
  double n = static_cast<double>(instances);
  double arcs =
      std::min(n, std::ceil(6 * n / static_cast<double>(sums.size())));
  for (double it : sums)
    expectTrue(std::abs(it - arcs) < 1e-9 * arcs,
               toText(arcs) + " arcs, got " + toText(it));
}

void expectEvenCover(const std::vector<ZonedInstance> &all,
                     const std::string &zone, const Backends &servers) {
  std::vector<double> sums(servers.indexEnd());
  size_t instances = 0;
  for (const ZonedInstance &it : all) {
    if (it.Zone != zone)
      continue;
    ++instances;
    addTo(sums, weightsOf(it, all, servers));
  }
  expectEven(sums, instances);
}

/// Returns the weight that an instance has at servers beyond what it had.
double movedWeight(const std::vector<double> &before,
                   const std::vector<double> &after) {
  double out = 0;
  for (size_t n = 0; n < before.size(); ++n)
    out += std::max(0.0, after[n] - before[n]);
  return out;
}

} // namespace

class ServerSubsetsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerSubsetsTest);
  CPPUNIT_TEST(coversEachServerEqually);
  CPPUNIT_TEST(coversServersOfOtherZonesEqually);
  CPPUNIT_TEST(movesFewServersWhenAnInstanceJoinsOrLeaves);
  CPPUNIT_TEST(sharersAreThoseWhoseSubsetsHoldTheServer);
  CPPUNIT_TEST(coversEveryServerDespitePartialViews);
  CPPUNIT_TEST(replacesRejectedServersByTheNext);
  CPPUNIT_TEST(looksAtPartsOfAWideArcInTurn);
  CPPUNIT_TEST(neverOffersAReusedIndex);
  CPPUNIT_TEST(followsServersWithinTheInterval);
  CPPUNIT_TEST(isEmptyUnlessListed);
  CPPUNIT_TEST_SUITE_END();

  // Guards against hot servers: by rendezvous hashing some servers would be in
  // twice as many subsets as others.
  void coversEachServerEqually() {
    struct Site {
      uint32_t Instances;
      uint32_t Zones;
    };
    for (Site site :
         {Site{7, 1}, Site{80, 3}, Site{985, 3}, Site{18'000, 19}}) {
      section(toText(site.Instances) + " instances", [&] {
        std::vector<ZonedInstance> all = fleet(site.Instances, site.Zones);
        expectEvenCover(all, "a", Servers(UsualServers).List);
      });
    }
    property("any fleet and any service", [] {
      auto instances = *rc::gen::inRange<uint32_t>(1, 40);
      auto zones = *rc::gen::inRange<uint32_t>(1, 4);
      Servers servers(*rc::gen::inRange<uint64_t>(1, 150));
      expectEvenCover(fleet(instances, zones), "a", servers.List);
    });
  }

  // The same for the flows of a zone that has no usable server.
  void coversServersOfOtherZonesEqually() {
    std::vector<ZonedInstance> all = fleet(80, 3);
    Backends servers({});
    for (uint64_t id = 1; id <= UsualServers; ++id)
      servers.applyRegistration(serverIn("b", id), Start);
    std::erase_if(all, [](const auto &it) { return it.Zone == "b"; });
    std::vector<ZonedInstance> outside = all;
    all.push_back({.Id = InstanceId{1000}, .Zone = "b"});
    std::vector<double> sums(servers.indexEnd());
    for (const ZonedInstance &it : outside)
      addTo(sums, weightsOf(it, all, servers, "b"));
    expectEven(sums, outside.size());
  }

  // Guards against evidence that is lost with each restart of an instance: what
  // an instance knows of a server is of use only while it uses the server.
  void movesFewServersWhenAnInstanceJoinsOrLeaves() {
    Servers servers(UsualServers);
    for (uint32_t changed = 1; changed <= 28; ++changed) {
      // 28 and 27 instances have five arcs a server. The start of an arc moves
      // by less than the distance of two arcs, and its width by 1/28.
      std::vector<ZonedInstance> all = fleet(28);
      std::vector<ZonedInstance> fewer = all;
      std::erase_if(fewer,
                    [&](const auto &it) { return it.Id.Value == changed; });
      double distance = 40.0 / 27;
      double sum = 0;
      for (const ZonedInstance &it : fewer) {
        std::vector<double> one = weightsOf(it, all, servers.List);
        std::vector<double> other = weightsOf(it, fewer, servers.List);
        double moved =
            std::max(movedWeight(one, other), movedWeight(other, one));
        expectTrue(moved < 1.2 * distance, "a quarter of the arc");
        sum += moved;
      }
      expectTrue(sum / 27 < 0.7 * distance,
                 "a seventh of all arcs, got " + toText(sum / 27 / distance));
    }
  }

  // Guards against reports that reach the wrong instances.
  void sharersAreThoseWhoseSubsetsHoldTheServer() {
    property("any fleet and any service", [] {
      auto instances = *rc::gen::inRange<uint32_t>(1, 40);
      std::vector<ZonedInstance> all = fleet(instances, 2);
      Servers servers(*rc::gen::inRange<uint64_t>(1, 60));
      ServerSubsets first = subsetsOf(all[0], all, servers.List, WholeArcs);
      for (const ZonedInstance &it : all) {
        if (it.Zone != "a" || it.Id == all[0].Id)
          continue;
        std::vector<BackendIndex> used =
            indexesOf(membersOf(subsetsOf(it, all, servers.List, WholeArcs)));
        for (BackendIndex i = 0; i < servers.List.indexEnd(); ++i) {
          std::vector<InstanceId> sharers = first.sharers(Records, i);
          RC_ASSERT(std::count(sharers.begin(), sharers.end(), it.Id) ==
                    std::count(used.begin(), used.end(), i));
        }
      }
    });
  }

  // Guards against servers without flows, or with far too many, while the
  // instances' lists differ for some seconds.
  void coversEveryServerDespitePartialViews() {
    property("each instance may miss one other", [] {
      Servers servers(UsualServers);
      std::vector<ZonedInstance> all = fleet(27);
      std::vector<double> sums(UsualServers);
      for (const ZonedInstance &it : all) {
        auto missed = *rc::gen::inRange<uint32_t>(1, 55);
        std::vector<ZonedInstance> known = all;
        std::erase_if(known, [&](const auto &other) {
          return other.Id.Value == missed && other.Id != it.Id;
        });
        addTo(sums, weightsOf(it, known, servers.List));
      }
      // Five arcs with 27 instances, four with 26; each end of an arc moves by
      // less than the distance of two.
      for (double sum : sums)
        RC_ASSERT(sum > 2 && sum < 7);
    });
    property("a restarted instance that learns all in another order", [] {
      std::vector<ZonedInstance> all = fleet(27);
      std::vector<uint64_t> ids(UsualServers);
      std::iota(ids.begin(), ids.end(), 1);
      auto idsOf = [&](const std::vector<ZonedInstance> &known) {
        Backends servers({});
        for (uint64_t id : ids)
          servers.applyRegistration(server(id), Start);
        std::vector<uint64_t> out;
        for (const auto &it : membersOf(subsetsOf(all[0], known, servers)))
          out.push_back(servers.at(it.Server).Info.Id.Value);
        return out;
      };
      std::vector<uint64_t> before = idsOf(all);
      std::vector<ZonedInstance> shuffled = all;
      auto seed = *rc::gen::arbitrary<uint32_t>();
      std::shuffle(ids.begin(), ids.end(), std::minstd_rand(seed));
      std::shuffle(shuffled.begin(), shuffled.end(), std::minstd_rand(seed));
      RC_ASSERT(idsOf(shuffled) == before);
    });
  }

  // Guards against a subset that shrinks to nothing with its failing servers.
  void replacesRejectedServersByTheNext() {
    Servers servers(UsualServers);
    std::vector<ZonedInstance> all = fleet(27);
    ServerSubsets subsets = subsetsOf(all[3], all, servers.List);
    std::vector<SubsetMember> usual = membersOf(subsets);
    std::vector<BackendIndex> own = indexesOf(usual);
    size_t asked = 0;
    auto notThird = [&](BackendIndex i) { return ++asked, i != own[2]; };
    std::vector<SubsetMember> members = membersOf(subsets, notThird);
    expectEqual(own.size(), members.size());
    expectEqual(own.size() + 1, asked);
    expectEqual(usual[2].Weight, members.back().Weight);
    std::vector<BackendIndex> kept = indexesOf(members);
    expectTrue(std::find(own.begin(), own.end(), kept.back()) == own.end(),
               "a server from beyond the subset");
    kept.pop_back();
    own.erase(own.begin() + 2);
    expectTrue(kept == own, "the others keep their places");
    section("at most three times the subset is looked at", [&] {
      asked = 0;
      auto none = [&](BackendIndex) { return ++asked, false; };
      expectTrue(membersOf(subsets, none).empty(), "no member");
      expectEqual(3 * usual.size(), asked);
    });
    section("a small service is looked at once", [&] {
      Servers few(4);
      ServerSubsets small = subsetsOf(all[3], all, few.List);
      auto notFirst = [](BackendIndex i) { return i != 0; };
      expectEqual<size_t>(3, membersOf(small, notFirst).size());
      expectEqual<size_t>(4, membersOf(small).size());
    });
  }

  // Guards against selections that take longer with each server of a service.
  void looksAtPartsOfAWideArcInTurn() {
    Servers servers(200);
    std::vector<ZonedInstance> all = fleet(1);
    ServerSubsets subsets = subsetsOf(all[0], all, servers.List);
    std::vector<int> seen(200);
    for (int n = 0; n < 25; ++n) {
      for (BackendIndex i : indexesOf(membersOf(subsets)))
        ++seen[i];
      subsets.refresh(Records, servers.List, Start);
    }
    for (int it : seen)
      expectEqual(2, it);
  }

  // Guards against flows that go to a server of another service: `Backends`
  // reuses the index of a removed server at once, and the list is up to 250 ms
  // old.
  void neverOffersAReusedIndex() {
    Servers servers(7);
    std::vector<ZonedInstance> all = fleet(1);
    ServerSubsets subsets = subsetsOf(all[0], all, servers.List);
    BackendIndex old = servers.List.find(BackendId{3});
    servers.List.markMissing(BackendId{3}, Start);
    servers.List.expire(true, Start);
    servers.List.expire(true, Start + 61s);
    servers.List.applyRegistration(server(99, Certificates), Start);
    expectEqual(old, servers.List.find(BackendId{99}));
    subsets.refresh(Records, servers.List, Start + 10ms);
    std::vector<BackendIndex> asked;
    membersOf(subsets, [&](BackendIndex i) {
      asked.push_back(i);
      return true;
    });
    expectEqual<size_t>(6, asked.size());
    expectEqual<long>(0, std::count(asked.begin(), asked.end(), old));
  }

  // Guards against subsets of the few servers that have registered again while
  // the registry returns: all instances would send all flows there.
  void followsServersWithinTheInterval() {
    Servers servers(10);
    std::vector<ZonedInstance> all = fleet(1);
    ServerSubsets subsets = subsetsOf(all[0], all, servers.List);
    servers.List.markMissing(BackendId{1}, Start);
    servers.List.drainZone("b", true, Start);
    servers.List.applyRegistration(serverIn("b", 11), Start);
    servers.List.applyRegistration(serverIn("c", 12), Start);
    Registration draining = server(2);
    draining.Draining = true;
    servers.List.applyRegistration(draining, Start);
    subsets.refresh(Records, servers.List, Start + 249ms);
    expectEqual<uint32_t>(20, subsets.slotsInZone(Records));
    subsets.refresh(Records, servers.List, Start + 250ms);
    expectEqual<uint32_t>(18, subsets.slotsInZone(Records));
    expectEqual<size_t>(9, membersOf(subsets).size());
    expectTrue(subsets.zones(Records) == std::vector<std::string>{"a", "c"},
               "no zone without a server that accepts flows");
    expectTrue(subsets.sharers(Records, 1).empty(), "not in the list");
  }

  // An instance that isn't listed has no place in the ring; the walk over all
  // servers decides then.
  void isEmptyUnlessListed() {
    Servers servers(UsualServers);
    ZonedInstance self{.Id = InstanceId{99}, .Zone = "a"};
    ServerSubsets subsets = subsetsOf(self, fleet(9), servers.List);
    expectTrue(membersOf(subsets).empty(), "not listed");
    expectTrue(!subsets.sharers(Records, 0).empty(), "others share it");
    section("nor is it another instance's sharer", [&] {
      ServerSubsets first = subsetsOf(fleet(9)[0], fleet(9), servers.List);
      for (InstanceId it : first.sharers(Records, 0))
        expectTrue(it != self.Id, "only listed ones");
    });
    subsets.setInstances({self});
    expectEqual<size_t>(16, membersOf(subsets).size());
    expectTrue(membersOf(subsets, isAnything, "b").empty(), "no server there");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerSubsetsTest);
