// Tests of a registry that is restored from a backup some seconds old.

#include "chicorybank/edge/RegistryWatcher.h"

#include <algorithm>
#include <iterator>

#include "RegistrySamples.h"
#include "RestoreModel.h"
#include "Story.h"
#include "TokenSamples.h"

using namespace story;
using namespace samples::registry;

namespace {

/// Returns the versions that came into force, oldest first.
std::vector<uint64_t> versions(WatcherFixture &fixture) {
  std::vector<uint64_t> out;
  for (const auto &it : fixture.take<token::RoutesLearned>())
    out.push_back(it.Routes.Version.Value);
  return out;
}

/// A watcher that knows the store's contents, with a backup of the store from
/// before the last writes.
struct RestoreFixture {
  RestoreFixture() {
    Current.config(20);
    Current.server(1);
    Current.server(2);
    Fixture.step(Current);
    Backup = Current;
    for (int n = 0; n < 20; ++n)
      Current.instance("10.9.0." + std::to_string(n + 1));
    Current.config(22);
    pass(500ms);
    Fixture.Events.clear();
  }
  /// Advances the time, and lets the watcher make its calls.
  void pass(Duration time) {
    for (Duration done{}; done < time; done += 50ms) {
      Fixture.Now += 50ms;
      while (!Fixture.step(Current).empty())
        ;
    }
  }

  Store Current;
  Store Backup;
  WatcherFixture Fixture;
};

} // namespace

class RestoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RestoreTest);
  CPPUNIT_TEST(appliesAVersionUnderAReusedRevision);
  CPPUNIT_TEST(appliesADrainUnderAReusedRevision);
  CPPUNIT_TEST(retainsADrainUntilTheOperatorsHaveWritten);
  CPPUNIT_TEST(listsAgainWhenAListSpansARestore);
  CPPUNIT_TEST(listsWhenAWatchSpansARestore);
  CPPUNIT_TEST(isNotCurrentAfterAPushOfAnEarlierGeneration);
  CPPUNIT_TEST(trustsTheRegistrysListOverAnyHeader);
  CPPUNIT_TEST(keepsTheFlowsOfAServerWhoseAddressHadAnotherOwner);
  CPPUNIT_TEST(keepsItsGuaranteesUnderAnyFailures);
  CPPUNIT_TEST(keepsServersWhoseAddressesHadOtherOwners);
  CPPUNIT_TEST(keepsServersThatRegisterAgainAfterAnOutage);
  CPPUNIT_TEST(keepsItsGuaranteesInRecordedFailures);
  CPPUNIT_TEST(renewsNoLeaseOfAnotherInstanceAfterAStart);
  CPPUNIT_TEST(doesNotOverloadTheRegistryAfterARestore);
  CPPUNIT_TEST_SUITE_END();

  /// Performs the action with the given number.
  static void perform(RestoreModel &model, int what, Duration time) {
    switch (what) {
    case 0:
    case 1:
      return model.restore(static_cast<size_t>(time / RestoreModel::Step));
    case 2:
      return model.cutFromRegistry(time);
    case 3:
      return model.cutFromOthers(time);
    case 4:
      return model.suspend(time);
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
    case 16:
      return model.crashServer();
    case 17:
      return model.restartAll();
    case 18:
      return model.outage(2s + time);
    default:
      return model.setConfig();
    }
  }

  // Restores, stale reads, cuts, suspensions and restarts in any order. A
  // version in force is never replaced by an older one and is in force in time,
  // drains are known, no running server is ended, even if its address had
  // another owner, and in the end all caches and records are as they should be.
  void keepsItsGuaranteesUnderAnyFailures() {
    property("restores among other failures", [] {
      RestoreModel model({.Seed = *rc::gen::arbitrary<uint64_t>()});
      model.run(3s);
      auto steps =
          *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 18));
      for (int it : steps) {
        perform(model, it, *rc::gen::inRange(1, 60) * RestoreModel::Step);
        model.run(*rc::gen::inRange(1, 30) * RestoreModel::Step);
      }
      model.run(30s);
      RC_ASSERT(model.violation() == "");
      RC_ASSERT(model.inconsistency() == "");
    });
  }

  // As above, with little else than what makes registrations of one address
  // meet: crashes, starts and restores, far enough from each other that the
  // addresses of crashed servers are given away and registrations expire.
  void keepsServersWhoseAddressesHadOtherOwners() {
    property("restores among reused addresses", [] {
      constexpr int Restore = 0;
      constexpr int CutFromRegistry = 2;
      constexpr int RestartOne = 5;
      constexpr int EndServer = 9;
      constexpr int CrashServer = 16;
      constexpr int RestartAll = 17;
      RestoreModel model({.Instances = 3,
                          .Servers = 3,
                          .Seed = *rc::gen::arbitrary<uint64_t>()});
      model.run(3s);
      auto steps = *rc::gen::container<std::vector<int>>(
          rc::gen::element(Restore, Restore, CutFromRegistry, RestartOne,
                           EndServer, CrashServer, CrashServer, RestartAll));
      for (int it : steps) {
        perform(model, it, *rc::gen::inRange(1, 100) * RestoreModel::Step);
        model.run(*rc::gen::inRange(1, 60) * RestoreModel::Step);
      }
      model.run(30s);
      RC_ASSERT(model.violation() == "");
      RC_ASSERT(model.inconsistency() == "");
    });
  }

  // Instances start while servers register again after an outage, and read
  // pages of different ages.
  void keepsServersThatRegisterAgainAfterAnOutage() {
    property("starts after outages of the registry", [] {
      constexpr int CutFromOthers = 3;
      constexpr int Suspend = 4;
      constexpr int RestartOne = 5;
      constexpr int AddServer = 7;
      constexpr int EndServer = 9;
      constexpr int RestartAll = 17;
      constexpr int Outage = 18;
      RestoreModel model(
          {.Instances = 4,
           .Seed = *rc::gen::arbitrary<uint64_t>(),
           .PageItems = *rc::gen::inRange<size_t>(0, 8),
           .DelayMax = *rc::gen::inRange(0, 8) * RestoreModel::Step});
      model.run(4s);
      auto steps = *rc::gen::container<std::vector<int>>(
          rc::gen::element(CutFromOthers, Suspend, RestartOne, RestartOne,
                           AddServer, EndServer, RestartAll, Outage, Outage));
      for (int it : steps) {
        perform(model, it, *rc::gen::inRange(1, 100) * RestoreModel::Step);
        model.run(*rc::gen::inRange(1, 100) * RestoreModel::Step);
      }
      model.run(30s);
      RC_ASSERT(model.violation() == "");
      RC_ASSERT(model.inconsistency() == "");
    });
  }

  // A zone is drained, and the store is restored from before that. While it is
  // unavailable, the operators end this drain and drain another zone; a
  // restored store has no trace of the ended drain. Guards against refusing all
  // flows for seconds because all zones are drained.
  void retainsADrainUntilTheOperatorsHaveWritten() {
    RestoreFixture it;
    it.Current.put("op/evacuate/a", "{}");
    it.pass(1s);
    it.Fixture.Events.clear();
    it.Current.restore(it.Backup);
    it.pass(3s);
    expectTrue(it.Fixture.take<token::ZoneDrainLearned>().empty(),
               "a drain that is lost stays in force");
    it.Current.config(22);
    it.pass(1s);
    expectTrue(it.Fixture.take<token::ZoneDrainLearned>().empty(),
               "the operators may not have written it yet");
    it.pass(2s);
    auto drains = it.Fixture.take<token::ZoneDrainLearned>();
    expectTrue(drains.size() == 1 && !drains[0].Active, "it has ended");
  }

  /// Returns the store's answer to a list, or a part of it.
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

  // Guards against a list with one page from before a restore and the next from
  // after it: items of the first page that the restore lost would stay.
  void listsAgainWhenAListSpansARestore() {
    Store store;
    store.config(3);
    Store backup = store;
    store.server(1);
    store.server(2);
    WatcherFixture fixture;
    fixture.start(store);
    fixture.Watcher.next(fixture.Now);
    fixture.answer(page(store, 0, 2, true));
    store.restore(backup);
    store.server(5);
    fixture.Watcher.next(fixture.Now);
    fixture.answer(page(store, 1, 5, false));
    expectTrue(!fixture.Watcher.complete(),
               "pages of two generations are no complete list");
    expectEqual<std::string>("/-/kv-range?prefix=", fixture.stepOnce(store));
    expectTrue(fixture.Watcher.cache().position() == store.position(),
               "a list of one generation is complete");
    expectEqual<size_t>(1, fixture.Watcher.cache().registrationCount());
  }

  // Guards against a watch that is answered although the registry was restored,
  // since its revision exists again: what was written up to it would be
  // skipped.
  void listsWhenAWatchSpansARestore() {
    RestoreFixture it;
    WatcherFixture &fixture = it.Fixture;
    it.Current.restore(it.Backup);
    it.Current.config(23);
    while (it.Current.revision() <
           fixture.Watcher.cache().position().Revision + 2)
      it.Current.server(2, "ready", static_cast<int>(it.Current.revision()));
    fixture.Now += 500ms;
    expectTrue(fixture.stepOnce(it.Current).starts_with("/-/kv-watch"),
               "a watch, which is answered");
    expectTrue(fixture.take<token::FreshnessUpdated>().empty(),
               "proves nothing");
    expectEqual<std::string>("/-/kv-range?prefix=",
                             fixture.stepOnce(it.Current));
    expectTrue(versions(fixture) == std::vector<uint64_t>{23}, "version 23");
  }

  void isNotCurrentAfterAPushOfAnEarlierGeneration() {
    RestoreFixture it;
    WatcherFixture former = it.Fixture;
    it.Current.restore(it.Backup);
    it.pass(1s);
    it.Fixture.Events.clear();
    it.Fixture.Now += 100ms;
    UpdatePush push =
        former.Watcher.makePush(InstanceId{9}, {}, it.Fixture.Now);
    push.Age = 1ms;
    expectTrue(!it.Fixture.Watcher.applyPush(push, false, it.Fixture.Now,
                                             it.Fixture.Events),
               "nothing has to be read from the sender");
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

  // Guards against an instance that follows a wrong header or another
  // instance's generation for ever: the registry's own list decides.
  void trustsTheRegistrysListOverAnyHeader() {
    RestoreFixture it;
    it.Current.restore(it.Backup);
    it.Current.config(24);
    auto answerWithHeader = [&](std::optional<Generation> header) {
      for (int n = 0; n < 20; ++n) {
        it.Fixture.Now += 100ms;
        while (auto call = it.Fixture.Watcher.next(it.Fixture.Now)) {
          RegistryAnswer answer = answerOf(it.Current, call->Call);
          answer.Generation = header;
          it.Fixture.answer(answer);
        }
      }
    };
    section("the header does not change with the restore", [&] {
      answerWithHeader(Generation{1});
      expectTrue(versions(it.Fixture) == std::vector<uint64_t>{24},
                 "the list is below the known position");
    });
    section("the header goes back", [&] {
      it.Current.config(25);
      answerWithHeader(Generation{0});
      std::vector<uint64_t> reported = versions(it.Fixture);
      expectTrue(!reported.empty() && reported.back() == 25,
                 "the list is applied");
      expectTrue(it.Fixture.Watcher.generationIsCurrent(),
                 "without repeated calls");
    });
  }

  // Guards against resets of the flows of a running server, and new flows to a
  // server that has crashed: all instances start after the registration of the
  // crashed server has ended, and a restore brings it back while that of the
  // server which has the address now is lost.
  void keepsTheFlowsOfAServerWhoseAddressHadAnotherOwner() {
    using samples::token::filter;
    Store store;
    store.put("op/config", R"({"version":1,"routes":[{"host":"198.18.0.1",)"
                           R"("prefix":"/443/","service":"records"}]})");
    store.server(1);
    Store backup = store;
    store.instance("10.9.0.1");
    store.serverAt(1, 9);
    store.remove("servers/i-1");
    WatcherFixture fixture;
    samples::token::Instance instance;
    auto pass = [&](Duration time) {
      token::Actions out;
      for (Duration done{}; done < time; done += 50ms) {
        fixture.Now = instance.Now += 50ms;
        while (!fixture.step(store).empty())
          ;
        for (const token::Event &it : std::exchange(fixture.Events, {}))
          std::ranges::copy(instance.handle(it), std::back_inserter(out));
        std::ranges::copy(instance.handle(token::Tick{}),
                          std::back_inserter(out));
      }
      return out;
    };
    pass(500ms);
    samples::token::Caller caller;
    expectEqual<uint64_t>(
        9, samples::token::sentTo(instance.packet(caller.open())));
    caller.Echo = token::tokenOf(token::BackendId{9});
    instance.packet(caller.ack());
    store.restore(backup);
    expectTrue(filter<token::ResetFlow>(pass(1s)).empty(), "no reset");
    expectEqual<uint64_t>(
        9, samples::token::sentTo(instance.packet(caller.data(1))));
    for (uint16_t port = 2000; port < 2020; ++port)
      expectEqual<uint64_t>(
          9, samples::token::sentTo(
                 instance.packet(samples::token::Caller{.Port = port}.open())));
    section("the server writes again", [&] {
      store.serverAt(1, 9);
      expectTrue(filter<token::ResetFlow>(pass(1s)).empty(), "no reset");
      // The caller acknowledges the response to its request.
      instance.packet(caller.ack(2));
      expectTrue(filter<token::ResetFlow>(pass(3s)).empty(), "no reset");
      const token::Backends &servers = instance.UnderTest.backends();
      expectTrue(servers.at(servers.find(token::BackendId{9})).State ==
                     token::BackendState::Ready,
                 "it is ready");
      expectTrue(servers.at(servers.find(token::BackendId{1})).State ==
                     token::BackendState::Gone,
                 "the crashed one is gone");
    });
  }

  struct RecordedStep {
    int Action;
    int DurationSteps;
    int RunSteps;
  };

  static void replay(uint64_t seed, const std::vector<RecordedStep> &steps) {
    replay(RestoreModelOptions{.Seed = seed}, steps);
  }
  static void replay(RestoreModelOptions options,
                     const std::vector<RecordedStep> &steps) {
    RestoreModel model(options);
    model.run(3s);
    for (const RecordedStep &it : steps) {
      perform(model, it.Action, it.DurationSteps * RestoreModel::Step);
      model.run(it.RunSteps * RestoreModel::Step);
    }
    model.run(30s);
    expectEqual<std::string>("", model.violation());
    expectEqual<std::string>("", model.inconsistency());
  }

  void keepsItsGuaranteesInRecordedFailures() {
    // Guards against renewing a lease that a restore gave to another instance.
    replay(97002485518,
           {{6, 1, 1},   {0, 1, 3},   {6, 1, 7},  {6, 1, 14}, {0, 1, 10},
            {6, 1, 9},   {0, 12, 11}, {0, 1, 1},  {5, 1, 14}, {2, 9, 8},
            {2, 18, 12}, {0, 1, 7},   {0, 1, 14}, {0, 1, 8},  {0, 1, 11},
            {0, 7, 8},   {6, 1, 11},  {0, 1, 3},  {6, 1, 14}, {6, 1, 5},
            {6, 1, 6},   {2, 1, 1},   {2, 1, 10}, {0, 1, 1}});
    // Guards against counting a running server as gone because a restored
    // registry lists the former owner of its address.
    replay(0, {{16, 1, 1},
               {0, 1, 23},
               {2, 1, 9},
               {2, 1, 4},
               {2, 1, 12},
               {2, 1, 25},
               {5, 1, 1},
               {0, 1, 1}});
    // Guards against counting a running server as gone after a restore: it
    // registers again under the revision that its lost registration had, and
    // only the instance that watches hears of it.
    replay(13564819, {{0, 1, 9},
                      {0, 1, 6},
                      {0, 1, 6},
                      {0, 1, 6},
                      {0, 1, 6},
                      {0, 1, 4},
                      {0, 1, 1},
                      {0, 1, 1},
                      {0, 1, 3},
                      {0, 1, 9},
                      {7, 1, 9},
                      {0, 12, 1}});
    // Guards against ending a running server whose registration is lost by each
    // of several restores in a row: the time in which it has to return began
    // with the first one.
    replay(1, {{0, 1, 27},
               {0, 1, 1},
               {7, 1, 1},
               {0, 1, 24},
               {0, 2, 28},
               {0, 6, 19},
               {0, 1, 1}});
    // Guards against a drain that a stale read reverts.
    replay(20400412336, {{0, 20, 5},
                         {0, 1, 4},
                         {6, 1, 10},
                         {8, 1, 5},
                         {0, 13, 10},
                         {5, 1, 10},
                         {2, 1, 3},
                         {5, 1, 1}});
    // Guards against an item from before a restore that no list replaces.
    replay(52460540, {{0, 1, 11}, {0, 1, 4}, {0, 1, 6}, {0, 1, 9},  {0, 1, 5},
                      {2, 1, 5},  {0, 8, 8}, {6, 1, 5}, {2, 1, 9},  {4, 1, 12},
                      {6, 1, 9},  {2, 1, 9}, {2, 1, 4}, {2, 1, 12}, {5, 1, 11},
                      {6, 1, 8},  {0, 4, 5}, {5, 1, 2}, {2, 1, 9},  {0, 1, 7},
                      {2, 1, 11}, {0, 1, 8}, {3, 5, 8}, {2, 7, 7},  {5, 1, 2},
                      {2, 1, 2},  {0, 9, 8}, {6, 1, 5}, {2, 1, 4},  {5, 1, 6},
                      {2, 1, 8},  {5, 1, 1}});
  }

  // Guards against an instance that keeps the lease of another one instead of
  // its own: after a start it takes its predecessor's lease from a stale read,
  // and a restore has given the lease's number to another instance since.
  void renewsNoLeaseOfAnotherInstanceAfterAStart() {
    replay({.Instances = 3, .Servers = 3, .Seed = 2},
           {{0, 60, 32}, {16, 1, 1}, {5, 1, 1}});
  }

  // 86 instances that started together learn of a restore with their renewals.
  // A list by each of them would be 86 calls within a second or two; a look-up
  // and a renewal by each, spread as renewals are, and one list are enough.
  void doesNotOverloadTheRegistryAfterARestore() {
    constexpr size_t Instances = 86;
    RestoreModel model({.Instances = Instances, .Servers = 100, .Seed = 7});
    model.run(15s);
    uint64_t before = model.calls();
    model.run(10s);
    uint64_t calm = model.calls() - before;
    model.restore(60);
    before = model.calls();
    model.run(10s);
    uint64_t additional = model.calls() - before - calm;
    expectTrue(additional <= 2 * Instances,
               "additional calls: " + std::to_string(additional));
    expectTrue(model.timeUntilSameGeneration() <= RestoreModel::ApplyWithin,
               "all are of the new generation in time");
    model.run(20s);
    expectEqual<std::string>("", model.violation());
    expectEqual<std::string>("", model.inconsistency());
  }

  // The registry is unavailable for a moment and comes back from a backup, so
  // its revisions are below those of the caches. Watches get 410 until they
  // have passed these, and what is written under a reused revision counts as
  // old if revisions are compared as if they only rose. Guards against a
  // configuration that is acknowledged and missing on all instances seconds
  // later, while later ones are applied at once.
  void appliesAVersionUnderAReusedRevision() {
    RestoreFixture it;
    it.Current.restore(it.Backup);
    it.Current.config(24);
    it.pass(1s);
    expectTrue(versions(it.Fixture) == std::vector<uint64_t>{24},
               "version 24 is in force within a second");
    section("and so is the next one", [&] {
      it.Current.config(27);
      it.pass(1s);
      expectTrue(versions(it.Fixture) == std::vector<uint64_t>{27},
                 "version 27");
    });
  }

  // As above; the drain is written between the last list that follows a 410 and
  // the first watch that is answered again. That watch continues after a
  // revision of the lost history and skips what was written up to it in the new
  // one. Guards against a draining server that gets new flows until its
  // registration ends.
  void appliesADrainUnderAReusedRevision() {
    RestoreFixture it;
    int64_t known = it.Current.revision();
    it.Current.restore(it.Backup);
    it.pass(1s);
    it.Fixture.Events.clear();
    it.Current.server(1, "draining");
    while (it.Current.revision() < known)
      it.Current.server(2, "ready", static_cast<int>(it.Current.revision()));
    it.pass(1s);
    bool drains = false;
    for (const auto &learned : it.Fixture.take<token::BackendsLearned>())
      for (const token::Registration &server : learned.Present)
        drains = drains || server.Draining;
    expectTrue(drains, "the drain is known within a second");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestoreTest);
