#include "chicorybank/edge/RouteHistory.h"

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

std::vector<ServiceId>
servicesOf(const std::vector<RouteHistoryPart> &records) {
  std::vector<ServiceId> out;
  for (const RouteHistoryPart &it : records)
    for (const token::RoutePair &pair : it.Pairs)
      out.push_back(pair.Service);
  return out;
}

/// Writes records as the registry would.
void store(const std::vector<RouteHistoryPart> &records,
           RouteHistoryParts &stored) {
  for (RouteHistoryPart it : records) {
    ++it.At.Revision;
    stored[it.Part] = it;
  }
}

} // namespace

class RouteHistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouteHistoryTest);
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
    expectEqual<uint32_t>(1, RouteHistory::partCount(255));
    expectEqual<uint32_t>(2, RouteHistory::partCount(256));
    expectEqual<uint32_t>(MaxRouteHistoryParts, RouteHistory::partCount(5'700));
    expectEqual<uint32_t>(MaxRouteHistoryParts,
                          RouteHistory::partCount(34'000));
    RouteHistory ledger;
    RouteHistoryParts stored;
    uint32_t most = 0;
    uint64_t version = 0;
    for (uint32_t count : {200U, 400U, 5'700U, 100U}) {
      most = std::max(most, count);
      ledger.learn(many(++version, count), Start);
      store(ledger.incompleteParts(stored, FlowAge, Start), stored);
      expectTrue(ledger.incompleteParts(stored, FlowAge, Start).empty(),
                 "whole");
      RouteHistory started;
      started.learn(stored, FlowAge, Start);
      expectEqual<size_t>(
          most, servicesOf(started.incompleteParts({}, FlowAge, Start)).size());
    }
  }

  void recordsWhatRoutesLeadTo() {
    RouteHistory ledger;
    ledger.learn(routes(1, {Records}), Start);
    auto missing = ledger.incompleteParts({}, FlowAge, Start);
    expectEqual<size_t>(1, missing.size());
    expectEqual(RouteHistory::partOf(Feed, 1), missing[0].Part);
    expectEqual<int64_t>(0, missing[0].At.Revision);
    RouteHistoryParts stored;
    store(missing, stored);
    expectTrue(ledger.incompleteParts(stored, FlowAge, Start).empty(),
               "it stands");
    section("a new service at the address rewrites its part", [&] {
      ledger.learn(routes(2, {Records, Certificates}), Start);
      auto more = ledger.incompleteParts(stored, FlowAge, Start);
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
    RouteHistoryParts stored;
    RouteHistory before;
    before.learn(routes(1, {Records}), Start);
    store(before.incompleteParts(stored, FlowAge, Start), stored);
    RouteHistory after;
    after.learn(routes(2, {Certificates}), Start + 1s);
    after.learn(stored, FlowAge, Start + 1s);
    auto missing = after.incompleteParts(stored, FlowAge, Start + 1s);
    expectTrue(servicesOf(missing) == std::vector{Certificates, Records},
               "the old one stays beside the new");
  }

  void writesNothingForWhatIsStale() {
    RouteHistoryParts stored;
    RouteHistory ledger;
    ledger.learn(routes(1, {Records}), Start);
    store(ledger.incompleteParts(stored, FlowAge, Start), stored);
    ledger.learn(routes(2, {}), Start);
    expectTrue(ledger.incompleteParts(stored, FlowAge, Start + 1h).empty(),
               "a pair too many costs nothing");
  }

  void forgetsWithTheLongestLifeOfAFlow() {
    RouteHistoryParts stored;
    RouteHistory ledger;
    ledger.learn(routes(1, {Records}), Start);
    store(ledger.incompleteParts(stored, FlowAge, Start), stored);
    ledger.learn(routes(2, {Certificates}), Start);
    section("the next write leaves out what no flow can need", [&] {
      auto missing = ledger.incompleteParts(stored, FlowAge, Start + 61s);
      expectTrue(servicesOf(missing) == std::vector{Certificates}, "alone");
      section("and reading the old record does not bring it back", [&] {
        ledger.learn(stored, FlowAge, Start + 61s);
        expectTrue(
            servicesOf(ledger.incompleteParts(stored, FlowAge, Start + 61s)) ==
                std::vector{Certificates},
            "still alone");
      });
    });
  }

  void boundsWhatOneAddressHasLost() {
    RouteHistory ledger;
    for (uint32_t n = 1; n <= 100; ++n)
      ledger.learn(routes(n, {ServiceId{n}}), Start + n * 1s);
    auto missing = ledger.incompleteParts({}, 1h, Start + 100s);
    auto services = servicesOf(missing);
    expectEqual<size_t>(RouteHistory::MaxFormerServices + 1, services.size());
    expectEqual<uint32_t>(100 - RouteHistory::MaxFormerServices,
                          services.front().Value);
  }

  void ignoresOlderVersions() {
    RouteHistory ledger;
    ledger.learn(routes(7, {Records}), Start);
    ledger.learn(routes(5, {Certificates}), Start);
    expectTrue(servicesOf(ledger.incompleteParts({}, FlowAge, Start)) ==
                   std::vector{Records},
               "the newest decides");
  }

  void writesAgainWhatWasTakenAway() {
    RouteHistory ledger;
    RouteHistoryParts stored;
    ledger.learn(routes(1, {Records}), Start);
    store(ledger.incompleteParts(stored, FlowAge, Start), stored);
    ledger.learn(stored, FlowAge, Start);
    stored[RouteHistory::partOf(Feed, 1)] = {.Part =
                                                 RouteHistory::partOf(Feed, 1)};
    ledger.learn(stored, FlowAge, Start);
    auto missing = ledger.incompleteParts(stored, FlowAge, Start);
    expectEqual<size_t>(1, missing.size());
    expectEqual<int64_t>(0, missing[0].At.Revision);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteHistoryTest);
