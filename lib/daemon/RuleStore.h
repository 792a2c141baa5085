// The rule set that this instance holds, for itself and for its peers.

#ifndef CHICORYBANK_LIB_DAEMON_RULESTORE_H
#define CHICORYBANK_LIB_DAEMON_RULESTORE_H

#include "chicorybank/core/Rules.h"
#include "chicorybank/peer/Messages.h"

#include <mutex>

namespace chicory {

/// Pages of the newest version. Used by several threads.
class RuleStore {
public:
  /// Takes in a version. Returns it compiled; null for one that is not newer.
  /// Fails where a page is missing or damaged.
  tl::expected<CompiledRulesPtr, Reason> learn(const RuleManifest &manifest,
                                               const PageStore &pages);
  /// The newest version, and the pages that are known.
  RuleVersion version() const;
  PageStore pages() const;
  /// What a peer that asks lacks.
  RuleDocument answer(const RuleRequest &request) const;
  /// The question to a peer.
  RuleRequest request(const InstanceInfo &self) const;

private:
  mutable std::mutex Lock;
  RuleManifest Manifest;
  PageStore Pages;
};

} // namespace chicory

#endif
