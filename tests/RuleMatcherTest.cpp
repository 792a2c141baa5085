#include "chicorybank/rules/RuleMatcher.h"

#include "Story.h"

using namespace story;
using chicory::FlowKey;
using chicory::PortRange;
using chicory::Prefix;
using chicory::Rule;
using chicory::RuleMatcher;

namespace {

// Few distinct values, so that rules overlap and match the flows.
rc::Gen<Prefix> anyPrefix() {
  return rc::gen::map(
      rc::gen::pair(rc::gen::inRange<uint32_t>(0, 4),
                    rc::gen::element<uint8_t>(0, 8, 24, 31, 32)),
      [](const std::pair<uint32_t, uint8_t> &it) {
        uint32_t ip = 0x0a000000 + it.first;
        return Prefix{.Ip = ip & chicory::prefixMask(it.second),
                      .Length = it.second};
      });
}

rc::Gen<PortRange> anyRange() {
  return rc::gen::map(rc::gen::pair(rc::gen::inRange<uint16_t>(0, 40),
                                    rc::gen::inRange<uint16_t>(0, 40)),
                      [](const std::pair<uint16_t, uint16_t> &it) {
                        return PortRange{.First = std::min(it.first, it.second),
                                         .Last = std::max(it.first, it.second)};
                      });
}

rc::Gen<Rule> anyRule() {
  return rc::gen::build<Rule>(
      rc::gen::set(&Rule::Sources,
                   rc::gen::resize(3, rc::gen::container<std::vector<Prefix>>(
                                          anyPrefix()))),
      rc::gen::set(&Rule::Destinations,
                   rc::gen::resize(3, rc::gen::container<std::vector<Prefix>>(
                                          anyPrefix()))),
      rc::gen::set(
          &Rule::Ports,
          rc::gen::resize(
              3, rc::gen::container<std::vector<PortRange>>(anyRange()))),
      rc::gen::set(&Rule::Protocol, rc::gen::element<uint8_t>(0, 6, 17)));
}

FlowKey anyFlow() {
  return {.Source = {.Ip = 0x0a000000 + *rc::gen::inRange<uint32_t>(0, 5)},
          .Destination = {.Ip = 0x0a000000 + *rc::gen::inRange<uint32_t>(0, 5),
                          .Port = *rc::gen::inRange<uint16_t>(0, 45)},
          .Protocol = *rc::gen::element<uint8_t>(6, 17, 1)};
}

} // namespace

class RuleMatcherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RuleMatcherTest);
  CPPUNIT_TEST(findsTheFirstOfOverlappingRules);
  CPPUNIT_TEST(matchesEveryPortOfARange);
  CPPUNIT_TEST(agreesWithALinearScan);
  CPPUNIT_TEST_SUITE_END();

  void findsTheFirstOfOverlappingRules() {
    Rule narrow{.Destinations = {{.Ip = 0x0a010001, .Length = 32}}};
    Rule wide{.Destinations = {{.Ip = 0x0a000000, .Length = 8}}};
    FlowKey flow{.Destination = {.Ip = 0x0a010001, .Port = 443}};
    section("the narrow rule first", [&] {
      expectEqual<uint32_t>(0, *RuleMatcher({narrow, wide}).firstMatch(flow));
    });
    section("the wide rule first", [&] {
      expectEqual<uint32_t>(0, *RuleMatcher({wide, narrow}).firstMatch(flow));
    });
    section("no rule at all", [&] {
      expectTrue(!RuleMatcher({}).firstMatch(flow), "nothing matches");
    });
  }

  void matchesEveryPortOfARange() {
    RuleMatcher matcher({{.Ports = {{.First = 1000, .Last = 65535}}}});
    for (uint32_t port = 0; port <= UINT16_MAX; ++port) {
      FlowKey flow{.Destination = {.Port = static_cast<uint16_t>(port)}};
      expectEqual(port >= 1000, matcher.firstMatch(flow).has_value());
    }
  }

  void agreesWithALinearScan() {
    property("the result equals the first match of a linear scan", [] {
      auto rules = *rc::gen::container<std::vector<Rule>>(anyRule());
      RuleMatcher matcher(rules);
      for (int n = 0; n < 20; ++n) {
        FlowKey flow = anyFlow();
        std::optional<uint32_t> expected;
        for (uint32_t i = 0; i < rules.size() && !expected; ++i)
          if (matches(rules[i], flow))
            expected = i;
        RC_ASSERT(matcher.firstMatch(flow) == expected);
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RuleMatcherTest);
