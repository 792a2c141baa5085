// Which key of the registry speaks for a backend server.
//
// The id of a server is the number in its key, so keys of other programs may
// have it too: an agent that runs beside the server "i-7f3a" may call itself
// "agent-7f3a". If each of them could speak for the server, the end of the
// agent's entry would end the running server and reset its flows.
//
// One key speaks for a server: one whose service the operators name, if there
// is one, and of several the one that was known first. Of those that are
// learned together it is the one that was created first, since others can know
// the id only once the server has registered. It stays that one while its
// registration lapses and returns. What the other keys hold changes nothing.

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

/// What decides whether a key speaks for a server.
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
  /// key speaks for the server.
  bool claim(token::BackendId id, std::string_view key, const KeyClaim &claim);
  /// Records that a key holds nothing any more. Returns true if this says that
  /// the server's registration has ended.
  bool end(token::BackendId id, std::string_view key);
  /// Returns true if the key speaks for the server, or no other one does.
  bool maySpeakFor(token::BackendId id, std::string_view key) const;
  /// Returns true if the key holds the registration that counts.
  bool speaksFor(token::BackendId id, std::string_view key) const;
  /// Returns true if several keys have the server's id.
  bool isDisputed(token::BackendId id) const {
    return Rivals.contains(id.Value);
  }
  /// Returns true if since the last call a key has been superseded, or one may
  /// speak now that did not. Each key has to claim its server again then.
  bool takeUnsettled() { return std::exchange(Unsettled, false); }

private:
  struct Owner {
    uint64_t KeyHash = 0;
    int64_t Created = 0;
    ServiceId Service;
  };

  bool isNamed(ServiceId service) const;
  bool addRival(uint64_t id, uint64_t keyHash);
  void removeRival(uint64_t id, uint64_t keyHash);

  /// The named services, sorted.
  std::optional<std::vector<ServiceId>> Named;
  std::unordered_map<uint64_t, Owner> Owners;
  /// Keys that do not speak for the server whose id they have.
  std::unordered_map<uint64_t, std::set<uint64_t>> Rivals;
  /// Keys of servers with rivals that spoke for the server and hold nothing at
  /// present.
  std::unordered_map<uint64_t, uint64_t> FormerOwners;
  bool Unsettled = false;
};

} // namespace chicory::edge

#endif
