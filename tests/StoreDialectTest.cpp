// The platform's store, against the messages that its pages publish.

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

News read(const std::string &key, const std::string &value,
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
  CPPUNIT_TEST(leavesOutARouteThatIsWrong);
  CPPUNIT_TEST(readsARegistration);
  CPPUNIT_TEST(reportsFaultsWithTheirPlace);
  CPPUNIT_TEST(readsListsAndChanges);
  CPPUNIT_TEST(passesOnWhatItRead);
  CPPUNIT_TEST(survivesAnyValue);
  CPPUNIT_TEST(writesItsCalls);
  CPPUNIT_TEST_SUITE_END();

  static token::Route readRouteOfType(const std::string &type) {
    std::string text = Config;
    text.replace(text.find("\"safe\""), 6, '"' + type + '"');
    Findings findings;
    News news = read("op/config", text, findings);
    return std::get<token::RouteSet>(news).Routes[0];
  }

  void readsTheConfiguration() {
    Findings findings;
    News news = read("op/config", Config, findings);
    expectEqual<std::string>("", findings.text());
    const auto &routes = std::get<token::RouteSet>(news);
    expectTrue(routes.Version == RuleVersion{7}, "version 7");
    expectTrue(routes.IdleTimeout == 15s, "idle for 15 s");
    expectEqual<size_t>(2, routes.Routes.size());
    const token::Route &split = routes.Routes[0];
    expectTrue(split.Where == Address{.Ip = 0xc6120001, .Port = 8443},
               "its address and port");
    expectEqual<size_t>(2, split.Services.size());
    expectTrue(split.Services[1].Service == serviceIdOf("wuno96b"), "a name");
    expectEqual<uint32_t>(10, split.Services[1].Weight);
    expectTrue(split.Idempotent, "its requests may be repeated");
    expectTrue(!readRouteOfType("unsafe").Idempotent, "these may not");
    expectTrue(!readRouteOfType("").Idempotent, "nor may unknown ones");
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

  // Symptom: one odd route, and no service is reached any more.
  // Sequence: a configuration comes with a route that can't be read.
  // Cause: the whole configuration refused for one part.
  void leavesOutARouteThatIsWrong() {
    std::string text = Config;
    text.replace(text.find("198.18.0.1"), 10, "198.18.0.x");
    Findings findings;
    News news = read("op/config", text, findings);
    expectEqual<size_t>(1, std::get<token::RouteSet>(news).Routes.size());
    expectEqual<std::string>(
        "op/config.routes[0]: host: expected an IPv4 address\n",
        findings.text());
  }

  void readsARegistration() {
    Findings findings;
    News news = read("servers/i-7f3a91c2", Server, findings);
    const auto &server = std::get<token::Registration>(news);
    expectEqual<uint64_t>(0x7f3a91c2, server.Id.Value);
    expectTrue(server.Where == Address{.Ip = 0x0a800009, .Port = 8080},
               "its address");
    expectTrue(!server.Draining, "ready");
    expectEqual<uint32_t>(2, server.Slots);
    expectTrue(server.WarmUpLeft == 700ms, "warm in 0.7 s");
    section("it drains", [] {
      std::string text = Server;
      text.replace(text.find("ready"), 5, "draining");
      Findings none;
      News leaving = read("servers/i-7f3a91c2", text, none);
      expectTrue(std::get<token::Registration>(leaving).Draining, "draining");
    });
    section("it has ended", [] {
      Findings none;
      News ended = Dialect.translate(
          {.Key = "servers/i-7f3a91c2", .Deleted = true}, none);
      expectEqual<uint64_t>(0x7f3a91c2,
                            std::get<RegistrationEnded>(ended).Id.Value);
    });
  }

  void reportsFaultsWithTheirPlace() {
    expectEqual<std::string>("op/config: is no JSON object\n",
                             findingsOf("op/config", "{"));
    expectEqual<std::string>("op/config: version: expected a positive number\n",
                             findingsOf("op/config", "{}"));
    expectEqual<std::string>("servers/x: has no id in hex digits\n",
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

  void readsListsAndChanges() {
    auto page = Dialect.readPage(
        R"({"events":[{"key":"my/leader","value":"bm9kZS0x","revision":412,"created":410,"lease":77120},{"key":"my/old","revision":413,"deleted":true}],"store_revision":413})");
    expectTrue(page.has_value(), "it can be read");
    expectEqual<int64_t>(413, page->Revision);
    expectEqual<std::string>("node-1", page->Items[0].Value);
    expectEqual<int64_t>(410, page->Items[0].Created);
    expectTrue(page->Items[1].Deleted, "the second has ended");
    auto list = Dialect.readPage(
        R"({"items":[],"has_more":true,"store_revision":530})");
    expectTrue(list && list->More && list->Revision == 530, "a page of many");
    expectTrue(!Dialect.readPage("{\"items\":[{}]}"), "an item without a key");
    expectTrue(!Dialect.readPage("<html>"), "no JSON");
  }

  void passesOnWhatItRead() {
    ItemPage page{
        .Items = {{.Key = "servers/i-1",
                   .Value = std::string("a\0\xff\n", 4),
                   .Revision = 5,
                   .Created = 3},
                  {.Key = "servers/i-2", .Revision = 6, .Deleted = true}},
        .Revision = 9};
    auto again = Dialect.readPage(Dialect.writePage(page));
    expectTrue(again && again->Items == page.Items && again->Revision == 9,
               "the same items");
  }

  void survivesAnyValue() {
    property("any value of any key is read or reported", [] {
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

  void writesItsCalls() {
    expectEqual<std::string>("/-/kv-range?prefix=", Dialect.list("").Target);
    expectEqual<std::string>("/-/kv-range?prefix=&after=op/a%20b",
                             Dialect.list("op/a b").Target);
    expectEqual<std::string>("/-/kv-watch?prefix=&after=411&wait_ms=1000",
                             Dialect.watch(411, 1s).Target);
    expectEqual<std::string>("{\"ttl_ms\":8000}", Dialect.createLease(8s).Body);
    expectEqual<std::string>("/-/kv-keep/77120",
                             Dialect.renewLease(77120).Target);
    expectTrue(Dialect.readLease(R"({"lease":77120,"ttl_ms":3000})") == 77120,
               "a lease");
    RegistryCall call =
        Dialect.announce({.Id = InstanceId{0x0a000001},
                          .Zone = "a",
                          .Peers = {.Ip = 0x0a000001, .Port = 7720}},
                         5);
    expectTrue(call.Body.find("chicorybank/instances/10.0.0.1") !=
                   std::string::npos,
               "its own key");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreDialectTest);
