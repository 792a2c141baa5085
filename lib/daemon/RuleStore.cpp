#include "RuleStore.h"

#include <algorithm>
#include <utility>

namespace chicory {

tl::expected<CompiledRulesPtr, Reason>
RuleStore::learn(const RuleManifest &manifest, const PageStore &pages) {
  if (manifest.Version <= version())
    return CompiledRulesPtr();
  PageStore all = this->pages();
  all.insert(pages.begin(), pages.end());
  tl::expected<RuleSet, Reason> rules = assemble(manifest, all);
  if (!rules)
    return tl::make_unexpected(rules.error());
  auto compiled = std::make_shared<const CompiledRules>(std::move(*rules));
  PageStore needed;
  for (PageId id : manifest.allPages())
    needed[id] = all[id];
  std::lock_guard lock(Lock);
  if (manifest.Version <= Manifest.Version)
    return CompiledRulesPtr();
  Manifest = manifest;
  Pages = std::move(needed);
  Submissions[manifest.Version] = manifest.SubmissionId;
  if (Submissions.size() > MaxSubmissions)
    Submissions.erase(Submissions.begin());
  return compiled;
}

RuleVersion RuleStore::version() const {
  std::lock_guard lock(Lock);
  return Manifest.Version;
}

RuleManifest RuleStore::manifest() const {
  std::lock_guard lock(Lock);
  return Manifest;
}

StoredRules RuleStore::compare(const RuleManifest &stored) const {
  std::lock_guard lock(Lock);
  auto it = Submissions.find(stored.Version);
  if (it == Submissions.end())
    return StoredRules::Current;
  if (it->second != stored.SubmissionId)
    return StoredRules::Reused;
  return stored.Version < Manifest.Version ? StoredRules::Lost
                                           : StoredRules::Current;
}

PageStore RuleStore::pages() const {
  std::lock_guard lock(Lock);
  return Pages;
}

RuleDocument RuleStore::documentFor(const RuleRequest &request) const {
  std::lock_guard lock(Lock);
  RuleDocument out{.Manifest = Manifest};
  for (const auto &[id, bytes] : Pages) {
    bool known = std::find(request.KnownPages.begin(), request.KnownPages.end(),
                           id) != request.KnownPages.end();
    if (!known)
      out.Pages[id] = bytes;
  }
  return out;
}

RuleRequest RuleStore::makeRequest(const InstanceInfo &self) const {
  RuleRequest out{.Sender = self};
  std::lock_guard lock(Lock);
  for (const auto &[id, bytes] : Pages)
    out.KnownPages.push_back(id);
  return out;
}

} // namespace chicory
