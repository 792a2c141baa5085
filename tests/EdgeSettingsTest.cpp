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

/// Puts a value in place of each placeholder.
void fillIn(std::string &text, const std::string &placeholder,
            const std::string &value) {
  for (size_t at = text.find(placeholder); at != std::string::npos;
       at = text.find(placeholder, at + value.size()))
    text.replace(at, placeholder.size(), value);
}

std::string findingsOf(const std::string &text) {
  Findings findings;
  expectTrue(!read(text, findings), "it is refused");
  return findings.text();
}

} // namespace

class EdgeSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EdgeSettingsTest);
  CPPUNIT_TEST(readsAFile);
  CPPUNIT_TEST(reportsEveryFinding);
  CPPUNIT_TEST(keepsItsTimesWithinTheDeploymentsBounds);
  CPPUNIT_TEST(readsTheTemplateOnceFilledIn);
  CPPUNIT_TEST(takesOverWhatARunningInstanceCan);
  CPPUNIT_TEST(switchesMechanismsOff);
  CPPUNIT_TEST(refusesCharactersBetweenValues);
  CPPUNIT_TEST_SUITE_END();

  // Symptom: a program ends while it reads its settings, or reads them wrong.
  // Sequence: a no-break space was pasted before a value.
  // Cause: the TOML library is undefined for some characters there.
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

  void switchesMechanismsOff() {
    Findings findings;
    expectTrue(disabledMechanisms(*read(Good, findings)).empty(), "all are on");
    auto without = read(Good + "[mechanisms]\nprobes = false\n"
                               "suspicion = true\n",
                        findings);
    expectTrue(disabledMechanisms(*without) ==
                   std::vector<std::string>{"probes"},
               "this one alone");
    expectTrue(!without->Core.Enabled.Probes && without->Core.Enabled.Suspicion,
               "as the core has it");
    std::string text =
        findingsOf(Good + "[mechanisms]\nprobing = false\nprobes = 1\n");
    expectTrue(text.find("probing") != std::string::npos, text);
    expectTrue(text.find("probes") != std::string::npos, text);
  }

  void readsAFile() {
    Findings findings;
    auto settings = read(Good, findings);
    expectEqual<std::string>("", findings.text());
    expectEqual<std::string>("gikondo", settings->Core.Zone);
    expectEqual<uint16_t>(7720, settings->Peers.Port);
    expectTrue(settings->Watcher.PollInterval == 500ms,
               "a sixth of the time to apply");
    expectTrue(settings->StopDelay == 2500ms, "the routers turn away first");
  }

  void reportsEveryFinding() {
    std::string text = findingsOf(replaced("\"10.1.0.10:8172\"", "\"here\"") +
                                  "gracee = \"1s\"\n");
    expectTrue(text.find("edge.toml:6") != std::string::npos, text);
    expectTrue(text.find("packets") != std::string::npos, text);
    expectTrue(text.find("gracee") != std::string::npos, text);
    expectTrue(!findingsOf("").empty(), "an empty file lacks everything");
    expectTrue(!findingsOf("[").empty(), "no TOML");
  }

  void keepsItsTimesWithinTheDeploymentsBounds() {
    Findings findings;
    // A gap has to be noticed before registrations that lapsed in it are taken
    // for ended: one and a half paces at most.
    auto usual = read(Good, findings);
    expectTrue(usual->Core.UpdateGap > usual->Watcher.PollInterval &&
                   usual->Core.UpdateGap <= usual->Watcher.PollInterval * 3 / 2,
               "a gap is little more than a pace");
    auto hasty = read(replaced("3000ms", "1500.5ms"), findings);
    expectTrue(hasty && hasty->Watcher.PollInterval < 260ms, "a shorter pace");
    auto brief = read(replaced("\"6s\"", "\"1.5s\""), findings);
    expectTrue(brief && brief->StopDelay <= 750ms, "an earlier end");
    expectEqual<std::string>("", findings.text());
  }

  void takesOverWhatARunningInstanceCan() {
    Findings findings;
    auto inUse = read(Good, findings);
    auto fresh = read(replaced("\"6s\"", "\"4s\""), findings);
    fresh->Zone = "remera";
    auto change = applyChanges(*inUse, *fresh);
    expectTrue(change.Applied == std::vector<std::string>{"times.grace"},
               "the grace time");
    expectTrue(change.AfterRestart == std::vector<std::string>{"instance.zone"},
               "the zone needs a restart");
    expectTrue(inUse->Grace == 4s && inUse->Zone == "gikondo",
               "and is not changed halfway");
  }

  // The template itself, with a value for each placeholder.
  void readsTheTemplateOnceFilledIn() {
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
             {"bounds.grace_s", "6"}})
      fillIn(filled, "{{" + std::string(key) + "}}", value);
    Findings findings;
    expectTrue(read(filled, findings).has_value(), findings.text());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EdgeSettingsTest);
