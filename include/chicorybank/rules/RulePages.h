// Rule sets as the platform and the peers carry them: a manifest and pages.
//
// A page is a run of rules or services in CBOR and is named by the hash of its
// bytes. A manifest lists the pages of one version. Two versions share the
// pages that did not change, so a change travels as the manifest and the few
// pages that the reader lacks, and no value comes near a megabyte.

#ifndef CHICORYBANK_RULES_RULEPAGES_H
#define CHICORYBANK_RULES_RULEPAGES_H

#include "chicorybank/base/Reasons.h"
#include "chicorybank/rules/RuleSet.h"

#include <QByteArray>
#include <map>
#include <tl/expected.hpp>
#include <vector>

namespace chicory {

/// The name of a page: the hash of its bytes.
using PageId = StrongId<struct PageTag, uint64_t>;

/// What one version consists of.
struct RuleManifest {
  RuleVersion Version;
  std::string SubmissionId;
  std::vector<PageId> RulePages;
  std::vector<PageId> ServicePages;

  bool operator==(const RuleManifest &) const = default;
  /// Every page, rules first.
  std::vector<PageId> allPages() const;
};

/// Pages by their name.
using PageStore = std::map<PageId, QByteArray>;

/// Cuts a rule set into pages. The cuts depend on the content alone, so that
/// an insertion changes one page and not all that follow.
///
///   PageStore pages;
///   RuleManifest manifest = paginate(rules, pages);
RuleManifest paginate(const RuleSet &rules, PageStore &pages);

/// Puts a rule set together. Fails where a page is missing or damaged.
tl::expected<RuleSet, Reason> assemble(const RuleManifest &manifest,
                                       const PageStore &pages);

/// The manifest as a value of the platform.
QByteArray encodeManifest(const RuleManifest &manifest);

/// The inverse of `encodeManifest`; fails with BadPlatformValue.
tl::expected<RuleManifest, Reason> decodeManifest(const QByteArray &bytes);

/// The name of these bytes.
PageId pageIdOf(const QByteArray &bytes);

} // namespace chicory

#endif
