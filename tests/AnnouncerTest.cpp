#include "chicorybank/edge/Announcer.h"

#include "RegistrySamples.h"
#include "Story.h"

using namespace story;
using namespace samples::registry;

namespace {

const platform::StoreDialect Dialect;

struct Announcing {
  Announcer Record{
      Dialect, {.Id = InstanceId{1}, .Zone = "a", .Peers = {1, 2}}, {}};
  Time Now = Start;

  /// The target of the call that is due; it gets this answer.
  std::string step(int status, const std::string &body = "{}") {
    auto call = Record.next(Now);
    if (!call)
      return {};
    Record.answered({.Status = status, .Body = body}, Now);
    return call->Target;
  }
  void announce() {
    step(Ok, R"({"lease":5})");
    step(Ok);
  }
};

} // namespace

class AnnouncerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnnouncerTest);
  CPPUNIT_TEST(leasesWritesAndRenews);
  CPPUNIT_TEST(beginsAnewWhenTheLeaseHasEnded);
  CPPUNIT_TEST(writesAgainWhenTheRecordWasTakenAway);
  CPPUNIT_TEST(triesAgainLater);
  CPPUNIT_TEST(saysThatItLeaves);
  CPPUNIT_TEST_SUITE_END();

  void leasesWritesAndRenews() {
    Announcing it;
    expectEqual<std::string>("/-/kv-lease", it.step(Ok, R"({"lease":5})"));
    expectEqual<std::string>("/-/kv-txn", it.step(Ok));
    expectEqual<std::string>("", it.step(Ok));
    it.Now += 2500ms;
    expectEqual<std::string>("/-/kv-keep/5", it.step(Ok));
  }

  // Symptom: an instance is missing in the others' order for good.
  // Sequence: it is paused for longer than its lease, then goes on.
  // Cause: it goes on renewing a lease that has ended.
  void beginsAnewWhenTheLeaseHasEnded() {
    Announcing it;
    it.announce();
    it.Now += 2500ms;
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
    it.Record.seen(false, it.Now);
    expectEqual<std::string>("", it.step(Ok));
    it.Now += 3100ms;
    it.Record.seen(false, it.Now);
    expectEqual<std::string>("/-/kv-lease", it.step(Ok, R"({"lease":6})"));
  }

  void triesAgainLater() {
    Announcing it;
    expectEqual<std::string>("/-/kv-lease", it.step(503));
    expectEqual<std::string>("", it.step(Ok));
    it.Now += 1500ms;
    expectEqual<std::string>("/-/kv-lease", it.step(Ok, "no lease"));
    it.Now += 1500ms;
    expectEqual<std::string>("/-/kv-lease", it.step(Ok, R"({"lease":6})"));
  }

  void saysThatItLeaves() {
    Announcing it;
    expectTrue(!it.Record.end(), "there is none");
    Announcing other;
    other.announce();
    auto last = other.Record.end();
    expectEqual<std::string>("/-/kv-txn", last->Target);
    section("its record says that it leaves, and goes with its lease", [&] {
      PeerRecord self{.Id = InstanceId{1}, .Zone = "a", .Peers = {1, 2}};
      self.Leaving = true;
      expectEqual(Dialect.announce(self, 5).Body, last->Body);
      self.Leaving = false;
      expectTrue(Dialect.announce(self, 5).Body != last->Body, "as told");
    });
    other.Now += 10s;
    expectEqual<std::string>("", other.step(Ok));
    section("a lease without a record is ended", [] {
      Announcing early;
      early.step(Ok, R"({"lease":6})");
      expectEqual<std::string>("/-/kv-lease-end/6", early.Record.end()->Target);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnnouncerTest);
