// Control messages over HTTP/2 streams (RFC 9113, using nghttp2).
//
// Each instance keeps one connection to every peer that it sends to, with one
// long-lived stream. A message is a length, an authentication code and a body
// in the stream's DATA frames, so a heartbeat costs 29 bytes more than its
// body. One thread serves all connections.

#ifndef CHICORYBANK_PEER_TRANSPORT_H
#define CHICORYBANK_PEER_TRANSPORT_H

#include "chicorybank/peer/Messages.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace chicory {

struct TransportOptions {
  /// The address to listen on. It is also the source address of connections to
  /// peers, so that a firewall can tell instances apart by address.
  Address Listen;
  QByteArray Secret;
  /// Delay before the next attempt after a failed connection.
  Duration ReconnectAfter = std::chrono::milliseconds(300);
  /// Limit on the bytes queued for one peer. Messages beyond it are dropped
  /// and reported with PeerUnreachable.
  size_t MaxQueuedBytes = 4 << 20;
  /// A longer message is rejected and its connection closed.
  uint32_t MaxMessageBytes = 16 << 20;
};

/// Callbacks of a transport. They run on the transport's thread, except that
/// `send` reports RingFull on the thread of its caller.
struct TransportCallbacks {
  std::function<void(ControlMessage)> Message;
  /// A peer refused the connection: nothing listens at its address.
  std::function<void(InstanceId)> Refused;
  /// A message was invalid (BadPeerMessage, BadVersion, BadPeerKey) or dropped
  /// (RingFull, PeerUnreachable).
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

  /// Binds the listening socket and starts the thread. Fails with an error text
  /// for operators.
  tl::expected<void, std::string> start();
  /// Queues a message. Only one thread at a time may call it.
  void send(const InstanceInfo &to, const ControlMessage &message);
  /// Returns the number of bytes written to peers since the start.
  uint64_t bytesSent() const;
  /// Stops the thread. The destructor closes the connections.
  void stop();

private:
  class EventLoop;
  std::unique_ptr<EventLoop> Impl;
};

} // namespace chicory

#endif
