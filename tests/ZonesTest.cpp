// Zones that fall silent as a whole, and zones whose servers are busy.

#include "chicorybank/token/Zones.h"

#include "Story.h"
#include "TokenSamples.h"

using namespace story;
using namespace samples::token;

namespace {

Registration serverIn(const std::string &zone, uint64_t id) {
  Registration out = server(id);
  out.Zone = zone;
  return out;
}

/// Twenty servers in zone b and as many in zone c; those of zone a are drained.
Instance withoutServersHere() {
  Instance out;
  std::vector<Registration> servers;
  for (uint64_t id = 1; id <= 40; ++id)
    servers.push_back(serverIn(id <= 20 ? "b" : "c", id));
  out.learn(servers);
  return out;
}

bool inZoneB(uint64_t id) { return id != 0 && id <= 20; }

/// A caller opens a flow, which servers of zone b don't answer. Returns true
/// where it went there.
bool opensInSilentZoneB(Instance &instance, uint16_t port) {
  Caller caller{.Port = port};
  uint64_t to = sentTo(instance.packet(caller.open()));
  if (inZoneB(to))
    return true;
  caller.Echo = tokenOf(BackendId{to});
  instance.packet(caller.ack());
  return false;
}

} // namespace

class ZonesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ZonesTest);
  CPPUNIT_TEST(leavesAZoneThatIsCutOff);
  CPPUNIT_TEST(movesTheOpeningsThatWaitThere);
  CPPUNIT_TEST(staysWhereAnyServerAnswers);
  CPPUNIT_TEST(neverDoubtsItsOwnZone);
  CPPUNIT_TEST(leavesAZoneThatIsBusy);
  CPPUNIT_TEST(estimatesForAllInstancesOfTheZone);
  CPPUNIT_TEST_SUITE_END();

  // Symptom: for seconds after a zone is cut off, callers of another zone wait
  // for their copies of openings.
  // Sequence: the servers of their own zone are drained, so that half of the
  // openings go into the zone that is cut off.
  // Cause: each of its servers had to be found silent by itself.
  // Pattern: 28 instances with 18 openings a second each, 40 servers in each
  // zone. Grounds: an instance loses as many openings as it takes to see,
  // three, in place of two for each server.
  void leavesAZoneThatIsCutOff() {
    Instance instance = withoutServersHere();
    size_t lost = 0;
    for (uint16_t port = 1; port <= 60; ++port) {
      lost += opensInSilentZoneB(instance, port) ? 1 : 0;
      instance.pass(10ms);
    }
    expectTrue(lost <= 10, "few are lost: " + toText(lost));
  }

  void movesTheOpeningsThatWaitThere() {
    Instance instance = withoutServersHere();
    size_t waiting = 0;
    for (uint16_t port = 1; port <= 20; ++port)
      waiting += opensInSilentZoneB(instance, port) ? 1 : 0;
    expectTrue(waiting >= 4, "some went there: " + toText(waiting));
    size_t moved = 0;
    for (const Forward &it : only<Forward>(instance.pass(60ms)))
      moved += inZoneB(it.To.Value) ? 0 : 1;
    expectEqual(waiting, moved);
  }

  void staysWhereAnyServerAnswers() {
    Zones zones("a", {});
    Backend one{.Info = serverIn("b", 1)};
    Backend two{.Info = serverIn("b", 2)};
    for (int n = 0; n < 20; ++n) {
      expectTrue(!zones.recordMiss(one, Start), "one alone");
      expectTrue(!zones.recordMiss(two, Start), "two");
      zones.recordAnswer("b");
    }
    section("one server that leaves all unanswered is no zone", [&] {
      for (int n = 0; n < 20; ++n)
        expectTrue(!zones.recordMiss(one, Start), "the same one");
    });
    section("a row is", [&] {
      zones.recordMiss(two, Start);
      expectTrue(zones.recordMiss(one, Start), "three in a row");
      expectTrue(zones.isSuspect("b", Start), "suspect");
      expectTrue(!zones.isSuspect("b", Start + 1s), "for a while");
    });
    section("until one answers", [&] {
      zones.recordAnswer("b");
      expectTrue(!zones.isSuspect("b", Start), "at once");
    });
  }

  void neverDoubtsItsOwnZone() {
    Zones zones("a", {});
    for (uint64_t id = 1; id < 20; ++id)
      expectTrue(!zones.recordMiss(Backend{.Info = serverIn("a", id)}, Start),
                 "its own");
  }

  // Symptom: servers of one zone shed requests while those of the others idle.
  // Sequence: half of a zone's callers move to another one, then come 1.8 times
  // as many requests.
  // Cause: each of 28 instances has at most a request or two at any of 40
  // servers, so that none looks busier than a server of another zone.
  void leavesAZoneThatIsBusy() {
    Instance instance({.Zone = "b", .Self = InstanceId{1}, .Seed = 3});
    std::vector<Registration> servers;
    for (uint64_t id = 1; id <= 40; ++id)
      servers.push_back(serverIn(id <= 20 ? "b" : "c", id));
    instance.learn(servers);
    std::vector<ZonedInstance> peers;
    for (uint32_t id = 1; id <= 20; ++id)
      peers.push_back({.Id = InstanceId{id}, .Zone = "b"});
    instance.handle(InstancesLearned{peers});
    auto elsewhere = [&](int inProgress, uint16_t from) {
      for (int n = 0; n < inProgress; ++n) {
        Caller caller{.Port = static_cast<uint16_t>(from + n),
                      .Echo = tokenOf(BackendId{1 + n % 20u})};
        instance.packet(caller.data(1));
      }
      instance.Now += 2s;
      size_t out = 0;
      for (uint16_t port = 1; port <= 100; ++port) {
        Caller caller{.Port = static_cast<uint16_t>(from + 1000 + port)};
        uint64_t to = sentTo(instance.packet(caller.open()));
        out += inZoneB(to) ? 0 : 1;
        FlowPacket end = caller.ack();
        end.Finish = true;
        instance.packet(end);
      }
      return out;
    };
    // 20 instances with one request each, before 40 slots: a half.
    expectEqual<size_t>(0, elsewhere(1, 1));
    // With five each: two and a half for each slot.
    expectTrue(elsewhere(4, 5000) >= 35, "about half leave");
  }

  void estimatesForAllInstancesOfTheZone() {
    Zones alone("a", {});
    expectEqual(0.0, alone.spillShare(Records));
    alone.recordLoad(Records, 4, 80, Start + 1h);
    expectEqual(0.0, alone.spillShare(Records));
    std::vector<ZonedInstance> peers;
    for (uint32_t id = 1; id <= 28; ++id)
      peers.push_back({.Id = InstanceId{id}, .Zone = id <= 25 ? "a" : "b"});
    Zones zones("a", {});
    zones.setInstances(peers);
    zones.recordLoad(Records, 8, 80, Start);
    expectEqual(1.0, zones.spillShare(Records));
    section("of the service alone",
            [&] { expectEqual(0.0, zones.spillShare(Certificates)); });
    section("over several requests of each caller", [&] {
      zones.recordLoad(Records, 0, 80, Start + 10ms);
      expectEqual(1.0, zones.spillShare(Records));
      zones.recordLoad(Records, 0, 80, Start + 3s);
      expectEqual(0.0, zones.spillShare(Records));
    });
    section("all leave where nothing takes new flows", [&] {
      zones.recordLoad(Records, 0, 0, Start + 4s);
      expectEqual(1.0, zones.spillShare(Records));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZonesTest);
