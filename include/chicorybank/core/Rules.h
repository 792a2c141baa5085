// The rule sets of a core: the newest one and a short history.
//
// When a packet arrives for a flow without state, the history gives the
// services that the flow may have been opened to. Versions only increase: a
// rule set that is older than the newest known one is never applied.

#ifndef CHICORYBANK_CORE_RULES_H
#define CHICORYBANK_CORE_RULES_H

#include "chicorybank/rules/RuleMatcher.h"
#include "chicorybank/rules/RuleSet.h"

#include <deque>
#include <memory>
#include <unordered_map>

namespace chicory {

/// A rule set with its lookup structures. Built outside the core's thread;
/// shared and immutable.
class CompiledRules {
public:
  explicit CompiledRules(RuleSet rules);

  RuleVersion version() const { return Set.Version; }
  const RuleSet &set() const { return Set; }
  /// Returns the first rule that matches, or null.
  const Rule *match(const FlowKey &key) const;
  const RuleMatcher &matcher() const { return Matcher; }
  /// Returns the service with this id, or null.
  const Service *service(ServiceId id) const;
  /// Returns the service that has this target, or null.
  const Service *serviceOfTarget(TargetId target) const;

private:
  RuleSet Set;
  RuleMatcher Matcher;
  std::unordered_map<ServiceId, const Service *> ById;
  std::unordered_map<TargetId, const Service *> ByTarget;
};

/// Shared ownership: the core, the metrics and a peer's request for the rule
/// set may use the same version at once.
using CompiledRulesPtr = std::shared_ptr<const CompiledRules>;

/// A rule set that is no longer the newest, reduced to the service of each flow
/// and of each target. Without names, zones and weights it needs far less
/// memory.
class PastRules {
public:
  explicit PastRules(const CompiledRules &rules);

  /// Returns the service of a flow; zero if it had none.
  ServiceId serviceOf(const FlowKey &key) const;
  /// Returns the targets of a service.
  std::vector<TargetId> targetsOf(ServiceId service) const;
  /// Returns the service of a target; zero if it had none. Linear in the number
  /// of targets.
  ServiceId serviceOfTarget(TargetId target) const;

private:
  struct TargetOfService {
    ServiceId Service;
    TargetId Id;
  };

  RuleMatcher Matcher;
  std::vector<ServiceId> ServiceOfRule;
  /// Sorted by service.
  std::vector<TargetOfService> Targets;
};

/// The newest rule set and its predecessors.
class RuleHistory {
public:
  /// `depth` is how many versions are kept, including the newest.
  explicit RuleHistory(size_t depth) : Depth(depth) {}

  /// Applies a rule set. Returns false if it is not newer.
  bool learn(CompiledRulesPtr rules);
  /// Returns the newest rule set, or null.
  const CompiledRules *newest() const;
  /// Returns the version of the newest rule set, or zero.
  RuleVersion version() const;
  /// Returns every service that a kept version assigns to this flow, without
  /// duplicates, newest version first.
  std::vector<ServiceId> servicesOf(const FlowKey &key) const;
  /// Returns every target of a service in any kept version, without duplicates.
  std::vector<TargetId> targetsOf(ServiceId service) const;
  /// Returns the service of a target in the newest version that has it; zero if
  /// none does.
  ServiceId serviceOfTarget(TargetId target) const;

private:
  size_t Depth;
  CompiledRulesPtr Newest;
  /// Most recent first; the newest rule set itself is not included.
  std::deque<PastRules> Past;
};

} // namespace chicory

#endif
