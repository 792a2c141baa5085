// Submits rule sets to a fake platform in which any call can fail.

#include "chicorybank/store/RuleRegistry.h"

#include "Samples.h"
#include "Story.h"

#include <map>

using namespace story;
using namespace chicory;

namespace {

/// Stores keys in memory, and fails selected calls.
class FakeService : public KeyValueService {
public:
  enum class Fault { None, Refused, ResponseLost };

  /// Makes the nth write from now fail with `how`.
  void failWrite(int n, Fault how) {
    FailAt = Writes + n;
    How = how;
  }
  /// Runs immediately before the next swap, to simulate another writer.
  std::function<void()> BeforeSwap;
  bool ReadsFail = false;

  PlatformResult<std::vector<KeyValue>> get(const std::string &key) override {
    if (ReadsFail)
      return tl::make_unexpected(PlatformError::Unreachable);
    std::vector<KeyValue> out;
    if (auto it = Values.find(key); it != Values.end())
      out.push_back(it->second);
    return out;
  }
  PlatformResult<std::vector<KeyValue>>
  list(const std::string &prefix) override {
    if (ReadsFail)
      return tl::make_unexpected(PlatformError::Unreachable);
    std::vector<KeyValue> out;
    for (const auto &[key, value] : Values)
      if (key.starts_with(prefix))
        out.push_back(value);
    return out;
  }
  PlatformResult<bool> swap(const CompareAndSwap &swap) override {
    if (auto before = std::exchange(BeforeSwap, nullptr))
      before();
    return write<bool>([&] {
      auto it = Values.find(swap.Key);
      int64_t actual = it == Values.end() ? 0 : it->second.ModRevision;
      if (actual != swap.ExpectedRevision)
        return false;
      for (const KeyValuePut &put : swap.Puts)
        store(put);
      return true;
    });
  }
  PlatformResult<void> put(const KeyValuePut &put) override {
    return write<bool>([&] {
             store(put);
             return true;
           })
        .map([](bool) {});
  }
  PlatformResult<void> remove(const std::string &key) override {
    Values.erase(key);
    return {};
  }
  PlatformResult<void>
  watch(const std::string &,
        const std::function<bool(const KeyValue &)> &) override {
    return {};
  }
  void interrupt() override {}

  size_t count(const std::string &prefix) {
    return list(prefix).value().size();
  }

private:
  void store(const KeyValuePut &put) {
    Values[put.Key] = {
        .Key = put.Key, .Value = put.Value, .ModRevision = ++Revision};
  }
  template <typename T>
  PlatformResult<T> write(const std::function<T()> &apply) {
    Fault fault = ++Writes == FailAt ? How : Fault::None;
    if (fault == Fault::Refused)
      return tl::make_unexpected(PlatformError::Unreachable);
    T result = apply();
    if (fault == Fault::ResponseLost)
      return tl::make_unexpected(PlatformError::Unknown);
    return result;
  }

  std::map<std::string, KeyValue> Values;
  int64_t Revision = 0;
  int Writes = 0;
  int FailAt = -1;
  Fault How = Fault::None;
};

RuleSet submission(const std::string &id, uint32_t extra = 0) {
  RuleSet out = samples::ruleSet(0);
  out.SubmissionId = id;
  for (uint32_t i = 0; i < extra; ++i)
    out.Rules.push_back({.Name = id + std::to_string(i)});
  return out;
}

uint64_t versionOf(const SubmitOutcome &outcome) {
  const auto *accepted = std::get_if<Accepted>(&outcome);
  return accepted == nullptr ? 0 : accepted->Version.Value;
}

/// Reads the current rule set as an instance does.
RuleSet readCurrent(FakeService &service) {
  RuleRegistry registry(service);
  PageStore pages;
  RuleManifest manifest = registry.currentManifest().value().value();
  expectTrue(registry.fetchPages(manifest, pages).has_value(),
             "every page is there");
  return assemble(manifest, pages).value();
}

} // namespace

class RuleRegistryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RuleRegistryTest);
  CPPUNIT_TEST(acceptsAndReadsBack);
  CPPUNIT_TEST(acceptsOneOfTwoConcurrentSubmissions);
  CPPUNIT_TEST(recognizesAcceptanceAfterALostResponse);
  CPPUNIT_TEST(acceptsARepeatedSubmissionOnce);
  CPPUNIT_TEST(keepsRuleSetsWholeAfterAFailedWrite);
  CPPUNIT_TEST(rejectsAnotherBaseVersion);
  CPPUNIT_TEST(removesOldVersionsButKeepsSharedPages);
  CPPUNIT_TEST(encodesAndDecodesMembersAndInstances);
  CPPUNIT_TEST(restoresVersionsThatTheServiceLost);
  CPPUNIT_TEST(renumbersRulesWithAReusedNumber);
  CPPUNIT_TEST_SUITE_END();

  // Guards against accepted rules that are reverted when the service is
  // restored from an older copy.
  void restoresVersionsThatTheServiceLost() {
    FakeService service;
    RuleRegistry registry(service);
    registry.submit(submission("one"), {});
    FakeService copy = service;
    registry.submit(submission("two", 3), {});
    RuleManifest latest = registry.currentManifest().value().value();
    PageStore pages;
    expectTrue(registry.fetchPages(latest, pages).has_value(),
               "the pages are read");
    service = copy;
    RuleManifest stored = registry.currentManifest().value().value();
    expectTrue(registry.restoreVersion(stored, latest, pages).value(),
               "it is written back");
    expectEqual<std::string>("two", readCurrent(service).SubmissionId);
    section("a second call changes nothing", [&] {
      expectTrue(!registry.restoreVersion(stored, latest, pages).value(),
                 "it is stored already");
    });
    section("the next submission gets the next number", [&] {
      expectEqual<uint64_t>(3, versionOf(registry.submit(submission("x"), {})));
    });
    section("a later submission is not overwritten", [&] {
      service = copy;
      service.BeforeSwap = [&] { registry.submit(submission("y"), {}); };
      expectTrue(
          !registry.restoreVersion(stored, latest, pages).value_or(false),
          "another writer was first");
      service = copy;
      registry.submit(submission("three"), {});
      latest.Version = RuleVersion{9};
      expectTrue(!registry.restoreVersion(stored, latest, pages).value(),
                 "the later submission has a lower number");
    });
  }

  // Guards against accepted rules that never come into force because their
  // version number was already used before a restore.
  void renumbersRulesWithAReusedNumber() {
    FakeService service;
    RuleRegistry registry(service);
    registry.submit(submission("one"), {});
    FakeService copy = service;
    registry.submit(submission("two"), {});
    service = copy;
    expectEqual<uint64_t>(2, versionOf(registry.submit(submission("new"), {})));
    RuleManifest stored = registry.currentManifest().value().value();
    expectTrue(registry.renumber(stored, RuleVersion{2}).value(),
               "it gets a new number");
    RuleSet now = readCurrent(service);
    expectTrue(now.Version == RuleVersion{3} && now.SubmissionId == "new",
               "the new rules are version 3");
    expectTrue(!registry.renumber(stored, RuleVersion{2}).value(),
               "a second call changes nothing");
  }

  void acceptsAndReadsBack() {
    FakeService service;
    RuleRegistry registry(service);
    expectEqual<uint64_t>(1, versionOf(registry.submit(submission("a"), {})));
    expectEqual<uint64_t>(2, versionOf(registry.submit(submission("b"), {})));
    expectTrue(readCurrent(service).Rules == submission("b").Rules,
               "the submitted rules are read back");
  }

  void acceptsOneOfTwoConcurrentSubmissions() {
    FakeService service;
    RuleRegistry registry(service);
    registry.submit(submission("base"), {});
    service.BeforeSwap = [&] {
      expectEqual<uint64_t>(
          2, versionOf(RuleRegistry(service).submit(submission("fast"), {})));
    };
    SubmitOutcome slow = registry.submit(submission("slow"), {});
    const auto *conflict = std::get_if<Conflict>(&slow);
    expectTrue(conflict != nullptr, "the slower writer gets a conflict");
    expectEqual<uint64_t>(2, conflict->Current.Value);
  }

  // Guards against automation that submits twice and so overwrites someone's
  // change. The swap takes effect, but its response is lost, which looks like a
  // failure.
  void recognizesAcceptanceAfterALostResponse() {
    FakeService service;
    RuleRegistry registry(service);
    registry.submit(submission("a"), {});
    service.failWrite(1, FakeService::Fault::ResponseLost);
    expectEqual<uint64_t>(2, versionOf(registry.submit(submission("b"), {})));
    section("the outcome is unknown while reads fail too", [&] {
      service.failWrite(1, FakeService::Fault::ResponseLost);
      service.BeforeSwap = [&] { service.ReadsFail = true; };
      SubmitOutcome outcome = registry.submit(submission("c"), {});
      expectTrue(std::holds_alternative<OutcomeUnknown>(outcome),
                 "the outcome is unknown");
      service.ReadsFail = false;
      expectEqual<uint64_t>(3, versionOf(registry.submit(submission("c"), {})));
    });
  }

  void acceptsARepeatedSubmissionOnce() {
    FakeService service;
    RuleRegistry registry(service);
    registry.submit(submission("a"), {});
    registry.submit(submission("b"), {});
    section("a repeat returns the first version and reverts nothing", [&] {
      expectEqual<uint64_t>(1, versionOf(registry.submit(submission("a"), {})));
      expectTrue(readCurrent(service).SubmissionId == "b", "b is in force");
    });
  }

  void keepsRuleSetsWholeAfterAFailedWrite() {
    property("after a failure of any write one whole set is in force", [] {
      FakeService service;
      RuleRegistry registry(service);
      registry.submit(submission("a", 50), {});
      auto n = *rc::gen::inRange(1, 60);
      bool lost = *rc::gen::arbitrary<bool>();
      service.failWrite(n, lost ? FakeService::Fault::ResponseLost
                                : FakeService::Fault::Refused);
      SubmitOutcome outcome = registry.submit(submission("b", 3000), {});
      RuleSet current = readCurrent(service);
      bool accepted = versionOf(outcome) == 2;
      RC_ASSERT(current.SubmissionId == (accepted ? "b" : "a"));
      RC_ASSERT(current.Rules.size() == (accepted ? 3002U : 52U));
    });
  }

  void rejectsAnotherBaseVersion() {
    FakeService service;
    RuleRegistry registry(service);
    registry.submit(submission("a"), {});
    SubmitOutcome outcome = registry.submit(submission("b"), RuleVersion{7});
    expectTrue(std::holds_alternative<Conflict>(outcome), "a conflict");
    expectEqual<uint64_t>(
        2, versionOf(registry.submit(submission("b"), RuleVersion{1})));
  }

  void removesOldVersionsButKeepsSharedPages() {
    FakeService service;
    RuleRegistry registry(service);
    for (int i = 0; i < 40; ++i) {
      registry.submit(submission("s" + std::to_string(i), 40), {});
      readCurrent(service);
    }
    expectEqual<size_t>(VersionsKept, service.count(keys::History));
    expectTrue(service.count(keys::Pages) < 200, "old pages are removed");
  }

  void encodesAndDecodesMembersAndInstances() {
    MembersDocument document{.Version = MembersVersion{3},
                             .Members = {InstanceId{1}, InstanceId{2}},
                             .Previous = {InstanceId{2}}};
    expectTrue(decodeMembers(encodeMembers(document)).value() == document,
               "the decoded document is equal");
    InstanceInfo info{.Id = InstanceId{4},
                      .Zone = "hall-a",
                      .Packets = {.Ip = 1, .Port = 2},
                      .Peers = {.Ip = 1, .Port = 3},
                      .Admin = {.Ip = 1, .Port = 4}};
    expectTrue(decodeInstance(encodeInstance(info)).value() == info,
               "the decoded instance is equal");
    property("any bytes are decoded or refused without a crash", [] {
      auto bytes =
          QByteArray::fromStdString(*rc::gen::arbitrary<std::string>());
      (void)decodeMembers(bytes);
      (void)decodeInstance(bytes);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RuleRegistryTest);
