#include "chicorybank/store/RuleRegistry.h"

#include "chicorybank/cbor/CborReader.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <set>

namespace chicory {

namespace {

// By default the service accepts at most 128 writes in one transaction.
constexpr size_t MaxPagesPerSwap = 100;

std::string historyKey(RuleVersion version) {
  // Fixed width, so that the keys sort by version.
  return keys::History +
         QString::number(version.Value).rightJustified(20, '0').toStdString();
}

QCborArray encodeIds(const std::vector<InstanceId> &ids) {
  QCborArray out;
  for (InstanceId it : ids)
    out.append(qint64{it.Value});
  return out;
}

/// Returns writes for the pages that the current manifest does not contain.
std::vector<KeyValuePut> newPages(const PageStore &pages,
                                  const RuleManifest &current) {
  std::vector<PageId> known = current.allPages();
  std::set<PageId> present(known.begin(), known.end());
  std::vector<KeyValuePut> out;
  for (const auto &[id, bytes] : pages)
    if (!present.contains(id))
      out.push_back({.Key = pageKey(id), .Value = bytes});
  return out;
}

} // namespace

std::string pageKey(PageId id) {
  return keys::Pages +
         QString::number(id.Value, 16).rightJustified(16, '0').toStdString();
}

QByteArray encodeMembers(const MembersDocument &document) {
  QCborArray out{static_cast<qint64>(document.Version.Value),
                 encodeIds(document.Members), encodeIds(document.Previous)};
  return QCborValue(out).toCbor();
}

tl::expected<MembersDocument, Reason> decodeMembers(const QByteArray &bytes) {
  CborReader reader(decodeCbor(bytes));
  MembersDocument out;
  out.Version.Value = static_cast<uint64_t>(reader.number());
  out.Members = reader.instances();
  out.Previous = reader.instances();
  if (!reader.done())
    return tl::make_unexpected(Reason::BadPlatformValue);
  return out;
}

QByteArray encodeInstance(const InstanceInfo &info) {
  QJsonObject out{
      {"id", qint64{info.Id.Value}},
      {"zone", QString::fromStdString(info.Zone)},
      {"packets", QString::fromStdString(formatAddress(info.Packets))},
      {"peers", QString::fromStdString(formatAddress(info.Peers))},
      {"admin", QString::fromStdString(formatAddress(info.Admin))}};
  return QJsonDocument(out).toJson(QJsonDocument::Compact);
}

tl::expected<InstanceInfo, Reason> decodeInstance(const QByteArray &bytes) {
  QJsonObject object = QJsonDocument::fromJson(bytes).object();
  auto address = [&](const char *key) {
    return parseAddress(object[key].toString().toStdString());
  };
  auto packets = address("packets");
  auto peers = address("peers");
  auto admin = address("admin");
  qint64 id = object["id"].toInteger();
  if (id <= 0 || id > UINT32_MAX || !packets || !peers || !admin)
    return tl::make_unexpected(Reason::BadPlatformValue);
  return InstanceInfo{.Id = {static_cast<uint32_t>(id)},
                      .Zone = object["zone"].toString().toStdString(),
                      .Packets = *packets,
                      .Peers = *peers,
                      .Admin = *admin};
}

PlatformResult<RuleRegistry::Current> RuleRegistry::current() {
  auto found = Service.get(keys::Manifest);
  if (!found)
    return tl::make_unexpected(found.error());
  if (found->empty())
    return Current{};
  auto manifest = decodeManifest(found->front().Value);
  if (!manifest)
    return tl::make_unexpected(PlatformError::BadResponse);
  return Current{.Manifest = *manifest, .Revision = found->front().ModRevision};
}

PlatformResult<std::optional<RuleManifest>> RuleRegistry::currentManifest() {
  return current().map([](const Current &it) { return it.Manifest; });
}

PlatformResult<std::optional<RuleManifest>>
RuleRegistry::manifestOf(RuleVersion version) {
  auto found = Service.get(historyKey(version));
  if (!found)
    return tl::make_unexpected(found.error());
  if (found->empty())
    return std::optional<RuleManifest>();
  auto manifest = decodeManifest(found->front().Value);
  if (!manifest)
    return tl::make_unexpected(PlatformError::BadResponse);
  return std::optional(*manifest);
}

PlatformResult<std::vector<RuleManifest>> RuleRegistry::history() {
  auto found = Service.list(keys::History);
  if (!found)
    return tl::make_unexpected(found.error());
  std::vector<RuleManifest> out;
  for (const KeyValue &it : *found)
    if (auto manifest = decodeManifest(it.Value))
      out.push_back(*manifest);
  return out;
}

PlatformResult<void> RuleRegistry::fetchPages(const RuleManifest &manifest,
                                              PageStore &pages) {
  for (PageId id : manifest.allPages()) {
    if (pages.contains(id))
      continue;
    auto found = Service.get(pageKey(id));
    if (!found)
      return tl::make_unexpected(found.error());
    bool ok = found->size() == 1 && pageIdOf(found->front().Value) == id;
    if (!ok)
      return tl::make_unexpected(PlatformError::BadResponse);
    pages[id] = found->front().Value;
  }
  return {};
}

std::optional<SubmitOutcome>
RuleRegistry::findAccepted(const std::string &submissionId) {
  auto manifests = history();
  if (!manifests)
    return NotSubmitted{.Why = manifests.error()};
  for (const RuleManifest &it : *manifests)
    if (it.SubmissionId == submissionId)
      return Accepted{.Version = it.Version};
  return std::nullopt;
}

SubmitOutcome RuleRegistry::submit(RuleSet rules,
                                   std::optional<RuleVersion> ifVersion) {
  // A submission that is repeated after a lost response must not take effect
  // twice.
  if (auto earlier = findAccepted(rules.SubmissionId))
    return *earlier;
  auto before = current();
  if (!before)
    return NotSubmitted{.Why = before.error()};
  RuleVersion base =
      before->Manifest ? before->Manifest->Version : RuleVersion{};
  if (ifVersion && *ifVersion != base)
    return Conflict{.Current = base};
  rules.Version = RuleVersion{base.Value + 1};
  PageStore pages;
  RuleManifest manifest = paginate(rules, pages);
  // New pages are written with the manifest in one transaction, up to its size
  // limit. The rest are written first. Pages have no effect until a manifest
  // names them, so a failure in between leaves no rule set partly applied.
  std::vector<KeyValuePut> puts =
      newPages(pages, before->Manifest.value_or(RuleManifest{}));
  std::vector<KeyValuePut> early;
  if (puts.size() > MaxPagesPerSwap) {
    early.assign(puts.begin() + MaxPagesPerSwap, puts.end());
    puts.resize(MaxPagesPerSwap);
  }
  for (const KeyValuePut &it : early)
    if (auto put = Service.put(it); !put)
      return NotSubmitted{.Why = put.error()};
  auto swapped = replaceManifest(manifest, before->Revision, std::move(puts));
  if (!swapped) {
    bool noEffect = swapped.error() == PlatformError::Unreachable ||
                    swapped.error() == PlatformError::Limited;
    if (noEffect)
      return NotSubmitted{.Why = swapped.error()};
    // The response was lost. Look for the submission id to find out whether the
    // swap took place.
    if (auto earlier = findAccepted(rules.SubmissionId))
      if (std::holds_alternative<Accepted>(*earlier))
        return *earlier;
    return OutcomeUnknown{.Why = swapped.error()};
  }
  if (!*swapped) {
    auto now = current();
    bool known = now && now->Manifest;
    return Conflict{.Current = known ? now->Manifest->Version : base};
  }
  // Another writer's clean-up may have removed an early page while no manifest
  // named it. Write these pages again, which is idempotent.
  for (const KeyValuePut &it : early)
    (void)Service.put(it);
  removeOldVersions(rules.Version);
  return Accepted{.Version = rules.Version};
}

PlatformResult<bool>
RuleRegistry::replaceManifest(const RuleManifest &next, int64_t expected,
                              std::vector<KeyValuePut> puts) {
  QByteArray value = encodeManifest(next);
  puts.push_back({.Key = keys::Manifest, .Value = value});
  puts.push_back({.Key = historyKey(next.Version), .Value = value});
  return Service.swap({.Key = keys::Manifest,
                       .ExpectedRevision = expected,
                       .Puts = std::move(puts)});
}

PlatformResult<bool> RuleRegistry::restoreVersion(const RuleManifest &stored,
                                                  const RuleManifest &manifest,
                                                  const PageStore &pages) {
  auto before = current();
  if (!before)
    return tl::make_unexpected(before.error());
  // Any other manifest was accepted after the restore, even if its number is
  // lower.
  if (before->Manifest != stored)
    return false;
  std::vector<KeyValuePut> puts = newPages(pages, stored);
  // Pages have no effect until a manifest names them.
  while (puts.size() > MaxPagesPerSwap) {
    if (auto put = Service.put(puts.back()); !put)
      return tl::make_unexpected(put.error());
    puts.pop_back();
  }
  return replaceManifest(manifest, before->Revision, std::move(puts));
}

PlatformResult<bool> RuleRegistry::renumber(const RuleManifest &current,
                                            RuleVersion highest) {
  auto before = this->current();
  if (!before)
    return tl::make_unexpected(before.error());
  if (before->Manifest != current)
    return false;
  RuleManifest next = current;
  next.Version = RuleVersion{highest.Value + 1};
  return replaceManifest(next, before->Revision, {});
}

void RuleRegistry::removeOldVersions(RuleVersion newest) {
  // Best effort: versions that remain are removed after the next submission.
  auto manifests = history();
  if (!manifests)
    return;
  std::set<PageId> needed;
  std::vector<RuleManifest> old;
  for (const RuleManifest &it : *manifests) {
    if (it.Version.Value + VersionsKept <= newest.Value) {
      old.push_back(it);
      continue;
    }
    for (PageId id : it.allPages())
      needed.insert(id);
  }
  for (const RuleManifest &it : old) {
    for (PageId id : it.allPages())
      if (!needed.contains(id))
        (void)Service.remove(pageKey(id));
    (void)Service.remove(historyKey(it.Version));
  }
}

} // namespace chicory
