// The registry as the edge sees it: a key-value service that holds the
// operators' routes and the registrations of backend servers and instances.
//
// `RegistryDialect` is what a deployment's adapter implements. It translates
// calls and answers and decides nothing; when to call, what to do about
// outages and whom to believe is decided by `RegistryWatcher`.

#ifndef CHICORYBANK_EDGE_REGISTRY_H
#define CHICORYBANK_EDGE_REGISTRY_H

#include "chicorybank/base/Findings.h"
#include "chicorybank/edge/Position.h"
#include "chicorybank/token/Events.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace chicory::edge {

/// One key of the registry, as it was read.
struct Item {
  std::string Key;
  std::string Value;
  /// Where it was last written.
  Position At;
  /// The revision at which the key came into being. It differs after a lapse
  /// and a new registration, even where the value is the same. It may be of an
  /// earlier generation than `At`, so it is compared for equality alone.
  int64_t Created = 0;
  /// The key has ended; there is no value.
  bool Deleted = false;
  /// The lease that the key ends with; known where the item was read alone.
  int64_t Lease = 0;
  /// From a read that may be old, even from before a restore: its position may
  /// be later than that of what holds now. Whatever is read otherwise is newer.
  bool MayBeStale = false;

  bool operator==(const Item &) const = default;
  /// Says more than what is known of the key.
  bool supersedes(const Item &known) const {
    return MayBeStale != known.MayBeStale ? known.MayBeStale : At > known.At;
  }
};

/// The answer to a list or a watch.
struct ItemPage {
  std::vector<Item> Items;
  /// There are further items behind the last one (lists only).
  bool More = false;
  /// Where the registry stands: a watch goes on behind it.
  Position At;

  /// The page and its items were read in this generation. Answers of the
  /// registry hold bare revisions; their header tells the generation.
  void setGeneration(Generation generation) {
    At.Generation = generation;
    for (Item &it : Items)
      it.At.Generation = generation;
  }
  /// Its items are from a read that may be old.
  void markMayBeStale() {
    for (Item &it : Items)
      it.MayBeStale = true;
  }
};

/// A backend server's registration has ended.
struct RegistrationEnded {
  token::BackendId Id;
};

/// A backend server's key holds something that can't be read.
struct RegistrationUnreadable {
  token::BackendId Id;
};

/// Another instance of this deployment.
struct PeerRecord {
  InstanceId Id;
  std::string Zone;
  /// For messages between instances (UDP), and for news (HTTP).
  Address PeerAddress;
  /// The instance is stopping as planned. It may be back within seconds.
  bool Leaving = false;
  /// The record has ended.
  bool Gone = false;

  bool operator==(const PeerRecord &) const = default;
};

/// The record of what routes lead to and have led to is kept in so many items
/// at most: a change rewrites one of them, which is some 12 kB at 5,700
/// addresses. A transaction has room for this many with their conditions.
inline constexpr uint32_t MaxRouteHistoryParts = 16;

/// One part of that record (`RouteHistory.h`).
struct RouteHistoryPart {
  uint32_t Part = 0;
  std::vector<token::RoutePair> Pairs;
  /// Where the item was written; revision zero where there is none.
  Position At;

  bool operator==(const RouteHistoryPart &) const = default;
};

/// The parts that the registry holds, by number.
using RouteHistoryParts = std::map<uint32_t, RouteHistoryPart>;

/// Checksums by availability zone; zero for one that is not named.
using ZoneDigests = std::map<std::string, uint64_t>;

/// Says what the directory holds (`Directory.h`). The directory itself is large
/// and read by those that start alone. It has a part for each zone.
struct DirectorySummary {
  /// Of the registrations that it lists; see
  /// `RegistryCache::registrationDigests`.
  ZoneDigests Digests;
  /// Where the item was written; revision zero where there is none.
  Position At;

  bool operator==(const DirectorySummary &) const = default;
};

/// The operators drain a zone for as long as its item stands.
struct ZoneDrain {
  std::string Zone;
  bool Active = true;

  bool operator==(const ZoneDrain &) const = default;
};

/// What one item says; `monostate` for items that don't concern an instance.
using ItemContent =
    std::variant<std::monostate, token::RouteSet, token::Registration,
                 RegistrationEnded, RegistrationUnreadable, PeerRecord,
                 RouteHistoryPart, DirectorySummary, ZoneDrain>;

/// What a call is for. Each costs the registry something of its own, so they
/// are counted apart.
enum class CallKind : uint8_t {
  List,                ///< A page of everything.
  Watch,               ///< Changes behind a revision.
  Lease,               ///< Creates or ends a lease.
  Renewal,             ///< Renews a lease.
  WriteInstanceRecord, ///< Writes this instance's record.
  WriteRouteHistory,   ///< Writes the record of routes.
  OperatorSettings,    ///< Reads what the operators have written, and nothing
  ///< else.
  Directory,          ///< Reads the directory of registrations.
  RouteHistory,       ///< Reads the record of routes alone.
  ReadInstanceRecord, ///< Reads this instance's record.
  WriteDirectory,
};
inline constexpr size_t CallKindCount = 11;
/// A word for metrics and logs.
const char *callKindName(CallKind kind);

/// How new a list has to be.
enum class Freshness : uint8_t {
  /// Holds everything that was written before the call.
  Current,
  /// May be seconds old, and costs the registry a tenth. It proves nothing
  /// about what holds now.
  MayBeStale,
};

/// A request to the registry, ready to be sent.
struct RegistryCall {
  CallKind Kind = CallKind::List;
  std::string Method = "GET";
  std::string Target;
  std::string Body;
};

/// Translates between the edge and one kind of registry.
class RegistryDialect {
public:
  virtual ~RegistryDialect() = default;

  /// The header of all answers that tells the registry's generation.
  virtual std::string generationHeader() const = 0;
  /// Reads that header; nothing where it can't be read.
  virtual std::optional<Generation>
  parseGeneration(std::string_view text) const = 0;

  /// Reads every item behind the key `after`; empty starts at the first.
  virtual RegistryCall list(const std::string &after,
                            Freshness freshness) const = 0;
  /// Reads what the operators have written, the configuration and the zones
  /// that they drain, as it is now: a page of it, behind the key `after`.
  virtual RegistryCall readOperatorSettings(const std::string &after) const = 0;
  /// Reads the directory's part for a zone; it may be old.
  virtual RegistryCall readDirectory(const std::string &zone) const = 0;
  /// Reads a page of all parts of the directory, behind the key `after`; they
  /// may be old.
  virtual RegistryCall readDirectories(const std::string &after) const = 0;
  /// Reads the record of routes alone; it may be old.
  virtual RegistryCall readRouteHistory() const = 0;
  /// Reads an instance's own record.
  virtual RegistryCall readInstanceRecord(InstanceId id,
                                          Freshness freshness) const = 0;
  /// Reads the answer to a call that asks for one item.
  virtual tl::expected<Item, std::string>
  parseItem(const std::string &body) const = 0;
  /// Waits up to `wait` for changes behind a revision of the generation in
  /// which the registry is.
  virtual RegistryCall watch(int64_t revision, Duration wait) const = 0;
  /// Reads the answer of either; an error says what can't be read. Only pages
  /// of other instances tell their generation.
  virtual tl::expected<ItemPage, std::string>
  parsePage(const std::string &body) const = 0;
  /// The inverse of `parsePage`, for passing news on to other instances.
  virtual std::string serializePage(const ItemPage &page) const = 0;

  /// Creates a lease that ends `life` after its last renewal.
  virtual RegistryCall createLease(Duration life) const = 0;
  virtual tl::expected<int64_t, std::string>
  parseLease(const std::string &body) const = 0;
  virtual RegistryCall renewLease(int64_t lease) const = 0;
  virtual RegistryCall revokeLease(int64_t lease) const = 0;
  /// Writes this instance's record under a lease.
  virtual RegistryCall writeInstanceRecord(const PeerRecord &self,
                                           int64_t lease) const = 0;

  /// Writes parts of the record of routes, each only where its item still has
  /// the revision that is named; all of them or none.
  virtual RegistryCall
  writeRouteHistory(const std::vector<RouteHistoryPart> &records) const = 0;

  /// Writes parts of the directory, by zone, and its note, where the note still
  /// has the revision that is named; all or none.
  virtual RegistryCall
  writeDirectory(const DirectorySummary &note,
                 const std::map<std::string, std::string> &parts) const = 0;

  /// What an item says. Faults go to the findings with their place; what can
  /// be read is returned all the same.
  virtual ItemContent translate(const Item &item, Findings &findings) const = 0;
};

} // namespace chicory::edge

#endif
