#include "chicorybank/edge/InstanceRegistrar.h"

#include "RegistrySamples.h"
#include "Story.h"

using namespace story;
using namespace samples::registry;

namespace {

const platform::StoreDialect Dialect;
constexpr auto OwnRecord =
    "/-/kv-key?key=chicorybank/instances/0.0.0.1&serializable=1";

Item formerRecord(bool leaving) {
  std::string value = R"({"zone":"a","peers":"0.0.0.1:2")";
  value += leaving ? R"(,"leaving":true})" : "}";
  return {.Key = "chicorybank/instances/0.0.0.1",
          .Value = value,
          .At = at(7),
          .Created = 7};
}

/// Returns an answer with the record of the previous process, under lease 9.
std::string record(bool leaving) {
  return itemAnswer(formerRecord(leaving), 9);
}

struct RegistrarFixture {
  InstanceRegistrar Registrar{
      Dialect, {.Id = InstanceId{1}, .Zone = "a", .PeerAddress = {1, 2}}, {}};
  Time Now = Start;

  /// Answers the call that is due, and returns its target.
  std::string step(int status, const std::string &body = "{}") {
    auto call = Registrar.next(Now);
    if (!call)
      return {};
    Registrar.answered({.Status = status, .Body = body}, Now);
    return call->Target;
  }
  /// Answers that there is no record of a previous process.
  RegistrarFixture &skipFormerRecord() {
    step(404);
    return *this;
  }
  /// Lets the local cache show this instance's record, or none.
  RegistrarFixture &show(const std::optional<Item> &item) {
    RegistryCache cache(Dialect);
    Findings findings;
    ItemPage page{.At = at(9)};
    if (item)
      page.Items.push_back(*item);
    cache.replaceAll(page, findings);
    Registrar.confirmTakeOver(cache, Now);
    return *this;
  }
  void announce() {
    skipFormerRecord();
    step(Ok, R"({"lease":5})");
    step(Ok);
  }
};

} // namespace

class InstanceRegistrarTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InstanceRegistrarTest);
  CPPUNIT_TEST(createsLeaseWritesRecordAndRenews);
  CPPUNIT_TEST(createsNewLeaseAfterLeaseEnded);
  CPPUNIT_TEST(rewritesRemovedRecord);
  CPPUNIT_TEST(ignoresCacheFromBeforeTheWrite);
  CPPUNIT_TEST(retriesAfterDelay);
  CPPUNIT_TEST(marksRecordAsLeaving);
  CPPUNIT_TEST(takesOverRecordAndLeaseAfterRestart);
  CPPUNIT_TEST(usesNoLeaseFromAnUnconfirmedRead);
  CPPUNIT_TEST(rewritesRecordMarkedAsLeaving);
  CPPUNIT_TEST(createsNewLeaseAfterStaleRead);
  CPPUNIT_TEST(rereadsRecordAfterRestore);
  CPPUNIT_TEST(dropsLeaseFromBeforeRestore);
  CPPUNIT_TEST_SUITE_END();

  void rereadsRecordAfterRestore() {
    RegistrarFixture it;
    it.announce();
    it.Registrar.registryRestored();
    expectEqual<std::string>("", it.step(Ok));
    it.Now += RegistrarTimes{}.RenewInterval;
    section("with its next renewal, by a current read", [&] {
      expectEqual<std::string>("/-/kv-key?key=chicorybank/instances/0.0.0.1",
                               it.step(Ok, record(false)));
      expectEqual<std::string>("/-/kv-keep/9", it.step(Ok));
    });
    section("a lost record is written again", [&] {
      it.Registrar.registryRestored();
      it.Now += RegistrarTimes{}.RenewInterval;
      it.step(404);
      expectEqual<std::string>("/-/kv-lease", it.step(Ok, R"({"lease":6})"));
      expectEqual<std::string>("/-/kv-txn", it.step(Ok));
    });
    section("an instance that leaves meanwhile does not end the lease", [&] {
      it.Registrar.registryRestored();
      expectTrue(!it.Registrar.leave(), "it may belong to another instance");
    });
  }

  // Guards against an instance that renews the lease of another one for good.
  // It creates a lease; the registry is restored to a state before that and
  // gives the same number to another instance; the first one writes its record
  // under that lease and finds it there. So the number alone does not identify
  // a lease.
  void dropsLeaseFromBeforeRestore() {
    RegistrarFixture it;
    it.skipFormerRecord();
    auto answer = [&](uint64_t generation, const std::string &body) {
      auto call = it.Registrar.next(it.Now);
      it.Registrar.answered(
          {.Status = Ok, .Body = body, .Generation = Generation{generation}},
          it.Now);
      return call ? call->Target : std::string();
    };
    expectEqual<std::string>("/-/kv-lease", answer(1, R"({"lease":5})"));
    expectEqual<std::string>("/-/kv-txn", answer(2, "{}"));
    it.Registrar.registryRestored();
    expectEqual<std::string>("/-/kv-lease", answer(2, R"({"lease":6})"));
  }

  void createsLeaseWritesRecordAndRenews() {
    RegistrarFixture it;
    it.skipFormerRecord();
    expectEqual<std::string>("/-/kv-lease", it.step(Ok, R"({"lease":5})"));
    expectEqual<std::string>("/-/kv-txn", it.step(Ok));
    expectEqual<std::string>("", it.step(Ok));
    it.Now += RegistrarTimes{}.RenewInterval;
    expectEqual<std::string>("/-/kv-keep/5", it.step(Ok));
  }

  // Guards against an instance that stays missing from the propagation tree: it
  // is suspended for longer than its lease, and then keeps renewing the lease
  // that has ended.
  void createsNewLeaseAfterLeaseEnded() {
    RegistrarFixture it;
    it.announce();
    it.Now += RegistrarTimes{}.RenewInterval;
    expectEqual<std::string>("/-/kv-keep/5", it.step(404));
    expectEqual<std::string>("/-/kv-lease", it.step(Ok, R"({"lease":6})"));
  }

  // Guards against an instance that stays missing from the propagation tree
  // although its renewals succeed: the registry has removed the key and kept
  // the lease, so a renewed lease does not prove that the record exists.
  void rewritesRemovedRecord() {
    RegistrarFixture it;
    it.announce();
    it.Now += 1s;
    it.Registrar.checkRecord(nullptr, it.Now);
    expectEqual<std::string>("", it.step(Ok));
    it.Now += 3100ms;
    it.Registrar.checkRecord(nullptr, it.Now);
    expectEqual<std::string>("/-/kv-lease", it.step(Ok, R"({"lease":6})"));
  }

  // When a deployment starts, the first update may come five seconds late, with
  // the state as of the start. Without regard to the age of the cache, a third
  // of all instances would write their record twice.
  void ignoresCacheFromBeforeTheWrite() {
    RegistrarFixture it;
    it.announce();
    it.Now += 4200ms;
    it.Registrar.checkRecord(nullptr, it.Now - 4100ms);
    expectEqual<std::string>("", it.step(Ok));
  }

  void retriesAfterDelay() {
    RegistrarFixture it;
    it.skipFormerRecord();
    expectEqual<std::string>("/-/kv-lease", it.step(503));
    expectEqual<std::string>("", it.step(Ok));
    it.Now += 1500ms;
    expectEqual<std::string>("/-/kv-lease", it.step(Ok, "no lease"));
    it.Now += 1500ms;
    expectEqual<std::string>("/-/kv-lease", it.step(Ok, R"({"lease":6})"));
  }

  void marksRecordAsLeaving() {
    RegistrarFixture it;
    expectTrue(!it.Registrar.leave(), "there is no record");
    RegistrarFixture other;
    other.announce();
    auto last = other.Registrar.leave();
    expectEqual<std::string>("/-/kv-txn", last->Target);
    section("its record says that it leaves, and ends with its lease", [&] {
      PeerRecord self{.Id = InstanceId{1}, .Zone = "a", .PeerAddress = {1, 2}};
      self.Leaving = true;
      expectEqual(Dialect.writeInstanceRecord(self, 5).Body, last->Body);
      self.Leaving = false;
      expectTrue(Dialect.writeInstanceRecord(self, 5).Body != last->Body,
                 "the record differs");
    });
    other.Now += 10s;
    expectEqual<std::string>("", other.step(Ok));
    section("a lease without a record is ended", [] {
      RegistrarFixture early;
      early.skipFormerRecord();
      early.step(Ok, R"({"lease":6})");
      expectEqual<std::string>("/-/kv-lease-end/6",
                               early.Registrar.leave()->Target);
    });
  }

  // Of 735 starts in a day, most are restarts at the same address before the
  // lease ends. A new lease and record are two writes at full
  // cost; reading the record and renewing its lease cost a tenth each.
  void takesOverRecordAndLeaseAfterRestart() {
    RegistrarFixture it;
    expectEqual<std::string>(OwnRecord, it.step(Ok, record(false)));
    it.show(formerRecord(false));
    expectEqual<std::string>("/-/kv-keep/9", it.step(Ok));
    it.Now += RegistrarTimes{}.RenewInterval;
    expectEqual<std::string>("/-/kv-keep/9", it.step(Ok));
  }

  // Guards against an instance that renews the lease of another one: a restore
  // has given the number of its predecessor's lease away, and the read of its
  // record was from before that.
  void usesNoLeaseFromAnUnconfirmedRead() {
    constexpr auto CurrentRead = "/-/kv-key?key=chicorybank/instances/0.0.0.1";
    RegistrarFixture it;
    it.step(Ok, record(false));
    section("before a current cache has shown the record", [&] {
      expectEqual<std::string>("", it.step(Ok));
      Time readAt = std::exchange(it.Now, it.Now - 1ms);
      it.show(formerRecord(false));
      it.Now = readAt;
      expectEqual<std::string>("", it.step(Ok));
      expectTrue(!it.Registrar.leave(), "not even to leave");
    });
    section("if the cache has another write", [] {
      RegistrarFixture other;
      other.step(Ok, record(false));
      Item later = formerRecord(false);
      later.At = at(8);
      other.show(later);
      expectEqual<std::string>(CurrentRead, other.step(Ok, record(false)));
      expectEqual<std::string>("/-/kv-keep/9", other.step(Ok));
    });
    section("if the cache has none", [] {
      RegistrarFixture lost;
      lost.step(Ok, record(false));
      lost.show(std::nullopt);
      expectEqual<std::string>(CurrentRead, lost.step(404));
      expectEqual<std::string>("/-/kv-lease", lost.step(Ok));
    });
    section("if the cache does not become current in time", [] {
      RegistrarFixture late;
      late.step(Ok, record(false));
      late.Now += RegistrarTimes{}.VisibleWithin;
      expectEqual<std::string>(CurrentRead, late.step(Ok, record(false)));
      expectEqual<std::string>("/-/kv-keep/9", late.step(Ok));
    });
  }

  // Guards against an instance that gets no updates after a planned restart.
  // Its previous process marked the record as leaving. The new one takes over
  // the lease, and has to rewrite a record that exists but is marked.
  void rewritesRecordMarkedAsLeaving() {
    RegistrarFixture it;
    it.step(Ok, record(true));
    it.show(formerRecord(true));
    expectEqual<std::string>("/-/kv-txn", it.step(Ok));
    section("the stale read was from before the mark", [] {
      RegistrarFixture early;
      early.step(Ok, record(false));
      Item marked = formerRecord(true);
      marked.At = at(8);
      early.show(marked);
      expectEqual<std::string>("/-/kv-key?key=chicorybank/instances/0.0.0.1",
                               early.step(Ok, record(true)));
      expectEqual<std::string>("/-/kv-txn", early.step(Ok));
    });
    section("it is marked after it was taken over", [] {
      RegistrarFixture late;
      late.step(Ok, record(false));
      late.show(formerRecord(false));
      expectEqual<std::string>("/-/kv-keep/9", late.step(Ok));
      PeerRecord leaving{
          .Id = InstanceId{1}, .Zone = "a", .PeerAddress = {1, 2}};
      leaving.Leaving = true;
      late.Now += 4s;
      late.step(Ok);
      late.Registrar.checkRecord(&leaving, late.Now);
      expectEqual<std::string>("/-/kv-txn", late.step(Ok));
    });
  }

  // A stale read may return a record whose lease has ended since.
  void createsNewLeaseAfterStaleRead() {
    RegistrarFixture it;
    it.step(Ok, record(false));
    it.show(formerRecord(false));
    expectEqual<std::string>("/-/kv-keep/9", it.step(404));
    expectEqual<std::string>("/-/kv-lease", it.step(Ok, R"({"lease":10})"));
    section("the record may be marked as leaving", [] {
      RegistrarFixture left;
      left.step(Ok, record(true));
      left.show(formerRecord(true));
      expectEqual<std::string>("/-/kv-txn", left.step(404));
      expectEqual<std::string>("/-/kv-lease", left.step(Ok, "{}"));
    });
    section("or be unreadable", [] {
      RegistrarFixture bad;
      bad.step(Ok, "no item");
      expectEqual<std::string>("/-/kv-lease", bad.step(Ok, "{}"));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InstanceRegistrarTest);
