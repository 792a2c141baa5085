// Zones that stop answering as a whole, and zones whose servers are busy.

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

/// An instance of zone a with no server there, twenty servers in zone b and
/// twenty in zone c.
Instance withoutServersHere() {
  Instance out;
  std::vector<Registration> servers;
  for (uint64_t id = 1; id <= 40; ++id)
    servers.push_back(serverIn(id <= 20 ? "b" : "c", id));
  out.configure(servers);
  return out;
}

bool inZoneB(uint64_t id) { return id != 0 && id <= 20; }

/// Opens a flow; servers of zone b don't answer. Returns true if it went to
/// zone b.
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
  CPPUNIT_TEST(avoidsAZoneThatIsCutOff);
  CPPUNIT_TEST(movesOpeningsOutOfASuspectZone);
  CPPUNIT_TEST(keepsAZoneInWhichAnyServerAnswers);
  CPPUNIT_TEST(neverSuspectsItsOwnZone);
  CPPUNIT_TEST(spillsOverFromABusyZone);
  CPPUNIT_TEST(estimatesTheLoadOfAllInstancesOfTheZone);
  CPPUNIT_TEST_SUITE_END();

  // Guards against callers that wait for their retransmitted openings for
  // seconds after another zone is cut off, while the servers of their own zone
  // are drained: half of the openings go to the zone that is cut off, and each
  // of its servers would have to be detected by itself.
  //
  // Modeled load: 28 instances with 18 openings a second each, 40 servers in
  // each zone. In the test one instance opens 100 flows a second, and each zone
  // has 20 servers. The detection takes three openings, instead of two for each
  // server; the test allows ten lost ones.
  void avoidsAZoneThatIsCutOff() {
    Instance instance = withoutServersHere();
    size_t lost = 0;
    for (uint16_t port = 1; port <= 60; ++port) {
      lost += opensInSilentZoneB(instance, port) ? 1 : 0;
      instance.pass(10ms);
    }
    expectTrue(lost <= 10, "few openings are lost: " + toText(lost));
  }

  void movesOpeningsOutOfASuspectZone() {
    Instance instance = withoutServersHere();
    size_t waiting = 0;
    for (uint16_t port = 1; port <= 20; ++port)
      waiting += opensInSilentZoneB(instance, port) ? 1 : 0;
    expectTrue(waiting >= 4,
               "some openings wait in zone b: " + toText(waiting));
    size_t moved = 0;
    for (const Forward &it :
         filter<Forward>(instance.passWithoutAnswers(120ms)))
      moved += inZoneB(it.To.Value) ? 0 : 1;
    expectEqual(waiting, moved);
  }

  void keepsAZoneInWhichAnyServerAnswers() {
    Zones zones("a", {});
    Backend one{.Info = serverIn("b", 1)};
    Backend two{.Info = serverIn("b", 2)};
    for (int n = 0; n < 20; ++n) {
      expectTrue(!zones.recordMiss(one, Start),
                 "one miss does not make the zone suspect");
      expectTrue(!zones.recordMiss(two, Start),
                 "two misses do not make the zone suspect");
      zones.recordAnswer("b");
    }
    section("misses of a single server do not make the zone suspect", [&] {
      for (int n = 0; n < 20; ++n)
        expectTrue(!zones.recordMiss(one, Start),
                   "further misses of the same server do not count");
    });
    section("misses of different servers do", [&] {
      zones.recordMiss(two, Start);
      expectTrue(zones.recordMiss(one, Start), "three consecutive misses");
      expectTrue(zones.isSuspect("b", Start), "the zone is suspect");
      expectTrue(!zones.isSuspect("b", Start + 1s), "only for a while");
    });
    section("until a server answers", [&] {
      zones.recordAnswer("b");
      expectTrue(!zones.isSuspect("b", Start),
                 "an answer ends the suspicion at once");
    });
  }

  void neverSuspectsItsOwnZone() {
    Zones zones("a", {});
    for (uint64_t id = 1; id < 20; ++id)
      expectTrue(!zones.recordMiss(Backend{.Info = serverIn("a", id)}, Start),
                 "the own zone is never suspect");
  }

  // Guards against servers of one zone that shed requests while those of other
  // zones are idle: half of a zone's callers move to another zone, and then the
  // load rises to 1.8 times. With 28 instances and 40 servers, each instance
  // has at most one or two requests at any server, so no server looks busier
  // than a server of another zone. The test has 20 instances and 20 servers in
  // the zone.
  void spillsOverFromABusyZone() {
    Instance instance({.Zone = "b", .Self = InstanceId{1}, .Seed = 3});
    std::vector<Registration> servers;
    for (uint64_t id = 1; id <= 40; ++id)
      servers.push_back(serverIn(id <= 20 ? "b" : "c", id));
    instance.configure(servers);
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
    // 20 instances with one request each, for 40 slots: half a request a slot.
    expectEqual<size_t>(0, elsewhere(1, 1));
    // With five requests each: two and a half requests a slot.
    expectTrue(elsewhere(4, 5000) >= 35, "about half spill over");
  }

  void estimatesTheLoadOfAllInstancesOfTheZone() {
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
    section("only for this service",
            [&] { expectEqual(0.0, zones.spillShare(Certificates)); });
    section("the load is smoothed over several requests of each caller", [&] {
      zones.recordLoad(Records, 0, 80, Start + 10ms);
      expectEqual(1.0, zones.spillShare(Records));
      zones.recordLoad(Records, 0, 80, Start + 3s);
      expectEqual(0.0, zones.spillShare(Records));
    });
    section("all spill over if no server here accepts new flows", [&] {
      zones.recordLoad(Records, 0, 0, Start + 4s);
      expectEqual(1.0, zones.spillShare(Records));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZonesTest);
