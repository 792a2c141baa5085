// Control messages over HTTP/2 streams (RFC 9113, by nghttp2).
//
// Each instance keeps one connection to every peer that it sends to, with one
// long stream on it; a message is a length, a code and a body in the stream's
// DATA frames. So a heartbeat costs its own bytes and 29 more. One thread
// serves all connections.

#ifndef CHICORYBANK_PEER_TRANSPORT_H
#define CHICORYBANK_PEER_TRANSPORT_H

#include "chicorybank/peer/Messages.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace chicory {

/// Options of a transport.
struct TransportOptions {
  /// Where to listen; also the source address of connections to peers, so that
  /// a firewall can tell instances apart by address.
  Address Listen;
  QByteArray Secret;
  /// How long to wait before a failed connection is tried again.
  Duration ReconnectAfter = std::chrono::milliseconds(300);
  /// What may wait for one peer; more is dropped and counted.
  size_t MaxQueuedBytes = 4 << 20;
  /// A longer message is refused and its connection closed.
  uint32_t MaxMessageBytes = 16 << 20;
};

/// What a transport tells. All are called on the transport's thread.
struct TransportCallbacks {
  std::function<void(ControlMessage)> Message;
  /// Nothing listens at a peer's address.
  std::function<void(InstanceId)> Refused;
  /// A message was bad (BadPeerMessage, BadPeerKey) or dropped (RingFull).
  std::function<void(Reason)> Fault;
};

/// Sends and receives control messages.
///
///   Transport transport({.Listen = address, .Secret = key}, callbacks);
///   if (auto started = transport.start(); !started)
///     fail(started.error());
///   transport.send(peer, heartbeat);
class Transport {
public:
  Transport(TransportOptions options, TransportCallbacks callbacks);
  ~Transport();
  Transport(const Transport &) = delete;
  Transport &operator=(const Transport &) = delete;

  /// Binds and starts the thread. Fails with a text for operators.
  tl::expected<void, std::string> start();
  /// Queues a message; may be called by any one thread at a time.
  void send(const InstanceInfo &to, const ControlMessage &message);
  /// Bytes written to peers since the start.
  uint64_t bytesSent() const;
  /// Ends the thread and closes all connections.
  void stop();

private:
  class EventLoop;
  std::unique_ptr<EventLoop> Impl;
};

} // namespace chicory

#endif
