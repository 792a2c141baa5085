#include "chicorybank/rules/RulePages.h"

#include "Samples.h"
#include "Story.h"

using namespace story;
using chicory::PageStore;
using chicory::RuleManifest;
using chicory::RuleSet;

namespace {

RuleSet manyRules(uint32_t count) {
  RuleSet out = samples::ruleSet(1);
  for (uint32_t i = 0; i < count; ++i)
    out.Rules.push_back({.Name = "rule " + std::to_string(i),
                         .Sources = {{.Ip = i << 8, .Length = 24}}});
  return out;
}

} // namespace

class RulePagesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RulePagesTest);
  CPPUNIT_TEST(reassemblesAnEqualRuleSet);
  CPPUNIT_TEST(sharesPagesBetweenVersions);
  CPPUNIT_TEST(refusesMissingAndDamagedPages);
  CPPUNIT_TEST(refusesInvalidBytes);
  CPPUNIT_TEST_SUITE_END();

  void reassemblesAnEqualRuleSet() {
    RuleSet rules = manyRules(500);
    rules.Services[0].Targets[1].Drain = true;
    PageStore pages;
    RuleManifest manifest = paginate(rules, pages);
    auto again = assemble(manifest, pages);
    expectTrue(again.has_value() && *again == rules,
               "the assembled rule set is equal");
    auto decoded = chicory::decodeManifest(encodeManifest(manifest));
    expectTrue(decoded.has_value() && *decoded == manifest,
               "the decoded manifest is equal");
  }

  void sharesPagesBetweenVersions() {
    PageStore pages;
    RuleSet rules = manyRules(2000);
    RuleManifest before = paginate(rules, pages);
    size_t count = pages.size();
    section("one rule is inserted at the front", [&] {
      rules.Rules.insert(rules.Rules.begin(), {.Name = "new"});
      paginate(rules, pages);
      expectTrue(pages.size() <= count + 2,
                 "at most two new pages, got " +
                     std::to_string(pages.size() - count));
    });
  }

  void refusesMissingAndDamagedPages() {
    PageStore pages;
    RuleManifest manifest = paginate(manyRules(100), pages);
    section("a missing page", [&] {
      PageStore fewer = pages;
      fewer.erase(fewer.begin());
      expectTrue(!assemble(manifest, fewer), "it is refused");
    });
    section("a damaged page", [&] {
      PageStore damaged = pages;
      damaged.begin()->second.append('x');
      expectTrue(!assemble(manifest, damaged), "it is refused");
    });
  }

  void refusesInvalidBytes() {
    property("any bytes are decoded or refused without a crash", [] {
      auto bytes = *rc::gen::arbitrary<std::string>();
      (void)chicory::decodeManifest(QByteArray::fromStdString(bytes));
      PageStore pages;
      chicory::PageId id = chicory::pageIdOf(QByteArray::fromStdString(bytes));
      pages[id] = QByteArray::fromStdString(bytes);
      (void)assemble({.RulePages = {id}}, pages);
      (void)assemble({.ServicePages = {id}}, pages);
    });
    property("a truncated page is refused", [] {
      PageStore pages;
      RuleManifest manifest = paginate(manyRules(20), pages);
      QByteArray page = pages[manifest.RulePages[0]];
      page.truncate(*rc::gen::inRange<int>(0, static_cast<int>(page.size())));
      chicory::PageId id = chicory::pageIdOf(page);
      RC_ASSERT(
          !chicory::assemble({.RulePages = {id}}, {{id, page}}).has_value());
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RulePagesTest);
