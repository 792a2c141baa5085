#include "chicorybank/edge/PeerMessages.h"

#include "Story.h"

#include <random>

using namespace story;
using namespace chicory;
using namespace chicory::edge;
using namespace std::chrono_literals;

namespace {

/// Returns a value that can't be compressed.
std::string randomBytes(size_t bytes) {
  std::mt19937 random(1);
  std::uniform_int_distribution<int> byte(0, 255);
  std::string out;
  for (size_t n = 0; n < bytes; ++n)
    out += static_cast<char>(byte(random));
  return out;
}

/// Returns a push with the registrations of `count` servers that have just
/// started, as the registry has them.
UpdatePush registrations(size_t count) {
  std::mt19937_64 random(2);
  UpdatePush out{.Sender = InstanceId{7}};
  out.Page.At.Revision = 100'000;
  for (size_t n = 0; n < count; ++n) {
    std::array<char, 11> id{};
    std::snprintf(id.data(), id.size(), "%010llx",
                  static_cast<unsigned long long>(random() >> 24));
    std::string value =
        R"({"service":"huvo11a","address":"10.128.)" +
        std::to_string(random() % 40) + '.' + std::to_string(random() % 256) +
        R"(:8080","zone":"gikondo","version":"v1","slots":2,"state":"ready",)"
        R"("warmup_left_ms":2000,"sequence":1,"born":17923624)" +
        std::to_string(10'000 + random() % 90'000) + '}';
    out.Page.Items.push_back(
        {.Key = std::string("servers/") + id.data(),
         .Value = std::move(value),
         .At = {.Revision = static_cast<int64_t>(50'000 + n)},
         .Created = static_cast<int64_t>(50'000 + n)});
  }
  return out;
}

UpdatePush sample(size_t valueBytes) {
  UpdatePush out{.Sender = InstanceId{7},
                 .Age = 12ms,
                 .Base = {.Generation = Generation{3}, .Revision = 40},
                 .Digest = 0xfedcba9876543210};
  out.Page.At = {.Generation = Generation{3}, .Revision = 42};
  out.Page.Items = {{.Key = "servers/i-1",
                     .Value = randomBytes(valueBytes),
                     .At = {.Generation = Generation{3}, .Revision = 41},
                     .Created = 11},
                    {.Key = "servers/i-2",
                     .At = {.Generation = Generation{3}, .Revision = 42},
                     .Deleted = true}};
  return out;
}

} // namespace

class PeerMessagesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerMessagesTest);
  CPPUNIT_TEST(restoresAPush);
  CPPUNIT_TEST(omitsItemsThatDoNotFit);
  CPPUNIT_TEST(refusesDamagedBytes);
  CPPUNIT_TEST(splitsLargePushIntoFragments);
  CPPUNIT_TEST(omitsItemsThatNeedTooManyFragments);
  CPPUNIT_TEST(refusesDamagedFragments);
  CPPUNIT_TEST(restoresAnUnreachableReport);
  CPPUNIT_TEST(restoresAHealthReport);
  CPPUNIT_TEST(refusesDamagedHealthReports);
  CPPUNIT_TEST(refusesImpossibleLengths);
  CPPUNIT_TEST(restoresAPage);
  CPPUNIT_TEST(pushesTheRegistrationsOfAPollInterval);
  CPPUNIT_TEST(keepsPagesSmallEnoughForALink);
  CPPUNIT_TEST(limitsBurstsToWhatALinkCarries);
  CPPUNIT_TEST_SUITE_END();

  // Guards against an instance that runs out of memory because it allocates
  // what a message claims to hold: a stray datagram of 18 bytes ends in a map
  // that claims 3.7 billion entries, or a list or text claims as much.
  void refusesImpossibleLengths() {
    using namespace std::string_literals;
    const std::string head = "\x97\x01\x0b\x00\x69\xe9\xf7\x98\xfd"s;
    for (const std::string &bytes :
         {head + "\x7f\x00\x00\xdf\xdf\xdf\xdf\xdf\xdf"s,
          "\xdd\xff\xff\xff\xff"s, "\x91\xdb\xff\xff\xff\xff"s,
          "\x91\xc6\xff\xff\xff\xff"s, "\xdd\xff"s, "\x92\x01"s, ""s}) {
      auto message = decodeDatagram(bytes);
      expectTrue(!message && message.error() == Reason::BadPeerMessage,
                 "it is refused");
    }
  }

  void restoresAPush() {
    auto out = decodePush(encodePush(sample(100)));
    expectTrue(out.has_value(), "it can be read");
    expectEqual<uint32_t>(7, out->Sender.Value);
    Position base{.Generation = Generation{3}, .Revision = 40};
    expectTrue(out->Age == 12ms && out->Base == base, "age and base");
    expectTrue(out->Page.Items == sample(100).Page.Items, "the items");
    expectEqual<uint64_t>(0xfedcba9876543210, out->Digest);
    expectTrue(out->Complete, "complete");
  }

  void omitsItemsThatDoNotFit() {
    std::string bytes = encodePush(sample(2000));
    expectTrue(bytes.size() <= MaxDatagramBytes, "one datagram");
    auto out = decodePush(bytes);
    expectTrue(out && !out->Complete && out->Page.Items.empty(),
               "the receiver has to ask");
    expectTrue(out->Page.At ==
                   Position{.Generation = Generation{3}, .Revision = 42},
               "its position");
  }

  void splitsLargePushIntoFragments() {
    UpdatePush push = sample(5000);
    auto datagrams = encodeDatagrams(push, 3, 1);
    expectTrue(datagrams.size() > 1, "several fragments");
    std::string whole;
    for (const std::string &it : datagrams) {
      expectTrue(it.size() <= MaxDatagramBytes, "each is one datagram");
      auto message = decodeDatagram(it);
      expectTrue(message && std::holds_alternative<Fragment>(*message),
                 "a fragment");
      whole += std::get<Fragment>(*message).Bytes;
    }
    auto out = decodeFragments(whole);
    expectTrue(out && out->Complete && out->Page.Items == push.Page.Items,
               "the items");
    section("a small push is one unfragmented datagram", [] {
      auto one = encodeDatagrams(sample(10), 4, 1);
      expectEqual<size_t>(1, one.size());
      auto message = decodeDatagram(one[0]);
      expectTrue(message && std::holds_alternative<UpdatePush>(*message),
                 "a push");
    });
  }

  void restoresAPage() {
    ItemPage page = sample(100'000).Page;
    std::string bytes = encodePage(page);
    auto out = decodePage(bytes);
    expectTrue(out && out->Items == page.Items && out->At == page.At,
               "its items and position");
    bytes.resize(bytes.size() / 2);
    expectTrue(!decodePage(bytes), "a truncated page is refused");
  }

  // Of 10,000 servers, 320 or 640 register in a poll interval, and instances
  // forward that in one push. Guards against pushes without their items, since
  // each receiver then reads them from its sender or from the registry.
  void pushesTheRegistrationsOfAPollInterval() {
    for (size_t servers : {320U, 640U}) {
      auto datagrams = encodeDatagrams(registrations(servers), 1, 4);
      expectTrue(datagrams.size() > 1, "the items are in it");
      expectTrue(datagrams.size() <= MaxFragments,
                 std::to_string(datagrams.size()) + " datagrams");
    }
  }

  // Guards against pushes whose last fragments are lost for all receivers: an
  // instance that has asked the registry pushes the answer to the heads of five
  // zones and to its children.
  void limitsBurstsToWhatALinkCarries() {
    for (size_t servers : {10U, 320U, 640U, 1280U})
      for (size_t receivers : {1U, 8U, 33U}) {
        auto datagrams = encodeDatagrams(registrations(servers), 1, receivers);
        expectTrue(datagrams.size() == 1 ||
                       datagrams.size() * receivers <= MaxBurstDatagrams,
                   std::to_string(datagrams.size()) + " datagrams to " +
                       std::to_string(receivers));
      }
    auto few = encodeDatagrams(registrations(320), 1, 33);
    auto push = decodePush(few[0]);
    expectTrue(push && !push->Complete, "the receivers have to ask");
  }

  // Guards against pages that are too large for eight receivers to read from
  // one sender, whose link of 20 Mbit/s carries 2.5 MB a second.
  void keepsPagesSmallEnoughForALink() {
    constexpr size_t Receivers = 8;
    constexpr size_t LinkBytesPerSecond = 2'500'000;
    size_t one = encodePage(registrations(1000).Page).size();
    size_t two = encodePage(registrations(2000).Page).size();
    expectTrue(two <= 2 * one, "twice the servers are twice the bytes at most");
    expectTrue(Receivers * two < LinkBytesPerSecond / 2,
               std::to_string(two) + " bytes for 2,000 servers");
  }

  void omitsItemsThatNeedTooManyFragments() {
    auto datagrams =
        encodeDatagrams(sample(FragmentBytes * MaxFragments), 3, 1);
    expectEqual<size_t>(1, datagrams.size());
    auto push = decodePush(datagrams[0]);
    expectTrue(push && !push->Complete, "the receiver has to ask");
  }

  void refusesDamagedFragments() {
    property("a changed fragment never has an index out of range", [] {
      std::string bytes = encodeDatagrams(sample(3000), 3, 1)[0];
      auto at = *rc::gen::inRange<size_t>(0, bytes.size());
      bytes[at] = *rc::gen::arbitrary<char>();
      auto message = decodeDatagram(bytes);
      if (message)
        if (const auto *it = std::get_if<Fragment>(&*message))
          RC_ASSERT(it->Index < it->Count && it->Count <= MaxFragments);
    });
  }

  void restoresAnUnreachableReport() {
    std::string bytes = encodeUnreachableReport(
        {.Sender = InstanceId{7}, .Backend = token::BackendId{0xfffffffff1}});
    auto message = decodeDatagram(bytes);
    expectTrue(message && std::holds_alternative<UnreachableReport>(*message),
               "a report");
    expectEqual<uint64_t>(0xfffffffff1,
                          std::get<UnreachableReport>(*message).Backend.Value);
    bytes.pop_back();
    expectTrue(!decodeDatagram(bytes), "a truncated report is refused");
  }

  // Guards against reports that name another server, or another run of it, than
  // the sender meant: ids and start times use most of their 64 bits.
  void restoresAHealthReport() {
    property("a report is restored", [] {
      HealthReport sent{
          .Sender = InstanceId{*rc::gen::arbitrary<uint32_t>()},
          .Backend = token::BackendId{*rc::gen::arbitrary<uint64_t>()},
          .StartedAtMs = *rc::gen::nonNegative<int64_t>(),
          .Change = *rc::gen::element(token::HealthChange::Ejected,
                                      token::HealthChange::Restored)};
      auto message = decodeDatagram(encodeHealthReport(sent));
      RC_ASSERT(message.has_value());
      const auto *got = std::get_if<HealthReport>(&*message);
      RC_ASSERT(got != nullptr);
      RC_ASSERT(got->Sender == sent.Sender && got->Backend == sent.Backend);
      RC_ASSERT(got->StartedAtMs == sent.StartedAtMs);
      RC_ASSERT(got->Change == sent.Change);
    });
    auto usual = encodeHealthReport({.Sender = InstanceId{0x0a010009},
                                     .Backend = token::BackendId{0xa26ef81993},
                                     .StartedAtMs = 1'792'362'410'000,
                                     .Change = token::HealthChange::Ejected});
    expectEqual<size_t>(27, usual.size());
    auto unknownStart = decodeDatagram(encodeHealthReport(
        {.StartedAtMs = -1, .Change = token::HealthChange::Restored}));
    expectEqual<int64_t>(0, std::get<HealthReport>(*unknownStart).StartedAtMs);
  }

  // Guards against bad bytes that change what an instance believes of a server.
  void refusesDamagedHealthReports() {
    using namespace std::string_literals;
    const std::string head = "\x96\x03\x04"s;
    const std::string tooLarge = "\xcf\xff\xff\xff\xff\xff\xff\xff\xff"s;
    expectTrue(decodeDatagram(head + "\x07\x09\x0b\x01"s).has_value(),
               "a report with small numbers");
    struct {
      const char *What;
      std::string Bytes;
      Reason Why = Reason::BadPeerMessage;
    } cases[] = {
        {"no verdict", head + "\x07\x09\x0b\x00"s},
        {"an unknown verdict", head + "\x07\x09\x0b\x03"s},
        {"a verdict that is 1 in its last byte",
         head + "\x07\x09\x0b\xcd\x01\x01"s},
        {"a verdict that is not a number", head + "\x07\x09\x0b\xc3"s},
        {"a sender of more than 32 bits", head + tooLarge + "\x09\x0b\x01"s},
        {"a negative sender", head + "\xff\x09\x0b\x01"s},
        {"a server that is a text", head + "\x07\xa1\x39\x0b\x01"s},
        {"a start of more than 63 bits",
         head + "\x07\x09"s + tooLarge + "\x01"s},
        {"a value too few", "\x95\x03\x04\x07\x09\x0b"s},
        {"a value too many", "\x97\x03\x04\x07\x09\x0b\x01\x01"s},
        {"bytes after the report", head + "\x07\x09\x0b\x01\x01"s},
        {"a kind that no datagram has", "\x96\x03\x05\x07\x09\x0b\x01"s},
        {"another format version", "\x96\x02\x04\x07\x09\x0b\x01"s,
         Reason::BadVersion},
    };
    for (const auto &it : cases) {
      auto message = decodeDatagram(it.Bytes);
      expectTrue(!message && message.error() == it.Why, it.What);
    }
    property("a truncated report is refused", [] {
      std::string bytes =
          encodeHealthReport({.Backend = token::BackendId{UINT64_MAX},
                              .Change = token::HealthChange::Restored});
      bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size()));
      RC_ASSERT(!decodeDatagram(bytes));
    });
  }

  void refusesDamagedBytes() {
    property("truncated bytes are refused", [] {
      std::string bytes = encodePush(sample(50));
      bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size()));
      RC_ASSERT(!decodePush(bytes));
    });
    property("a changed push does not crash the decoder", [] {
      std::string bytes = encodePush(sample(50));
      auto at = *rc::gen::inRange<size_t>(0, bytes.size());
      bytes[at] = *rc::gen::arbitrary<char>();
      decodePush(bytes);
    });
    std::string other = encodePush(sample(5));
    other[1] = 9;
    expectTrue(decodePush(other).error() == Reason::BadVersion,
               "another format version");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerMessagesTest);
