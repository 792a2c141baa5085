#include "chicorybank/peer/Messages.h"

#include "Samples.h"
#include "Story.h"

using namespace story;
using namespace chicory;

namespace {

const PeerKey Key("a key for tests only");

InstanceInfo info() {
  return {.Id = InstanceId{3},
          .Zone = "gikondo",
          .Packets = {.Ip = 0x7f000001, .Port = 1},
          .Peers = {.Ip = 0x7f000001, .Port = 2},
          .Admin = {.Ip = 0x7f000001, .Port = 3}};
}

Heartbeat heartbeat() {
  return {.Sender = info(),
          .Incarnation = UINT64_MAX,
          .Sequence = 5,
          .Echo = 6,
          .EchoIncarnation = 7,
          .State = InstanceState::Leaving,
          .Rules = RuleVersion{8},
          .Members = MembersVersion{9},
          .ReachablePeers = {InstanceId{1}, InstanceId{2}},
          .Introductions = {info()},
          .Draining = {samples::target(4)},
          .Document = {.Version = MembersVersion{9},
                       .Members = {InstanceId{1}},
                       .Previous = {InstanceId{2}}}};
}

ForwardedPacketArrived forwardedPacket() {
  ForwardedPacketArrived out{
      .Sender = InstanceId{4}, .Hops = 2, .Rules = RuleVersion{77}};
  out.Packet.From = samples::target(1);
  out.Packet.Datagram =
      encodePacket({.Kind = PacketKind::Data, .Flow = samples::flow(1)});
  return out;
}

} // namespace

class MessagesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MessagesTest);
  CPPUNIT_TEST(roundTripsControlMessages);
  CPPUNIT_TEST(roundTripsDatagrams);
  CPPUNIT_TEST(rejectsAnotherKey);
  CPPUNIT_TEST(decodesInvalidBytesWithoutCrash);
  CPPUNIT_TEST_SUITE_END();

  void roundTripsControlMessages() {
    RuleDocument document;
    document.Manifest = paginate(samples::ruleSet(5), document.Pages);
    Heartbeat onlyIdOfSender = heartbeat();
    onlyIdOfSender.Sender = {.Id = InstanceId{3}};
    std::vector<ControlMessage> messages = {
        heartbeat(), onlyIdOfSender,
        RuleRequest{.Sender = info(), .KnownPages = {PageId{UINT64_MAX}}},
        document};
    for (const ControlMessage &it : messages) {
      auto read = decodeControl(encodeControl(it));
      expectTrue(read.has_value() && *read == it,
                 "decoding returns the same message");
    }
  }

  void roundTripsDatagrams() {
    section("a forwarded packet", [] {
      ForwardedPacketArrived sent = forwardedPacket();
      auto read =
          decodePeerDatagram(encodePeerDatagram(sent, InstanceId{4}, Key), Key);
      const auto &got = std::get<ForwardedPacketArrived>(*read);
      expectTrue(got.Sender == sent.Sender && got.Hops == 2 &&
                     got.Rules == sent.Rules &&
                     got.Packet.From == sent.Packet.From &&
                     got.Packet.Datagram == sent.Packet.Datagram,
                 "every field is the same");
    });
    section("a query and its reply", [] {
      FlowQuery query{.Flow = samples::flow(2),
                      .Request = RequestId{9},
                      .DeadlineMs = 10,
                      .Asker = InstanceId{5},
                      .Hops = 1};
      auto read = decodePeerDatagram(
          encodePeerDatagram(query, InstanceId{5}, Key), Key);
      expectTrue(std::get<FlowQuery>(*read).Flow == query.Flow &&
                     std::get<FlowQuery>(*read).Asker == query.Asker,
                 "flow and asker are the same");
      FlowReply reply{.Flow = samples::flow(2),
                      .Request = RequestId{9},
                      .Result = QueryResult::Seen,
                      .Target = samples::target(1),
                      .Service = ServiceId{7},
                      .Replier = InstanceId{6}};
      auto back = decodePeerDatagram(
          encodePeerDatagram(reply, InstanceId{6}, Key), Key);
      expectTrue(std::get<FlowReply>(*back).Target == reply.Target &&
                     std::get<FlowReply>(*back).Result == reply.Result,
                 "target and result are the same");
    });
    section("differs from a caller's packet in its first byte", [] {
      expectTrue(isPeerDatagram(
                     encodePeerDatagram(forwardedPacket(), InstanceId{4}, Key)),
                 "an instance's datagram");
      expectTrue(!isPeerDatagram(forwardedPacket().Packet.Datagram),
                 "a caller's packet");
    });
  }

  void rejectsAnotherKey() {
    PeerKey other("another key, not the same");
    auto read = decodePeerDatagram(
        encodePeerDatagram(forwardedPacket(), InstanceId{4}, other), Key);
    expectTrue(read.error() == Reason::BadPeerKey, "rejected for its key");
  }

  void decodesInvalidBytesWithoutCrash() {
    property("decoding any bytes does not crash", [] {
      auto bytes =
          QByteArray::fromStdString(*rc::gen::arbitrary<std::string>());
      (void)decodeControl(bytes);
      (void)decodePeerDatagram(bytes, Key);
    });
    property("decoding a truncated or damaged message does not crash", [] {
      QByteArray control = encodeControl(heartbeat());
      QByteArray datagram =
          encodePeerDatagram(forwardedPacket(), InstanceId{4}, Key);
      for (QByteArray *it : {&control, &datagram}) {
        auto at = *rc::gen::inRange<int>(0, static_cast<int>(it->size()));
        (*it)[at] = *rc::gen::arbitrary<char>();
        it->truncate(
            *rc::gen::inRange<int>(0, static_cast<int>(it->size()) + 1));
      }
      (void)decodeControl(control);
      (void)decodePeerDatagram(datagram, Key);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessagesTest);
