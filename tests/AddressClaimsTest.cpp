#include "chicorybank/token/AddressClaims.h"

#include "Story.h"

using namespace story;
using namespace chicory;
using namespace chicory::token;

class AddressClaimsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AddressClaimsTest);
  CPPUNIT_TEST(keepsClaimantsInOrder);
  CPPUNIT_TEST_SUITE_END();

  void keepsClaimantsInOrder() {
    using enum AddressClaims::Rank;
    Address where{.Ip = 10, .Port = 80};
    AddressClaims claims;
    claims.put(where, 1, Last);
    claims.put(where, 2, First);
    claims.put(where, 3, Last);
    expectTrue(claims.of(where) == std::vector<BackendIndex>{2, 1, 3},
               "by rank");
    section("a claimant moves", [&] {
      claims.put(where, 3, First);
      claims.put(where, 2, Last);
      expectTrue(claims.of(where) == std::vector<BackendIndex>{3, 1, 2},
                 "it is there once");
    });
    section("claimants leave", [&] {
      for (BackendIndex it : {3U, 1U, 2U, 2U})
        claims.remove(where, it);
      expectTrue(claims.of(where).empty(), "none is left");
    });
    expectTrue(claims.of({.Ip = 11, .Port = 80}).empty(),
               "other addresses have their own");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AddressClaimsTest);
