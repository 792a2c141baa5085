// The messages between edge instances, in MessagePack.
//
// Each is one datagram: an array that starts with a format version and a kind.
// What is larger is compressed (`Compression.h`): a push is split into
// fragments, a page is read over TCP.

#ifndef CHICORYBANK_EDGE_PEERMESSAGES_H
#define CHICORYBANK_EDGE_PEERMESSAGES_H

#include "chicorybank/edge/Registry.h"
#include "chicorybank/token/Events.h"

#include <cstdint>
#include <span>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace chicory::edge {

/// One instance tells others what it knows, and how new that is.
struct UpdatePush {
  InstanceId Sender;
  /// Since the registry was last asked, by whoever asked it.
  Duration Age = Duration::zero();
  /// The changes behind `Base` lead to `Page.At`.
  Position Base;
  ItemPage Page;
  /// Of everything known at `Page.At`.
  uint64_t Digest = 0;
  /// False: the changes did not fit, ask the sender for them.
  bool Complete = true;
};

/// One piece of a push that does not fit into a datagram.
struct Fragment {
  InstanceId Sender;
  /// Which of the sender's messages it is a piece of.
  uint64_t Message = 0;
  uint32_t Index = 0;
  uint32_t Count = 1;
  std::string Bytes;
};

/// The sender can't reach a backend server.
struct UnreachableReport {
  InstanceId Sender;
  token::BackendId Backend;
};

using PeerMessage = std::variant<UpdatePush, Fragment, UnreachableReport>;

/// A message that fits into this many bytes is one datagram on any link.
inline constexpr size_t MaxDatagramBytes = 1200;
/// Bytes of a push in one fragment; the rest of the datagram is its head.
inline constexpr size_t FragmentBytes = 1150;
/// A push of more pieces is read over TCP: the loss of any piece loses it all.
inline constexpr size_t MaxFragments = 16;
/// A push of several pieces that would be more datagrams for all its receivers
/// is read over TCP as well. They leave at once, and a link drops what it has
/// no room for: 30 ms of a link of 20 Mbit/s. Then all receivers lack the last
/// pieces, and nobody hears that there is news.
inline constexpr size_t MaxBurstDatagrams = 64;
/// A push that is larger before it is compressed is read over TCP as well.
inline constexpr size_t MaxPushBytes = 512 << 10;
/// A page that is larger before it is compressed is refused. 20,000
/// registrations and a configuration of a megabyte are 8 MB.
inline constexpr size_t MaxPageBytes = 16 << 20;

/// Encodes a push. Leaves the items out where they would make it larger than
/// `most`.
std::string encodePush(const UpdatePush &push, size_t most = MaxDatagramBytes);
tl::expected<UpdatePush, Reason> decodePush(std::span<const char> bytes);

/// Encodes a push as one datagram or several, for so many receivers. `message`
/// tells the sender's messages apart.
std::vector<std::string> encodeDatagrams(const UpdatePush &push,
                                         uint64_t message, size_t receivers);
/// Reads the bytes of all fragments of a push.
tl::expected<UpdatePush, Reason> decodeFragments(std::span<const char> bytes);

/// Encodes what an instance reads from another one over TCP.
std::string encodePage(const ItemPage &page);
tl::expected<ItemPage, Reason> decodePage(std::span<const char> bytes);

std::string encodeUnreachableReport(const UnreachableReport &doubt);
tl::expected<PeerMessage, Reason> decodeDatagram(std::span<const char> bytes);

} // namespace chicory::edge

#endif
