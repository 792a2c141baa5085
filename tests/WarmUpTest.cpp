// Servers that warm up get no more new flows than they bear.

#include "chicorybank/token/WarmUp.h"

#include "Story.h"
#include "TokenSamples.h"

#include <deque>

using namespace story;
using namespace samples::token;

namespace {

constexpr Duration Lasts = 2s;

ZonedInstance peer(uint32_t id, const std::string &zone = "a") {
  return {.Id = InstanceId{id}, .Zone = zone};
}

Registration cold(uint64_t id, const std::string &zone = "a") {
  Registration out = server(id);
  out.Zone = zone;
  out.WarmUpLeft = Lasts;
  return out;
}

RouteSet limited(double perSecond) {
  RouteSet out = bothRoutes(2);
  out.WarmUps.push_back(
      {.Service = Records, .Lasts = Lasts, .FlowsPerSecond = perSecond});
  return out;
}

/// An instance of zone a that has been registered for long.
Instance settled(uint32_t self, const std::vector<ZonedInstance> &peers,
                 double perSecond) {
  Instance out({.Zone = "a", .Self = InstanceId{self}, .Seed = self});
  out.learn({});
  out.handle(RoutesLearned{limited(perSecond)});
  out.handle(InstancesLearned{peers});
  out.pass(WarmUpLimits::SettlingTime);
  return out;
}

/// Openings that reach a server, by a caller a time.
size_t openedAt(Instance &instance, uint64_t id, int callers, Duration gap) {
  static uint16_t port = 0;
  size_t out = 0;
  for (int n = 0; n < callers; ++n) {
    Caller caller{.Port = ++port};
    out += sentTo(instance.packet(caller.open())) == id ? 1 : 0;
    instance.Now += gap;
  }
  return out;
}

} // namespace

class WarmUpTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WarmUpTest);
  CPPUNIT_TEST(keepsToTheRateOfAServer);
  CPPUNIT_TEST(knowsNoLimitWhereNoneIsGiven);
  CPPUNIT_TEST(leavesAServerToOneInstance);
  CPPUNIT_TEST(takesAZoneThatComesBackForCold);
  CPPUNIT_TEST(refusesAtOnceWhereAllAreCold);
  CPPUNIT_TEST(waitsUntilTheOthersAreKnown);
  CPPUNIT_TEST(keepsToTheRateOverAllInstances);
  CPPUNIT_TEST_SUITE_END();

  // Pattern: replacements of servers under 200 openings a second. Grounds: an
  // idle server costs least, so all of them would go there.
  void keepsToTheRateOfAServer() {
    Instance instance = settled(1, {peer(1)}, 4);
    instance.handle(BackendsLearned{.Present = {cold(1), server(2)}});
    size_t n = openedAt(instance, 1, 200, 5ms);
    expectTrue(n >= 3 && n <= 5, "about four in a second: " + toText(n));
    section("until it is warm", [&] {
      instance.Now += 1s;
      expectTrue(openedAt(instance, 1, 100, 5ms) > 20, "its share");
    });
  }

  void knowsNoLimitWhereNoneIsGiven() {
    Instance instance = settled(1, {peer(1)}, 0);
    instance.handle(BackendsLearned{.Present = {cold(1), server(2)}});
    expectTrue(openedAt(instance, 1, 100, 5ms) > 20, "its share");
  }

  void leavesAServerToOneInstance() {
    std::vector<ZonedInstance> peers;
    for (uint32_t id = 1; id <= 10; ++id)
      peers.push_back(peer(id));
    size_t openers = 0;
    for (uint32_t id = 1; id <= 10; ++id) {
      Instance instance = settled(id, peers, 4);
      instance.handle(BackendsLearned{.Present = {cold(1), server(2)}});
      openers += openedAt(instance, 1, 100, 5ms) != 0 ? 1 : 0;
    }
    expectEqual<size_t>(1, openers);
    section("of its own zone, where that has any", [] {
      Instance far = settled(1, {peer(1), peer(2, "b")}, 4);
      far.handle(BackendsLearned{.Present = {cold(1, "b"), server(2)}});
      expectEqual<size_t>(0, openedAt(far, 1, 100, 5ms));
      Instance alone = settled(1, {peer(1)}, 4);
      alone.handle(BackendsLearned{.Present = {cold(1, "b")}});
      expectTrue(openedAt(alone, 1, 100, 5ms) != 0, "or of another");
    });
  }

  // Symptom: all servers of a zone shed requests for two seconds.
  // Sequence: the zone is drained and comes back; its servers are cold, and say
  // so with their next heartbeat, a second later.
  // Cause: what a server says of itself is older than the end of the drain.
  void takesAZoneThatComesBackForCold() {
    Instance instance = settled(1, {peer(1)}, 4);
    instance.handle(BackendsLearned{.Present = {server(1)}});
    instance.handle(ZoneDrainLearned{.Zone = "a", .Active = true});
    instance.handle(ZoneDrainLearned{.Zone = "a", .Active = false});
    expectEqual<size_t>(4, openedAt(instance, 1, 200, 5ms));
  }

  void refusesAtOnceWhereAllAreCold() {
    Instance instance = settled(1, {peer(1)}, 4);
    instance.handle(BackendsLearned{.Present = {cold(1)}});
    expectEqual<uint64_t>(1, sentTo(instance.packet(Caller{}.open())));
    expectEqual(Reason::WarmingUp,
                resetWhy(instance.packet(Caller{2000}.open())));
    section("a copy of the flow that it has goes there all the same", [&] {
      instance.Now += 100ms;
      expectEqual<uint64_t>(1, sentTo(instance.packet(Caller{}.open(1))));
    });
  }

  // Symptom: a cold server gets a flow of each of a hundred instances at once.
  // Sequence: the registry is back after all records have lapsed; every
  // instance registers, and sees its own record first.
  // Cause: the first of a list of one.
  void waitsUntilTheOthersAreKnown() {
    Instance instance({.Zone = "a", .Self = InstanceId{1}});
    instance.learn({});
    instance.handle(RoutesLearned{limited(4)});
    instance.handle(InstancesLearned{{peer(1)}});
    instance.handle(BackendsLearned{.Present = {cold(1)}});
    expectEqual<size_t>(0, openedAt(instance, 1, 10, 5ms));
    section("after that it opens flows, if it is still alone", [&] {
      instance.pass(WarmUpLimits::SettlingTime);
      instance.handle(BackendsLearned{.Present = {cold(1)}});
      expectTrue(openedAt(instance, 1, 10, 5ms) != 0, "it is the opener");
    });
  }

  void keepsToTheRateOverAllInstances() {
    property("some instances know of half of the others", [] {
      // Of whom each half knows. Two who take themselves for the opener send
      // twice the rate, which a server bears for a moment: half as much again,
      // and five.
      auto n = *rc::gen::inRange<uint32_t>(2, 12);
      double rate = *rc::gen::element(0.5, 2.0, 10.0);
      std::vector<ZonedInstance> all;
      std::vector<ZonedInstance> half;
      for (uint32_t id = 1; id <= n; ++id) {
        all.push_back(peer(id));
        if (id <= n / 2 + 1)
          half.push_back(peer(id));
      }
      std::vector<Instance> instances;
      for (uint32_t id = 1; id <= n; ++id) {
        bool knowsHalf = id <= n / 2 + 1 && *rc::gen::inRange(0, 2) == 0;
        instances.push_back(settled(id, knowsHalf ? half : all, rate));
        instances.back().handle(
            BackendsLearned{.Present = {cold(1), server(2)}});
      }
      size_t most = 0;
      std::deque<int> lately;
      for (int step = 0; step < 190; ++step) {
        for (Instance &it : instances)
          for (size_t k = openedAt(it, 1, 1, 10ms); k != 0; --k)
            lately.push_back(step);
        while (!lately.empty() && lately.front() <= step - 100)
          lately.pop_front();
        most = std::max(most, lately.size());
      }
      constexpr double Overrun = 1.5;
      constexpr double Slack = 5;
      RC_ASSERT(static_cast<double>(most) <= rate * Overrun + Slack);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WarmUpTest);
