#include "chicorybank/edge/RouteHistory.h"

#include "Story.h"

using namespace story;
using namespace chicory;
using namespace chicory::edge;
using namespace std::chrono_literals;

namespace {

constexpr Address RouteAddress{.Ip = 0xc6120001, .Port = 443};
constexpr ServiceId Records{1};
constexpr ServiceId Certificates{2};
constexpr Time Start{100s};
constexpr Duration FlowAge = 60s;

token::RouteSet routes(uint64_t version,
                       const std::vector<ServiceId> &services) {
  token::RouteSet out{.Version = RuleVersion{version}};
  token::Route route{.Where = RouteAddress};
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

/// Stores records as the registry does.
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
  CPPUNIT_TEST(recordsCurrentRoutes);
  CPPUNIT_TEST(learnsEarlierRoutesFromTheRecord);
  CPPUNIT_TEST(writesNothingForSurplusPairs);
  CPPUNIT_TEST(dropsRemovedPairsAfterTheMaximumFlowAge);
  CPPUNIT_TEST(limitsFormerServicesOfAnAddress);
  CPPUNIT_TEST(ignoresOlderVersions);
  CPPUNIT_TEST(rewritesRemovedPairs);
  CPPUNIT_TEST(splitsALargeRecord);
  CPPUNIT_TEST_SUITE_END();

  // Guards against pairs that are in no part after the configuration has grown:
  // the record has one part; with added addresses there are two, and the first
  // is rewritten without the pairs that now belong to the second. So a pair has
  // to be looked for in its own part, not in the whole record.
  void splitsALargeRecord() {
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
    RouteHistory history;
    RouteHistoryParts stored;
    uint32_t maxCount = 0;
    uint64_t version = 0;
    for (uint32_t count : {200U, 400U, 5'700U, 100U}) {
      maxCount = std::max(maxCount, count);
      history.learn(many(++version, count), Start);
      store(history.incompleteParts(stored, FlowAge, Start), stored);
      expectTrue(history.incompleteParts(stored, FlowAge, Start).empty(),
                 "the record is complete");
      RouteHistory started;
      started.learn(stored, FlowAge, Start);
      expectEqual<size_t>(
          maxCount,
          servicesOf(started.incompleteParts({}, FlowAge, Start)).size());
    }
  }

  void recordsCurrentRoutes() {
    RouteHistory history;
    history.learn(routes(1, {Records}), Start);
    auto missing = history.incompleteParts({}, FlowAge, Start);
    expectEqual<size_t>(1, missing.size());
    expectEqual(RouteHistory::partOf(RouteAddress, 1), missing[0].Part);
    expectEqual<int64_t>(0, missing[0].At.Revision);
    RouteHistoryParts stored;
    store(missing, stored);
    expectTrue(history.incompleteParts(stored, FlowAge, Start).empty(),
               "the part is complete");
    section("a new service at the address rewrites its part", [&] {
      history.learn(routes(2, {Records, Certificates}), Start);
      auto more = history.incompleteParts(stored, FlowAge, Start);
      expectTrue(servicesOf(more) == std::vector{Records, Certificates},
                 "both services");
      expectEqual<int64_t>(1, more[0].At.Revision);
    });
  }

  // Guards against flows that break after a route has moved and instances have
  // restarted: the route leads to one service, which is recorded; it moves; all
  // processes end at that change, so that none has seen both versions.
  void learnsEarlierRoutesFromTheRecord() {
    RouteHistoryParts stored;
    RouteHistory before;
    before.learn(routes(1, {Records}), Start);
    store(before.incompleteParts(stored, FlowAge, Start), stored);
    RouteHistory after;
    after.learn(routes(2, {Certificates}), Start + 1s);
    after.learn(stored, FlowAge, Start + 1s);
    auto missing = after.incompleteParts(stored, FlowAge, Start + 1s);
    expectTrue(servicesOf(missing) == std::vector{Certificates, Records},
               "the old service stays beside the new one");
  }

  void writesNothingForSurplusPairs() {
    RouteHistoryParts stored;
    RouteHistory history;
    history.learn(routes(1, {Records}), Start);
    store(history.incompleteParts(stored, FlowAge, Start), stored);
    history.learn(routes(2, {}), Start);
    expectTrue(history.incompleteParts(stored, FlowAge, Start + 1h).empty(),
               "a surplus pair causes no write");
  }

  void dropsRemovedPairsAfterTheMaximumFlowAge() {
    RouteHistoryParts stored;
    RouteHistory history;
    history.learn(routes(1, {Records}), Start);
    store(history.incompleteParts(stored, FlowAge, Start), stored);
    history.learn(routes(2, {Certificates}), Start);
    section("the next write omits what no flow can need", [&] {
      auto missing = history.incompleteParts(stored, FlowAge, Start + 61s);
      expectTrue(servicesOf(missing) == std::vector{Certificates},
                 "the new service alone");
      section("and reading the old record does not restore it", [&] {
        history.learn(stored, FlowAge, Start + 61s);
        expectTrue(
            servicesOf(history.incompleteParts(stored, FlowAge, Start + 61s)) ==
                std::vector{Certificates},
            "still the new service alone");
      });
    });
  }

  void limitsFormerServicesOfAnAddress() {
    RouteHistory history;
    for (uint32_t n = 1; n <= 100; ++n)
      history.learn(routes(n, {ServiceId{n}}), Start + n * 1s);
    auto missing = history.incompleteParts({}, 1h, Start + 100s);
    auto services = servicesOf(missing);
    expectEqual<size_t>(RouteHistory::MaxFormerServices + 1, services.size());
    expectEqual<uint32_t>(100 - RouteHistory::MaxFormerServices,
                          services.front().Value);
  }

  void ignoresOlderVersions() {
    RouteHistory history;
    history.learn(routes(7, {Records}), Start);
    history.learn(routes(5, {Certificates}), Start);
    expectTrue(servicesOf(history.incompleteParts({}, FlowAge, Start)) ==
                   std::vector{Records},
               "the newest decides");
  }

  void rewritesRemovedPairs() {
    RouteHistory history;
    RouteHistoryParts stored;
    history.learn(routes(1, {Records}), Start);
    store(history.incompleteParts(stored, FlowAge, Start), stored);
    history.learn(stored, FlowAge, Start);
    stored[RouteHistory::partOf(RouteAddress, 1)] = {
        .Part = RouteHistory::partOf(RouteAddress, 1)};
    history.learn(stored, FlowAge, Start);
    auto missing = history.incompleteParts(stored, FlowAge, Start);
    expectEqual<size_t>(1, missing.size());
    expectEqual<int64_t>(0, missing[0].At.Revision);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteHistoryTest);
