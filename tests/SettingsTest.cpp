#include "chicorybank/daemon/Settings.h"

#include "Story.h"

#include <fstream>
#include <sstream>

using namespace story;
using namespace std::chrono_literals;
using chicory::Findings;
using chicory::readSettings;

namespace {

constexpr const char *ValidSettings = R"([instance]
id = 1
zone = "gikondo"
packets = "127.0.0.1:7000"
peers = "127.0.0.1:7001"
admin = "127.0.0.1:7002"
[fabric]
address = "127.0.0.1:9000"
[platform]
servers = ["127.0.0.1:2379"]
[peers]
key = "0123456789abcdef"
)";

std::string findingsOf(const std::string &text) {
  Findings findings;
  readSettings(text, "s.toml", findings);
  return findings.text();
}

} // namespace

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(readsAFile);
  CPPUNIT_TEST(reportsEveryFinding);
  CPPUNIT_TEST(readsTheSample);
  CPPUNIT_TEST_SUITE_END();

  void readsAFile() {
    Findings findings;
    auto settings = readSettings(std::string(ValidSettings) +
                                     "[times]\nheartbeat = \"250ms\"\n",
                                 "s.toml", findings);
    expectEqual<std::string>("", findings.text());
    expectTrue(settings->Core.Membership.HeartbeatInterval == 250ms,
               "the heartbeat is 250 ms");
    expectEqual<uint16_t>(7001, settings->Self.Peers.Port);
  }

  void reportsEveryFinding() {
    section("unknown keys, wrong units, values out of range", [] {
      std::string text = findingsOf(std::string(ValidSettings) + R"([times]
heartbeat = "250"
lease = "100ms"
hartbeat = "1s"
[limits]
max_flows = -4
retry_percent = "ten"
[log]
level = "loud"
)");
      expectEqual<std::string>(
          "s.toml:19:17: retry_percent: expected a whole number\n",
          text.substr(text.find("s.toml:19"),
                      std::string("s.toml:19:17: retry_percent: expected a "
                                  "whole number\n")
                          .size()));
      for (const char *it :
           {"s.toml:14:13: heartbeat: expected a time with its unit",
            "s.toml:15:9: lease: must be at least twice heartbeat",
            "s.toml:16:12: unknown key \"hartbeat\"",
            "s.toml:18:13: max_flows: is -4, expected 100 to 20000000",
            "s.toml:21:9: level: expected debug, info, warning or error"})
        expectTrue(text.find(it) != std::string::npos,
                   std::string(it) + " in\n" + text);
    });
    section("missing tables", [] {
      std::string text = findingsOf("");
      for (const char *it : {"instance", "fabric", "platform", "peers"})
        expectTrue(text.find(std::string(it) + ": the table is missing") !=
                       std::string::npos,
                   it);
    });
    section("a short key", [] {
      std::string text = ValidSettings;
      text.replace(text.find("0123456789abcdef"), 16, "short");
      expectEqual<std::string>("s.toml:12:7: key: is shorter than 16 bytes\n",
                               findingsOf(text));
    });
  }

  void readsTheSample() {
    std::ifstream in(CHICORY_SOURCE_DIR "/samples/chicoryd.toml");
    std::ostringstream text;
    text << in.rdbuf();
    expectEqual<std::string>("", findingsOf(text.str()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);
