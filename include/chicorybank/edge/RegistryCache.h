// A cache of the registry's items, and the recent changes to them.
//
// Instances pass updates on to each other: an instance that is behind gets the
// changes since its revision, or all items if the history does not reach back
// that far. Renewals that change only a counter are left out.
//
// A registry that was restored from a backup lacks what was written since,
// until the writers write it again. Until then the cache retains the items that
// the registry lacks: it uses them as before, but neither compares them with
// other instances nor passes them on.

#ifndef CHICORYBANK_EDGE_REGISTRYCACHE_H
#define CHICORYBANK_EDGE_REGISTRYCACHE_H

#include "chicorybank/edge/Registry.h"
#include "chicorybank/edge/ServerKeys.h"

#include <deque>
#include <map>
#include <optional>

namespace chicory::edge {

/// An item that changed, and its content.
struct Change {
  Item Source;
  ItemContent Content;
};

/// The kinds of items that are retained for a restored registry. Servers write
/// theirs again within a few heartbeats, instances with their next renewal,
/// operators in their own time.
enum class RetainedItems : uint8_t {
  Registrations,
  Instances,
  OperatorSettings
};

class RegistryCache {
public:
  explicit RegistryCache(const RegistryDialect &dialect) : Dialect(dialect) {}

  /// Applies changes that lead to a revision, and returns them without renewals
  /// that change only a counter. Items older than the cached ones are ignored,
  /// whatever their source.
  std::vector<Change> apply(const ItemPage &page, Findings &findings);
  /// Replaces the contents by all items as of a revision; items that are
  /// missing have ended, or are retained after a restore.
  std::vector<Change> replaceAll(const ItemPage &page, Findings &findings);

  /// Applies a page of the first list before the rest of it arrives, and
  /// returns its changes; `replaceAll` has to follow with the whole list.
  std::vector<Change> applyPartial(const ItemPage &page, Findings &findings);

  /// Applies all operator settings before the first list. That list may be
  /// older: a setting that it has and these lack has ended.
  std::vector<Change> applyOperatorSettings(const ItemPage &page,
                                            Findings &findings);

  /// Returns true if the history has no gap after a position.
  bool hasHistorySince(Position position) const {
    return position >= HistoryFrom && At != Position{};
  }
  /// Returns the changes after a position; nothing if the history has a gap
  /// there.
  std::optional<ItemPage> changesSince(Position position) const;
  /// Returns all items but the retained ones.
  ItemPage snapshot() const;
  /// Returns the newest routes, or null.
  const token::RouteSet *routes() const;
  Position position() const { return At; }
  size_t retainedCount() const { return RetainedCount; }
  /// Ends all retained items of a kind, and returns these changes. Call it when
  /// the time for writing them again is over.
  std::vector<Change> expireRetained(RetainedItems kind, Findings &findings);
  /// Forgets the positions of all items, once they turn out not to be of the
  /// registry's present history. The items stay in use until the whole list
  /// that has to follow.
  void forgetPositions();
  /// Returns a checksum of the items' content. If two caches at one revision
  /// differ in it, one of them missed a change.
  uint64_t digest() const { return Digest; }
  /// Returns checksums of the registrations of backend servers, by zone.
  ZoneDigests registrationDigests() const;
  size_t registrationCount() const;
  /// Returns the number of instances' records, without retained ones.
  size_t instanceCount() const { return InstanceCount; }
  size_t registrationCount(const std::string &zone) const;
  /// Returns all registrations of backend servers that can be parsed, without
  /// retained ones; or those of one zone.
  std::vector<token::Registration>
  registrations(std::optional<std::string_view> zone = std::nullopt) const;
  /// Returns the item of a key as it was read, or null if the cache lacks or
  /// only retains it.
  const Item *find(const std::string &key) const;
  /// Advances to a later revision at which another cache has the given
  /// checksum, if this cache has it as well: then nothing that matters has
  /// changed in between. Returns false if the checksums differ, or if the
  /// positions are of two generations, in which equal items may have been
  /// written at different revisions.
  bool advanceIfEqual(Position position, uint64_t digest);

private:
  struct Entry {
    Item Source;
    ItemContent Content;
    uint64_t Digest = 0;
    bool Retained = false;
  };
  /// A change, and the position of the page that brought it. That may be later
  /// than the item's own: a list finds changes that a watch has missed. The
  /// value is in `Items`, unless the key has ended.
  struct HistoryEntry {
    std::string Key;
    Position LearnedAt;
    Position EndedAt;
  };
  /// The checksum and number of a zone's registrations.
  struct ZoneDigest {
    uint64_t Digest = 0;
    size_t Count = 0;
  };
  void applyItem(const Item &item, const ItemPage &page, Findings &findings,
                 std::vector<Change> &out);
  /// Adds an entry to the checksums and counts, or removes it.
  void addToTotals(const Entry &entry);
  void removeFromTotals(const Entry &entry);
  void retain(Entry &entry);
  /// Returns the position up to which the cache will hold all changes once it
  /// has applied a list of everything.
  Position positionAfter(const ItemPage &list) const;
  bool updateOwner(const Item &item, const ItemContent &content, bool isNew);
  void recheckOwners(std::vector<Change> &out);
  void addToHistory(const Item &item, Position learnedAt);
  Item asPassedOn(Item item) const;
  size_t historyLimit() const;
  bool alreadyReported(const Item &item) const;
  void recordReported(const Item &item);
  bool endedAfter(const Item &item) const;
  bool mayHaveEnded(const Item &item, const ItemPage &page) const;
  token::RegistrationOrder orderOf(const Item &item) const;

  const RegistryDialect &Dialect;
  Position At;
  /// Changes up to this position are no longer in `History`.
  Position HistoryFrom;
  /// The position of the generation's first whole list.
  Position FirstListAt;
  std::map<std::string, Entry> Items;
  ServerKeys Keys;
  /// All operator settings as of this position are known.
  Position OperatorSettingsAsOf;
  /// The key that holds the routes; empty if none does.
  std::string RoutesKey;
  std::deque<HistoryEntry> History;
  /// Items that can't be parsed, and the position at which each was reported.
  std::map<std::string, Position> Unparseable;
  uint64_t Digest = 0;
  std::map<std::string, ZoneDigest> ByZone;
  size_t InstanceCount = 0;
  size_t RetainedCount = 0;
};

} // namespace chicory::edge

#endif
