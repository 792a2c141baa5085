// Tests when an instance writes what any instance could write.

#include "chicorybank/edge/StaggeredWrite.h"

#include "RegistrySamples.h"
#include "Story.h"

using namespace story;
using namespace samples::registry;

class StaggeredWriteTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StaggeredWriteTest);
  CPPUNIT_TEST(waitsForEarlierInstances);
  CPPUNIT_TEST(restartsTheDelayAfterEachWrite);
  CPPUNIT_TEST(retriesAfterDelay);
  CPPUNIT_TEST(doesNotRepeatAWriteThatWouldBeRefused);
  CPPUNIT_TEST_SUITE_END();

  void waitsForEarlierInstances() {
    StaggeredWrite write;
    expectTrue(write.dueAt(500ms) == Time::max(), "nothing is missing");
    write.learn(true, Position{.Revision = 0}, Start);
    expectTrue(write.dueAt(500ms) == Start + 2s, "the first instance");
    expectTrue(write.dueAt(1500ms) == Start + 4s, "a later instance");
    write.learn(true, Position{.Revision = 0}, Start + 1s);
    expectTrue(write.dueAt(500ms) == Start + 2s,
               "counted from when data was first missing");
    write.learn(false, Position{.Revision = 0}, Start + 1s);
    expectTrue(write.dueAt(500ms) == Time::max(), "the data was written");
  }

  // Guards against instances that all write at once during a burst of changes.
  // Data is missing all the time, and the first instance writes repeatedly; the
  // others have to count their delay from its last write, not from the first
  // change.
  void restartsTheDelayAfterEachWrite() {
    StaggeredWrite write;
    for (int n = 0; n < 10; ++n)
      write.learn(true, Position{.Revision = n / 2}, Start + n * 1s);
    expectTrue(write.dueAt(1500ms) == Start + 8s + 4s,
               "counted from the last write");
  }

  // Guards against hundreds of instances that write every two seconds while
  // updates are late: each write names the state that its writer has read, and
  // is refused if the registry has another.
  void doesNotRepeatAWriteThatWouldBeRefused() {
    section("the cache has not changed since", [] {
      StaggeredWrite write;
      write.learn(true, Position{.Revision = 7}, Start);
      write.begin();
      write.answered({.Status = 412}, Start + 3s);
      write.learn(true, Position{.Revision = 7}, Start + 4s);
      expectTrue(write.dueAt(500ms) == Time::max(), "no write is due");
      write.learn(false, Position{.Revision = 9}, Start + 5s);
      write.learn(true, Position{.Revision = 9}, Start + 6s);
      expectTrue(write.dueAt(500ms) == Start + 8s,
                 "until the cache has the other write");
    });
    section("the cache changed before the refusal", [] {
      StaggeredWrite write;
      write.learn(true, Position{.Revision = 7}, Start);
      write.begin();
      write.learn(true, Position{.Revision = 9}, Start + 1s);
      write.answered({.Status = 412}, Start + 3s);
      expectTrue(write.dueAt(500ms) == Start + 5s,
                 "the next write may succeed");
    });
  }

  void retriesAfterDelay() {
    StaggeredWrite write;
    write.learn(true, Position{.Revision = 0}, Start);
    write.begin();
    expectTrue(write.dueAt(500ms) == Time::max(), "one write at a time");
    write.answered({.Status = 412}, Start + 3s);
    write.learn(true, Position{.Revision = 1}, Start + 4s);
    expectTrue(write.dueAt(500ms) == Start + 6s,
               "after another instance has written");
    write.begin();
    write.answered({}, Start + 6s);
    write.begin();
    write.answered({.Status = Ok}, Start + 8s);
    expectTrue(write.stats().Refused == 1 && write.stats().Failed == 1 &&
                   write.stats().Written == 1,
               "each outcome is counted");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StaggeredWriteTest);
