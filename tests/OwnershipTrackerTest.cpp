// Ownership: one owner at a time, whatever each instance has heard.

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

/// A hash whose first among these is a given one.
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
  CPPUNIT_TEST(holdsALeaseByAMajority);
  CPPUNIT_TEST(losesItsLeaseInSilence);
  CPPUNIT_TEST(waitsForADeadPreviousOwner);
  CPPUNIT_TEST(takesOverAtOnceFromOneThatMovedOn);
  CPPUNIT_TEST(ignoresOlderDocuments);
  CPPUNIT_TEST(carriesItsLeaseIntoTheNextDocument);
  CPPUNIT_TEST(remembersAFormerTenure);
  CPPUNIT_TEST_SUITE_END();

  void ownsNothingWithoutADocument() {
    OwnershipTracker authority(InstanceId{1}, Start, {});
    expectTrue(authority.ownershipOf(5, Start).Owner != InstanceId{1},
               "nobody owns a flow");
    expectTrue(!authority.holdsLease(Start), "there is no lease");
  }

  void holdsALeaseByAMajority() {
    OwnershipTracker authority(InstanceId{1}, Start, {});
    authority.learn(document(1, ids({1, 2, 3, 4, 5})), Start);
    section("one word of four others is too few", [&] {
      authority.recordHeartbeat(InstanceId{2}, MembersVersion{1}, Start,
                                Start + 1ms);
      expectTrue(!authority.holdsLease(Start + 2ms), "no lease yet");
    });
    section("two make three of five", [&] {
      authority.recordHeartbeat(InstanceId{3}, MembersVersion{1}, Start,
                                Start + 1ms);
      expectTrue(authority.holdsLease(Start + 2ms), "a lease");
    });
  }

  void losesItsLeaseInSilence() {
    OwnershipTracker authority(InstanceId{1}, Start, {.LeaseTime = 2s});
    authority.learn(document(1, ids({1, 2, 3})), Start);
    // The word counts from when it was asked for, not from when it came.
    authority.recordHeartbeat(InstanceId{2}, MembersVersion{1}, Start + 1s,
                              Start + 2s);
    expectTrue(authority.holdsLease(Start + 2999ms), "until 2 s after asking");
    expectTrue(!authority.holdsLease(Start + 3s), "and not longer");
  }

  // Symptom: two instances run the same order during a replacement.
  // Sequence: the owner is cut off; the others agree on a document without it
  // and take over while its lease still runs.
  // Cause: a new document alone does not end what the old one allowed.
  void waitsForADeadPreviousOwner() {
    std::vector<InstanceId> before = ids({1, 2, 3});
    std::vector<InstanceId> after = ids({1, 2});
    uint64_t hash = hashOwnedBy(InstanceId{3}, before, [&](uint64_t n) {
      return chicory::rendezvousFirst(n, after) == InstanceId{1};
    });
    OwnershipTracker authority(InstanceId{1}, Start,
                               {.LeaseTime = 2s, .LeaseMargin = 200ms});
    authority.learn(document(1, before), Start);
    authority.learn(document(2, after, before), Start + 10s);
    section("nobody else has moved on", [&] {
      expectTrue(!authority.ownershipOf(hash, Start + 60s).HandOverComplete,
                 "it waits");
      expectTrue(!authority.isPreviousDocumentRetired(Start + 60s),
                 "nor may a third document be written");
    });
    section("a majority has moved on", [&] {
      authority.recordHeartbeat(InstanceId{2}, MembersVersion{2}, Start + 61s,
                                Start + 61s);
      expectTrue(!authority.ownershipOf(hash, Start + 63s).HandOverComplete,
                 "the lease of the old owner may still run");
      OwnershipView view = authority.ownershipOf(hash, Start + 64s);
      expectTrue(view.HandOverComplete, "now it can't");
      expectTrue(view.OwnedSince == Start + 63s + 200ms,
                 "the tenure begins when the lease must have ended");
      expectTrue(authority.isPreviousDocumentRetired(Start + 64s),
                 "a third document may be written");
    });
  }

  void takesOverAtOnceFromOneThatMovedOn() {
    std::vector<InstanceId> before = ids({2, 3});
    std::vector<InstanceId> after = ids({1, 2, 3});
    uint64_t hash = hashOwnedBy(InstanceId{1}, after);
    InstanceId old = chicory::rendezvousFirst(hash, before);
    OwnershipTracker authority(InstanceId{1}, Start, {});
    authority.learn(document(7, after, before), Start);
    authority.recordHeartbeat(old, MembersVersion{7}, std::nullopt,
                              Start + 50ms);
    OwnershipView view = authority.ownershipOf(hash, Start + 50ms);
    expectTrue(view.HandOverComplete, "the old owner has said so itself");
    expectTrue(view.PreviousOwner == old, "it can be asked");
  }

  void ignoresOlderDocuments() {
    OwnershipTracker authority(InstanceId{1}, Start, {});
    expectTrue(authority.learn(document(5, ids({1})), Start), "newer");
    expectTrue(!authority.learn(document(4, ids({2})), Start), "older");
    expectTrue(!authority.learn(document(5, ids({2})), Start), "the same");
  }

  void carriesItsLeaseIntoTheNextDocument() {
    OwnershipTracker authority(InstanceId{1}, Start, {.LeaseTime = 2s});
    authority.learn(document(1, ids({1, 2, 3})), Start);
    authority.recordHeartbeat(InstanceId{2}, MembersVersion{1}, Start,
                              Start + 1ms);
    authority.learn(document(2, ids({1, 2, 3, 4}), ids({1, 2, 3})), Start + 1s);
    expectTrue(authority.holdsLease(Start + 1900ms), "its rest");
    expectTrue(!authority.holdsLease(Start + 2s), "and no more than that");
  }

  void remembersAFormerTenure() {
    std::vector<InstanceId> before = ids({1, 2});
    std::vector<InstanceId> after = ids({2, 3});
    uint64_t hash = hashOwnedBy(InstanceId{1}, before);
    OwnershipTracker authority(InstanceId{1}, Start, {});
    authority.learn(document(1, before), Start);
    expectTrue(!authority.formerOwnership(hash, Start).has_value(),
               "while it owns the flow there is no former tenure");
    authority.learn(document(2, after, before), Start + 1s);
    auto tenure = authority.formerOwnership(hash, Start + 1s);
    expectTrue(tenure.has_value() && tenure->HandOverComplete,
               "it owned the flow");
    expectTrue(tenure->OwnedSince == Start, "since its start");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnershipTrackerTest);
