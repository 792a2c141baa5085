// The operators' rule set: ordered rules and the services that they refer to.
//
// A rule set is read from TOML (`RuleFile.h`), stored in the platform as pages
// (`RulePages.h`) and compiled for lookups (`RuleMatcher.h`).

#ifndef CHICORYBANK_RULES_RULESET_H
#define CHICORYBANK_RULES_RULESET_H

#include "chicorybank/base/Types.h"

#include <memory>
#include <string>
#include <vector>

namespace chicory {

/// An IPv4 prefix. A length of zero matches every address.
struct Prefix {
  uint32_t Ip = 0;
  uint8_t Length = 0;

  auto operator<=>(const Prefix &) const = default;
};

/// A range of ports that includes both ends.
struct PortRange {
  uint16_t First = 0;
  uint16_t Last = UINT16_MAX;

  auto operator<=>(const PortRange &) const = default;
};

/// Sends the traffic that it matches to a service, or refuses it. An empty list
/// matches everything.
struct Rule {
  std::string Name;
  std::vector<Prefix> Sources;
  std::vector<Prefix> Destinations;
  std::vector<PortRange> Ports;
  /// The IP protocol number; zero matches any.
  uint8_t Protocol = 0;
  /// The service that receives the traffic; id zero refuses the traffic.
  ServiceId Service;

  bool operator==(const Rule &) const = default;
};

/// One backend server of a service. Its id is its address.
struct Target {
  TargetId Id;
  std::string Zone;
  /// Its share of new flows, relative to the other targets of its service.
  uint16_t Weight = 1;
  /// Whether the operators drain this target: it receives no new work.
  bool Drain = false;

  bool operator==(const Target &) const = default;
};

/// A named group of targets.
struct Service {
  std::string Name;
  ServiceId Id;
  /// The number of requests that one target runs concurrently.
  uint16_t Slots = 2;
  /// The maximum number of flows of one target.
  uint32_t Connections = 2000;
  std::vector<Target> Targets;

  bool operator==(const Service &) const = default;
};

/// A complete rule set. Immutable once it has been accepted.
struct RuleSet {
  RuleVersion Version;
  /// Chosen by the submitter. It distinguishes a lost response from a conflict
  /// with another submission.
  std::string SubmissionId;
  std::vector<Rule> Rules;
  std::vector<Service> Services;

  bool operator==(const RuleSet &) const = default;
  /// Returns the service with this id, or null.
  const Service *findService(ServiceId id) const;
  /// Returns the service with this name, or null.
  const Service *findService(std::string_view name) const;
};

/// Returns the mask of a prefix length.
inline uint32_t prefixMask(uint8_t length) {
  return length == 0 ? 0 : ~uint32_t{0} << (32 - length);
}

/// Returns whether the rule matches the flow. This is the reference that
/// `RuleMatcher` is tested against.
bool matches(const Rule &rule, const FlowKey &key);

} // namespace chicory

#endif
