// Puts messages together whose pieces came as several datagrams.
//
// Datagrams are lost and come in any order. A message that lacks a piece is
// forgotten when its sender's next one begins; whoever needed it notices the
// gap by its revision and reads it elsewhere.

#ifndef CHICORYBANK_EDGE_FRAGMENTASSEMBLER_H
#define CHICORYBANK_EDGE_FRAGMENTASSEMBLER_H

#include "chicorybank/edge/PeerMessages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicory::edge {

/// Holds one unfinished message of each sender.
class FragmentAssembler {
public:
  /// Senders whose messages may be unfinished at a time. News comes from one
  /// parent in the tree and a few heads of zones; more are stray.
  static constexpr size_t MaxSenders = 16;

  /// Takes a piece. Returns the message's bytes once all of them are there.
  std::optional<std::string> add(Fragment fragment);

private:
  struct Unfinished {
    uint64_t Message = 0;
    std::vector<std::optional<std::string>> Pieces;
    /// When it was last added to, in pieces taken.
    uint64_t Touched = 0;
  };
  Unfinished &unfinished(const Fragment &fragment);

  std::map<InstanceId, Unfinished> Senders;
  uint64_t Taken = 0;
};

} // namespace chicory::edge

#endif
