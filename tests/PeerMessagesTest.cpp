#include "chicorybank/edge/PeerMessages.h"

#include "Story.h"

using namespace story;
using namespace chicory;
using namespace chicory::edge;
using namespace std::chrono_literals;

namespace {

NewsPush sample(size_t valueBytes) {
  NewsPush out{.Sender = InstanceId{7},
               .Age = 12ms,
               .Base = {.Generation = Generation{3}, .Revision = 40},
               .Digest = 0xfedcba9876543210};
  out.Page.At = {.Generation = Generation{3}, .Revision = 42};
  out.Page.Items = {{.Key = "servers/i-1",
                     .Value = std::string(valueBytes, 'x'),
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
  CPPUNIT_TEST(comesOutAsItWentIn);
  CPPUNIT_TEST(leavesOutWhatDoesNotFit);
  CPPUNIT_TEST(refusesDamagedBytes);
  CPPUNIT_TEST(splitsWhatIsTooLargeForADatagram);
  CPPUNIT_TEST(leavesOutWhatNeedsTooManyDatagrams);
  CPPUNIT_TEST(refusesDamagedFragments);
  CPPUNIT_TEST(carriesADoubt);
  CPPUNIT_TEST(believesNoLengthThatCannotBe);
  CPPUNIT_TEST_SUITE_END();

  // Symptom: an instance runs out of memory.
  // Sequence: a stray datagram of 18 bytes whose last part claims to be a map
  // of 3.7 billion entries; a list or a text that claims as much.
  // Cause: room made for what a message claims to hold.
  void believesNoLengthThatCannotBe() {
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

  void comesOutAsItWentIn() {
    auto out = decodePush(encodePush(sample(100)));
    expectTrue(out.has_value(), "it can be read");
    expectEqual<uint32_t>(7, out->Sender.Value);
    Position base{.Generation = Generation{3}, .Revision = 40};
    expectTrue(out->Age == 12ms && out->Base == base, "age and base");
    expectTrue(out->Page.Items == sample(100).Page.Items, "the items");
    expectEqual<uint64_t>(0xfedcba9876543210, out->Digest);
    expectTrue(out->Complete, "all of it");
  }

  void leavesOutWhatDoesNotFit() {
    std::string bytes = encodePush(sample(2000));
    expectTrue(bytes.size() <= MaxPeerMessage, "one datagram");
    auto out = decodePush(bytes);
    expectTrue(out && !out->Complete && out->Page.Items.empty(),
               "the receiver has to ask");
    expectTrue(out->Page.At ==
                   Position{.Generation = Generation{3}, .Revision = 42},
               "where it leads");
  }

  void splitsWhatIsTooLargeForADatagram() {
    NewsPush push = sample(5000);
    auto datagrams = encodeDatagrams(push, 3);
    expectTrue(datagrams.size() > 1, "several");
    std::string whole;
    for (const std::string &it : datagrams) {
      expectTrue(it.size() <= MaxPeerMessage, "one datagram each");
      auto message = decodeDatagram(it);
      expectTrue(message && std::holds_alternative<Fragment>(*message),
                 "a fragment");
      whole += std::get<Fragment>(*message).Bytes;
    }
    auto out = decodePush(whole);
    expectTrue(out && out->Complete && out->Page.Items == push.Page.Items,
               "the items");
    section("a small push is one datagram, as it is", [] {
      auto one = encodeDatagrams(sample(10), 4);
      expectEqual<size_t>(1, one.size());
      auto message = decodeDatagram(one[0]);
      expectTrue(message && std::holds_alternative<NewsPush>(*message),
                 "a push");
    });
  }

  void leavesOutWhatNeedsTooManyDatagrams() {
    auto datagrams = encodeDatagrams(sample(FragmentBytes * MaxFragments), 3);
    expectEqual<size_t>(1, datagrams.size());
    auto push = decodePush(datagrams[0]);
    expectTrue(push && !push->Complete, "the receiver has to ask");
  }

  void refusesDamagedFragments() {
    property("any change is read or refused", [] {
      std::string bytes = encodeDatagrams(sample(3000), 3)[0];
      auto at = *rc::gen::inRange<size_t>(0, bytes.size());
      bytes[at] = *rc::gen::arbitrary<char>();
      auto message = decodeDatagram(bytes);
      if (message)
        if (const auto *it = std::get_if<Fragment>(&*message))
          RC_ASSERT(it->Index < it->Count && it->Count <= MaxFragments);
    });
  }

  void carriesADoubt() {
    std::string bytes = encodeDoubt(
        {.Sender = InstanceId{7}, .Backend = token::BackendId{0xfffffffff1}});
    auto message = decodeDatagram(bytes);
    expectTrue(message && std::holds_alternative<Doubt>(*message), "a doubt");
    expectEqual<uint64_t>(0xfffffffff1,
                          std::get<Doubt>(*message).Backend.Value);
    bytes.pop_back();
    expectTrue(!decodeDatagram(bytes), "a cut one is refused");
  }

  void refusesDamagedBytes() {
    property("cut bytes are refused", [] {
      std::string bytes = encodePush(sample(50));
      bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size()));
      RC_ASSERT(!decodePush(bytes));
    });
    property("any change is read or refused", [] {
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
