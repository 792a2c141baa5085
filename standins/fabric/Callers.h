// Simulated callers: long-lived feeds, requests that expect exactly one outcome
// each, and canary flows that measure when a rule takes effect.

#ifndef CHICORYBANK_STANDINS_FABRIC_CALLERS_H
#define CHICORYBANK_STANDINS_FABRIC_CALLERS_H

#include "chicorybank/packet/Packet.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace standin {

/// A service that callers use.
struct CalledService {
  std::string Name;
  chicory::Address At;
  /// Share of the requests, relative to the weights of the other services.
  double Weight = 1;
};

/// The load that callers generate.
struct CallerOptions {
  /// Feeds go to the first service, requests to all.
  std::vector<CalledService> Services;
  int Feeds = 1000;
  double RequestsPerSecond = 200;
  int DeadlineMs = 2000;
  /// Period over which the openings of the feeds are spread.
  int RampMs = 3000;
  /// A feed that receives nothing for longer than this counts as broken.
  int SilenceLimitMs = 6000;
  int PingMs = 2500;
  double IdempotentShare = 0.5;
};

/// Counts and times observed by callers.
struct CallerStats {
  uint64_t FlowsOpened = 0;
  uint64_t FlowsNeverOpened = 0;
  uint64_t BrokenByReset = 0;
  uint64_t BrokenBySilence = 0;
  uint64_t Requests = 0;
  uint64_t Answered = 0;
  uint64_t Lost = 0;
  uint64_t OnWrongFlow = 0;
  std::map<std::string, uint64_t> NotRun;
  std::map<std::string, uint64_t> Unknown;
  std::vector<uint64_t> NotRunIds;
  std::vector<uint64_t> UnknownIds;
  std::vector<int> LatenciesMs;
  std::vector<int64_t> RuleLagsMs;
};

/// All callers of a deployment. Times are milliseconds of a steady clock.
class Callers {
public:
  Callers(CallerOptions options, uint64_t seed,
          std::function<void(const QByteArray &)> send);

  /// Handles a packet that an instance sent to a caller.
  void receive(const QByteArray &datagram, int64_t nowMs);
  void tick(int64_t nowMs);
  /// Measures how long after its acceptance a rule for this port takes effect.
  void startCanary(uint16_t port, int64_t nowMs);
  /// Starts or stops feeds and new requests. Requests in progress still end
  /// with an outcome or time out.
  void setRunning(bool on) { Running = on; }
  void setRequestRate(double perSecond) {
    Options.RequestsPerSecond = perSecond;
  }
  size_t requestsInProgress() const { return Pending.size(); }
  const CallerStats &stats() const { return Stats; }

private:
  struct Feed {
    chicory::FlowKey Flow;
    bool Open = false;
    bool Broken = false;
    int Tries = 0;
    int64_t NextMs = 0;
    int64_t LastReceivedMs = 0;
  };
  struct PendingRequest {
    chicory::Packet Request;
    int64_t SentMs = 0;
    int64_t GiveUpMs = 0;
    std::vector<int64_t> RetransmitAtMs;
    std::set<uint32_t> Parts;
    std::optional<uint32_t> LastPart;
  };
  struct Canary {
    int64_t StartMs = 0;
    int64_t EndMs = 0;
    int64_t LastRefusedMs = 0;
  };

  void tickFeed(Feed &feed, int64_t nowMs);
  void tickRequests(int64_t nowMs);
  void tickCanaries(int64_t nowMs);
  void newRequest(int64_t nowMs);
  size_t pickService();
  void onFeedPacket(Feed &feed, const chicory::Packet &packet, int64_t nowMs);
  void onOutcome(const chicory::Packet &packet, int64_t nowMs);
  void send(const chicory::Packet &packet);
  chicory::FlowKey newFlow(chicory::Address to);

  CallerOptions Options;
  std::mt19937_64 Random;
  std::function<void(const QByteArray &)> Send;
  CallerStats Stats;
  std::vector<Feed> Feeds;
  std::map<chicory::FlowKey, size_t> FeedByFlow;
  std::map<uint64_t, PendingRequest> Pending;
  std::map<uint16_t, Canary> Canaries;
  uint64_t NextRequest = 1;
  uint32_t NextCaller = 0;
  double RequestsDue = 0;
  int64_t LastTickMs = 0;
  int64_t NextCanaryMs = 0;
  bool Running = false;
};

} // namespace standin

#endif
