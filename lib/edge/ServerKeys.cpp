#include "chicorybank/edge/ServerKeys.h"

#include "chicorybank/base/Hash.h"

#include <algorithm>

namespace chicory::edge {

void ServerKeys::learnRoutes(const token::RouteSet &routes) {
  std::vector<ServiceId> named;
  for (const token::Route &route : routes.Routes)
    for (const token::WeightedService &it : route.Services)
      named.push_back(it.Service);
  std::sort(named.begin(), named.end());
  named.erase(std::unique(named.begin(), named.end()), named.end());
  Named = std::move(named);
  NeedsRecheck = NeedsRecheck || !OtherKeys.empty();
}

bool ServerKeys::isNamed(ServiceId service) const {
  return !Named || std::ranges::binary_search(*Named, service);
}

bool ServerKeys::addOtherKey(uint64_t id, uint64_t keyHash) {
  OtherKeys[id].insert(keyHash);
  return false;
}

void ServerKeys::removeOtherKey(uint64_t id, uint64_t keyHash) {
  auto others = OtherKeys.find(id);
  if (others == OtherKeys.end())
    return;
  others->second.erase(keyHash);
  if (!others->second.empty())
    return;
  OtherKeys.erase(others);
  FormerOwners.erase(id);
}

bool ServerKeys::claim(token::BackendId id, std::string_view key,
                       const KeyClaim &claim) {
  uint64_t hash = hashBytes(key);
  auto former = FormerOwners.find(id.Value);
  if (former != FormerOwners.end()) {
    if (former->second != hash)
      return addOtherKey(id.Value, hash);
    FormerOwners.erase(former);
  }
  Owner claimant{
      .KeyHash = hash, .Created = claim.Created, .Service = claim.Service};
  auto [it, wasFree] = Owners.try_emplace(id.Value, claimant);
  Owner &owner = it->second;
  if (wasFree || owner.KeyHash == hash) {
    NeedsRecheck = NeedsRecheck || owner.Service != claim.Service;
    owner = claimant;
    removeOtherKey(id.Value, hash);
    return true;
  }
  bool named = isNamed(claim.Service);
  // The registration of the owner is the newer one if it has lapsed and
  // returned, so only the first sight of a key counts.
  bool takesOver = named != isNamed(owner.Service)
                       ? named
                       : claim.IsNew && claim.Created < owner.Created;
  if (!takesOver)
    return addOtherKey(id.Value, hash);
  NeedsRecheck = true;
  addOtherKey(id.Value, owner.KeyHash);
  owner = claimant;
  removeOtherKey(id.Value, hash);
  return true;
}

bool ServerKeys::end(token::BackendId id, std::string_view key) {
  uint64_t hash = hashBytes(key);
  auto owner = Owners.find(id.Value);
  if (owner == Owners.end() || owner->second.KeyHash != hash) {
    bool hasNoOwner = owner == Owners.end() && !FormerOwners.contains(id.Value);
    removeOtherKey(id.Value, hash);
    return hasNoOwner;
  }
  if (hasConflict(id) && isNamed(owner->second.Service))
    FormerOwners[id.Value] = hash;
  else if (hasConflict(id))
    NeedsRecheck = true;
  Owners.erase(owner);
  return true;
}

bool ServerKeys::owns(token::BackendId id, std::string_view key) const {
  auto owner = Owners.find(id.Value);
  return owner != Owners.end() && owner->second.KeyHash == hashBytes(key);
}

bool ServerKeys::mayOwn(token::BackendId id, std::string_view key) const {
  uint64_t hash = hashBytes(key);
  auto former = FormerOwners.find(id.Value);
  if (former != FormerOwners.end())
    return former->second == hash;
  auto owner = Owners.find(id.Value);
  return owner == Owners.end() || owner->second.KeyHash == hash;
}

} // namespace chicory::edge
