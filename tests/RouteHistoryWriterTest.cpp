#include "chicorybank/edge/RouteHistoryWriter.h"

#include "RegistrySamples.h"
#include "Story.h"

#include <array>
#include <rapidjson/document.h>

using namespace story;
using namespace samples::registry;

namespace {

const platform::StoreDialect Dialect;
constexpr Duration FlowAge = 60s;
constexpr Duration FirstLimit = 500ms;
constexpr Duration LaterLimit = 1500ms;
constexpr uint32_t Addresses = 3;
constexpr uint32_t Services = 4;

Address addressOf(uint32_t n) { return {.Ip = 0xc6120000 + n, .Port = 443}; }

/// Returns routes that lead from each address to the service at its index.
token::RouteSet routes(uint64_t version, const std::vector<uint32_t> &to) {
  token::RouteSet out{.Version = RuleVersion{version}};
  for (uint32_t n = 0; n < to.size(); ++n)
    out.Routes.push_back({.Where = addressOf(n),
                          .Services = {{.Service = ServiceId{to[n] + 1}}}});
  return out;
}

const rapidjson::Value &member(const rapidjson::Value &object,
                               const char *name) {
  auto it = object.FindMember(name);
  expectTrue(it != object.MemberEnd(), name);
  return it->value;
}

/// A store: the routes, and the record with conditional writes.
class FakeStore {
public:
  token::RouteSet Routes = routes(1, std::vector<uint32_t>(Addresses, 0));
  RouteHistoryParts Records;

  void move(uint32_t address, uint32_t service) {
    To[address] = service;
    Routes = routes(Routes.Version.Value + 1, To);
  }
  /// Executes a call as the store does, and returns the status.
  int execute(const RegistryCall &call) {
    rapidjson::Document json;
    json.Parse(call.Body.c_str());
    for (const auto &it : member(json, "expect").GetArray()) {
      auto old = Records.find(partOf(it));
      int64_t revision = old == Records.end() ? 0 : old->second.At.Revision;
      if (revision != member(it, "revision").GetInt64())
        return 412;
    }
    ++Revision;
    for (const auto &it : member(json, "puts").GetArray())
      put(member(it, "key").GetString(), member(it, "value").GetString());
    return Ok;
  }

private:
  static uint32_t partOf(const rapidjson::Value &row) {
    std::string key = member(row, "key").GetString();
    return static_cast<uint32_t>(std::stoul(key.substr(key.rfind('/') + 1)));
  }
  void put(const std::string &key, const std::string &value) {
    // The store returns values as they were written, so the value is decoded as
    // a page of the store.
    auto page = Dialect.parsePage(
        R"({"items":[{"key":")" + key + R"(","revision":)" +
        std::to_string(Revision) + R"(,"value":")" + value + "\"}]}");
    Findings findings;
    ItemContent content = Dialect.translate(page->Items.at(0), findings);
    expectTrue(findings.empty(), "the written value is readable");
    auto record = std::get<RouteHistoryPart>(content);
    Records[record.Part] = record;
  }

  std::vector<uint32_t> To = std::vector<uint32_t>(Addresses, 0);
  int64_t Revision = 0;
};

/// One instance: its route table, and its writer of the record.
struct Instance {
  RouteHistoryWriter Writer{Dialect};
  token::RouteTable Table{FlowAge};

  /// Reads the content of the store, the record first, in the order of a list.
  void read(const FakeStore &store, Time now) {
    for (const auto &[part, record] : store.Records)
      Table.learnPast(record.Pairs, now);
    Table.learn(store.Routes, now);
    Writer.learn(store.Routes, now);
    Writer.learn(store.Records, FlowAge, now);
  }
  bool reaches(const token::RoutePair &pair, Time now) const {
    return Table.mayReach(pair.Where, pair.Service, now);
  }
};

} // namespace

class RouteHistoryWriterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouteHistoryWriterTest);
  CPPUNIT_TEST(writesAfterTheSettleTime);
  CPPUNIT_TEST(leavesTheWriteToAnEarlierInstance);
  CPPUNIT_TEST(onlyOneInstanceWritesWhileRoutesKeepChanging);
  CPPUNIT_TEST(retriesAfterAFailure);
  CPPUNIT_TEST(doesNotOverwriteAnotherWriter);
  CPPUNIT_TEST(startedInstancesForwardOldFlows);
  CPPUNIT_TEST(neverForwardsToAServiceThatNoVersionNamed);
  CPPUNIT_TEST_SUITE_END();

  void writesAfterTheSettleTime() {
    FakeStore store;
    Instance one;
    one.read(store, Start);
    expectTrue(!one.Writer.next(FirstLimit, Start + 1900ms),
               "changes come in bursts");
    auto call = one.Writer.next(FirstLimit, Start + 2s);
    expectEqual(Ok, store.execute(*call));
    one.Writer.answered({.Status = Ok}, Start + 2s);
    one.read(store, Start + 2s);
    expectTrue(one.Writer.nextAt(FirstLimit) == Time::max(),
               "nothing is missing");
  }

  void leavesTheWriteToAnEarlierInstance() {
    FakeStore store;
    Instance first;
    Instance other;
    first.read(store, Start);
    other.read(store, Start);
    expectTrue(!other.Writer.next(LaterLimit, Start + 2s), "not yet");
    store.execute(*first.Writer.next(FirstLimit, Start + 2s));
    other.read(store, Start + 2100ms);
    expectTrue(!other.Writer.next(LaterLimit, Start + 1h),
               "the other has written");
  }

  // Guards against instances that all write at once, so that all but one are
  // refused: routes change several times a second for several seconds; the
  // first instance writes, and data is missing again when its write is read.
  // The delay of the others has to start anew then.
  void onlyOneInstanceWritesWhileRoutesKeepChanging() {
    FakeStore store;
    Instance first;
    Instance other;
    int calls = 0;
    for (Time now = Start; now < Start + 20s; now += 100ms) {
      store.move(0, static_cast<uint32_t>((now - Start) / 300ms));
      first.read(store, now);
      other.read(store, now);
      if (auto call = first.Writer.next(FirstLimit, now)) {
        store.execute(*call);
        first.Writer.answered({.Status = Ok}, now);
        ++calls;
      }
      expectTrue(!other.Writer.next(LaterLimit, now), "the other has written");
    }
    expectTrue(calls >= 8 && calls <= 10, "one write for several changes");
  }

  void retriesAfterAFailure() {
    FakeStore store;
    Instance one;
    one.read(store, Start);
    expectTrue(one.Writer.next(FirstLimit, Start + 2s).has_value(), "due");
    one.Writer.answered({.Status = 0}, Start + 3s);
    expectTrue(!one.Writer.next(FirstLimit, Start + 4s), "not immediately");
    expectTrue(one.Writer.next(FirstLimit, Start + 5s).has_value(),
               "after the delay");
    expectEqual<uint64_t>(1, one.Writer.stats().Failed);
  }

  // Guards against the loss of a recorded pair: two instances that get no
  // updates from each other write from the same state, each with a pair of its
  // own. The second write must not replace the first.
  void doesNotOverwriteAnotherWriter() {
    FakeStore store;
    Instance one;
    Instance two;
    one.read(store, Start);
    two.read(store, Start);
    store.move(0, 1);
    two.read(store, Start);
    auto delayed = one.Writer.next(FirstLimit, Start + 2s);
    expectEqual(Ok, store.execute(*two.Writer.next(FirstLimit, Start + 2s)));
    expectEqual(412, store.execute(*delayed));
    one.Writer.answered({.Status = 412}, Start + 2s);
    expectEqual<uint64_t>(1, one.Writer.stats().Refused);
    section("both of its services are recorded for the address", [&] {
      Instance started = startedNow(store, Start + 2s);
      expectTrue(started.reaches({addressOf(0), ServiceId{1}}, Start + 2s),
                 "the old service");
      expectTrue(started.reaches({addressOf(0), ServiceId{2}}, Start + 2s),
                 "the new service");
    });
  }

  // Guards against established flows that end silently after planned work, with
  // `foreign_token` in the logs: routes change and instances restart. The test
  // runs any order of route moves, restarts of single instances and of all at
  // once, and writes of the record that succeed, are lost or are executed
  // later. Each recorded pair in force has to be known to instances that start
  // after.
  void startedInstancesForwardOldFlows() {
    property("what was recorded is known after any restart", [] {
      FakeStore store;
      std::array<std::optional<Instance>, 3> fleet;
      std::vector<RegistryCall> delayed;
      // Pairs in force while a write was executed, and when they ended.
      std::map<token::RoutePair, std::optional<Time>> required;
      Time now = Start;
      for (auto &it : fleet)
        it.emplace().read(store, now);
      for (int n = *rc::gen::inRange(5, 40); n > 0; --n) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 4000));
        auto which = *rc::gen::inRange<size_t>(0, fleet.size());
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
          store.move(*rc::gen::inRange(0U, Addresses),
                     *rc::gen::inRange(0U, Services));
          for (auto &[pair, endedAt] : required)
            if (!isInForce(store, pair) && !endedAt)
              endedAt = now;
          break;
        case 1:
          fleet[which]->read(store, now);
          break;
        case 2:
          fleet[which].emplace().read(store, now);
          break;
        case 3:
          for (auto &it : fleet)
            it.emplace().read(store, now);
          break;
        case 4:
          if (auto call = fleet[which]->Writer.next(FirstLimit, now)) {
            bool lost = *rc::gen::arbitrary<bool>();
            int status = lost ? 0 : store.execute(*call);
            if (lost)
              delayed.push_back(*call);
            fleet[which]->Writer.answered({.Status = status}, now);
          }
          break;
        default:
          if (!delayed.empty()) {
            store.execute(delayed.back());
            delayed.pop_back();
          }
        }
        require(store, required);
        for (const auto &[pair, endedAt] : required)
          if (!endedAt || now - *endedAt < FlowAge)
            RC_ASSERT(startedNow(store, now).reaches(pair, now));
      }
    });
  }

  // Guards against a packet for one service that reaches another one: an
  // instance with any record must refuse a token of a service that no version
  // ever gave to the address.
  void neverForwardsToAServiceThatNoVersionNamed() {
    property("a forged token is refused after any moves and restarts", [] {
      FakeStore store;
      Time now = Start;
      for (int n = *rc::gen::inRange(0, 10); n > 0; --n) {
        Instance one = startedNow(store, now);
        now += 5s;
        if (auto call = one.Writer.next(FirstLimit, now))
          store.execute(*call);
        // No address ever gets service 4.
        store.move(*rc::gen::inRange(0U, Addresses),
                   *rc::gen::inRange(0U, Services - 1));
      }
      Instance last = startedNow(store, now);
      for (uint32_t n = 0; n < Addresses; ++n)
        RC_ASSERT(!last.reaches({addressOf(n), ServiceId{Services}}, now));
    });
  }

  static bool isInForce(const FakeStore &store, const token::RoutePair &pair) {
    for (const token::Route &it : store.Routes.Routes)
      if (it.Where == pair.Where && it.Services[0].Service == pair.Service)
        return true;
    return false;
  }
  /// Requires that recorded pairs in force are forwarded from now on.
  static void
  require(const FakeStore &store,
          std::map<token::RoutePair, std::optional<Time>> &required) {
    for (const auto &[part, record] : store.Records)
      for (const token::RoutePair &it : record.Pairs)
        if (isInForce(store, it))
          required[it].reset();
  }
  static Instance startedNow(const FakeStore &store, Time now) {
    Instance out;
    out.read(store, now);
    return out;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteHistoryWriterTest);
