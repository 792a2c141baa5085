#include "chicorybank/edge/ServerKeys.h"

#include "Story.h"

using namespace story;
using namespace chicory;
using namespace chicory::edge;

class ServerKeysTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerKeysTest);
  CPPUNIT_TEST(prefersTheOldestRegistration);
  CPPUNIT_TEST(keepsTheKeyOfAServerThatLapsesAndReturns);
  CPPUNIT_TEST(keepsARunningServersKey);
  CPPUNIT_TEST(prefersNamedServices);
  CPPUNIT_TEST(forgetsKeysThatHaveEnded);
  CPPUNIT_TEST_SUITE_END();

  static constexpr token::BackendId Server{0x7f3a};

  // Guards against instances that start and take an entry of another program
  // for the server's, because its key comes first in a list.
  void prefersTheOldestRegistration() {
    for (bool ownKeyFirst : {false, true}) {
      ServerKeys keys;
      if (ownKeyFirst)
        expectTrue(keys.claim(Server, "i-7f3a", {.Created = 5, .IsNew = true}),
                   "it is alone");
      bool other =
          keys.claim(Server, "agent-7f3a", {.Created = 9, .IsNew = true});
      expectTrue(other != ownKeyFirst, "only until the older one is known");
      expectTrue(
          keys.claim(Server, "i-7f3a", {.Created = 5, .IsNew = !ownKeyFirst}),
          "the older");
      expectTrue(!keys.mayOwn(Server, "agent-7f3a"), "the newer one");
      expectTrue(!keys.end(Server, "agent-7f3a"), "its end says nothing");
      expectTrue(keys.end(Server, "i-7f3a"), "the server's end");
    }
  }

  // Guards against a running server that is taken for another program's entry,
  // because its own registration lapsed with the registry and is the newer one
  // since.
  void keepsTheKeyOfAServerThatLapsesAndReturns() {
    ServerKeys keys;
    keys.claim(Server, "i-7f3a", {.Created = 5, .IsNew = true});
    keys.claim(Server, "agent-7f3a", {.Created = 9, .IsNew = true});
    expectTrue(keys.end(Server, "i-7f3a"), "it lapses");
    section("meanwhile the other one does not own the id", [&] {
      expectTrue(!keys.claim(Server, "agent-7f3a", {.Created = 9}),
                 "a renewal");
      expectTrue(
          !keys.claim(Server, "unit-7f3a", {.Created = 3, .IsNew = true}),
          "a third one");
      expectTrue(!keys.end(Server, "unit-7f3a"), "its end");
    });
    expectTrue(keys.claim(Server, "i-7f3a", {.Created = 12, .IsNew = true}),
               "it is back");
    expectTrue(!keys.claim(Server, "agent-7f3a", {.Created = 9}), "a renewal");
    expectTrue(keys.mayOwn(Server, "i-7f3a"), "still its own key");
  }

  // Guards against a running server that is replaced by an entry of another
  // program which could not be read until then, and whose key is the older one.
  void keepsARunningServersKey() {
    ServerKeys keys;
    keys.claim(Server, "i-7f3a", {.Created = 5, .IsNew = true});
    expectTrue(!keys.claim(Server, "agent-7f3a", {.Created = 3}),
               "its key was known before, and held no registration");
    expectTrue(!keys.end(Server, "agent-7f3a"), "its end says nothing");
  }

  // Guards against an entry of a service that nobody has configured which gets
  // a server's place, because its key is older than the server's.
  void prefersNamedServices() {
    constexpr ServiceId Named{7};
    constexpr ServiceId Other{8};
    ServerKeys keys;
    keys.learnRoutes({.Routes = {{.Services = {{.Service = Named}}}}});
    keys.claim(Server, "agent-7f3a",
               {.Created = 3, .Service = Other, .IsNew = true});
    keys.takeRecheck();
    KeyClaim own{.Created = 5, .Service = Named, .IsNew = true};
    section("the older entry gives way", [&] {
      expectTrue(keys.claim(Server, "i-7f3a", own), "a named service");
      expectTrue(keys.takeRecheck(), "the other key has lost its place");
      expectTrue(!keys.end(Server, "agent-7f3a"), "its end says nothing");
    });
    section("a server that is known before its service is configured", [&] {
      keys.learnRoutes({});
      keys.claim(Server, "agent-7f3a",
                 {.Created = 3, .Service = Other, .IsNew = true});
      expectTrue(!keys.claim(Server, "i-7f3a", own), "the newer one");
      keys.learnRoutes({.Routes = {{.Services = {{.Service = Named}}}}});
      expectTrue(keys.takeRecheck(), "the configuration decides");
      own.IsNew = false;
      expectTrue(keys.claim(Server, "i-7f3a", own), "a named service");
    });
    section("the end of an entry that gave no server", [&] {
      keys.learnRoutes({});
      keys.end(Server, "i-7f3a");
      expectTrue(keys.takeRecheck(), "the other key may own the id");
    });
  }

  void forgetsKeysThatHaveEnded() {
    ServerKeys keys;
    keys.claim(Server, "i-7f3a", {.Created = 5, .IsNew = true});
    keys.claim(Server, "agent-7f3a", {.Created = 9, .IsNew = true});
    keys.end(Server, "i-7f3a");
    expectTrue(keys.hasConflict(Server), "the other one stands");
    keys.end(Server, "agent-7f3a");
    expectTrue(!keys.hasConflict(Server), "none stands");
    expectTrue(keys.claim(Server, "agent-7f3a", {.Created = 15, .IsNew = true}),
               "a server's key");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerKeysTest);
