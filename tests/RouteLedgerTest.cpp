#include "chicorybank/edge/RouteLedger.h"

#include "Story.h"

using namespace story;
using namespace chicory;
using namespace chicory::edge;
using namespace std::chrono_literals;

namespace {

constexpr Address Feed{.Ip = 0xc6120001, .Port = 443};
constexpr ServiceId Records{1};
constexpr ServiceId Certificates{2};
constexpr Time Start{100s};
constexpr Duration FlowAge = 60s;

token::RouteSet routes(uint64_t version,
                       const std::vector<ServiceId> &services) {
  token::RouteSet out{.Version = RuleVersion{version}};
  token::Route route{.Where = Feed};
  for (ServiceId it : services)
    route.Services.push_back({.Service = it});
  if (!services.empty())
    out.Routes.push_back(std::move(route));
  return out;
}

std::vector<ServiceId> servicesOf(const std::vector<RouteRecord> &records) {
  std::vector<ServiceId> out;
  for (const RouteRecord &it : records)
    for (const token::RoutePair &pair : it.Pairs)
      out.push_back(pair.Service);
  return out;
}

/// Writes records as the registry would.
void store(const std::vector<RouteRecord> &records, RouteRecords &stored) {
  for (RouteRecord it : records) {
    ++it.At.Revision;
    stored[it.Part] = it;
  }
}

} // namespace

class RouteLedgerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouteLedgerTest);
  CPPUNIT_TEST(recordsWhatRoutesLeadTo);
  CPPUNIT_TEST(knowsAfterARestartWhatAVersionBeforeItLedTo);
  CPPUNIT_TEST(writesNothingForWhatIsStale);
  CPPUNIT_TEST(forgetsWithTheLongestLifeOfAFlow);
  CPPUNIT_TEST(boundsWhatOneAddressHasLost);
  CPPUNIT_TEST(ignoresOlderVersions);
  CPPUNIT_TEST(writesAgainWhatWasTakenAway);
  CPPUNIT_TEST(dividesALargeRecord);
  CPPUNIT_TEST_SUITE_END();

  // Symptom: after a growth of the configuration, pairs are in no part.
  // Sequence: the record has one part; addresses are added, so that there are
  // two; the first is rewritten without those that are the second's now.
  // Cause: a pair looked for in the whole record, not in the part that has it.
  void dividesALargeRecord() {
    auto many = [](uint64_t version, uint32_t count) {
      token::RouteSet out{.Version = RuleVersion{version}};
      for (uint32_t n = 0; n < count; ++n)
        out.Routes.push_back({.Where = {.Ip = n + 1, .Port = 80},
                              .Services = {{.Service = Records}}});
      return out;
    };
    expectEqual<uint32_t>(1, RouteLedger::partsFor(255));
    expectEqual<uint32_t>(2, RouteLedger::partsFor(256));
    expectEqual<uint32_t>(RouteRecordParts, RouteLedger::partsFor(5'700));
    expectEqual<uint32_t>(RouteRecordParts, RouteLedger::partsFor(34'000));
    RouteLedger ledger;
    RouteRecords stored;
    uint32_t most = 0;
    uint64_t version = 0;
    for (uint32_t count : {200U, 400U, 5'700U, 100U}) {
      most = std::max(most, count);
      ledger.learn(many(++version, count), Start);
      store(ledger.missingFrom(stored, FlowAge, Start), stored);
      expectTrue(ledger.missingFrom(stored, FlowAge, Start).empty(), "whole");
      RouteLedger started;
      started.learn(stored, FlowAge, Start);
      expectEqual<size_t>(
          most, servicesOf(started.missingFrom({}, FlowAge, Start)).size());
    }
  }

  void recordsWhatRoutesLeadTo() {
    RouteLedger ledger;
    ledger.learn(routes(1, {Records}), Start);
    auto missing = ledger.missingFrom({}, FlowAge, Start);
    expectEqual<size_t>(1, missing.size());
    expectEqual(RouteLedger::partOf(Feed, 1), missing[0].Part);
    expectEqual<int64_t>(0, missing[0].At.Revision);
    RouteRecords stored;
    store(missing, stored);
    expectTrue(ledger.missingFrom(stored, FlowAge, Start).empty(), "it stands");
    section("a new service at the address rewrites its part", [&] {
      ledger.learn(routes(2, {Records, Certificates}), Start);
      auto more = ledger.missingFrom(stored, FlowAge, Start);
      expectTrue(servicesOf(more) == std::vector{Records, Certificates},
                 "both");
      expectEqual<int64_t>(1, more[0].At.Revision);
    });
  }

  // Symptom: feeds die after a route has moved and instances have restarted.
  // Sequence: the route leads to one service, which is recorded; it moves; all
  // processes end with the change, so that none saw both versions.
  // Cause: what the route led to was known to processes alone.
  void knowsAfterARestartWhatAVersionBeforeItLedTo() {
    RouteRecords stored;
    RouteLedger before;
    before.learn(routes(1, {Records}), Start);
    store(before.missingFrom(stored, FlowAge, Start), stored);
    RouteLedger after;
    after.learn(routes(2, {Certificates}), Start + 1s);
    after.learn(stored, FlowAge, Start + 1s);
    auto missing = after.missingFrom(stored, FlowAge, Start + 1s);
    expectTrue(servicesOf(missing) == std::vector{Certificates, Records},
               "the old one stays beside the new");
  }

  void writesNothingForWhatIsStale() {
    RouteRecords stored;
    RouteLedger ledger;
    ledger.learn(routes(1, {Records}), Start);
    store(ledger.missingFrom(stored, FlowAge, Start), stored);
    ledger.learn(routes(2, {}), Start);
    expectTrue(ledger.missingFrom(stored, FlowAge, Start + 1h).empty(),
               "a pair too many costs nothing");
  }

  void forgetsWithTheLongestLifeOfAFlow() {
    RouteRecords stored;
    RouteLedger ledger;
    ledger.learn(routes(1, {Records}), Start);
    store(ledger.missingFrom(stored, FlowAge, Start), stored);
    ledger.learn(routes(2, {Certificates}), Start);
    section("the next write leaves out what no flow can need", [&] {
      auto missing = ledger.missingFrom(stored, FlowAge, Start + 61s);
      expectTrue(servicesOf(missing) == std::vector{Certificates}, "alone");
      section("and reading the old record does not bring it back", [&] {
        ledger.learn(stored, FlowAge, Start + 61s);
        expectTrue(
            servicesOf(ledger.missingFrom(stored, FlowAge, Start + 61s)) ==
                std::vector{Certificates},
            "still alone");
      });
    });
  }

  void boundsWhatOneAddressHasLost() {
    RouteLedger ledger;
    for (uint32_t n = 1; n <= 100; ++n)
      ledger.learn(routes(n, {ServiceId{n}}), Start + n * 1s);
    auto missing = ledger.missingFrom({}, 1h, Start + 100s);
    auto services = servicesOf(missing);
    expectEqual<size_t>(RouteLedger::MostLost + 1, services.size());
    expectEqual<uint32_t>(100 - RouteLedger::MostLost, services.front().Value);
  }

  void ignoresOlderVersions() {
    RouteLedger ledger;
    ledger.learn(routes(7, {Records}), Start);
    ledger.learn(routes(5, {Certificates}), Start);
    expectTrue(servicesOf(ledger.missingFrom({}, FlowAge, Start)) ==
                   std::vector{Records},
               "the newest decides");
  }

  void writesAgainWhatWasTakenAway() {
    RouteLedger ledger;
    RouteRecords stored;
    ledger.learn(routes(1, {Records}), Start);
    store(ledger.missingFrom(stored, FlowAge, Start), stored);
    ledger.learn(stored, FlowAge, Start);
    stored[RouteLedger::partOf(Feed, 1)] = {.Part =
                                                RouteLedger::partOf(Feed, 1)};
    ledger.learn(stored, FlowAge, Start);
    auto missing = ledger.missingFrom(stored, FlowAge, Start);
    expectEqual<size_t>(1, missing.size());
    expectEqual<int64_t>(0, missing[0].At.Revision);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteLedgerTest);
