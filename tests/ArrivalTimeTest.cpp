#include "edge/ArrivalTime.h"

#include "chicorybank/base/Clock.h"

#include "Story.h"
#include "UdpSamples.h"

#include <thread>

using namespace story;
using namespace samples::udp;
using namespace chicory;
using namespace chicory::edge;
using namespace std::chrono_literals;

class ArrivalTimeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ArrivalTimeTest);
  CPPUNIT_TEST(measuresHowLongADatagramWaited);
  CPPUNIT_TEST(comparesWithTheTimesOfCopies);
  CPPUNIT_TEST_SUITE_END();

  /// Sends a datagram to the socket, reads it after `time`, and returns how
  /// long it has waited.
  static std::optional<Duration> waitOfADatagram(const FileDescriptor &socket,
                                                 Duration time) {
    Socket().send(boundAddress(socket), opening(1000));
    std::this_thread::sleep_for(time);
    std::array<std::byte, 64> bytes{};
    ArrivalTimeBuffer buffer{};
    iovec vector{.iov_base = bytes.data(), .iov_len = bytes.size()};
    msghdr message{};
    message.msg_iov = &vector;
    message.msg_iovlen = 1;
    message.msg_control = buffer.Bytes;
    message.msg_controllen = sizeof(buffer.Bytes);
    expectEqual<ssize_t>(32, ::recvmsg(socket.get(), &message, 0));
    return waitingTime(message);
  }

  void measuresHowLongADatagramWaited() {
    FileDescriptor socket = std::move(*bindUdp({.Ip = Loopback, .Port = 0}));
    enableArrivalTimes(socket.get());
    // The kernel may start to record only a moment later.
    Time limit = steadyNow() + 5s;
    while (waitOfADatagram(socket, 10ms) < 10ms && steadyNow() < limit)
      continue;
    std::optional<Duration> waited = waitOfADatagram(socket, 100ms);
    expectTrue(waited && *waited >= 100ms && *waited < 5s, "0.1 s or more");
    section("the socket does not record it", [] {
      FileDescriptor other = std::move(*bindUdp({.Ip = Loopback, .Port = 0}));
      expectTrue(!waitOfADatagram(other, 100ms), "nothing is known");
    });
  }

  void comparesWithTheTimesOfCopies() {
    expectTrue(!isSuperseded(0, 149ms) && isSuperseded(0, 150ms),
               "the second copy follows after 200 ms");
    expectTrue(!isSuperseded(1, 349ms) && isSuperseded(1, 350ms),
               "the third one follows after 400 ms");
    for (uint8_t copy : {2, 3, 255})
      expectTrue(!isSuperseded(copy, 749ms) && isSuperseded(copy, 750ms),
                 "the caller gives up after 800 ms");
    expectTrue(!isSuperseded(0, -2s), "the clock was set back");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ArrivalTimeTest);
