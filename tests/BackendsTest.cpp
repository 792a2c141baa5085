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
  CPPUNIT_TEST(knowsTheNewerAtAnAddressOverARestore);
  CPPUNIT_TEST(followsTheLivesOfAServer);
  CPPUNIT_TEST(keepsAServerWhoseRegistrationCannotBeRead);
  CPPUNIT_TEST_SUITE_END();

  // Symptom: a server that has started again gets nothing, since its former
  // life had fallen silent; or its former life's registration, executed late,
  // undoes the new one's.
  // Sequence: any order of registrations of two lives, and of ones that do not
  // say which life they are of.
  // Cause: an id taken for a life.
  void followsTheLivesOfAServer() {
    property("the newest life decides, whatever comes late", [] {
      Backends list({});
      int64_t newest = 0;
      for (int n = *rc::gen::inRange(1, 12); n > 0; --n) {
        Registration info = server(1);
        info.StartedAtMs = *rc::gen::element<int64_t>(0, 1000, 2000, 3000);
        info.Draining = *rc::gen::arbitrary<bool>();
        bool draining =
            list.indexEnd() != 0 && list.at(0).State == BackendState::Draining;
        list.applyRegistration(info, Start);
        auto reborn = list.takeRestarted();
        if (info.StartedAtMs != 0 && info.StartedAtMs < newest) {
          RC_ASSERT(reborn.empty());
          RC_ASSERT((list.at(0).State == BackendState::Draining) == draining);
          continue;
        }
        RC_ASSERT(reborn.size() == (newest != 0 && info.StartedAtMs > newest));
        newest = std::max(newest, info.StartedAtMs);
        RC_ASSERT(list.at(0).Info.StartedAtMs == newest);
        RC_ASSERT((list.at(0).State == BackendState::Draining) ==
                  info.Draining);
      }
    });
    section("what was believed of the former life is over", [] {
      Backends list({});
      Registration info = server(1);
      info.StartedAtMs = 1000;
      list.applyRegistration(info, Start);
      list.at(0).SuspectUntil = Start + 4s;
      list.at(0).Suspicions = 3;
      list.at(0).Probes.Failures = 3;
      list.at(0).Probes.Probing = true;
      info.StartedAtMs = 2000;
      list.applyRegistration(info, Start + 1s);
      expectTrue(!list.at(0).isSuspect(Start + 1s), "no suspicion");
      expectEqual<uint32_t>(0, list.at(0).Probes.Failures);
      expectTrue(list.at(0).Probes.Probing, "a probe is still under way");
    });
    section("a crash behind a lapse that was short", [] {
      Backends list({});
      Registration info = server(1);
      info.StartedAtMs = 1000;
      list.applyRegistration(info, Start);
      list.markMissing(BackendId{1}, Start + 1s);
      info.StartedAtMs = 2000;
      expectTrue(list.applyRegistration(info, Start + 2s), "it is back");
      expectEqual<size_t>(1, list.takeRestarted().size());
    });
  }

  // Symptom: a server that serves gets no new flows for ever, or its flows are
  // reset.
  // Sequence: someone else writes under its key; a second later it registers
  // itself again.
  // Cause: what can't be read taken for the end of its server, or ignored.
  void keepsAServerWhoseRegistrationCannotBeRead() {
    Backends list({});
    expectTrue(!list.markUnreadable(BackendId{1}), "it names nobody to use");
    list.applyRegistration(server(1), Start);
    expectTrue(list.markUnreadable(BackendId{1}), "its standing changes");
    expectTrue(!list.at(0).acceptsNewFlows(), "nothing new");
    expectTrue(list.expire(true, Start + 1h).empty(), "it has not ended");
    expectTrue(list.applyRegistration(server(1), Start + 1h),
               "it says so itself");
    expectTrue(list.at(0).acceptsNewFlows(), "again");
    section("its key ends while it can't be read", [&] {
      list.markUnreadable(BackendId{1});
      list.markMissing(BackendId{1}, Start + 1h);
      expectEqual<size_t>(1, list.expire(true, Start + 1h).size());
    });
  }

  // Symptom: open flows to a healthy server are reset after an outage.
  // Sequence: the registry is away, registrations lapse, it returns without
  // them, servers register again a second later.
  // Cause: a missing registration taken for the end of its server.
  void turnsGoneOnlyWhenTrusted() {
    Backends list({});
    list.applyRegistration(server(1), Start);
    expectTrue(list.markMissing(BackendId{1}, Start), "its standing changes");
    expectTrue(list.expire(false, Start).empty(), "not while in doubt");
    expectTrue(list.at(0).State == BackendState::Missing, "it is missing");
    section("the registry can be trusted again", [&] {
      expectEqual<size_t>(1, list.expire(true, Start).size());
      expectTrue(list.at(0).State == BackendState::Gone, "it is gone");
      expectTrue(list.expire(true, Start).empty(), "and told once");
      expectEqual<size_t>(0, list.size());
    });
  }

  void takesBackWhoReturns() {
    Backends list({});
    list.applyRegistration(server(1), Start);
    list.markMissing(BackendId{1}, Start);
    list.expire(true, Start);
    expectTrue(list.applyRegistration(server(1), Start),
               "its standing changes");
    expectTrue(list.at(0).acceptsNewFlows(), "it takes flows");
    expectEqual<size_t>(1, list.size());
  }

  void forgetsTheGoneAfterALongestFlow() {
    Backends list({.GoneRetention = 60s});
    list.applyRegistration(server(1), Start);
    list.markMissing(BackendId{1}, Start);
    list.expire(true, Start);
    Token token = tokenOf(BackendId{1});
    list.expire(true, Start + 60s);
    expectEqual<size_t>(1, list.withToken(token).size());
    list.expire(true, Start + 61s);
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
      out.Order.Revision = order;
      return out;
    };
    property("whichever registration is read first", [&] {
      Backends list({});
      bool newerFirst = *rc::gen::arbitrary<bool>();
      list.applyRegistration(newerFirst ? at(2, 9) : at(1, 5), Start);
      list.applyRegistration(newerFirst ? at(1, 5) : at(2, 9), Start);
      auto ended = list.expire(false, Start);
      RC_ASSERT(ended.size() == 1U);
      RC_ASSERT(list.at(ended[0]).Info.Id == BackendId{1});
      RC_ASSERT(list.at(ended[0]).State == BackendState::Gone);
      RC_ASSERT(list.size() == 1U);
      list.applyRegistration(at(1, 5), Start);
      RC_ASSERT(list.at(ended[0]).State == BackendState::Gone);
      RC_ASSERT(list.expire(false, Start).empty());
    });
  }

  void endsNobodyWhoMovedAway() {
    Backends list({});
    Registration moving = server(1);
    moving.Where = {.Ip = 10, .Port = 80};
    moving.Order.Revision = 5;
    list.applyRegistration(moving, Start);
    moving.Where = {.Ip = 11, .Port = 80};
    list.applyRegistration(moving, Start);
    Registration next = server(2);
    next.Where = {.Ip = 10, .Port = 80};
    next.Order.Revision = 9;
    list.applyRegistration(next, Start);
    expectTrue(list.expire(false, Start).empty(), "nobody has ended");
    expectEqual<size_t>(2, list.size());
  }

  // Guards against resetting the flows of a server that lives, since a restored
  // registry shows its dead predecessor in a new generation.
  void knowsTheNewerAtAnAddressOverARestore() {
    auto at = [](uint64_t id, RegistrationOrder order) {
      Registration out = server(id);
      out.Where = {.Ip = 10, .Port = 80};
      out.Order = order;
      return out;
    };
    Backends list({});
    list.applyRegistration(at(1, {.Generation = 1, .Revision = 20}), Start);
    list.applyRegistration(at(2, {.Generation = 1, .Revision = 50}), Start);
    list.expire(false, Start);
    list.applyRegistration(at(1, {.Generation = 2, .Revision = 20}), Start);
    expectTrue(list.at(list.find(BackendId{2})).State == BackendState::Ready,
               "the successor stays");
    expectTrue(list.at(list.find(BackendId{1})).State == BackendState::Gone,
               "the predecessor does not come back");
    section("a third one that registers after the restore is newer", [&] {
      list.applyRegistration(at(3, {.Generation = 2, .Revision = 45}), Start);
      expectTrue(list.at(list.find(BackendId{2})).State == BackendState::Gone,
                 "the second has ended");
    });
  }

  void seesSharedTokens() {
    Backends list({});
    constexpr uint64_t High = uint64_t{1} << 32;
    list.applyRegistration(server(5), Start);
    expectTrue(!list.sharesToken(0), "alone");
    list.applyRegistration(server(High | 4), Start);
    expectTrue(tokenOf(BackendId{High | 4}) == tokenOf(BackendId{5}),
               "two ids, one token");
    expectTrue(list.sharesToken(0) && list.sharesToken(1), "both share it");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendsTest);
