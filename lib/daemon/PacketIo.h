// Packet input and output: turns received datagrams into events for the core
// and sends the datagrams of its actions.
//
// Only this module knows both the wire format of packets and the socket.
// Another framing needs changes here alone; the core does not depend on it.

#ifndef CHICORYBANK_LIB_DAEMON_PACKETIO_H
#define CHICORYBANK_LIB_DAEMON_PACKETIO_H

#include "Rings.h"

#include "chicorybank/base/Socket.h"
#include "chicorybank/peer/Messages.h"

#include <atomic>
#include <thread>

namespace chicory {

/// Decodes one datagram into an event. An error is the reason to count.
tl::expected<Event, Reason> decodeDatagram(QByteArray datagram, Address from,
                                           const PeerKey &key);

/// Receives datagrams on a separate thread.
class PacketReceiver {
public:
  PacketReceiver(const FileDescriptor &socket, const PeerKey &key,
                 CoreRings &rings, WorkerCounters &counters)
      : Socket(socket), Key(key), Rings(rings), Counters(counters) {}
  ~PacketReceiver() { stop(); }

  void start();
  void stop();

private:
  void run();

  const FileDescriptor &Socket;
  const PeerKey &Key;
  CoreRings &Rings;
  WorkerCounters &Counters;
  std::atomic<bool> Stopping = false;
  std::thread Worker;
};

/// Collects datagrams and sends them in batches, with few system calls. Used by
/// the core's thread only.
class PacketSender {
public:
  explicit PacketSender(const FileDescriptor &socket) : Socket(socket) {}

  void add(Address to, QByteArray datagram);
  /// Sends the collected datagrams. Drops those that the socket does not
  /// accept, as a network may do.
  void flush();

private:
  static constexpr size_t BatchSize = 64;

  const FileDescriptor &Socket;
  std::vector<std::pair<Address, QByteArray>> Pending;
};

} // namespace chicory

#endif
