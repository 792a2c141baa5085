#include "chicorybank/core/Membership.h"

#include "Story.h"

#include <algorithm>

using namespace story;
using namespace std::chrono_literals;
using namespace chicory;

namespace {

constexpr Time Start{100s};

InstanceInfo info(uint32_t id) {
  return {.Id = InstanceId{id}, .Zone = "z", .Peers = {.Ip = id, .Port = 1}};
}

Heartbeat from(uint32_t id, uint64_t sequence,
               InstanceState state = InstanceState::Live) {
  return {.Sender = info(id),
          .Incarnation = 1,
          .Sequence = sequence,
          .State = state};
}

} // namespace

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(takesTheListAsAHintOnly);
  CPPUNIT_TEST(dropsSilentAndRefusedPeers);
  CPPUNIT_TEST(doesNotBlamePeersForItsOwnPause);
  CPPUNIT_TEST(keepsLeavingPeersForQuestions);
  CPPUNIT_TEST(ignoresOldHeartbeats);
  CPPUNIT_TEST(confirmsSilenceThroughOthers);
  CPPUNIT_TEST(remembersWhenItSent);
  CPPUNIT_TEST_SUITE_END();

  void takesTheListAsAHintOnly() {
    Membership members(info(1), 1, {});
    members.setState(InstanceState::Live);
    members.addPeer(info(2), Start);
    expectEqual<size_t>(1, members.homes().size());
    members.recordHeartbeat(from(2, 1), Start);
    expectEqual<size_t>(2, members.homes().size());
  }

  void dropsSilentAndRefusedPeers() {
    Membership members(info(1), 1, {.SuspectAfter = 1s});
    members.recordHeartbeat(from(2, 1), Start);
    members.recordHeartbeat(from(3, 1), Start);
    section("a refused connection tells at once", [&] {
      members.recordRefusal(InstanceId{3});
      expectEqual<size_t>(1, members.homes().size());
    });
    section("silence tells after a while", [&] {
      for (Time now = Start; now <= Start + 1s; now += 100ms)
        members.update(now);
      expectEqual<size_t>(1, members.homes().size());
      members.update(Start + 1100ms);
      expectEqual<size_t>(0, members.homes().size());
    });
    section("a heartbeat brings it back", [&] {
      members.recordHeartbeat(from(3, 2), Start + 1200ms);
      expectEqual<size_t>(1, members.homes().size());
    });
  }

  // Symptom: an instance that was suspended resets flows when it wakes.
  // Sequence: it is paused for longer than the suspicion time.
  // Cause: it takes everyone for dead and itself for everyone's home.
  void doesNotBlamePeersForItsOwnPause() {
    Membership members(info(1), 1, {.SuspectAfter = 1s});
    members.recordHeartbeat(from(2, 1), Start);
    members.update(Start + 10ms);
    members.update(Start + 30s);
    expectEqual<size_t>(1, members.homes().size());
  }

  void keepsLeavingPeersForQuestions() {
    Membership members(info(1), 1, {});
    members.recordHeartbeat(from(2, 1, InstanceState::Leaving), Start);
    expectEqual<size_t>(0, members.homes().size());
    expectEqual<size_t>(1, members.leavingPeers().size());
  }

  void ignoresOldHeartbeats() {
    Membership members(info(1), 1, {});
    expectTrue(members.recordHeartbeat(from(2, 5), Start), "the first");
    expectTrue(!members.recordHeartbeat(from(2, 4), Start), "an older one");
    Heartbeat restarted = from(2, 1);
    restarted.Incarnation = 2;
    expectTrue(members.recordHeartbeat(restarted, Start),
               "one of a new process");
    Heartbeat stranger{.Sender = {.Id = InstanceId{9}}, .Sequence = 1};
    expectTrue(!members.recordHeartbeat(stranger, Start),
               "one without addresses from a peer that is not known");
  }

  void confirmsSilenceThroughOthers() {
    Membership members(info(1), 1, {.SuspectAfter = 1s});
    members.recordHeartbeat(from(3, 1), Start);
    Heartbeat other = from(2, 1);
    other.ReachablePeers = {InstanceId{3}};
    members.recordHeartbeat(other, Start + 3s);
    expectTrue(!members.isConfirmedUnreachable(InstanceId{3}, Start + 3s),
               "instance 2 still hears it");
    other.Sequence = 2;
    other.ReachablePeers = {};
    members.recordHeartbeat(other, Start + 3s);
    expectTrue(members.isConfirmedUnreachable(InstanceId{3}, Start + 3s),
               "nobody does");
  }

  void remembersWhenItSent() {
    Membership members(info(1), 1, {});
    Heartbeat first = members.nextHeartbeat(Start);
    Heartbeat second = members.nextHeartbeat(Start + 1s);
    expectTrue(members.sentAt(first.Sequence) == Start, "the first");
    expectTrue(members.sentAt(second.Sequence) == Start + 1s, "the second");
    expectTrue(!members.sentAt(0) && !members.sentAt(99),
               "nothing of what was not sent");
    for (int i = 0; i < 100; ++i)
      members.nextHeartbeat(Start + 2s);
    expectTrue(!members.sentAt(first.Sequence), "nor of what is too old");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);
