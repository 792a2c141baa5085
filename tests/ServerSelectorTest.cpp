// Selection by what callers' packets show of the servers, from the core's
// events to the server of a new flow.

#include "chicorybank/token/ServerSelector.h"

#include "Story.h"
#include "TokenSamples.h"

#include <map>

using namespace story;
using namespace samples::token;

namespace {

constexpr uint32_t WholeBytes = 2000;
constexpr uint32_t ErrorBytes = 176;
constexpr size_t ServerCount = 8;

ZonedInstance peer(uint32_t id, const std::string &zone = "a") {
  return {.Id = InstanceId{id}, .Zone = zone};
}

RouteSet routesOf(bool idempotent) {
  RouteSet out = bothRoutes(2);
  for (Route &it : out.Routes) {
    it.Idempotent = idempotent;
    it.Objective = 500ms;
    it.Timeout = 3s;
  }
  return out;
}

/// An instance whose deployment asks for outlier detection, with servers 1 to
/// `ServerCount` of its own zone.
Instance judgingInstance(bool idempotent = true,
                         std::vector<ZonedInstance> peers = {peer(1)},
                         BalancingOptions balancing = {
                             .OutlierDetection = true}) {
  Instance out({.Zone = "a", .Self = InstanceId{1}, .Balancing = balancing});
  std::vector<Registration> servers;
  for (uint64_t id = 1; id <= ServerCount; ++id)
    servers.push_back(server(id));
  out.configure(servers);
  out.handle(RoutesLearned{routesOf(idempotent)});
  out.handle(InstancesLearned{std::move(peers)});
  return out;
}

/// Callers with a flow for each request.
class Callers {
public:
  explicit Callers(Instance &instance) : Under(instance) {}

  /// Opens a flow and sends its request. Returns the server.
  uint64_t request() {
    Last = {.Port = ++Port};
    Server = sentTo(Under.packet(Last.open()));
    Last.Echo = tokenOf(BackendId{Server});
    Under.pass(2ms);
    Under.packet(Last.data(1));
    return Server;
  }
  /// The response arrives, and the caller closes the flow.
  Actions respond(uint32_t bytes, Duration after = 20ms) {
    Under.pass(after);
    FlowPacket end = Last.ack(1 + bytes);
    end.Finish = true;
    return Under.packet(end);
  }
  /// A number of requests; servers in `failing` answer with errors. Returns how
  /// many each server got.
  std::map<uint64_t, size_t> requests(int count,
                                      std::vector<uint64_t> failing = {}) {
    std::map<uint64_t, size_t> out;
    for (int n = 0; n < count; ++n) {
      uint64_t at = request();
      ++out[at];
      bool fails =
          std::find(failing.begin(), failing.end(), at) != failing.end();
      respond(fails ? ErrorBytes : WholeBytes);
    }
    return out;
  }

  Caller Last;
  uint64_t Server = 0;

private:
  Instance &Under;
  uint16_t Port = 1000;
};

size_t countOf(const Actions &actions, std::string_view what) {
  size_t out = 0;
  for (const Decision &it : filter<Decision>(actions))
    out += it.What == what ? 1 : 0;
  return out;
}

} // namespace

class ServerSelectorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerSelectorTest);
  CPPUNIT_TEST(sendsNoNewFlowsToAServerThatFails);
  CPPUNIT_TEST(usesAllServersIfMostOfThemFail);
  CPPUNIT_TEST(keepsUnrepeatableRequestsAwayAfterOneFailure);
  CPPUNIT_TEST(noticesAServerThatResetsFlows);
  CPPUNIT_TEST(keepsOpenFlowsAtAnEjectedServer);
  CPPUNIT_TEST(takesNoEvidenceFromFlowsThatBeganElsewhere);
  CPPUNIT_TEST(reportsAnEjectionToTheSharers);
  CPPUNIT_TEST(ignoresReportsOfStrangersAndOfFormerProcesses);
  CPPUNIT_TEST(usesAnotherZoneIfNoServerIsLeft);
  CPPUNIT_TEST(choosesAsBeforeWithoutTheSetting);
  CPPUNIT_TEST(refusesLowPriorityUnderAShortage);
  CPPUNIT_TEST(usesAllServersWithoutSubsets);
  CPPUNIT_TEST_SUITE_END();

  // Guards against callers that keep meeting a server that answers with errors
  // while its health check succeeds.
  void sendsNoNewFlowsToAServerThatFails() {
    Instance instance = judgingInstance();
    Callers callers(instance);
    callers.requests(200);
    size_t met = callers.requests(200, {3})[3];
    expectTrue(met <= 8, "few requests meet its errors: " + toText(met));
    instance.pass(10s);
    callers.requests(200);
    expectTrue(callers.requests(80)[3] >= 5, "it is back when it is healthy");
  }

  // Guards against a shortage that gets worse: if most servers look unhealthy
  // and are left out, the rest get all flows.
  void usesAllServersIfMostOfThemFail() {
    Instance instance = judgingInstance();
    Callers callers(instance);
    callers.requests(200);
    auto counts = callers.requests(300, {1, 2, 3, 4, 5, 6});
    counts = callers.requests(160, {1, 2, 3, 4, 5, 6});
    size_t atHealthy = counts[7] + counts[8];
    expectTrue(atHealthy < 120,
               "two of eight servers do not get all: " + toText(atHealthy));
    uint64_t ejections = instance.UnderTest.stats().Ejections;
    expectTrue(ejections < ServerCount / 2,
               "what most servers do is no outlier: " + toText(ejections));
  }

  // Guards against lost orders: the caller of a request that must not run twice
  // can't repeat it after an error.
  void keepsUnrepeatableRequestsAwayAfterOneFailure() {
    Instance instance = judgingInstance(false);
    Callers callers(instance);
    callers.requests(200);
    while (callers.request() != 3)
      callers.respond(WholeBytes);
    callers.respond(ErrorBytes);
    expectEqual<size_t>(0, callers.requests(16)[3]);
    expectTrue(callers.requests(100)[3] == 0,
               "and no trial by requests that can't be repeated");
  }

  // Guards against a server that accepts flows and resets each one when the
  // request arrives. Its callers send nothing more, so the only sign is that a
  // response is missing.
  void noticesAServerThatResetsFlows() {
    Instance instance = judgingInstance();
    Callers callers(instance);
    callers.requests(200);
    size_t met = 0;
    for (int n = 0; n < 200; ++n)
      if (callers.request() == 3)
        ++met;
      else
        callers.respond(WholeBytes);
    expectTrue(met >= 2 && met <= 8, "ejected: " + toText(met));
    expectTrue(instance.UnderTest.stats().StalledRequests >= 2, "as stalls");
  }

  // Guards against broken feeds: an ejection may concern new flows only.
  void keepsOpenFlowsAtAnEjectedServer() {
    Instance instance = judgingInstance();
    Callers callers(instance);
    callers.requests(200);
    while (callers.request() != 3)
      callers.respond(WholeBytes);
    Caller feed = callers.Last;
    Actions seen;
    for (int n = 0; n < 40; ++n) {
      uint64_t at = callers.request();
      Actions now = callers.respond(at == 3 ? ErrorBytes : WholeBytes);
      seen.insert(seen.end(), now.begin(), now.end());
    }
    expectEqual<size_t>(1, countOf(seen, "backend_ejected"));
    expectEqual<uint64_t>(3, sentTo(instance.packet(feed.data(101))));
    expectEqual<size_t>(0, filter<ResetFlow>(seen).size());
  }

  // Guards against healthy servers that are ejected when the routers move flows
  // between instances: only the end of each response is seen here.
  void takesNoEvidenceFromFlowsThatBeganElsewhere() {
    Instance instance = judgingInstance();
    Callers callers(instance);
    callers.requests(200);
    uint64_t judged = instance.UnderTest.stats().WholeResponses;
    for (uint16_t port = 1; port <= 20; ++port) {
      Caller moved{.Port = port, .Echo = tokenOf(BackendId{3})};
      instance.packet(moved.data(1, 5000));
      instance.pass(20ms);
      FlowPacket end = moved.ack(5000 + ErrorBytes);
      end.Finish = true;
      instance.packet(end);
    }
    expectEqual<uint64_t>(0, instance.UnderTest.stats().ShortResponses);
    expectEqual<uint64_t>(judged, instance.UnderTest.stats().WholeResponses);
  }

  // Guards against losses at each of the instances that share a failing server.
  void reportsAnEjectionToTheSharers() {
    Instance instance = judgingInstance(true, {peer(1), peer(2), peer(9, "b")});
    Callers callers(instance);
    callers.requests(200);
    std::vector<ReportHealth> reports;
    for (int n = 0; n < 60 && reports.empty(); ++n) {
      uint64_t at = callers.request();
      reports = filter<ReportHealth>(
          callers.respond(at == 3 ? ErrorBytes : WholeBytes));
    }
    expectEqual<size_t>(1, reports.size());
    expectEqual<uint64_t>(3, reports[0].Id.Value);
    expectTrue(reports[0].Change == HealthChange::Ejected, "ejected");
    expectTrue(reports[0].To == std::vector<InstanceId>{InstanceId{2}},
               "to the other instance of the zone");
  }

  // Guards against forged reports, and reports about a process that has been
  // replaced.
  void ignoresReportsOfStrangersAndOfFormerProcesses() {
    Instance instance = judgingInstance(true, {peer(1), peer(2)});
    auto report = [](uint32_t sender, uint64_t id, int64_t startedAt) {
      return BackendHealthReported{.Sender = InstanceId{sender},
                                   .Id = BackendId{id},
                                   .StartedAtMs = startedAt,
                                   .Change = HealthChange::Ejected};
    };
    instance.handle(report(77, 3, 0));
    instance.handle(report(2, 3, 1234));
    instance.handle(report(2, 99, 0));
    expectEqual<uint64_t>(3, instance.UnderTest.stats().HealthReportsIgnored);
    instance.handle(report(2, 3, 0));
    expectEqual<uint64_t>(1, instance.UnderTest.stats().HealthReportsApplied);
  }

  // Guards against refused flows while another zone has healthy servers.
  void usesAnotherZoneIfNoServerIsLeft() {
    Instance instance = judgingInstance();
    Registration other = server(20);
    other.Zone = "b";
    instance.handle(BackendsLearned{.Present = {other}});
    for (uint64_t id = 1; id <= ServerCount; ++id) {
      Registration leaving = server(id);
      leaving.Draining = true;
      instance.handle(BackendsLearned{.Present = {leaving}});
    }
    Callers callers(instance);
    expectEqual<uint64_t>(20, callers.request());
  }

  // Guards against changes for deployments that do not ask for them.
  void choosesAsBeforeWithoutTheSetting() {
    Instance instance = judgingInstance(true, {peer(1)}, {});
    Callers callers(instance);
    callers.requests(100, {3});
    const CoreStats &stats = instance.UnderTest.stats();
    expectEqual<uint64_t>(0, stats.SubsetChoices + stats.FullScans);
    expectEqual<uint64_t>(0, stats.WholeResponses + stats.ShortResponses);
  }

  // Guards against an ablation that measures nothing: with subsets off, an
  // instance of three uses all servers instead of six.
  void usesAllServersWithoutSubsets() {
    auto serversUsed = [](bool subsets) {
      Instance instance({.Zone = "a",
                         .Self = InstanceId{1},
                         .Balancing = {.OutlierDetection = true},
                         .Enabled = {.ServerSubsets = subsets}});
      std::vector<Registration> servers;
      for (uint64_t id = 1; id <= 18; ++id)
        servers.push_back(server(id));
      instance.configure(servers);
      instance.handle(RoutesLearned{routesOf(true)});
      instance.handle(InstancesLearned{{peer(1), peer(2), peer(3)}});
      return Callers(instance).requests(200).size();
    };
    expectEqual<size_t>(6, serversUsed(true));
    expectEqual<size_t>(18, serversUsed(false));
  }

  // Guards against orders that wait behind polls: with every server refusing
  // most requests, new flows of the lower priority are refused first, and never
  // a copy of an opening.
  void refusesLowPriorityUnderAShortage() {
    Instance instance = judgingInstance(
        true, {peer(1)}, {.OutlierDetection = true, .PriorityAdmission = true});
    RouteSet routes = routesOf(true);
    routes.Version = RuleVersion{3};
    routes.Routes[0].Priority = 2;
    routes.Routes[1] = routes.Routes[0];
    routes.Routes[1].Where = Papers;
    routes.Routes[1].Priority = 1;
    instance.handle(RoutesLearned{routes});
    auto orders = [&](uint16_t port, uint32_t bytes) {
      Caller order{.Port = port, .Route = Papers};
      uint64_t at = sentTo(instance.packet(order.open()));
      expectTrue(at != 0, "the higher priority is never refused");
      order.Echo = tokenOf(BackendId{at});
      instance.packet(order.data(1));
      instance.pass(10ms);
      FlowPacket end = order.ack(1 + bytes);
      end.Finish = true;
      instance.packet(end);
    };
    for (uint16_t port = 1; port <= 100; ++port)
      orders(port, WholeBytes);
    size_t refused = 0;
    for (uint16_t port = 101; port <= 500; ++port) {
      Caller poll{.Port = port};
      Actions opened = instance.packet(poll.open());
      refused += resetReason(opened) == Reason::ServiceOverloaded ? 1 : 0;
      orders(port, ErrorBytes);
    }
    expectTrue(refused > 100 && refused < 350, toText(refused));
    Caller late{.Port = 600};
    expectTrue(sentTo(instance.packet(late.open(1))) != 0,
               "a copy is forwarded");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerSelectorTest);
