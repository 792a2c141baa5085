// The rule set that this instance stores for itself and for its peers.

#ifndef CHICORYBANK_LIB_DAEMON_RULESTORE_H
#define CHICORYBANK_LIB_DAEMON_RULESTORE_H

#include "chicorybank/core/Rules.h"
#include "chicorybank/peer/Messages.h"

#include <map>
#include <mutex>

namespace chicory {

/// How the version stored in the platform relates to those known here.
enum class StoredRules : uint8_t {
  Current, ///< The newest version, or one that this instance doesn't know.
  Lost,    ///< A replaced version: the platform has lost its successors.
  Reused,  ///< Other rules under a version number that was used before.
};

/// The manifest and pages of the newest version. Thread-safe.
class RuleStore {
public:
  /// Stores a version and returns it compiled, or null if it is not newer than
  /// the stored one. Fails if a page is missing or damaged.
  tl::expected<CompiledRulesPtr, Reason> learn(const RuleManifest &manifest,
                                               const PageStore &pages);
  /// Compares the platform's version with those known here. A platform that was
  /// restored from an older copy returns an earlier version, and assigns the
  /// numbers of its lost successors to other rules. Only versions that were
  /// stored here distinguish these two cases from a version that is merely
  /// unknown.
  StoredRules compare(const RuleManifest &stored) const;
  /// The newest version, its manifest and its pages.
  RuleVersion version() const;
  RuleManifest manifest() const;
  PageStore pages() const;
  /// Returns the manifest and the pages that the requesting peer lacks.
  RuleDocument documentFor(const RuleRequest &request) const;
  /// Makes a request to a peer that lists the pages stored here.
  RuleRequest makeRequest(const InstanceInfo &self) const;

private:
  mutable std::mutex Lock;
  /// How many of the newest versions are remembered with their submission ids.
  static constexpr size_t MaxSubmissions = 16;

  RuleManifest Manifest;
  PageStore Pages;
  /// The submission id of each remembered version.
  std::map<RuleVersion, std::string> Submissions;
};

} // namespace chicory

#endif
