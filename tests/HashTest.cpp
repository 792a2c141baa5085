#include "chicorybank/base/Hash.h"

#include "Story.h"

#include <string>
#include <unordered_map>

using namespace story;
using namespace chicory;

class HashTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HashTest);
  CPPUNIT_TEST(distinguishesServicesWithOneShortId);
  CPPUNIT_TEST(keepsShortIds);
  CPPUNIT_TEST_SUITE_END();

  // Guards against two services that get each other's flows, because their
  // names have one hash of 32 bits.
  void distinguishesServicesWithOneShortId() {
    expectTrue(shortServiceId(serviceIdOf("moci18a")) ==
                   shortServiceId(serviceIdOf("jawe17b")),
               "one hash of 32 bits");
    std::unordered_map<uint64_t, std::string> seen;
    size_t pairs = 0;
    for (int n = 0; n < 400'000; ++n) {
      std::string name = "service-" + std::to_string(n);
      ServiceId id = serviceIdOf(name);
      expectTrue(!isShort(id) && static_cast<int64_t>(id.Value) > 0, name);
      auto [it, isNew] = seen.try_emplace(shortServiceId(id).Value, name);
      if (isNew)
        continue;
      ++pairs;
      expectTrue(serviceIdOf(it->second) != id, it->second + " and " + name);
    }
    expectTrue(pairs > 5, std::to_string(pairs) + " pairs with one short id");
  }

  // Guards against a stored route history, and checksums of instances of the
  // former program, that name other services than this program does.
  void keepsShortIds() {
    expectEqual<uint64_t>(3774215989,
                          shortServiceId(serviceIdOf("moci18a")).Value);
    expectTrue(isShort(ServiceId{7}), "as stored");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HashTest);
