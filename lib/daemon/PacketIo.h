// The packet edge: datagrams in, events out, and the way back.
//
// This is the one module that knows both the wire format of packets and the
// socket. Another framing replaces this module; the core does not see it.

#ifndef CHICORYBANK_LIB_DAEMON_PACKETIO_H
#define CHICORYBANK_LIB_DAEMON_PACKETIO_H

#include "Rings.h"

#include "chicorybank/base/Socket.h"
#include "chicorybank/peer/Messages.h"

#include <atomic>
#include <thread>

namespace chicory {

/// Turns one datagram into an event. Fails with the reason to count.
tl::expected<Event, Reason> decodeDatagram(QByteArray datagram, Address from,
                                           const PeerKey &key);

/// Reads datagrams on a thread of its own.
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

/// Collects datagrams and sends them with few system calls. Used by the core's
/// thread only.
class PacketSender {
public:
  explicit PacketSender(const FileDescriptor &socket) : Socket(socket) {}

  void add(Address to, QByteArray datagram);
  /// Sends what was collected. What the socket does not take is dropped, as a
  /// network would.
  void flush();

private:
  static constexpr size_t BatchSize = 64;

  const FileDescriptor &Socket;
  std::vector<std::pair<Address, QByteArray>> Pending;
};

} // namespace chicory

#endif
