// Zones that the operators drain: what reaches their servers, and what is
// believed of the orders.

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

/// Instances of zone a, with a server there and one in zone b.
Instance twoZones() {
  Instance out;
  out.learn({serverIn("a", 1), serverIn("b", 2)});
  return out;
}

/// Opens a flow there, at server 1.
Caller flowInZoneA(Instance &instance) {
  Caller out;
  instance.packet(out.open());
  out.Echo = tokenOf(BackendId{1});
  instance.packet(out.ack());
  return out;
}

const ZoneDrainLearned DrainA{.Zone = "a", .Active = true};
const ZoneDrainLearned RestoreA{.Zone = "a", .Active = false};

std::set<std::string> &drained(std::set<std::string> &zones,
                               WatcherFixture &reading) {
  for (const ZoneDrainLearned &it : reading.take<ZoneDrainLearned>())
    if (it.Active)
      zones.insert(it.Zone);
    else
      zones.erase(it.Zone);
  return zones;
}

std::set<std::string> drainedIn(const Store &store) {
  std::set<std::string> out;
  for (const chicory::edge::Item &it : store.list("op/evacuate/").Items)
    out.insert(it.Key.substr(std::string("op/evacuate/").size()));
  return out;
}

/// A registry with servers, a directory of them, and a drained zone.
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
  CPPUNIT_TEST(sendsNewFlowsElsewhere);
  CPPUNIT_TEST(keepsOpenFlowsWhereTheyAre);
  CPPUNIT_TEST(sendsCopiesOfAnOpeningElsewhere);
  CPPUNIT_TEST(knowsANewFlowFromAnEarlierOneOfThePort);
  CPPUNIT_TEST(refusesAtOnceWhereNothingIsLeft);
  CPPUNIT_TEST(usesNoServerOfItAsALastResort);
  CPPUNIT_TEST(fallsBackToAnotherServiceOfTheRoute);
  CPPUNIT_TEST(movesNoOpeningIntoIt);
  CPPUNIT_TEST(holdsForServersThatComeLater);
  CPPUNIT_TEST(endsWithTheOrder);
  CPPUNIT_TEST(neverOpensAFlowInADrainedZone);
  CPPUNIT_TEST(isReadBeforePacketsAreCarried);
  CPPUNIT_TEST(readsOrdersInPages);
  CPPUNIT_TEST(isNotBroughtBackByAnOldList);
  CPPUNIT_TEST(isNotLostToAnOldList);
  CPPUNIT_TEST(isToldByANeighbourWhileTheRegistryIsAway);
  CPPUNIT_TEST(survivesDroppedHistory);
  CPPUNIT_TEST(isBelievedAsTheRegistryHasIt);
  CPPUNIT_TEST_SUITE_END();

  void sendsNewFlowsElsewhere() {
    Instance instance = twoZones();
    expectEqual<uint64_t>(1, sentTo(instance.packet(Caller{}.open())));
    Actions done = instance.handle(DrainA);
    auto decisions = only<Decision>(done);
    expectTrue(decisions.size() == 1 && decisions[0].Zone == "a" &&
                   std::string(decisions[0].What) == "zone_drained",
               "it is logged as in force");
    expectEqual<uint64_t>(2, sentTo(instance.packet(Caller{2000}.open())));
    section("the same order again changes nothing", [&] {
      expectTrue(instance.handle(DrainA).empty(), "nothing to log");
      expectEqual<uint64_t>(2, sentTo(instance.packet(Caller{2001}.open())));
    });
    section("a zone that nobody knows does no harm", [&] {
      instance.handle(ZoneDrainLearned{.Zone = "nowhere"});
      expectEqual<uint64_t>(2, sentTo(instance.packet(Caller{2002}.open())));
    });
  }

  void keepsOpenFlowsWhereTheyAre() {
    Instance instance = twoZones();
    Caller caller = flowInZoneA(instance);
    instance.handle(DrainA);
    for (uint32_t n = 0; n < 20; ++n) {
      instance.pass(1s);
      expectEqual<uint64_t>(
          1, sentTo(instance.packet(caller.data(1 + n * 100, n * 100))));
    }
    section("also at an instance that never saw its opening", [&] {
      Instance other = twoZones();
      other.handle(DrainA);
      expectEqual<uint64_t>(1, sentTo(other.packet(caller.data(1))));
    });
  }

  // Symptom: a server of a drained zone gets a flow after the order.
  // Sequence: an opening waits at the server; the order comes; the caller's
  // copy follows after 200 ms.
  // Cause: all copies go where the first one went.
  void sendsCopiesOfAnOpeningElsewhere() {
    Instance instance = twoZones();
    expectEqual<uint64_t>(1, sentTo(instance.packet(Caller{}.open())));
    instance.handle(DrainA);
    instance.pass(200ms);
    expectEqual<uint64_t>(2, sentTo(instance.packet(Caller{}.open(1))));
  }

  // Symptom: seconds after the order, a flow opens in the drained zone.
  // Sequence: a flow opens and ends, its last packets by way of another
  // instance; the caller opens a new one from the same port.
  // Cause: the flow that is remembered decides where the opening goes.
  void knowsANewFlowFromAnEarlierOneOfThePort() {
    Instance instance = twoZones();
    Caller caller = flowInZoneA(instance);
    instance.handle(DrainA);
    instance.pass(5s);
    expectEqual<uint64_t>(2, sentTo(instance.packet(caller.open())));
  }

  void refusesAtOnceWhereNothingIsLeft() {
    Instance instance = twoZones();
    instance.handle(DrainA);
    instance.handle(ZoneDrainLearned{.Zone = "b"});
    expectEqual(Reason::ZoneDrained,
                resetWhy(instance.packet(Caller{}.open())));
    section("no server at all is another reason", [&] {
      Caller papers{.Port = 2000, .Route = Papers};
      expectEqual(Reason::NoTarget, resetWhy(instance.packet(papers.open())));
    });
  }

  // Symptom: new flows in a drained zone while the registry is away.
  // Sequence: the zone is drained; all registrations lapse in an outage.
  // Cause: a missing server is tried where there is no other.
  void usesNoServerOfItAsALastResort() {
    Instance instance = twoZones();
    instance.handle(DrainA);
    instance.handle(BackendsLearned{.Ended = {BackendId{1}, BackendId{2}}});
    expectEqual<uint64_t>(2, sentTo(instance.packet(Caller{}.open())));
  }

  void fallsBackToAnotherServiceOfTheRoute() {
    Instance instance;
    instance.learn({serverIn("a", 1), serverIn("b", 2, Certificates)});
    RouteSet routes = bothRoutes(2);
    routes.Routes[0].Services = {{.Service = Records, .Weight = 90},
                                 {.Service = Certificates, .Weight = 10}};
    instance.handle(RoutesLearned{routes});
    instance.handle(DrainA);
    for (uint16_t port = 1; port < 40; ++port)
      expectEqual<uint64_t>(2, sentTo(instance.packet(Caller{port}.open())));
  }

  // Symptom: openings that left a silent server go into the drained zone.
  // Sequence: servers of the other zone fall silent.
  // Cause: an opening is moved to whichever server costs least.
  void movesNoOpeningIntoIt() {
    Instance instance = twoZones();
    instance.handle(DrainA);
    for (uint16_t port = 1; port < 5; ++port)
      instance.packet(Caller{port}.open());
    for (const Forward &it : only<Forward>(instance.pass(1s)))
      expectEqual<uint64_t>(2, it.To.Value);
  }

  void holdsForServersThatComeLater() {
    Instance instance = twoZones();
    instance.handle(DrainA);
    instance.handle(BackendsLearned{.Present = {serverIn("a", 3)}});
    expectEqual<uint64_t>(2, sentTo(instance.packet(Caller{}.open())));
    section("and an order that came before any server", [] {
      Instance other;
      other.handle(DrainA);
      other.learn({serverIn("a", 1), serverIn("b", 2)});
      expectEqual<uint64_t>(2, sentTo(other.packet(Caller{}.open())));
    });
  }

  void endsWithTheOrder() {
    Instance instance = twoZones();
    instance.handle(DrainA);
    instance.handle(RestoreA);
    expectEqual<uint64_t>(1, sentTo(instance.packet(Caller{}.open())));
    instance.handle(DrainA);
    expectEqual<uint64_t>(2, sentTo(instance.packet(Caller{2000}.open())));
  }

  void neverOpensAFlowInADrainedZone() {
    property("orders, copies, lapses and silence in any order", [] {
      Instance instance;
      std::vector<Registration> all;
      for (uint64_t id = 1; id <= 6; ++id)
        all.push_back(serverIn(id % 2 == 0 ? "b" : "a", id));
      instance.learn(all);
      bool drainedNow = false;
      auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
          rc::gen::pair(rc::gen::inRange(0, 7), rc::gen::inRange(1, 7)));
      for (auto [what, n] : steps) {
        auto id = static_cast<uint64_t>(n);
        Actions done;
        if (what <= 1)
          instance.handle(what == 0 ? DrainA : RestoreA);
        if (what <= 1)
          drainedNow = what == 0;
        else if (what == 2)
          instance.handle(BackendsLearned{.Ended = {BackendId{id}}});
        else if (what == 3)
          instance.handle(BackendsLearned{.Present = {all[id - 1]}});
        else if (what == 4)
          done = instance.pass(std::chrono::milliseconds(60 * n));
        else
          // A copy sooner than any caller sends it waited in a queue, and its
          // flow opened before the order.
          done = instance.packet(
              Caller{static_cast<uint16_t>(n)}.open(what == 5 ? 0 : 1));
        instance.Now += 200ms;
        for (const Forward &it : only<Forward>(done))
          RC_ASSERT(!drainedNow || it.To.Value % 2 == 0);
      }
    });
  }

  void isReadBeforePacketsAreCarried() {
    Store store = storeWithDrain();
    WatcherFixture reading;
    reading.start(store);
    std::set<std::string> zones;
    expectTrue(drained(zones, reading) == std::set<std::string>{"a"},
               "known before any list");
  }

  // Symptom: an instance that starts sends flows into a drained zone.
  // Sequence: the configuration fills the first page of what the operators have
  // written; the orders stand on the second.
  void readsOrdersInPages() {
    Store store = storeWithDrain();
    WatcherFixture reading;
    reading.stepOnce(store);
    auto call = reading.Watcher.next(reading.Now);
    ItemPage first = store.list("op/");
    ItemPage second = first;
    first.Items.pop_back();
    first.More = true;
    second.Items.erase(second.Items.begin());
    reading.answer(
        {.Status = registry::Ok, .Body = reading.Dialect.serializePage(first)});
    call = reading.Watcher.next(reading.Now);
    expectEqual<std::string>("/-/kv-range?prefix=op/&after=op/config",
                             call->Call.Target);
    reading.answer({.Status = registry::Ok,
                    .Body = reading.Dialect.serializePage(second)});
    expectTrue(reading.take<RoutesLearned>().size() == 1, "the configuration");
    expectEqual<size_t>(1, reading.Watcher.cache().routes() ? size_t{1}
                                                            : size_t{0});
  }

  // Symptom: a zone takes no new flows long after the operators took it back.
  // Sequence: an order ends; an instance starts and reads its orders as they
  // are, then a list that is older.
  // Cause: the order in the list looks new to a copy that lacks it.
  void isNotBroughtBackByAnOldList() {
    Store old = storeWithDrain();
    Store store = old;
    store.remove("op/evacuate/a");
    WatcherFixture reading;
    reading.start(store);
    reading.Now += 3s;
    reading.step(old);
    std::set<std::string> zones;
    expectTrue(drained(zones, reading).empty(), "it stays ended");
    section("also after a neighbour told all it knows", [&] {
      WatcherFixture seeded;
      seeded.fail();
      seeded.Watcher.applySeed(store.list(), seeded.Events);
      seeded.Watcher.applyPull(old.list(), true, seeded.Now, seeded.Events);
      expectTrue(drained(zones, seeded).empty(), "it stays ended");
    });
  }

  // Symptom: flows go into a zone seconds after it was drained.
  // Sequence: an order is given; an instance starts, reads it, then reads a
  // list from before it.
  // Cause: what a list lacks has ended.
  void isNotLostToAnOldList() {
    Store store = storeWithDrain();
    Store old = store;
    store.put("op/evacuate/b", "{}");
    WatcherFixture reading;
    reading.start(store);
    reading.Now += 3s;
    reading.step(old);
    std::set<std::string> zones;
    expectTrue(drained(zones, reading) == std::set<std::string>{"a", "b"},
               "both hold");
  }

  void isToldByANeighbourWhileTheRegistryIsAway() {
    Store store = storeWithDrain();
    WatcherFixture knows;
    knows.Watcher.applySeed(store.list(), knows.Events);
    WatcherFixture starts;
    starts.fail();
    starts.Watcher.applySeed(knows.Watcher.cache().snapshot(), starts.Events);
    std::set<std::string> zones;
    expectTrue(drained(zones, starts) == std::set<std::string>{"a"}, "drained");
  }

  void survivesDroppedHistory() {
    Store store = storeWithDrain();
    WatcherFixture reading;
    reading.start(store);
    reading.Now += 3s;
    reading.step(store);
    std::set<std::string> zones;
    drained(zones, reading);
    store.remove("op/evacuate/a");
    store.put("op/evacuate/b", "{}");
    reading.Now += 3s;
    expectTrue(reading.fail(410), "the watch finds no history");
    reading.step(store);
    expectTrue(drained(zones, reading) == std::set<std::string>{"b"},
               "as the registry has it");
  }

  void isBelievedAsTheRegistryHasIt() {
    property("orders, old reads, dropped history, cuts and restarts", [] {
      Store store = storeWithDrain();
      std::vector<Store> past{store};
      auto reading = std::make_unique<WatcherFixture>();
      std::set<std::string> zones;
      int64_t startedAt = 0;
      auto steps =
          *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 9));
      for (int it : steps) {
        reading->Now += 700ms;
        if (it <= 1)
          store.put(it == 0 ? "op/evacuate/a" : "op/evacuate/b", "{}");
        else if (it == 2 && store.item("op/evacuate/a"))
          store.remove("op/evacuate/a");
        else if (it == 3)
          store.server(2, "ready", static_cast<int>(store.revision()));
        past.push_back(store);
        if (it == 4) {
          reading = std::make_unique<WatcherFixture>();
          zones.clear();
          startedAt = 0;
        }
        auto call = reading->Watcher.next(reading->Now);
        if (!call)
          continue;
        bool mayBeOld =
            call->Call.Target.find("serializable") != std::string::npos;
        size_t lag = mayBeOld ? *rc::gen::inRange<size_t>(0, past.size()) : 0;
        const Store &read = past[past.size() - 1 - lag];
        bool orders =
            call->Call.Kind == chicory::edge::CallKind::OperatorSettings;
        if (it == 5 || it == 6) {
          reading->answer({.Status = it == 5 ? 0 : 410});
          continue;
        }
        reading->answer(registry::answerOf(read, call->Call));
        drained(zones, *reading);
        if (orders)
          startedAt = store.revision();
        // Nothing that stood or had ended at the start is undone by old reads.
        if (orders)
          RC_ASSERT(zones == drainedIn(store));
        if (startedAt == store.revision())
          RC_ASSERT(zones == drainedIn(store));
        // A whole answer that is current leaves nothing out.
        if (reading->Watcher.complete() && !mayBeOld &&
            reading->Watcher.cache().position() == store.position())
          RC_ASSERT(zones == drainedIn(store));
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ZoneDrainTest);
