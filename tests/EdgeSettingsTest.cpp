#include "chicorybank/edge/Settings.h"

#include "Story.h"

#include <fstream>
#include <sstream>

using namespace story;
using namespace std::chrono_literals;
using chicory::Findings;
using chicory::edge::EdgeSettings;
using chicory::edge::readEdgeSettings;

namespace {

const std::string Good = R"([instance]
name = "front-1"
zone = "gikondo"
ip = "10.1.0.10"
[listen]
packets = "10.1.0.10:8172"
ready = "10.1.0.10:8167"
peer_port = 7720
[registry]
address = "10.200.1.7:8169"
[times]
apply_within = "3000ms"
max_flow_age = "60s"
grace = "6s"
)";

std::optional<EdgeSettings> read(const std::string &text, Findings &findings) {
  return readEdgeSettings(text, "edge.toml", findings);
}

std::string replaced(const std::string &from, const std::string &to) {
  std::string out = Good;
  return out.replace(out.find(from), from.size(), to);
}

/// Replaces each occurrence of a placeholder with a value.
void fillIn(std::string &text, const std::string &placeholder,
            const std::string &value) {
  for (size_t at = text.find(placeholder); at != std::string::npos;
       at = text.find(placeholder, at + value.size()))
    text.replace(at, placeholder.size(), value);
}

std::string findingsOf(const std::string &text) {
  Findings findings;
  expectTrue(!read(text, findings), "the settings are refused");
  return findings.text();
}

} // namespace

class EdgeSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EdgeSettingsTest);
  CPPUNIT_TEST(readsAFile);
  CPPUNIT_TEST(reportsEveryFinding);
  CPPUNIT_TEST(derivesTimesFromTheDeploymentsBounds);
  CPPUNIT_TEST(readsTheFilledInTemplate);
  CPPUNIT_TEST(appliesChangesThatNeedNoRestart);
  CPPUNIT_TEST(disablesMechanisms);
  CPPUNIT_TEST(readsWhatBalancingTurnsOn);
  CPPUNIT_TEST(keepsBalancingUntilARestart);
  CPPUNIT_TEST(refusesCharactersBetweenValues);
  CPPUNIT_TEST(refusesCharactersAfterMisplacedQuotes);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a crash or wrong values when a no-break space was pasted
  // before a value: the TOML library has undefined behaviour for some
  // characters there.
  void refusesCharactersBetweenValues() {
    std::string space = replaced("peer_port = 7720", "peer_port =\u00a07720");
    expectEqual<std::string>("edge.toml:8:12: only strings and comments may "
                             "have characters beyond ASCII\n",
                             findingsOf(space));
    expectTrue(!findingsOf("[in\xef\xbb\xbd[").empty(), "in a bare key");
    Findings findings;
    auto named =
        read(replaced("\"gikondo\"", "\"Šiška \\\" – é\"") + "# é\n", findings);
    expectEqual<std::string>("", findings.text());
    expectEqual<std::string>("Šiška \" – é", named->Zone);
  }

  // Guards against the same undefined behaviour when quotes within a value
  // without quotes make the rest of the file look like a string.
  void refusesCharactersAfterMisplacedQuotes() {
    for (const char *quotes : {"'", "\"", "\"\"\"\"\"", "'''"}) {
      std::string found = findingsOf(std::string("[instance]\nname =+/") +
                                     quotes + "\xef\xbb\xbd[");
      expectTrue(found.starts_with("edge.toml:2:"), found);
    }
  }

  void disablesMechanisms() {
    Findings findings;
    expectTrue(disabledMechanisms(*read(Good, findings)).empty(),
               "all mechanisms are enabled");
    auto without = read(Good + "[mechanisms]\nprobes = false\n"
                               "suspicion = true\n",
                        findings);
    expectTrue(disabledMechanisms(*without) ==
                   std::vector<std::string>{"probes"},
               "only this mechanism is disabled");
    expectTrue(!without->Core.Enabled.Probes && without->Core.Enabled.Suspicion,
               "the core's options agree");
    std::string text =
        findingsOf(Good + "[mechanisms]\nprobing = false\nprobes = 1\n");
    expectTrue(text.find("probing") != std::string::npos, text);
    expectTrue(text.find("probes") != std::string::npos, text);
  }

  // Guards against a deployment that is served otherwise than before although
  // its settings do not ask for it, and against a flag that is silently off.
  void readsWhatBalancingTurnsOn() {
    using chicory::token::BalancingOptions;
    Findings findings;
    expectTrue(read(Good, findings)->Core.Balancing == BalancingOptions{},
               "all off by default");
    for (auto [key, expected] :
         std::initializer_list<std::pair<std::string, BalancingOptions>>{
             {"outlier_detection", {.OutlierDetection = true}},
             {"priority_admission", {.PriorityAdmission = true}},
             {"overload_readiness", {.OverloadReadiness = true}}}) {
      std::string section = Good;
      section.append("[balancing]\n").append(key);
      auto settings = read(section + " = true\n", findings);
      expectEqual<std::string>("", findings.text());
      expectTrue(settings->Core.Balancing == expected, key);
      std::string text = findingsOf(section + " = \"yes\"\n");
      expectTrue(text.starts_with("edge.toml:16:") &&
                     text.find(key) != std::string::npos,
                 text);
    }
    std::string text = findingsOf(Good + "[balancing]\noutliers = true\n");
    expectTrue(text.starts_with("edge.toml:16:"), text);
    text = findingsOf(Good + "[balancing]\ncontracts = [\"health\", 1]\n");
    expectTrue(text.starts_with("edge.toml:16:"), text);
  }

  // Guards against an operator who believes that a changed flag is in force:
  // the packet thread has its own copy of the settings.
  void keepsBalancingUntilARestart() {
    Findings findings;
    auto inUse = read(Good, findings);
    auto fresh =
        read(Good + "[balancing]\noutlier_detection = true\n", findings);
    auto change = applyChanges(*inUse, *fresh);
    expectTrue(change.Applied.empty(), "nothing is applied");
    expectTrue(change.AfterRestart == std::vector<std::string>{"balancing"},
               "a restart is needed");
    expectTrue(!inUse->Core.Balancing.OutlierDetection, "still off");
  }

  void readsAFile() {
    Findings findings;
    auto settings = read(Good, findings);
    expectEqual<std::string>("", findings.text());
    expectEqual<std::string>("gikondo", settings->Core.Zone);
    expectEqual<uint16_t>(7720, settings->Peers.Port);
    expectTrue(settings->Watcher.PollInterval == 500ms,
               "a sixth of the time to apply");
    expectTrue(settings->StopDelay == 2500ms, "the routers stop sending first");
  }

  void reportsEveryFinding() {
    std::string text = findingsOf(replaced("\"10.1.0.10:8172\"", "\"here\"") +
                                  "gracee = \"1s\"\n");
    expectTrue(text.find("edge.toml:6") != std::string::npos, text);
    expectTrue(text.find("packets") != std::string::npos, text);
    expectTrue(text.find("gracee") != std::string::npos, text);
    expectTrue(!findingsOf("").empty(),
               "an empty file lacks all required keys");
    expectTrue(!findingsOf("[").empty(), "not valid TOML");
  }

  void derivesTimesFromTheDeploymentsBounds() {
    Findings findings;
    // A gap must be detected before registrations that expired in it count as
    // ended, so it is at most one and a half poll intervals.
    auto usual = read(Good, findings);
    expectTrue(usual->Core.UpdateGap > usual->Watcher.PollInterval &&
                   usual->Core.UpdateGap <= usual->Watcher.PollInterval * 3 / 2,
               "a gap is slightly longer than a poll interval");
    auto shorter = read(replaced("3000ms", "1500.5ms"), findings);
    expectTrue(shorter && shorter->Watcher.PollInterval < 260ms,
               "a shorter poll interval");
    auto shortGrace = read(replaced("\"6s\"", "\"1.5s\""), findings);
    expectTrue(shortGrace && shortGrace->StopDelay <= 750ms,
               "a shorter stop delay");
    expectEqual<std::string>("", findings.text());
  }

  void appliesChangesThatNeedNoRestart() {
    Findings findings;
    auto inUse = read(Good, findings);
    auto fresh = read(replaced("\"6s\"", "\"4s\""), findings);
    fresh->Zone = "remera";
    auto change = applyChanges(*inUse, *fresh);
    expectTrue(change.Applied == std::vector<std::string>{"times.grace"},
               "the grace time is applied");
    expectTrue(change.AfterRestart == std::vector<std::string>{"instance.zone"},
               "the zone needs a restart");
    expectTrue(inUse->Grace == 4s && inUse->Zone == "gikondo",
               "the zone in use is unchanged");
  }

  // Reads the deployment's template with a value for each placeholder.
  void readsTheFilledInTemplate() {
    std::ifstream in(CHICORY_SOURCE_DIR "/platform/edge.toml");
    std::ostringstream text;
    text << in.rdbuf();
    std::string filled = text.str();
    for (auto [key, value] :
         std::initializer_list<std::pair<const char *, const char *>>{
             {"node_name", "front-1"},
             {"zone", "gikondo"},
             {"ip", "10.1.0.10"},
             {"listen.datagram_addr", "10.1.0.10:8172"},
             {"listen.ready", "10.1.0.10:8167"},
             {"internal_ports.0", "7720"},
             {"platform.address", "10.200.1.7:8169"},
             {"bounds.config_apply_ms", "3000"},
             {"bounds.max_flow_s", "60"},
             {"bounds.grace_s", "6"},
             {"#contracts}}\"{{.}}\"{{,}}{{/contracts", R"("base", "health")"}})
      fillIn(filled, "{{" + std::string(key) + "}}", value);
    Findings findings;
    auto settings = read(filled, findings);
    expectTrue(settings.has_value(), findings.text());
    expectTrue(settings->Contracts ==
                   std::vector<std::string>{"base", "health"},
               "the deployment's contracts");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EdgeSettingsTest);
