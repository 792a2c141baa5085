// Rule sets as operators write them: TOML.
//
// docs/RULES.md is the schema, samples/ has files from simple to rich.

#ifndef CHICORYBANK_RULES_RULEFILE_H
#define CHICORYBANK_RULES_RULEFILE_H

#include "chicorybank/base/Findings.h"
#include "chicorybank/rules/RuleSet.h"

#include <optional>
#include <string_view>

namespace chicory {

/// Reads and checks a rule set. Returns nothing when there is any finding.
///
///   Findings findings;
///   std::optional<RuleSet> rules = readRuleFile(text, "a.toml", findings);
std::optional<RuleSet> readRuleFile(std::string_view text,
                                    const std::string &file,
                                    Findings &findings);

/// The text that `readRuleFile` reads back to an equal rule set.
std::string writeRuleFile(const RuleSet &rules);

/// The limits that a rule set is checked against.
inline constexpr size_t MaxRules = 50'000;
inline constexpr size_t MaxTargetsPerService = 512;

} // namespace chicory

#endif
