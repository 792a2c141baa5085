// A complete daemon on the loopback interface, without peers, backend servers
// or a platform.

#include "chicorybank/daemon/Daemon.h"

#include "chicorybank/base/Socket.h"

#include "Story.h"
#include "UdpSamples.h"

#include <httplib.h>
#include <sys/socket.h>
#include <thread>

using namespace story;
using namespace samples::udp;
using namespace chicory;

namespace {

Address freeAddress() { return {.Ip = Loopback, .Port = freePort()}; }

/// Settings of a daemon whose platform does not exist.
Settings settingsWithoutPlatform() {
  Settings out;
  out.Self = {.Id = InstanceId{1},
              .Zone = "z",
              .Packets = freeAddress(),
              .Peers = freeAddress(),
              .Admin = freeAddress()};
  out.ListenPackets = out.Self.Packets;
  out.ListenPeers = out.Self.Peers;
  out.Fabric = freeAddress();
  out.PeerSecret = "a secret for tests only";
  out.Platform.Servers = {freeAddress()};
  out.Platform.SourceIp = Loopback;
  out.LogLevel = "error";
  return out;
}

/// Runs a daemon on a separate thread and stops it in the destructor.
class RunningDaemon {
public:
  RunningDaemon() : Config(settingsWithoutPlatform()), Running(Config) {
    auto started = Running.start();
    expectTrue(started.has_value(), started ? "" : started.error());
    Worker = std::thread([this] { Running.run(StopFlag); });
  }
  ~RunningDaemon() { stop(); }
  void stop() {
    StopFlag = true;
    if (Worker.joinable())
      Worker.join();
  }
  std::string get(const std::string &path) {
    httplib::Client client(formatIp(Loopback), Config.Self.Admin.Port);
    httplib::Result result = client.Get(path);
    return result ? result->body : "";
  }
  const Settings Config;

private:
  Daemon Running;
  std::atomic<bool> StopFlag = false;
  std::thread Worker;
};

} // namespace

class DaemonTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DaemonTest);
  CPPUNIT_TEST(countsInvalidDatagrams);
  CPPUNIT_TEST(stopsWithoutAPlatform);
  CPPUNIT_TEST(refusesAnAddressInUse);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a crash of the instance when it receives an invalid
  // datagram.
  void countsInvalidDatagrams() {
    RunningDaemon daemon;
    auto socket = bindUdp({.Ip = Loopback, .Port = 0});
    sockaddr_in to = toSockaddr(daemon.Config.Self.Packets);
    std::vector<QByteArray> invalid = {"", "x", QByteArray(3000, 'x'),
                                       QByteArray("\x84\x01\x02", 3),
                                       QByteArray("\x8d\x07\x01", 3)};
    for (const QByteArray &it : invalid)
      ::sendto(socket->get(), it.constData(), static_cast<size_t>(it.size()), 0,
               reinterpret_cast<sockaddr *>(&to), sizeof(to));
    std::string metrics;
    // Limits the wait if the daemon doesn't count the datagrams.
    for (int n = 0; n < 1000; ++n) {
      metrics = daemon.get("/metrics");
      if (metrics.find("reason=\"bad_version\"} 1") != std::string::npos)
        break;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    expectTrue(metrics.find("reason=\"bad_version\"} 1") != std::string::npos,
               "the datagram of another version is counted");
    expectTrue(metrics.find("reason=\"bad_packet\"} 3") != std::string::npos,
               "the three unreadable packets are counted");
    expectTrue(metrics.find("reason=\"bad_peer_message\"} 1") !=
                   std::string::npos,
               "the invalid peer message is counted");
    section("an invalid flow gets an error message", [&] {
      expectTrue(
          daemon.get("/explain?flow=nonsense").find("expected IP:port") !=
              std::string::npos,
          "it states the expected format");
    });
  }

  void stopsWithoutAPlatform() {
    RunningDaemon daemon;
    daemon.stop();
  }

  void refusesAnAddressInUse() {
    RunningDaemon first;
    Settings second = settingsWithoutPlatform();
    second.ListenPackets = first.Config.ListenPackets;
    Daemon daemon(second);
    auto started = daemon.start();
    expectTrue(!started.has_value(), "it does not start");
    expectTrue(started.error().find("bind") != std::string::npos,
               "the error names the failed call: " + started.error());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonTest);
