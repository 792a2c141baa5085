#include "edge/PacketWorker.h"

#include "platform/PacketFraming.h"

#include "Story.h"
#include "TokenSamples.h"
#include "UdpSamples.h"

#include <atomic>
#include <csignal>
#include <memory>
#include <pthread.h>
#include <thread>

using namespace story;
using namespace samples::udp;
using namespace chicory;
using namespace chicory::edge;
using namespace std::chrono_literals;

namespace {

std::atomic<int> StopMs = 0;

/// Keeps the thread that it interrupts from running, as a stop by signal does.
void standStill(int /*number*/) {
  timespec left{.tv_sec = StopMs / 1000,
                .tv_nsec = StopMs % 1000 * int64_t{1'000'000}};
  ::nanosleep(&left, nullptr);
}

/// A packet thread that forwards openings to one server.
class RunningWorker {
public:
  RunningWorker() : Format(1) {
    FileDescriptor packets = std::move(*bindUdp({.Ip = Loopback, .Port = 0}));
    Where = boundAddress(packets);
    token::Registration server = samples::token::server(7);
    server.Where = Server.address();
    for (const token::Event &it : std::initializer_list<token::Event>{
             token::RoutesLearned{samples::token::bothRoutes(1)},
             token::BackendsLearned{.Present = {server}},
             token::BackendsComplete{},
             token::FreshnessUpdated{.CurrentAt = steadyNow()}})
      Shared.Updates.enqueue(it);
    Worker = std::make_unique<PacketWorker>(Settings, Format,
                                            std::move(packets), Shared);
    Thread = std::thread([this] { Worker->run(); });
  }
  ~RunningWorker() {
    Shared.Stopped = true;
    Shared.PacketWakeup.wake();
    Thread.join();
  }

  void send(uint16_t port, uint32_t copy = 0) const {
    Caller.send(Where, opening(port, copy));
  }
  bool isForwarded(int timeoutMs = 1000) const {
    return Server.receive(timeoutMs).has_value();
  }
  /// Tells the packet thread that this instance is being stopped.
  void beginStop() {
    Shared.Stopping = true;
    Shared.PacketWakeup.wake();
  }
  uint64_t probes() { return Shared.stats().Core.Probes; }
  /// Stops the packet thread by a signal.
  void stopFor(std::chrono::milliseconds time) {
    StopMs = static_cast<int>(time.count());
    ::pthread_kill(Thread.native_handle(), SIGUSR1);
  }

private:
  EdgeSettings Settings{.Ip = Loopback, .Core = {.Zone = "a"}};
  platform::PacketFraming Format;
  SharedState Shared;
  Socket Server;
  Socket Caller;
  Address Where;
  std::unique_ptr<PacketWorker> Worker;
  std::thread Thread;
};

} // namespace

class PacketWorkerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PacketWorkerTest);
  CPPUNIT_TEST(dropsOpeningsThatWaitedWhileItWasStopped);
  CPPUNIT_TEST(dropsOpeningsThatWereSentAgainMeanwhile);
  CPPUNIT_TEST(judgesNoServerAfterAStopHasBegun);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    struct sigaction action {};
    action.sa_handler = standStill;
    ::sigaction(SIGUSR1, &action, nullptr);
  }

  // Guards against a flow that is open at one server while its token names
  // another: a stop by signal interrupts `epoll_wait`, so the loop makes an
  // iteration before it reads the openings that waited, and these looked fresh.
  void dropsOpeningsThatWaitedWhileItWasStopped() {
    RunningWorker it;
    it.send(1000);
    expectTrue(it.isForwarded(), "openings are forwarded");
    it.stopFor(1200ms);
    std::this_thread::sleep_for(100ms);
    // The last copy: its caller waits for 0.8 s and sends no other one.
    it.send(1001, 2);
    expectTrue(!it.isForwarded(1500), "the old opening is not forwarded");
    it.send(1002);
    expectTrue(it.isForwarded(), "later openings are");
  }

  // Guards against the same fault by a stop, or a wait for the processor, that
  // is too short to be detected as a suspension.
  void dropsOpeningsThatWereSentAgainMeanwhile() {
    RunningWorker it;
    it.send(1000);
    expectTrue(it.isForwarded(), "openings are forwarded");
    it.stopFor(400ms);
    std::this_thread::sleep_for(50ms);
    it.send(1001);
    it.send(1002, 2);
    expectTrue(it.isForwarded(), "the last copy is forwarded");
    expectTrue(!it.isForwarded(300), "the first one was sent again");
  }

  // Guards against a planned stop that goes unnoticed by the core, which then
  // takes servers for silent whose callers go on through other instances.
  void judgesNoServerAfterAStopHasBegun() {
    for (bool stopped : {false, true}) {
      RunningWorker it;
      if (stopped)
        it.beginStop();
      std::this_thread::sleep_for(50ms);
      it.send(1000);
      expectTrue(it.isForwarded(), "openings are forwarded");
      std::this_thread::sleep_for(600ms);
      expectTrue((it.probes() == 0) == stopped, "a probe without a stop only");
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PacketWorkerTest);
