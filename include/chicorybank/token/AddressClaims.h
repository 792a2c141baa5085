// The backend servers that are registered at each address.

#ifndef CHICORYBANK_TOKEN_ADDRESSCLAIMS_H
#define CHICORYBANK_TOKEN_ADDRESSCLAIMS_H

#include "chicorybank/base/Types.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace chicory::token {

/// Position of a backend server in `Backends`; stable while the server is in
/// the list.
using BackendIndex = uint32_t;
inline constexpr BackendIndex NoBackend = UINT32_MAX;

/// Keeps the claimants of each address in order of preference. The first one is
/// the address's likely owner.
///
///   AddressClaims claims;
///   claims.put(where, 7, AddressClaims::Rank::First);
///   claims.put(where, 9, AddressClaims::Rank::Last);
///   claims.of(where); // {7, 9}
class AddressClaims {
public:
  enum class Rank : uint8_t { First, Last };

  /// Adds a claimant, or moves it if it is there already.
  void put(Address where, BackendIndex i, Rank rank);
  /// Removes a claimant. Does nothing if it is not there.
  void remove(Address where, BackendIndex i);
  /// Returns the claimants of an address.
  const std::vector<BackendIndex> &of(Address where) const;

private:
  std::unordered_map<uint64_t, std::vector<BackendIndex>> ByAddress;
};

} // namespace chicory::token

#endif
