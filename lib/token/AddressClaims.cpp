#include "chicorybank/token/AddressClaims.h"

#include <algorithm>

namespace chicory::token {

void AddressClaims::put(Address where, BackendIndex i, Rank rank) {
  std::vector<BackendIndex> &claimants = ByAddress[where.packed()];
  std::erase(claimants, i);
  claimants.insert(rank == Rank::First ? claimants.begin() : claimants.end(),
                   i);
}

void AddressClaims::remove(Address where, BackendIndex i) {
  auto it = ByAddress.find(where.packed());
  if (it == ByAddress.end())
    return;
  std::erase(it->second, i);
  if (it->second.empty())
    ByAddress.erase(it);
}

const std::vector<BackendIndex> &AddressClaims::of(Address where) const {
  static const std::vector<BackendIndex> none;
  auto it = ByAddress.find(where.packed());
  return it == ByAddress.end() ? none : it->second;
}

} // namespace chicory::token
