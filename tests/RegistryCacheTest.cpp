#include "chicorybank/edge/RegistryCache.h"

#include "RegistrySamples.h"
#include "Story.h"

using namespace story;
using namespace samples::registry;

namespace {

const platform::StoreDialect Dialect;

} // namespace

class RegistryCacheTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegistryCacheTest);
  CPPUNIT_TEST(appliesListsAndChanges);
  CPPUNIT_TEST(ignoresOlderItems);
  CPPUNIT_TEST(passesOnChangesFoundByAList);
  CPPUNIT_TEST(hasAGapOnlyWhereHistoryIsMissing);
  CPPUNIT_TEST(historyCoversAllItemsOfALargeDeployment);
  CPPUNIT_TEST(returnsEachChangedKeyOnce);
  CPPUNIT_TEST(checksumDependsOnContentAlone);
  CPPUNIT_TEST(hasTheChecksumOfTheFormerProgram);
  CPPUNIT_TEST(reportsAWarmUpOnce);
  CPPUNIT_TEST(reportsAnUnparseableItemOnce);
  CPPUNIT_TEST(passesOnUnparseableItems);
  CPPUNIT_TEST(comparesNothingAcrossGenerations);
  CPPUNIT_TEST(passesOnAReturnFromAStaleRead);
  CPPUNIT_TEST(claimsNoPositionBeyondTheChangesThatItHolds);
  CPPUNIT_TEST(letsOneKeyOwnTheIdOfAServer);
  CPPUNIT_TEST(letsNoOlderEntryOwnTheIdOfAServer);
  CPPUNIT_TEST(keepsTheKeyOfAServerWhoseRegistrationLapsed);
  CPPUNIT_TEST(passesOnARetainedRegistrationThatReturns);
  CPPUNIT_TEST(passesOnWhatALaterPageOfAListHas);
  CPPUNIT_TEST(passesOnWhatALaterPageOfTheFirstListHad);
  CPPUNIT_TEST(knowsWhichRegistrationsWereMadeSinceARestore);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a server that stays ended for an instance that saw its
  // registration lapse and learns of its return from an instance that has
  // started since.
  void passesOnAReturnFromAStaleRead() {
    Store store;
    store.server(1);
    store.server(2);
    RegistryCache cache(Dialect);
    Findings findings;
    cache.replaceAll(store.list(), findings);
    store.remove("servers/i-2");
    cache.apply(store.since(2), findings);
    store.server(2);
    RegistryCache started(Dialect);
    ItemPage stale = store.list();
    stale.markMayBeStale();
    started.replaceAll(stale, findings);
    cache.replaceAll(started.snapshot(), findings);
    expectEqual<size_t>(2, cache.registrationCount());
  }

  // A list that may be stale has a newer registration than another instance had
  // passed on, and does not replace it. Guards against a drain that stays
  // unknown because the changes are read from the list's position on.
  void claimsNoPositionBeyondTheChangesThatItHolds() {
    Store store;
    store.server(1);
    store.server(2);
    RegistryCache cache(Dialect);
    Findings findings;
    cache.replaceAll(store.list(), findings);
    store.config(3);
    store.server(1, "draining");
    store.server(3);
    ItemPage stale = store.list();
    stale.markMayBeStale();
    cache.replaceAll(stale, findings);
    expectEqual<size_t>(3, cache.registrationCount());
    expectTrue(cache.position() == at(3), "the position before the drain");
    section("the changes from there on have the drain", [&] {
      auto changes =
          cache.apply(store.since(cache.position().Revision), findings);
      expectTrue(cache.position() == store.position(), "all is known");
      const auto *server =
          std::get_if<token::Registration>(&changes.front().Content);
      expectTrue(server && server->Draining, "the drain");
    });
    section("a list without newer items counts as of its position", [&] {
      store.config(4);
      ItemPage list = store.list();
      cache.apply(store.since(cache.position().Revision), findings);
      list.markMayBeStale();
      cache.replaceAll(list, findings);
      expectTrue(cache.position() == store.position(), "its position");
    });
  }

  // Guards against the end of a running server, and of its flows, by an entry
  // of another program whose key has the number of the server's id.
  void letsOneKeyOwnTheIdOfAServer() {
    for (const std::string &key :
         {std::string("servers/agent-1"), std::string("servers/z-1"),
          std::string("servers/i-01"), std::string("servers/1")})
      for (const char *service : {"records", "metrics", ""}) {
        Store store;
        store.server(1);
        RegistryCache cache(Dialect);
        Findings findings;
        cache.replaceAll(store.list(), findings);
        int64_t seen = store.revision();
        store.entry(key, service);
        section("the other entry comes and goes", [&] {
          expectTrue(cache.apply(store.since(seen), findings).empty(),
                     key + " changes nothing");
          expectEqual<size_t>(1, cache.registrations().size());
          RegistryCache started(Dialect);
          started.replaceAll(store.list(), findings);
          expectTrue(started.registrations() == cache.registrations(),
                     "an instance that starts uses the server's own key");
          expectEqual(cache.digest(), started.digest());
          seen = store.revision();
          store.remove(key);
          expectTrue(cache.apply(store.since(seen), findings).empty(),
                     "its end changes nothing");
        });
        section("the server's own entry ends", [&] {
          seen = store.revision();
          store.remove("servers/i-1");
          auto changes = cache.apply(store.since(seen), findings);
          expectEqual<size_t>(1, changes.size());
          expectTrue(
              std::holds_alternative<RegistrationEnded>(changes[0].Content),
              "the server has ended");
        });
      }
  }

  // Guards against the end of a running server, and of its flows, by an entry
  // of another program that was there before the server: one of a service that
  // nobody has configured, or one that could not be read at first.
  void letsNoOlderEntryOwnTheIdOfAServer() {
    constexpr const char *Routes =
        R"({"version":1,"routes":[{"host":"198.18.0.1","prefix":"/443/",)"
        R"("service":"records"}]})";
    for (const std::string &service : {std::string("metrics"), std::string()}) {
      Store store;
      store.entry("servers/agent-1", service);
      store.serverAt(2, 1);
      RegistryCache early(Dialect);
      Findings findings;
      early.replaceAll(store.list(), findings);
      int64_t seen = store.revision();
      store.put("op/config", Routes);
      RegistryCache cache(Dialect);
      section("instances that start use the server's own entry alone", [&] {
        early.apply(store.since(seen), findings);
        expectUsesServerAt(early, 2);
        expectLearnsServerAt(cache.replaceAll(store.list(), findings), 2);
        expectUsesServerAt(cache, 2);
      });
      section("the other entry is written again", [&] {
        seen = store.revision();
        store.entry("servers/agent-1", service.empty() ? "records" : service);
        expectTrue(cache.apply(store.since(seen), findings).empty(),
                   "it changes nothing");
      });
      section("the other entry ends", [&] {
        seen = store.revision();
        store.remove("servers/agent-1");
        expectTrue(cache.apply(store.since(seen), findings).empty(),
                   "its end changes nothing");
        expectUsesServerAt(cache, 2);
      });
    }
  }

  // Guards against the end of a running server by a whole entry of another
  // program that appears while the server's own registration has lapsed.
  void keepsTheKeyOfAServerWhoseRegistrationLapsed() {
    Store store;
    store.server(1);
    RegistryCache cache(Dialect);
    Findings findings;
    cache.replaceAll(store.list(), findings);
    int64_t seen = store.revision();
    store.remove("servers/i-1");
    store.entry("servers/agent-1", "records");
    store.server(1);
    cache.apply(store.since(seen), findings);
    seen = store.revision();
    store.remove("servers/agent-1");
    expectTrue(cache.apply(store.since(seen), findings).empty(),
               "the end of the other entry changes nothing");
    expectEqual<size_t>(1, cache.registrations().size());
  }

  static Address serverAddress(uint32_t number) {
    return {.Ip = *parseIp("10.0.0." + std::to_string(number)), .Port = 80};
  }

  static void expectUsesServerAt(const RegistryCache &cache, uint32_t number) {
    expectEqual<size_t>(1, cache.registrations().size());
    expectTrue(cache.registrations()[0].Where == serverAddress(number),
               "the server's own address");
  }

  static void expectLearnsServerAt(const std::vector<Change> &changes,
                                   uint32_t number) {
    for (const Change &it : changes)
      if (const auto *server = std::get_if<token::Registration>(&it.Content))
        expectTrue(server->Where == serverAddress(number),
                   it.Source.Key + " concerns no server");
  }

  // Guards against lists by all instances during a roll, since their checksums
  // differ from those of instances of the former program.
  void hasTheChecksumOfTheFormerProgram() {
    Store store;
    store.server(1);
    store.server(2, "draining");
    store.put("chicorybank/routes/0", R"({"198.18.0.1:443":[7,4000000000]})");
    RegistryCache cache(Dialect);
    Findings findings;
    cache.replaceAll(store.list(), findings);
    expectEqual<uint64_t>(6335687666696017803ULL, cache.digest());
  }

  // Guards against a running server that other instances end when its time to
  // return is over: its lost registration and the new one have the same content
  // and, by chance, the same revision.
  void passesOnARetainedRegistrationThatReturns() {
    Store store;
    store.server(1);
    Store backup = store;
    store.server(2);
    RegistryCache cache(Dialect);
    Findings findings;
    cache.replaceAll(store.list(), findings);
    store.restore(backup);
    cache.replaceAll(store.list(), findings);
    expectEqual<size_t>(1, cache.retainedCount());
    Position restored = cache.position();
    store.server(2);
    cache.apply(store.since(restored.Revision), findings);
    expectEqual<size_t>(0, cache.retainedCount());
    expectEqual<size_t>(1, cache.changesSince(restored)->Items.size());
  }

  // A server registers between two pages of a list. Guards against instances
  // that never learn of it: the watch reports nothing new to the one that has
  // listed, which passes on the watch's position without the server.
  void passesOnWhatALaterPageOfAListHas() {
    Store store;
    store.server(1);
    ItemPage list = store.list();
    RegistryCache other(Dialect);
    Findings findings;
    other.replaceAll(list, findings);
    store.server(2);
    list.Items.push_back(*store.item("servers/i-2"));
    RegistryCache cache(Dialect);
    cache.replaceAll(list, findings);
    Position listed = cache.position();
    cache.apply(store.since(listed.Revision), findings);
    other.apply(*cache.changesSince(listed), findings);
    expectTrue(other.position() == cache.position(), "as new as the other");
    expectEqual<size_t>(2, other.registrationCount());
    expectEqual(cache.digest(), other.digest());
  }

  // The pages of the first list are applied as they arrive. Guards against the
  // same for a server in one of them, which the list as a whole repeats.
  void passesOnWhatALaterPageOfTheFirstListHad() {
    Store store;
    store.server(1);
    ItemPage list = store.list();
    RegistryCache other(Dialect);
    Findings findings;
    other.replaceAll(list, findings);
    store.server(2);
    ItemPage later{.Items = {*store.item("servers/i-2")},
                   .At = store.position()};
    list.Items.push_back(later.Items.front());
    RegistryCache cache(Dialect);
    cache.applyPartial(later, findings);
    cache.replaceAll(list, findings);
    expectEqual<size_t>(1, cache.changesSince(list.At)->Items.size());
    cache.apply(store.since(list.At.Revision), findings);
    other.apply(*cache.changesSince(list.At), findings);
    expectEqual<size_t>(2, other.registrationCount());
  }

  // Guards against taking a registration that a restored registry lists for a
  // newer one than those of the generation before.
  void knowsWhichRegistrationsWereMadeSinceARestore() {
    using enum token::RegistrationOrigin;
    auto orderOf = [](const std::vector<Change> &changes) {
      return std::get<token::Registration>(changes.back().Content).Order;
    };
    Store store;
    store.server(1);
    Store backup = store;
    RegistryCache cache(Dialect);
    Findings findings;
    section("from a read that may be stale", [&] {
      ItemPage stale = store.list();
      stale.markMayBeStale();
      RegistryCache other(Dialect);
      expectTrue(orderOf(other.replaceAll(stale, findings)).Origin == Uncertain,
                 "the registry may have lost it");
    });
    expectTrue(orderOf(cache.replaceAll(store.list(), findings)) ==
                   token::RegistrationOrder{
                       .Generation = 1, .Revision = 1, .Origin = UpToThis},
               "the first list");
    store.server(2);
    expectTrue(orderOf(cache.apply(store.since(1), findings)) ==
                   token::RegistrationOrder{.Generation = 1, .Revision = 2},
               "made since");
    section("an instance that has never known the server", [&] {
      RegistryCache other(Dialect);
      Store before;
      before.config(1);
      other.replaceAll(before.list(), findings);
      store.restore(backup);
      expectTrue(orderOf(other.replaceAll(store.list(), findings)) ==
                     token::RegistrationOrder{
                         .Generation = 2, .Revision = 1, .Origin = UpToThis},
                 "it may be from before the restore");
      store.server(3);
      expectTrue(orderOf(other.apply(store.since(1), findings)).Origin ==
                     ThisGeneration,
                 "made since the restore");
    });
  }

  // Guards against taking the contents from before a restore for those after
  // it: by a checksum, by changes, by a page, or by what was passed on.
  void comparesNothingAcrossGenerations() {
    Store store;
    store.server(1);
    Store backup = store;
    store.server(2);
    Store former = store;
    store.restore(backup);
    store.server(3);
    RegistryCache cache(Dialect);
    Findings findings;
    cache.replaceAll(former.list(), findings);
    section("a checksum of another generation", [&] {
      RegistryCache same = cache;
      expectTrue(!same.advanceIfEqual(store.position(), same.digest()),
                 "proves nothing");
      expectTrue(same.position() == former.position(),
                 "does not move the position");
    });
    section("changes of a later one", [&] {
      RegistryCache earlier = cache;
      expectTrue(earlier.apply(store.since(1), findings).empty(),
                 "do not apply");
      expectTrue(earlier.position() == former.position(),
                 "do not move the position");
    });
    section("its whole list", [&] {
      cache.replaceAll(store.list(), findings);
      expectTrue(cache.position() == store.position(), "is applied");
      expectEqual<size_t>(1, cache.retainedCount());
      expectEqual<size_t>(2, cache.registrationCount());
      expectTrue(!cache.changesSince(former.position()),
                 "no changes since the former generation are passed on");
    });
    section("a list of the former one, and its changes", [&] {
      expectTrue(cache.replaceAll(former.list(), findings).empty(),
                 "are ignored");
      expectTrue(cache.apply(former.since(0), findings).empty(),
                 "are ignored as well");
      expectEqual<size_t>(2, cache.registrationCount());
    });
    section("what was not written again has ended", [&] {
      auto ended = cache.expireRetained(RetainedItems::Registrations, findings);
      expectTrue(ended.size() == 1 && ended[0].Source.Key == "servers/i-2",
                 "server 2");
      expectEqual<size_t>(0, cache.retainedCount());
    });
  }

  // While a server warms up, its remaining time counts down, so no heartbeat
  // equals the previous one. Guards against passing on each of these heartbeats
  // to all instances.
  void reportsAWarmUpOnce() {
    Store store;
    RegistryCache cache(Dialect);
    Findings findings;
    auto reported = [&](int left) {
      int64_t before = store.revision();
      store.put("servers/i-7",
                R"({"service":"records","address":"10.0.0.7:80","zone":"a",)"
                R"("version":"v1","slots":2,"state":"ready",)"
                R"("sequence":1,"warmup_left_ms":)" +
                    std::to_string(left) + "}");
      return cache.apply(store.since(before), findings).size();
    };
    expectEqual<size_t>(1, reported(2000));
    expectEqual<size_t>(0, reported(800));
    section("its end is reported",
            [&] { expectEqual<size_t>(1, reported(0)); });
    section("so is the next one",
            [&] { expectEqual<size_t>(1, reported(1900)); });
    section("and one that begins before the last ended",
            [&] { expectEqual<size_t>(1, reported(2000)); });
    expectTrue(findings.empty(), findings.text());
  }

  // An item that can't be parsed is not cached, so each list seems to bring it
  // anew. Guards against one log line every few seconds for hours.
  void reportsAnUnparseableItemOnce() {
    Store store;
    store.put("op/config", "[");
    RegistryCache cache(Dialect);
    auto faults = [&] {
      Findings findings;
      cache.replaceAll(store.list(), findings);
      return findings.items().size();
    };
    expectEqual<size_t>(1, faults());
    expectEqual<size_t>(0, faults());
    store.put("op/config", "{");
    expectEqual<size_t>(1, faults());
  }

  // A server's entry is replaced by one that can't be parsed, and another
  // instance learns of it by a snapshot. Guards against that instance assigning
  // new flows to the server long after others have stopped, as happens if
  // snapshots leave unparseable items out.
  void passesOnUnparseableItems() {
    Store store;
    store.server(1);
    RegistryCache cache(Dialect);
    Findings findings;
    cache.replaceAll(store.list(), findings);
    store.put("servers/i-1", "{}");
    cache.apply(store.since(1), findings);
    RegistryCache other(Dialect);
    auto changes = other.replaceAll(cache.snapshot(), findings);
    expectEqual<size_t>(1, changes.size());
    expectTrue(
        std::holds_alternative<RegistrationUnreadable>(changes[0].Content),
        "unreadable there as well");
    expectEqual(cache.digest(), other.digest());
  }

  void appliesListsAndChanges() {
    Store store;
    store.server(1);
    store.config(2);
    RegistryCache cache(Dialect);
    Findings findings;
    expectEqual<size_t>(2, cache.replaceAll(store.list(), findings).size());
    store.remove("servers/i-1");
    auto changes = cache.apply(store.since(2), findings);
    expectTrue(changes.size() == 1 && changes[0].Source.Deleted, "the end");
    expectEqual<size_t>(1, cache.snapshot().Items.size());
    expectTrue(cache.position() == at(3),
               "the position is that of the removal");
  }

  // A server's newest registration arrives first, an older one later by a
  // slower path. Guards against a draining server that becomes ready again
  // because the last item to arrive wins.
  void ignoresOlderItems() {
    Store store;
    store.server(1);
    ItemPage stale = store.list();
    store.server(1, "draining");
    RegistryCache cache(Dialect);
    Findings findings;
    cache.replaceAll(store.list(), findings);
    expectTrue(cache.apply(stale, findings).empty(), "no change");
    expectTrue(cache.position() == at(2), "the position does not go back");
  }

  // A watch skips a change and a later list finds it, when peers are past the
  // change's own revision. Guards against peers that never learn of it, as
  // happens if changes are passed on by their own revision instead of the
  // position at which they were found.
  void passesOnChangesFoundByAList() {
    Store store;
    store.server(1);
    RegistryCache cache(Dialect);
    Findings findings;
    cache.replaceAll(store.list(), findings);
    store.server(2);
    cache.apply({.At = at(2)}, findings);
    store.server(1, "ready", 2);
    cache.replaceAll(store.list(), findings);
    auto page = cache.changesSince(at(2));
    expectTrue(page && page->Items.size() == 1 &&
                   page->Items[0].Key == "servers/i-2",
               "the skipped change is passed on");
  }

  void hasAGapOnlyWhereHistoryIsMissing() {
    Store store;
    store.server(1);
    RegistryCache cache(Dialect);
    Findings findings;
    expectTrue(!cache.changesSince(at(0)), "nothing is known");
    cache.replaceAll(store.list(), findings);
    expectTrue(!cache.changesSince(at(0)),
               "what was before the list is not known");
    expectTrue(cache.changesSince(at(1)) &&
                   cache.changesSince(at(1))->Items.empty(),
               "nothing since");
    for (int n = 0; n < 600; ++n)
      store.server(1, n % 2 == 0 ? "draining" : "ready");
    cache.apply(store.since(1), findings);
    expectTrue(!cache.changesSince(at(1)), "the history is bounded");
  }

  // Thousands of items are created within a second. With a history of fewer
  // changes than items, eight instances at a time read a megabyte from one.
  // That takes 3.2 s at 20 Mbit/s, so they learn a new configuration too late.
  void historyCoversAllItemsOfALargeDeployment() {
    Store store;
    store.config(1);
    RegistryCache cache(Dialect);
    Findings findings;
    cache.replaceAll(store.list(), findings);
    for (int n = 0; n < 2000; ++n)
      store.instance("10.0." + std::to_string(n / 200) + "." +
                     std::to_string(n % 200));
    cache.apply(store.since(1), findings);
    auto page = cache.changesSince(at(1));
    expectTrue(page && page->Items.size() == 2000, "all of them");
  }

  void returnsEachChangedKeyOnce() {
    Store store;
    store.server(1);
    store.server(2);
    RegistryCache cache(Dialect);
    Findings findings;
    cache.replaceAll(store.list(), findings);
    int64_t before = store.revision();
    store.server(1, "draining");
    store.remove("servers/i-1");
    store.server(2, "draining");
    store.server(2);
    cache.apply(store.since(before), findings);
    auto page = cache.changesSince(at(before));
    expectTrue(page && page->Items.size() == 2, "two keys");
    expectTrue(page->Items[0].Key == "servers/i-1" && page->Items[0].Deleted,
               "one has ended");
    expectTrue(page->Items[1].At == store.position(), "the other as it is now");
  }

  void checksumDependsOnContentAlone() {
    property("whatever the order of changes", [] {
      auto ids = *rc::gen::container<std::vector<uint64_t>>(
          rc::gen::inRange<uint64_t>(1, 5));
      Store store;
      store.config(1);
      RegistryCache stepwise(Dialect);
      Findings findings;
      for (uint64_t id : ids) {
        int64_t before = store.revision();
        store.server(id, before % 3 == 0 ? "draining" : "ready");
        stepwise.apply(store.since(before), findings);
      }
      stepwise.apply(store.since(0), findings);
      RegistryCache whole(Dialect);
      whole.replaceAll(store.list(), findings);
      RC_ASSERT(stepwise.digest() == whole.digest());
      store.server(9);
      whole.replaceAll(store.list(), findings);
      RC_ASSERT(stepwise.digest() != whole.digest());
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistryCacheTest);
