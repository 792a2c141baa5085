#include "chicorybank/rules/RuleFile.h"

#include "chicorybank/base/Hash.h"
#include "chicorybank/base/TomlReader.h"

#include <map>
#include <sstream>

namespace chicory {

namespace {

constexpr uint8_t TcpProtocol = 6;
constexpr uint8_t UdpProtocol = 17;
constexpr uint8_t MaxPrefixLength = 32;
constexpr int64_t MaxWeight = 1000;

std::optional<Prefix> parsePrefix(std::string_view text) {
  size_t slash = text.find('/');
  std::optional<uint32_t> ip = parseIp(text.substr(0, slash));
  uint64_t length = MaxPrefixLength;
  if (slash != std::string_view::npos)
    length = parseNumber(text.substr(slash + 1)).value_or(UINT64_MAX);
  if (!ip || length > MaxPrefixLength)
    return std::nullopt;
  Prefix out{.Ip = *ip, .Length = static_cast<uint8_t>(length)};
  bool hostBits = (out.Ip & ~prefixMask(out.Length)) != 0;
  return hostBits ? std::nullopt : std::optional(out);
}

std::optional<PortRange> parsePorts(std::string_view text) {
  size_t dash = text.find('-');
  std::optional<uint64_t> first = parseNumber(text.substr(0, dash));
  std::optional<uint64_t> last = first;
  if (dash != std::string_view::npos)
    last = parseNumber(text.substr(dash + 1));
  if (!first || !last || *last > UINT16_MAX || *first > *last)
    return std::nullopt;
  return PortRange{.First = static_cast<uint16_t>(*first),
                   .Last = static_cast<uint16_t>(*last)};
}

/// Reads and checks one rule file.
class RuleFileReader {
public:
  RuleFileReader(std::string file, Findings &findings)
      : File(std::move(file)), Faults(findings) {}

  RuleSet read(const toml::table &root);

private:
  void readService(const toml::table &table);
  void readTarget(const toml::table &table, Service &service);
  void readRule(const toml::table &table);
  void readWhen(const toml::table &table, Rule &rule);
  void readThen(const toml::table &table, Rule &rule);
  std::vector<Prefix> readPrefixes(TomlReader &reader, std::string_view key);

  std::string File;
  Findings &Faults;
  RuleSet Rules;
  std::map<TargetId, std::string> TargetOwners;
};

RuleSet RuleFileReader::read(const toml::table &root) {
  TomlReader reader(root, File, Faults);
  for (const toml::table *it : reader.tables("services"))
    readService(*it);
  for (const toml::table *it : reader.tables("rules"))
    readRule(*it);
  if (Rules.Rules.empty())
    reader.addFinding("rules", "at least one rule is needed");
  if (Rules.Rules.size() > MaxRules)
    reader.addFinding("rules", "more than " + std::to_string(MaxRules));
  reader.finish();
  return std::move(Rules);
}

void RuleFileReader::readService(const toml::table &table) {
  TomlReader reader(table, File, Faults);
  Service service;
  service.Name = reader.requiredText("name");
  service.Id = shortServiceId(serviceIdOf(service.Name));
  service.Slots = static_cast<uint16_t>(
      reader.number("slots", service.Slots, {.Min = 1, .Max = 1000}));
  service.Connections = static_cast<uint32_t>(reader.number(
      "connections", service.Connections, {.Min = 1, .Max = 1'000'000}));
  if (Rules.findService(service.Name) != nullptr)
    reader.addFinding("name", "\"" + service.Name + "\" is defined twice");
  else if (Rules.findService(service.Id) != nullptr)
    reader.addFinding("name", "\"" + service.Name +
                                  "\" has the same hash as another service's "
                                  "name; choose another name");
  for (const toml::table *it : reader.tables("targets"))
    readTarget(*it, service);
  if (service.Targets.size() > MaxTargetsPerService)
    reader.addFinding("targets",
                      "more than " + std::to_string(MaxTargetsPerService));
  reader.finish();
  Rules.Services.push_back(std::move(service));
}

void RuleFileReader::readTarget(const toml::table &table, Service &service) {
  TomlReader reader(table, File, Faults);
  Target target{.Id = reader.address("address", true),
                .Zone = reader.requiredText("zone"),
                .Weight = static_cast<uint16_t>(
                    reader.number("weight", 1, {.Min = 1, .Max = MaxWeight})),
                .Drain = reader.flag("drain", false)};
  // If two services shared a target, packets of one could reach the other.
  auto [it, fresh] = TargetOwners.emplace(target.Id, service.Name);
  if (!fresh && target.Id)
    reader.addFinding("address", formatAddress(target.Id) +
                                     " is already a target of \"" + it->second +
                                     "\"");
  reader.finish();
  service.Targets.push_back(std::move(target));
}

std::vector<Prefix> RuleFileReader::readPrefixes(TomlReader &reader,
                                                 std::string_view key) {
  std::vector<Prefix> out;
  for (const auto &[text, place] : reader.texts(key)) {
    std::optional<Prefix> prefix = parsePrefix(text);
    if (prefix)
      out.push_back(*prefix);
    else
      Faults.add(place, std::string(key) + ": \"" + text +
                            "\" is no IP prefix, or has bits set after it");
  }
  return out;
}

void RuleFileReader::readWhen(const toml::table &table, Rule &rule) {
  TomlReader reader(table, File, Faults);
  rule.Sources = readPrefixes(reader, "sources");
  rule.Destinations = readPrefixes(reader, "destinations");
  for (const auto &[text, place] : reader.texts("ports")) {
    std::optional<PortRange> ports = parsePorts(text);
    if (ports)
      rule.Ports.push_back(*ports);
    else
      Faults.add(place, "ports: \"" + text + "\" is no port or port range");
  }
  std::string protocol = reader.text("protocol", "any");
  if (protocol == "tcp")
    rule.Protocol = TcpProtocol;
  else if (protocol == "udp")
    rule.Protocol = UdpProtocol;
  else if (protocol != "any")
    reader.addFinding("protocol", "expected \"tcp\", \"udp\" or \"any\"");
  reader.finish();
}

void RuleFileReader::readThen(const toml::table &table, Rule &rule) {
  TomlReader reader(table, File, Faults);
  std::string name = reader.text("service", {});
  bool refuse = reader.flag("refuse", false);
  if (name.empty() != refuse)
    reader.addFinding("service", "give either a service or refuse = true");
  if (!name.empty()) {
    rule.Service = shortServiceId(serviceIdOf(name));
    if (Rules.findService(name) == nullptr)
      reader.addFinding("service", "no service is named \"" + name + "\"");
  }
  reader.finish();
}

void RuleFileReader::readRule(const toml::table &table) {
  TomlReader reader(table, File, Faults);
  Rule rule;
  rule.Name = reader.requiredText("name");
  if (const toml::table *when = reader.table("when"))
    readWhen(*when, rule);
  if (const toml::table *then = reader.table("then"))
    readThen(*then, rule);
  else
    reader.addFinding("then", "is missing");
  reader.finish();
  Rules.Rules.push_back(std::move(rule));
}

std::string quoted(const std::string &text) {
  std::ostringstream out;
  out << toml::value<std::string>(text);
  return out.str();
}

std::string prefixList(const std::vector<Prefix> &prefixes) {
  std::string out;
  for (const Prefix &it : prefixes) {
    out += out.empty() ? "\"" : ", \"";
    out += formatIp(it.Ip) + '/' + std::to_string(it.Length) + '"';
  }
  return '[' + out + ']';
}

std::string portList(const std::vector<PortRange> &ports) {
  std::string out;
  for (const PortRange &it : ports) {
    out += out.empty() ? "\"" : ", \"";
    out += std::to_string(it.First) + '-' + std::to_string(it.Last) + '"';
  }
  return '[' + out + ']';
}

void writeService(std::ostream &out, const Service &service) {
  out << "[[services]]\nname = " << quoted(service.Name)
      << "\nslots = " << service.Slots
      << "\nconnections = " << service.Connections << "\n";
  for (const Target &it : service.Targets) {
    out << "[[services.targets]]\naddress = \"" << formatAddress(it.Id)
        << "\"\nzone = " << quoted(it.Zone) << "\nweight = " << it.Weight
        << "\n";
    if (it.Drain)
      out << "drain = true\n";
  }
  out << "\n";
}

void writeRule(std::ostream &out, const Rule &rule, const RuleSet &rules) {
  out << "[[rules]]\nname = " << quoted(rule.Name) << "\n[rules.when]\n";
  if (!rule.Sources.empty())
    out << "sources = " << prefixList(rule.Sources) << "\n";
  if (!rule.Destinations.empty())
    out << "destinations = " << prefixList(rule.Destinations) << "\n";
  if (!rule.Ports.empty())
    out << "ports = " << portList(rule.Ports) << "\n";
  if (rule.Protocol != 0)
    out << "protocol = "
        << (rule.Protocol == TcpProtocol ? "\"tcp\"" : "\"udp\"") << "\n";
  out << "[rules.then]\n";
  if (const Service *service = rules.findService(rule.Service))
    out << "service = " << quoted(service->Name) << "\n\n";
  else
    out << "refuse = true\n\n";
}

} // namespace

std::optional<RuleSet> readRuleFile(std::string_view text,
                                    const std::string &file,
                                    Findings &findings) {
  size_t before = findings.items().size();
  std::optional<toml::table> root = parseToml(text, file, findings);
  if (!root)
    return std::nullopt;
  RuleSet rules = RuleFileReader(file, findings).read(*root);
  if (findings.items().size() != before)
    return std::nullopt;
  return rules;
}

std::string writeRuleFile(const RuleSet &rules) {
  std::ostringstream out;
  for (const Service &it : rules.Services)
    writeService(out, it);
  for (const Rule &it : rules.Rules)
    writeRule(out, it, rules);
  return out.str();
}

} // namespace chicory
