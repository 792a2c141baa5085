#include "chicorybank/edge/ServerKeys.h"

#include "chicorybank/base/Hash.h"

namespace chicory::edge {

bool ServerKeys::addRival(uint64_t id, uint64_t keyHash) {
  Rivals[id].insert(keyHash);
  return false;
}

bool ServerKeys::claim(token::BackendId id, std::string_view key,
                       int64_t created, bool isNew) {
  uint64_t hash = hashBytes(key);
  auto former = FormerOwners.find(id.Value);
  if (former != FormerOwners.end()) {
    if (former->second != hash)
      return addRival(id.Value, hash);
    FormerOwners.erase(former);
  }
  auto [it, wasFree] =
      Owners.try_emplace(id.Value, Owner{.KeyHash = hash, .Created = created});
  Owner &owner = it->second;
  if (wasFree)
    return true;
  if (owner.KeyHash == hash) {
    owner.Created = created;
    return true;
  }
  // The registration of the owner is the newer one if it has lapsed and
  // returned, so only the first sight of a key counts.
  if (!isNew || created >= owner.Created)
    return addRival(id.Value, hash);
  addRival(id.Value, owner.KeyHash);
  owner = {.KeyHash = hash, .Created = created};
  return true;
}

bool ServerKeys::end(token::BackendId id, std::string_view key) {
  uint64_t hash = hashBytes(key);
  auto rivals = Rivals.find(id.Value);
  auto owner = Owners.find(id.Value);
  if (owner != Owners.end() && owner->second.KeyHash == hash) {
    Owners.erase(owner);
    if (rivals != Rivals.end())
      FormerOwners[id.Value] = hash;
    return true;
  }
  bool speaks = owner == Owners.end() && !FormerOwners.contains(id.Value);
  if (rivals == Rivals.end())
    return speaks;
  rivals->second.erase(hash);
  if (rivals->second.empty()) {
    Rivals.erase(rivals);
    FormerOwners.erase(id.Value);
  }
  return speaks;
}

bool ServerKeys::maySpeakFor(token::BackendId id, std::string_view key) const {
  uint64_t hash = hashBytes(key);
  auto former = FormerOwners.find(id.Value);
  if (former != FormerOwners.end())
    return former->second == hash;
  auto owner = Owners.find(id.Value);
  return owner == Owners.end() || owner->second.KeyHash == hash;
}

} // namespace chicory::edge
