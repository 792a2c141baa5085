// Tests a complete edge instance on loopback, with a registry, a backend server
// and a caller that the test simulates.

#include "chicorybank/edge/Edge.h"

#include "chicorybank/base/Socket.h"
#include "edge/RegistrySync.h"
#include "platform/PacketFraming.h"

#include "RegistrySamples.h"
#include "Story.h"
#include "UdpSamples.h"

#include <csignal>
#include <fcntl.h>
#include <httplib.h>
#include <mutex>
#include <thread>

using namespace story;
using namespace samples::registry;
using namespace samples::udp;

namespace {

/// A registry that serves HTTP from a thread of this process.
class RegistryServer {
public:
  RegistryServer() {
    Http.Get("/-/kv-range", [this](const auto &call, auto &response) {
      std::lock_guard lock(Lock);
      ItemPage page = Content.list(call.get_param_value("prefix"));
      setGenerationHeader(response);
      response.set_content(bareBody(page), "application/json");
    });
    Http.Get("/-/kv-key", [this](const auto &call, auto &response) {
      std::lock_guard lock(Lock);
      const Item *item = Content.item(call.get_param_value("key"));
      setGenerationHeader(response);
      response.status = item ? Ok : 404;
      if (item)
        response.set_content(itemAnswer(*item), "application/json");
    });
    Http.Get("/-/kv-watch", [this](const auto &call, auto &response) {
      std::lock_guard lock(Lock);
      int64_t after = std::stoll(call.get_param_value("after"));
      setGenerationHeader(response);
      response.status = Content.hasHistorySince(after) ? Ok : Gone;
      response.set_content(bareBody(Content.since(after)), "application/json");
    });
    Http.Post("/-/kv-lease", [](const auto &, auto &response) {
      response.set_content(R"({"lease":5,"ttl_ms":8000})", "application/json");
    });
    Http.Post("/-/kv-txn", [](const auto &, auto &response) {
      response.set_content(R"({"revision":1})", "application/json");
    });
    Port = Http.bind_to_any_port("127.0.0.1");
    Worker = std::thread([this] { Http.listen_after_bind(); });
    // A stop before the server runs would be lost, and the join would never
    // end.
    while (!Http.is_running())
      std::this_thread::sleep_for(1ms);
  }
  ~RegistryServer() {
    Http.stop();
    Worker.join();
  }
  template <typename Change> void change(Change apply) {
    std::lock_guard lock(Lock);
    apply(Content);
  }

  int Port = 0;

private:
  /// Sets the header with the generation of the registry.
  void setGenerationHeader(httplib::Response &response) const {
    response.set_header(Dialect.generationHeader(),
                        std::to_string(Content.generation().Value));
  }

  platform::StoreDialect Dialect;
  std::mutex Lock;
  Store Content;
  httplib::Server Http;
  std::thread Worker;
};

int readyStatus(Address ready) {
  httplib::Client client("127.0.0.1", ready.Port);
  auto response = client.Get("/-/ready");
  return response ? response->status : 0;
}

bool becomesStatus(int status, Address ready) {
  for (int n = 0; n < 200; ++n) {
    if (readyStatus(ready) == status)
      return true;
    std::this_thread::sleep_for(20ms);
  }
  return false;
}

} // namespace

class EdgeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EdgeTest);
  CPPUNIT_TEST(servesAndStops);
  CPPUNIT_TEST(startsFromAPeerWithoutTheRegistry);
  CPPUNIT_TEST(passesHealthReportsToOtherInstances);
  CPPUNIT_TEST(reportsWhyItCannotStart);
  CPPUNIT_TEST_SUITE_END();

  static EdgeSettings settingsFor(const RegistryServer &registry) {
    EdgeSettings out{.Name = "edge", .Zone = "a", .Ip = Loopback};
    out.Packets = {.Ip = Loopback, .Port = freePort()};
    out.Ready = {.Ip = Loopback, .Port = freePort()};
    out.Peers = {.Ip = Loopback, .Port = freePort()};
    out.Registry = {.Ip = Loopback,
                    .Port = static_cast<uint16_t>(registry.Port)};
    out.Core.Zone = "a";
    out.StopDelay = 300ms;
    return out;
  }

  /// Returns whether the metrics contain `line`, followed by one of the
  /// characters in `next` if there are any, within three seconds.
  static bool hasMetricsLine(const EdgeSettings &settings,
                             const std::string &line,
                             const std::string &next = "") {
    httplib::Client client("127.0.0.1", settings.Peers.Port);
    for (int n = 0; n < 150; ++n) {
      auto metrics = client.Get("/metrics");
      size_t at = metrics ? metrics->body.find(line) : std::string::npos;
      if (at != std::string::npos &&
          (next.empty() ||
           next.find(metrics->body[at + line.size()]) != std::string::npos))
        return true;
      std::this_thread::sleep_for(20ms);
    }
    return false;
  }

  void servesAndStops() {
    RegistryServer registry;
    Socket server;
    registry.change([&](Store &it) {
      it.put(
          "op/config",
          R"({"version":1,"routes":[{"host":"198.18.0.1","prefix":"/443/","service":"records"}]})");
      it.put(
          "servers/i-7",
          R"({"service":"records","address":")" +
              formatAddress(server.address()) +
              R"(","zone":"a","version":"v1","slots":2,"state":"ready","warmup_left_ms":0,"sequence":1})");
    });
    EdgeSettings settings = settingsFor(registry);
    platform::StoreDialect dialect;
    platform::PacketFraming framing(settings.Packets.Port);
    bool ended = false;
    std::thread edge([&] {
      ended =
          chicory::edge::runEdge(settings, "", dialect, framing).has_value();
    });
    expectTrue(becomesStatus(200, settings.Ready), "the instance is ready");
    Socket caller;
    section("an opening reaches the server, prefixed with the server's id",
            [&] {
              caller.send(settings.Packets, opening(1000));
              auto got = server.receive();
              expectTrue(got && got->Bytes.size() == 40, "a packet");
              expectEqual<int>(7, std::to_integer<int>(got->Bytes[7]));
              expectEqual<int>(7, std::to_integer<int>(got->Bytes[8 + 29]));
            });
    section(
        "malformed datagrams are counted and do not stop the instance", [&] {
          caller.send(settings.Packets, std::vector<std::byte>(5));
          expectTrue(hasMetricsLine(settings, "chicory_bad_packets_total 1"),
                     "the counter");
        });
    section("the configuration changes", [&] {
      registry.change([](Store &it) { it.config(2); });
      expectTrue(hasMetricsLine(settings, "chicory_rule_version 2"),
                 "version 2 within three seconds");
    });
    section("the registry is restored to an earlier state", [&] {
      Store copy;
      registry.change([&](Store &it) {
        copy = it;
        for (int n = 0; n < 20; ++n)
          it.instance("10.9.0." + std::to_string(n + 1));
      });
      // Enough time for the instance to read the changes.
      std::this_thread::sleep_for(1500ms);
      registry.change([&](Store &it) {
        it.restore(copy);
        it.config(3);
      });
      expectTrue(hasMetricsLine(settings, "chicory_rule_version 3"),
                 "a later write is in force within three seconds");
    });
    section("other instances can read its registry updates", [&] {
      httplib::Client client("127.0.0.1", settings.Peers.Port);
      auto whole = client.Get("/news");
      expectTrue(whole && decodePage(whole->body)->Items.size() == 2,
                 "a full copy");
      auto none = client.Get("/news?after=x");
      expectEqual<int>(404, none->status);
    });
    section("a planned stop ends readiness first, then the instance", [&] {
      std::raise(SIGTERM);
      expectTrue(becomesStatus(503, settings.Ready), "not ready");
      edge.join();
      expectTrue(ended, "runEdge returns without an error");
    });
  }

  // A peer at another loopback address, on the same port, announces itself with
  // pushes. The instance reads its first copy from there.
  void startsFromAPeerWithoutTheRegistry() {
    Socket server;
    Store known;
    known.put(
        "op/config",
        R"({"version":1,"routes":[{"host":"198.18.0.1","prefix":"/443/","service":"records"}]})");
    known.put(
        "servers/i-7",
        R"({"service":"records","address":")" +
            formatAddress(server.address()) +
            R"(","zone":"a","version":"v1","slots":2,"state":"ready","warmup_left_ms":0,"sequence":1})");
    platform::StoreDialect dialect;
    httplib::Server peer;
    peer.Get("/news", [&](const auto &, auto &response) {
      response.set_content(encodePage(known.list()),
                           "application/octet-stream");
    });
    int port = peer.bind_to_any_port("127.0.0.2");
    std::thread peerThread([&] { peer.listen_after_bind(); });
    while (!peer.is_running())
      std::this_thread::sleep_for(1ms);

    EdgeSettings settings;
    {
      RegistryServer gone;
      settings = settingsFor(gone);
    }
    settings.Peers.Port = static_cast<uint16_t>(port);
    platform::PacketFraming framing(settings.Packets.Port);
    bool ended = false;
    std::thread edge([&] {
      ended =
          chicory::edge::runEdge(settings, "", dialect, framing).has_value();
    });
    Socket peerSocket;
    UpdatePush push{.Sender = InstanceId{Loopback + 1}};
    push.Page.At = known.position();
    std::string bytes = encodePush(push);
    const auto *raw = reinterpret_cast<const std::byte *>(bytes.data());
    bool ready = false;
    for (int n = 0; n < 50 && !ready; ++n) {
      peerSocket.send(settings.Peers, {raw, raw + bytes.size()});
      std::this_thread::sleep_for(50ms);
      ready = readyStatus(settings.Ready) == 200;
    }
    Socket caller;
    caller.send(settings.Packets, opening(1000));
    bool served = server.receive().has_value();
    std::raise(SIGTERM);
    edge.join();
    peer.stop();
    peerThread.join();
    expectTrue(ended, "runEdge returns without an error");
    expectTrue(ready, "the instance is ready");
    expectTrue(served, "an opening reaches the server");
  }

  // Guards against instances that each lose requests at a server that another
  // one has ejected: the report of the control thread of one instance, at
  // another loopback address, must reach the packet thread of a running one.
  void passesHealthReportsToOtherInstances() {
    constexpr int64_t StartedAtMs = 1'796'256'000'123;
    RegistryServer registry;
    registry.change([&](Store &it) {
      it.put(
          "op/config",
          R"({"version":1,"routes":[{"host":"198.18.0.1","prefix":"/443/","service":"records"}]})");
      it.put(
          "servers/i-7",
          R"({"service":"records","address":"127.0.0.9:1","zone":"a","version":"v1","slots":2,"state":"ready","warmup_left_ms":0,"sequence":1,"born":1796256000123})");
      it.instance("127.0.0.2");
    });
    EdgeSettings settings = settingsFor(registry);
    settings.Core.Balancing.OutlierDetection = true;
    platform::StoreDialect dialect;
    platform::PacketFraming framing(settings.Packets.Port);
    std::thread edge(
        [&] { (void)chicory::edge::runEdge(settings, "", dialect, framing); });
    bool isReady = becomesStatus(200, settings.Ready);

    EdgeSettings senderSettings = settings;
    senderSettings.Ip = Loopback + 1;
    senderSettings.Peers.Ip = Loopback + 1;
    EventLoop events;
    FileDescriptor noLog(::open("/dev/null", O_WRONLY));
    Log log(noLog.get(), "sender");
    SharedState shared;
    RegistrySync sender(events, log, senderSettings, dialect,
                        std::move(*bindUdp(senderSettings.Peers)), shared);
    auto report = [&](int64_t startedAtMs) {
      shared.HealthReports.try_enqueue({.Id = token::BackendId{7},
                                        .StartedAtMs = startedAtMs,
                                        .Change = token::HealthChange::Ejected,
                                        .To = {InstanceId{Loopback}}});
      sender.run(steadyNow());
    };
    auto has = [&](const std::string &line, const std::string &next = "\n") {
      return hasMetricsLine(settings, "chicory_health_reports_" + line, next);
    };
    report(StartedAtMs + 1);
    bool isChecked = has("received_total 1") &&
                     has("dropped_total{reason=\"not_applicable\"} 1");
    // The receiver may be ready before it has the list of instances.
    auto applied = [&] {
      report(StartedAtMs);
      httplib::Client client("127.0.0.1", settings.Peers.Port);
      auto metrics = client.Get("/metrics");
      return metrics &&
             metrics->body.find("chicory_health_reports_applied_total 0\n") ==
                 std::string::npos;
    };
    bool isApplied = false;
    for (int n = 0; n < 50 && !isApplied; ++n) {
      isApplied = applied();
      std::this_thread::sleep_for(100ms);
    }
    for (size_t n = 0; n < 4 * HealthReportLimiter::MaxReports; ++n) {
      report(StartedAtMs);
      // Leaves the receiver time to empty its socket.
      std::this_thread::sleep_for(50us);
    }
    const std::string dropped = "dropped_total{reason=\"over_limit\"} ";
    bool isLimited = has(dropped, "123456789");
    std::raise(SIGTERM);
    edge.join();
    expectTrue(isReady, "the instance is ready");
    expectTrue(isChecked, "a report about another run of the server is not");
    expectTrue(isApplied, "a report is applied");
    expectTrue(isLimited, "a flood is limited");
  }

  void reportsWhyItCannotStart() {
    RegistryServer registry;
    EdgeSettings settings = settingsFor(registry);
    Socket peerSocket;
    settings.Packets = peerSocket.address();
    platform::StoreDialect dialect;
    platform::PacketFraming framing(1);
    auto done = chicory::edge::runEdge(settings, "", dialect, framing);
    expectTrue(!done && done.error().find("bind") != std::string::npos,
               "the address is taken");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EdgeTest);
