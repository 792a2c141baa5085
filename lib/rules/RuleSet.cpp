#include "chicorybank/rules/RuleSet.h"

#include <algorithm>

namespace chicory {

namespace {

bool covers(const std::vector<Prefix> &prefixes, uint32_t ip) {
  auto covered = [ip](const Prefix &it) {
    return (ip & prefixMask(it.Length)) == (it.Ip & prefixMask(it.Length));
  };
  return prefixes.empty() ||
         std::any_of(prefixes.begin(), prefixes.end(), covered);
}

bool covers(const std::vector<PortRange> &ranges, uint16_t port) {
  auto covered = [port](const PortRange &it) {
    return it.First <= port && port <= it.Last;
  };
  return ranges.empty() || std::any_of(ranges.begin(), ranges.end(), covered);
}

} // namespace

bool matches(const Rule &rule, const FlowKey &key) {
  return (rule.Protocol == 0 || rule.Protocol == key.Protocol) &&
         covers(rule.Sources, key.Source.Ip) &&
         covers(rule.Destinations, key.Destination.Ip) &&
         covers(rule.Ports, key.Destination.Port);
}

const Service *RuleSet::findService(ServiceId id) const {
  for (const Service &it : Services)
    if (it.Id == id)
      return &it;
  return nullptr;
}

const Service *RuleSet::findService(std::string_view name) const {
  for (const Service &it : Services)
    if (it.Name == name)
      return &it;
  return nullptr;
}

} // namespace chicory
