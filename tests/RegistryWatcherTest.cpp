// Current news through everything that a registry does.

#include "chicorybank/edge/RegistryWatcher.h"

#include "chicorybank/edge/Directory.h"

#include "RegistrySamples.h"
#include "Story.h"

using namespace story;
using namespace samples::registry;

namespace {

const platform::StoreDialect Dialect;

} // namespace

class RegistryWatcherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegistryWatcherTest);
  CPPUNIT_TEST(listsThenWatchesAtItsPace);
  CPPUNIT_TEST(staysSilentWhileOthersTell);
  CPPUNIT_TEST(listsAgainAfterAWatchThatHeardNothing);
  CPPUNIT_TEST(listsAgainWhenTheHistoryIsGone);
  CPPUNIT_TEST(listsAgainWhenAWatchWasCut);
  CPPUNIT_TEST(listsEverythingNowAndThen);
  CPPUNIT_TEST(tellsTheFirstPagesBeforeTheLast);
  CPPUNIT_TEST(goesOnWatchingWhileItLists);
  CPPUNIT_TEST(takesAnUnchangedRevisionForCurrent);
  CPPUNIT_TEST(listsAgainWhenCopiesDiffer);
  CPPUNIT_TEST(asksASenderForWhatDidNotFit);
  CPPUNIT_TEST(asksTheRegistryWhenASenderCannotTell);
  CPPUNIT_TEST(servesWhatAPeerKnowsUntilTheRegistryAnswers);
  CPPUNIT_TEST(takesALatePushForNoProof);
  CPPUNIT_TEST(backsOffFromAFailingRegistry);
  CPPUNIT_TEST(leavesOutMereRenewals);
  CPPUNIT_TEST(readsWhatAStartNeedsFirst);
  CPPUNIT_TEST(asksAgainForWhatAStartLost);
  CPPUNIT_TEST(readsEverythingFromAPeerBeforeItLists);
  CPPUNIT_TEST(isAsCurrentAsThePushWhoseChangesItRead);
  CPPUNIT_TEST(listsForNoDifferenceThatPasses);
  CPPUNIT_TEST(listsAtOnceWithoutADirectory);
  CPPUNIT_TEST(takesAnOldListForNoProof);
  CPPUNIT_TEST(waitsForNewsAfterAnOldList);
  CPPUNIT_TEST(knowsTheNewerOfTwoServersAtOneAddress);
  CPPUNIT_TEST(endsWhatOnlyTheDirectoryNamed);
  CPPUNIT_TEST(startsAllTheSameWithABadDirectory);
  CPPUNIT_TEST(adoptsARevisionAtWhichNothingDiffers);
  CPPUNIT_TEST(needsNoListWhereAPushAgrees);
  CPPUNIT_TEST(neverBelievesAnOldRead);
  CPPUNIT_TEST(agreesWithTheStoreAfterAnyTrouble);
  CPPUNIT_TEST_SUITE_END();

  void listsThenWatchesAtItsPace() {
    Store store;
    store.config(3);
    store.server(1);
    WatcherFixture reading;
    expectEqual<std::string>("/-/kv-range?prefix=", reading.step(store));
    expectTrue(reading.Watcher.complete(), "everything was read");
    expectEqual<std::string>("", reading.step(store));
    reading.Now += 500ms;
    store.config(4);
    expectEqual<std::string>("/-/kv-watch?prefix=&after=2&wait_ms=500",
                             reading.step(store));
    auto routes = reading.take<token::RoutesLearned>();
    expectTrue(routes.back().Routes.Version == RuleVersion{4}, "version 4");
  }

  void staysSilentWhileOthersTell() {
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
    section("the other one falls silent", [&] {
      two.Now += 1s;
      expectTrue(!two.step(store).empty(), "it asks by itself");
    });
  }

  // Symptom: a dropped route is served seconds after its removal.
  // Sequence: the registry's watches hear nothing for a second, changes are
  // made meanwhile, then they go on behind those changes.
  // Cause: an empty answer taken for "nothing has changed".
  void listsAgainAfterAWatchThatHeardNothing() {
    Store store;
    store.server(1);
    WatcherFixture reading;
    reading.step(store);
    reading.Now += 2s;
    reading.take<token::FreshnessUpdated>();
    store.config(9);
    reading.Watcher.next(reading.Now);
    reading.answer({.Status = Ok, .Body = bareBody({.At = store.position()})});
    expectTrue(reading.take<token::FreshnessUpdated>().empty(),
               "silence does not show current news");
    expectEqual<std::string>("/-/kv-range?prefix=", reading.step(store));
    expectTrue(reading.take<token::RoutesLearned>().back().Routes.Version ==
                   RuleVersion{9},
               "the change is found");
  }

  void listsAgainWhenTheHistoryIsGone() {
    Store store;
    store.server(1);
    WatcherFixture reading;
    reading.step(store);
    reading.Now += 1s;
    expectTrue(reading.fail(Gone), "a watch is due");
    expectEqual<std::string>("/-/kv-range?prefix=", reading.step(store));
  }

  void listsAgainWhenAWatchWasCut() {
    Store store;
    store.server(1);
    store.server(2);
    WatcherFixture reading;
    reading.step(store);
    reading.Now += 1s;
    store.remove("servers/i-2");
    expectTrue(reading.fail(), "a watch is due");
    reading.Now += 200ms;
    reading.take<token::BackendsLearned>();
    expectEqual<std::string>("/-/kv-range?prefix=", reading.step(store));
    auto learned = reading.take<token::BackendsLearned>();
    expectEqual<size_t>(1, learned.size());
    expectTrue(learned[0].Ended == std::vector{token::BackendId{2}},
               "the one that ended unheard");
  }

  // Symptom: flows go to a server that ended long ago.
  // Sequence: the end of a registration is lost with the history.
  // Cause: an end is told once, unlike all other changes.
  void listsEverythingNowAndThen() {
    Store store;
    store.server(1);
    WatcherFixture reading;
    reading.step(store);
    int lists = 0;
    for (int n = 0; n < 100; ++n) {
      reading.Now += 500ms;
      if (reading.step(store) == "/-/kv-range?prefix=")
        ++lists;
    }
    expectTrue(lists >= 5 && lists <= 7,
               "every eight seconds of 50: " + std::to_string(lists));
  }

  void tellsTheFirstPagesBeforeTheLast() {
    Store store;
    store.config(3);
    store.server(1);
    store.server(2);
    WatcherFixture reading;
    reading.start(store);
    reading.Watcher.next(reading.Now);
    ItemPage first = store.list();
    first.Items.resize(2);
    first.More = true;
    reading.answer(
        {.Status = Ok, .Body = bareBody(first), .Generation = Generation{1}});
    expectTrue(reading.take<token::RoutesLearned>().size() == 1, "the routes");
    expectTrue(!reading.Watcher.complete(), "not all");
    expectTrue(!reading.Watcher.cache().changesSince(at(0)),
               "and nothing to pass on");
    ItemPage second = store.list();
    second.Items.erase(second.Items.begin(), second.Items.begin() + 2);
    reading.Watcher.next(reading.Now);
    reading.answer(
        {.Status = Ok, .Body = bareBody(second), .Generation = Generation{1}});
    expectTrue(reading.Watcher.complete(), "all");
    auto learned = reading.take<token::BackendsLearned>();
    expectTrue(learned.size() == 1 && learned[0].Present.size() == 1,
               "the other server, and the first not again");
    expectTrue(!reading.Watcher.cache().changesSince(at(store.revision() - 1)),
               "what was before the list is not known");
  }

  // Symptom: every eight seconds the news of 300 instances is stale for a
  // second or two.
  // Sequence: the one that watches lists 3,000 servers in seven pages.
  // Cause: no watch until the list was whole.
  void goesOnWatchingWhileItLists() {
    Store store;
    store.server(1);
    store.server(2);
    WatcherFixture reading;
    reading.step(store);
    reading.Now += 9s;
    reading.step(store);
    section(
        "a page of the list is due, and a change comes with the watch", [&] {
          auto page = reading.Watcher.next(reading.Now);
          expectTrue(page && page->Call.Target == "/-/kv-range?prefix=",
                     "the first page");
          ItemPage first = store.list();
          first.Items.resize(1);
          first.More = true;
          reading.answer(
              {.Status = Ok, .Body = reading.Dialect.serializePage(first)});
          store.config(5);
          store.remove("servers/i-1");
          reading.Now += 500ms;
          expectTrue(reading.step(store).starts_with("/-/kv-watch"), "a watch");
          expectTrue(
              reading.take<token::RoutesLearned>().back().Routes.Version ==
                  RuleVersion{5},
              "its change is known");
        });
    section("the list goes on and finds nothing wrong", [&] {
      auto page = reading.Watcher.next(reading.Now);
      expectTrue(page && page->Call.Target ==
                             "/-/kv-range?prefix=&after=servers/i-1",
                 "the second page");
      ItemPage second = store.list();
      std::erase_if(second.Items,
                    [](const Item &it) { return it.Key != "servers/i-2"; });
      reading.answer({.Status = Ok,
                      .Body = bareBody(second),
                      .Generation = Generation{1}});
      expectTrue(reading.take<token::BackendsLearned>().empty(), "no change");
      expectTrue(reading.Watcher.cache().snapshot().Items.size() == 2,
                 "the configuration, which came after its page, and a server");
    });
  }

  // The registry's answer without changes is proof of current news for the
  // whole time that it waited.
  void takesAnUnchangedRevisionForCurrent() {
    Store store;
    store.server(1);
    WatcherFixture reading;
    reading.step(store);
    reading.Now += 500ms;
    reading.Watcher.next(reading.Now);
    reading.Now += 505ms;
    reading.answer({.Status = Ok, .Body = bareBody({.At = store.position()})});
    expectTrue(reading.Watcher.currentAt() == reading.Now - 5ms,
               "current when the wait was over");
    expectEqual<std::string>("/-/kv-watch?prefix=&after=1&wait_ms=500",
                             reading.step(store));
  }

  // Symptom: two instances disagree on a server for seconds.
  // Sequence: a registration lapses and returns; one instance sees both, one
  // sees none; the second's push carries the first one past the return.
  // Cause: an unchanged value taken for an unchanged registration.
  void listsAgainWhenCopiesDiffer() {
    Store store;
    store.server(1);
    store.server(2);
    WatcherFixture saw;
    WatcherFixture slept;
    saw.step(store);
    slept.step(store);
    store.remove("servers/i-2");
    saw.Now += 1s;
    saw.step(store);
    store.server(2);
    section("the return is passed on by who did not see the lapse", [&] {
      slept.Now += 2s;
      slept.fail(Gone);
      slept.step(store);
      saw.Now = slept.Now;
      UpdatePush push = slept.Watcher.makePush(
          InstanceId{2}, saw.Watcher.cache().position(), saw.Now);
      saw.take<token::BackendsLearned>();
      saw.Watcher.applyPush(push, false, saw.Now, saw.Events);
      auto learned = saw.take<token::BackendsLearned>();
      expectTrue(learned.size() == 1 && learned[0].Present.size() == 1,
                 "server 2 is back");
    });
    section("a copy that differs all the same is not copied", [&] {
      UpdatePush push =
          slept.Watcher.makePush(InstanceId{2}, store.position(), saw.Now);
      push.Digest ^= 1;
      saw.Now += 2s;
      saw.Watcher.applyPush(push, false, saw.Now, saw.Events);
      saw.Now += 1s;
      saw.Watcher.applyPush(push, false, saw.Now, saw.Events);
      expectEqual<std::string>("/-/kv-range?prefix=", saw.step(store));
    });
  }

  // Guards against a list by each instance of a fleet, and another one by each
  // because of it: a copy that was listed while servers registered holds some
  // changes behind its position, and tells the others its checksum.
  void listsForNoDifferenceThatPasses() {
    Store store;
    store.server(1);
    WatcherFixture reading;
    reading.step(store);
    WatcherFixture peer;
    peer.step(store);
    for (int n = 0; n < 10; ++n) {
      reading.Now += 500ms;
      peer.Now = reading.Now;
      UpdatePush push =
          peer.Watcher.makePush(InstanceId{2}, store.position(), reading.Now);
      push.Age = 0s;
      push.Digest ^= n % 2 == 0 ? 1 : 0;
      reading.Watcher.applyPush(push, false, reading.Now, reading.Events);
      std::string target = reading.step(store);
      expectTrue(!target.starts_with("/-/kv-range"), target);
    }
  }

  void asksASenderForWhatDidNotFit() {
    Store store;
    store.server(1);
    WatcherFixture reading;
    reading.step(store);
    Time before = reading.Watcher.currentAt();
    reading.Now += 300ms;
    UpdatePush push{.Sender = InstanceId{2}, .Base = store.position()};
    push.Page.At = store.position();
    push.Page.At.Revision += 5;
    push.Complete = false;
    expectTrue(
        reading.Watcher.applyPush(push, false, reading.Now, reading.Events),
        "the changes are missing");
    expectTrue(reading.Watcher.currentAt() == before,
               "and the news is not current without them");
    push.Complete = true;
    push.Base.Revision += 3;
    expectTrue(
        reading.Watcher.applyPush(push, false, reading.Now, reading.Events),
        "a gap before the changes");
  }

  // Symptom: an instance of a large fleet serves an old configuration for five
  // seconds.
  // Sequence: a push says that there are changes; its sender, asked by many at
  // once, does not answer in time; patience is counted from the last news.
  // Cause: nothing but patience led to the registry.
  void asksTheRegistryWhenASenderCannotTell() {
    Store store;
    store.server(1);
    WatcherFixture reading;
    reading.step(store);
    reading.Watcher.setStalenessLimit(10s, 1s);
    reading.Now += 100ms;
    expectEqual<std::string>("", reading.step(store));
    store.config(7);
    reading.Watcher.pullFailed();
    expectTrue(!reading.step(store).empty(), "it asks at once");
    expectTrue(reading.take<token::RoutesLearned>().back().Routes.Version ==
                   RuleVersion{7},
               "and knows the change");
    expectEqual<std::string>("", reading.step(store));
  }

  // Symptom: instances that restart in a zone that is cut off from the registry
  // serve nobody, while their neighbours serve.
  // Sequence: the zone is cut off, an instance there is replaced.
  // Cause: the registry as the only source of a first list.
  void servesWhatAPeerKnowsUntilTheRegistryAnswers() {
    Store store;
    store.config(4);
    store.server(1);
    auto pushed = [&] {
      UpdatePush push{.Sender = InstanceId{2}};
      push.Page.At = store.position();
      return push;
    };
    WatcherFixture reading;
    expectTrue(!reading.Watcher.needsSeed(pushed()),
               "the registry is asked first");
    section("unless a sender's stale news shows that it is away", [&] {
      UpdatePush stale = pushed();
      stale.Age = 1600ms;
      expectTrue(reading.Watcher.needsSeed(stale), "no need to wait");
    });
    reading.fail();
    expectTrue(reading.Watcher.needsSeed(pushed()), "it did not answer");
    reading.Watcher.applySeed(store.list(), reading.Events);
    section("it serves, and takes nothing for current", [&] {
      auto events = reading.Events;
      expectTrue(reading.take<token::BackendsComplete>().size() == 1,
                 "all is known");
      reading.Events = events;
      expectTrue(reading.take<token::FreshnessUpdated>().empty(),
                 "nobody knows how old it is");
      expectTrue(!reading.Watcher.needsSeed(pushed()), "there is no more");
      expectTrue(reading.Watcher.hasAllItems() && !reading.Watcher.complete(),
                 "it may tell others who start");
    });
    section("its own pushes can be read, and serve those that start", [&] {
      UpdatePush own = reading.Watcher.makePush(InstanceId{3}, {}, reading.Now);
      auto read = decodePush(encodePush(own));
      expectTrue(read.has_value(), "however old its news is");
      expectTrue(WatcherFixture().Watcher.needsSeed(*read),
                 "another one starts");
    });
    store.server(1, "draining");
    expectTrue(reading.Watcher.needsSeed(pushed()), "until something changes");
    reading.Watcher.applySeed(store.list(), reading.Events);
    expectTrue(reading.take<token::BackendsLearned>().size() == 1, "a drain");
    section("the registry answers", [&] {
      reading.Now += 1s;
      store.config(5);
      expectTrue(!reading.step(store).empty(), "a list");
      expectTrue(!reading.Watcher.needsSeed(pushed()),
                 "peers push from now on");
      auto events = reading.Events;
      expectTrue(reading.take<token::FreshnessUpdated>().size() == 1,
                 "current");
      reading.Events = events;
      expectTrue(reading.take<token::BackendsComplete>().empty(), "told once");
    });
  }

  // Symptom: a process that was stopped believes to be current.
  // Sequence: it is stopped for seconds; pushes wait in its socket; it goes on.
  // Cause: the age in a push does not count the time in the socket.
  void takesALatePushForNoProof() {
    Store store;
    store.server(1);
    WatcherFixture reading;
    reading.step(store);
    Time before = reading.Watcher.currentAt();
    reading.Now += 4s;
    UpdatePush push = reading.Watcher.makePush(InstanceId{2}, {}, reading.Now);
    push.Age = 10ms;
    reading.Watcher.applyPush(push, true, reading.Now, reading.Events);
    expectTrue(reading.Watcher.currentAt() == before, "no proof");
  }

  void backsOffFromAFailingRegistry() {
    Store store;
    store.server(1);
    WatcherFixture reading;
    reading.step(store);
    int calls = 0;
    for (int n = 0; n < 1000; ++n) {
      reading.Now += 10ms;
      if (reading.fail(503))
        ++calls;
    }
    expectTrue(calls >= 8 && calls <= 25,
               "in 10 s of failure: " + std::to_string(calls));
    expectTrue(reading.Watcher.isStale(reading.Now), "it counts as away");
  }

  void leavesOutMereRenewals() {
    Store store;
    store.server(1);
    WatcherFixture reading;
    reading.step(store);
    reading.take<token::BackendsLearned>();
    reading.Now += 1s;
    store.server(1, "ready", 2);
    reading.step(store);
    expectTrue(reading.take<token::BackendsLearned>().empty(),
               "nothing to tell");
    auto page = reading.Watcher.cache().changesSince(at(1));
    expectTrue(page && page->Items.empty(), "nothing to pass on");
  }

  /// A registry with two servers and a directory of them.
  static Store withDirectory() {
    Store store;
    store.config(3);
    store.server(1);
    store.server(2);
    RegistryCache copy(Dialect);
    Findings faults;
    copy.replaceAll(store.list(), faults);
    // So many that an early list is unlikely.
    storeDirectory(store, copy, 10'000);
    return store;
  }

  // Guards against a list of everything for each call of a start that is lost,
  // as hundreds are where a whole fleet starts.
  void asksAgainForWhatAStartLost() {
    Store store = withDirectory();
    WatcherFixture reading;
    while (!reading.Watcher.started()) {
      reading.fail();
      reading.Now += 1s;
      std::string target = reading.stepOnce(store);
      expectTrue(target != "/-/kv-range?prefix=", target);
      reading.Now += 1s;
    }
    expectEqual<uint64_t>(3, reading.Watcher.cache().routes()->Version.Value);
  }

  // Guards against lists of everything by all that start, where a neighbour has
  // it already.
  void readsEverythingFromAPeerBeforeItLists() {
    Store store = withDirectory();
    WatcherFixture peer;
    peer.start(store);
    while (!peer.Watcher.complete() || !peer.Watcher.mayPassOn()) {
      peer.Now += 1s;
      peer.step(store);
    }
    WatcherFixture reading;
    reading.start(store);
    reading.take<token::BackendsLearned>();
    UpdatePush push = peer.Watcher.makePush(
        InstanceId{1}, peer.Watcher.cache().position(), peer.Now);
    expectTrue(
        !reading.Watcher.applyPush(push, true, reading.Now, reading.Events),
        "not from one that may have waited for long");
    push.Age = 5s;
    expectTrue(
        !reading.Watcher.applyPush(push, false, reading.Now, reading.Events),
        "nor from one that is out of touch");
    push.Age = 0s;
    expectTrue(
        reading.Watcher.applyPush(push, false, reading.Now, reading.Events),
        "it reads from there");
    reading.Watcher.applyPull(peer.Watcher.cache().snapshot(), true,
                              reading.Now, reading.Events);
    expectTrue(reading.Watcher.complete(), "and knows everything");
    expectTrue(reading.take<token::BackendsComplete>().size() == 1,
               "which is told");
    expectTrue(reading.Watcher.cache().digest() ==
                   peer.Watcher.cache().digest(),
               "it is the same");
    expectTrue(!reading.Watcher.isStale(reading.Now), "and current");
    expectTrue(reading.step(store).empty(), "no list follows");
  }

  // Guards against news that is stale everywhere while servers register by the
  // hundred: each push leaves its changes out, they are read from its sender,
  // and by the next push there are others.
  void isAsCurrentAsThePushWhoseChangesItRead() {
    Store store;
    store.server(1);
    WatcherFixture peer;
    peer.step(store);
    WatcherFixture reading;
    reading.step(store);
    for (int n = 2; n <= 6; ++n) {
      peer.Now += 1s;
      reading.Now += 1s;
      store.server(static_cast<uint64_t>(n));
      peer.step(store);
      UpdatePush push = peer.Watcher.makePush(InstanceId{1}, at(n), peer.Now);
      push.Age = 100ms;
      push.Complete = false;
      push.Page.Items.clear();
      expectTrue(
          reading.Watcher.applyPush(push, false, reading.Now, reading.Events),
          "it has to read");
      auto page =
          peer.Watcher.cache().changesSince(reading.Watcher.cache().position());
      reading.Watcher.applyPull(*page, false, reading.Now, reading.Events);
      expectTrue(reading.Watcher.currentAt() == reading.Now - 100ms,
                 "and is as current as its sender was");
    }
    section("a push that may have waited", [&] {
      Time before = reading.Watcher.currentAt();
      peer.Now += 1s;
      store.server(7);
      peer.step(store);
      UpdatePush push = peer.Watcher.makePush(InstanceId{1}, at(7), peer.Now);
      push.Complete = false;
      reading.Now += 1s;
      reading.Watcher.applyPush(push, true, reading.Now, reading.Events);
      auto page =
          peer.Watcher.cache().changesSince(reading.Watcher.cache().position());
      reading.Watcher.applyPull(*page, false, reading.Now, reading.Events);
      expectTrue(reading.Watcher.currentAt() == before, "shows nothing");
    });
  }

  // Pattern: 295 instances come back from a loss of power within 0.3 s.
  // Grounds: each needs the configuration and the servers to carry packets, and
  // neither the records of the others nor the rest of the registrations' text.
  void readsWhatAStartNeedsFirst() {
    Store store = withDirectory();
    WatcherFixture reading;
    expectEqual<std::string>(
        "/-/kv-key?key=chicorybank/start/zones/a&serializable=1",
        reading.stepOnce(store));
    auto servers = reading.take<token::BackendsLearned>();
    expectTrue(servers.size() == 1 && servers[0].Present.size() == 2,
               "the servers");
    expectEqual<std::string>("/-/kv-range?prefix=op/", reading.stepOnce(store));
    expectTrue(reading.take<token::RoutesLearned>().size() == 1, "the routes");
    expectEqual<std::string>(
        "/-/kv-range?prefix=chicorybank/routes/&serializable=1",
        reading.stepOnce(store));
    expectEqual<std::string>("", reading.stepOnce(store));
    reading.Now = reading.Watcher.nextAt();
    expectEqual<std::string>(
        "/-/kv-range?prefix=chicorybank/start/zones/&serializable=1",
        reading.stepOnce(store));
    expectTrue(reading.Watcher.started(), "that is all");
    expectTrue(reading.take<token::BackendsComplete>().empty(),
               "it may lack servers");
    expectTrue(reading.take<token::FreshnessUpdated>().empty(),
               "and shows nothing to be current");
    section("the list comes within a share of the time for all lists", [&] {
      reading.Now += 2 * StartupReads::ListDelayPerServer;
      expectEqual<std::string>("/-/kv-range?prefix=&serializable=1",
                               reading.stepOnce(store));
      expectTrue(reading.take<token::BackendsComplete>().size() == 1, "all");
    });
  }

  void listsAtOnceWithoutADirectory() {
    Store store;
    store.config(3);
    WatcherFixture reading;
    reading.start(store);
    expectEqual<std::string>("/-/kv-range?prefix=", reading.stepOnce(store));
    expectTrue(reading.take<token::FreshnessUpdated>().size() == 1, "current");
  }

  // Symptom: a dropped route is served, or a server taken for ended, seconds
  // after a start.
  // Sequence: the first list is answered from a copy that is behind.
  // Cause: an old list taken for what holds now.
  void takesAnOldListForNoProof() {
    Store store = withDirectory();
    Store old = store;
    store.config(4);
    WatcherFixture reading;
    reading.start(store);
    reading.Now += 1s;
    reading.stepOnce(old);
    auto events = reading.Events;
    expectTrue(reading.take<token::FreshnessUpdated>().empty(), "no proof");
    reading.Events = events;
    auto routes = reading.take<token::RoutesLearned>();
    expectTrue(routes.size() == 1 && routes[0].Routes.Version == RuleVersion{4},
               "the configuration does not go back");
    // A watch would prove nothing: the old revision may be from before a
    // restore, and given out again.
    section("a list that is current follows", [&] {
      expectTrue(!reading.Watcher.mayPassOn(), "nobody is told until then");
      expectEqual<std::string>("/-/kv-range?prefix=", reading.stepOnce(store));
      expectTrue(reading.take<token::FreshnessUpdated>().size() == 1,
                 "current");
      expectTrue(reading.Watcher.mayPassOn(), "and others may be told");
    });
  }

  // Symptom: an instance that has just started resets flows of a server that
  // lives.
  // Sequence: a server takes over the address of one that has ended; the
  // directory still names the former, the first list has the latter.
  // Cause: an old read that says less of a registration's age than another.
  void knowsTheNewerOfTwoServersAtOneAddress() {
    Store store = withDirectory();
    store.remove("servers/i-2");
    std::string successor =
        R"({"service":"records","address":"10.0.0.2:80","zone":"a","slots":2,)"
        R"("state":"ready","sequence":1})";
    store.put("servers/i-9", successor);
    WatcherFixture reading;
    reading.start(store);
    reading.Now += 1s;
    reading.stepOnce(store);
    std::map<uint64_t, token::RegistrationOrder> orders;
    for (const auto &news : reading.take<token::BackendsLearned>())
      for (const token::Registration &it : news.Present)
        orders[it.Id.Value] = it.Order;
    expectTrue(orders[2] < orders[9], "the successor is newer");
  }

  // Pattern: each of 735 starts in a day asked for changes right after its
  // list. Grounds: whoever watches tells all within a pace.
  void waitsForNewsAfterAnOldList() {
    Store store = withDirectory();
    WatcherFixture reading;
    reading.Watcher.setStalenessLimit(1500ms, 1s);
    reading.start(store);
    reading.Now += 100ms;
    reading.stepOnce(store);
    reading.Now += 1400ms;
    expectEqual<std::string>("", reading.stepOnce(store));
    reading.Now += 100ms;
    expectEqual<std::string>("/-/kv-range?prefix=", reading.stepOnce(store));
  }

  // Symptom: packets go to a server that ended before a start, for good.
  // Sequence: a server ends; an instance starts from a directory that still
  // names it; the list does not have it.
  // Cause: no change tells of an end that came before the list.
  void endsWhatOnlyTheDirectoryNamed() {
    Store store = withDirectory();
    store.remove("servers/i-2");
    WatcherFixture reading;
    reading.start(store);
    reading.take<token::BackendsLearned>();
    reading.Now += 1s;
    reading.stepOnce(store);
    auto learned = reading.take<token::BackendsLearned>();
    expectTrue(!learned.empty() &&
                   learned.back().Ended == std::vector{token::BackendId{2}},
               "it is told as ended");
    section("a server that is newer than the list comes with its change", [&] {
      Store old;
      old.config(3);
      old.server(1);
      Store later = withDirectory();
      WatcherFixture behind;
      behind.start(later);
      behind.Now += 1s;
      behind.stepOnce(old);
      behind.take<token::BackendsLearned>();
      behind.Watcher.applyPull(later.list(), true, behind.Now, behind.Events);
      auto back = behind.take<token::BackendsLearned>();
      expectTrue(back.size() == 1 && back[0].Present.size() == 1, "it is back");
    });
  }

  void startsAllTheSameWithABadDirectory() {
    Store store = withDirectory();
    store.put("chicorybank/start/zones/a", "another writer's");
    WatcherFixture reading;
    reading.start(store);
    expectTrue(!reading.Watcher.takeFindings().empty(), "it is told");
    expectEqual<std::string>("/-/kv-range?prefix=", reading.stepOnce(store));
    auto learned = reading.take<token::BackendsLearned>();
    expectTrue(learned.size() == 1 && learned[0].Present.size() == 2,
               "the list has all");
    section("a registry that fails is asked again for the same", [&] {
      WatcherFixture other;
      other.fail(503);
      expectEqual<std::string>("", other.stepOnce(store));
      other.Now += 100ms;
      expectEqual<std::string>(
          "/-/kv-key?key=chicorybank/start/zones/a&serializable=1",
          other.stepOnce(store));
    });
  }

  // Pattern: after all have started, each has a list of another revision, and
  // each reads everything from whoever told it. Grounds: 300 kB over a link of
  // 20 Mbit/s, eight times, where but renewals lie between the revisions.
  void adoptsARevisionAtWhichNothingDiffers() {
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
    section("not where a server drains in between", [&] {
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

  // Symptom: an outage of the registry of six seconds costs 295 instances three
  // calls each, for lists of 300 kB, right when it is back.
  // Sequence: everybody's watch fails; the registry is back, the first in line
  // lists and tells.
  // Cause: a list that was due whatever became known meanwhile.
  void needsNoListWhereAPushAgrees() {
    Store store;
    store.server(1);
    WatcherFixture reading;
    reading.step(store);
    reading.Watcher.setStalenessLimit(1500ms, 1s);
    WatcherFixture first;
    first.step(store);
    auto failing = [&] {
      reading.Now += 1500ms;
      expectTrue(reading.fail(), "it asks, and gets no answer");
      reading.Now += 10ms;
      first.Now = reading.Now;
    };
    failing();
    UpdatePush push =
        first.Watcher.makePush(InstanceId{2}, store.position(), first.Now);
    push.Age = 100ms;
    reading.Watcher.applyPush(push, false, reading.Now, reading.Events);
    reading.Now += 300ms;
    expectEqual<std::string>("", reading.stepOnce(store));
    section("but where the copies differ, or the push is old, it lists", [&] {
      failing();
      push.Age = 2s;
      reading.Watcher.applyPush(push, false, reading.Now, reading.Events);
      push.Age = 100ms;
      push.Digest ^= 1;
      reading.Watcher.applyPush(push, false, reading.Now, reading.Events);
      reading.Now += 300ms;
      expectEqual<std::string>("/-/kv-range?prefix=", reading.stepOnce(store));
    });
  }

  // Whatever old reads a start gets, what it shows as current holds now: the
  // configuration does not go back, and what is current is complete.
  void neverBelievesAnOldRead() {
    property("old reads, watches, dropped history and cuts in any order", [] {
      Store store = withDirectory();
      std::vector<Store> past{store};
      WatcherFixture reading;
      int version = 3;
      uint64_t highest = 0;
      auto steps =
          *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 7));
      for (int it : steps) {
        reading.Now += 300ms;
        if (it == 0)
          store.config(++version);
        else if (it == 1)
          store.server(static_cast<uint64_t>(version), "ready", version);
        else if (it == 2)
          store.remove("servers/i-2");
        past.push_back(store);
        auto call = reading.Watcher.next(reading.Now);
        if (!call)
          continue;
        bool mayBeOld =
            call->Call.Target.find("serializable") != std::string::npos;
        size_t lag = mayBeOld ? *rc::gen::inRange<size_t>(0, past.size()) : 0;
        if (it == 5)
          reading.answer({.Status = 0});
        else if (it == 6 && call->Call.Kind == CallKind::Watch)
          reading.answer({.Status = 410});
        else
          reading.answer(answerOf(past[past.size() - 1 - lag], call->Call));
        for (const token::Event &event : reading.Events)
          if (const auto *routes = std::get_if<token::RoutesLearned>(&event)) {
            RC_ASSERT(routes->Routes.Version.Value > highest);
            highest = routes->Routes.Version.Value;
          }
        bool current = !reading.take<token::FreshnessUpdated>().empty();
        if (!current)
          continue;
        RC_ASSERT(highest == static_cast<uint64_t>(version));
        RC_ASSERT(reading.Watcher.cache().registrationCount() ==
                  store.list("servers/").Items.size());
      }
    });
  }

  void agreesWithTheStoreAfterAnyTrouble() {
    property("the copy is right after one good list", [] {
      Store store;
      store.server(1);
      WatcherFixture reading;
      reading.step(store);
      auto steps =
          *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
      for (int it : steps) {
        reading.Now += 700ms;
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
          reading.fail();
          break;
        case 4:
          reading.fail(410);
          break;
        case 5:
          reading.fail(429);
          break;
        default:
          reading.step(store);
        }
      }
      reading.Watcher.revalidate(reading.Now);
      reading.Now += 5s;
      reading.step(store);
      std::vector<Item> copy = reading.Watcher.cache().snapshot().Items;
      std::vector<Item> truth = store.list().Items;
      RC_ASSERT(copy.size() == truth.size());
      for (size_t n = 0; n < copy.size(); ++n)
        RC_ASSERT(copy[n] == truth[n]);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistryWatcherTest);
