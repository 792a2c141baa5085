#include "chicorybank/packet/Packet.h"

#include "Samples.h"
#include "Story.h"

using namespace story;
using chicory::Packet;
using chicory::PacketKind;
using chicory::Reason;

class PacketTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PacketTest);
  CPPUNIT_TEST(decodesEncodedPackets);
  CPPUNIT_TEST(refusesMalformedDatagrams);
  CPPUNIT_TEST(doesNotCrashOnArbitraryBytes);
  CPPUNIT_TEST_SUITE_END();

  static Packet sample() {
    return {.Kind = PacketKind::Answer,
            .ToCaller = true,
            .Flow = samples::flow(3),
            .Origin = samples::target(1),
            .Request = chicory::RequestId{UINT64_MAX},
            .Idempotent = true,
            .Last = true,
            .Part = 7,
            .DeadlineMs = 1'700'000'000'000,
            .Outcome = chicory::RefusedOutcome::Unknown,
            .Why = Reason::QueueFull,
            .RetryAfterMs = 250,
            .Draining = true,
            .Payload = "payload"};
  }

  void decodesEncodedPackets() {
    Packet packet = sample();
    auto read = chicory::decodePacket(encodePacket(packet));
    expectTrue(read.has_value(), "the packet is decoded");
    expectTrue(read->Kind == packet.Kind && read->ToCaller &&
                   read->Flow == packet.Flow && read->Origin == packet.Origin &&
                   read->Request == packet.Request && read->Idempotent &&
                   read->Last && read->Part == 7 &&
                   read->DeadlineMs == packet.DeadlineMs &&
                   read->Outcome == packet.Outcome && read->Why == packet.Why &&
                   read->RetryAfterMs == 250 && read->Draining &&
                   read->Payload == "payload",
               "all fields are equal");
    auto head = chicory::decodePacketHeader(encodePacket(packet));
    expectTrue(head && head->Flow == packet.Flow && head->ToCaller,
               "the fields of the header are equal");
  }

  void refusesMalformedDatagrams() {
    QByteArray good = encodePacket(sample());
    section("empty", [&] {
      expectTrue(chicory::decodePacket({}).error() == Reason::BadPacket,
                 "bad packet");
    });
    section("unsupported version", [&] {
      QByteArray other = good;
      other[1] = 2;
      expectTrue(chicory::decodePacket(other).error() == Reason::BadVersion,
                 "bad version");
    });
    section("trailing bytes",
            [&] { expectTrue(!chicory::decodePacket(good + 'x'), "refused"); });
    section("too long", [&] {
      Packet large = sample();
      large.Payload = QByteArray(2000, 'x');
      expectTrue(!chicory::decodePacket(encodePacket(large)), "refused");
      expectTrue(!chicory::decodePacketHeader(encodePacket(large)), "refused");
    });
    section("truncated at any length", [&] {
      for (qsizetype n = 0; n < good.size(); ++n)
        expectTrue(!chicory::decodePacket(good.left(n)), "refused");
    });
  }

  void doesNotCrashOnArbitraryBytes() {
    property("arbitrary bytes are refused or decoded without a crash", [] {
      auto bytes = *rc::gen::arbitrary<std::string>();
      (void)chicory::decodePacket(QByteArray::fromStdString(bytes));
      (void)chicory::decodePacketHeader(QByteArray::fromStdString(bytes));
    });
    property(
        "a packet with any byte changed is refused or decoded without a crash",
        [] {
          QByteArray bytes = encodePacket(sample());
          auto at = *rc::gen::inRange<int>(0, static_cast<int>(bytes.size()));
          bytes[at] = *rc::gen::arbitrary<char>();
          (void)chicory::decodePacket(bytes);
        });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PacketTest);
