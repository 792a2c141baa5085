#include "chicorybank/edge/InstanceRegistrar.h"

#include "RegistrySamples.h"
#include "Story.h"

using namespace story;
using namespace samples::registry;

namespace {

const platform::StoreDialect Dialect;
constexpr auto OwnRecord =
    "/-/kv-key?key=chicorybank/instances/0.0.0.1&serializable=1";

/// The answer with the record that a former process left, under lease 9.
std::string record(bool leaving) {
  std::string value = R"({"zone":"a","peers":"0.0.0.1:2")";
  value += leaving ? R"(,"leaving":true})" : "}";
  return itemAnswer({.Key = "chicorybank/instances/0.0.0.1", .Value = value},
                    9);
}

struct Announcing {
  InstanceRegistrar Record{
      Dialect, {.Id = InstanceId{1}, .Zone = "a", .PeerAddress = {1, 2}}, {}};
  Time Now = Start;

  /// The target of the call that is due; it gets this answer.
  std::string step(int status, const std::string &body = "{}") {
    auto call = Record.next(Now);
    if (!call)
      return {};
    Record.answered({.Status = status, .Body = body}, Now);
    return call->Target;
  }
  /// There is no record of a former process.
  Announcing &fresh() {
    step(404);
    return *this;
  }
  void announce() {
    fresh();
    step(Ok, R"({"lease":5})");
    step(Ok);
  }
};

} // namespace

class InstanceRegistrarTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InstanceRegistrarTest);
  CPPUNIT_TEST(leasesWritesAndRenews);
  CPPUNIT_TEST(beginsAnewWhenTheLeaseHasEnded);
  CPPUNIT_TEST(writesAgainWhenTheRecordWasTakenAway);
  CPPUNIT_TEST(waitsForACopyThatCanHaveTheRecord);
  CPPUNIT_TEST(triesAgainLater);
  CPPUNIT_TEST(saysThatItLeaves);
  CPPUNIT_TEST(takesOverTheRecordOfAFormerProcess);
  CPPUNIT_TEST(writesTheRecordOfAFormerProcessThatLeft);
  CPPUNIT_TEST(beginsAnewAfterAnOldRecord);
  CPPUNIT_TEST(looksItsLeaseUpAfterARestore);
  CPPUNIT_TEST(givesUpALeaseThatARestoreMayHaveGivenToAnother);
  CPPUNIT_TEST_SUITE_END();

  void looksItsLeaseUpAfterARestore() {
    Announcing it;
    it.announce();
    it.Record.registryRestored();
    expectEqual<std::string>("", it.step(Ok));
    it.Now += RegistrarTimes{}.RenewInterval;
    section("with its next renewal, by a read that is not old", [&] {
      expectEqual<std::string>("/-/kv-key?key=chicorybank/instances/0.0.0.1",
                               it.step(Ok, record(false)));
      expectEqual<std::string>("/-/kv-keep/9", it.step(Ok));
    });
    section("a record that is lost is written anew", [&] {
      it.Record.registryRestored();
      it.Now += RegistrarTimes{}.RenewInterval;
      it.step(404);
      expectEqual<std::string>("/-/kv-lease", it.step(Ok, R"({"lease":6})"));
      expectEqual<std::string>("/-/kv-txn", it.step(Ok));
    });
    section("and one that leaves meanwhile sends no lease", [&] {
      it.Record.registryRestored();
      expectTrue(!it.Record.leave(), "it may be another's");
    });
  }

  // Symptom: an instance renews the lease of another one, for good.
  // Sequence: it creates a lease; the registry is restored from before that and
  // gives the same number to another instance; the first one writes its record
  // under it, and finds it there when it looks.
  // Cause: a lease known by its number alone.
  void givesUpALeaseThatARestoreMayHaveGivenToAnother() {
    Announcing it;
    it.fresh();
    auto answer = [&](uint64_t generation, const std::string &body) {
      auto call = it.Record.next(it.Now);
      it.Record.answered(
          {.Status = Ok, .Body = body, .Generation = Generation{generation}},
          it.Now);
      return call ? call->Target : std::string();
    };
    expectEqual<std::string>("/-/kv-lease", answer(1, R"({"lease":5})"));
    expectEqual<std::string>("/-/kv-txn", answer(2, "{}"));
    it.Record.registryRestored();
    expectEqual<std::string>("/-/kv-lease", answer(2, R"({"lease":6})"));
  }

  void leasesWritesAndRenews() {
    Announcing it;
    it.fresh();
    expectEqual<std::string>("/-/kv-lease", it.step(Ok, R"({"lease":5})"));
    expectEqual<std::string>("/-/kv-txn", it.step(Ok));
    expectEqual<std::string>("", it.step(Ok));
    it.Now += RegistrarTimes{}.RenewInterval;
    expectEqual<std::string>("/-/kv-keep/5", it.step(Ok));
  }

  // Symptom: an instance is missing in the others' order for good.
  // Sequence: it is paused for longer than its lease, then goes on.
  // Cause: it goes on renewing a lease that has ended.
  void beginsAnewWhenTheLeaseHasEnded() {
    Announcing it;
    it.announce();
    it.Now += RegistrarTimes{}.RenewInterval;
    expectEqual<std::string>("/-/kv-keep/5", it.step(404));
    expectEqual<std::string>("/-/kv-lease", it.step(Ok, R"({"lease":6})"));
  }

  // Symptom: as above, and renewals succeed all the while.
  // Sequence: the registry takes the key away and keeps the lease.
  // Cause: a renewed lease taken for a record that is there.
  void writesAgainWhenTheRecordWasTakenAway() {
    Announcing it;
    it.announce();
    it.Now += 1s;
    it.Record.checkRecord(nullptr, it.Now);
    expectEqual<std::string>("", it.step(Ok));
    it.Now += 3100ms;
    it.Record.checkRecord(nullptr, it.Now);
    expectEqual<std::string>("/-/kv-lease", it.step(Ok, R"({"lease":6})"));
  }

  // Symptom: a third of all instances write their record twice when a
  // deployment starts.
  // Sequence: the first news after the start comes five seconds late, with the
  // copy as of the start.
  // Cause: the age of the copy not taken into account.
  void waitsForACopyThatCanHaveTheRecord() {
    Announcing it;
    it.announce();
    it.Now += 4200ms;
    it.Record.checkRecord(nullptr, it.Now - 4100ms);
    expectEqual<std::string>("", it.step(Ok));
  }

  void triesAgainLater() {
    Announcing it;
    it.fresh();
    expectEqual<std::string>("/-/kv-lease", it.step(503));
    expectEqual<std::string>("", it.step(Ok));
    it.Now += 1500ms;
    expectEqual<std::string>("/-/kv-lease", it.step(Ok, "no lease"));
    it.Now += 1500ms;
    expectEqual<std::string>("/-/kv-lease", it.step(Ok, R"({"lease":6})"));
  }

  void saysThatItLeaves() {
    Announcing it;
    expectTrue(!it.Record.leave(), "there is none");
    Announcing other;
    other.announce();
    auto last = other.Record.leave();
    expectEqual<std::string>("/-/kv-txn", last->Target);
    section("its record says that it leaves, and goes with its lease", [&] {
      PeerRecord self{.Id = InstanceId{1}, .Zone = "a", .PeerAddress = {1, 2}};
      self.Leaving = true;
      expectEqual(Dialect.writeInstanceRecord(self, 5).Body, last->Body);
      self.Leaving = false;
      expectTrue(Dialect.writeInstanceRecord(self, 5).Body != last->Body,
                 "as told");
    });
    other.Now += 10s;
    expectEqual<std::string>("", other.step(Ok));
    section("a lease without a record is ended", [] {
      Announcing early;
      early.fresh();
      early.step(Ok, R"({"lease":6})");
      expectEqual<std::string>("/-/kv-lease-end/6",
                               early.Record.leave()->Target);
    });
  }

  // Pattern: of 735 starts in a day, most come back at their address within the
  // lease's eight seconds. Grounds: a lease and a record are two writes at full
  // price; reading the record and renewing its lease cost a tenth each.
  void takesOverTheRecordOfAFormerProcess() {
    Announcing it;
    expectEqual<std::string>(OwnRecord, it.step(Ok, record(false)));
    expectEqual<std::string>("/-/kv-keep/9", it.step(Ok));
    it.Now += RegistrarTimes{}.RenewInterval;
    expectEqual<std::string>("/-/kv-keep/9", it.step(Ok));
  }

  // Symptom: after a planned restart nobody passes news on to an instance.
  // Sequence: its former process wrote that it leaves; it takes the lease over.
  // Cause: a record that stands taken for one that says what it should.
  void writesTheRecordOfAFormerProcessThatLeft() {
    Announcing it;
    it.step(Ok, record(true));
    expectEqual<std::string>("/-/kv-txn", it.step(Ok));
    section("the copy that was read was older than the mark", [] {
      Announcing late;
      late.step(Ok, record(false));
      expectEqual<std::string>("/-/kv-keep/9", late.step(Ok));
      PeerRecord leaving{
          .Id = InstanceId{1}, .Zone = "a", .PeerAddress = {1, 2}};
      leaving.Leaving = true;
      late.Now += 4s;
      late.step(Ok);
      late.Record.checkRecord(&leaving, late.Now);
      expectEqual<std::string>("/-/kv-txn", late.step(Ok));
    });
  }

  // The copy may show a record whose lease has ended since.
  void beginsAnewAfterAnOldRecord() {
    Announcing it;
    it.step(Ok, record(false));
    expectEqual<std::string>("/-/kv-keep/9", it.step(404));
    expectEqual<std::string>("/-/kv-lease", it.step(Ok, R"({"lease":10})"));
    section("so may one that says that it leaves", [] {
      Announcing left;
      left.step(Ok, record(true));
      expectEqual<std::string>("/-/kv-txn", left.step(404));
      expectEqual<std::string>("/-/kv-lease", left.step(Ok, "{}"));
    });
    section("or that can't be read", [] {
      Announcing bad;
      bad.step(Ok, "no item");
      expectEqual<std::string>("/-/kv-lease", bad.step(Ok, "{}"));
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InstanceRegistrarTest);
