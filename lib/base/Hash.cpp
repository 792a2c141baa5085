#include "chicorybank/base/Hash.h"

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
  auto id = static_cast<uint32_t>(hashBytes(name));
  return ServiceId{id == 0 ? 1 : id};
}

} // namespace chicory
