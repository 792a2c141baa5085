// Hundreds of instances that start at once.

#include "chicorybank/edge/StartupReads.h"

#include "chicorybank/edge/Directory.h"

#include "StartModel.h"
#include "Story.h"

using namespace story;
using namespace samples::registry;

namespace {

std::string ip(const char *net, size_t n) {
  return net + std::to_string(n / 250) + '.' + std::to_string(n % 250 + 1);
}

/// What a registry holds before so many instances and servers.
/// The servers stand in one zone or several by turns.
Store registryFor(size_t instances, size_t servers, size_t zones = 1) {
  Store store;
  for (size_t n = 0; n < instances; ++n)
    store.instance(ip("10.1.", n), "nyarutarama");
  std::string routes;
  for (int n = 0; n < 24; ++n)
    routes += std::string(n == 0 ? "" : ",") +
              R"({"name":"r-3hh2b9w","host":)" + R"("198.18.0.)" +
              std::to_string(n + 1) +
              R"(","prefix":"/8443/","type":"download","timeout_ms":10000,)" +
              R"("aim_ms":1200,"priority":2,"service":"records"})";
  store.put("op/config", R"({"version":7,"routes":[)" + routes + "]}");
  for (size_t n = 0; n < servers; ++n) {
    constexpr size_t Step = 0x9e3779b1;
    char id[16];
    std::snprintf(id, sizeof(id), "%010zx", 0x1234567800 + n * Step);
    store.put("servers/i-" + std::string(id),
              R"({"service":"records","address":")" + ip("10.128.", n) +
                  R"(:8080","zone":"nyarutarama)" +
                  std::string(n % zones, 'x') +
                  R"(","version":"v1","slots":2,)" +
                  R"("state":"ready","warmup_left_ms":0,"sequence":41,)" +
                  R"("born":1764700000000})");
  }
  return store;
}

void addDirectory(Store &store) {
  platform::StoreDialect dialect;
  RegistryCache copy(dialect);
  Findings faults;
  copy.replaceAll(store.list(), faults);
  storeDirectory(store, copy, copy.instanceCount());
}

int64_t ms(Duration it) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(it).count();
}

std::string shownOf(const StartOutcome &it) {
  return std::to_string(ms(it.share(0.5))) + " ms in the middle, " +
         std::to_string(ms(it.share(0.9))) + " in the slowest tenth, " +
         std::to_string(ms(it.share(1))) + " at most, " +
         std::to_string(static_cast<int64_t>(it.Price)) + " calls";
}

} // namespace

class StartupReadsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StartupReadsTest);
  CPPUNIT_TEST(servesSoonWhereHundredsStartAtOnce);
  CPPUNIT_TEST(growsWithServersNotWithInstances);
  CPPUNIT_TEST(servesFromItsOwnZoneFirst);
  CPPUNIT_TEST(listsForEachOther);
  CPPUNIT_TEST_SUITE_END();

  // Pattern: 300 instances come back from a loss of power within 0.3 s, before
  // 600 servers, links of 1,000 and 20 Mbit/s. Grounds: callers send openings
  // again after 200 ms; whoever serves within 50 ms loses none that waited.
  void servesSoonWhereHundredsStartAtOnce() {
    Store store = registryFor(300, 600);
    StartOutcome before = StartModel(store, {}).run();
    addDirectory(store);
    StartOutcome after = StartModel(store, {}).run();
    section("a list of everything, as where there is no directory",
            [&] { expectTrue(before.share(0.5) > 100ms, shownOf(before)); });
    section("what a start needs", [&] {
      expectTrue(after.share(0.5) <= 50ms, shownOf(after));
      expectTrue(after.share(0.9) <= 80ms, shownOf(after));
      expectTrue(after.Price * 1.5 < before.Price,
                 shownOf(after) + "; before: " + shownOf(before));
    });
  }

  // Pattern: the same deployment with twice the instances. Grounds: lists that
  // follow are spread by the number of servers, which grows with the fleet.
  void growsWithServersNotWithInstances() {
    Store store = registryFor(600, 1200);
    addDirectory(store);
    StartOutcome twice = StartModel(store, {.Instances = 600}).run();
    expectTrue(twice.share(0.5) <= 100ms, shownOf(twice));
  }

  // Pattern: a fleet in five zones loses power. Guards against instances that
  // serve nothing before they have read of the servers of all zones: together
  // they fill the registry's link for seconds.
  void servesFromItsOwnZoneFirst() {
    for (size_t instances : {200U, 400U}) {
      Store store = registryFor(instances, 10 * instances, 5);
      addDirectory(store);
      StartOutcome out = StartModel(store, {.Instances = instances}).run();
      expectTrue(out.share(0.9) <= 100ms, shownOf(out));
    }
  }

  // Pattern: a fleet with ten servers an instance loses power. Guards against a
  // list by each instance: at 985 of them they are 4 GB, half a minute of the
  // registry's link.
  void listsForEachOther() {
    for (size_t instances : {100U, 200U}) {
      Store store = registryFor(instances, 10 * instances);
      addDirectory(store);
      StartOutcome out =
          StartModel(store, {.Instances = instances, .Peers = true}).run();
      std::string shown = std::to_string(out.Lists) + " lists of " +
                          std::to_string(instances) + ", complete after " +
                          std::to_string(ms(out.CompleteAfter)) + " ms";
      expectTrue(out.Lists * 4 <= instances, shown);
      expectTrue(out.CompleteAfter <= 8s, shown);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartupReadsTest);
