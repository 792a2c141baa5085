#include "chicorybank/edge/RegistryCache.h"

#include "chicorybank/base/Hash.h"

#include <algorithm>
#include <unordered_set>

namespace chicory::edge {

namespace {

// An instance that was silent for longer than some twenty seconds of changes
// reads everything anew. Where there are more items than that, the history
// holds one change of each: all of them may register anew within a second.
constexpr size_t HistoryItems = 512;
// So many unreadable items are remembered; some 100 kB. Above it they are told
// of more than once.
constexpr size_t MostRefused = 1000;

/// The second registration says nothing that the first one did not.
bool sameMeaning(const ItemContent &a, const ItemContent &b) {
  const auto *x = std::get_if<token::Registration>(&a);
  const auto *y = std::get_if<token::Registration>(&b);
  if (!x || !y)
    return false;
  // Nearly all renewals, of which whoever watches reads thousands a second.
  if (*x == *y)
    return true;
  token::Registration later = *y;
  // It counts down while a server warms up, which whoever was told first knows.
  bool counting =
      later.WarmUpLeft > Duration::zero() && later.WarmUpLeft <= x->WarmUpLeft;
  if (counting)
    later.WarmUpLeft = x->WarmUpLeft;
  // One registration, read in two generations.
  if (later.Order.Revision == x->Order.Revision)
    later.Order = x->Order;
  return *x == later;
}

/// What an item means, as a number. Equal meanings have equal ones.
struct ContentHash {
  uint64_t operator()(const std::monostate & /*news*/) const { return 0; }
  uint64_t operator()(const token::RouteSet &news) const {
    return mixHash(1, news.Version.Value);
  }
  uint64_t operator()(const token::Registration &news) const {
    uint64_t out = mixHash(news.Id.Value, news.Where.packed());
    out = mixHash(out, static_cast<uint64_t>(news.StartedAtMs));
    return mixHash(out, news.Service.Value * 2 + (news.Draining ? 1 : 0));
  }
  uint64_t operator()(const RegistrationUnreadable &news) const {
    return mixHash(2, news.Id.Value);
  }
  uint64_t operator()(const RegistrationEnded & /*news*/) const { return 0; }
  uint64_t operator()(const PeerRecord &news) const {
    return mixHash(news.Id.Value, news.PeerAddress.packed() * 2 + news.Leaving);
  }
  uint64_t operator()(const RouteHistoryPart &news) const {
    uint64_t out = news.Part;
    for (const token::RoutePair &it : news.Pairs)
      out = mixHash(mixHash(out, it.Where.packed()), it.Service.Value);
    return out;
  }
  uint64_t operator()(const DirectorySummary &news) const {
    uint64_t out = 3;
    for (const auto &[zone, digest] : news.Digests)
      out = mixHash(mixHash(out, hashBytes(zone)), digest);
    return out;
  }
  uint64_t operator()(const ZoneDrain &news) const {
    return mixHash(4, hashBytes(news.Zone));
  }
};

uint64_t digestOf(const Item &item, const ItemContent &news) {
  uint64_t identity =
      mixHash(hashBytes(item.Key), static_cast<uint64_t>(item.Created));
  return mixHash(identity, std::visit(ContentHash(), news));
}

bool isRegistration(const ItemContent &news) {
  return std::holds_alternative<token::Registration>(news) ||
         std::holds_alternative<RegistrationUnreadable>(news);
}

/// What only the system itself writes, and writes by what the registry holds,
/// has to be known as missing at once.
bool mayBeHeld(const ItemContent &news) {
  return !std::holds_alternative<RouteHistoryPart>(news) &&
         !std::holds_alternative<DirectorySummary>(news);
}

/// The configuration is replaced, never removed; it is held for as long as it
/// takes.
bool holdEnds(const ItemContent &news, RetainedItems kind) {
  switch (kind) {
  case RetainedItems::Registrations:
    return isRegistration(news);
  case RetainedItems::Instances:
    return std::holds_alternative<PeerRecord>(news);
  case RetainedItems::OperatorSettings:
    break;
  }
  return std::holds_alternative<ZoneDrain>(news);
}

/// A restored registry may show a server as it was before it began to drain.
/// It drains until it has written again.
void keepDrain(const ItemContent &known, ItemContent &news) {
  const auto *before = std::get_if<token::Registration>(&known);
  auto *now = std::get_if<token::Registration>(&news);
  if (before && now && before->Draining)
    now->Draining = true;
}

} // namespace

void RegistryCache::note(const Item &item, Position learnedAt) {
  History.push_back({.Key = item.Key,
                     .LearnedAt = learnedAt,
                     .EndedAt = item.Deleted ? item.At : Position{}});
  if (History.size() <= historyLimit())
    return;
  HistoryFrom = std::max(HistoryFrom, History.front().LearnedAt);
  History.pop_front();
}

void RegistryCache::include(const Entry &entry) {
  Digest ^= entry.Digest;
  InstanceCount += std::holds_alternative<PeerRecord>(entry.Content) ? 1 : 0;
  const auto *server = std::get_if<token::Registration>(&entry.Content);
  if (!server)
    return;
  ZoneDigest &zone = ByZone[server->Zone];
  zone.Digest ^= entry.Digest;
  ++zone.Count;
}

void RegistryCache::exclude(const Entry &entry) {
  if (entry.Held) {
    --HeldCount;
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

void RegistryCache::hold(Entry &entry) {
  exclude(entry);
  entry.Held = true;
  ++HeldCount;
}

/// A page of a list may be older than what a watch or a push told meanwhile:
/// an item in it may have ended since.
bool RegistryCache::endedAfter(const Item &item) const {
  return std::any_of(History.begin(), History.end(), [&](const Past &it) {
    return it.EndedAt > item.At && it.Key == item.Key;
  });
}

/// The copy lacks the item, and began with everything there was at a later
/// revision than the page's: the item had ended by then. What a list that may
/// be old brings back would be a drain of a zone that is over, or a server that
/// has gone.
bool RegistryCache::mayHaveEnded(const Item &item, const ItemPage &page) const {
  return page.At < WholeFrom || endedAfter(item);
}

size_t RegistryCache::historyLimit() const {
  return std::max(HistoryItems, Items.size());
}

void RegistryCache::take(const Item &item, const ItemPage &page,
                         Findings &findings, std::vector<Change> &out) {
  auto it = Items.find(item.Key);
  if (it != Items.end() && !item.supersedes(it->second.Source))
    return;
  if (it == Items.end() && item.At <= At &&
      (item.Deleted || mayHaveEnded(item, page)))
    return;
  if (alreadyRefused(item))
    return;
  size_t faults = findings.items().size();
  ItemContent news = Dialect.translate(item, findings);
  if (it == Items.end() && item.At <= OperatorSettingsAsOf &&
      std::holds_alternative<ZoneDrain>(news))
    return;
  if (item.Deleted) {
    if (it != Items.end()) {
      exclude(it->second);
      Items.erase(it);
    }
    note(item, page.At);
    out.push_back({.Source = item, .Content = std::move(news)});
    return;
  }
  if (std::holds_alternative<std::monostate>(news)) {
    if (findings.items().size() != faults)
      noteRefused(item);
    return;
  }
  if (it == Items.end())
    it = Items.emplace(item.Key, Entry{}).first;
  if (std::holds_alternative<token::RouteSet>(news))
    RoutesKey = item.Key;
  uint64_t digest = digestOf(item, news);
  if (it->second.Source.At.Generation < item.At.Generation)
    keepDrain(it->second.Content, news);
  // Whoever saw the lapse in between has to hear of the new registration.
  bool same = sameMeaning(it->second.Content, news) &&
              it->second.Source.Created == item.Created;
  exclude(it->second);
  it->second = {.Source = item, .Content = news, .Digest = digest};
  include(it->second);
  if (same)
    return;
  note(item, page.At);
  out.push_back({.Source = item, .Content = std::move(news)});
}

/// An item that says nothing is not kept, and lists bring it again and again;
/// its faults are told once for each time that it is written.
bool RegistryCache::alreadyRefused(const Item &item) const {
  auto it = Refused.find(item.Key);
  return it != Refused.end() && it->second == item.At;
}

void RegistryCache::noteRefused(const Item &item) {
  if (Refused.size() >= MostRefused)
    Refused.clear();
  Refused[item.Key] = item.At;
}

std::vector<Change> RegistryCache::apply(const ItemPage &page,
                                         Findings &findings) {
  // Changes of another generation lead nowhere from here.
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
    take(it, page, findings, out);
  return out;
}

std::vector<Change> RegistryCache::applyOperatorSettings(const ItemPage &page,
                                                         Findings &findings) {
  std::vector<Change> out = applyPartial(page, findings);
  OperatorSettingsAsOf = page.At;
  return out;
}

std::vector<Change> RegistryCache::replaceAll(const ItemPage &page,
                                              Findings &findings) {
  if (page.At.Generation < At.Generation)
    return {};
  bool first = At == Position{} || At.Generation < page.At.Generation;
  if (first)
    History.clear();
  std::vector<Change> out;
  std::unordered_set<std::string> present;
  for (const Item &it : page.Items) {
    present.insert(it.Key);
    take(it, page, findings, out);
  }
  std::vector<Item> ended;
  for (auto &[key, entry] : Items) {
    bool later = entry.Source.At > page.At && !entry.Source.MayBeStale;
    if (present.contains(key) || later || entry.Held)
      continue;
    bool otherHistory = entry.Source.At.Generation < page.At.Generation ||
                        entry.Source.MayBeStale;
    if (otherHistory && mayBeHeld(entry.Content))
      hold(entry);
    else
      ended.push_back({.Key = key, .At = page.At, .Deleted = true});
  }
  for (const Item &it : ended)
    take(it, page, findings, out);
  if (first) {
    HistoryFrom = page.At;
    WholeFrom = page.At;
  }
  At = std::max(At, page.At);
  return out;
}

std::vector<Change> RegistryCache::expireRetained(RetainedItems kind,
                                                  Findings &findings) {
  std::vector<Item> ended;
  for (const auto &[key, entry] : Items)
    if (entry.Held && holdEnds(entry.Content, kind))
      ended.push_back({.Key = key, .At = At, .Deleted = true});
  std::vector<Change> out;
  for (const Item &it : ended)
    take(it, {.At = At}, findings, out);
  return out;
}

void RegistryCache::forgetPositions() {
  for (auto &[key, entry] : Items)
    entry.Source.At = {};
  At = {};
  OperatorSettingsAsOf = {};
  Refused.clear();
}

std::vector<token::Registration>
RegistryCache::registrations(std::optional<std::string_view> zone) const {
  std::vector<token::Registration> out;
  for (const auto &[key, entry] : Items)
    if (const auto *it = std::get_if<token::Registration>(&entry.Content);
        it && !entry.Held && (!zone || it->Zone == *zone))
      out.push_back(*it);
  return out;
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

/// Receivers take the items of a page for as new as the page's generation.
Item RegistryCache::passedOn(Item item) const {
  if (item.At.Generation != At.Generation)
    item.At = {.Generation = At.Generation};
  item.MayBeStale = false;
  return item;
}

std::optional<ItemPage> RegistryCache::changesSince(Position position) const {
  if (!hasHistorySince(position))
    return std::nullopt;
  ItemPage out{.At = At};
  std::unordered_set<std::string_view> told;
  // The newest change of each key; an item as it is now covers all of them.
  for (auto it = History.rbegin(); it != History.rend(); ++it) {
    if (it->LearnedAt <= position || !told.insert(it->Key).second)
      continue;
    auto item = Items.find(it->Key);
    if (item != Items.end())
      out.Items.push_back(passedOn(item->second.Source));
    else
      out.Items.push_back({.Key = it->Key, .At = it->EndedAt, .Deleted = true});
  }
  std::reverse(out.Items.begin(), out.Items.end());
  return out;
}

ItemPage RegistryCache::snapshot() const {
  ItemPage out{.At = At};
  for (const auto &[key, entry] : Items)
    if (!entry.Held)
      out.Items.push_back(passedOn(entry.Source));
  return out;
}

} // namespace chicory::edge
