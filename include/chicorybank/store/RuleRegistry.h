// The keys and formats of rule sets, members documents and instances in the
// platform, and how rule sets are read and replaced.

#ifndef CHICORYBANK_STORE_RULEREGISTRY_H
#define CHICORYBANK_STORE_RULEREGISTRY_H

#include "chicorybank/core/Instance.h"
#include "chicorybank/rules/RulePages.h"
#include "chicorybank/store/KeyValue.h"

#include <variant>

namespace chicory {

/// The keys. All keys that chicorybank writes have the prefix `Root`.
namespace keys {
inline constexpr const char *Root = "chicorybank/";
inline constexpr const char *Manifest = "chicorybank/rules/manifest";
inline constexpr const char *History = "chicorybank/rules/history/";
inline constexpr const char *Pages = "chicorybank/rules/pages/";
inline constexpr const char *Members = "chicorybank/members";
/// The platform's own list of instances.
inline constexpr const char *Instances = "platform/instances/";
} // namespace keys

/// How many of the newest versions `RuleRegistry` keeps.
inline constexpr uint64_t VersionsKept = 16;

/// The submission was accepted and is now in force.
struct Accepted {
  RuleVersion Version;
};
/// Another submission was accepted first; nothing was changed.
struct Conflict {
  RuleVersion Current;
};
/// Whether the submission took effect is unknown. Repeat it with the same id.
struct OutcomeUnknown {
  PlatformError Why;
};
/// The submission had no effect, because a call to the service failed.
struct NotSubmitted {
  PlatformError Why;
};
using SubmitOutcome =
    std::variant<Accepted, Conflict, OutcomeUnknown, NotSubmitted>;

/// Reads and replaces rule sets. Calls block, like those of the service.
///
///   RuleRegistry registry(service);
///   SubmitOutcome outcome = registry.submit(rules, std::nullopt);
class RuleRegistry {
public:
  explicit RuleRegistry(KeyValueService &service) : Service(service) {}

  /// Replaces the current rule set by `rules`, with the next version number.
  /// The submission id in `rules` makes this idempotent: repeating an accepted
  /// submission changes nothing. With `ifVersion`, replaces only that version.
  SubmitOutcome submit(RuleSet rules, std::optional<RuleVersion> ifVersion);
  /// Returns the current manifest, or nothing if there is none yet.
  PlatformResult<std::optional<RuleManifest>> currentManifest();
  /// Returns the manifest of a version, or nothing if it is no longer kept.
  PlatformResult<std::optional<RuleManifest>> manifestOf(RuleVersion version);
  /// Returns the manifests of the versions that are kept, oldest first.
  PlatformResult<std::vector<RuleManifest>> history();
  /// Writes back a rule set, with its pages, that was in force and that the
  /// service has lost, if the older `stored` one is still current there.
  /// Returns whether it was written.
  PlatformResult<bool> restoreVersion(const RuleManifest &stored,
                                      const RuleManifest &manifest,
                                      const PageStore &pages);
  /// Gives the current rule set the number after `highest`, because its own
  /// number had already been used for another one. Returns whether it did.
  PlatformResult<bool> renumber(const RuleManifest &current,
                                RuleVersion highest);
  /// Reads those pages of a manifest that `pages` lacks, and adds them.
  PlatformResult<void> fetchPages(const RuleManifest &manifest,
                                  PageStore &pages);

private:
  struct Current {
    std::optional<RuleManifest> Manifest;
    int64_t Revision = 0;
  };
  PlatformResult<Current> current();
  /// Writes a manifest, its history entry and `puts` in one transaction, if the
  /// current manifest still has the revision `expected`.
  PlatformResult<bool> replaceManifest(const RuleManifest &next,
                                       int64_t expected,
                                       std::vector<KeyValuePut> puts);
  /// Looks for a submission in the history. Returns nothing if it is not there,
  /// and NotSubmitted if the history can't be read.
  std::optional<SubmitOutcome> findAccepted(const std::string &submissionId);
  /// Removes versions that are no longer kept, and pages that only they use.
  void removeOldVersions(RuleVersion newest);

  KeyValueService &Service;
};

/// Returns the key of a page.
std::string pageKey(PageId id);

/// Encode and decode the members document (CBOR). Decoding fails with
/// BadPlatformValue.
QByteArray encodeMembers(const MembersDocument &document);
tl::expected<MembersDocument, Reason> decodeMembers(const QByteArray &bytes);

/// Encode and decode an entry of the platform's list of instances (JSON).
/// Decoding fails with BadPlatformValue.
QByteArray encodeInstance(const InstanceInfo &info);
tl::expected<InstanceInfo, Reason> decodeInstance(const QByteArray &bytes);

} // namespace chicory

#endif
