#include "chicorybank/core/Rules.h"

#include <algorithm>
#include <utility>

namespace chicory {

CompiledRules::CompiledRules(RuleSet rules)
    : Set(std::move(rules)), Matcher(Set.Rules) {
  for (const Service &service : Set.Services) {
    ById.emplace(service.Id, &service);
    for (const Target &target : service.Targets)
      ByTarget.emplace(target.Id, &service);
  }
}

const Rule *CompiledRules::match(const FlowKey &key) const {
  std::optional<uint32_t> i = Matcher.firstMatch(key);
  return i ? &Set.Rules[*i] : nullptr;
}

const Service *CompiledRules::service(ServiceId id) const {
  auto it = ById.find(id);
  return it == ById.end() ? nullptr : it->second;
}

const Service *CompiledRules::serviceOfTarget(TargetId target) const {
  auto it = ByTarget.find(target);
  return it == ByTarget.end() ? nullptr : it->second;
}

bool RuleHistory::learn(CompiledRulesPtr rules) {
  if (rules == nullptr || rules->version() <= version())
    return false;
  Versions.push_front(std::move(rules));
  if (Versions.size() > Depth)
    Versions.pop_back();
  return true;
}

const CompiledRules *RuleHistory::newest() const {
  return Versions.empty() ? nullptr : Versions.front().get();
}

RuleVersion RuleHistory::version() const {
  return Versions.empty() ? RuleVersion{} : Versions.front()->version();
}

std::vector<ServiceId> RuleHistory::servicesOf(const FlowKey &key) const {
  std::vector<ServiceId> out;
  for (const CompiledRulesPtr &it : Versions) {
    const Rule *rule = it->match(key);
    bool known = rule == nullptr || rule->Service == ServiceId{} ||
                 std::find(out.begin(), out.end(), rule->Service) != out.end();
    if (!known)
      out.push_back(rule->Service);
  }
  return out;
}

std::vector<TargetId> RuleHistory::targetsOf(ServiceId service) const {
  std::vector<TargetId> out;
  for (const CompiledRulesPtr &it : Versions) {
    const Service *found = it->service(service);
    if (found == nullptr)
      continue;
    for (const Target &target : found->Targets)
      if (std::find(out.begin(), out.end(), target.Id) == out.end())
        out.push_back(target.Id);
  }
  return out;
}

ServiceId RuleHistory::serviceOfTarget(TargetId target) const {
  for (const CompiledRulesPtr &it : Versions)
    if (const Service *service = it->serviceOfTarget(target))
      return service->Id;
  return {};
}

} // namespace chicory
