// Each flow has one owner at a time, whichever messages an instance has got.

#include "chicorybank/core/OwnershipTracker.h"
#include "chicorybank/core/Rendezvous.h"

#include "Story.h"

#include <functional>

using namespace story;
using namespace std::chrono_literals;
using chicory::InstanceId;
using chicory::MembersDocument;
using chicory::MembersVersion;
using chicory::OwnershipTracker;
using chicory::OwnershipView;
using chicory::Time;

namespace {

constexpr Time Start{100s};

MembersDocument document(uint64_t version, std::vector<InstanceId> members,
                         std::vector<InstanceId> previous = {}) {
  return {.Version = MembersVersion{version},
          .Members = std::move(members),
          .Previous = std::move(previous)};
}

std::vector<InstanceId> ids(std::initializer_list<uint32_t> values) {
  std::vector<InstanceId> out;
  for (uint32_t it : values)
    out.push_back(InstanceId{it});
  return out;
}

/// Returns a hash that `owner` owns among these instances.
uint64_t hashOwnedBy(InstanceId owner, const std::vector<InstanceId> &among,
                     const std::function<bool(uint64_t)> &also) {
  for (uint64_t n = 1; n < 100'000; ++n)
    if (chicory::rendezvousFirst(n, among) == owner && also(n))
      return n;
  throw std::runtime_error("no such hash");
}

uint64_t hashOwnedBy(InstanceId owner, const std::vector<InstanceId> &among) {
  return hashOwnedBy(owner, among, [](uint64_t) { return true; });
}

} // namespace

class OwnershipTrackerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OwnershipTrackerTest);
  CPPUNIT_TEST(ownsNothingWithoutADocument);
  CPPUNIT_TEST(needsAMajorityForALease);
  CPPUNIT_TEST(losesItsLeaseWithoutHeartbeats);
  CPPUNIT_TEST(waitsForTheLeaseOfAPartitionedOwner);
  CPPUNIT_TEST(takesOverAtOnceWhenThePreviousOwnerConfirms);
  CPPUNIT_TEST(ignoresOlderDocuments);
  CPPUNIT_TEST(keepsTheRestOfItsLeaseUnderANewDocument);
  CPPUNIT_TEST(recordsFormerOwnership);
  CPPUNIT_TEST_SUITE_END();

  void ownsNothingWithoutADocument() {
    OwnershipTracker tracker(InstanceId{1}, Start, {});
    expectTrue(tracker.ownershipOf(5, Start).Owner != InstanceId{1},
               "no flow has this owner");
    expectTrue(!tracker.holdsLease(Start), "there is no lease");
  }

  void needsAMajorityForALease() {
    OwnershipTracker tracker(InstanceId{1}, Start, {});
    tracker.learn(document(1, ids({1, 2, 3, 4, 5})), Start);
    section("one confirmation from four others is too few", [&] {
      tracker.recordHeartbeat(InstanceId{2}, MembersVersion{1}, Start,
                              Start + 1ms);
      expectTrue(!tracker.holdsLease(Start + 2ms), "there is no lease yet");
    });
    section("two are enough for three of five", [&] {
      tracker.recordHeartbeat(InstanceId{3}, MembersVersion{1}, Start,
                              Start + 1ms);
      expectTrue(tracker.holdsLease(Start + 2ms), "there is a lease");
    });
  }

  void losesItsLeaseWithoutHeartbeats() {
    OwnershipTracker tracker(InstanceId{1}, Start, {.LeaseTime = 2s});
    tracker.learn(document(1, ids({1, 2, 3})), Start);
    // A confirmation is valid from when the heartbeat that it answers was sent,
    // not from when it arrived.
    tracker.recordHeartbeat(InstanceId{2}, MembersVersion{1}, Start + 1s,
                            Start + 2s);
    expectTrue(tracker.holdsLease(Start + 2999ms),
               "until 2 s after the heartbeat was sent");
    expectTrue(!tracker.holdsLease(Start + 3s), "not longer");
  }

  // Guards against two instances that run the same request during a
  // replacement: the owner is partitioned, and the others agree on a document
  // without it. A new document alone does not end the lease under the old one.
  void waitsForTheLeaseOfAPartitionedOwner() {
    std::vector<InstanceId> before = ids({1, 2, 3});
    std::vector<InstanceId> after = ids({1, 2});
    uint64_t hash = hashOwnedBy(InstanceId{3}, before, [&](uint64_t n) {
      return chicory::rendezvousFirst(n, after) == InstanceId{1};
    });
    OwnershipTracker tracker(InstanceId{1}, Start,
                             {.LeaseTime = 2s, .LeaseMargin = 200ms});
    tracker.learn(document(1, before), Start);
    tracker.learn(document(2, after, before), Start + 10s);
    section("no other member has the new document", [&] {
      expectTrue(!tracker.ownershipOf(hash, Start + 60s).HandOverComplete,
                 "this instance waits");
      expectTrue(!tracker.isPreviousDocumentRetired(Start + 60s),
                 "no third document may be written");
    });
    section("a majority has the new document", [&] {
      tracker.recordHeartbeat(InstanceId{2}, MembersVersion{2}, Start + 61s,
                              Start + 61s);
      expectTrue(!tracker.ownershipOf(hash, Start + 63s).HandOverComplete,
                 "the lease of the old owner may not have ended");
      OwnershipView view = tracker.ownershipOf(hash, Start + 64s);
      expectTrue(view.HandOverComplete, "the lease of the old owner has ended");
      expectTrue(view.OwnedSince == Start + 63s + 200ms,
                 "the ownership begins when the lease must have ended");
      expectTrue(tracker.isPreviousDocumentRetired(Start + 64s),
                 "a third document may be written");
    });
  }

  void takesOverAtOnceWhenThePreviousOwnerConfirms() {
    std::vector<InstanceId> before = ids({2, 3});
    std::vector<InstanceId> after = ids({1, 2, 3});
    uint64_t hash = hashOwnedBy(InstanceId{1}, after);
    InstanceId old = chicory::rendezvousFirst(hash, before);
    OwnershipTracker tracker(InstanceId{1}, Start, {});
    tracker.learn(document(7, after, before), Start);
    tracker.recordHeartbeat(old, MembersVersion{7}, std::nullopt, Start + 50ms);
    OwnershipView view = tracker.ownershipOf(hash, Start + 50ms);
    expectTrue(view.HandOverComplete,
               "the old owner itself has confirmed the document");
    expectTrue(view.PreviousOwner == old, "the old owner can be queried");
  }

  void ignoresOlderDocuments() {
    OwnershipTracker tracker(InstanceId{1}, Start, {});
    expectTrue(tracker.learn(document(5, ids({1})), Start),
               "a newer document is applied");
    expectTrue(!tracker.learn(document(4, ids({2})), Start),
               "an older document is ignored");
    expectTrue(!tracker.learn(document(5, ids({2})), Start),
               "the same document is ignored");
  }

  void keepsTheRestOfItsLeaseUnderANewDocument() {
    OwnershipTracker tracker(InstanceId{1}, Start, {.LeaseTime = 2s});
    tracker.learn(document(1, ids({1, 2, 3})), Start);
    tracker.recordHeartbeat(InstanceId{2}, MembersVersion{1}, Start,
                            Start + 1ms);
    tracker.learn(document(2, ids({1, 2, 3, 4}), ids({1, 2, 3})), Start + 1s);
    expectTrue(tracker.holdsLease(Start + 1900ms),
               "for the rest of the lease time");
    expectTrue(!tracker.holdsLease(Start + 2s), "not longer");
  }

  void recordsFormerOwnership() {
    std::vector<InstanceId> before = ids({1, 2});
    std::vector<InstanceId> after = ids({2, 3});
    uint64_t hash = hashOwnedBy(InstanceId{1}, before);
    OwnershipTracker tracker(InstanceId{1}, Start, {});
    tracker.learn(document(1, before), Start);
    expectTrue(!tracker.formerOwnership(hash, Start).has_value(),
               "there is no former ownership while it owns the flow");
    tracker.learn(document(2, after, before), Start + 1s);
    auto former = tracker.formerOwnership(hash, Start + 1s);
    expectTrue(former.has_value() && former->HandOverComplete,
               "it owned the flow");
    expectTrue(former->OwnedSince == Start, "since it started");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnershipTrackerTest);
