#include "daemon/RuleStore.h"

#include "Samples.h"
#include "Story.h"

using namespace story;
using namespace chicory;

namespace {

/// Returns the manifest of a version as the platform stores it.
RuleManifest makeManifest(uint64_t version, const std::string &submission,
                          PageStore &pages) {
  RuleSet rules = samples::ruleSet(version);
  rules.SubmissionId = submission;
  return paginate(rules, pages);
}

} // namespace

class RuleStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RuleStoreTest);
  CPPUNIT_TEST(distinguishesLostVersionsFromReusedNumbers);
  CPPUNIT_TEST_SUITE_END();

  // Guards against two faults after the platform is restored from an older
  // copy: taking the stored rules for the last accepted ones, and ignoring
  // rules that are accepted later.
  void distinguishesLostVersionsFromReusedNumbers() {
    RuleStore store;
    PageStore pages;
    RuleManifest first = makeManifest(4, "a", pages);
    RuleManifest second = makeManifest(5, "b", pages);
    expectTrue(store.learn(first, pages).has_value(), "version 4");
    expectTrue(store.learn(second, pages).has_value(), "version 5");
    expectTrue(store.compare(second) == StoredRules::Current, "in force");
    expectTrue(store.compare(first) == StoredRules::Lost, "version 5 is lost");
    expectTrue(store.compare(makeManifest(5, "c", pages)) ==
                   StoredRules::Reused,
               "other rules have the number 5");
    expectTrue(store.compare(makeManifest(3, "z", pages)) ==
                   StoredRules::Current,
               "version 3 is unknown here");
    expectTrue(store.manifest() == second, "version 5 stays in force");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RuleStoreTest);
