// Zone drains: what their servers get, and how instances learn of drains from
// the registry.

#include "chicorybank/token/Core.h"

#include "chicorybank/edge/Directory.h"

#include "RegistrySamples.h"
#include "Story.h"
#include "TokenSamples.h"

#include <set>

using namespace story;
using namespace samples::token;
namespace registry = samples::registry;
using chicory::edge::ItemPage;
using registry::Store;
using registry::WatcherFixture;

namespace {

Registration serverIn(const std::string &zone, uint64_t id,
                      ServiceId service = Records) {
  Registration out = server(id, service);
  out.Zone = zone;
  return out;
}

/// An instance of zone a, with a server in zone a and one in zone b.
Instance twoZones() {
  Instance out;
  out.configure({serverIn("a", 1), serverIn("b", 2)});
  return out;
}

/// Opens a flow at server 1, in zone a.
Caller flowInZoneA(Instance &instance) {
  Caller out;
  instance.packet(out.open());
  out.Echo = tokenOf(BackendId{1});
  instance.packet(out.ack());
  return out;
}

const ZoneDrainLearned DrainA{.Zone = "a", .Active = true};
const ZoneDrainLearned RestoreA{.Zone = "a", .Active = false};

std::set<std::string> &applyDrains(std::set<std::string> &zones,
                                   WatcherFixture &fixture) {
  for (const ZoneDrainLearned &it : fixture.take<ZoneDrainLearned>())
    if (it.Active)
      zones.insert(it.Zone);
    else
      zones.erase(it.Zone);
  return zones;
}

std::set<std::string> drainsIn(const Store &store) {
  std::set<std::string> out;
  for (const chicory::edge::Item &it : store.list("op/evacuate/").Items)
    out.insert(it.Key.substr(std::string("op/evacuate/").size()));
  return out;
}

/// A registry with a server, a directory of it, and a drained zone.
Store storeWithDrain() {
  Store store;
  store.config(3);
  store.server(1);
  store.put("chicorybank/start/zones/a",
            chicory::edge::encodeDirectory({.Servers = {server(1)}}));
  store.put("op/evacuate/a", "{}");
  return store;
}

} // namespace

class ZoneDrainTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ZoneDrainTest);
  CPPUNIT_TEST(sendsNewFlowsToAnotherZone);
  CPPUNIT_TEST(keepsOpenFlows);
  CPPUNIT_TEST(sendsCopiesOfAnOpeningToAnotherZone);
  CPPUNIT_TEST(distinguishesANewFlowFromAnEarlierOneOfThePort);
  CPPUNIT_TEST(resetsOpeningsIfAllZonesAreDrained);
  CPPUNIT_TEST(usesNoServerOfADrainedZoneAsALastResort);
  CPPUNIT_TEST(fallsBackToAnotherServiceOfTheRoute);
  CPPUNIT_TEST(movesNoOpeningIntoADrainedZone);
  CPPUNIT_TEST(appliesToServersThatRegisterLater);
  CPPUNIT_TEST(endsAndStartsAgain);
  CPPUNIT_TEST(neverOpensAFlowInADrainedZone);
  CPPUNIT_TEST(isReadBeforePacketsAreForwarded);
  CPPUNIT_TEST(readsDrainsFromAllPages);
  CPPUNIT_TEST(isNotRestoredByAnOldList);
  CPPUNIT_TEST(isNotLostToAnOldList);
  CPPUNIT_TEST(isReceivedFromANeighbourWhileTheRegistryIsDown);
  CPPUNIT_TEST(isReadAgainAfterCompaction);
  CPPUNIT_TEST(matchesTheRegistryInAnyOrderOfEvents);
  CPPUNIT_TEST_SUITE_END();

  void sendsNewFlowsToAnotherZone() {
    Instance instance = twoZones();
    expectEqual<uint64_t>(1, sentTo(instance.packet(Caller{}.open())));
    Actions done = instance.handle(DrainA);
    auto decisions = filter<Decision>(done);
    expectTrue(decisions.size() == 1 && decisions[0].Zone == "a" &&
                   std::string(decisions[0].What) == "zone_drained",
               "the drain is logged");
    expectEqual<uint64_t>(2, sentTo(instance.packet(Caller{2000}.open())));
    section("the same drain again changes nothing", [&] {
      expectTrue(instance.handle(DrainA).empty(), "nothing to log");
      expectEqual<uint64_t>(2, sentTo(instance.packet(Caller{2001}.open())));
    });
    section("an unknown zone changes nothing", [&] {
      instance.handle(ZoneDrainLearned{.Zone = "nowhere"});
      expectEqual<uint64_t>(2, sentTo(instance.packet(Caller{2002}.open())));
    });
  }

  void keepsOpenFlows() {
    Instance instance = twoZones();
    Caller caller = flowInZoneA(instance);
    instance.handle(DrainA);
    for (uint32_t n = 0; n < 20; ++n) {
      instance.pass(1s);
      expectEqual<uint64_t>(
          1, sentTo(instance.packet(caller.data(1 + n * 100, n * 100))));
    }
    section("also at an instance that did not receive the opening", [&] {
      Instance other = twoZones();
      other.handle(DrainA);
      expectEqual<uint64_t>(1, sentTo(other.packet(caller.data(1))));
    });
  }

  // Guards against a server of a drained zone that gets a flow after the drain
  // began: an opening waits at the server, the drain begins, and the caller's
  // copy follows after 200 ms. Copies usually go where the first opening went.
  void sendsCopiesOfAnOpeningToAnotherZone() {
    Instance instance = twoZones();
    expectEqual<uint64_t>(1, sentTo(instance.packet(Caller{}.open())));
    instance.handle(DrainA);
    instance.pass(200ms);
    expectEqual<uint64_t>(2, sentTo(instance.packet(Caller{}.open(1))));
  }

  // Guards against a flow that opens in the drained zone seconds later: the
  // last packets of an earlier flow went through another instance, and the
  // caller opens a new flow from the same port. The tracked flow must not
  // decide where the opening goes.
  void distinguishesANewFlowFromAnEarlierOneOfThePort() {
    Instance instance = twoZones();
    Caller caller = flowInZoneA(instance);
    instance.handle(DrainA);
    instance.pass(5s);
    expectEqual<uint64_t>(2, sentTo(instance.packet(caller.open())));
  }

  void resetsOpeningsIfAllZonesAreDrained() {
    Instance instance = twoZones();
    instance.handle(DrainA);
    instance.handle(ZoneDrainLearned{.Zone = "b"});
    expectEqual(Reason::ZoneDrained,
                resetReason(instance.packet(Caller{}.open())));
    section("a service without servers has another reason", [&] {
      Caller papers{.Port = 2000, .Route = Papers};
      expectEqual(Reason::NoTarget,
                  resetReason(instance.packet(papers.open())));
    });
  }

  // Guards against new flows in a drained zone while the registry is down: all
  // registrations expire in an outage, and missing servers are used if there is
  // no other.
  void usesNoServerOfADrainedZoneAsALastResort() {
    Instance instance = twoZones();
    instance.handle(DrainA);
    instance.handle(BackendsLearned{.Ended = {BackendId{1}, BackendId{2}}});
    expectEqual<uint64_t>(2, sentTo(instance.packet(Caller{}.open())));
  }

  void fallsBackToAnotherServiceOfTheRoute() {
    Instance instance;
    instance.configure({serverIn("a", 1), serverIn("b", 2, Certificates)});
    RouteSet routes = bothRoutes(2);
    routes.Routes[0].Services = {{.Service = Records, .Weight = 90},
                                 {.Service = Certificates, .Weight = 10}};
    instance.handle(RoutesLearned{routes});
    instance.handle(DrainA);
    for (uint16_t port = 1; port < 40; ++port)
      expectEqual<uint64_t>(2, sentTo(instance.packet(Caller{port}.open())));
  }

  // Guards against openings that are moved from a silent server into the
  // drained zone because a server there has the lowest cost.
  void movesNoOpeningIntoADrainedZone() {
    Instance instance = twoZones();
    instance.handle(DrainA);
    for (uint16_t port = 1; port < 5; ++port)
      instance.packet(Caller{port}.open());
    for (const Forward &it : filter<Forward>(instance.pass(1s)))
      expectEqual<uint64_t>(2, it.To.Value);
  }

  void appliesToServersThatRegisterLater() {
    Instance instance = twoZones();
    instance.handle(DrainA);
    instance.handle(BackendsLearned{.Present = {serverIn("a", 3)}});
    expectEqual<uint64_t>(2, sentTo(instance.packet(Caller{}.open())));
    section("also if the drain was read before any server", [] {
      Instance other;
      other.handle(DrainA);
      other.configure({serverIn("a", 1), serverIn("b", 2)});
      expectEqual<uint64_t>(2, sentTo(other.packet(Caller{}.open())));
    });
  }

  void endsAndStartsAgain() {
    Instance instance = twoZones();
    instance.handle(DrainA);
    instance.handle(RestoreA);
    expectEqual<uint64_t>(1, sentTo(instance.packet(Caller{}.open())));
    instance.handle(DrainA);
    expectEqual<uint64_t>(2, sentTo(instance.packet(Caller{2000}.open())));
  }

  void neverOpensAFlowInADrainedZone() {
    property(
        "drains, copies, expired registrations and silence in any order", [] {
          Instance instance;
          std::vector<Registration> all;
          for (uint64_t id = 1; id <= 6; ++id)
            all.push_back(serverIn(id % 2 == 0 ? "b" : "a", id));
          instance.configure(all);
          bool isDrained = false;
          auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
              rc::gen::pair(rc::gen::inRange(0, 7), rc::gen::inRange(1, 7)));
          for (auto [what, n] : steps) {
            auto id = static_cast<uint64_t>(n);
            Actions done;
            if (what <= 1)
              instance.handle(what == 0 ? DrainA : RestoreA);
            if (what <= 1)
              isDrained = what == 0;
            else if (what == 2)
              instance.handle(BackendsLearned{.Ended = {BackendId{id}}});
            else if (what == 3)
              instance.handle(BackendsLearned{.Present = {all[id - 1]}});
            else if (what == 4)
              done = instance.pass(std::chrono::milliseconds(60 * n));
            else
              // A copy that arrives sooner than any caller sends it waited in a
              // queue, and its flow opened before the drain.
              done = instance.packet(
                  Caller{static_cast<uint16_t>(n)}.open(what == 5 ? 0 : 1));
            instance.Now += 200ms;
            for (const Forward &it : filter<Forward>(done))
              RC_ASSERT(!isDrained || it.To.Value % 2 == 0);
          }
        });
  }

  void isReadBeforePacketsAreForwarded() {
    Store store = storeWithDrain();
    WatcherFixture fixture;
    fixture.start(store);
    std::set<std::string> zones;
    expectTrue(applyDrains(zones, fixture) == std::set<std::string>{"a"},
               "read before any list");
  }

  // Guards against an instance that starts and sends flows into a drained zone
  // because the configuration fills the first page of the operator settings and
  // the drains are on the second.
  void readsDrainsFromAllPages() {
    Store store = storeWithDrain();
    WatcherFixture fixture;
    fixture.stepOnce(store);
    auto call = fixture.Watcher.next(fixture.Now);
    ItemPage first = store.list("op/");
    ItemPage second = first;
    first.Items.pop_back();
    first.More = true;
    second.Items.erase(second.Items.begin());
    fixture.answer(
        {.Status = registry::Ok, .Body = fixture.Dialect.serializePage(first)});
    call = fixture.Watcher.next(fixture.Now);
    expectEqual<std::string>("/-/kv-range?prefix=op/&after=op/config",
                             call->Call.Target);
    fixture.answer({.Status = registry::Ok,
                    .Body = fixture.Dialect.serializePage(second)});
    expectTrue(fixture.take<RoutesLearned>().size() == 1, "the configuration");
    expectEqual<size_t>(1, fixture.Watcher.cache().routes() ? size_t{1}
                                                            : size_t{0});
  }

  // Guards against a zone that gets no new flows long after its drain ended: an
  // instance starts, reads the current operator settings and then an older
  // list. The drain in that list must not count as new.
  void isNotRestoredByAnOldList() {
    Store old = storeWithDrain();
    Store store = old;
    store.remove("op/evacuate/a");
    WatcherFixture fixture;
    fixture.start(store);
    fixture.Now += 3s;
    fixture.step(old);
    std::set<std::string> zones;
    expectTrue(applyDrains(zones, fixture).empty(), "it stays ended");
    section("also after updates from a neighbour", [&] {
      WatcherFixture seeded;
      seeded.fail();
      seeded.Watcher.applySeed(store.list(), seeded.Events);
      seeded.Watcher.applyPull(old.list(), true, seeded.Now, seeded.Events);
      expectTrue(applyDrains(zones, seeded).empty(), "it stays ended");
    });
  }

  // Guards against flows that go into a zone seconds after its drain began: an
  // instance starts, reads the drain, then a list from before it. A drain that
  // is missing in an older list has not ended.
  void isNotLostToAnOldList() {
    Store store = storeWithDrain();
    Store old = store;
    store.put("op/evacuate/b", "{}");
    WatcherFixture fixture;
    fixture.start(store);
    fixture.Now += 3s;
    fixture.step(old);
    std::set<std::string> zones;
    expectTrue(applyDrains(zones, fixture) == std::set<std::string>{"a", "b"},
               "both zones are drained");
  }

  void isReceivedFromANeighbourWhileTheRegistryIsDown() {
    Store store = storeWithDrain();
    WatcherFixture neighbour;
    neighbour.Watcher.applySeed(store.list(), neighbour.Events);
    WatcherFixture starting;
    starting.fail();
    starting.Watcher.applySeed(neighbour.Watcher.cache().snapshot(),
                               starting.Events);
    std::set<std::string> zones;
    expectTrue(applyDrains(zones, starting) == std::set<std::string>{"a"},
               "the zone is drained");
  }

  void isReadAgainAfterCompaction() {
    Store store = storeWithDrain();
    WatcherFixture fixture;
    fixture.start(store);
    fixture.Now += 3s;
    fixture.step(store);
    std::set<std::string> zones;
    applyDrains(zones, fixture);
    store.remove("op/evacuate/a");
    store.put("op/evacuate/b", "{}");
    fixture.Now += 3s;
    expectTrue(fixture.fail(410),
               "the watch fails because the history was compacted");
    fixture.step(store);
    expectTrue(applyDrains(zones, fixture) == std::set<std::string>{"b"},
               "as in the registry");
  }

  void matchesTheRegistryInAnyOrderOfEvents() {
    property(
        "drains, old reads, compacted history, failed calls and restarts", [] {
          Store store = storeWithDrain();
          std::vector<Store> versions{store};
          auto fixture = std::make_unique<WatcherFixture>();
          std::set<std::string> zones;
          int64_t startedAt = 0;
          auto steps =
              *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 9));
          for (int it : steps) {
            fixture->Now += 700ms;
            if (it <= 1)
              store.put(it == 0 ? "op/evacuate/a" : "op/evacuate/b", "{}");
            else if (it == 2 && store.item("op/evacuate/a"))
              store.remove("op/evacuate/a");
            else if (it == 3)
              store.server(2, "ready", static_cast<int>(store.revision()));
            versions.push_back(store);
            if (it == 4) {
              fixture = std::make_unique<WatcherFixture>();
              zones.clear();
              startedAt = 0;
            }
            auto call = fixture->Watcher.next(fixture->Now);
            if (!call)
              continue;
            bool mayBeOld =
                call->Call.Target.find("serializable") != std::string::npos;
            size_t lag =
                mayBeOld ? *rc::gen::inRange<size_t>(0, versions.size()) : 0;
            const Store &read = versions[versions.size() - 1 - lag];
            bool isSettingsRead =
                call->Call.Kind == chicory::edge::CallKind::OperatorSettings;
            if (it == 5 || it == 6) {
              fixture->answer({.Status = it == 5 ? 0 : 410});
              continue;
            }
            fixture->answer(registry::answerOf(read, call->Call));
            applyDrains(zones, *fixture);
            if (isSettingsRead)
              startedAt = store.revision();
            // Old reads undo no drain that was read at the start, and no end of
            // one.
            if (isSettingsRead)
              RC_ASSERT(zones == drainsIn(store));
            if (startedAt == store.revision())
              RC_ASSERT(zones == drainsIn(store));
            // A complete answer that is current leaves nothing out.
            if (fixture->Watcher.complete() && !mayBeOld &&
                fixture->Watcher.cache().position() == store.position())
              RC_ASSERT(zones == drainsIn(store));
          }
        });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneDrainTest);
