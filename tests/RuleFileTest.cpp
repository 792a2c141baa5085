#include "chicorybank/rules/RuleFile.h"

#include "Samples.h"
#include "Story.h"

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace story;
using chicory::Findings;
using chicory::readRuleFile;

namespace {

std::string findingsOf(const std::string &text) {
  Findings findings;
  readRuleFile(text, "r.toml", findings);
  return findings.text();
}

constexpr const char *ValidRules = R"([[services]]
name = "records"
[[services.targets]]
address = "10.0.0.1:80"
zone = "gikondo"
[[rules]]
name = "all"
[rules.then]
service = "records"
)";

} // namespace

class RuleFileTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RuleFileTest);
  CPPUNIT_TEST(readsAFile);
  CPPUNIT_TEST(reportsEveryFindingWithItsPlace);
  CPPUNIT_TEST(rejectsATargetOfTwoServices);
  CPPUNIT_TEST(readsBackWhatItWrites);
  CPPUNIT_TEST(readsAllSamples);
  CPPUNIT_TEST_SUITE_END();

  void readsAFile() {
    Findings findings;
    auto rules = readRuleFile(ValidRules, "r.toml", findings);
    expectEqual<std::string>("", findings.text());
    expectEqual<size_t>(1, rules->Services[0].Targets.size());
    expectTrue(rules->Rules[0].Service == rules->Services[0].Id,
               "the rule refers to the service");
  }

  void reportsEveryFindingWithItsPlace() {
    section("several errors in one file", [] {
      std::string text = findingsOf(R"([[services]]
name = "records"
slots = 0
colour = "green"
[[rules]]
name = "x"
[rules.when]
sources = ["10.0.0.0/33", "10.0.0.1/8"]
ports = ["9-3"]
[rules.then]
service = "nowhere"
)");
      expectEqual<std::string>(
          "r.toml:3:9: slots: is 0, expected 1 to 1000\n"
          "r.toml:4:10: unknown key \"colour\"\n"
          "r.toml:8:12: sources: \"10.0.0.0/33\" is no IP prefix, or has bits "
          "set after it\n"
          "r.toml:8:27: sources: \"10.0.0.1/8\" is no IP prefix, or has bits "
          "set after it\n"
          "r.toml:9:10: ports: \"9-3\" is no port or port range\n"
          "r.toml:11:11: service: no service is named \"nowhere\"\n",
          text);
    });
    section("broken syntax", [] {
      expectTrue(findingsOf("[[rules").starts_with("r.toml:1:"),
                 "the finding has a line number");
    });
    section("an empty file", [] {
      expectEqual<std::string>(
          "r.toml:1:1: rules: at least one rule is needed\n", findingsOf(""));
    });
  }

  // Guards against packets for "records" that reach "certificates" because a
  // target is listed under both services: a target distinguishes packets only
  // by their flow.
  void rejectsATargetOfTwoServices() {
    std::string text = std::string(ValidRules) + R"([[services]]
name = "certificates"
[[services.targets]]
address = "10.0.0.1:80"
zone = "gikondo"
)";
    expectTrue(findingsOf(text).find("already a target of \"records\"") !=
                   std::string::npos,
               "the finding names the other service");
  }

  void readsBackWhatItWrites() {
    chicory::RuleSet rules = samples::ruleSet(3);
    rules.Services[0].Targets[2].Drain = true;
    rules.Rules[0].Sources = {{.Ip = 0x0a000000, .Length = 8}};
    rules.Rules[1].Ports = {{.First = 80, .Last = 90}};
    rules.Rules.push_back({.Name = "a \"quoted\" name", .Protocol = 6});
    Findings findings;
    auto again = readRuleFile(writeRuleFile(rules), "r.toml", findings);
    expectEqual<std::string>("", findings.text());
    expectTrue(again->Rules == rules.Rules, "the rules are equal");
    expectTrue(again->Services == rules.Services, "the services are equal");
  }

  void readsAllSamples() {
    int count = 0;
    std::filesystem::path folder(CHICORY_SOURCE_DIR "/samples");
    for (const auto &it : std::filesystem::directory_iterator(folder)) {
      if (it.path().filename().string().find("rules") == std::string::npos)
        continue;
      std::ifstream in(it.path());
      std::ostringstream text;
      text << in.rdbuf();
      expectEqual<std::string>("", findingsOf(text.str()));
      ++count;
    }
    expectTrue(count >= 3, "at least three samples are read");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RuleFileTest);
