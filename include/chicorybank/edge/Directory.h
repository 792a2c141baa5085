// A compact form of all registrations, for instances that start.
//
// Without it, if all instances start at once after a power loss, each lists all
// items in key order: first the records of all instances, then some 400 bytes
// of JSON for each registration. The registry's link is full for half a second;
// the symptom is `start_call kind=list` with a late first byte, packets dropped
// as `not_current`, and callers that wait for their next retransmission. A
// registration takes some 13 bytes here, so that one answer holds what a start
// needs.
//
// The directory proves nothing. It may be seconds old, so it names servers that
// may have ended and lacks some that have registered since; the first list
// corrects that, and no server is treated as gone because of it. A packet to a
// server that has ended carries that server's id, so it can't reach another
// one.

#ifndef CHICORYBANK_EDGE_DIRECTORY_H
#define CHICORYBANK_EDGE_DIRECTORY_H

#include "chicorybank/base/Reasons.h"
#include "chicorybank/token/Backends.h"

#include <span>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace chicory::edge {

/// One part of the directory.
struct Directory {
  std::vector<token::Registration> Servers;
  /// The number of registered instances, used to spread their reads if all of
  /// them start at once.
  size_t Instances = 0;

  bool operator==(const Directory &) const = default;
};

std::string encodeDirectory(const Directory &directory);
tl::expected<Directory, Reason> decodeDirectory(std::span<const char> bytes);

} // namespace chicory::edge

#endif
