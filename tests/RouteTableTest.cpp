#include "chicorybank/token/Routes.h"

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
  CPPUNIT_TEST(neverGoesBack);
  CPPUNIT_TEST(letsTheFirstMatchDecide);
  CPPUNIT_TEST(remembersServicesWhileFlowsMayLive);
  CPPUNIT_TEST(tellsRemovedFromNeverThere);
  CPPUNIT_TEST(learnsFromOthersWhatRoutesLedTo);
  CPPUNIT_TEST_SUITE_END();

  // Symptom: a dropped route serves again.
  // Sequence: version 7 arrives by one way, version 5 later by a slower one.
  // Cause: the last to arrive would win over the newest.
  void neverGoesBack() {
    RouteTable table(60s);
    expectTrue(table.learn(routes(7, {}), Start), "7 is taken");
    expectTrue(!table.learn(routes(5, {{.Service = Records}}), Start),
               "5 is refused");
    expectTrue(!table.learn(routes(7, {{.Service = Records}}), Start),
               "another 7 is refused");
    expectTrue(table.find(FeedAddress) == nullptr, "the route stays away");
  }

  // Symptom: flows reach the service of a later rule.
  // Sequence: a configuration names one address in two routes.
  // Cause: each route written over the one before.
  void letsTheFirstMatchDecide() {
    RouteTable table(60s);
    RouteSet both = routes(1, {{.Service = Records}});
    both.Routes.push_back(
        {.Where = FeedAddress, .Services = {{.Service = Certificates}}});
    table.learn(both, Start);
    expectTrue(table.find(FeedAddress)->Services[0].Service == Records,
               "the first");
    expectTrue(!table.mayReach(FeedAddress, Certificates, Start),
               "the other gets nothing, whatever the token");
    expectEqual<size_t>(1, table.size());
  }

  void remembersServicesWhileFlowsMayLive() {
    RouteTable table(60s);
    table.learn(routes(1, {{.Service = Records}}), Start);
    section("the route moves to another service", [&] {
      table.learn(routes(2, {{.Service = Certificates}}), Start + 10s);
      expectTrue(table.mayReach(FeedAddress, Certificates, Start + 10s),
                 "the new");
      expectTrue(table.mayReach(FeedAddress, Records, Start + 60s),
                 "the old one, for flows that are open");
      expectTrue(!table.mayReach(FeedAddress, Records, Start + 71s),
                 "not once they must have ended");
    });
  }

  void tellsRemovedFromNeverThere() {
    RouteTable table(60s);
    table.learn(routes(1, {{.Service = Records}}), Start);
    table.learn(routes(2, {}), Start);
    expectTrue(table.wasRemoved(FeedAddress), "it stood here");
    expectTrue(!table.mayReach(FeedAddress, Records, Start),
               "a removed route takes its flows with it");
    Address other{.Ip = FeedAddress.Ip, .Port = 80};
    expectTrue(!table.wasRemoved(other), "this one never did");
  }

  // Symptom: the packets of old flows are dropped as `foreign_token` by an
  // instance that has restarted.
  // Sequence: the route moves from records to certificates; a process starts
  // and reads the new version and the record of routes, in either order.
  // Cause: the process had never read the version that led to records.
  void learnsFromOthersWhatRoutesLedTo() {
    const std::vector<RoutePair> led{{FeedAddress, Records}};
    section("the record before the routes", [&] {
      RouteTable table(60s);
      table.learnPast(led, Start);
      table.learn(routes(2, {{.Service = Certificates}}), Start);
      expectTrue(table.mayReach(FeedAddress, Records, Start), "an old flow");
      expectTrue(!table.mayReach(FeedAddress, Records, Start + 61s),
                 "not for ever");
    });
    section("the routes before the record", [&] {
      RouteTable table(60s);
      table.learn(routes(2, {{.Service = Certificates}}), Start);
      expectTrue(!table.mayReach(FeedAddress, Records, Start), "not known yet");
      table.learnPast(led, Start + 1s);
      expectTrue(table.mayReach(FeedAddress, Records, Start + 60s), "known");
      section("the record once more does not lengthen the time", [&] {
        table.learnPast(led, Start + 50s);
        expectTrue(!table.mayReach(FeedAddress, Records, Start + 62s), "over");
      });
    });
    section("a route that is gone takes its flows with it all the same", [&] {
      RouteTable table(60s);
      table.learnPast(led, Start);
      table.learn(routes(2, {}), Start);
      expectTrue(!table.mayReach(FeedAddress, Records, Start), "not carried");
      expectTrue(table.wasRemoved(FeedAddress), "and its caller can be told");
    });
    section("a service that the route leads to again is lost anew", [&] {
      RouteTable table(60s);
      table.learnPast(led, Start);
      table.learn(routes(2, {{.Service = Records}}), Start);
      table.learn(routes(3, {{.Service = Certificates}}), Start + 50s);
      expectTrue(table.mayReach(FeedAddress, Records, Start + 100s),
                 "from the last time on");
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTableTest);
