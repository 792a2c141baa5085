#include "chicorybank/token/Backends.h"

#include "Story.h"

using namespace story;
using namespace chicory;
using namespace chicory::token;
using namespace std::chrono_literals;

namespace {

constexpr Time Start{100s};
constexpr ServiceId Records{1};

Registration server(uint64_t id) {
  return {.Id = BackendId{id}, .Service = Records, .Zone = "a", .Slots = 2};
}

} // namespace

class BackendsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BackendsTest);
  CPPUNIT_TEST(turnsGoneOnlyWhenTrusted);
  CPPUNIT_TEST(takesBackWhoReturns);
  CPPUNIT_TEST(forgetsTheGoneAfterALongestFlow);
  CPPUNIT_TEST(seesSharedTokens);
  CPPUNIT_TEST(endsTheFormerOwnerOfAnAddress);
  CPPUNIT_TEST(endsNobodyWhoMovedAway);
  CPPUNIT_TEST_SUITE_END();

  // Symptom: open flows to a healthy server are reset after an outage.
  // Sequence: the registry is away, registrations lapse, it returns without
  // them, servers register again a second later.
  // Cause: a missing registration taken for the end of its server.
  void turnsGoneOnlyWhenTrusted() {
    Backends list({});
    list.learn(server(1), Start);
    expectTrue(list.lost(BackendId{1}, Start), "its standing changes");
    expectTrue(list.update(false, Start).empty(), "not while in doubt");
    expectTrue(list.at(0).State == Standing::Missing, "it is missing");
    section("the registry can be trusted again", [&] {
      expectEqual<size_t>(1, list.update(true, Start).size());
      expectTrue(list.at(0).State == Standing::Gone, "it is gone");
      expectTrue(list.update(true, Start).empty(), "and told once");
      expectEqual<size_t>(0, list.size());
    });
  }

  void takesBackWhoReturns() {
    Backends list({});
    list.learn(server(1), Start);
    list.lost(BackendId{1}, Start);
    list.update(true, Start);
    expectTrue(list.learn(server(1), Start), "its standing changes");
    expectTrue(list.at(0).takesNew(), "it takes flows");
    expectEqual<size_t>(1, list.size());
  }

  void forgetsTheGoneAfterALongestFlow() {
    Backends list({.RememberGone = 60s});
    list.learn(server(1), Start);
    list.lost(BackendId{1}, Start);
    list.update(true, Start);
    Token token = tokenOf(BackendId{1});
    list.update(true, Start + 60s);
    expectEqual<size_t>(1, list.withToken(token).size());
    list.update(true, Start + 61s);
    expectEqual<size_t>(0, list.withToken(token).size());
    expectTrue(list.find(BackendId{1}) == NoBackend, "it is forgotten");
  }

  // Symptom: for seconds, requests wait in flows of a server that has died, and
  // probes of its address are answered.
  // Sequence: it falls silent; two seconds later another service's server is
  // started at its address; its own registration lapses only after that.
  // Cause: an address taken for a server.
  void endsTheFormerOwnerOfAnAddress() {
    auto at = [](uint64_t id, uint64_t order) {
      Registration out = server(id);
      out.Where = {.Ip = 10, .Port = 80};
      out.Order = order;
      return out;
    };
    property("whichever registration is read first", [&] {
      Backends list({});
      bool newerFirst = *rc::gen::arbitrary<bool>();
      list.learn(newerFirst ? at(2, 9) : at(1, 5), Start);
      list.learn(newerFirst ? at(1, 5) : at(2, 9), Start);
      auto ended = list.update(false, Start);
      RC_ASSERT(ended.size() == 1U);
      RC_ASSERT(list.at(ended[0]).Info.Id == BackendId{1});
      RC_ASSERT(list.at(ended[0]).State == Standing::Gone);
      RC_ASSERT(list.size() == 1U);
      list.learn(at(1, 5), Start);
      RC_ASSERT(list.at(ended[0]).State == Standing::Gone);
      RC_ASSERT(list.update(false, Start).empty());
    });
  }

  void endsNobodyWhoMovedAway() {
    Backends list({});
    Registration moving = server(1);
    moving.Where = {.Ip = 10, .Port = 80};
    moving.Order = 5;
    list.learn(moving, Start);
    moving.Where = {.Ip = 11, .Port = 80};
    list.learn(moving, Start);
    Registration next = server(2);
    next.Where = {.Ip = 10, .Port = 80};
    next.Order = 9;
    list.learn(next, Start);
    expectTrue(list.update(false, Start).empty(), "nobody has ended");
    expectEqual<size_t>(2, list.size());
  }

  void seesSharedTokens() {
    Backends list({});
    constexpr uint64_t High = uint64_t{1} << 32;
    list.learn(server(5), Start);
    expectTrue(!list.sharesToken(0), "alone");
    list.learn(server(High | 4), Start);
    expectTrue(tokenOf(BackendId{High | 4}) == tokenOf(BackendId{5}),
               "two ids, one token");
    expectTrue(list.sharesToken(0) && list.sharesToken(1), "both share it");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendsTest);
