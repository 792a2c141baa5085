// Reads and writes rule sets as TOML, the format that operators edit.
//
// docs/RULES.md describes the schema; samples/ contains example files.

#ifndef CHICORYBANK_RULES_RULEFILE_H
#define CHICORYBANK_RULES_RULEFILE_H

#include "chicorybank/base/Findings.h"
#include "chicorybank/rules/RuleSet.h"

#include <optional>
#include <string_view>

namespace chicory {

/// Reads and checks a rule set. Adds every problem to `findings`, and returns
/// nothing if there is one.
///
///   Findings findings;
///   std::optional<RuleSet> rules = readRuleFile(text, "a.toml", findings);
std::optional<RuleSet> readRuleFile(std::string_view text,
                                    const std::string &file,
                                    Findings &findings);

/// Writes a rule set as text that `readRuleFile` reads back as an equal one.
std::string writeRuleFile(const RuleSet &rules);

/// Limits that `readRuleFile` enforces.
inline constexpr size_t MaxRules = 50'000;
inline constexpr size_t MaxTargetsPerService = 512;

} // namespace chicory

#endif
