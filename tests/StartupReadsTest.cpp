// Tests of the start of hundreds of instances at once.

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

/// A registry with the given numbers of instances and servers. The servers are
/// in one zone or take turns in several.
Store storeWith(size_t instances, size_t servers, size_t zones = 1) {
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
  RegistryCache cache(dialect);
  Findings findings;
  cache.replaceAll(store.list(), findings);
  storeDirectory(store, cache, cache.instanceCount());
}

int64_t ms(Duration it) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(it).count();
}

std::string summaryOf(const StartOutcome &it) {
  return std::to_string(ms(it.percentile(0.5))) + " ms at the median, " +
         std::to_string(ms(it.percentile(0.9))) + " at the 90th percentile, " +
         std::to_string(ms(it.percentile(1))) + " at most, " +
         std::to_string(static_cast<int64_t>(it.Cost)) + " calls";
}

} // namespace

class StartupReadsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StartupReadsTest);
  CPPUNIT_TEST(servesSoonWhenHundredsStartAtOnce);
  CPPUNIT_TEST(servesSoonWithTwiceTheInstances);
  CPPUNIT_TEST(servesFromItsOwnZoneFirst);
  CPPUNIT_TEST(sharesListsBetweenInstances);
  CPPUNIT_TEST(sharesListsThatAreDueSoon);
  CPPUNIT_TEST(knowsEverythingInTimeWithoutTheOthers);
  CPPUNIT_TEST(knowsEverythingInTimeAmongInstancesThatAreGone);
  CPPUNIT_TEST_SUITE_END();

  // 300 instances come back from a power loss within 0.3 s, with 600 servers
  // and links of 1,000 and 20 Mbit/s. Callers retransmit after 200 ms, so an
  // instance that serves within 50 ms loses no caller that waited.
  void servesSoonWhenHundredsStartAtOnce() {
    Store store = storeWith(300, 600);
    StartOutcome before = StartModel(store, {}).run();
    addDirectory(store);
    StartOutcome after = StartModel(store, {}).run();
    section("a list of everything, without a directory", [&] {
      expectTrue(before.percentile(0.5) > 100ms, summaryOf(before));
    });
    section("what a start needs", [&] {
      expectTrue(after.percentile(0.5) <= 50ms, summaryOf(after));
      expectTrue(after.percentile(0.9) <= 80ms, summaryOf(after));
      expectTrue(after.Cost * 1.5 < before.Cost,
                 summaryOf(after) + "; before: " + summaryOf(before));
    });
  }

  // The same deployment with twice the instances. The lists that follow are
  // delayed in proportion to the servers, whose number grows with the
  // deployment.
  void servesSoonWithTwiceTheInstances() {
    Store store = storeWith(600, 1200);
    addDirectory(store);
    StartOutcome twice = StartModel(store, {.Instances = 600}).run();
    expectTrue(twice.percentile(0.5) <= 100ms, summaryOf(twice));
  }

  // A deployment in five zones loses power. Guards against instances that serve
  // nothing before they have read the servers of all zones: together they fill
  // the registry's link for seconds.
  void servesFromItsOwnZoneFirst() {
    for (size_t instances : {200U, 400U}) {
      Store store = storeWith(instances, 10 * instances, 5);
      addDirectory(store);
      StartOutcome out = StartModel(store, {.Instances = instances}).run();
      expectTrue(out.percentile(0.9) <= 100ms, summaryOf(out));
    }
  }

  // A deployment with ten servers for each instance loses power. Guards against
  // a list by each instance: with 985 instances the lists are 4 GB, half a
  // minute of the registry's link.
  void sharesListsBetweenInstances() {
    for (size_t instances : {100U, 200U}) {
      Store store = storeWith(instances, 10 * instances);
      addDirectory(store);
      StartOutcome out =
          StartModel(store, {.Instances = instances, .Peers = true}).run();
      std::string summary = std::to_string(out.Lists) + " lists of " +
                            std::to_string(instances) + ", complete after " +
                            std::to_string(ms(out.CompleteAfter)) + " ms";
      expectTrue(out.Lists * 4 <= instances, summary);
      expectTrue(out.CompleteAfter <= 8s, summary);
    }
  }

  // The same where changes must be in force so soon that most first lists are
  // due before one could be passed on. Guards against instances that all list,
  // though others have a list.
  void sharesListsThatAreDueSoon() {
    Store store = storeWith(300, 4000);
    addDirectory(store);
    StartOutcome out = StartModel(store, {.Instances = 300,
                                          .Times = {.FirstListWithin = 1s},
                                          .Peers = true})
                           .run();
    std::string summary = std::to_string(out.Lists) +
                          " lists, complete after " +
                          std::to_string(ms(out.CompleteAfter)) + " ms";
    expectTrue(out.Lists * 4 <= 300, summary);
    expectTrue(out.CompleteAfter <= 8s, summary);
  }

  // All instances of a large deployment are killed, and few or one start again.
  // Guards against an instance that acts for many seconds on what it read at
  // its start, since it waits for another one to pass a list on.
  void knowsEverythingInTimeWithoutTheOthers() {
    // Changes have to be in force within eight seconds.
    constexpr Duration ApplyWithin = 8s;
    WatcherTimes times{.FirstListWithin = ApplyWithin / 2};
    for (size_t servers : {500U, 10'000U}) {
      Store store = storeWith(985, servers);
      addDirectory(store);
      for (size_t left : {1U, 3U})
        for (uint64_t seed = 0; seed < 6; ++seed) {
          StartOutcome out = StartModel(store, {.Instances = left,
                                                .Times = times,
                                                .Seed = seed,
                                                .Peers = true})
                                 .run();
          expectTrue(out.CompleteAfter <= ApplyWithin,
                     std::to_string(servers) + " servers, seed " +
                         std::to_string(seed) + ": " +
                         std::to_string(ms(out.CompleteAfter)) + " ms");
        }
    }
  }

  // The same where the few start one after the other, while the records of the
  // others stand. Guards against an instance that waits for a list which an
  // instance with one can't pass on to it, since those between them are gone.
  void knowsEverythingInTimeAmongInstancesThatAreGone() {
    constexpr Duration ApplyWithin = 8s;
    WatcherTimes times{.FirstListWithin = ApplyWithin / 2};
    Store store = storeWith(985, 10'000);
    addDirectory(store);
    for (uint64_t seed = 0; seed < 3; ++seed) {
      StartOutcome out = StartModel(store, {.Instances = 5,
                                            .Gone = 980,
                                            .StartWithin = 6s,
                                            .Times = times,
                                            .Seed = seed,
                                            .Peers = true})
                             .run();
      expectTrue(out.LongestStart <= ApplyWithin,
                 "seed " + std::to_string(seed) + ": " +
                     std::to_string(ms(out.LongestStart)) + " ms");
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartupReadsTest);
