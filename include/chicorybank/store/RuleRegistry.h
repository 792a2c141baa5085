// Where rule sets, members documents and instances stand in the platform, and
// how they are read and replaced.

#ifndef CHICORYBANK_STORE_RULEREGISTRY_H
#define CHICORYBANK_STORE_RULEREGISTRY_H

#include "chicorybank/core/Instance.h"
#include "chicorybank/rules/RulePages.h"
#include "chicorybank/store/KeyValue.h"

#include <variant>

namespace chicory {

/// The keys. Everything of chicorybank is below one prefix.
namespace keys {
inline constexpr const char *Root = "chicorybank/";
inline constexpr const char *Manifest = "chicorybank/rules/manifest";
inline constexpr const char *History = "chicorybank/rules/history/";
inline constexpr const char *Pages = "chicorybank/rules/pages/";
inline constexpr const char *Members = "chicorybank/members";
/// The platform's own list of instances.
inline constexpr const char *Instances = "platform/instances/";
} // namespace keys

/// How many versions `RuleRegistry` keeps readable.
inline constexpr uint64_t VersionsKept = 16;

/// The submission is in force from now on.
struct Accepted {
  RuleVersion Version;
};
/// Another submission came first; nothing was changed.
struct Conflict {
  RuleVersion Current;
};
/// It can't be told whether it took effect. Repeat it with the same id.
struct OutcomeUnknown {
  PlatformError Why;
};
/// It had no effect: the service is not to be reached.
struct NotSubmitted {
  PlatformError Why;
};
using SubmitOutcome =
    std::variant<Accepted, Conflict, OutcomeUnknown, NotSubmitted>;

/// Reads and replaces rule sets. Blocks like the service below it.
///
///   RuleRegistry registry(service);
///   SubmitOutcome outcome = registry.submit(rules, std::nullopt);
class RuleRegistry {
public:
  explicit RuleRegistry(KeyValueService &service) : Service(service) {}

  /// Replaces the current rule set by one with the next version. `rules`
  /// carries a submission id of its own: a repeat with the same id finds that
  /// it was accepted before and changes nothing. With `ifVersion` only that
  /// version is replaced.
  SubmitOutcome submit(RuleSet rules, std::optional<RuleVersion> ifVersion);
  /// The current manifest; nothing where there is none yet.
  PlatformResult<std::optional<RuleManifest>> currentManifest();
  /// The manifest of one of the last versions.
  PlatformResult<std::optional<RuleManifest>> manifestOf(RuleVersion version);
  /// The manifests of the last versions, the oldest first.
  PlatformResult<std::vector<RuleManifest>> history();
  /// Writes a rule set that was in force, pages and all, where the service has
  /// lost it and still shows the older `stored` one. True: it stands there now.
  PlatformResult<bool> restoreVersion(const RuleManifest &stored,
                                      const RuleManifest &manifest,
                                      const PageStore &pages);
  /// The current rule set was accepted under a version number that had been
  /// given out before. It gets the next number after `highest`. True: it did.
  PlatformResult<bool> renumber(const RuleManifest &current,
                                RuleVersion highest);
  /// Reads the pages of a manifest that `pages` lacks.
  PlatformResult<void> fetchPages(const RuleManifest &manifest,
                                  PageStore &pages);

private:
  struct Current {
    std::optional<RuleManifest> Manifest;
    int64_t Revision = 0;
  };
  PlatformResult<Current> current();
  /// Writes a manifest and its place in the history, along with `puts`, where
  /// the present manifest still has this revision.
  PlatformResult<bool> replaceManifest(const RuleManifest &next,
                                       int64_t expected,
                                       std::vector<KeyValuePut> puts);
  std::optional<SubmitOutcome> findAccepted(const std::string &submissionId);
  void removeOldVersions(RuleVersion newest);

  KeyValueService &Service;
};

/// The key of a page.
std::string pageKey(PageId id);

/// The members document as a value, and back; fails with BadPlatformValue.
QByteArray encodeMembers(const MembersDocument &document);
tl::expected<MembersDocument, Reason> decodeMembers(const QByteArray &bytes);

/// An entry of the platform's list of instances (JSON), and back.
QByteArray encodeInstance(const InstanceInfo &info);
tl::expected<InstanceInfo, Reason> decodeInstance(const QByteArray &bytes);

} // namespace chicory

#endif
