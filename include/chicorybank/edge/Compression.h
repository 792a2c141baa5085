// Compresses messages between instances.
//
// Registrations are JSON values of about 250 bytes that differ in a few bytes;
// as items of a list, with the key and in base64, they take about 400. A tree
// of instances forwards hundreds of them each second, and whole configurations
// when a route changes. Compressed, both usually fit into a few datagrams;
// otherwise they are read over TCP (`PeerMessages.h`).
//
//   std::string small = compress(large);
//   auto back = decompress(small, large.size()); // *back == large

#ifndef CHICORYBANK_EDGE_COMPRESSION_H
#define CHICORYBANK_EDGE_COMPRESSION_H

#include "chicorybank/base/Reasons.h"

#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace chicory::edge {

/// Compresses bytes in zlib's format, at its fastest level.
std::string compress(std::string_view bytes);

/// Decompresses the output of `compress`. Refuses damaged input, and input that
/// holds more than `maxBytes` bytes, without allocating memory for them.
tl::expected<std::string, Reason> decompress(std::span<const char> bytes,
                                             size_t maxBytes);

} // namespace chicory::edge

#endif
