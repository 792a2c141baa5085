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

PastRules::PastRules(const CompiledRules &rules) : Matcher(rules.matcher()) {
  for (const Rule &it : rules.set().Rules)
    ServiceOfRule.push_back(it.Service);
  for (const Service &service : rules.set().Services)
    for (const Target &target : service.Targets)
      Targets.push_back({.Service = service.Id, .Id = target.Id});
  std::sort(Targets.begin(), Targets.end(),
            [](const TargetOfService &a, const TargetOfService &b) {
              return a.Service < b.Service;
            });
  Targets.shrink_to_fit();
  ServiceOfRule.shrink_to_fit();
}

ServiceId PastRules::serviceOf(const FlowKey &key) const {
  std::optional<uint32_t> i = Matcher.firstMatch(key);
  return i ? ServiceOfRule[*i] : ServiceId{};
}

std::vector<TargetId> PastRules::targetsOf(ServiceId service) const {
  auto it = std::lower_bound(
      Targets.begin(), Targets.end(), service,
      [](const TargetOfService &a, ServiceId b) { return a.Service < b; });
  std::vector<TargetId> out;
  for (; it != Targets.end() && it->Service == service; ++it)
    out.push_back(it->Id);
  return out;
}

ServiceId PastRules::serviceOfTarget(TargetId target) const {
  for (const TargetOfService &it : Targets)
    if (it.Id == target)
      return it.Service;
  return {};
}

bool RuleHistory::learn(CompiledRulesPtr rules) {
  if (rules == nullptr || rules->version() <= version())
    return false;
  if (Newest != nullptr)
    Past.emplace_front(*Newest);
  Newest = std::move(rules);
  if (Past.size() + 1 > Depth)
    Past.pop_back();
  return true;
}

const CompiledRules *RuleHistory::newest() const { return Newest.get(); }

RuleVersion RuleHistory::version() const {
  return Newest == nullptr ? RuleVersion{} : Newest->version();
}

std::vector<ServiceId> RuleHistory::servicesOf(const FlowKey &key) const {
  std::vector<ServiceId> out;
  auto add = [&out](ServiceId id) {
    bool known =
        id == ServiceId{} || std::find(out.begin(), out.end(), id) != out.end();
    if (!known)
      out.push_back(id);
  };
  if (const Rule *rule = Newest == nullptr ? nullptr : Newest->match(key))
    add(rule->Service);
  for (const PastRules &it : Past)
    add(it.serviceOf(key));
  return out;
}

std::vector<TargetId> RuleHistory::targetsOf(ServiceId service) const {
  std::vector<TargetId> out;
  auto add = [&out](TargetId id) {
    if (std::find(out.begin(), out.end(), id) == out.end())
      out.push_back(id);
  };
  const Service *found = Newest == nullptr ? nullptr : Newest->service(service);
  if (found != nullptr)
    for (const Target &target : found->Targets)
      add(target.Id);
  for (const PastRules &it : Past)
    for (TargetId target : it.targetsOf(service))
      add(target);
  return out;
}

ServiceId RuleHistory::serviceOfTarget(TargetId target) const {
  if (Newest == nullptr)
    return {};
  if (const Service *service = Newest->serviceOfTarget(target))
    return service->Id;
  for (const PastRules &it : Past)
    if (ServiceId id = it.serviceOfTarget(target); id != ServiceId{})
      return id;
  return {};
}

} // namespace chicory
