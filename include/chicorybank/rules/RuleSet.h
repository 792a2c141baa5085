// The operators' rule set: ordered rules and the services that they name.
//
// A rule set is read from TOML (`RuleFile.h`), kept in the platform as pages
// (`RulePages.h`) and compiled for use (`RuleMatcher.h`).

#ifndef CHICORYBANK_RULES_RULESET_H
#define CHICORYBANK_RULES_RULESET_H

#include "chicorybank/base/Types.h"

#include <memory>
#include <string>
#include <vector>

namespace chicory {

/// An IPv4 prefix; a length of zero covers every address.
struct Prefix {
  uint32_t Ip = 0;
  uint8_t Length = 0;

  auto operator<=>(const Prefix &) const = default;
};

/// Both ends belong to the range.
struct PortRange {
  uint16_t First = 0;
  uint16_t Last = UINT16_MAX;

  auto operator<=>(const PortRange &) const = default;
};

/// "When this traffic matches, send it there". An empty list matches all.
struct Rule {
  std::string Name;
  std::vector<Prefix> Sources;
  std::vector<Prefix> Destinations;
  std::vector<PortRange> Ports;
  /// The IP protocol number; zero stands for any.
  uint8_t Protocol = 0;
  /// Where the traffic goes; the zero id refuses it.
  ServiceId Service;

  bool operator==(const Rule &) const = default;
};

/// One address of a service. Its id is its address.
struct Target {
  TargetId Id;
  std::string Zone;
  /// Its share of new flows, against the others of its service.
  uint16_t Weight = 1;
  /// The operators have asked it to be left alone by new work.
  bool Drain = false;

  bool operator==(const Target &) const = default;
};

/// A named group of targets.
struct Service {
  std::string Name;
  ServiceId Id;
  /// How many requests one target runs at the same time.
  uint16_t Slots = 2;
  /// How many flows one target holds.
  uint32_t Connections = 2000;
  std::vector<Target> Targets;

  bool operator==(const Service &) const = default;
};

/// A whole rule set. Immutable once it has been accepted.
struct RuleSet {
  RuleVersion Version;
  /// Chosen by who submitted it; tells a lost answer from a lost race.
  std::string SubmissionId;
  std::vector<Rule> Rules;
  std::vector<Service> Services;

  bool operator==(const RuleSet &) const = default;
  /// The service with this id, or null.
  const Service *findService(ServiceId id) const;
  /// The service with this name, or null.
  const Service *findService(std::string_view name) const;
};

/// The mask of a prefix length.
inline uint32_t prefixMask(uint8_t length) {
  return length == 0 ? 0 : ~uint32_t{0} << (32 - length);
}

/// True where the rule matches the flow. This is the definition that the
/// compiled matcher is tested against.
bool matches(const Rule &rule, const FlowKey &key);

} // namespace chicory

#endif
