#include "platform/Contracts.h"

#include "Story.h"

using namespace story;
using namespace chicory;
using chicory::platform::applyContracts;
using token::BalancingOptions;

class ContractsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ContractsTest);
  CPPUNIT_TEST(turnsOnWhatAContractAsksFor);
  CPPUNIT_TEST(turnsNothingOff);
  CPPUNIT_TEST_SUITE_END();

  static BalancingOptions optionsFor(const std::vector<std::string> &contracts,
                                     BalancingOptions options = {}) {
    applyContracts(contracts, options);
    return options;
  }

  // Guards against a deployment that is served otherwise than before although
  // no contract of its own asks for it.
  void turnsOnWhatAContractAsksFor() {
    const BalancingOptions all{.OutlierDetection = true,
                               .PriorityAdmission = true,
                               .OverloadReadiness = true};
    const BalancingOptions admission{.PriorityAdmission = true};
    expectTrue(optionsFor({}) == BalancingOptions{}, "without contracts");
    expectTrue(optionsFor({"base", "healthy", "Health", ""}) ==
                   BalancingOptions{},
               "unknown contracts are ignored");
    expectTrue(optionsFor({"health"}) == all, "wrong health");
    expectTrue(optionsFor({"pressure"}) == admission, "pressure");
    expectTrue(optionsFor({"base", "pressure", "x", "health"}) == all,
               "both, among others");
  }

  // Guards against a contract that overrides what the settings turn on.
  void turnsNothingOff() {
    const BalancingOptions detection{.OutlierDetection = true};
    expectTrue(optionsFor({}, detection) == detection, "without contracts");
    expectTrue(optionsFor({"pressure"}, detection) ==
                   BalancingOptions{.OutlierDetection = true,
                                    .PriorityAdmission = true},
               "with a contract that does not ask for it");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ContractsTest);
