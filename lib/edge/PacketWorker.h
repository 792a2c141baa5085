// The packet thread: reads callers' packets in batches, lets the core decide,
// sends what it says.

#ifndef CHICORYBANK_LIB_EDGE_PACKETWORKER_H
#define CHICORYBANK_LIB_EDGE_PACKETWORKER_H

#include "BackendProber.h"
#include "SharedState.h"
#include "SuspensionDetector.h"

#include "chicorybank/edge/Framing.h"
#include "chicorybank/edge/Settings.h"

#include <array>
#include <sys/socket.h>

namespace chicory::edge {

/// Datagrams that go out with one system call.
class SendBatch {
public:
  static constexpr size_t Size = 32;

  explicit SendBatch(int socket);
  /// Room for the next datagram; sends first where there is none.
  Framing::Buffer nextBuffer();
  /// Takes what was written to `next`.
  void add(size_t size, Address to);
  void flush();
  uint64_t failures() const { return Failures; }

private:
  int Socket;
  size_t Count = 0;
  uint64_t Failures = 0;
  std::array<std::array<std::byte, Framing::MaxDatagram>, Size> Buffers;
  std::array<sockaddr_in, Size> Addresses{};
  std::array<iovec, Size> Vectors{};
  std::array<mmsghdr, Size> Messages{};
};

/// Runs on a thread of its own until `Shared::Ended`.
class PacketWorker {
public:
  PacketWorker(const EdgeSettings &settings, const Framing &framing,
               FileDescriptor packets, SharedState &shared);

  void run();

private:
  void beginReading(Time now);
  void readPackets();
  void takeNews(Time now);
  void tick(Time now);
  void takeProbes(Time now);
  void handle(const token::Event &event, Time now);
  void carryOut();
  void publish(Time now);

  const Framing &Frames;
  SharedState &Common;
  FileDescriptor Packets;
  EventLoop Events;
  token::Core Core;
  token::Actions Actions;
  SendBatch Batch;
  BackendProber Probes;
  std::array<std::array<std::byte, Framing::MaxDatagram>, SendBatch::Size>
      Received;
  EdgeStats Stats;
  Time PublishAt;
  /// Until when packets wait for the first news.
  Time HoldUntil;
  bool Reading = false;
  SuspensionDetector Turns;
  /// Packets before the first news wait for it.
  bool Hold;
  /// Openings in the socket may be from before a pause.
  bool StaleOpenings = false;
};

} // namespace chicory::edge

#endif
