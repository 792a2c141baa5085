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
  int WorkMsLeast = 20;
  int WorkMsMost = 60;
  int FeedIntervalMs = 1000;
  uint32_t AnswerParts = 3;
};

/// What all backend servers of a process see together. A packet that one of
/// them gets for a flow which another service holds was misrouted.
struct SharedView {
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
                SharedView &shared, uint64_t seed);

  int fd() const { return Socket.get(); }
  chicory::Address address() const { return Self; }
  const std::string &service() const { return Service; }

  /// Reads and handles what the socket has.
  void receive(int64_t nowMs);
  /// Ends work that is done and sends feeds.
  void tick(int64_t nowMs);

  // Switches.
  void drain(bool on, int64_t nowMs);
  void misleadReports(bool on) { Mislead = on; }
  void shedAll(bool on) { ShedAll = on; }
  void dead(bool on) { Dead = on; }
  /// Forgets this share of its flows without a word, as a middlebox does.
  void silence(double share);
  /// Drops packets whose sender is inside this net, or outside of it.
  void cut(uint32_t ip, uint32_t mask, bool inside);

  // What it counted.
  uint64_t executed() const { return Executed; }
  uint64_t sheds() const { return Sheds; }
  uint64_t flows() const { return Flows.size(); }
  /// When the last new flow or request came after the drain began; in ms.
  int64_t lastNewAfterDrain() const { return LastNewAfterDrain; }

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
  void answer(const chicory::Packet &request);
  void send(const chicory::Packet &packet, chicory::Address to);
  void noteNew(int64_t nowMs);
  void checkService(const chicory::Packet &packet);

  std::string Service;
  chicory::FileDescriptor Socket;
  chicory::Address Self;
  chicory::Address Fabric;
  const BackendOptions &Options;
  SharedView &Shared;
  std::mt19937_64 Random;
  std::map<chicory::FlowKey, Feed> Flows;
  std::vector<Work> Running;
  bool Draining = false;
  bool Mislead = false;
  bool ShedAll = false;
  bool Dead = false;
  uint32_t CutIp = 0;
  uint32_t CutMask = 0;
  bool CutInside = true;
  int64_t DrainBeganMs = 0;
  int64_t LastNewAfterDrain = 0;
  uint64_t Executed = 0;
  uint64_t Sheds = 0;
};

} // namespace standin

#endif
