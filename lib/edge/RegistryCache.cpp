#include "chicorybank/edge/RegistryCache.h"

#include "chicorybank/base/Hash.h"

#include <algorithm>
#include <unordered_set>

namespace chicory::edge {

namespace {

// The history holds at least this many changes, those of about twenty seconds.
// An instance that is further behind reads everything. With more items than
// that, the history has room for one change of each, since all of them may
// register again within a second.
constexpr size_t MinHistoryItems = 512;
// About 100 kB. Beyond it, errors in an item are reported more than once.
constexpr size_t MaxUnparseable = 1000;

/// Returns true if both are registrations and the second one adds nothing to
/// the first; false for any other content.
bool addsNothing(const ItemContent &a, const ItemContent &b) {
  const auto *x = std::get_if<token::Registration>(&a);
  const auto *y = std::get_if<token::Registration>(&b);
  if (!x || !y)
    return false;
  // Nearly all writes of registrations are renewals, thousands a second for the
  // instance that watches.
  if (*x == *y)
    return true;
  token::Registration later = *y;
  later.Sequence = x->Sequence;
  // `WarmUpLeft` decreases while a server warms up. An instance that knows when
  // the warm-up began needs no update.
  bool countingDown =
      later.WarmUpLeft > Duration::zero() && later.WarmUpLeft <= x->WarmUpLeft;
  if (countingDown)
    later.WarmUpLeft = x->WarmUpLeft;
  // The same registration, read in two generations.
  if (later.Order.Revision == x->Order.Revision)
    later.Order = x->Order;
  return *x == later;
}

/// Checksums are compared with those of instances that know 32 bits of an id.
uint32_t shortValue(ServiceId id) {
  return static_cast<uint32_t>(shortServiceId(id).Value);
}

/// Hashes an item's content; equal contents have equal hashes.
struct ContentHash {
  uint64_t operator()(const std::monostate & /*content*/) const { return 0; }
  uint64_t operator()(const token::RouteSet &content) const {
    return mixHash(1, content.Version.Value);
  }
  uint64_t operator()(const token::Registration &content) const {
    uint64_t out = mixHash(content.Id.Value, content.Where.packed());
    out = mixHash(out, static_cast<uint64_t>(content.StartedAtMs));
    return mixHash(out, shortValue(content.Service) * 2 +
                            (content.Draining ? 1 : 0));
  }
  uint64_t operator()(const RegistrationUnreadable &content) const {
    return mixHash(2, content.Id.Value);
  }
  uint64_t operator()(const RegistrationEnded & /*content*/) const { return 0; }
  uint64_t operator()(const PeerRecord &content) const {
    return mixHash(content.Id.Value,
                   content.PeerAddress.packed() * 2 + content.Leaving);
  }
  uint64_t operator()(const RouteHistoryPart &content) const {
    uint64_t out = content.Part;
    for (const token::RoutePair &it : content.Pairs)
      out = mixHash(mixHash(out, it.Where.packed()), shortValue(it.Service));
    return out;
  }
  uint64_t operator()(const DirectorySummary &content) const {
    uint64_t out = 3;
    for (const auto &[zone, digest] : content.Digests)
      out = mixHash(mixHash(out, hashBytes(zone)), digest);
    return out;
  }
  uint64_t operator()(const ZoneDrain &content) const {
    return mixHash(4, hashBytes(content.Zone));
  }
};

uint64_t digestOf(const Item &item, const ItemContent &content) {
  uint64_t identity =
      mixHash(hashBytes(item.Key), static_cast<uint64_t>(item.Created));
  return mixHash(identity, std::visit(ContentHash(), content));
}

/// Returns the server that an item's content is about, if it is about one.
std::optional<token::BackendId> serverOf(const ItemContent &content) {
  if (const auto *it = std::get_if<token::Registration>(&content))
    return it->Id;
  if (const auto *it = std::get_if<RegistrationUnreadable>(&content))
    return it->Id;
  if (const auto *it = std::get_if<RegistrationEnded>(&content))
    return it->Id;
  return std::nullopt;
}

bool isRegistration(const ItemContent &content) {
  return std::holds_alternative<token::Registration>(content) ||
         std::holds_alternative<RegistrationUnreadable>(content);
}

/// The route history and the directory are written by this system alone,
/// according to what the registry holds, so their loss has to be known at once.
bool mayBeRetained(const ItemContent &content) {
  return !std::holds_alternative<RouteHistoryPart>(content) &&
         !std::holds_alternative<DirectorySummary>(content);
}

/// The configuration is of no kind, so it never expires: it is retained until
/// it is replaced, and never removed.
bool isOfKind(const ItemContent &content, RetainedItems kind) {
  switch (kind) {
  case RetainedItems::Registrations:
    return isRegistration(content);
  case RetainedItems::Instances:
    return std::holds_alternative<PeerRecord>(content);
  case RetainedItems::OperatorSettings:
    break;
  }
  return std::holds_alternative<ZoneDrain>(content);
}

/// A restored registry may hold a server's registration from before it began to
/// drain. The server keeps draining until it has written again.
void keepDrain(const ItemContent &known, ItemContent &content) {
  const auto *before = std::get_if<token::Registration>(&known);
  auto *now = std::get_if<token::Registration>(&content);
  if (before && now && before->Draining)
    now->Draining = true;
}

} // namespace

void RegistryCache::addToHistory(const Item &item, Position learnedAt) {
  // A later page of a list has items from after the list's position.
  // `changesSince` this position must have them.
  History.push_back({.Key = item.Key,
                     .LearnedAt = std::max(learnedAt, item.At),
                     .EndedAt = item.Deleted ? item.At : Position{}});
  if (History.size() <= historyLimit())
    return;
  HistoryFrom = std::max(HistoryFrom, History.front().LearnedAt);
  History.pop_front();
}

void RegistryCache::addToTotals(const Entry &entry) {
  Digest ^= entry.Digest;
  InstanceCount += std::holds_alternative<PeerRecord>(entry.Content) ? 1 : 0;
  const auto *server = std::get_if<token::Registration>(&entry.Content);
  if (!server)
    return;
  ZoneDigest &zone = ByZone[server->Zone];
  zone.Digest ^= entry.Digest;
  ++zone.Count;
}

void RegistryCache::removeFromTotals(const Entry &entry) {
  if (entry.Retained) {
    --RetainedCount;
    return;
  }
  Digest ^= entry.Digest;
  InstanceCount -= std::holds_alternative<PeerRecord>(entry.Content) ? 1 : 0;
  const auto *server = std::get_if<token::Registration>(&entry.Content);
  if (!server)
    return;
  auto zone = ByZone.find(server->Zone);
  zone->second.Digest ^= entry.Digest;
  if (--zone->second.Count == 0)
    ByZone.erase(zone);
}

void RegistryCache::retain(Entry &entry) {
  removeFromTotals(entry);
  entry.Retained = true;
  ++RetainedCount;
}

/// A page of a list may be older than what a watch or a push has reported
/// meanwhile: an item in it may have ended since.
bool RegistryCache::endedAfter(const Item &item) const {
  return std::any_of(History.begin(), History.end(),
                     [&](const HistoryEntry &it) {
                       return it.EndedAt > item.At && it.Key == item.Key;
                     });
}

/// For an item that the cache lacks. If the first whole list was at a later
/// revision than the page, the item had ended by then. A list that may be stale
/// would otherwise restore the drain of a zone that is over, or a server that
/// has gone.
bool RegistryCache::mayHaveEnded(const Item &item, const ItemPage &page) const {
  return page.At < FirstListAt || endedAfter(item);
}

size_t RegistryCache::historyLimit() const {
  return std::max(MinHistoryItems, Items.size());
}

/// Items of the generation's first whole list may have been made before the
/// restore that began it.
token::RegistrationOrder RegistryCache::orderOf(const Item &item) const {
  using token::RegistrationOrigin;
  bool afterFirstList = FirstListAt.Generation == item.At.Generation &&
                        item.Created > FirstListAt.Revision;
  return {.Generation = item.At.Generation.Value,
          .Revision = static_cast<uint64_t>(std::max<int64_t>(item.Created, 0)),
          .Origin = item.MayBeStale  ? RegistrationOrigin::Uncertain
                    : afterFirstList ? RegistrationOrigin::ThisGeneration
                                     : RegistrationOrigin::UpToThis};
}

/// Records what a key holds now. `isNew`: the key was not in the cache. Returns
/// false if it concerns a server whose id another key owns.
bool RegistryCache::updateOwner(const Item &item, const ItemContent &content,
                                bool isNew) {
  std::optional<token::BackendId> id = serverOf(content);
  if (!id)
    return true;
  if (item.Deleted)
    return Keys.end(*id, item.Key);
  if (const auto *it = std::get_if<token::Registration>(&content))
    return Keys.claim(
        *id, item.Key,
        {.Created = item.Created, .Service = it->Service, .IsNew = isNew});
  return Keys.mayOwn(*id, item.Key);
}

/// Lets each key that does not own its server's id claim it again, after a page
/// that has changed the named services or the keys with that id. Removes the
/// changes of keys that are no longer owners.
void RegistryCache::recheckOwners(std::vector<Change> &out) {
  if (!Keys.takeRecheck())
    return;
  for (const auto &[key, entry] : Items) {
    const auto *it = std::get_if<token::Registration>(&entry.Content);
    if (!it || entry.Retained || !Keys.hasConflict(it->Id) ||
        Keys.owns(it->Id, key))
      continue;
    if (updateOwner(entry.Source, entry.Content, false))
      out.push_back({.Source = entry.Source, .Content = entry.Content});
  }
  std::erase_if(out, [&](const Change &it) {
    std::optional<token::BackendId> id = serverOf(it.Content);
    return id && Keys.hasConflict(*id) && !Keys.mayOwn(*id, it.Source.Key);
  });
}

void RegistryCache::applyItem(const Item &item, const ItemPage &page,
                              Findings &findings, std::vector<Change> &out) {
  auto it = Items.find(item.Key);
  if (it != Items.end() && !item.supersedes(it->second.Source))
    return;
  if (it == Items.end() && item.At <= At &&
      (item.Deleted || mayHaveEnded(item, page)))
    return;
  if (alreadyReported(item))
    return;
  size_t faults = findings.items().size();
  ItemContent content = Dialect.translate(item, findings);
  if (auto *server = std::get_if<token::Registration>(&content))
    server->Order = orderOf(item);
  if (it == Items.end() && item.At <= OperatorSettingsAsOf &&
      std::holds_alternative<ZoneDrain>(content))
    return;
  if (item.Deleted) {
    if (it != Items.end()) {
      removeFromTotals(it->second);
      Items.erase(it);
    }
    addToHistory(item, page.At);
    if (updateOwner(item, content, false))
      out.push_back({.Source = item, .Content = std::move(content)});
    return;
  }
  if (std::holds_alternative<std::monostate>(content)) {
    if (findings.items().size() != faults)
      recordReported(item);
    return;
  }
  bool isNew = it == Items.end();
  if (isNew)
    it = Items.emplace(item.Key, Entry{}).first;
  bool wasRegistered =
      std::holds_alternative<token::Registration>(it->second.Content);
  if (const auto *routes = std::get_if<token::RouteSet>(&content)) {
    RoutesKey = item.Key;
    Keys.learnRoutes(*routes);
  }
  uint64_t digest = digestOf(item, content);
  if (it->second.Source.At.Generation < item.At.Generation)
    keepDrain(it->second.Content, content);
  // An instance that saw the old registration lapse needs the new one, and so
  // does one that retains it.
  bool same = !it->second.Retained &&
              addsNothing(it->second.Content, content) &&
              it->second.Source.Created == item.Created;
  removeFromTotals(it->second);
  it->second = {.Source = item, .Content = content, .Digest = digest};
  addToTotals(it->second);
  bool isOwner = updateOwner(item, content, isNew);
  if (!isOwner && !wasRegistered)
    findings.add({.File = item.Key},
                 "has the id of a server that is registered at another key");
  if (same)
    return;
  addToHistory(item, page.At);
  if (isOwner)
    out.push_back({.Source = item, .Content = std::move(content)});
}

/// Unparseable items are not cached, so every list contains them again; their
/// errors are reported once for each write.
bool RegistryCache::alreadyReported(const Item &item) const {
  auto it = Unparseable.find(item.Key);
  return it != Unparseable.end() && it->second == item.At;
}

void RegistryCache::recordReported(const Item &item) {
  if (Unparseable.size() >= MaxUnparseable)
    Unparseable.clear();
  Unparseable[item.Key] = item.At;
}

std::vector<Change> RegistryCache::apply(const ItemPage &page,
                                         Findings &findings) {
  // Changes of another generation do not apply to this one.
  if (page.At.Generation != At.Generation && At != Position{})
    return {};
  std::vector<Change> out = applyPartial(page, findings);
  At = std::max(At, page.At);
  return out;
}

std::vector<Change> RegistryCache::applyPartial(const ItemPage &page,
                                                Findings &findings) {
  std::vector<Change> out;
  for (const Item &it : page.Items)
    applyItem(it, page, findings, out);
  recheckOwners(out);
  return out;
}

std::vector<Change> RegistryCache::applyOperatorSettings(const ItemPage &page,
                                                         Findings &findings) {
  std::vector<Change> out = applyPartial(page, findings);
  OperatorSettingsAsOf = page.At;
  return out;
}

/// Items from a read that may be stale do not replace those of other
/// instances, even if they are newer. Their changes are not in the cache, so
/// its position stays before them.
Position RegistryCache::positionAfter(const ItemPage &list) const {
  Position out = list.At;
  for (const Item &it : list.Items) {
    auto known = Items.find(it.Key);
    bool ignored = known != Items.end() && it.At > known->second.Source.At &&
                   !it.supersedes(known->second.Source);
    if (ignored)
      out = std::min(out, Position{.Generation = it.At.Generation,
                                   .Revision = it.At.Revision - 1});
  }
  return out;
}

std::vector<Change> RegistryCache::replaceAll(const ItemPage &page,
                                              Findings &findings) {
  if (page.At.Generation < At.Generation)
    return {};
  Position reached = positionAfter(page);
  bool first = At == Position{} || At.Generation < page.At.Generation;
  if (first) {
    // Pages that were applied before the whole list may have had later items.
    std::erase_if(History, [&](const HistoryEntry &it) {
      return it.LearnedAt <= page.At;
    });
    HistoryFrom = page.At;
    FirstListAt = page.At;
  }
  std::vector<Change> out;
  std::unordered_set<std::string> present;
  for (const Item &it : page.Items) {
    present.insert(it.Key);
    applyItem(it, page, findings, out);
  }
  std::vector<Item> ended;
  for (auto &[key, entry] : Items) {
    bool later = entry.Source.At > page.At && !entry.Source.MayBeStale;
    if (present.contains(key) || later || entry.Retained)
      continue;
    bool otherHistory = entry.Source.At.Generation < page.At.Generation ||
                        entry.Source.MayBeStale;
    if (otherHistory && mayBeRetained(entry.Content))
      retain(entry);
    else
      ended.push_back({.Key = key, .At = page.At, .Deleted = true});
  }
  for (const Item &it : ended)
    applyItem(it, page, findings, out);
  recheckOwners(out);
  At = std::max(At, reached);
  return out;
}

std::vector<Change> RegistryCache::expireRetained(RetainedItems kind,
                                                  Findings &findings) {
  std::vector<Item> ended;
  for (const auto &[key, entry] : Items)
    if (entry.Retained && isOfKind(entry.Content, kind))
      ended.push_back({.Key = key, .At = At, .Deleted = true});
  std::vector<Change> out;
  for (const Item &it : ended)
    applyItem(it, {.At = At}, findings, out);
  recheckOwners(out);
  return out;
}

void RegistryCache::forgetPositions() {
  for (auto &[key, entry] : Items)
    entry.Source.At = {};
  At = {};
  OperatorSettingsAsOf = {};
  Unparseable.clear();
}

std::vector<token::Registration>
RegistryCache::registrations(std::optional<std::string_view> zone) const {
  std::vector<token::Registration> out;
  for (const auto &[key, entry] : Items)
    if (const auto *it = std::get_if<token::Registration>(&entry.Content);
        it && !entry.Retained && (!zone || it->Zone == *zone) &&
        (!Keys.hasConflict(it->Id) || Keys.mayOwn(it->Id, key)))
      out.push_back(*it);
  return out;
}

const Item *RegistryCache::find(const std::string &key) const {
  auto it = Items.find(key);
  return it == Items.end() || it->second.Retained ? nullptr
                                                  : &it->second.Source;
}

ZoneDigests RegistryCache::registrationDigests() const {
  ZoneDigests out;
  for (const auto &[zone, it] : ByZone)
    out[zone] = it.Digest;
  return out;
}

size_t RegistryCache::registrationCount(const std::string &zone) const {
  auto it = ByZone.find(zone);
  return it == ByZone.end() ? 0 : it->second.Count;
}

size_t RegistryCache::registrationCount() const {
  size_t out = 0;
  for (const auto &[zone, it] : ByZone)
    out += it.Count;
  return out;
}

bool RegistryCache::advanceIfEqual(Position position, uint64_t digest) {
  bool comparable = At != Position{} && position.Generation == At.Generation;
  if (!comparable || digest != Digest || position < At)
    return false;
  At = position;
  return true;
}

const token::RouteSet *RegistryCache::routes() const {
  auto it = Items.find(RoutesKey);
  return it == Items.end() ? nullptr
                           : std::get_if<token::RouteSet>(&it->second.Content);
}

/// Receivers assume that the items of a page are of the page's generation.
Item RegistryCache::asPassedOn(Item item) const {
  if (item.At.Generation != At.Generation)
    item.At = {.Generation = At.Generation};
  item.MayBeStale = false;
  return item;
}

std::optional<ItemPage> RegistryCache::changesSince(Position position) const {
  if (!hasHistorySince(position))
    return std::nullopt;
  ItemPage out{.At = At};
  std::unordered_set<std::string_view> seen;
  // The newest change of each key; the item's present value covers the older
  // ones.
  for (auto it = History.rbegin(); it != History.rend(); ++it) {
    if (it->LearnedAt <= position || !seen.insert(it->Key).second)
      continue;
    auto item = Items.find(it->Key);
    if (item != Items.end())
      out.Items.push_back(asPassedOn(item->second.Source));
    else
      out.Items.push_back({.Key = it->Key, .At = it->EndedAt, .Deleted = true});
  }
  std::reverse(out.Items.begin(), out.Items.end());
  return out;
}

ItemPage RegistryCache::snapshot() const {
  ItemPage out{.At = At};
  for (const auto &[key, entry] : Items)
    if (!entry.Retained)
      out.Items.push_back(asPassedOn(entry.Source));
  return out;
}

} // namespace chicory::edge
