#include "edge/ArrivalTime.h"

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

  static std::optional<Duration> waitOfADatagram(bool enabled) {
    FileDescriptor socket = std::move(*bindUdp({.Ip = Loopback, .Port = 0}));
    if (enabled)
      enableArrivalTimes(socket.get());
    Socket().send(boundAddress(socket), opening(1000));
    std::this_thread::sleep_for(100ms);
    std::array<std::byte, 64> bytes{};
    ArrivalTimeBuffer time{};
    iovec vector{.iov_base = bytes.data(), .iov_len = bytes.size()};
    msghdr message{};
    message.msg_iov = &vector;
    message.msg_iovlen = 1;
    message.msg_control = time.Bytes;
    message.msg_controllen = sizeof(time.Bytes);
    expectEqual<ssize_t>(32, ::recvmsg(socket.get(), &message, 0));
    return waitingTime(message);
  }

  void measuresHowLongADatagramWaited() {
    std::optional<Duration> waited = waitOfADatagram(true);
    expectTrue(waited && *waited >= 100ms && *waited < 5s, "0.1 s or more");
    section("the socket does not record it",
            [] { expectTrue(!waitOfADatagram(false), "nothing is known"); });
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
