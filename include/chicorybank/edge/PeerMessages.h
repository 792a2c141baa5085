// Messages between edge instances, encoded in MessagePack.
//
// Each message is one datagram: an array that starts with a format version and
// a kind. Larger data is compressed (`Compression.h`): a push is split into
// fragments, and a page is read over TCP.

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

/// Sends changes of the registry, and their age, from one instance to others.
struct UpdatePush {
  InstanceId Sender;
  /// The time since the sender's cache was known to be current, at most an
  /// hour.
  Duration Age = Duration::zero();
  /// `Page` holds the changes after this position, up to `Page.At`.
  Position Base;
  ItemPage Page;
  /// The checksum of all items at `Page.At`.
  uint64_t Digest = 0;
  /// False if the items are left out and have to be read from the sender.
  bool Complete = true;
};

/// One fragment of a push that does not fit into a datagram.
struct Fragment {
  InstanceId Sender;
  /// The sender's number of the message that this is a fragment of.
  uint64_t Message = 0;
  uint32_t Index = 0;
  uint32_t Count = 1;
  std::string Bytes;
};

/// Reports that the sender can't reach a backend server.
struct UnreachableReport {
  InstanceId Sender;
  token::BackendId Backend;
};

/// Reports to the instances that share a backend server that the sender has
/// ejected or restored it.
struct HealthReport {
  InstanceId Sender;
  token::BackendId Backend;
  /// `Registration::StartedAtMs` of the server as the sender knows it; 0 if
  /// unknown.
  int64_t StartedAtMs = 0;
  /// `Ejected` or `Restored`.
  token::HealthChange Change = token::HealthChange::None;
};

using PeerMessage =
    std::variant<UpdatePush, Fragment, UnreachableReport, HealthReport>;

/// A message of up to this size is not fragmented by IP at an MTU of 1280 bytes
/// or more.
inline constexpr size_t MaxDatagramBytes = 1200;
/// Bytes of a push in one fragment; its header takes the rest of the datagram.
inline constexpr size_t FragmentBytes = 1150;
/// A push of more fragments is read over TCP, since losing one loses them all.
inline constexpr size_t MaxFragments = 16;
/// A push of several fragments is read over TCP, too, if their number times
/// that of the receivers exceeds this. The datagrams are sent at once, and a
/// link drops what it has no room for; this many take 30 ms on a link of 20
/// Mbit/s. Without this limit, all receivers miss the last fragments, and none
/// learns of the update.
inline constexpr size_t MaxBurstDatagrams = 64;
/// A push of more bytes before compression is read over TCP, too.
inline constexpr size_t MaxPushBytes = 512 << 10;
/// A page of more bytes before compression is refused. 20,000 registrations and
/// a configuration of a megabyte are 8 MB.
inline constexpr size_t MaxPageBytes = 16 << 20;

/// Encodes a push, without its items if they would make it larger than
/// `maxBytes`.
std::string encodePush(const UpdatePush &push,
                       size_t maxBytes = MaxDatagramBytes);
tl::expected<UpdatePush, Reason> decodePush(std::span<const char> bytes);

/// Encodes a push as one or more datagrams for this number of receivers.
/// `message` identifies the message among those of the sender.
std::vector<std::string> encodeDatagrams(const UpdatePush &push,
                                         uint64_t message, size_t receivers);
/// Decodes the joined bytes of all fragments of a push.
tl::expected<UpdatePush, Reason> decodeFragments(std::span<const char> bytes);

/// Encodes a page that another instance reads over TCP.
std::string encodePage(const ItemPage &page);
tl::expected<ItemPage, Reason> decodePage(std::span<const char> bytes);

std::string encodeUnreachableReport(const UnreachableReport &report);
std::string encodeHealthReport(const HealthReport &report);
/// Decodes a datagram; `BadPeerMessage` or `BadVersion` if it is not valid.
tl::expected<PeerMessage, Reason> decodeDatagram(std::span<const char> bytes);

} // namespace chicory::edge

#endif
