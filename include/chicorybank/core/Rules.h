// The rule sets that a core knows: the newest and a short history.
//
// The history answers one question: a packet belongs to a flow of which no
// state is left; to which services may its flow have been opened? Versions
// only rise: an older rule set than the newest known is never taken in.

#ifndef CHICORYBANK_CORE_RULES_H
#define CHICORYBANK_CORE_RULES_H

#include "chicorybank/rules/RuleMatcher.h"
#include "chicorybank/rules/RuleSet.h"

#include <deque>
#include <memory>
#include <unordered_map>

namespace chicory {

/// A rule set ready for decisions. Built outside the core's thread, shared and
/// never changed.
class CompiledRules {
public:
  explicit CompiledRules(RuleSet rules);

  RuleVersion version() const { return Set.Version; }
  const RuleSet &set() const { return Set; }
  /// The first rule that matches, or null.
  const Rule *match(const FlowKey &key) const;
  const RuleMatcher &matcher() const { return Matcher; }
  /// The service with this id, or null.
  const Service *service(ServiceId id) const;
  /// The service that has this target, or null.
  const Service *serviceOfTarget(TargetId target) const;

private:
  RuleSet Set;
  RuleMatcher Matcher;
  std::unordered_map<ServiceId, const Service *> ById;
  std::unordered_map<TargetId, const Service *> ByTarget;
};

/// Shared ownership: the core, the metrics and a pull by a peer may all hold
/// the same version.
using CompiledRulesPtr = std::shared_ptr<const CompiledRules>;

/// What is kept of a rule set that is no longer the newest: which service each
/// flow and each target had. Names, zones and weights are gone, and with them
/// most of its memory.
class PastRules {
public:
  explicit PastRules(const CompiledRules &rules);

  /// The service of a flow; zero where it had none.
  ServiceId serviceOf(const FlowKey &key) const;
  /// The targets of a service.
  std::vector<TargetId> targetsOf(ServiceId service) const;
  /// The service of a target; zero where it had none. Walks all targets.
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

/// The newest rule set and those before it.
class RuleHistory {
public:
  /// `depth` is how many versions are kept, the newest included.
  explicit RuleHistory(size_t depth) : Depth(depth) {}

  /// Takes in a rule set. Returns false for one that is not newer.
  bool learn(CompiledRulesPtr rules);
  /// The newest rule set, or null.
  const CompiledRules *newest() const;
  /// The version of the newest rule set, or zero.
  RuleVersion version() const;
  /// Every service that some kept version gives this flow, the newest first,
  /// each once.
  std::vector<ServiceId> servicesOf(const FlowKey &key) const;
  /// Every target that some kept version gives a service, each once.
  std::vector<TargetId> targetsOf(ServiceId service) const;
  /// The service of a target in the newest version that has it; zero if none.
  ServiceId serviceOfTarget(TargetId target) const;

private:
  size_t Depth;
  CompiledRulesPtr Newest;
  /// The one before the newest first.
  std::deque<PastRules> Past;
};

} // namespace chicory

#endif
