// The rule set that this instance holds, for itself and for its peers.

#ifndef CHICORYBANK_LIB_DAEMON_RULESTORE_H
#define CHICORYBANK_LIB_DAEMON_RULESTORE_H

#include "chicorybank/core/Rules.h"
#include "chicorybank/peer/Messages.h"

#include <map>
#include <mutex>

namespace chicory {

/// How the version that the platform shows stands to those held here.
enum class StoredRules : uint8_t {
  Current, ///< The newest one, or one that this instance knows nothing about.
  Lost,    ///< One that was replaced: the platform has lost what came after it.
  Reused,  ///< Other rules under a number that was given out before.
};

/// Pages of the newest version. Used by several threads.
class RuleStore {
public:
  /// Takes in a version. Returns it compiled; null for one that is not newer.
  /// Fails where a page is missing or damaged.
  tl::expected<CompiledRulesPtr, Reason> learn(const RuleManifest &manifest,
                                               const PageStore &pages);
  /// A platform that was restored from an older copy shows a former version,
  /// and gives its successors' numbers to other rules. Only versions that were
  /// held here tell the two apart from a version that is merely unknown.
  StoredRules compare(const RuleManifest &stored) const;
  /// The newest version, and the pages that are known.
  RuleVersion version() const;
  RuleManifest manifest() const;
  PageStore pages() const;
  /// What a peer that asks lacks.
  RuleDocument documentFor(const RuleRequest &request) const;
  /// The question to a peer.
  RuleRequest makeRequest(const InstanceInfo &self) const;

private:
  mutable std::mutex Lock;
  /// So many of the last versions are told apart by their submissions.
  static constexpr size_t MaxSubmissions = 16;

  RuleManifest Manifest;
  PageStore Pages;
  std::map<RuleVersion, std::string> Submissions;
};

} // namespace chicory

#endif
