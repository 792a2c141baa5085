// A rule set compiled for first-match lookups.
//
// The method is tuple space search (Srinivasan, Suri, Varghese, SIGCOMM 1999):
// rules with the same prefix lengths share one table. A lookup searches each
// table once, in the order of their first rules, until no further table can
// contain an earlier rule than the one found. All tables share one hash array.
// docs/design/rule-matching.md compares this with other methods.

#ifndef CHICORYBANK_RULES_RULEMATCHER_H
#define CHICORYBANK_RULES_RULEMATCHER_H

#include "chicorybank/rules/RuleSet.h"

#include <limits>
#include <optional>
#include <vector>

namespace chicory {

/// Finds the first rule that matches a flow.
///
///   RuleMatcher matcher(rules.Rules);
///   if (std::optional<uint32_t> i = matcher.firstMatch(key))
///     use(rules.Rules[*i]);
class RuleMatcher {
public:
  explicit RuleMatcher(const std::vector<Rule> &rules);

  /// Returns the index of the first rule that matches, or nothing.
  std::optional<uint32_t> firstMatch(const FlowKey &key) const;
  /// The highest number of tables that a lookup searches.
  size_t tupleCount() const { return Tuples.size(); }
  /// The memory that the tables use, in bytes.
  size_t memoryBytes() const { return Slots.size() * sizeof(Slot); }

private:
  static constexpr uint32_t NoRule = std::numeric_limits<uint32_t>::max();

  /// A table: the masks that its rules share, and the first of these rules.
  struct Tuple {
    uint32_t SourceMask = 0;
    uint32_t DestinationMask = 0;
    uint16_t PortMask = 0;
    uint8_t ProtocolMask = 0;
    uint32_t FirstRule = NoRule;

    bool sameMasks(const Tuple &other) const;
  };
  /// A masked key of one table and the first rule that has this key.
  struct Slot {
    uint64_t Addresses = 0;
    uint32_t PortAndProtocol = 0;
    uint16_t TupleIndex = 0;
    uint32_t RuleIndex = NoRule;
  };
  /// A rule's masks and key before they are inserted.
  struct Entry {
    Tuple Masks;
    Slot Key;
  };

  /// Returns an entry for each combination of source, destination and ports.
  static std::vector<Entry> expand(const Rule &rule, uint32_t index);
  static Slot maskedKey(const Tuple &tuple, uint16_t index, const FlowKey &key);
  uint16_t findOrAddTuple(const Tuple &masks);
  void insert(const Slot &slot);
  size_t slotIndex(const Slot &key) const;

  std::vector<Tuple> Tuples;
  std::vector<Slot> Slots;
};

} // namespace chicory

#endif
