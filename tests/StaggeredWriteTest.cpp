// Whose turn it is to write what any instance could write.

#include "chicorybank/edge/StaggeredWrite.h"

#include "RegistrySamples.h"
#include "Story.h"

using namespace story;
using namespace samples::registry;

class StaggeredWriteTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StaggeredWriteTest);
  CPPUNIT_TEST(waitsForWhoeverStandsBefore);
  CPPUNIT_TEST(waitsAnewAfterEachWrite);
  CPPUNIT_TEST(triesAgainLater);
  CPPUNIT_TEST(repeatsNoWriteThatWouldBeRefusedAgain);
  CPPUNIT_TEST_SUITE_END();

  void waitsForWhoeverStandsBefore() {
    StaggeredWrite turn;
    expectTrue(turn.dueAt(500ms) == Time::max(), "nothing is missing");
    turn.learn(true, Position{.Revision = 0}, Start);
    expectTrue(turn.dueAt(500ms) == Start + 2s, "the first in line");
    expectTrue(turn.dueAt(1500ms) == Start + 4s, "one behind it");
    turn.learn(true, Position{.Revision = 0}, Start + 1s);
    expectTrue(turn.dueAt(500ms) == Start + 2s, "since it has been missing");
    turn.learn(false, Position{.Revision = 0}, Start + 1s);
    expectTrue(turn.dueAt(500ms) == Time::max(), "it was written");
  }

  // Symptom: in a storm of changes all instances write at once.
  // Sequence: something is missing all the while; the first in line writes now
  // and then; those behind count from the first change.
  // Cause: a write that left something missing taken for none.
  void waitsAnewAfterEachWrite() {
    StaggeredWrite turn;
    for (int n = 0; n < 10; ++n)
      turn.learn(true, Position{.Revision = n / 2}, Start + n * 1s);
    expectTrue(turn.dueAt(1500ms) == Start + 8s + 4s, "since the last write");
  }

  // Guards against hundreds that write every two seconds where news is late:
  // each write names what its writer knows of the registry.
  void repeatsNoWriteThatWouldBeRefusedAgain() {
    section("the copy has not moved since", [] {
      StaggeredWrite turn;
      turn.learn(true, Position{.Revision = 7}, Start);
      turn.begin();
      turn.answered({.Status = 412}, Start + 3s);
      turn.learn(true, Position{.Revision = 7}, Start + 4s);
      expectTrue(turn.dueAt(500ms) == Time::max(), "it waits");
      turn.learn(false, Position{.Revision = 9}, Start + 5s);
      turn.learn(true, Position{.Revision = 9}, Start + 6s);
      expectTrue(turn.dueAt(500ms) == Start + 8s,
                 "for what the other has written");
    });
    section("the copy moved before the refusal came", [] {
      StaggeredWrite turn;
      turn.learn(true, Position{.Revision = 7}, Start);
      turn.begin();
      turn.learn(true, Position{.Revision = 9}, Start + 1s);
      turn.answered({.Status = 412}, Start + 3s);
      expectTrue(turn.dueAt(500ms) == Start + 5s, "the next write may hold");
    });
  }

  void triesAgainLater() {
    StaggeredWrite turn;
    turn.learn(true, Position{.Revision = 0}, Start);
    turn.begin();
    expectTrue(turn.dueAt(500ms) == Time::max(), "one write at a time");
    turn.answered({.Status = 412}, Start + 3s);
    turn.learn(true, Position{.Revision = 1}, Start + 4s);
    expectTrue(turn.dueAt(500ms) == Start + 6s, "after another one's write");
    turn.begin();
    turn.answered({}, Start + 6s);
    turn.begin();
    turn.answered({.Status = Ok}, Start + 8s);
    expectTrue(turn.stats().Refused == 1 && turn.stats().Failed == 1 &&
                   turn.stats().Written == 1,
               "each is counted");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StaggeredWriteTest);
