// Which key of the registry owns the id of a backend server.
//
// The id of a server is the number in its key, so keys of other programs may
// have it too: an agent that runs beside the server "i-7f3a" may call itself
// "agent-7f3a". If each of them counted as the server's, the end of the agent's
// entry would end the running server and reset its flows.
//
// One key owns an id: one whose service the operators name, if there is one,
// and of several the one that was known first. Of those that are learned
// together it is the one that was created first, since others can know the id
// only once the server has registered. It stays the owner while its
// registration lapses and returns, if another key has the id when it lapses.
// What the other keys hold changes nothing.

#ifndef CHICORYBANK_EDGE_SERVERKEYS_H
#define CHICORYBANK_EDGE_SERVERKEYS_H

#include "chicorybank/token/Routes.h"
#include "chicorybank/token/Types.h"

#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chicory::edge {

/// What decides whether a key owns the id of a server.
struct KeyClaim {
  /// The revision at which the key was created.
  int64_t Created = 0;
  ServiceId Service;
  /// The key was not known before.
  bool IsNew = false;
};

/// The keys of all servers. Keys are compared by a hash of 64 bits.
class ServerKeys {
public:
  /// Sets the services that the operators name. Until the first call, all are.
  void learnRoutes(const token::RouteSet &routes);
  /// Records that a key holds a registration of a server. Returns true if the
  /// key owns the server's id.
  bool claim(token::BackendId id, std::string_view key, const KeyClaim &claim);
  /// Records that a key holds nothing any more. Returns true if this says that
  /// the server's registration has ended.
  bool end(token::BackendId id, std::string_view key);
  /// Returns true if the key owns the server's id, or no other one does.
  bool mayOwn(token::BackendId id, std::string_view key) const;
  /// Returns true if the key owns the server's id and holds a registration.
  bool owns(token::BackendId id, std::string_view key) const;
  /// Returns true if several keys have the server's id.
  bool hasConflict(token::BackendId id) const {
    return OtherKeys.contains(id.Value);
  }
  /// Returns true if since the last call an owner has changed, or another key
  /// may become one. Each key has to claim its server again then.
  bool takeRecheck() { return std::exchange(NeedsRecheck, false); }

private:
  struct Owner {
    uint64_t KeyHash = 0;
    int64_t Created = 0;
    ServiceId Service;
  };

  bool isNamed(ServiceId service) const;
  bool addOtherKey(uint64_t id, uint64_t keyHash);
  void removeOtherKey(uint64_t id, uint64_t keyHash);

  /// The named services, sorted.
  std::optional<std::vector<ServiceId>> Named;
  std::unordered_map<uint64_t, Owner> Owners;
  /// Keys that have the id of a server and do not own it.
  std::unordered_map<uint64_t, std::set<uint64_t>> OtherKeys;
  /// Owners that hold nothing at present, of ids that other keys have too.
  std::unordered_map<uint64_t, uint64_t> FormerOwners;
  bool NeedsRecheck = false;
};

} // namespace chicory::edge

#endif
