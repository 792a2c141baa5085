// A simulated backend server with flows, request slots and injected faults.

#ifndef CHICORYBANK_STANDINS_BACKEND_TARGET_H
#define CHICORYBANK_STANDINS_BACKEND_TARGET_H

#include "chicorybank/base/Socket.h"
#include "chicorybank/packet/Packet.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace standin {

/// Limits and durations that apply to each backend server.
struct BackendOptions {
  uint32_t Slots = 2;
  uint32_t Connections = 2000;
  int WorkMsMin = 20;
  int WorkMsMax = 60;
  int FeedIntervalMs = 1000;
  uint32_t AnswerParts = 3;
};

/// State shared by all backend servers of the process. A data packet counts as
/// misrouted if its flow belongs to a backend server of another service.
struct SharedState {
  struct Holder {
    std::string Service;
    chicory::Address At;
  };
  std::map<chicory::FlowKey, Holder> Flows;
  /// Number of runs of each request, by its id (unique in a test run).
  std::unordered_map<uint64_t, uint32_t> Runs;
  std::set<uint64_t> NotIdempotent;
  uint64_t Misrouted = 0;
  uint64_t LateStarts = 0;
};

/// One backend server. Times are milliseconds of a steady clock; deadlines of
/// requests are milliseconds of the wall clock.
class BackendTarget {
public:
  BackendTarget(std::string service, chicory::FileDescriptor socket,
                chicory::Address fabric, const BackendOptions &options,
                SharedState &shared, uint64_t seed);

  int fd() const { return Socket.get(); }
  chicory::Address address() const { return Self; }
  const std::string &service() const { return Service; }

  /// Reads and handles the datagrams that wait at the socket.
  void receive(int64_t nowMs);
  /// Answers requests whose run time is over, and sends feed data that is due.
  void tick(int64_t nowMs);

  // Faults and operating modes.
  void setDraining(bool on, int64_t nowMs);
  void setMisreportsLoad(bool on) { MisreportsLoad = on; }
  void setShedAll(bool on) { ShedAll = on; }
  void setStopped(bool on) { Stopped = on; }
  /// Stops sending on this share of its flows without a reset, as if a
  /// middlebox had dropped their state.
  void silenceFlows(double share);
  /// Drops packets from senders inside this network (`inside`) or outside of
  /// it. A mask of 0 drops none.
  void setCut(uint32_t ip, uint32_t mask, bool inside);

  // Counters.
  uint64_t executed() const { return Executed; }
  uint64_t sheds() const { return Sheds; }
  uint64_t flows() const { return Flows.size(); }
  /// Time from the start of the drain to the last new flow or request, in ms.
  int64_t lastNewAfterDrainMs() const { return LastNewAfterDrainMs; }

private:
  struct Feed {
    int64_t NextMs = 0;
    uint64_t Sequence = 0;
    bool Silent = false;
  };
  struct Work {
    int64_t EndMs = 0;
    chicory::Packet Request;
  };

  void handle(const chicory::Packet &packet, chicory::Address from,
              int64_t nowMs);
  void onOpen(const chicory::Packet &packet, int64_t nowMs);
  void onData(const chicory::Packet &packet);
  void onRequest(const chicory::Packet &packet, int64_t nowMs);
  void refuse(const chicory::Packet &request, chicory::Reason why);
  void sendAnswer(const chicory::Packet &request);
  void send(const chicory::Packet &packet, chicory::Address to);
  void recordNewWork(int64_t nowMs);
  void countIfMisrouted(const chicory::Packet &packet);

  std::string Service;
  chicory::FileDescriptor Socket;
  chicory::Address Self;
  chicory::Address Fabric;
  const BackendOptions &Options;
  SharedState &Shared;
  std::mt19937_64 Random;
  std::map<chicory::FlowKey, Feed> Flows;
  std::vector<Work> Running;
  bool Draining = false;
  bool MisreportsLoad = false;
  bool ShedAll = false;
  bool Stopped = false;
  uint32_t CutIp = 0;
  uint32_t CutMask = 0;
  bool CutInside = true;
  int64_t DrainStartMs = 0;
  int64_t LastNewAfterDrainMs = 0;
  uint64_t Executed = 0;
  uint64_t Sheds = 0;
};

} // namespace standin

#endif
