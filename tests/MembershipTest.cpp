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
  CPPUNIT_TEST(listedPeersBecomeHomesWithTheirFirstHeartbeat);
  CPPUNIT_TEST(removesUnreachablePeersFromTheHomes);
  CPPUNIT_TEST(keepsPeersReachableAfterItsOwnPause);
  CPPUNIT_TEST(keepsLeavingPeersForQueries);
  CPPUNIT_TEST(ignoresOldHeartbeats);
  CPPUNIT_TEST(confirmsUnreachabilityThroughOthers);
  CPPUNIT_TEST(recordsWhenHeartbeatsWereSent);
  CPPUNIT_TEST_SUITE_END();

  void listedPeersBecomeHomesWithTheirFirstHeartbeat() {
    Membership members(info(1), 1, {});
    members.setState(InstanceState::Live);
    members.addPeer(info(2), Start);
    expectEqual<size_t>(1, members.homes().size());
    members.recordHeartbeat(from(2, 1), Start);
    expectEqual<size_t>(2, members.homes().size());
  }

  void removesUnreachablePeersFromTheHomes() {
    Membership members(info(1), 1, {.SuspectAfter = 1s});
    members.recordHeartbeat(from(2, 1), Start);
    members.recordHeartbeat(from(3, 1), Start);
    section("a refused connection removes a peer at once", [&] {
      members.recordRefusal(InstanceId{3});
      expectEqual<size_t>(1, members.homes().size());
    });
    section("missing heartbeats remove a peer after the timeout", [&] {
      for (Time now = Start; now <= Start + 1s; now += 100ms)
        members.update(now);
      expectEqual<size_t>(1, members.homes().size());
      members.update(Start + 1100ms);
      expectEqual<size_t>(0, members.homes().size());
    });
    section("a heartbeat adds the peer again", [&] {
      members.recordHeartbeat(from(3, 2), Start + 1200ms);
      expectEqual<size_t>(1, members.homes().size());
    });
  }

  // Guards against an instance that resets flows after it was suspended for
  // longer than `SuspectAfter`: it must not consider all peers stopped and
  // itself the home of all flows.
  void keepsPeersReachableAfterItsOwnPause() {
    Membership members(info(1), 1, {.SuspectAfter = 1s});
    members.recordHeartbeat(from(2, 1), Start);
    members.update(Start + 10ms);
    members.update(Start + 30s);
    expectEqual<size_t>(1, members.homes().size());
  }

  void keepsLeavingPeersForQueries() {
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
               "the first of a new process");
    Heartbeat fromUnknown{.Sender = {.Id = InstanceId{9}}, .Sequence = 1};
    expectTrue(!members.recordHeartbeat(fromUnknown, Start),
               "one without addresses from an unknown peer");
  }

  void confirmsUnreachabilityThroughOthers() {
    Membership members(info(1), 1, {.SuspectAfter = 1s});
    members.recordHeartbeat(from(3, 1), Start);
    Heartbeat other = from(2, 1);
    other.ReachablePeers = {InstanceId{3}};
    members.recordHeartbeat(other, Start + 3s);
    expectTrue(!members.isConfirmedUnreachable(InstanceId{3}, Start + 3s),
               "instance 2 can still reach it");
    other.Sequence = 2;
    other.ReachablePeers = {};
    members.recordHeartbeat(other, Start + 3s);
    expectTrue(members.isConfirmedUnreachable(InstanceId{3}, Start + 3s),
               "no peer can reach it");
  }

  void recordsWhenHeartbeatsWereSent() {
    Membership members(info(1), 1, {});
    Heartbeat first = members.nextHeartbeat(Start);
    Heartbeat second = members.nextHeartbeat(Start + 1s);
    expectTrue(members.sentAt(first.Sequence) == Start, "the first");
    expectTrue(members.sentAt(second.Sequence) == Start + 1s, "the second");
    expectTrue(!members.sentAt(0) && !members.sentAt(99),
               "no time for heartbeats that were not sent");
    for (int i = 0; i < 100; ++i)
      members.nextHeartbeat(Start + 2s);
    expectTrue(!members.sentAt(first.Sequence),
               "no time for a heartbeat that is too old");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);
