// Compresses what instances tell each other.
//
// Registrations are JSON of some 250 bytes that differ in a few; a tree of
// instances passes hundreds of them on each second, and whole configurations
// when a route changes. Compressed, both fit into a few datagrams.
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

/// Compresses bytes (zlib's format, at its fastest level).
std::string compress(std::string_view bytes);

/// The inverse. Refuses bytes that are damaged, and those that claim to hold
/// more than `most` bytes, without making room for them.
tl::expected<std::string, Reason> decompress(std::span<const char> bytes,
                                             size_t most);

} // namespace chicory::edge

#endif
