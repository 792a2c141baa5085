// Tests of how a watcher lists, watches, pulls and starts.

#include "chicorybank/edge/RegistryWatcher.h"

#include "chicorybank/edge/Directory.h"

#include "RegistrySamples.h"
#include "Story.h"

#include <deque>
#include <set>

using namespace story;
using namespace samples::registry;

namespace {

const platform::StoreDialect Dialect;

} // namespace

class RegistryWatcherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegistryWatcherTest);
  CPPUNIT_TEST(listsThenWatchesAtThePollInterval);
  CPPUNIT_TEST(makesNoCallsWhilePushesArrive);
  CPPUNIT_TEST(listsAgainAfterAWatchSkippedChanges);
  CPPUNIT_TEST(listsAgainWhenTheHistoryIsGone);
  CPPUNIT_TEST(listsAgainWhenAWatchFailed);
  CPPUNIT_TEST(listsEverythingPeriodically);
  CPPUNIT_TEST(appliesTheFirstPagesBeforeTheLast);
  CPPUNIT_TEST(watchesBetweenPagesOfAList);
  CPPUNIT_TEST(isCurrentAfterAWatchWithoutChanges);
  CPPUNIT_TEST(listsAgainWhenCachesDiffer);
  CPPUNIT_TEST(pullsWhatAPushLeftOut);
  CPPUNIT_TEST(callsTheRegistryWhenAPullFails);
  CPPUNIT_TEST(servesAPeersCacheUntilTheRegistryAnswers);
  CPPUNIT_TEST(isNotCurrentAfterALatePush);
  CPPUNIT_TEST(backsOffFromAFailingRegistry);
  CPPUNIT_TEST(leavesOutRenewalsWithoutChanges);
  CPPUNIT_TEST(readsWhatAStartNeedsFirst);
  CPPUNIT_TEST(retriesLostStartupCalls);
  CPPUNIT_TEST(pullsEverythingFromAPeerInsteadOfListing);
  CPPUNIT_TEST(isAsCurrentAsThePushThatItPulledFor);
  CPPUNIT_TEST(doesNotListForATemporaryDifference);
  CPPUNIT_TEST(listsAtOnceWithoutADirectory);
  CPPUNIT_TEST(backsOffFromAFailingFirstList);
  CPPUNIT_TEST(isNotCurrentAfterAStaleList);
  CPPUNIT_TEST(keepsServersThatALaterPageOfAStaleListLacks);
  CPPUNIT_TEST(waitsForAPushAfterAStaleList);
  CPPUNIT_TEST(learnsOfDrainsThatAStaleListHasAndASeedLacks);
  CPPUNIT_TEST(learnsOfDrainsSoonAfterAStaleList);
  CPPUNIT_TEST(readsWhatNoPeerHasFromTheRegistry);
  CPPUNIT_TEST(endsServersThatOnlyAStaleListNamed);
  CPPUNIT_TEST(knowsEveryDrainWithinItsBound);
  CPPUNIT_TEST(knowsTheNewerOfTwoServersAtOneAddress);
  CPPUNIT_TEST(provesNoAgeByTheDirectory);
  CPPUNIT_TEST(endsServersThatOnlyTheDirectoryNames);
  CPPUNIT_TEST(startsDespiteABadDirectory);
  CPPUNIT_TEST(adoptsALaterRevisionWithTheSameContent);
  CPPUNIT_TEST(needsNoListAfterAPushWithTheSameContent);
  CPPUNIT_TEST(neverRevertsToAStaleRead);
  CPPUNIT_TEST(matchesTheStoreAfterAnyFailures);
  CPPUNIT_TEST_SUITE_END();

  void listsThenWatchesAtThePollInterval() {
    Store store;
    store.config(3);
    store.server(1);
    WatcherFixture fixture;
    expectEqual<std::string>("/-/kv-range?prefix=", fixture.step(store));
    expectTrue(fixture.Watcher.complete(), "everything was read");
    expectEqual<std::string>("", fixture.step(store));
    fixture.Now += 500ms;
    store.config(4);
    expectEqual<std::string>("/-/kv-watch?prefix=&after=2&wait_ms=500",
                             fixture.step(store));
    auto routes = fixture.take<token::RoutesLearned>();
    expectTrue(routes.back().Routes.Version == RuleVersion{4}, "version 4");
  }

  void makesNoCallsWhilePushesArrive() {
    Store store;
    store.server(1);
    WatcherFixture one;
    WatcherFixture two;
    one.step(store);
    two.step(store);
    two.Watcher.setStalenessLimit(1s, 1s);
    for (int n = 0; n < 10; ++n) {
      one.Now += 600ms;
      two.Now = one.Now;
      store.server(1, "ready", n + 2);
      store.config(n + 1);
      one.step(store);
      UpdatePush push = one.Watcher.makePush(
          InstanceId{1}, two.Watcher.cache().position(), one.Now);
      expectTrue(!two.Watcher.applyPush(push, false, two.Now, two.Events),
                 "the push is enough");
      expectEqual<std::string>("", two.step(store));
    }
    expectTrue(two.take<token::RoutesLearned>().back().Routes.Version ==
                   RuleVersion{10},
               "it knows the newest version");
    section("the pushes stop", [&] {
      two.Now += 1s;
      expectTrue(!two.step(store).empty(), "it calls the registry itself");
    });
  }

  // The registry's watches stop reporting for a second, changes are made
  // meanwhile, and the watches continue after those changes. Guards against a
  // removed route that is served for seconds because an empty answer counts as
  // no change.
  void listsAgainAfterAWatchSkippedChanges() {
    Store store;
    store.server(1);
    WatcherFixture fixture;
    fixture.step(store);
    fixture.Now += 2s;
    fixture.take<token::FreshnessUpdated>();
    store.config(9);
    fixture.Watcher.next(fixture.Now);
    fixture.answer({.Status = Ok, .Body = bareBody({.At = store.position()})});
    expectTrue(fixture.take<token::FreshnessUpdated>().empty(),
               "an empty answer does not prove a current cache");
    expectEqual<std::string>("/-/kv-range?prefix=", fixture.step(store));
    expectTrue(fixture.take<token::RoutesLearned>().back().Routes.Version ==
                   RuleVersion{9},
               "the change is found");
  }

  void listsAgainWhenTheHistoryIsGone() {
    Store store;
    store.server(1);
    WatcherFixture fixture;
    fixture.step(store);
    fixture.Now += 1s;
    expectTrue(fixture.fail(Gone), "a watch is due");
    expectEqual<std::string>("/-/kv-range?prefix=", fixture.step(store));
  }

  void listsAgainWhenAWatchFailed() {
    Store store;
    store.server(1);
    store.server(2);
    WatcherFixture fixture;
    fixture.step(store);
    fixture.Now += 1s;
    store.remove("servers/i-2");
    expectTrue(fixture.fail(), "a watch is due");
    fixture.Now += 200ms;
    fixture.take<token::BackendsLearned>();
    expectEqual<std::string>("/-/kv-range?prefix=", fixture.step(store));
    auto learned = fixture.take<token::BackendsLearned>();
    expectEqual<size_t>(1, learned.size());
    expectTrue(learned[0].Ended == std::vector{token::BackendId{2}},
               "the server whose end was missed");
  }

  // The end of a registration is reported only once and can be lost with the
  // history. Guards against flows to a server that ended long ago.
  void listsEverythingPeriodically() {
    Store store;
    store.server(1);
    WatcherFixture fixture;
    fixture.step(store);
    int lists = 0;
    for (int n = 0; n < 100; ++n) {
      fixture.Now += 500ms;
      if (fixture.step(store) == "/-/kv-range?prefix=")
        ++lists;
    }
    expectTrue(lists >= 5 && lists <= 7,
               "lists in 50 s: " + std::to_string(lists));
  }

  void appliesTheFirstPagesBeforeTheLast() {
    Store store;
    store.config(3);
    store.server(1);
    store.server(2);
    WatcherFixture fixture;
    fixture.start(store);
    fixture.Watcher.next(fixture.Now);
    ItemPage first = store.list();
    first.Items.resize(2);
    first.More = true;
    fixture.answer(
        {.Status = Ok, .Body = bareBody(first), .Generation = Generation{1}});
    expectTrue(fixture.take<token::RoutesLearned>().size() == 1, "the routes");
    expectTrue(!fixture.Watcher.complete(), "not all");
    expectTrue(!fixture.Watcher.cache().changesSince(at(0)),
               "nothing to pass on");
    ItemPage second = store.list();
    second.Items.erase(second.Items.begin(), second.Items.begin() + 2);
    fixture.Watcher.next(fixture.Now);
    fixture.answer(
        {.Status = Ok, .Body = bareBody(second), .Generation = Generation{1}});
    expectTrue(fixture.Watcher.complete(), "all");
    auto learned = fixture.take<token::BackendsLearned>();
    expectTrue(learned.size() == 1 && learned[0].Present.size() == 1,
               "the other server, without the first one");
    expectTrue(!fixture.Watcher.cache().changesSince(at(store.revision() - 1)),
               "what was before the list is not known");
  }

  // The instance that watches lists 3,000 servers in seven pages. Guards
  // against caches of 300 instances that are stale for a second or two every
  // eight seconds, as happens without a watch until the list is complete.
  void watchesBetweenPagesOfAList() {
    Store store;
    store.server(1);
    store.server(2);
    WatcherFixture fixture;
    fixture.step(store);
    fixture.Now += 9s;
    fixture.step(store);
    section(
        "a page of the list is due, and a change comes with the watch", [&] {
          auto page = fixture.Watcher.next(fixture.Now);
          expectTrue(page && page->Call.Target == "/-/kv-range?prefix=",
                     "the first page");
          ItemPage first = store.list();
          first.Items.resize(1);
          first.More = true;
          fixture.answer(
              {.Status = Ok, .Body = fixture.Dialect.serializePage(first)});
          store.config(5);
          store.remove("servers/i-1");
          fixture.Now += 500ms;
          expectTrue(fixture.step(store).starts_with("/-/kv-watch"), "a watch");
          expectTrue(
              fixture.take<token::RoutesLearned>().back().Routes.Version ==
                  RuleVersion{5},
              "its change is known");
        });
    section("the list goes on and finds nothing wrong", [&] {
      auto page = fixture.Watcher.next(fixture.Now);
      expectTrue(page && page->Call.Target ==
                             "/-/kv-range?prefix=&after=servers/i-1",
                 "the second page");
      ItemPage second = store.list();
      std::erase_if(second.Items,
                    [](const Item &it) { return it.Key != "servers/i-2"; });
      fixture.answer({.Status = Ok,
                      .Body = bareBody(second),
                      .Generation = Generation{1}});
      expectTrue(fixture.take<token::BackendsLearned>().empty(), "no change");
      expectTrue(fixture.Watcher.cache().snapshot().Items.size() == 2,
                 "the configuration, which came after its page, and a server");
    });
  }

  // The registry's answer without changes proves that the cache was current for
  // the whole wait.
  void isCurrentAfterAWatchWithoutChanges() {
    Store store;
    store.server(1);
    WatcherFixture fixture;
    fixture.step(store);
    fixture.Now += 500ms;
    fixture.Watcher.next(fixture.Now);
    fixture.Now += 505ms;
    fixture.answer({.Status = Ok, .Body = bareBody({.At = store.position()})});
    expectTrue(fixture.Watcher.currentAt() == fixture.Now - 5ms,
               "current when the wait was over");
    expectEqual<std::string>("/-/kv-watch?prefix=&after=1&wait_ms=500",
                             fixture.step(store));
  }

  // A registration lapses and returns. One instance sees both, another neither,
  // and the second one's push moves the first one's position past the return.
  // Guards against instances that disagree on a server for seconds because an
  // unchanged value counts as an unchanged registration.
  void listsAgainWhenCachesDiffer() {
    Store store;
    store.server(1);
    store.server(2);
    WatcherFixture sawLapse;
    WatcherFixture missedLapse;
    sawLapse.step(store);
    missedLapse.step(store);
    store.remove("servers/i-2");
    sawLapse.Now += 1s;
    sawLapse.step(store);
    store.server(2);
    section("the instance that missed the lapse passes the return on", [&] {
      missedLapse.Now += 2s;
      missedLapse.fail(Gone);
      missedLapse.step(store);
      sawLapse.Now = missedLapse.Now;
      UpdatePush push = missedLapse.Watcher.makePush(
          InstanceId{2}, sawLapse.Watcher.cache().position(), sawLapse.Now);
      sawLapse.take<token::BackendsLearned>();
      sawLapse.Watcher.applyPush(push, false, sawLapse.Now, sawLapse.Events);
      auto learned = sawLapse.take<token::BackendsLearned>();
      expectTrue(learned.size() == 1 && learned[0].Present.size() == 1,
                 "server 2 is back");
    });
    section("a cache that still differs causes a list", [&] {
      UpdatePush push = missedLapse.Watcher.makePush(
          InstanceId{2}, store.position(), sawLapse.Now);
      push.Digest ^= 1;
      sawLapse.Now += 2s;
      sawLapse.Watcher.applyPush(push, false, sawLapse.Now, sawLapse.Events);
      sawLapse.Now += 1s;
      sawLapse.Watcher.applyPush(push, false, sawLapse.Now, sawLapse.Events);
      expectEqual<std::string>("/-/kv-range?prefix=", sawLapse.step(store));
    });
  }

  // A cache that was listed while servers registered holds some changes after
  // its position, so its checksum differs from the others' for a moment. Guards
  // against lists by all instances that cause further lists.
  void doesNotListForATemporaryDifference() {
    Store store;
    store.server(1);
    WatcherFixture fixture;
    fixture.step(store);
    WatcherFixture peer;
    peer.step(store);
    for (int n = 0; n < 10; ++n) {
      fixture.Now += 500ms;
      peer.Now = fixture.Now;
      UpdatePush push =
          peer.Watcher.makePush(InstanceId{2}, store.position(), fixture.Now);
      push.Age = 0s;
      push.Digest ^= n % 2 == 0 ? 1 : 0;
      fixture.Watcher.applyPush(push, false, fixture.Now, fixture.Events);
      std::string target = fixture.step(store);
      expectTrue(!target.starts_with("/-/kv-range"), target);
    }
  }

  void pullsWhatAPushLeftOut() {
    Store store;
    store.server(1);
    WatcherFixture fixture;
    fixture.step(store);
    Time before = fixture.Watcher.currentAt();
    fixture.Now += 300ms;
    UpdatePush push{.Sender = InstanceId{2}, .Base = store.position()};
    push.Page.At = store.position();
    push.Page.At.Revision += 5;
    push.Complete = false;
    expectTrue(
        fixture.Watcher.applyPush(push, false, fixture.Now, fixture.Events),
        "the changes are missing");
    expectTrue(fixture.Watcher.currentAt() == before,
               "the cache is not current without them");
    push.Complete = true;
    push.Base.Revision += 3;
    expectTrue(
        fixture.Watcher.applyPush(push, false, fixture.Now, fixture.Events),
        "a gap before the changes");
  }

  // A push announces changes, but its sender gets many requests at once and
  // does not answer in time. Guards against an instance that serves an old
  // configuration for five seconds because it waits for its staleness limit.
  void callsTheRegistryWhenAPullFails() {
    Store store;
    store.server(1);
    WatcherFixture fixture;
    fixture.step(store);
    fixture.Watcher.setStalenessLimit(10s, 1s);
    fixture.Now += 100ms;
    expectEqual<std::string>("", fixture.step(store));
    store.config(7);
    fixture.Watcher.pullFailed();
    expectTrue(!fixture.step(store).empty(), "it calls at once");
    expectTrue(fixture.take<token::RoutesLearned>().back().Routes.Version ==
                   RuleVersion{7},
               "and knows the change");
    expectEqual<std::string>("", fixture.step(store));
  }

  // An instance is replaced in a zone that is cut off from the registry. Guards
  // against a new instance that serves no caller while the other instances of
  // the zone do, as happens if only the registry can provide the first list.
  void servesAPeersCacheUntilTheRegistryAnswers() {
    Store store;
    store.config(4);
    store.server(1);
    auto pushed = [&] {
      UpdatePush push{.Sender = InstanceId{2}};
      push.Page.At = store.position();
      return push;
    };
    WatcherFixture fixture;
    expectTrue(!fixture.Watcher.needsSeed(pushed()),
               "the registry is called first");
    section("unless a sender's stale cache proves that it is unavailable", [&] {
      UpdatePush stale = pushed();
      stale.Age = 1600ms;
      expectTrue(fixture.Watcher.needsSeed(stale), "no need to wait");
    });
    fixture.fail();
    expectTrue(fixture.Watcher.needsSeed(pushed()), "it did not answer");
    fixture.Watcher.applySeed(store.list(), fixture.Events);
    section("it serves, and counts nothing as current", [&] {
      auto events = fixture.Events;
      expectTrue(fixture.take<token::BackendsComplete>().size() == 1,
                 "all is known");
      fixture.Events = events;
      expectTrue(fixture.take<token::FreshnessUpdated>().empty(),
                 "its age is unknown");
      expectTrue(!fixture.Watcher.needsSeed(pushed()),
                 "there is nothing newer");
      expectTrue(fixture.Watcher.hasAllItems() && !fixture.Watcher.complete(),
                 "it may push to others that start");
    });
    section("its own pushes can be decoded, and serve instances that start",
            [&] {
              UpdatePush own =
                  fixture.Watcher.makePush(InstanceId{3}, {}, fixture.Now);
              auto read = decodePush(encodePush(own));
              expectTrue(read.has_value(), "however old its cache is");
              expectTrue(WatcherFixture().Watcher.needsSeed(*read),
                         "another one starts");
            });
    store.server(1, "draining");
    expectTrue(fixture.Watcher.needsSeed(pushed()), "until something changes");
    fixture.Watcher.applySeed(store.list(), fixture.Events);
    expectTrue(fixture.take<token::BackendsLearned>().size() == 1, "a drain");
    section("the registry answers", [&] {
      fixture.Now += 1s;
      store.config(5);
      expectTrue(!fixture.step(store).empty(), "a list");
      expectTrue(!fixture.Watcher.needsSeed(pushed()),
                 "peers push from now on");
      auto events = fixture.Events;
      expectTrue(fixture.take<token::FreshnessUpdated>().size() == 1,
                 "current");
      fixture.Events = events;
      expectTrue(fixture.take<token::BackendsComplete>().empty(),
                 "reported once");
    });
  }

  // A process is suspended for seconds while pushes wait in its socket, and
  // resumes. The age in a push does not include that wait. Guards against a
  // stale cache that counts as current.
  void isNotCurrentAfterALatePush() {
    Store store;
    store.server(1);
    WatcherFixture fixture;
    fixture.step(store);
    Time before = fixture.Watcher.currentAt();
    fixture.Now += 4s;
    UpdatePush push = fixture.Watcher.makePush(InstanceId{2}, {}, fixture.Now);
    push.Age = 10ms;
    fixture.Watcher.applyPush(push, true, fixture.Now, fixture.Events);
    expectTrue(fixture.Watcher.currentAt() == before, "no proof");
  }

  void backsOffFromAFailingRegistry() {
    Store store;
    store.server(1);
    WatcherFixture fixture;
    fixture.step(store);
    int calls = 0;
    for (int n = 0; n < 1000; ++n) {
      fixture.Now += 10ms;
      if (fixture.fail(503))
        ++calls;
    }
    expectTrue(calls >= 8 && calls <= 25,
               "in 10 s of failure: " + std::to_string(calls));
    expectTrue(fixture.Watcher.isStale(fixture.Now), "it is stale");
  }

  void leavesOutRenewalsWithoutChanges() {
    Store store;
    store.server(1);
    WatcherFixture fixture;
    fixture.step(store);
    fixture.take<token::BackendsLearned>();
    fixture.Now += 1s;
    store.server(1, "ready", 2);
    fixture.step(store);
    expectTrue(fixture.take<token::BackendsLearned>().empty(),
               "nothing to report");
    auto page = fixture.Watcher.cache().changesSince(at(1));
    expectTrue(page && page->Items.empty(), "nothing to pass on");
  }

  /// Returns a registry with two servers and a directory of them.
  static Store withDirectory() {
    Store store;
    store.config(3);
    store.server(1);
    store.server(2);
    RegistryCache cache(Dialect);
    Findings findings;
    cache.replaceAll(store.list(), findings);
    // With this many instances an early list is unlikely.
    storeDirectory(store, cache, 10'000);
    return store;
  }

  // Guards against calls without a pause while the registry fails at the first
  // list.
  void backsOffFromAFailingFirstList() {
    for (bool directory : {false, true}) {
      Store store = directory ? withDirectory() : Store();
      store.config(4);
      WatcherFixture fixture;
      fixture.start(store);
      fixture.Now += 1s;
      size_t calls = 0;
      for (Time end = fixture.Now + 2s; fixture.Now < end; fixture.Now += 1ms)
        calls += fixture.fail(503) ? 1 : 0;
      expectTrue(calls >= 2 && calls <= 8, std::to_string(calls) + " calls");
    }
  }

  // Guards against a list of everything for each lost call of a start; hundreds
  // are lost when a whole deployment starts.
  void retriesLostStartupCalls() {
    Store store = withDirectory();
    WatcherFixture fixture;
    while (!fixture.Watcher.started()) {
      fixture.fail();
      fixture.Now += 1s;
      std::string target = fixture.stepOnce(store);
      expectTrue(target != "/-/kv-range?prefix=", target);
      fixture.Now += 1s;
    }
    expectEqual<uint64_t>(3, fixture.Watcher.cache().routes()->Version.Value);
  }

  // Guards against lists of everything by all instances that start while
  // another instance has the list already.
  void pullsEverythingFromAPeerInsteadOfListing() {
    Store store = withDirectory();
    WatcherFixture peer;
    peer.start(store);
    while (!peer.Watcher.complete() || !peer.Watcher.mayPassOn()) {
      peer.Now += 1s;
      peer.step(store);
    }
    WatcherFixture fixture;
    fixture.start(store);
    fixture.take<token::BackendsLearned>();
    UpdatePush push = peer.Watcher.makePush(
        InstanceId{1}, peer.Watcher.cache().position(), peer.Now);
    expectTrue(
        !fixture.Watcher.applyPush(push, true, fixture.Now, fixture.Events),
        "not for a push that may have waited for long");
    push.Age = 5s;
    expectTrue(
        !fixture.Watcher.applyPush(push, false, fixture.Now, fixture.Events),
        "nor for a push of a stale cache");
    push.Age = 0s;
    expectTrue(
        fixture.Watcher.applyPush(push, false, fixture.Now, fixture.Events),
        "it pulls from the sender");
    fixture.Watcher.applyPull(peer.Watcher.cache().snapshot(), true,
                              fixture.Now, fixture.Events);
    expectTrue(fixture.Watcher.complete(), "and knows everything");
    expectTrue(fixture.take<token::BackendsComplete>().size() == 1,
               "and reports it");
    expectTrue(fixture.Watcher.cache().digest() ==
                   peer.Watcher.cache().digest(),
               "its content is the same");
    expectTrue(!fixture.Watcher.isStale(fixture.Now), "and current");
    expectTrue(fixture.step(store).empty(), "no list follows");
  }

  // While servers register by the hundred, each push leaves its changes out,
  // they are read from its sender, and by the next push there are others.
  // Guards against caches that are stale on all instances meanwhile.
  void isAsCurrentAsThePushThatItPulledFor() {
    Store store;
    store.server(1);
    WatcherFixture peer;
    peer.step(store);
    WatcherFixture fixture;
    fixture.step(store);
    for (int n = 2; n <= 6; ++n) {
      peer.Now += 1s;
      fixture.Now += 1s;
      store.server(static_cast<uint64_t>(n));
      peer.step(store);
      UpdatePush push = peer.Watcher.makePush(InstanceId{1}, at(n), peer.Now);
      push.Age = 100ms;
      push.Complete = false;
      push.Page.Items.clear();
      expectTrue(
          fixture.Watcher.applyPush(push, false, fixture.Now, fixture.Events),
          "it has to pull");
      auto page =
          peer.Watcher.cache().changesSince(fixture.Watcher.cache().position());
      fixture.Watcher.applyPull(*page, false, fixture.Now, fixture.Events);
      expectTrue(fixture.Watcher.currentAt() == fixture.Now - 100ms,
                 "and is as current as its sender was");
    }
    section("a push that may have waited", [&] {
      Time before = fixture.Watcher.currentAt();
      peer.Now += 1s;
      store.server(7);
      peer.step(store);
      UpdatePush push = peer.Watcher.makePush(InstanceId{1}, at(7), peer.Now);
      push.Complete = false;
      fixture.Now += 1s;
      fixture.Watcher.applyPush(push, true, fixture.Now, fixture.Events);
      auto page =
          peer.Watcher.cache().changesSince(fixture.Watcher.cache().position());
      fixture.Watcher.applyPull(*page, false, fixture.Now, fixture.Events);
      expectTrue(fixture.Watcher.currentAt() == before, "proves nothing");
    });
  }

  // 295 instances come back from a power loss within 0.3 s. Each needs the
  // configuration and the servers to forward packets, but neither the other
  // instances' records nor the rest of the registrations' text.
  void readsWhatAStartNeedsFirst() {
    Store store = withDirectory();
    WatcherFixture fixture;
    expectEqual<std::string>(
        "/-/kv-key?key=chicorybank/start/zones/a&serializable=1",
        fixture.stepOnce(store));
    auto servers = fixture.take<token::BackendsLearned>();
    expectTrue(servers.size() == 1 && servers[0].Present.size() == 2,
               "the servers");
    expectEqual<std::string>("/-/kv-range?prefix=op/", fixture.stepOnce(store));
    expectTrue(fixture.take<token::RoutesLearned>().size() == 1, "the routes");
    expectEqual<std::string>(
        "/-/kv-range?prefix=chicorybank/routes/&serializable=1",
        fixture.stepOnce(store));
    expectEqual<std::string>("", fixture.stepOnce(store));
    fixture.Now = fixture.Watcher.nextAt();
    expectEqual<std::string>(
        "/-/kv-range?prefix=chicorybank/start/zones/&serializable=1",
        fixture.stepOnce(store));
    expectTrue(fixture.Watcher.started(), "that is all");
    expectTrue(fixture.take<token::BackendsComplete>().empty(),
               "it may lack servers");
    expectTrue(fixture.take<token::FreshnessUpdated>().empty(),
               "it does not prove a current cache");
    section("the list comes within the delay for two servers", [&] {
      fixture.Now += 2 * StartupReads::ListDelayPerServer;
      expectEqual<std::string>("/-/kv-range?prefix=&serializable=1",
                               fixture.stepOnce(store));
      expectTrue(fixture.take<token::BackendsComplete>().size() == 1, "all");
    });
  }

  void listsAtOnceWithoutADirectory() {
    Store store;
    store.config(3);
    WatcherFixture fixture;
    fixture.start(store);
    expectEqual<std::string>("/-/kv-range?prefix=", fixture.stepOnce(store));
    expectTrue(fixture.take<token::FreshnessUpdated>().size() == 1, "current");
  }

  // The first list is answered from a replica that is behind. Guards against a
  // removed route that is served, or a server that counts as ended, seconds
  // after a start because a stale list counts as current.
  void isNotCurrentAfterAStaleList() {
    Store store = withDirectory();
    Store stale = store;
    store.config(4);
    WatcherFixture fixture;
    fixture.start(store);
    fixture.Now += 1s;
    fixture.stepOnce(stale);
    auto events = fixture.Events;
    expectTrue(fixture.take<token::FreshnessUpdated>().empty(), "no proof");
    fixture.Events = events;
    auto routes = fixture.take<token::RoutesLearned>();
    expectTrue(routes.size() == 1 && routes[0].Routes.Version == RuleVersion{4},
               "the configuration is not replaced by an older one");
    // A watch would prove nothing: the stale revision may be from before a
    // restore and may have been assigned again.
    section("a list that is current follows", [&] {
      expectTrue(!fixture.Watcher.mayPassOn(),
                 "nothing is passed on until then");
      expectEqual<std::string>("/-/kv-range?prefix=", fixture.stepOnce(store));
      expectTrue(fixture.take<token::FreshnessUpdated>().size() == 1,
                 "current");
      expectTrue(fixture.Watcher.mayPassOn(), "then it is passed on");
    });
  }

  // A server takes over the address of one that has ended; the directory still
  // names the former, the first list has the latter. Guards against an instance
  // that has just started and resets flows of the running server because a
  // stale read orders the two registrations wrongly.
  void knowsTheNewerOfTwoServersAtOneAddress() {
    Store store = withDirectory();
    store.remove("servers/i-2");
    std::string successor =
        R"({"service":"records","address":"10.0.0.2:80","zone":"a","version":"v1",)"
        R"("slots":2,"state":"ready","warmup_left_ms":0,"sequence":1})";
    store.put("servers/i-9", successor);
    WatcherFixture fixture;
    fixture.start(store);
    fixture.Now += 1s;
    fixture.stepOnce(store);
    std::map<uint64_t, token::RegistrationOrder> orders;
    for (const auto &learned : fixture.take<token::BackendsLearned>())
      for (const token::Registration &it : learned.Present)
        orders[it.Id.Value] = it.Order;
    expectTrue(orders[2] < orders[9], "the successor is newer");
  }

  // Guards against resets of flows because a directory from before a restore
  // names a server that has never existed in the registry's present history.
  void provesNoAgeByTheDirectory() {
    Store store = withDirectory();
    WatcherFixture fixture;
    fixture.start(store);
    auto learned = fixture.take<token::BackendsLearned>();
    expectTrue(!learned.empty(), "the directory's servers");
    for (const token::Registration &it : learned.front().Present)
      expectTrue(it.Order.Origin == token::RegistrationOrigin::Uncertain &&
                     it.Order.Generation == store.generation().Value,
                 "of this generation or any earlier one");
  }

  // The pages of a stale list come from replicas that are behind by different
  // times. Guards against an instance that counts a running server as gone
  // because it registered between an old second page and the first one.
  void keepsServersThatALaterPageOfAStaleListLacks() {
    Store store = withDirectory();
    Store older = store;
    store.server(3);
    WatcherFixture fixture;
    fixture.fail();
    fixture.Watcher.applySeed(store.list(), fixture.Events);
    Position seeded = store.position();
    store.server(1, "ready", 2);
    fixture.start(store);
    fixture.Now = fixture.Watcher.nextAt();
    fixture.take<token::BackendsLearned>();
    auto answerPage = [&](const Store &replica, size_t begin, size_t end) {
      auto call = fixture.Watcher.next(fixture.Now);
      expectTrue(call->Call.Target.find("serializable") != std::string::npos,
                 "the list may be stale");
      ItemPage page = replica.list();
      page.More = end < page.Items.size();
      page.Items = {page.Items.begin() + static_cast<std::ptrdiff_t>(begin),
                    page.Items.begin() + static_cast<std::ptrdiff_t>(end)};
      fixture.answer({.Status = Ok,
                      .Body = bareBody(page),
                      .Generation = replica.generation()});
    };
    answerPage(store, 0, 3);
    answerPage(older, 3, older.list().Items.size());
    expectTrue(fixture.take<token::BackendsLearned>().empty(),
               "no server has ended");
    expectTrue(fixture.Watcher.cache().position() == seeded,
               "the list is not complete as of its newest page");
    section("the next list has the server", [&] {
      fixture.Now += 2s;
      expectEqual<std::string>("/-/kv-range?prefix=", fixture.step(store));
      expectEqual<size_t>(3, fixture.Watcher.cache().registrationCount());
    });
  }

  // A push of the instance that watches arrives within a poll interval. Guards
  // against a call for changes right after the list, by each of 735 starts in a
  // day.
  void waitsForAPushAfterAStaleList() {
    Store store = withDirectory();
    WatcherFixture fixture;
    fixture.Watcher.setStalenessLimit(1500ms, 1s);
    fixture.start(store);
    fixture.Now += 100ms;
    fixture.stepOnce(store);
    fixture.Now += 400ms;
    expectEqual<std::string>("", fixture.stepOnce(store));
    section("a push that confirms the list makes the call unnecessary", [&] {
      WatcherFixture peer;
      peer.Now = fixture.Now;
      peer.Watcher.setStalenessLimit(500ms, 1s);
      peer.step(store);
      peer.Now += 500ms;
      peer.step(store);
      peer.Now += 500ms;
      peer.step(store);
      expectTrue(peer.Watcher.mayPassOn(), "the peer is current");
      UpdatePush push =
          peer.Watcher.makePush(InstanceId{1}, store.position(), peer.Now);
      fixture.Watcher.applyPush(push, false, fixture.Now, fixture.Events);
      fixture.Now += 1400ms;
      expectEqual<std::string>("", fixture.stepOnce(store));
      fixture.Now += 100ms;
      expectEqual<std::string>("/-/kv-watch?prefix=&after=4&wait_ms=500",
                               fixture.stepOnce(store));
    });
  }

  // A server drains after another instance's copy and before the stale list of
  // a start. Guards against new flows to this server until the next list,
  // although pushes arrive.
  void learnsOfDrainsThatAStaleListHasAndASeedLacks() {
    Store store = withDirectory();
    WatcherFixture fixture;
    fixture.Watcher.setStalenessLimit(2s, 1s);
    fixture.fail();
    fixture.Watcher.applySeed(store.list(), fixture.Events);
    Position seeded = store.position();
    store.server(1, "draining");
    fixture.start(store);
    fixture.Now = fixture.Watcher.nextAt();
    fixture.stepOnce(store);
    expectTrue(fixture.Watcher.complete(), "the list was read");
    fixture.take<token::BackendsLearned>();
    store.server(3);
    UpdatePush push{.Sender = InstanceId{1},
                    .Base = at(seeded.Revision + 1),
                    .Page = store.since(seeded.Revision + 1)};
    expectTrue(
        fixture.Watcher.applyPush(push, false, fixture.Now, fixture.Events),
        "the push lacks the drain, so the sender is asked for it");
    fixture.Watcher.applyPull(store.since(seeded.Revision), false, fixture.Now,
                              fixture.Events);
    bool drains = false;
    for (const auto &learned : fixture.take<token::BackendsLearned>())
      for (const token::Registration &it : learned.Present)
        drains = drains || (it.Id.Value == 1 && it.Draining);
    expectTrue(drains, "the drain is known");
  }

  // A server's drain is missing in the stale list of a start, and no push
  // arrives. Guards against new flows to this server seconds after its drain.
  void learnsOfDrainsSoonAfterAStaleList() {
    Store store = withDirectory();
    Store stale = store;
    store.server(1, "draining");
    WatcherFixture fixture;
    fixture.Watcher.setStalenessLimit(2s, 1s);
    fixture.start(store);
    fixture.Now += 100ms;
    fixture.stepOnce(stale);
    fixture.take<token::BackendsLearned>();
    fixture.Now += 500ms;
    expectEqual<std::string>(
        "/-/kv-watch?prefix=&after=" + std::to_string(stale.revision()) +
            "&wait_ms=500",
        fixture.stepOnce(store));
    auto learned = fixture.take<token::BackendsLearned>();
    expectTrue(learned.size() == 1 && learned[0].Present.size() == 1 &&
                   learned[0].Present[0].Draining,
               "the drain is known");
    section("the changes alone do not confirm the stale list", [&] {
      expectTrue(!fixture.Watcher.mayPassOn(), "nothing is passed on");
      fixture.Now += 1400ms;
      expectEqual<std::string>("", fixture.stepOnce(store));
      fixture.Now += 100ms;
      expectEqual<std::string>("/-/kv-range?prefix=", fixture.stepOnce(store));
      expectTrue(fixture.Watcher.wasCurrent(), "the list does");
    });
  }

  // No other instance has the changes since the stale list of a start. Guards
  // against a full copy over a small link where the registry has the changes,
  // and against a start that waits for a registry which does not answer.
  void readsWhatNoPeerHasFromTheRegistry() {
    Store store = withDirectory();
    WatcherFixture fixture;
    fixture.Watcher.setStalenessLimit(2s, 1s);
    expectTrue(!fixture.Watcher.requestCatchUp(), "no list was read");
    fixture.start(store);
    fixture.Now += 100ms;
    fixture.stepOnce(store);
    expectTrue(fixture.Watcher.requestCatchUp(), "the list may be stale");
    fixture.Now += 10ms;
    expectTrue(fixture.fail(503), "the call is due at once");
    expectTrue(!fixture.Watcher.requestCatchUp(), "the registry refuses it");
    fixture.Now += 1s;
    expectEqual<std::string>("", fixture.stepOnce(store));
  }

  // A server ends after the stale list of a start, and a current copy of the
  // same generation lacks it. Guards against new flows to this server for
  // seconds, as if a restore had lost its registration.
  void endsServersThatOnlyAStaleListNamed() {
    Store store = withDirectory();
    Store stale = store;
    store.remove("servers/i-2");
    WatcherFixture fixture;
    fixture.Watcher.setStalenessLimit(2s, 1s);
    fixture.start(store);
    fixture.Now += 100ms;
    fixture.stepOnce(stale);
    fixture.take<token::BackendsLearned>();
    fixture.Watcher.applyPull(store.list(), true, fixture.Now, fixture.Events);
    auto learned = fixture.take<token::BackendsLearned>();
    expectTrue(learned.size() == 1 && learned[0].Ended.size() == 1,
               "the server has ended");
  }

  // For any drains around a start without pushes: each is known five seconds
  // later. Guards against new flows to draining servers because a read that may
  // be stale stays in force.
  void knowsEveryDrainWithinItsBound() {
    constexpr Duration Bound = 5s;
    constexpr Duration ReplicaLag = 6s;
    constexpr Duration Step = 50ms;
    // A configuration of 1 MB on a link of 10 Mbit/s.
    constexpr Duration LargeAnswerTime = 1100ms;
    constexpr int Steps = 300;
    property("drains at any time around a start from stale reads", [&] {
      Store store = withDirectory();
      WatcherFixture fixture;
      fixture.Watcher.setStalenessLimit(2250ms, 1s);
      Time startsAt = fixture.Now + ReplicaLag;
      auto drainSteps =
          *rc::gen::container<std::vector<int>>(6, rc::gen::inRange(0, Steps));
      std::deque<Store> past;
      std::set<uint64_t> known;
      std::optional<RegistryCall> call;
      Time answerAt;
      for (int step = 0; step < Steps; ++step) {
        fixture.Now += Step;
        for (size_t n = 0; n < drainSteps.size(); ++n)
          if (drainSteps[n] == step)
            store.server(n + 1, "draining");
        past.push_back(store);
        if (past.size() > static_cast<size_t>(ReplicaLag / Step))
          past.pop_front();
        if (fixture.Now < startsAt)
          continue;
        if (call && fixture.Now >= answerAt) {
          bool mayBeStale =
              call->Target.find("serializable") != std::string::npos;
          fixture.answer(answerOf(mayBeStale ? past.front() : store, *call));
          call.reset();
        }
        if (auto next = fixture.Watcher.next(fixture.Now)) {
          call = std::move(next->Call);
          bool isLarge = call->Kind == CallKind::List ||
                         call->Kind == CallKind::OperatorSettings;
          answerAt = fixture.Now + (isLarge ? LargeAnswerTime : Step);
        }
        for (const auto &learned : fixture.take<token::BackendsLearned>())
          for (const token::Registration &it : learned.Present)
            if (it.Draining)
              known.insert(it.Id.Value);
        for (size_t n = 0; n < drainSteps.size(); ++n)
          RC_ASSERT(fixture.Now < startsAt + Bound ||
                    (step - drainSteps[n]) * Step <= Bound ||
                    known.contains(n + 1));
      }
    });
  }

  // A server ends, and an instance starts from a directory that still names it;
  // the list lacks it. No change reports an end from before the list. Guards
  // against packets that go to this server for good.
  void endsServersThatOnlyTheDirectoryNames() {
    Store store = withDirectory();
    store.remove("servers/i-2");
    WatcherFixture fixture;
    fixture.start(store);
    fixture.take<token::BackendsLearned>();
    fixture.Now += 1s;
    fixture.stepOnce(store);
    auto learned = fixture.take<token::BackendsLearned>();
    expectTrue(!learned.empty() &&
                   learned.back().Ended == std::vector{token::BackendId{2}},
               "it is reported as ended");
    section("a server that is newer than the list is added by its change", [&] {
      Store stale;
      stale.config(3);
      stale.server(1);
      Store later = withDirectory();
      WatcherFixture lagging;
      lagging.start(later);
      lagging.Now += 1s;
      lagging.stepOnce(stale);
      lagging.take<token::BackendsLearned>();
      lagging.Watcher.applyPull(later.list(), true, lagging.Now,
                                lagging.Events);
      auto back = lagging.take<token::BackendsLearned>();
      expectTrue(back.size() == 1 && back[0].Present.size() == 1, "it is back");
    });
  }

  void startsDespiteABadDirectory() {
    Store store = withDirectory();
    store.put("chicorybank/start/zones/a", "another writer's");
    WatcherFixture fixture;
    fixture.start(store);
    expectTrue(!fixture.Watcher.takeFindings().empty(),
               "the error is reported");
    expectEqual<std::string>("/-/kv-range?prefix=", fixture.stepOnce(store));
    auto learned = fixture.take<token::BackendsLearned>();
    expectTrue(learned.size() == 1 && learned[0].Present.size() == 2,
               "the list has all");
    section("a failed call is repeated", [&] {
      WatcherFixture other;
      other.fail(503);
      expectEqual<std::string>("", other.stepOnce(store));
      other.Now += 100ms;
      expectEqual<std::string>(
          "/-/kv-key?key=chicorybank/start/zones/a&serializable=1",
          other.stepOnce(store));
    });
  }

  // After all instances have started, each has a list of another revision.
  // Guards against pulls of everything from each sender of a push, eight times
  // 300 kB over a link of 20 Mbit/s, when only renewals lie between the
  // revisions.
  void adoptsALaterRevisionWithTheSameContent() {
    Store store;
    store.server(1);
    WatcherFixture early;
    early.step(store);
    store.server(1, "ready", 2);
    WatcherFixture late;
    late.step(store);
    UpdatePush push =
        late.Watcher.makePush(InstanceId{2}, store.position(), late.Now);
    expectTrue(push.Base > early.Watcher.cache().position(), "a gap");
    early.Now += 100ms;
    early.take<token::FreshnessUpdated>();
    expectTrue(!early.Watcher.applyPush(push, false, early.Now, early.Events),
               "nothing has to be read");
    expectTrue(early.Watcher.cache().position() == store.position(),
               "it is as of that revision");
    expectTrue(early.take<token::FreshnessUpdated>().size() == 1,
               "and current");
    section("not if a server drains in between", [&] {
      store.server(1, "draining");
      WatcherFixture third;
      third.step(store);
      UpdatePush drained =
          third.Watcher.makePush(InstanceId{3}, store.position(), third.Now);
      expectTrue(
          early.Watcher.applyPush(drained, false, early.Now, early.Events),
          "the change is missing");
    });
  }

  // All watches fail in an outage of the registry of six seconds; when it is
  // back, the first instance lists and pushes. Guards against three calls by
  // each of 295 instances, for lists of 300 kB, as happens if a list that is
  // due is not cancelled.
  void needsNoListAfterAPushWithTheSameContent() {
    Store store;
    store.server(1);
    WatcherFixture fixture;
    fixture.step(store);
    fixture.Watcher.setStalenessLimit(1500ms, 1s);
    WatcherFixture first;
    first.step(store);
    auto failing = [&] {
      fixture.Now += 1500ms;
      expectTrue(fixture.fail(), "it calls, and gets no answer");
      fixture.Now += 10ms;
      first.Now = fixture.Now;
    };
    failing();
    UpdatePush push =
        first.Watcher.makePush(InstanceId{2}, store.position(), first.Now);
    push.Age = 100ms;
    fixture.Watcher.applyPush(push, false, fixture.Now, fixture.Events);
    fixture.Now += 300ms;
    expectEqual<std::string>("", fixture.stepOnce(store));
    section("but if the caches differ, or the push is old, it lists", [&] {
      failing();
      push.Age = 2s;
      fixture.Watcher.applyPush(push, false, fixture.Now, fixture.Events);
      push.Age = 100ms;
      push.Digest ^= 1;
      fixture.Watcher.applyPush(push, false, fixture.Now, fixture.Events);
      fixture.Now += 300ms;
      expectEqual<std::string>("/-/kv-range?prefix=", fixture.stepOnce(store));
    });
  }

  // For any stale reads during a start: what counts as current matches the
  // registry, the configuration is not replaced by an older one, and no server
  // is missing.
  void neverRevertsToAStaleRead() {
    property("stale reads, watches, dropped history and cuts in any order", [] {
      Store store = withDirectory();
      std::vector<Store> past{store};
      WatcherFixture fixture;
      int version = 3;
      uint64_t highest = 0;
      auto steps =
          *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 7));
      for (int it : steps) {
        fixture.Now += 300ms;
        if (it == 0)
          store.config(++version);
        else if (it == 1)
          store.server(static_cast<uint64_t>(version), "ready", version);
        else if (it == 2)
          store.remove("servers/i-2");
        past.push_back(store);
        auto call = fixture.Watcher.next(fixture.Now);
        if (!call)
          continue;
        bool mayBeStale =
            call->Call.Target.find("serializable") != std::string::npos;
        size_t lag = mayBeStale ? *rc::gen::inRange<size_t>(0, past.size()) : 0;
        if (it == 5)
          fixture.answer({.Status = 0});
        else if (it == 6 && call->Call.Kind == CallKind::Watch)
          fixture.answer({.Status = 410});
        else
          fixture.answer(answerOf(past[past.size() - 1 - lag], call->Call));
        for (const token::Event &event : fixture.Events)
          if (const auto *routes = std::get_if<token::RoutesLearned>(&event)) {
            RC_ASSERT(routes->Routes.Version.Value > highest);
            highest = routes->Routes.Version.Value;
          }
        bool current = !fixture.take<token::FreshnessUpdated>().empty();
        if (!current)
          continue;
        RC_ASSERT(highest == static_cast<uint64_t>(version));
        RC_ASSERT(fixture.Watcher.cache().registrationCount() ==
                  store.list("servers/").Items.size());
      }
    });
  }

  void matchesTheStoreAfterAnyFailures() {
    property("the cache is right after one successful list", [] {
      Store store;
      store.server(1);
      WatcherFixture fixture;
      fixture.step(store);
      auto steps =
          *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
      for (int it : steps) {
        fixture.Now += 700ms;
        switch (it) {
        case 0:
          store.server(2);
          break;
        case 1:
          store.remove("servers/i-2");
          break;
        case 2:
          store.server(1, "draining");
          break;
        case 3:
          fixture.fail();
          break;
        case 4:
          fixture.fail(410);
          break;
        case 5:
          fixture.fail(429);
          break;
        default:
          fixture.step(store);
        }
      }
      fixture.Watcher.revalidate(fixture.Now);
      fixture.Now += 5s;
      fixture.step(store);
      std::vector<Item> cache = fixture.Watcher.cache().snapshot().Items;
      std::vector<Item> expected = store.list().Items;
      RC_ASSERT(cache.size() == expected.size());
      for (size_t n = 0; n < cache.size(); ++n)
        RC_ASSERT(cache[n] == expected[n]);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistryWatcherTest);
