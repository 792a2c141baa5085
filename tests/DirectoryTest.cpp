// The short form of all registrations.

#include "chicorybank/edge/Directory.h"

#include "Story.h"

using namespace story;
using namespace chicory;
using namespace chicory::edge;

namespace {

using token::Registration;

rc::Gen<Registration> anyRegistration() {
  return rc::gen::apply(
      [](uint64_t id, uint32_t ip, uint16_t port, uint32_t service, bool drain,
         uint32_t born) {
        return Registration{.Id = token::BackendId{id | 1},
                            .Service = ServiceId{service % 4 + 1},
                            .Where = {.Ip = ip, .Port = port},
                            .Zone = "zone-" + std::to_string(ip % 5),
                            .Draining = drain,
                            .Slots = service % 9 + 1,
                            .Order = {.Revision = id >> 20},
                            .Born = int64_t{born} * 1000};
      },
      rc::gen::arbitrary<uint64_t>(), rc::gen::arbitrary<uint32_t>(),
      rc::gen::arbitrary<uint16_t>(), rc::gen::arbitrary<uint32_t>(),
      rc::gen::arbitrary<bool>(), rc::gen::arbitrary<uint32_t>());
}

} // namespace

class DirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DirectoryTest);
  CPPUNIT_TEST(readsWhatWasWritten);
  CPPUNIT_TEST(readsNothingThatIsCutOrChanged);
  CPPUNIT_TEST(isSmall);
  CPPUNIT_TEST_SUITE_END();

  void readsWhatWasWritten() {
    property("any servers", [] {
      auto servers =
          *rc::gen::container<std::vector<Registration>>(anyRegistration());
      auto read = decodeDirectory(encodeDirectory(servers));
      RC_ASSERT(read.has_value());
      RC_ASSERT(*read == servers);
    });
  }

  // An entry of another writer may stand under the key.
  void readsNothingThatIsCutOrChanged() {
    property("any bytes that were cut or changed", [] {
      auto servers = *rc::gen::nonEmpty(
          rc::gen::container<std::vector<Registration>>(anyRegistration()));
      std::string bytes = encodeDirectory(servers);
      auto at = *rc::gen::inRange<size_t>(0, bytes.size());
      RC_ASSERT(!decodeDirectory(std::string_view(bytes).substr(0, at)));
      bytes[at] = static_cast<char>(bytes[at] ^ 0x55);
      auto read = decodeDirectory(bytes);
      RC_ASSERT(!read || *read != servers);
    });
    expectTrue(!decodeDirectory(std::string_view("{}")), "JSON");
    expectTrue(!decodeDirectory(std::string_view("")), "nothing");
  }

  // Pattern: hundreds of instances read it at once over a link of 1,000 Mbit/s.
  // Grounds: at 600 servers each of 295 readers gets some 30 kB as base64, all
  // of them 70 ms of the link; a list of 300 kB takes 0.7 s.
  void isSmall() {
    std::vector<Registration> servers;
    for (uint64_t n = 0; n < 600; ++n)
      servers.push_back(
          {.Id = token::BackendId{0x1234567800 + n * 977},
           .Service = ServiceId{0x9e3779b9},
           .Where = {.Ip = 0x0a800000 + uint32_t(n), .Port = 8080},
           .Zone = "nyarutarama",
           .Slots = 2,
           .Order = {.Revision = 100'000 + n},
           .Born = 1'764'700'000'000});
    size_t size = encodeDirectory(servers).size();
    expectTrue(size < size_t{600} * 40, std::to_string(size) + " bytes");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryTest);
