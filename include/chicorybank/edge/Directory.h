// A short form of all registrations, for instances that start.
//
// What fails without: all instances start at once, after a loss of power, and
// each reads everything: some 400 bytes of JSON for a registration, with those
// of instances in front. The registry's link is full for half a second; one
// sees `start_call kind=list` with a late first byte, packets dropped as
// `not_current`, and callers who wait for their next copy. A registration
// takes some 13 bytes here, so that what a start needs comes in one answer.
//
// It proves nothing. It may be seconds old, so it names servers that may have
// ended and lacks some that have come; the first list sets that right, and no
// server is taken for gone because of it. A packet to a server that has ended
// carries that server's id, so it can't reach another.

#ifndef CHICORYBANK_EDGE_DIRECTORY_H
#define CHICORYBANK_EDGE_DIRECTORY_H

#include "chicorybank/base/Reasons.h"
#include "chicorybank/token/Backends.h"

#include <span>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace chicory::edge {

/// A part of the directory.
struct Directory {
  std::vector<token::Registration> Servers;
  /// The registered instances, all that read it if all start.
  size_t Instances = 0;

  bool operator==(const Directory &) const = default;
};

std::string encodeDirectory(const Directory &directory);
tl::expected<Directory, Reason> decodeDirectory(std::span<const char> bytes);

} // namespace chicory::edge

#endif
