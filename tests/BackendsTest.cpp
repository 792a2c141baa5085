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
  CPPUNIT_TEST(marksGoneOnlyWhenTrusted);
  CPPUNIT_TEST(acceptsAServerThatReturns);
  CPPUNIT_TEST(removesGoneServersAfterTheMaximumFlowAge);
  CPPUNIT_TEST(detectsSharedTokens);
  CPPUNIT_TEST(marksTheEarlierOwnerOfAnAddressGone);
  CPPUNIT_TEST(keepsAServerThatChangedItsAddress);
  CPPUNIT_TEST(keepsTheNewerOwnerOfAnAddressAfterARestore);
  CPPUNIT_TEST(detectsRestartsOfAServer);
  CPPUNIT_TEST(keepsAServerWithAnUnreadableRegistration);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a restarted server that gets no flows because its earlier
  // process had stopped answering, and against a late registration of the
  // earlier process that overwrites the new one. Registrations of several
  // processes of a server, some without a start time, arrive in any order.
  void detectsRestartsOfAServer() {
    property("the newest start time wins over late registrations", [] {
      Backends list({});
      int64_t newest = 0;
      for (int n = *rc::gen::inRange(1, 12); n > 0; --n) {
        Registration info = server(1);
        info.StartedAtMs = *rc::gen::element<int64_t>(0, 1000, 2000, 3000);
        info.Draining = *rc::gen::arbitrary<bool>();
        bool draining =
            list.indexEnd() != 0 && list.at(0).State == BackendState::Draining;
        list.applyRegistration(info, Start);
        auto restarted = list.takeRestarted();
        if (info.StartedAtMs != 0 && info.StartedAtMs < newest) {
          RC_ASSERT(restarted.empty());
          RC_ASSERT((list.at(0).State == BackendState::Draining) == draining);
          continue;
        }
        RC_ASSERT(restarted.size() ==
                  (newest != 0 && info.StartedAtMs > newest));
        newest = std::max(newest, info.StartedAtMs);
        RC_ASSERT(list.at(0).Info.StartedAtMs == newest);
        RC_ASSERT((list.at(0).State == BackendState::Draining) ==
                  info.Draining);
      }
    });
    section("observations of the earlier process are discarded", [] {
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
    section("a restart while the registration is missing", [] {
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

  // Guards against a running server that gets no new flows for ever, or whose
  // flows are reset, after another program has overwritten its key. The server
  // registers itself again a second later.
  void keepsAServerWithAnUnreadableRegistration() {
    Backends list({});
    expectTrue(!list.markUnreadable(BackendId{1}), "the server is unknown");
    list.applyRegistration(server(1), Start);
    expectTrue(list.markUnreadable(BackendId{1}), "the state changes");
    expectTrue(!list.at(0).acceptsNewFlows(), "no new flows");
    expectTrue(list.expire(true, Start + 1h).empty(), "it has not ended");
    expectTrue(list.applyRegistration(server(1), Start + 1h),
               "it has registered again");
    expectTrue(list.at(0).acceptsNewFlows(), "it accepts new flows again");
    section("its key is deleted while it is unreadable", [&] {
      list.markUnreadable(BackendId{1});
      list.markMissing(BackendId{1}, Start + 1h);
      expectEqual<size_t>(1, list.expire(true, Start + 1h).size());
    });
  }

  // Guards against resets of open flows to healthy servers after an outage:
  // while the registry is down registrations expire, it returns without them,
  // and the servers register again a second later. A missing registration does
  // not prove that its server has ended.
  void marksGoneOnlyWhenTrusted() {
    Backends list({});
    list.applyRegistration(server(1), Start);
    expectTrue(list.markMissing(BackendId{1}, Start), "the state changes");
    expectTrue(list.expire(false, Start).empty(),
               "nothing while the registry is not trusted");
    expectTrue(list.at(0).State == BackendState::Missing, "it is missing");
    section("the registry can be trusted again", [&] {
      expectEqual<size_t>(1, list.expire(true, Start).size());
      expectTrue(list.at(0).State == BackendState::Gone, "it is gone");
      expectTrue(list.expire(true, Start).empty(),
                 "a server that is gone is reported only once");
      expectEqual<size_t>(0, list.size());
    });
  }

  void acceptsAServerThatReturns() {
    Backends list({});
    list.applyRegistration(server(1), Start);
    list.markMissing(BackendId{1}, Start);
    list.expire(true, Start);
    expectTrue(list.applyRegistration(server(1), Start), "the state changes");
    expectTrue(list.at(0).acceptsNewFlows(), "it accepts new flows");
    expectEqual<size_t>(1, list.size());
  }

  void removesGoneServersAfterTheMaximumFlowAge() {
    Backends list({.GoneRetention = 60s});
    list.applyRegistration(server(1), Start);
    list.markMissing(BackendId{1}, Start);
    list.expire(true, Start);
    Token token = tokenOf(BackendId{1});
    list.expire(true, Start + 60s);
    expectEqual<size_t>(1, list.withToken(token).size());
    list.expire(true, Start + 61s);
    expectEqual<size_t>(0, list.withToken(token).size());
    expectTrue(list.find(BackendId{1}) == NoBackend, "it was removed");
  }

  // Guards against requests that wait for seconds at a server that has crashed,
  // while probes of its address are answered: two seconds after the crash a
  // server of another service is started at that address, and the registration
  // of the crashed server expires only later.
  void marksTheEarlierOwnerOfAnAddressGone() {
    auto at = [](uint64_t id, uint64_t order) {
      Registration out = server(id);
      out.Where = {.Ip = 10, .Port = 80};
      out.Order.Revision = order;
      return out;
    };
    property("the order in which the registrations are read does not matter",
             [&] {
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

  void keepsAServerThatChangedItsAddress() {
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
    expectTrue(list.expire(false, Start).empty(), "no server has ended");
    expectEqual<size_t>(2, list.size());
  }

  // Guards against resets of the flows of a running server because a restored
  // registry lists the earlier owner of its address in a new generation.
  void keepsTheNewerOwnerOfAnAddressAfterARestore() {
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
               "the newer owner stays");
    expectTrue(list.at(list.find(BackendId{1})).State == BackendState::Gone,
               "the earlier owner does not come back");
    section("a server that registers after the restore is newer", [&] {
      list.applyRegistration(at(3, {.Generation = 2, .Revision = 45}), Start);
      expectTrue(list.at(list.find(BackendId{2})).State == BackendState::Gone,
                 "the second server has ended");
    });
  }

  void detectsSharedTokens() {
    Backends list({});
    constexpr uint64_t High = uint64_t{1} << 32;
    list.applyRegistration(server(5), Start);
    expectTrue(!list.sharesToken(0), "no other server");
    list.applyRegistration(server(High | 4), Start);
    expectTrue(tokenOf(BackendId{High | 4}) == tokenOf(BackendId{5}),
               "both ids have the same token");
    expectTrue(list.sharesToken(0) && list.sharesToken(1), "both share it");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendsTest);
