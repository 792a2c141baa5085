// The packet thread: reads callers' packets in batches, passes them to the core
// and executes the actions that it returns.

#ifndef CHICORYBANK_LIB_EDGE_PACKETWORKER_H
#define CHICORYBANK_LIB_EDGE_PACKETWORKER_H

#include "ArrivalTime.h"
#include "BackendProber.h"
#include "SharedState.h"
#include "SuspensionDetector.h"

#include "chicorybank/edge/Framing.h"
#include "chicorybank/edge/OverloadDetector.h"
#include "chicorybank/edge/Settings.h"

#include <array>
#include <sys/socket.h>

namespace chicory::edge {

/// Collects datagrams and sends them with one system call.
class SendBatch {
public:
  static constexpr size_t Size = 32;

  explicit SendBatch(int socket);
  /// Returns the buffer for the next datagram. Flushes first if the batch is
  /// full.
  Framing::Buffer nextBuffer();
  /// Adds the `size` bytes that were written to `nextBuffer`.
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

/// Runs an event loop on its own thread until `SharedState::Stopped`.
class PacketWorker {
public:
  PacketWorker(const EdgeSettings &settings, const Framing &framing,
               FileDescriptor packets, SharedState &shared);

  void run();

private:
  void startReading(Time now);
  /// Returns true if the process was suspended since the last iteration.
  bool checkSuspension(Time now);
  void readPackets();
  void applyUpdates(Time now);
  void tick(Time now);
  void applyProbeResults(Time now);
  void handle(const token::Event &event, Time now);
  void executeActions();
  void reportOverload(Time now);
  void publish(Time now);

  const Framing &Format;
  SharedState &State;
  FileDescriptor Packets;
  EventLoop Events;
  token::Core Core;
  token::Actions Actions;
  SendBatch Batch;
  BackendProber Probes;
  std::array<std::array<std::byte, Framing::MaxDatagram>, SendBatch::Size>
      Received;
  std::array<ArrivalTimeBuffer, SendBatch::Size> ArrivalTimes{};
  EdgeStats Stats;
  Time PublishAt;
  /// Until when packets may wait for the first registry updates.
  Time HoldUntil;
  bool Reading = false;
  SuspensionDetector Suspension;
  OverloadDetector Overload;
  /// Whether readiness probes depend on `Overload`.
  bool ReportsOverload;
  /// Whether packets wait for the first registry updates.
  bool HoldPackets;
  /// The core was told that this instance is being stopped.
  bool StopBegun = false;
  /// Packets in the socket may be from before a suspension.
  bool PacketsMayBeOld = false;
};

} // namespace chicory::edge

#endif
