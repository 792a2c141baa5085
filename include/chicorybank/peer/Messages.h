// The inner protocol: messages between instances and their encoding.
//
// Instances use two channels. Datagrams carry forwarded packets, queries and
// replies; HTTP/2 streams (`Transport.h`) carry heartbeats and rule sets. Both
// are encoded as CBOR (RFC 8949). docs/design/inner-protocol.md describes the
// layout, and what the shared key protects and what it does not.

#ifndef CHICORYBANK_PEER_MESSAGES_H
#define CHICORYBANK_PEER_MESSAGES_H

#include "chicorybank/core/Events.h"
#include "chicorybank/rules/RulePages.h"

#include <QByteArray>
#include <tl/expected.hpp>
#include <variant>

namespace chicory {

/// Requests the rule set of a peer.
struct RuleRequest {
  InstanceInfo Sender;
  /// Pages that the sender already has.
  std::vector<PageId> KnownPages;

  bool operator==(const RuleRequest &) const = default;
};

/// A rule set without the pages that the receiver already has.
struct RuleDocument {
  RuleManifest Manifest;
  PageStore Pages;

  bool operator==(const RuleDocument &) const = default;
};

/// A message on a control stream.
using ControlMessage = std::variant<Heartbeat, RuleRequest, RuleDocument>;

/// A message in a datagram between instances.
using PeerDatagram = std::variant<ForwardedPacketArrived, FlowQuery, FlowReply>;

/// Authenticates messages by the key that all instances share.
///
///   PeerKey key("a secret of 32 bytes or more");
class PeerKey {
public:
  explicit PeerKey(const QByteArray &secret);

  /// Returns the token that each datagram carries in clear text. A sender
  /// without the key can't guess it.
  uint64_t datagramToken() const { return Token; }
  /// Returns the authentication code of a control message: HMAC-SHA256,
  /// truncated to 16 bytes.
  QByteArray mac(const QByteArray &message) const;

private:
  QByteArray Secret;
  uint64_t Token;
};

/// Length of a control message's authentication code.
inline constexpr qsizetype MessageMacBytes = 16;

/// Encodes a control message, without its length and authentication code.
QByteArray encodeControl(const ControlMessage &message);

/// Decodes a control message. Fails with BadPeerMessage or BadVersion.
tl::expected<ControlMessage, Reason> decodeControl(const QByteArray &bytes);

/// Encodes a datagram for another instance. `sender` is this instance.
QByteArray encodePeerDatagram(const PeerDatagram &message, InstanceId sender,
                              const PeerKey &key);

/// Returns whether a datagram claims to come from an instance: its first byte
/// differs from that of a caller's packet.
bool isPeerDatagram(const QByteArray &datagram);

/// Decodes a datagram from another instance. Fails with BadPeerMessage,
/// BadVersion or BadPeerKey. Does not decode the packet inside a
/// ForwardedPacketArrived: only `Packet.Datagram` and `Packet.From` are set.
tl::expected<PeerDatagram, Reason> decodePeerDatagram(const QByteArray &bytes,
                                                      const PeerKey &key);

} // namespace chicory

#endif
