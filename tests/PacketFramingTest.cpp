// Tests the framing of the platform's packets against the bytes in the
// platform's published documentation.

#include "platform/PacketFraming.h"

#include "Story.h"

#include <algorithm>

using namespace story;
using namespace chicory;
using namespace chicory::token;
using chicory::edge::Framing;
using chicory::platform::PacketFraming;

namespace {

std::vector<std::byte> bytesOf(std::string_view hex) {
  std::vector<std::byte> out;
  auto digit = [](char it) { return it <= '9' ? it - '0' : it - 'a' + 10; };
  for (size_t n = 0; n + 1 < hex.size(); n += 3)
    out.push_back(
        static_cast<std::byte>(digit(hex[n]) * 16 + digit(hex[n + 1])));
  return out;
}

// An opening packet from 100.64.0.7:40001 to 198.18.0.1:443, seq 0x11223344.
constexpr std::string_view PublishedOpening =
    "c6 12 00 01 9c 41 01 bb 64 40 00 07 a1 b2 c3 d5 00 00 11 22 33 44 00 00 "
    "00 00 00 00 00 00 80 00";
constexpr std::string_view PublishedReset =
    "64 40 00 07 01 bb 9c 41 c6 12 00 01 00 00 00 00 00 00 00 00 00 00 00 00 "
    "00 00 00 00 00 00 20 00";

const FlowKey Flow{.Source = {.Ip = 0x64400007, .Port = 40001},
                   .Destination = {.Ip = 0xc6120001, .Port = 443}};

struct Buffer {
  std::array<std::byte, Framing::MaxDatagram> Data{};
  std::vector<std::byte> first(size_t n) const {
    return {Data.begin(), Data.begin() + static_cast<ptrdiff_t>(n)};
  }
};

} // namespace

class PacketFramingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PacketFramingTest);
  CPPUNIT_TEST(readsThePublishedOpening);
  CPPUNIT_TEST(writesThePublishedReset);
  CPPUNIT_TEST(forwardChangesOnlyTheToken);
  CPPUNIT_TEST(rejectsInvalidPackets);
  CPPUNIT_TEST_SUITE_END();

  void readsThePublishedOpening() {
    auto packet = PacketFraming(8172).read(bytesOf(PublishedOpening));
    expectTrue(packet.has_value(), "the packet is valid");
    expectTrue(packet->key() == Flow, "the flow is read");
    expectTrue(packet->Open && !packet->Finish && !packet->Reset,
               "only the opening flag is set");
    expectEqual<uint32_t>(0x11223344, packet->Sequence);
    expectEqual<int>(0, packet->OpenCopy);
    expectTrue(PacketFraming(8172).callerAddress(Flow) ==
                   Address{.Ip = 0x64400007, .Port = 8172},
               "callers receive on the instances' port");
  }

  void writesThePublishedReset() {
    Buffer buf;
    size_t n = PacketFraming(8172).writeReset(
        {.Flow = Flow, .Near = 0, .Why = Reason::NoMatch}, buf.Data);
    expectTrue(buf.first(n) == bytesOf(PublishedReset),
               "the reset is the same byte for byte");
    PacketFraming(8172).writeReset({.Flow = Flow, .Near = 0x01020304},
                                   buf.Data);
    expectEqual<int>(4, std::to_integer<int>(buf.Data[21]));
  }

  void forwardChangesOnlyTheToken() {
    property("forwarding changes only the token", [] {
      std::vector<std::byte> raw = bytesOf(PublishedOpening);
      auto extra = *rc::gen::inRange<size_t>(0, 1200);
      raw.resize(32 + extra, std::byte{0x5a});
      auto token = *rc::gen::arbitrary<uint32_t>();
      auto id = *rc::gen::arbitrary<uint64_t>();
      Buffer buf;
      size_t n = PacketFraming(1).writeForward(
          {.To = BackendId{id}, .Echo = Token{token}, .Raw = raw}, buf.Data);
      std::vector<std::byte> out = buf.first(n);
      RC_ASSERT(out.size() == raw.size() + 8);
      uint64_t front = 0;
      uint32_t echo = 0;
      for (size_t i = 0; i < 8; ++i)
        front = (front << 8) | std::to_integer<uint64_t>(out[i]);
      for (size_t i = 0; i < 4; ++i)
        echo = (echo << 8) | std::to_integer<uint32_t>(out[8 + 26 + i]);
      RC_ASSERT(front == id);
      RC_ASSERT(echo == token);
      std::vector<std::byte> packet(out.begin() + 8, out.end());
      std::copy_n(raw.begin() + 26, 4, packet.begin() + 26);
      RC_ASSERT(packet == raw);
    });
  }

  void rejectsInvalidPackets() {
    std::vector<std::byte> raw = bytesOf(PublishedOpening);
    raw.pop_back();
    expectTrue(!PacketFraming(1).read(raw), "too short");
    raw.resize(40);
    expectTrue(!PacketFraming(1).read(raw),
               "longer than its length field says");
    raw.assign(32 + 1201, std::byte{0});
    expectTrue(!PacketFraming(1).read(raw), "too long");
    property("reading any bytes does not crash", [] {
      auto raw = *rc::gen::container<std::vector<uint8_t>>(
          rc::gen::arbitrary<uint8_t>());
      PacketFraming(1).read(std::as_bytes(std::span(raw)));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PacketFramingTest);
