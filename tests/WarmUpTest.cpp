// Servers that warm up get no more new flows than they can handle.

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

Registration coldServer(uint64_t id, const std::string &zone = "a") {
  Registration out = server(id);
  out.Zone = zone;
  out.WarmUpLeft = Lasts;
  return out;
}

RouteSet routesWithLimit(double perSecond) {
  RouteSet out = bothRoutes(2);
  out.WarmUps.push_back(
      {.Service = Records, .Lasts = Lasts, .FlowsPerSecond = perSecond});
  return out;
}

/// An instance of zone a that has been registered for longer than
/// `SettlingTime`.
Instance settledInstance(uint32_t self, const std::vector<ZonedInstance> &peers,
                         double perSecond) {
  Instance out({.Zone = "a", .Self = InstanceId{self}, .Seed = self});
  out.configure({});
  out.handle(RoutesLearned{routesWithLimit(perSecond)});
  out.handle(InstancesLearned{peers});
  out.pass(WarmUpLimits::SettlingTime);
  return out;
}

/// Opens flows one after the other, each from a new port, and returns how many
/// reach the server.
size_t flowsOpenedAt(Instance &instance, uint64_t id, int callers,
                     Duration gap) {
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
  CPPUNIT_TEST(doesNotExceedTheRateOfAServer);
  CPPUNIT_TEST(appliesNoLimitIfNoneIsConfigured);
  CPPUNIT_TEST(letsOneInstanceOpenFlowsAtAServer);
  CPPUNIT_TEST(startsTheWarmUpWhenAZoneDrainEnds);
  CPPUNIT_TEST(resetsOpeningsIfAllServersWarmUp);
  CPPUNIT_TEST(waitsUntilOtherInstancesAreKnown);
  CPPUNIT_TEST(doesNotExceedTheRateOverAllInstances);
  CPPUNIT_TEST_SUITE_END();

  // Replaced servers under 200 openings a second. An idle server costs least,
  // so without a limit all flows would go there.
  void doesNotExceedTheRateOfAServer() {
    Instance instance = settledInstance(1, {peer(1)}, 4);
    instance.handle(BackendsLearned{.Present = {coldServer(1), server(2)}});
    size_t n = flowsOpenedAt(instance, 1, 200, 5ms);
    expectTrue(n >= 3 && n <= 5, "about four a second: " + toText(n));
    section("until it is warm", [&] {
      instance.Now += 1s;
      expectTrue(flowsOpenedAt(instance, 1, 100, 5ms) > 20,
                 "it gets its share");
    });
  }

  void appliesNoLimitIfNoneIsConfigured() {
    Instance instance = settledInstance(1, {peer(1)}, 0);
    instance.handle(BackendsLearned{.Present = {coldServer(1), server(2)}});
    expectTrue(flowsOpenedAt(instance, 1, 100, 5ms) > 20, "it gets its share");
  }

  void letsOneInstanceOpenFlowsAtAServer() {
    std::vector<ZonedInstance> peers;
    for (uint32_t id = 1; id <= 10; ++id)
      peers.push_back(peer(id));
    size_t openers = 0;
    for (uint32_t id = 1; id <= 10; ++id) {
      Instance instance = settledInstance(id, peers, 4);
      instance.handle(BackendsLearned{.Present = {coldServer(1), server(2)}});
      openers += flowsOpenedAt(instance, 1, 100, 5ms) != 0 ? 1 : 0;
    }
    expectEqual<size_t>(1, openers);
    section("an instance of the same zone is preferred", [] {
      Instance far = settledInstance(1, {peer(1), peer(2, "b")}, 4);
      far.handle(BackendsLearned{.Present = {coldServer(1, "b"), server(2)}});
      expectEqual<size_t>(0, flowsOpenedAt(far, 1, 100, 5ms));
      Instance alone = settledInstance(1, {peer(1)}, 4);
      alone.handle(BackendsLearned{.Present = {coldServer(1, "b")}});
      expectTrue(flowsOpenedAt(alone, 1, 100, 5ms) != 0,
                 "an instance of another zone");
    });
  }

  // Guards against servers that shed requests for two seconds after the drain
  // of their zone ends. They are cold then, but their registrations say so only
  // after the next heartbeat, a second later.
  void startsTheWarmUpWhenAZoneDrainEnds() {
    Instance instance = settledInstance(1, {peer(1)}, 4);
    instance.handle(BackendsLearned{.Present = {server(1)}});
    instance.handle(ZoneDrainLearned{.Zone = "a", .Active = true});
    instance.handle(ZoneDrainLearned{.Zone = "a", .Active = false});
    expectEqual<size_t>(4, flowsOpenedAt(instance, 1, 200, 5ms));
  }

  void resetsOpeningsIfAllServersWarmUp() {
    Instance instance = settledInstance(1, {peer(1)}, 4);
    instance.handle(BackendsLearned{.Present = {coldServer(1)}});
    expectEqual<uint64_t>(1, sentTo(instance.packet(Caller{}.open())));
    expectEqual(Reason::WarmingUp,
                resetReason(instance.packet(Caller{2000}.open())));
    section("copies of an open flow still go to the server", [&] {
      instance.Now += 100ms;
      expectEqual<uint64_t>(1, sentTo(instance.packet(Caller{}.open(1))));
    });
  }

  // Guards against a cold server that gets a flow from each of a hundred
  // instances at once. After all registrations have expired in an outage, every
  // instance registers again and sees its own registration first, so it would
  // select itself from a list of one.
  void waitsUntilOtherInstancesAreKnown() {
    Instance instance({.Zone = "a", .Self = InstanceId{1}});
    instance.configure({});
    instance.handle(RoutesLearned{routesWithLimit(4)});
    instance.handle(InstancesLearned{{peer(1)}});
    instance.handle(BackendsLearned{.Present = {coldServer(1)}});
    expectEqual<size_t>(0, flowsOpenedAt(instance, 1, 10, 5ms));
    section("after the settling time an instance that is alone opens flows",
            [&] {
              instance.pass(WarmUpLimits::SettlingTime);
              instance.handle(BackendsLearned{.Present = {coldServer(1)}});
              expectTrue(flowsOpenedAt(instance, 1, 10, 5ms) != 0,
                         "it opens flows");
            });
  }

  void doesNotExceedTheRateOverAllInstances() {
    property("some instances know only half of the others", [] {
      // The first half, plus one, is known to everyone. Two instances that
      // select themselves send at most twice the rate, which a server can take
      // for a moment. The limit allows half as many flows again, plus five.
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
        instances.push_back(settledInstance(id, knowsHalf ? half : all, rate));
        instances.back().handle(
            BackendsLearned{.Present = {coldServer(1), server(2)}});
      }
      size_t most = 0;
      std::deque<int> lately;
      for (int step = 0; step < 190; ++step) {
        for (Instance &it : instances)
          for (size_t k = flowsOpenedAt(it, 1, 1, 10ms); k != 0; --k)
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
