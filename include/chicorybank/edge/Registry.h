// The registry as an instance sees it: a key-value service that holds the
// operator settings and the registrations of backend servers and instances.
//
// `RegistryDialect` is the interface that a deployment's adapter implements. It
// builds calls, parses answers and makes no decisions; `RegistryWatcher`
// decides when to call, how to handle outages and which source to trust.

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

/// One key of the registry, as read.
struct Item {
  std::string Key;
  std::string Value;
  /// The position of its last write.
  Position At;
  /// The revision at which the key was created. It differs after a registration
  /// has expired and was made again, even if the value is the same. It may be
  /// of an earlier generation than `At`, so compare it for equality only.
  int64_t Created = 0;
  /// The key was deleted; there is no value.
  bool Deleted = false;
  /// The lease that the key expires with; known only if the item was read on
  /// its own.
  int64_t Lease = 0;
  /// From a read that may be stale, even from before a restore: its position
  /// can't be compared with that of an item from a current read. Any such item
  /// supersedes it.
  bool MayBeStale = false;

  bool operator==(const Item &) const = default;
  /// Returns true if this item is newer than the known one of the same key.
  bool supersedes(const Item &known) const {
    return MayBeStale != known.MayBeStale ? known.MayBeStale : At > known.At;
  }
};

/// The answer to a list or a watch.
struct ItemPage {
  std::vector<Item> Items;
  /// More items follow the last one (lists only).
  bool More = false;
  /// The registry's position; a watch continues after it.
  Position At;

  /// Sets the generation of the page and its items. Answers of the registry
  /// hold bare revisions; a header gives their generation.
  void setGeneration(Generation generation) {
    At.Generation = generation;
    for (Item &it : Items)
      it.At.Generation = generation;
  }
  /// Marks all items as coming from a read that may be stale.
  void markMayBeStale() {
    for (Item &it : Items)
      it.MayBeStale = true;
  }
};

struct RegistrationEnded {
  token::BackendId Id;
};

/// A backend server's key holds a value that can't be parsed.
struct RegistrationUnreadable {
  token::BackendId Id;
};

/// The record of an instance of this deployment.
struct PeerRecord {
  InstanceId Id;
  std::string Zone;
  /// Receives UDP messages of other instances, and their HTTP requests on the
  /// same port number.
  Address PeerAddress;
  /// The instance is stopping as planned and may be back within seconds.
  bool Leaving = false;
  /// The record has ended.
  bool Gone = false;

  bool operator==(const PeerRecord &) const = default;
};

/// The maximum number of items that hold the history of route targets: one
/// transaction has room for this many writes with their conditions. With more
/// items, a change rewrites less: one item, about 12 kB at 5,700 addresses.
inline constexpr uint32_t MaxRouteHistoryParts = 16;

/// One part of that history (`RouteHistory.h`).
struct RouteHistoryPart {
  uint32_t Part = 0;
  std::vector<token::RoutePair> Pairs;
  /// Where the item was written; revision zero if there is none.
  Position At;

  bool operator==(const RouteHistoryPart &) const = default;
};

/// The parts that the registry holds, by number.
using RouteHistoryParts = std::map<uint32_t, RouteHistoryPart>;

/// Checksums by availability zone; zero for a zone without an entry.
using ZoneDigests = std::map<std::string, uint64_t>;

/// Describes the contents of the directory (`Directory.h`). The directory
/// itself is large, has a part for each zone, and is read only by instances
/// that start.
struct DirectorySummary {
  /// Checksums of the registrations that it lists; see
  /// `RegistryCache::registrationDigests`.
  ZoneDigests Digests;
  /// Where the item was written; revision zero if there is none.
  Position At;

  bool operator==(const DirectorySummary &) const = default;
};

/// The operators drain a zone for as long as its item exists.
struct ZoneDrain {
  std::string Zone;
  bool Active = true;

  bool operator==(const ZoneDrain &) const = default;
};

/// The parsed content of an item; `monostate` if the item doesn't concern an
/// instance or, for some kinds, can't be parsed.
using ItemContent =
    std::variant<std::monostate, token::RouteSet, token::Registration,
                 RegistrationEnded, RegistrationUnreadable, PeerRecord,
                 RouteHistoryPart, DirectorySummary, ZoneDrain>;

/// The purpose of a call. The costs to the registry differ by kind, so calls
/// are counted by kind.
enum class CallKind : uint8_t {
  List,                ///< Lists a page of all items.
  Watch,               ///< Waits for changes after a revision.
  Lease,               ///< Creates or revokes a lease.
  Renewal,             ///< Renews a lease.
  WriteInstanceRecord, ///< Writes this instance's record.
  WriteRouteHistory,   ///< Writes the history of route targets.
  OperatorSettings,    ///< Reads the operator settings alone.
  Directory,           ///< Reads the directory of registrations.
  RouteHistory,        ///< Reads the history of route targets alone.
  ReadInstanceRecord,  ///< Reads this instance's record.
  WriteDirectory,
};
inline constexpr size_t CallKindCount = 11;
/// Returns the kind's name for metrics and logs.
const char *callKindName(CallKind kind);

/// How recent the answer to a list has to be.
enum class Freshness : uint8_t {
  /// Holds everything that was written before the call.
  Current,
  /// May be seconds old, and costs the registry a tenth of a current read. It
  /// proves nothing about the present contents.
  MayBeStale,
};

/// A request to the registry, ready to send.
struct RegistryCall {
  CallKind Kind = CallKind::List;
  std::string Method = "GET";
  std::string Target;
  std::string Body;
};

/// Builds calls for one kind of registry and parses its answers.
class RegistryDialect {
public:
  virtual ~RegistryDialect() = default;

  /// Returns the name of the header that holds the registry's generation in all
  /// answers.
  virtual std::string generationHeader() const = 0;
  /// Parses that header; returns nothing if it is malformed.
  virtual std::optional<Generation>
  parseGeneration(std::string_view text) const = 0;

  /// Lists all items after the key `after`; an empty key starts at the first.
  virtual RegistryCall list(const std::string &after,
                            Freshness freshness) const = 0;
  /// Reads a page of what the operators have written, after the key `after`:
  /// the configuration and the zones that they drain. The answer is current.
  virtual RegistryCall readOperatorSettings(const std::string &after) const = 0;
  /// Reads a zone's part of the directory; the answer may be stale.
  virtual RegistryCall readDirectory(const std::string &zone) const = 0;
  /// Reads a page of all parts of the directory, after the key `after`; the
  /// answer may be stale.
  virtual RegistryCall readDirectories(const std::string &after) const = 0;
  /// Reads the history of route targets alone; the answer may be stale.
  virtual RegistryCall readRouteHistory() const = 0;
  /// Reads an instance's own record.
  virtual RegistryCall readInstanceRecord(InstanceId id,
                                          Freshness freshness) const = 0;
  /// Parses the answer to a call for one item.
  virtual tl::expected<Item, std::string>
  parseItem(const std::string &body) const = 0;
  /// Waits up to `wait` for changes after a revision of the registry's present
  /// generation.
  virtual RegistryCall watch(int64_t revision, Duration wait) const = 0;
  /// Parses the answer to a list or a watch; an error says what can't be
  /// parsed. Only pages of other instances contain their generation.
  virtual tl::expected<ItemPage, std::string>
  parsePage(const std::string &body) const = 0;
  /// The inverse of `parsePage`, for passing updates on to other instances.
  virtual std::string serializePage(const ItemPage &page) const = 0;

  /// Creates a lease that expires `life` after its last renewal.
  virtual RegistryCall createLease(Duration life) const = 0;
  virtual tl::expected<int64_t, std::string>
  parseLease(const std::string &body) const = 0;
  virtual RegistryCall renewLease(int64_t lease) const = 0;
  virtual RegistryCall revokeLease(int64_t lease) const = 0;
  /// Writes this instance's record under a lease.
  virtual RegistryCall writeInstanceRecord(const PeerRecord &self,
                                           int64_t lease) const = 0;

  /// Writes parts of the history of route targets in one transaction. It fails
  /// unless each item still has the revision that its part names.
  virtual RegistryCall
  writeRouteHistory(const std::vector<RouteHistoryPart> &parts) const = 0;

  /// Writes parts of the directory, by zone, and its summary in one
  /// transaction. It fails unless the summary's item still has the revision
  /// that the summary names.
  virtual RegistryCall
  writeDirectory(const DirectorySummary &summary,
                 const std::map<std::string, std::string> &parts) const = 0;

  /// Parses an item's value. Errors go to the findings with their place;
  /// whatever can be parsed is returned.
  virtual ItemContent translate(const Item &item, Findings &findings) const = 0;
};

} // namespace chicory::edge

#endif
