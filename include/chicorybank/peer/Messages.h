// The inner protocol: what instances send to each other, and its coding.
//
// Two ways lead from instance to instance. Datagrams carry passed-on packets,
// queries and replies; HTTP/2 streams carry heartbeats and rule sets
// (`Transport.h`). Both are CBOR (RFC 8949). docs/design/inner-protocol.md has
// the layout, and says what the shared key protects and what it does not.

#ifndef CHICORYBANK_PEER_MESSAGES_H
#define CHICORYBANK_PEER_MESSAGES_H

#include "chicorybank/core/Events.h"
#include "chicorybank/rules/RulePages.h"

#include <QByteArray>
#include <tl/expected.hpp>
#include <variant>

namespace chicory {

/// Asks a peer for its rule set.
struct RuleRequest {
  InstanceInfo Sender;
  /// Pages that the sender has already.
  std::vector<PageId> KnownPages;

  bool operator==(const RuleRequest &) const = default;
};

/// A rule set, less the pages that the receiver has.
struct RuleDocument {
  RuleManifest Manifest;
  PageStore Pages;

  bool operator==(const RuleDocument &) const = default;
};

/// What goes over control streams.
using ControlMessage = std::variant<Heartbeat, RuleRequest, RuleDocument>;

/// What goes in datagrams between instances.
using PeerDatagram = std::variant<ForwardedPacketArrived, FlowQuery, FlowReply>;

/// Proves that a message comes from an instance that has the shared key.
///
///   PeerKey key("a secret of 32 bytes or more");
class PeerKey {
public:
  explicit PeerKey(const QByteArray &secret);

  /// Sent in the clear in each datagram; a stray sender can't guess it.
  uint64_t datagramToken() const { return Token; }
  /// The code of a control message: HMAC-SHA256, cut to 16 bytes.
  QByteArray mac(const QByteArray &message) const;

private:
  QByteArray Secret;
  uint64_t Token;
};

/// How long a message's code is.
inline constexpr qsizetype MessageMacBytes = 16;

/// The bytes of a control message, without length and code.
QByteArray encodeControl(const ControlMessage &message);

/// The inverse of `encodeControl`; fails with BadPeerMessage.
tl::expected<ControlMessage, Reason> decodeControl(const QByteArray &bytes);

/// The datagram for another instance. `sender` is this instance.
QByteArray encodePeerDatagram(const PeerDatagram &message, InstanceId sender,
                              const PeerKey &key);

/// True where a datagram claims to come from an instance: its first byte
/// differs from that of a caller's packet.
bool isPeerDatagram(const QByteArray &datagram);

/// The inverse of `encodePeerDatagram`. Fails with BadPeerMessage, BadVersion
/// or BadPeerKey. The packet that a ForwardedPacketArrived carries is not
/// decoded: only `Packet.Datagram` and `Packet.From` are filled.
tl::expected<PeerDatagram, Reason> decodePeerDatagram(const QByteArray &bytes,
                                                      const PeerKey &key);

} // namespace chicory

#endif
