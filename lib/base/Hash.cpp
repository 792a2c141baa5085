#include "chicorybank/base/Hash.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <xxhash.h>

namespace chicory {

uint64_t hashBytes(std::string_view bytes) {
  return XXH3_64bits(bytes.data(), bytes.size());
}

uint64_t hashFlow(const FlowKey &key) {
  std::array<uint64_t, 3> buf = {key.Source.packed(), key.Destination.packed(),
                                 key.Protocol};
  return XXH3_64bits(buf.data(), sizeof(buf));
}

ServiceId serviceIdOf(std::string_view name) {
  constexpr uint64_t Seed = 1;
  constexpr uint64_t Mask = 0x7fffffff;
  uint64_t low = static_cast<uint32_t>(hashBytes(name));
  uint64_t high = XXH3_64bits_withSeed(name.data(), name.size(), Seed) & Mask;
  return ServiceId{std::max<uint64_t>(high, 1) << 32 |
                   std::max<uint64_t>(low, 1)};
}

ServiceId shortServiceId(ServiceId id) {
  return ServiceId{static_cast<uint32_t>(id.Value)};
}

bool isShort(ServiceId id) { return id == shortServiceId(id); }

} // namespace chicory
