// A copy of the registry's items, and the recent changes to them.
//
// Instances pass news on to each other: whoever is behind gets the changes
// since its revision, or everything where the history does not reach back.
// Renewals that change nothing but a counter are left out.
//
// A registry that was restored from a copy lacks what was written since, and
// whoever wrote it writes it again. Until then the items that it lacks are
// held: they are believed as before, and stand for nothing in what is compared
// with, or passed on to, other instances.

#ifndef CHICORYBANK_EDGE_REGISTRYCACHE_H
#define CHICORYBANK_EDGE_REGISTRYCACHE_H

#include "chicorybank/edge/Registry.h"

#include <deque>
#include <map>
#include <optional>

namespace chicory::edge {

/// An item that changed, and what it says.
struct Change {
  Item Source;
  ItemContent Content;
};

/// Which of the items that a restored registry lacks. Servers write theirs
/// again within a few heartbeats, instances with their next renewal, operators
/// when they get to it.
enum class RetainedItems : uint8_t {
  Registrations,
  Instances,
  OperatorSettings
};

/// The copy.
class RegistryCache {
public:
  explicit RegistryCache(const RegistryDialect &dialect) : Dialect(dialect) {}

  /// Takes changes that lead to a revision. Items that are older than what is
  /// known are ignored, whichever way they came. Returns those that matter.
  std::vector<Change> apply(const ItemPage &page, Findings &findings);
  /// Takes everything there is as of a revision; what is missing has ended.
  std::vector<Change> replaceAll(const ItemPage &page, Findings &findings);

  /// Takes a page of the first list before the rest of it is there. Returns
  /// what it tells; `replaceAll` has to follow with the whole list.
  std::vector<Change> applyPartial(const ItemPage &page, Findings &findings);

  /// Takes everything that the operators have written, before the first list.
  /// That list may be older: an order that it has and these lack has ended.
  std::vector<Change> applyOperatorSettings(const ItemPage &page,
                                            Findings &findings);

  /// The history has no gap behind a position.
  bool hasHistorySince(Position position) const {
    return position >= HistoryFrom && At != Position{};
  }
  /// The changes behind a position; nothing if the history has a gap there.
  std::optional<ItemPage> changesSince(Position position) const;
  /// All items but those that are held.
  ItemPage snapshot() const;
  /// The newest routes, or null.
  const token::RouteSet *routes() const;
  Position position() const { return At; }
  /// So many items are held.
  size_t retainedCount() const { return HeldCount; }
  /// The time for writing such items again is over: what is still held has
  /// ended. Returns that.
  std::vector<Change> expireRetained(RetainedItems kind, Findings &findings);
  /// What was read is not of the registry's present history, as it turned out.
  /// It is believed until the whole list that has to follow.
  void forgetPositions();
  /// A checksum of what the items mean. Two copies at one revision that differ
  /// in it differ in an item: one of them missed a change.
  uint64_t digest() const { return Digest; }
  /// Checksums of the registrations of backend servers alone, by their zone.
  ZoneDigests registrationDigests() const;
  size_t registrationCount() const;
  /// The records of instances, but those that are held.
  size_t instanceCount() const { return InstanceCount; }
  size_t registrationCount(const std::string &zone) const;
  /// All registrations of backend servers that can be read, but those that are
  /// held; or those of a zone.
  std::vector<token::Registration>
  registrations(std::optional<std::string_view> zone = std::nullopt) const;
  /// Another copy has this checksum at a later revision. Where it is ours as
  /// well, nothing that matters has changed in between, so that this copy is
  /// as of that revision. False: they differ, or are of two generations, in
  /// which equal items may have been written at different revisions.
  bool advanceIfEqual(Position position, uint64_t digest);

private:
  struct Entry {
    Item Source;
    ItemContent Content;
    uint64_t Digest = 0;
    bool Held = false;
  };
  /// A change and the position of the page that brought it. That may be later
  /// than the item's own: a list finds changes that a watch has missed. The
  /// value stands in `Items`, unless the key has ended.
  struct Past {
    std::string Key;
    Position LearnedAt;
    Position EndedAt;
  };
  /// Of the registrations of a zone.
  struct ZoneDigest {
    uint64_t Digest = 0;
    size_t Count = 0;
  };
  void take(const Item &item, const ItemPage &page, Findings &findings,
            std::vector<Change> &out);
  /// Takes an entry into the checksums, or out of them.
  void include(const Entry &entry);
  void exclude(const Entry &entry);
  void hold(Entry &entry);
  void note(const Item &item, Position learnedAt);
  Item passedOn(Item item) const;
  size_t historyLimit() const;
  bool alreadyRefused(const Item &item) const;
  void noteRefused(const Item &item);
  bool endedAfter(const Item &item) const;
  bool mayHaveEnded(const Item &item, const ItemPage &page) const;

  const RegistryDialect &Dialect;
  Position At;
  /// Changes up to this position are no longer in `History`.
  Position HistoryFrom;
  /// The position of the generation's first whole page.
  Position WholeFrom;
  std::map<std::string, Entry> Items;
  /// All orders of the operators that stood at this position are known.
  Position OperatorSettingsAsOf;
  /// The key that holds the routes; empty while none does.
  std::string RoutesKey;
  std::deque<Past> History;
  /// Unreadable items, and the position of which that was told.
  std::map<std::string, Position> Refused;
  uint64_t Digest = 0;
  std::map<std::string, ZoneDigest> ByZone;
  size_t InstanceCount = 0;
  size_t HeldCount = 0;
};

} // namespace chicory::edge

#endif
