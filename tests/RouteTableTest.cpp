#include "chicorybank/token/Routes.h"

#include "chicorybank/base/Hash.h"

#include "Story.h"

using namespace story;
using namespace chicory;
using namespace chicory::token;
using namespace std::chrono_literals;

namespace {

constexpr Address FeedAddress{.Ip = 0xc6120001, .Port = 443};
constexpr ServiceId Records{1};
constexpr ServiceId Certificates{2};
constexpr Time Start{100s};

RouteSet routes(uint64_t version, std::vector<WeightedService> services) {
  RouteSet out{.Version = RuleVersion{version}};
  if (!services.empty())
    out.Routes.push_back(
        {.Where = FeedAddress, .Services = std::move(services)});
  return out;
}

} // namespace

class RouteTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouteTableTest);
  CPPUNIT_TEST(rejectsOlderVersions);
  CPPUNIT_TEST(appliesTheFirstMatch);
  CPPUNIT_TEST(keepsLostServicesForTheMaximumFlowAge);
  CPPUNIT_TEST(distinguishesRemovedFromUnknownRoutes);
  CPPUNIT_TEST(addsServicesRecordedByOtherInstances);
  CPPUNIT_TEST(knowsRecordedServicesByTheirShortIds);
  CPPUNIT_TEST_SUITE_END();

  // Guards against flows of a service that a route has left which are dropped
  // after a restart, and against packets at a service that only shares its
  // short id with the one that the route leads to.
  void knowsRecordedServicesByTheirShortIds() {
    ServiceId first = serviceIdOf("moci18a");
    ServiceId second = serviceIdOf("jawe17b");
    RouteTable table(60s);
    table.learn(routes(1, {{.Service = first}}), Start);
    expectTrue(table.mayReach(FeedAddress, first, Start), "its own");
    expectTrue(!table.mayReach(FeedAddress, second, Start), "only the hash");
    Address other{.Ip = FeedAddress.Ip, .Port = 8443};
    table.learnPast({{.Where = FeedAddress, .Service = shortServiceId(first)},
                     {.Where = other, .Service = shortServiceId(second)}},
                    Start);
    expectTrue(!table.mayReach(FeedAddress, second, Start),
               "the record names the service that the route leads to");
    RouteSet moved = routes(2, {{.Service = first}});
    moved.Routes.push_back(
        {.Where = other, .Services = {{.Service = Records}}});
    table.learn(moved, Start);
    expectTrue(table.mayReach(other, second, Start + 1s), "as recorded");
    expectTrue(!table.mayReach(other, second, Start + 61s), "not for ever");
  }

  // Guards against a removed route that serves again because an older version
  // arrives later from a slower source.
  void rejectsOlderVersions() {
    RouteTable table(60s);
    expectTrue(table.learn(routes(7, {}), Start), "version 7 is applied");
    expectTrue(!table.learn(routes(5, {{.Service = Records}}), Start),
               "version 5 is rejected");
    expectTrue(!table.learn(routes(7, {{.Service = Records}}), Start),
               "a second version 7 is rejected");
    expectTrue(table.find(FeedAddress) == nullptr, "the route stays removed");
  }

  // Guards against flows that reach the service of a later rule if two routes
  // of a configuration have the same address.
  void appliesTheFirstMatch() {
    RouteTable table(60s);
    RouteSet both = routes(1, {{.Service = Records}});
    both.Routes.push_back(
        {.Where = FeedAddress, .Services = {{.Service = Certificates}}});
    table.learn(both, Start);
    expectTrue(table.find(FeedAddress)->Services[0].Service == Records,
               "the first route applies");
    expectTrue(!table.mayReach(FeedAddress, Certificates, Start),
               "the other service is never reachable");
    expectEqual<size_t>(1, table.size());
  }

  void keepsLostServicesForTheMaximumFlowAge() {
    RouteTable table(60s);
    table.learn(routes(1, {{.Service = Records}}), Start);
    section("the route moves to another service", [&] {
      table.learn(routes(2, {{.Service = Certificates}}), Start + 10s);
      expectTrue(table.mayReach(FeedAddress, Certificates, Start + 10s),
                 "the new service");
      expectTrue(table.mayReach(FeedAddress, Records, Start + 60s),
                 "the old service, for open flows");
      expectTrue(!table.mayReach(FeedAddress, Records, Start + 71s),
                 "not after the maximum flow age");
    });
  }

  void distinguishesRemovedFromUnknownRoutes() {
    RouteTable table(60s);
    table.learn(routes(1, {{.Service = Records}}), Start);
    table.learn(routes(2, {}), Start);
    expectTrue(table.wasRemoved(FeedAddress), "the route was removed");
    expectTrue(!table.mayReach(FeedAddress, Records, Start),
               "flows of a removed route end");
    Address other{.Ip = FeedAddress.Ip, .Port = 80};
    expectTrue(!table.wasRemoved(other), "there was never a route");
  }

  // Guards against `foreign_token` drops of older flows at an instance that has
  // restarted. It reads only the newest version, in which the route leads to
  // another service, and the record of earlier services, in either order.
  void addsServicesRecordedByOtherInstances() {
    const std::vector<RoutePair> led{{FeedAddress, Records}};
    section("the record before the routes", [&] {
      RouteTable table(60s);
      table.learnPast(led, Start);
      table.learn(routes(2, {{.Service = Certificates}}), Start);
      expectTrue(table.mayReach(FeedAddress, Records, Start),
                 "an older flow is forwarded");
      expectTrue(!table.mayReach(FeedAddress, Records, Start + 61s),
                 "not after the maximum flow age");
    });
    section("the routes before the record", [&] {
      RouteTable table(60s);
      table.learn(routes(2, {{.Service = Certificates}}), Start);
      expectTrue(!table.mayReach(FeedAddress, Records, Start), "not known yet");
      table.learnPast(led, Start + 1s);
      expectTrue(table.mayReach(FeedAddress, Records, Start + 60s),
                 "the service is reachable");
      section("reading the record again does not extend the time", [&] {
        table.learnPast(led, Start + 50s);
        expectTrue(!table.mayReach(FeedAddress, Records, Start + 62s),
                   "not reachable any more");
      });
    });
    section("flows of a removed route end all the same", [&] {
      RouteTable table(60s);
      table.learnPast(led, Start);
      table.learn(routes(2, {}), Start);
      expectTrue(!table.mayReach(FeedAddress, Records, Start), "not forwarded");
      expectTrue(table.wasRemoved(FeedAddress), "its flows can be reset");
    });
    section("the time restarts if the route leads to the service again", [&] {
      RouteTable table(60s);
      table.learnPast(led, Start);
      table.learn(routes(2, {{.Service = Records}}), Start);
      table.learn(routes(3, {{.Service = Certificates}}), Start + 50s);
      expectTrue(table.mayReach(FeedAddress, Records, Start + 100s),
                 "reachable from the last loss on");
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTableTest);
