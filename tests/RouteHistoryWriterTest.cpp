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
constexpr Duration FirstInLine = 500ms;
constexpr Duration FurtherBack = 1500ms;
constexpr uint32_t Addresses = 3;
constexpr uint32_t Services = 4;

Address addressOf(uint32_t n) { return {.Ip = 0xc6120000 + n, .Port = 443}; }

/// Routes that lead from each address to the service of its place.
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

/// The store's part: the routes, and the record behind its conditions.
class Deployment {
public:
  token::RouteSet Routes = routes(1, std::vector<uint32_t>(Addresses, 0));
  RouteHistoryParts Records;

  void move(uint32_t address, uint32_t service) {
    To[address] = service;
    Routes = routes(Routes.Version.Value + 1, To);
  }
  /// Executes a call as the store does. Returns its status.
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
    // The store returns values as they were written, so a page of its own is
    // the way back from the call's text.
    auto page = Dialect.parsePage(
        R"({"items":[{"key":")" + key + R"(","revision":)" +
        std::to_string(Revision) + R"(,"value":")" + value + "\"}]}");
    Findings findings;
    ItemContent news = Dialect.translate(page->Items.at(0), findings);
    expectTrue(findings.empty(), "what is written can be read");
    auto record = std::get<RouteHistoryPart>(news);
    Records[record.Part] = record;
  }

  std::vector<uint32_t> To = std::vector<uint32_t>(Addresses, 0);
  int64_t Revision = 0;
};

/// One instance: what it may forward, and what it records.
struct Instance {
  RouteHistoryWriter Recorder{Dialect};
  token::RouteTable Table{FlowAge};

  /// Reads the store's content, the record first, as a list has it.
  void read(const Deployment &store, Time now) {
    for (const auto &[part, record] : store.Records)
      Table.learnPast(record.Pairs, now);
    Table.learn(store.Routes, now);
    Recorder.learn(store.Routes, now);
    Recorder.learn(store.Records, FlowAge, now);
  }
  bool reaches(const token::RoutePair &pair, Time now) const {
    return Table.mayReach(pair.Where, pair.Service, now);
  }
};

} // namespace

class RouteHistoryWriterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouteHistoryWriterTest);
  CPPUNIT_TEST(writesWhatHasSettled);
  CPPUNIT_TEST(leavesItToWhoeverStandsBefore);
  CPPUNIT_TEST(writesAloneWhileRoutesGoOnChanging);
  CPPUNIT_TEST(triesAgainAfterAFailure);
  CPPUNIT_TEST(yieldsToAnotherWriter);
  CPPUNIT_TEST(letsStartedInstancesCarryOldFlows);
  CPPUNIT_TEST(neverReachesAServiceThatNoVersionNamed);
  CPPUNIT_TEST_SUITE_END();

  void writesWhatHasSettled() {
    Deployment store;
    Instance one;
    one.read(store, Start);
    expectTrue(!one.Recorder.next(FirstInLine, Start + 1900ms),
               "changes come in bursts");
    auto call = one.Recorder.next(FirstInLine, Start + 2s);
    expectEqual(Ok, store.execute(*call));
    one.Recorder.answered({.Status = Ok}, Start + 2s);
    one.read(store, Start + 2s);
    expectTrue(one.Recorder.nextAt(FirstInLine) == Time::max(),
               "nothing is missing");
  }

  void leavesItToWhoeverStandsBefore() {
    Deployment store;
    Instance first;
    Instance other;
    first.read(store, Start);
    other.read(store, Start);
    expectTrue(!other.Recorder.next(FurtherBack, Start + 2s), "not yet");
    store.execute(*first.Recorder.next(FirstInLine, Start + 2s));
    other.read(store, Start + 2100ms);
    expectTrue(!other.Recorder.next(FurtherBack, Start + 1h), "it is done");
  }

  // Symptom: all instances write at once, and all but one are refused.
  // Sequence: routes change several times a second for several seconds; the
  // first in line writes; something is missing again when its write is read.
  // Cause: those behind wait from when anything was first missing.
  void writesAloneWhileRoutesGoOnChanging() {
    Deployment store;
    Instance first;
    Instance other;
    int calls = 0;
    for (Time now = Start; now < Start + 20s; now += 100ms) {
      store.move(0, static_cast<uint32_t>((now - Start) / 300ms));
      first.read(store, now);
      other.read(store, now);
      if (auto call = first.Recorder.next(FirstInLine, now)) {
        store.execute(*call);
        first.Recorder.answered({.Status = Ok}, now);
        ++calls;
      }
      expectTrue(!other.Recorder.next(FurtherBack, now), "it is done");
    }
    expectTrue(calls >= 8 && calls <= 10, "not for each change");
  }

  void triesAgainAfterAFailure() {
    Deployment store;
    Instance one;
    one.read(store, Start);
    expectTrue(one.Recorder.next(FirstInLine, Start + 2s).has_value(), "due");
    one.Recorder.answered({.Status = 0}, Start + 3s);
    expectTrue(!one.Recorder.next(FirstInLine, Start + 4s), "not at once");
    expectTrue(one.Recorder.next(FirstInLine, Start + 5s).has_value(), "again");
    expectEqual<uint64_t>(1, one.Recorder.stats().Failed);
  }

  // Symptom: a pair that was recorded is lost again.
  // Sequence: two instances that don't hear each other write from the same
  // state, each with a pair of its own.
  // Cause: the second would replace what the first has written.
  void yieldsToAnotherWriter() {
    Deployment store;
    Instance one;
    Instance two;
    one.read(store, Start);
    two.read(store, Start);
    store.move(0, 1);
    two.read(store, Start);
    auto late = one.Recorder.next(FirstInLine, Start + 2s);
    expectEqual(Ok, store.execute(*two.Recorder.next(FirstInLine, Start + 2s)));
    expectEqual(412, store.execute(*late));
    one.Recorder.answered({.Status = 412}, Start + 2s);
    expectEqual<uint64_t>(1, one.Recorder.stats().Refused);
    section("both of its services are recorded for the address", [&] {
      Instance started = startedNow(store, Start + 2s);
      expectTrue(started.reaches({addressOf(0), ServiceId{1}}, Start + 2s),
                 "the one before");
      expectTrue(started.reaches({addressOf(0), ServiceId{2}}, Start + 2s),
                 "the new one");
    });
  }

  // Symptom: established flows die in silence after planned work: the routes
  // change and instances restart; `foreign_token` in their logs.
  // Sequence: any order of moves of routes, restarts of single instances and of
  // all at once, writes of the record that hold, are lost, or are executed
  // later.
  // Cause: what a route had led to was known only to processes that had read
  // the version themselves.
  void letsStartedInstancesCarryOldFlows() {
    property("what was recorded is known after any restart", [] {
      Deployment store;
      std::array<std::optional<Instance>, 3> fleet;
      std::vector<RegistryCall> late;
      // Pairs that stood while a write was executed, and when they ended.
      std::map<token::RoutePair, std::optional<Time>> owed;
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
          for (auto &[pair, endedAt] : owed)
            if (!stands(store, pair) && !endedAt)
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
          if (auto call = fleet[which]->Recorder.next(FirstInLine, now)) {
            bool lost = *rc::gen::arbitrary<bool>();
            int status = lost ? 0 : store.execute(*call);
            if (lost)
              late.push_back(*call);
            fleet[which]->Recorder.answered({.Status = status}, now);
          }
          break;
        default:
          if (!late.empty()) {
            store.execute(late.back());
            late.pop_back();
          }
        }
        owe(store, owed);
        for (const auto &[pair, endedAt] : owed)
          if (!endedAt || now - *endedAt < FlowAge)
            RC_ASSERT(startedNow(store, now).reaches(pair, now));
      }
    });
  }

  // Symptom: a packet for one service reaches another one.
  // Sequence: a token of a service that no version ever gave to the address,
  // at an instance with any record.
  // Cause: a record that was believed for more than it says.
  void neverReachesAServiceThatNoVersionNamed() {
    property("a forged token is refused after any moves and restarts", [] {
      Deployment store;
      Time now = Start;
      for (int n = *rc::gen::inRange(0, 10); n > 0; --n) {
        Instance one = startedNow(store, now);
        now += 5s;
        if (auto call = one.Recorder.next(FirstInLine, now))
          store.execute(*call);
        // Service 4 is never given to an address.
        store.move(*rc::gen::inRange(0U, Addresses),
                   *rc::gen::inRange(0U, Services - 1));
      }
      Instance last = startedNow(store, now);
      for (uint32_t n = 0; n < Addresses; ++n)
        RC_ASSERT(!last.reaches({addressOf(n), ServiceId{Services}}, now));
    });
  }

  static bool stands(const Deployment &store, const token::RoutePair &pair) {
    for (const token::Route &it : store.Routes.Routes)
      if (it.Where == pair.Where && it.Services[0].Service == pair.Service)
        return true;
    return false;
  }
  /// What is recorded and in force has to be carried from now on.
  static void owe(const Deployment &store,
                  std::map<token::RoutePair, std::optional<Time>> &owed) {
    for (const auto &[part, record] : store.Records)
      for (const token::RoutePair &it : record.Pairs)
        if (stands(store, it))
          owed[it].reset();
  }
  static Instance startedNow(const Deployment &store, Time now) {
    Instance out;
    out.read(store, now);
    return out;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteHistoryWriterTest);
