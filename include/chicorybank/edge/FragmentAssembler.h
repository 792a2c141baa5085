// Reassembles messages that were sent as several datagrams.
//
// Datagrams may be lost, and may arrive in any order. A message that lacks a
// fragment is dropped when the next one of its sender begins; a receiver that
// needed it detects the gap by the revision of the next push, and reads the
// data from that push's sender or the registry.

#ifndef CHICORYBANK_EDGE_FRAGMENTASSEMBLER_H
#define CHICORYBANK_EDGE_FRAGMENTASSEMBLER_H

#include "chicorybank/edge/PeerMessages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicory::edge {

/// Holds one incomplete message of each sender.
class FragmentAssembler {
public:
  /// The most senders with an incomplete message. Updates come from one parent
  /// in the tree and a few heads of zones. If there are more senders, the
  /// message that was least recently added to is dropped.
  static constexpr size_t MaxSenders = 16;

  /// Adds a fragment. Returns the bytes of its message once it is complete.
  std::optional<std::string> add(Fragment fragment);

private:
  struct PartialMessage {
    uint64_t Message = 0;
    std::vector<std::optional<std::string>> Fragments;
    /// The value of `FragmentsAdded` at the last fragment of this message.
    uint64_t LastAddition = 0;
  };
  PartialMessage &partialMessage(const Fragment &fragment);

  std::map<InstanceId, PartialMessage> Senders;
  uint64_t FragmentsAdded = 0;
};

} // namespace chicory::edge

#endif
