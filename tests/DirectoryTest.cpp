// Tests of the compact form of all registrations.

#include "chicorybank/edge/Directory.h"

#include "chicorybank/edge/DirectoryWriter.h"

#include "chicorybank/base/Hash.h"

#include "Story.h"

#include <random>
#include <set>

using namespace story;
using namespace chicory;
using namespace chicory::edge;

namespace {

using token::Registration;

rc::Gen<Registration> anyRegistration() {
  return rc::gen::apply(
      [](uint64_t id, uint32_t ip, uint16_t port, uint32_t service,
         bool draining, uint32_t born) {
        return Registration{.Id = token::BackendId{id | 1},
                            .Service = serviceIdOf(std::to_string(service % 4)),
                            .Where = {.Ip = ip, .Port = port},
                            .Zone = "zone-" + std::to_string(ip % 5),
                            .Draining = draining,
                            .Slots = service % 9 + 1,
                            .Order = {.Revision = id >> 20},
                            .StartedAtMs = int64_t{born} * 1000};
      },
      rc::gen::arbitrary<uint64_t>(), rc::gen::arbitrary<uint32_t>(),
      rc::gen::arbitrary<uint16_t>(), rc::gen::arbitrary<uint32_t>(),
      rc::gen::arbitrary<bool>(), rc::gen::arbitrary<uint32_t>());
}

/// `count` servers in the order of their ids, started within a minute.
std::vector<Registration> registrations(size_t count) {
  std::mt19937_64 random(1);
  std::set<uint64_t> ids;
  while (ids.size() < count)
    ids.insert(random() >> 24);
  std::vector<Registration> out;
  out.reserve(count);
  for (uint64_t id : ids)
    out.push_back(
        {.Id = token::BackendId{id},
         .Service = serviceIdOf(id % 5 == 0 ? "records" : "certificates"),
         .Where = {.Ip = 0x0a800000 + uint32_t(random() % 65536), .Port = 8080},
         .Zone = "zone-" + std::to_string(random() % 5),
         .Slots = 2,
         .Order = {.Revision = 100'000 + random() % 60'000},
         .StartedAtMs = int64_t(1'764'700'000'000 + random() % 60'000)});
  return out;
}

} // namespace

class DirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DirectoryTest);
  CPPUNIT_TEST(decodesWhatWasEncoded);
  CPPUNIT_TEST(rejectsTruncatedOrChangedBytes);
  CPPUNIT_TEST(encodingIsCompact);
  CPPUNIT_TEST(keepsServicesWithOneShortIdApart);
  CPPUNIT_TEST_SUITE_END();

  void decodesWhatWasEncoded() {
    property("any servers", [] {
      auto servers =
          *rc::gen::container<std::vector<Registration>>(anyRegistration());
      auto decoded = decodeDirectory(
          encodeDirectory({.Servers = servers, .Instances = servers.size()}));
      RC_ASSERT(decoded.has_value());
      RC_ASSERT(decoded->Servers == servers);
      RC_ASSERT(decoded->Instances == servers.size());
    });
  }

  // The key may hold another writer's data.
  void rejectsTruncatedOrChangedBytes() {
    property("any bytes that were truncated or changed", [] {
      auto servers = *rc::gen::nonEmpty(
          rc::gen::container<std::vector<Registration>>(anyRegistration()));
      std::string bytes = encodeDirectory({.Servers = servers});
      auto at = *rc::gen::inRange<size_t>(0, bytes.size());
      RC_ASSERT(!decodeDirectory(std::string_view(bytes).substr(0, at)));
      bytes[at] = static_cast<char>(bytes[at] ^ 0x55);
      auto decoded = decodeDirectory(bytes);
      RC_ASSERT(!decoded || decoded->Servers != servers);
    });
    expectTrue(!decodeDirectory(std::string_view("{}")), "JSON");
    expectTrue(!decodeDirectory(std::string_view("")), "nothing");
  }

  // Guards against servers of another service that get a route's flows after a
  // start, until the first list.
  void keepsServicesWithOneShortIdApart() {
    std::vector<Registration> servers = registrations(2);
    servers[0].Service = serviceIdOf("moci18a");
    servers[1].Service = serviceIdOf("jawe17b");
    auto decoded = decodeDirectory(encodeDirectory({.Servers = servers}));
    expectTrue(decoded && decoded->Servers == servers, "two services");
  }

  // 985 instances read it at once over a link of 1,000 Mbit/s. Guards against a
  // directory of 10,000 servers that takes seconds of that link: at 15 bytes
  // each, 20 as base64, all of them take 1.6 s. The largest item holds a
  // megabyte of base64.
  void encodingIsCompact() {
    size_t one = encodeDirectory({.Servers = registrations(10'000)}).size();
    size_t two = encodeDirectory({.Servers = registrations(20'000)}).size();
    expectTrue(one <= size_t{10'000} * 15, std::to_string(one) + " bytes");
    expectTrue(two <= size_t{20'000} * 15, std::to_string(two) + " bytes");
    size_t most =
        encodeDirectory({.Servers = registrations(DirectoryWriter::MaxServers)})
            .size();
    expectTrue(most * 4 / 3 < 1'000'000, std::to_string(most) + " bytes");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryTest);
