#include "chicorybank/edge/ServerKeys.h"

#include "Story.h"

using namespace story;
using namespace chicory;
using namespace chicory::edge;

class ServerKeysTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerKeysTest);
  CPPUNIT_TEST(letsTheOldestRegistrationSpeak);
  CPPUNIT_TEST(keepsTheKeyOfAServerThatLapsesAndReturns);
  CPPUNIT_TEST(forgetsKeysThatHaveEnded);
  CPPUNIT_TEST_SUITE_END();

  static constexpr token::BackendId Server{0x7f3a};

  // Guards against instances that start and take an entry of another program
  // for the server's, because its key comes first in a list.
  void letsTheOldestRegistrationSpeak() {
    for (bool ownKeyFirst : {false, true}) {
      ServerKeys keys;
      if (ownKeyFirst)
        expectTrue(keys.claim(Server, "i-7f3a", 5, true), "it is alone");
      bool other = keys.claim(Server, "agent-7f3a", 9, true);
      expectTrue(other != ownKeyFirst, "only until the older one is known");
      expectTrue(keys.claim(Server, "i-7f3a", 5, !ownKeyFirst), "the older");
      expectTrue(!keys.maySpeakFor(Server, "agent-7f3a"), "the newer one");
      expectTrue(!keys.end(Server, "agent-7f3a"), "its end says nothing");
      expectTrue(keys.end(Server, "i-7f3a"), "the server's end");
    }
  }

  // Guards against a running server that is taken for another program's entry,
  // because its own registration lapsed with the registry and is the newer one
  // since.
  void keepsTheKeyOfAServerThatLapsesAndReturns() {
    ServerKeys keys;
    keys.claim(Server, "i-7f3a", 5, true);
    keys.claim(Server, "agent-7f3a", 9, true);
    expectTrue(keys.end(Server, "i-7f3a"), "it lapses");
    section("meanwhile the other one does not speak", [&] {
      expectTrue(!keys.claim(Server, "agent-7f3a", 9, false), "a renewal");
      expectTrue(!keys.claim(Server, "unit-7f3a", 3, true), "a third one");
      expectTrue(!keys.end(Server, "unit-7f3a"), "its end");
    });
    expectTrue(keys.claim(Server, "i-7f3a", 12, true), "it is back");
    expectTrue(!keys.claim(Server, "agent-7f3a", 9, false), "a renewal");
    expectTrue(keys.maySpeakFor(Server, "i-7f3a"), "still its own key");
  }

  void forgetsKeysThatHaveEnded() {
    ServerKeys keys;
    keys.claim(Server, "i-7f3a", 5, true);
    keys.claim(Server, "agent-7f3a", 9, true);
    keys.end(Server, "i-7f3a");
    expectTrue(keys.isDisputed(Server), "the other one stands");
    keys.end(Server, "agent-7f3a");
    expectTrue(!keys.isDisputed(Server), "none stands");
    expectTrue(keys.claim(Server, "agent-7f3a", 15, true), "a server's key");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerKeysTest);
