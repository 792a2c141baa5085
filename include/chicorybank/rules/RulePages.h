// The form in which the platform stores rule sets and peers exchange them: a
// manifest and pages.
//
// A page is a sequence of rules or services in CBOR; its id is the hash of its
// bytes. A manifest lists the pages of one version. Two versions share the
// pages that did not change. So a change needs only the manifest and the few
// pages that the reader lacks, and every value stays far below one megabyte.

#ifndef CHICORYBANK_RULES_RULEPAGES_H
#define CHICORYBANK_RULES_RULEPAGES_H

#include "chicorybank/base/Reasons.h"
#include "chicorybank/rules/RuleSet.h"

#include <QByteArray>
#include <map>
#include <tl/expected.hpp>
#include <vector>

namespace chicory {

/// The id of a page: the hash of its bytes.
using PageId = StrongId<struct PageTag, uint64_t>;

/// The contents of one version, as a list of pages.
struct RuleManifest {
  RuleVersion Version;
  std::string SubmissionId;
  std::vector<PageId> RulePages;
  std::vector<PageId> ServicePages;

  bool operator==(const RuleManifest &) const = default;
  /// Returns all pages, those of the rules first.
  std::vector<PageId> allPages() const;
};

/// Pages by their ids.
using PageStore = std::map<PageId, QByteArray>;

/// Splits a rule set into pages and adds them to `pages`. The page boundaries
/// depend only on the content, so that an insertion changes one page
/// instead of all pages that follow.
///
///   PageStore pages;
///   RuleManifest manifest = paginate(rules, pages);
RuleManifest paginate(const RuleSet &rules, PageStore &pages);

/// Assembles a rule set from its pages. Fails with BadPlatformValue if a page
/// is missing or damaged.
tl::expected<RuleSet, Reason> assemble(const RuleManifest &manifest,
                                       const PageStore &pages);

/// Encodes a manifest as a value for the platform.
QByteArray encodeManifest(const RuleManifest &manifest);

/// Decodes a manifest. Fails with BadPlatformValue.
tl::expected<RuleManifest, Reason> decodeManifest(const QByteArray &bytes);

/// Returns the id of a page with these bytes.
PageId pageIdOf(const QByteArray &bytes);

} // namespace chicory

#endif
