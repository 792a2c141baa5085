#include "chicorybank/rules/RuleMatcher.h"

#include "chicorybank/base/Hash.h"

#include <algorithm>
#include <bit>
#include <map>

namespace chicory {

namespace {

/// The ports that equal `Value` in the bits of `Mask`.
struct PortPrefix {
  uint16_t Value = 0;
  uint16_t Mask = 0;
};

/// Splits a range into the fewest aligned blocks whose sizes are powers of two.
std::vector<PortPrefix> portPrefixes(const PortRange &range) {
  std::vector<PortPrefix> out;
  uint32_t first = range.First;
  uint32_t end = uint32_t{range.Last} + 1;
  while (first < end) {
    uint32_t size = first == 0 ? 0x10000 : first & (~first + 1);
    while (first + size > end)
      size /= 2;
    out.push_back({.Value = static_cast<uint16_t>(first),
                   .Mask = static_cast<uint16_t>(~(size - 1))});
    first += size;
  }
  return out;
}

std::vector<PortPrefix> portPrefixes(const std::vector<PortRange> &ranges) {
  if (ranges.empty())
    return {PortPrefix{}};
  std::vector<PortPrefix> out;
  for (const PortRange &it : ranges)
    for (const PortPrefix &prefix : portPrefixes(it))
      out.push_back(prefix);
  return out;
}

std::vector<Prefix> prefixesOrAny(const std::vector<Prefix> &prefixes) {
  return prefixes.empty() ? std::vector<Prefix>{Prefix{}} : prefixes;
}

} // namespace

bool RuleMatcher::Tuple::sameMasks(const Tuple &other) const {
  return SourceMask == other.SourceMask &&
         DestinationMask == other.DestinationMask &&
         PortMask == other.PortMask && ProtocolMask == other.ProtocolMask;
}

RuleMatcher::Slot RuleMatcher::maskedKey(const Tuple &tuple, uint16_t index,
                                         const FlowKey &key) {
  uint64_t source = key.Source.Ip & tuple.SourceMask;
  uint32_t destination = key.Destination.Ip & tuple.DestinationMask;
  uint32_t port = key.Destination.Port & tuple.PortMask;
  return {.Addresses = (source << 32) | destination,
          .PortAndProtocol =
              (port << 8) | (key.Protocol & uint32_t{tuple.ProtocolMask}),
          .TupleIndex = index};
}

std::vector<RuleMatcher::Entry> RuleMatcher::expand(const Rule &rule,
                                                    uint32_t index) {
  std::vector<Entry> out;
  std::vector<PortPrefix> ports = portPrefixes(rule.Ports);
  std::vector<Prefix> destinations = prefixesOrAny(rule.Destinations);
  for (const Prefix &source : prefixesOrAny(rule.Sources)) {
    for (const Prefix &destination : destinations) {
      for (const PortPrefix &port : ports) {
        Tuple masks{.SourceMask = prefixMask(source.Length),
                    .DestinationMask = prefixMask(destination.Length),
                    .PortMask = port.Mask,
                    .ProtocolMask = static_cast<uint8_t>(
                        rule.Protocol == 0 ? 0 : UINT8_MAX),
                    .FirstRule = index};
        FlowKey key{.Source = {.Ip = source.Ip},
                    .Destination = {.Ip = destination.Ip, .Port = port.Value},
                    .Protocol = rule.Protocol};
        Slot slot = maskedKey(masks, 0, key);
        slot.RuleIndex = index;
        out.push_back({.Masks = masks, .Key = slot});
      }
    }
  }
  return out;
}

uint16_t RuleMatcher::findOrAddTuple(const Tuple &masks) {
  auto it = std::find_if(Tuples.begin(), Tuples.end(),
                         [&](const Tuple &t) { return t.sameMasks(masks); });
  if (it == Tuples.end())
    it = Tuples.insert(it, masks);
  return static_cast<uint16_t>(it - Tuples.begin());
}

RuleMatcher::RuleMatcher(const std::vector<Rule> &rules) {
  // Rules are added in order. So each tuple is created by its first rule, and
  // `Tuples` is sorted by `FirstRule`.
  std::vector<Slot> keys;
  for (uint32_t i = 0; i < rules.size(); ++i) {
    for (Entry &entry : expand(rules[i], i)) {
      entry.Key.TupleIndex = findOrAddTuple(entry.Masks);
      keys.push_back(entry.Key);
    }
  }
  Slots.resize(std::bit_ceil(std::max<size_t>(keys.size() * 2, 2)));
  for (const Slot &it : keys)
    insert(it);
}

size_t RuleMatcher::slotIndex(const Slot &key) const {
  uint64_t tail = (uint64_t{key.TupleIndex} << 32) | key.PortAndProtocol;
  return mixHash(key.Addresses, tail + 1) & (Slots.size() - 1);
}

void RuleMatcher::insert(const Slot &slot) {
  size_t i = slotIndex(slot);
  while (Slots[i].RuleIndex != NoRule) {
    const Slot &it = Slots[i];
    if (it.Addresses == slot.Addresses && it.TupleIndex == slot.TupleIndex &&
        it.PortAndProtocol == slot.PortAndProtocol)
      return; // An earlier rule has the same key and takes precedence.
    i = (i + 1) & (Slots.size() - 1);
  }
  Slots[i] = slot;
}

std::optional<uint32_t> RuleMatcher::firstMatch(const FlowKey &key) const {
  uint32_t best = NoRule;
  for (size_t n = 0; n < Tuples.size() && Tuples[n].FirstRule < best; ++n) {
    Slot lookupKey = maskedKey(Tuples[n], static_cast<uint16_t>(n), key);
    size_t i = slotIndex(lookupKey);
    while (Slots[i].RuleIndex != NoRule) {
      const Slot &it = Slots[i];
      if (it.Addresses == lookupKey.Addresses && it.TupleIndex == n &&
          it.PortAndProtocol == lookupKey.PortAndProtocol) {
        best = std::min(best, it.RuleIndex);
        break;
      }
      i = (i + 1) & (Slots.size() - 1);
    }
  }
  return best == NoRule ? std::nullopt : std::optional(best);
}

} // namespace chicory
