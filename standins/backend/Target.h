// One backend server of the stand-in: its flows, its slots, its faults.

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

/// Bounds and times of all backend servers.
struct BackendOptions {
  uint32_t Slots = 2;
  uint32_t Connections = 2000;
  int WorkMsMin = 20;
  int WorkMsMax = 60;
  int FeedIntervalMs = 1000;
  uint32_t AnswerParts = 3;
};

/// What all backend servers of a process see together. A packet that one of
/// them gets for a flow which another service holds was misrouted.
struct SharedState {
  struct Holder {
    std::string Service;
    chicory::Address At;
  };
  std::map<chicory::FlowKey, Holder> Flows;
  /// How often each request was run, by its id (unique in a run).
  std::unordered_map<uint64_t, uint32_t> Runs;
  std::set<uint64_t> NotIdempotent;
  uint64_t Misrouted = 0;
  uint64_t LateStarts = 0;
};

/// One backend server. Times are milliseconds of a steady clock; deadlines are
/// of the wall clock.
class BackendTarget {
public:
  BackendTarget(std::string service, chicory::FileDescriptor socket,
                chicory::Address fabric, const BackendOptions &options,
                SharedState &shared, uint64_t seed);

  int fd() const { return Socket.get(); }
  chicory::Address address() const { return Self; }
  const std::string &service() const { return Service; }

  /// Reads and handles what the socket has.
  void receive(int64_t nowMs);
  /// Ends work that is done and sends feeds.
  void tick(int64_t nowMs);

  // Switches.
  void setDraining(bool on, int64_t nowMs);
  void setMisreportsLoad(bool on) { MisreportsLoad = on; }
  void setShedAll(bool on) { ShedAll = on; }
  void setStopped(bool on) { Stopped = on; }
  /// Forgets this share of its flows without a word, as a middlebox does.
  void silenceFlows(double share);
  /// Drops packets whose sender is inside this net, or outside of it.
  void setCut(uint32_t ip, uint32_t mask, bool inside);

  // What it counted.
  uint64_t executed() const { return Executed; }
  uint64_t sheds() const { return Sheds; }
  uint64_t flows() const { return Flows.size(); }
  /// When the last new flow or request came after the drain began; in ms.
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
