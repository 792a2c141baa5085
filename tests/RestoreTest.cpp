// A registry that is restored from a copy some seconds old.

#include "chicorybank/edge/RegistryWatcher.h"

#include "RegistrySamples.h"
#include "RestoreModel.h"
#include "Story.h"

using namespace story;
using namespace samples::registry;

namespace {

/// The versions that came into force, oldest first.
std::vector<uint64_t> versions(WatcherFixture &reading) {
  std::vector<uint64_t> out;
  for (const auto &it : reading.take<token::RoutesLearned>())
    out.push_back(it.Routes.Version.Value);
  return out;
}

/// A reader that knows what the store holds, with a copy of the store from
/// before the last writes.
struct BeforeARestore {
  BeforeARestore() {
    Content.config(20);
    Content.server(1);
    Content.server(2);
    Fixture.step(Content);
    Copy = Content;
    for (int n = 0; n < 20; ++n)
      Content.instance("10.9.0." + std::to_string(n + 1));
    Content.config(22);
    pass(500ms);
    Fixture.Events.clear();
  }
  /// Time passes, and the reader makes its calls.
  void pass(Duration time) {
    for (Duration done{}; done < time; done += 50ms) {
      Fixture.Now += 50ms;
      while (!Fixture.step(Content).empty())
        ;
    }
  }

  Store Content;
  Store Copy;
  WatcherFixture Fixture;
};

} // namespace

class RestoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RestoreTest);
  CPPUNIT_TEST(takesAVersionUnderAReusedRevision);
  CPPUNIT_TEST(takesADrainUnderAReusedRevision);
  CPPUNIT_TEST(holdsADrainUntilTheOperatorsHaveWritten);
  CPPUNIT_TEST(listsAgainWhereAListStraddlesARestore);
  CPPUNIT_TEST(listsWhereAWatchStraddlesARestore);
  CPPUNIT_TEST(takesNoPushOfAFormerGenerationForProof);
  CPPUNIT_TEST(believesTheRegistryOverAnyHeader);
  CPPUNIT_TEST(keepsItsPromisesThroughAnyTrouble);
  CPPUNIT_TEST(keepsThemWhereItOnceFailed);
  CPPUNIT_TEST(isFollowedByLargeDeploymentsWithoutAStorm);
  CPPUNIT_TEST_SUITE_END();

  /// One thing that happens, by number.
  static void happen(RestoreModel &model, int what, Duration time) {
    switch (what) {
    case 0:
    case 1:
      return model.restore(static_cast<size_t>(time / RestoreModel::Step));
    case 2:
      return model.cutFromRegistry(time);
    case 3:
      return model.cutFromOthers(time);
    case 4:
      return model.freeze(time);
    case 5:
      return model.restart();
    case 6:
      return model.dropHistory();
    case 7:
      return model.addServer();
    case 8:
      return model.drainServer();
    case 9:
      return model.endServer();
    case 10:
      return model.drainZone(true);
    case 11:
      return model.drainZone(false);
    default:
      return model.setConfig();
    }
  }

  // Whatever the order of restores, old reads, cuts, pauses and restarts: a
  // version in force never goes back and is in force in time, a drain is heard
  // of, no server that lives is ended, and in the end all copies and records
  // are what they should be.
  void keepsItsPromisesThroughAnyTrouble() {
    property("restores among other trouble", [] {
      RestoreModel model({.Seed = *rc::gen::arbitrary<uint64_t>()});
      model.run(3s);
      auto steps =
          *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 16));
      for (int it : steps) {
        happen(model, it, *rc::gen::inRange(1, 60) * RestoreModel::Step);
        model.run(*rc::gen::inRange(1, 30) * RestoreModel::Step);
      }
      model.run(30s);
      RC_ASSERT(model.broken() == "");
      RC_ASSERT(model.unsettled() == "");
    });
  }

  // Symptom: all flows are refused for seconds, since all zones are drained.
  // Sequence: a zone is drained; the store is restored from before that; the
  // operators take the drain back while the store is away, and drain another.
  // Cause: the end of an order that a restored store never had leaves no trace.
  void holdsADrainUntilTheOperatorsHaveWritten() {
    BeforeARestore it;
    it.Content.put("op/evacuate/a", "{}");
    it.pass(1s);
    it.Fixture.Events.clear();
    it.Content.restore(it.Copy);
    it.pass(3s);
    expectTrue(it.Fixture.take<token::ZoneDrainLearned>().empty(),
               "a drain that is lost stands");
    it.Content.config(22);
    it.pass(1s);
    expectTrue(it.Fixture.take<token::ZoneDrainLearned>().empty(),
               "the operators may not have got to it yet");
    it.pass(2s);
    auto drains = it.Fixture.take<token::ZoneDrainLearned>();
    expectTrue(drains.size() == 1 && !drains[0].Active, "it was taken back");
  }

  /// The answer that the store gives to a list, or a part of it.
  static RegistryAnswer page(const Store &store, size_t from, size_t count,
                             bool more) {
    ItemPage out = store.list();
    out.Items.erase(out.Items.begin(),
                    out.Items.begin() + static_cast<std::ptrdiff_t>(from));
    out.Items.resize(std::min(count, out.Items.size()));
    out.More = more;
    return {
        .Status = Ok, .Body = bareBody(out), .Generation = store.generation()};
  }

  // Guards against a list of which one page is of before a restore and the
  // next of after it: what the first has and the second lost would stay.
  void listsAgainWhereAListStraddlesARestore() {
    Store store;
    store.config(3);
    Store backup = store;
    store.server(1);
    store.server(2);
    WatcherFixture reading;
    reading.start(store);
    reading.Watcher.next(reading.Now);
    reading.answer(page(store, 0, 2, true));
    store.restore(backup);
    store.server(5);
    reading.Watcher.next(reading.Now);
    reading.answer(page(store, 1, 5, false));
    expectTrue(!reading.Watcher.complete(), "they are no whole");
    expectEqual<std::string>("/-/kv-range?prefix=", reading.stepOnce(store));
    expectTrue(reading.Watcher.cache().position() == store.position(),
               "a list of one generation is");
    expectEqual<size_t>(1, reading.Watcher.cache().registrationCount());
  }

  // Guards against a watch that is answered all the same, since its revision
  // exists again: what was written up to it would be skipped.
  void listsWhereAWatchStraddlesARestore() {
    BeforeARestore it;
    WatcherFixture &reading = it.Fixture;
    it.Content.restore(it.Copy);
    it.Content.config(23);
    while (it.Content.revision() <
           reading.Watcher.cache().position().Revision + 2)
      it.Content.server(2, "ready", static_cast<int>(it.Content.revision()));
    reading.Now += 500ms;
    expectTrue(reading.stepOnce(it.Content).starts_with("/-/kv-watch"),
               "a watch, which is answered");
    expectTrue(reading.take<token::FreshnessUpdated>().empty(),
               "shows nothing");
    expectEqual<std::string>("/-/kv-range?prefix=",
                             reading.stepOnce(it.Content));
    expectTrue(versions(reading) == std::vector<uint64_t>{23}, "version 23");
  }

  void takesNoPushOfAFormerGenerationForProof() {
    BeforeARestore it;
    WatcherFixture former = it.Fixture;
    it.Content.restore(it.Copy);
    it.pass(1s);
    it.Fixture.Events.clear();
    it.Fixture.Now += 100ms;
    UpdatePush push =
        former.Watcher.makePush(InstanceId{9}, {}, it.Fixture.Now);
    push.Age = 1ms;
    expectTrue(!it.Fixture.Watcher.applyPush(push, false, it.Fixture.Now,
                                             it.Fixture.Events),
               "there is nothing to read there");
    expectTrue(it.Fixture.take<token::FreshnessUpdated>().empty(), "no proof");
    expectEqual<uint64_t>(1, it.Fixture.Watcher.stats().OtherGenerations);
    section("the other way round, everything has to be read", [&] {
      UpdatePush later =
          it.Fixture.Watcher.makePush(InstanceId{8}, {}, it.Fixture.Now);
      expectTrue(
          former.Watcher.applyPush(later, false, it.Fixture.Now, former.Events),
          "from the sender");
    });
  }

  // Guards against an instance that follows a wrong header, or a neighbour's
  // word, for ever: the registry's own list decides.
  void believesTheRegistryOverAnyHeader() {
    BeforeARestore it;
    it.Content.restore(it.Copy);
    it.Content.config(24);
    auto without = [&](std::optional<Generation> header) {
      for (int n = 0; n < 20; ++n) {
        it.Fixture.Now += 100ms;
        while (auto call = it.Fixture.Watcher.next(it.Fixture.Now)) {
          RegistryAnswer answer = answerOf(it.Content, call->Call);
          answer.Generation = header;
          it.Fixture.answer(answer);
        }
      }
    };
    section("the header does not tell of the restore", [&] {
      without(Generation{1});
      expectTrue(versions(it.Fixture) == std::vector<uint64_t>{24},
                 "the list is below what was known");
    });
    section("it goes back", [&] {
      it.Content.config(25);
      without(Generation{0});
      std::vector<uint64_t> told = versions(it.Fixture);
      expectTrue(!told.empty() && told.back() == 25, "and is followed");
      expectTrue(it.Fixture.Watcher.generationIsCurrent(),
                 "without asking for ever");
    });
  }

  struct Happening {
    int What;
    int ForSteps;
    int ThenSteps;
  };

  static void playAgain(uint64_t seed, const std::vector<Happening> &played) {
    RestoreModel model({.Seed = seed});
    model.run(3s);
    for (const Happening &it : played) {
      happen(model, it.What, it.ForSteps * RestoreModel::Step);
      model.run(it.ThenSteps * RestoreModel::Step);
    }
    model.run(30s);
    expectEqual<std::string>("", model.broken());
    expectEqual<std::string>("", model.unsettled());
  }

  void keepsThemWhereItOnceFailed() {
    // Guards against renewing a lease that a restore gave to another instance.
    playAgain(97002485518,
              {{6, 1, 1},   {0, 1, 3},   {6, 1, 7},  {6, 1, 14}, {0, 1, 10},
               {6, 1, 9},   {0, 12, 11}, {0, 1, 1},  {5, 1, 14}, {2, 9, 8},
               {2, 18, 12}, {0, 1, 7},   {0, 1, 14}, {0, 1, 8},  {0, 1, 11},
               {0, 7, 8},   {6, 1, 11},  {0, 1, 3},  {6, 1, 14}, {6, 1, 5},
               {6, 1, 6},   {2, 1, 1},   {2, 1, 10}, {0, 1, 1}});
    // Guards against a drain that an old read takes back.
    playAgain(20400412336, {{0, 20, 5},
                            {0, 1, 4},
                            {6, 1, 10},
                            {8, 1, 5},
                            {0, 13, 10},
                            {5, 1, 10},
                            {2, 1, 3},
                            {5, 1, 1}});
    // Guards against an item from before a restore that no list replaces.
    playAgain(52460540,
              {{0, 1, 11}, {0, 1, 4}, {0, 1, 6}, {0, 1, 9},  {0, 1, 5},
               {2, 1, 5},  {0, 8, 8}, {6, 1, 5}, {2, 1, 9},  {4, 1, 12},
               {6, 1, 9},  {2, 1, 9}, {2, 1, 4}, {2, 1, 12}, {5, 1, 11},
               {6, 1, 8},  {0, 4, 5}, {5, 1, 2}, {2, 1, 9},  {0, 1, 7},
               {2, 1, 11}, {0, 1, 8}, {3, 5, 8}, {2, 7, 7},  {5, 1, 2},
               {2, 1, 2},  {0, 9, 8}, {6, 1, 5}, {2, 1, 4},  {5, 1, 6},
               {2, 1, 8},  {5, 1, 1}});
  }

  // Pattern: 86 instances, which all started at once, hear of a restore with
  // their renewals. Grounds: a list by each of them would be 86 calls within a
  // second or two; a look-up and a renewal by each, spread as renewals are, and
  // one list are what it needs.
  void isFollowedByLargeDeploymentsWithoutAStorm() {
    constexpr size_t Instances = 86;
    RestoreModel model({.Instances = Instances, .Servers = 100, .Seed = 7});
    model.run(15s);
    uint64_t before = model.calls();
    model.run(10s);
    uint64_t calm = model.calls() - before;
    model.restore(60);
    before = model.calls();
    model.run(10s);
    uint64_t more = model.calls() - before - calm;
    expectTrue(more <= 2 * Instances, "calls more: " + std::to_string(more));
    expectTrue(model.untilAllFollowed() <= RestoreModel::ApplyWithin,
               "all have followed in time");
    model.run(20s);
    expectEqual<std::string>("", model.broken());
    expectEqual<std::string>("", model.unsettled());
  }

  // Symptom: a configuration is acknowledged, and no instance has it in force
  // seconds later; later ones are taken at once.
  // Sequence: the registry is away for a moment and comes back from a copy;
  // from then on the instance that watches gets 410 for each watch. Cause:
  // revisions of two histories compared as if they only rose; what was written
  // under a reused one was taken for old. Proof: the copies' revision stood
  // above the registry's until it had passed it; each version in between is
  // missing on all instances, none after it.
  void takesAVersionUnderAReusedRevision() {
    BeforeARestore it;
    it.Content.restore(it.Copy);
    it.Content.config(24);
    it.pass(1s);
    expectTrue(versions(it.Fixture) == std::vector<uint64_t>{24},
               "version 24 is in force within a second");
    section("and so is the next one", [&] {
      it.Content.config(27);
      it.pass(1s);
      expectTrue(versions(it.Fixture) == std::vector<uint64_t>{27},
                 "version 27");
    });
  }

  // Symptom: a server says that it drains, and gets new flows until its
  // registration ends.
  // Sequence: as above; the drain is written between the last list that
  // followed a 410 and the first watch that is answered again.
  // Cause: the watch went on behind a revision of the lost history, and skipped
  // what was written up to it in the new one.
  // Proof: the drain's only list falls before it, the next watch after it.
  void takesADrainUnderAReusedRevision() {
    BeforeARestore it;
    int64_t known = it.Content.revision();
    it.Content.restore(it.Copy);
    it.pass(1s);
    it.Fixture.Events.clear();
    it.Content.server(1, "draining");
    while (it.Content.revision() < known)
      it.Content.server(2, "ready", static_cast<int>(it.Content.revision()));
    it.pass(1s);
    bool drains = false;
    for (const auto &news : it.Fixture.take<token::BackendsLearned>())
      for (const token::Registration &server : news.Present)
        drains = drains || server.Draining;
    expectTrue(drains, "the drain is known within a second");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestoreTest);
