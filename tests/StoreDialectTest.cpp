// Tests the dialect of the platform's store against the messages in the
// platform's published documentation.

#include "platform/StoreDialect.h"

#include "chicorybank/base/Hash.h"

#include "Story.h"

using namespace story;
using namespace chicory;
using namespace chicory::edge;
using namespace std::chrono_literals;
using chicory::platform::StoreDialect;

namespace {

const StoreDialect Dialect;

constexpr const char *Config =
    R"({"version":7,"routes":[
{"name":"r-a","host":"198.18.0.1","prefix":"/8443/","type":"safe","timeout_ms":2500,"aim_ms":150,"priority":2,"backends":[{"service":"huvo11a","weight":90},{"service":"wuno96b","weight":10}],"max_attempts":2},
{"name":"r-b","host":"198.18.0.2","prefix":"/8443/","type":"download","timeout_ms":8000,"aim_ms":500,"priority":2,"service":"wuno96b","max_attempts":2}],
"services":[],"limits":{"idle_timeout_ms":15000}})";
constexpr const char *Server =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"gikondo","version":"v1","slots":2,"state":"ready","warmup_left_ms":700,"sequence":4})";

ItemContent read(const std::string &key, const std::string &value,
                 Findings &findings) {
  return Dialect.translate({.Key = key, .Value = value}, findings);
}

std::string findingsOf(const std::string &key, const std::string &value) {
  Findings findings;
  read(key, value, findings);
  return findings.text();
}

} // namespace

class StoreDialectTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreDialectTest);
  CPPUNIT_TEST(readsTheConfiguration);
  CPPUNIT_TEST(reportsARouteThatNeverMatches);
  CPPUNIT_TEST(leavesOutAnUnreadableRoute);
  CPPUNIT_TEST(readsPriorityAndTimesOfARoute);
  CPPUNIT_TEST(readsWarmUpLimits);
  CPPUNIT_TEST(readsARegistration);
  CPPUNIT_TEST(reportsFaultsWithTheirPath);
  CPPUNIT_TEST(readsWhenAServerStarted);
  CPPUNIT_TEST(reportsUnreadableRegistrations);
  CPPUNIT_TEST(readsDrainedZones);
  CPPUNIT_TEST(roundTripsRouteHistory);
  CPPUNIT_TEST(parsesListsAndWatchEvents);
  CPPUNIT_TEST(roundTripsPages);
  CPPUNIT_TEST(translatesAnyValueWithoutCrash);
  CPPUNIT_TEST(buildsRegistryCalls);
  CPPUNIT_TEST(readsTheGeneration);
  CPPUNIT_TEST(keepsServicesWithOneShortIdApart);
  CPPUNIT_TEST_SUITE_END();

  void readsTheGeneration() {
    expectTrue(Dialect.parseGeneration("3") == edge::Generation{3}, "a number");
    for (const char *text : {"", "x", "-1", "3 ", "99999999999999999999"})
      expectTrue(!Dialect.parseGeneration(text), text);
  }

  static token::Route readRouteOfType(const std::string &type) {
    std::string text = Config;
    text.replace(text.find("\"safe\""), 6, '"' + type + '"');
    Findings findings;
    ItemContent content = read("op/config", text, findings);
    return std::get<token::RouteSet>(content).Routes[0];
  }

  // Guards against flows that reach a server of another service, because the
  // names of both have one hash of 32 bits.
  void keepsServicesWithOneShortIdApart() {
    Findings findings;
    ItemContent config = read("op/config",
                              R"({"version":1,"routes":[
{"name":"a","host":"198.18.0.1","prefix":"/443/","type":"safe","service":"moci18a"},
{"name":"b","host":"198.18.0.1","prefix":"/8443/","type":"safe","service":"jawe17b"}]})",
                              findings);
    const auto &routes = std::get<token::RouteSet>(config).Routes;
    std::string other = Server;
    other.replace(other.find("huvo11a"), 7, "jawe17b");
    ItemContent server = read("servers/i-7f3a", other, findings);
    ServiceId service = std::get<token::Registration>(server).Service;
    expectTrue(service == routes[1].Services[0].Service, "its own route");
    expectTrue(service != routes[0].Services[0].Service, "not the other one");
    expectEqual<std::string>("", findings.text());
  }

  void readsTheConfiguration() {
    Findings findings;
    ItemContent content = read("op/config", Config, findings);
    expectEqual<std::string>("", findings.text());
    const auto &routes = std::get<token::RouteSet>(content);
    expectTrue(routes.Version == RuleVersion{7}, "version 7");
    expectTrue(routes.IdleTimeout == 15s, "idle for 15 s");
    expectEqual<size_t>(2, routes.Routes.size());
    const token::Route &split = routes.Routes[0];
    expectTrue(split.Where == Address{.Ip = 0xc6120001, .Port = 8443},
               "its address and port");
    expectEqual<size_t>(2, split.Services.size());
    expectTrue(split.Services[1].Service == serviceIdOf("wuno96b"), "a name");
    expectEqual<uint32_t>(10, split.Services[1].Weight);
    expectTrue(split.Idempotent, "its requests may be retried");
    expectTrue(!readRouteOfType("unsafe").Idempotent,
               "requests of an unsafe route may not");
    expectTrue(!readRouteOfType("").Idempotent,
               "requests of a route of unknown type may not");
  }

  void reportsARouteThatNeverMatches() {
    std::string text = Config;
    text.replace(text.find("198.18.0.2"), 10, "198.18.0.1");
    Findings findings;
    platform::StoreDialect().checkConfiguration(text, findings);
    expectEqual<std::string>("op/config.routes[1]: never matches: an earlier "
                             "route has its address\n",
                             findings.text());
  }

  // If one unreadable route made the whole configuration invalid, no service
  // could be reached.
  void leavesOutAnUnreadableRoute() {
    std::string text = Config;
    text.replace(text.find("198.18.0.1"), 10, "198.18.0.x");
    Findings findings;
    ItemContent content = read("op/config", text, findings);
    expectEqual<size_t>(1, std::get<token::RouteSet>(content).Routes.size());
    expectEqual<std::string>(
        "op/config.routes[0]: host: expected an IPv4 address\n",
        findings.text());
  }

  // Guards against a route that is out of service, or an overflow of its times,
  // because of a wrong value that only some decisions need.
  void readsPriorityAndTimesOfARoute() {
    const token::Route defaults;
    auto routeWith = [](const std::string &from, const std::string &to,
                        Findings &findings) {
      std::string text = Config;
      text.replace(text.find(from), from.size(), to);
      ItemContent content = read("op/config", text, findings);
      const auto &routes = std::get<token::RouteSet>(content).Routes;
      expectEqual<size_t>(2, routes.size());
      return routes[0];
    };
    Findings none;
    token::Route route = routeWith("r-a", "r-a", none);
    expectEqual<uint32_t>(2, route.Priority);
    expectTrue(route.Objective == 150ms && route.Timeout == 2500ms, "times");
    route =
        routeWith(R"("timeout_ms":2500,"aim_ms":150,"priority":2,)", "", none);
    expectEqual<uint32_t>(0, route.Priority);
    expectTrue(route.Objective == defaults.Objective &&
                   route.Timeout == defaults.Timeout,
               "the defaults of absent ones");
    route = routeWith(R"("priority":2)", R"("priority":1000)", none);
    expectEqual<uint32_t>(255, route.Priority);
    expectEqual<std::string>("", none.text());
    for (const char *wrong :
         {R"("2")", "-1", "true", "[]", "1e300", "9223372036854775808"}) {
      Findings findings;
      route = routeWith(R"("priority":2)",
                        std::string(R"("priority":)") + wrong, findings);
      expectEqual<uint32_t>(0, route.Priority);
      expectTrue(findings.text().starts_with("op/config.routes[0]: priority: "),
                 wrong);
    }
    for (const char *wrong : {R"("150")", "-1", "0", "0.5", "false", "1e300"})
      for (std::string name : {"aim_ms", "timeout_ms"}) {
        Findings findings;
        std::string key = '"' + name + "\":";
        std::string value = name == "aim_ms" ? "150" : "2500";
        route = routeWith(key + value, key + wrong, findings);
        expectTrue(name == "aim_ms" ? route.Objective == defaults.Objective
                                    : route.Timeout == defaults.Timeout,
                   "the default instead of " + key + wrong);
        expectTrue(
            findings.text().starts_with("op/config.routes[0]: " + name + ": "),
            key + wrong);
      }
    Findings findings;
    route = routeWith(R"("aim_ms":150)", R"("aim_ms":9223372036854775807)",
                      findings);
    expectTrue(route.Objective > 1h, "no overflow");
  }

  void readsWarmUpLimits() {
    auto warmUpsOf = [](const std::string &services, Findings &findings) {
      ItemContent content = read(
          "op/config",
          R"({"version":7,"routes":[],"services":)" + services + "}", findings);
      return std::get<token::RouteSet>(content).WarmUps;
    };
    Findings none;
    auto out = warmUpsOf(
        R"([{"name":"a","warmup_s":2.5,"warmup_per_s":0.5},{"name":"b"}])",
        none);
    expectTrue(none.empty(), none.text());
    expectTrue(out.size() == 2 &&
                   out[0] == token::ServiceWarmUp{.Service = serviceIdOf("a"),
                                                  .Lasts = 2500ms,
                                                  .FlowsPerSecond = 0.5},
               "the warm-up limit");
    expectTrue(out[1].FlowsPerSecond == 0, "no limit if none is given");
    section("an unreadable service does not affect the others", [&] {
      Findings findings;
      auto rest =
          warmUpsOf(R"([7,{"name":"a","warmup_s":"x","warmup_per_s":-1},)"
                    R"({"name":"b","warmup_s":1e300,"warmup_per_s":3}])",
                    findings);
      expectEqual<size_t>(3, findings.items().size());
      expectTrue(rest.back().FlowsPerSecond == 3 && rest.back().Lasts == 1h,
                 "the limit of the readable service");
    });
  }

  void readsARegistration() {
    Findings findings;
    ItemContent content = read("servers/i-7f3a91c2", Server, findings);
    const auto &server = std::get<token::Registration>(content);
    expectEqual<uint64_t>(0x7f3a91c2, server.Id.Value);
    expectTrue(server.Where == Address{.Ip = 0x0a800009, .Port = 8080},
               "its address");
    expectTrue(!server.Draining, "ready");
    expectEqual<uint32_t>(2, server.Slots);
    expectTrue(server.WarmUpLeft == 700ms, "remaining warm-up time");
    section("the remaining warm-up time changes no other field", [&] {
      Findings none;
      ItemContent warmer =
          read("servers/i-7f3a91c2", changed("700", "100"), none);
      auto later = std::get<token::Registration>(warmer);
      expectTrue(later.WarmUpLeft == 100ms, "the remaining time is lower");
      later.WarmUpLeft = 700ms;
      expectTrue(later == server, "all other fields are the same");
    });
    section("a draining server", [] {
      std::string text = Server;
      text.replace(text.find("ready"), 5, "draining");
      Findings none;
      ItemContent leaving = read("servers/i-7f3a91c2", text, none);
      expectTrue(std::get<token::Registration>(leaving).Draining, "draining");
    });
    section("a deleted registration", [] {
      Findings none;
      ItemContent ended = Dialect.translate(
          {.Key = "servers/i-7f3a91c2", .Deleted = true}, none);
      expectEqual<uint64_t>(0x7f3a91c2,
                            std::get<RegistrationEnded>(ended).Id.Value);
    });
  }

  /// Returns the sample with one text replaced by another.
  static std::string changed(const std::string &from, const std::string &to) {
    std::string out = Server;
    return out.replace(out.find(from), from.size(), to);
  }

  void readsWhenAServerStarted() {
    auto startTimeIn = [](const std::string &text) {
      Findings findings;
      ItemContent content = read("servers/i-1", text, findings);
      const auto *server = std::get_if<token::Registration>(&content);
      return server ? server->StartedAtMs : -1;
    };
    expectEqual<int64_t>(0, startTimeIn(Server));
    expectEqual<int64_t>(
        1796256000123, startTimeIn(changed("}", R"(,"born":1796256000123})")));
    section("an invalid start time makes it unreadable", [&] {
      for (const char *born : {"1.5", "-1", "0", "\"1796256000123\"", "null",
                               "[]", "1e30", "99999999999999999999"})
        expectEqual<int64_t>(
            -1,
            startTimeIn(changed("}", std::string(",\"born\":") + born + "}")));
    });
  }

  // Another writer may put anything under a server's key. If the readable parts
  // of such an entry were used, flows would go to an address that no server
  // registered, or the instance would crash.
  void reportsUnreadableRegistrations() {
    const std::vector<std::string> entries = {
        "",
        "{",
        "[]",
        "null",
        "\xff\xfe",
        std::string(100'000, '['),
        R"({"a":)" + std::string(100'000, '{'),
        "{}",
        changed("\"service\":\"huvo11a\",", ""),
        changed("\"huvo11a\"", "7"),
        changed("10.128.0.9:8080", "10.128.0.9:99999"),
        changed("10.128.0.9:8080", "[::1]:80"),
        changed("\"zone\":\"gikondo\",", ""),
        changed("\"ready\"", "\"gone\""),
        changed("\"ready\"", "true"),
        changed("\"slots\":2,", ""),
        changed("\"slots\":2", "\"slots\":0"),
        changed("\"slots\":2", "\"slots\":2.5"),
        changed("\"slots\":2", "\"slots\":\"2\""),
        changed("700", "-700"),
        changed("\"version\":\"v1\",", ""),
        changed("\"v1\"", "1"),
        changed("\"warmup_left_ms\":700,", ""),
        changed(",\"sequence\":4", ""),
        changed("\"sequence\":4", "\"sequence\":null"),
        changed("700", "\"soon\"")};
    for (const std::string &it : entries) {
      Findings findings;
      ItemContent content = read("servers/i-7f", it, findings);
      const auto *bad = std::get_if<RegistrationUnreadable>(&content);
      section(it.substr(0, 80), [&] {
        expectTrue(bad && bad->Id.Value == 0x7f,
                   "the registration is unreadable");
        expectTrue(findings.text().starts_with("servers/i-7f: "),
                   "the finding has its path");
      });
    }
    section("an id with more digits than a packet has room for", [] {
      Findings findings;
      ItemContent content = read("servers/0123456789abcdef0", Server, findings);
      expectTrue(std::holds_alternative<std::monostate>(content),
                 "names no server");
    });
  }

  void readsDrainedZones() {
    auto drainOf = [](const Item &item, Findings &findings) {
      ItemContent content = Dialect.translate(item, findings);
      const auto *out = std::get_if<ZoneDrain>(&content);
      return out ? *out : ZoneDrain{.Zone = "none"};
    };
    Findings none;
    expectTrue(drainOf({.Key = "op/evacuate/hall-a", .Value = "{}"}, none) ==
                   ZoneDrain{.Zone = "hall-a", .Active = true},
               "the drain is ordered");
    expectTrue(drainOf({.Key = "op/evacuate/hall-a", .Deleted = true}, none) ==
                   ZoneDrain{.Zone = "hall-a", .Active = false},
               "the drain has ended");
    expectTrue(none.empty(), none.text());
    section("an unreadable value is reported and the zone still drains", [&] {
      Findings findings;
      expectTrue(
          drainOf({.Key = "op/evacuate/hall-a", .Value = "["}, findings).Active,
          "drained");
      expectTrue(findings.text().starts_with("op/evacuate/hall-a: "),
                 "the finding has its path");
    });
    section("a key without a zone drains none", [&] {
      Findings findings;
      expectEqual<std::string>(
          "none",
          drainOf({.Key = "op/evacuate/", .Value = "{}"}, findings).Zone);
      expectTrue(!findings.empty(), "it is reported");
    });
  }

  void roundTripsRouteHistory() {
    const Address feed{.Ip = 0xc6120001, .Port = 443};
    RouteHistoryPart record{
        .Part = 3,
        .Pairs = {{feed, ServiceId{7}}, {feed, ServiceId{9}}},
        .At = {.Revision = 12}};
    expectEqual<std::string>(
        R"({"expect":[{"key":"chicorybank/routes/3","revision":12}],)"
        R"("puts":[{"key":"chicorybank/routes/3",)"
        R"("value":"eyIxOTguMTguMC4xOjQ0MyI6WzcsOV19","lease":0}],"remove":[]})",
        Dialect.writeRouteHistory({record}).Body);
    Findings findings;
    ItemContent content =
        Dialect.translate({.Key = "chicorybank/routes/3",
                           .Value = R"({"198.18.0.1:443":[7,9]})",
                           .At = {.Revision = 12}},
                          findings);
    expectTrue(std::get<RouteHistoryPart>(content) == record,
               "the part is the same");
    section("unreadable entries are left out and reported", [] {
      Findings faults;
      ItemContent rest = Dialect.translate(
          {.Key = "chicorybank/routes/3",
           .Value = R"({"x":[1],"198.18.0.1:443":[7,-1,"9",1e30]})"},
          faults);
      expectEqual<size_t>(1, std::get<RouteHistoryPart>(rest).Pairs.size());
      expectEqual<std::string>("chicorybank/routes/3: expected a list of "
                               "services for each IP:port\n",
                               faults.text());
      expectEqual<std::string>("chicorybank/routes/16: is not a part of the "
                               "route history\n",
                               findingsOf("chicorybank/routes/16", "{}"));
    });
  }

  void reportsFaultsWithTheirPath() {
    expectEqual<std::string>("op/config: is not a JSON object\n",
                             findingsOf("op/config", "{"));
    expectEqual<std::string>("op/config: version: expected a positive number\n",
                             findingsOf("op/config", "{}"));
    expectEqual<std::string>("servers/x: has no id of up to 16 hex digits\n",
                             findingsOf("servers/x", Server));
    std::string text = Server;
    text.replace(text.find(":8080"), 5, "");
    expectEqual<std::string>("servers/i-1: address: expected IP:port\n",
                             findingsOf("servers/i-1", text));
    text = Server;
    text.replace(text.find("ready"), 5, "asleep");
    expectEqual<std::string>("servers/i-1: state: expected ready or draining\n",
                             findingsOf("servers/i-1", text));
  }

  void parsesListsAndWatchEvents() {
    auto page = Dialect.parsePage(
        R"({"events":[{"key":"my/leader","value":"bm9kZS0x","revision":412,"created":410,"lease":77120},{"key":"my/old","revision":413,"deleted":true}],"store_revision":413})");
    expectTrue(page.has_value(), "it can be read");
    expectEqual<int64_t>(413, page->At.Revision);
    expectEqual<std::string>("node-1", page->Items[0].Value);
    expectEqual<int64_t>(410, page->Items[0].Created);
    expectTrue(page->Items[1].Deleted, "the second is deleted");
    auto list = Dialect.parsePage(
        R"({"items":[],"has_more":true,"store_revision":530})");
    expectTrue(list && list->More && list->At.Revision == 530,
               "more pages follow");
    expectTrue(!Dialect.parsePage("{\"items\":[{}]}"), "an item without a key");
    expectTrue(!Dialect.parsePage("<html>"), "not JSON");
  }

  void roundTripsPages() {
    ItemPage page{.Items = {{.Key = "servers/i-1",
                             .Value = std::string("a\0\xff\n", 4),
                             .At = {.Revision = 5},
                             .Created = 3},
                            {.Key = "servers/i-2",
                             .At = {.Revision = 6},
                             .Deleted = true}},
                  .At = {.Revision = 9}};
    auto again = Dialect.parsePage(Dialect.serializePage(page));
    expectTrue(again && again->Items == page.Items && again->At.Revision == 9,
               "the same items");
  }

  void translatesAnyValueWithoutCrash() {
    property("translating any value of any key does not crash", [] {
      std::string key = *rc::gen::element<std::string>(
          "op/config", "servers/i-1", "chicorybank/instances/10.0.0.1");
      std::string value = *rc::gen::arbitrary<std::string>();
      Findings findings;
      Dialect.translate({.Key = key, .Value = value}, findings);
      std::string cut = std::string(Config).substr(
          0, *rc::gen::inRange<size_t>(0, std::string(Config).size()));
      Dialect.translate({.Key = key, .Value = cut}, findings);
    });
  }

  void buildsRegistryCalls() {
    expectEqual<std::string>("/-/kv-range?prefix=",
                             Dialect.list("", edge::Freshness::Current).Target);
    expectEqual<std::string>(
        "/-/kv-range?prefix=&after=op/a%20b",
        Dialect.list("op/a b", edge::Freshness::Current).Target);
    expectEqual<std::string>("/-/kv-watch?prefix=&after=411&wait_ms=1000",
                             Dialect.watch(411, 1s).Target);
    expectEqual<std::string>("{\"ttl_ms\":8000}", Dialect.createLease(8s).Body);
    expectEqual<std::string>("/-/kv-keep/77120",
                             Dialect.renewLease(77120).Target);
    expectTrue(Dialect.parseLease(R"({"lease":77120,"ttl_ms":3000})") == 77120,
               "a lease");
    RegistryCall call = Dialect.writeInstanceRecord(
        {.Id = InstanceId{0x0a000001},
         .Zone = "a",
         .PeerAddress = {.Ip = 0x0a000001, .Port = 7720}},
        5);
    expectTrue(call.Body.find("chicorybank/instances/10.0.0.1") !=
                   std::string::npos,
               "its own key");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreDialectTest);
