#include "chicorybank/core/Rules.h"

#include "Samples.h"
#include "Story.h"

using namespace story;
using namespace chicory;

class RulesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RulesTest);
  CPPUNIT_TEST(appliesOnlyNewerVersions);
  CPPUNIT_TEST(listsEveryServiceOfAFlow);
  CPPUNIT_TEST(keepsRemovedTargets);
  CPPUNIT_TEST(dropsVersionsBeyondItsDepth);
  CPPUNIT_TEST_SUITE_END();

  void appliesOnlyNewerVersions() {
    RuleHistory history(4);
    expectTrue(history.learn(samples::compiled(samples::ruleSet(2))), "first");
    expectTrue(!history.learn(samples::compiled(samples::ruleSet(2))), "same");
    expectTrue(!history.learn(samples::compiled(samples::ruleSet(1))), "older");
    expectTrue(!history.learn(nullptr), "none");
    expectEqual<uint64_t>(2, history.version().Value);
  }

  void listsEveryServiceOfAFlow() {
    RuleHistory history(4);
    RuleSet first = samples::ruleSet(1);
    RuleSet second = samples::ruleSet(2);
    second.Rules[0].Service = second.Services[1].Id;
    history.learn(samples::compiled(first));
    expectEqual<size_t>(1, history.servicesOf(samples::flow(1)).size());
    history.learn(samples::compiled(second));
    auto services = history.servicesOf(samples::flow(1));
    expectEqual<size_t>(2, services.size());
    expectTrue(services[0] == second.Services[1].Id, "the newest comes first");
    expectTrue(services[1] == first.Services[0].Id, "then the one before");
  }

  void keepsRemovedTargets() {
    RuleHistory history(4);
    history.learn(samples::compiled(samples::ruleSet(1)));
    RuleSet fewer = samples::ruleSet(2);
    ServiceId id = fewer.Services[0].Id;
    fewer.Services[0].Targets.resize(5);
    history.learn(samples::compiled(fewer));
    expectEqual<size_t>(15, history.targetsOf(id).size());
    expectTrue(history.serviceOfTarget(samples::target(14)) == id,
               "the service of a removed target");
    expectTrue(history.serviceOfTarget(samples::target(99)) == ServiceId{},
               "none for an unknown target");
  }

  void dropsVersionsBeyondItsDepth() {
    RuleHistory history(3);
    RuleSet first = samples::ruleSet(1);
    first.Services[0].Targets.push_back({.Id = samples::target(40)});
    history.learn(samples::compiled(first));
    for (uint64_t version = 2; version <= 3; ++version)
      history.learn(samples::compiled(samples::ruleSet(version)));
    expectTrue(history.serviceOfTarget(samples::target(40)) != ServiceId{},
               "three versions are kept");
    history.learn(samples::compiled(samples::ruleSet(4)));
    expectTrue(history.serviceOfTarget(samples::target(40)) == ServiceId{},
               "the fourth is not");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RulesTest);
