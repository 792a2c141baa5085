// Callers: feeds that stay open, requests that want one outcome each, and
// canaries that tell when a rule is in force.

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

/// A service as callers know it.
struct CalledService {
  std::string Name;
  chicory::Address At;
  /// Its share of the requests, against the others'.
  double Weight = 1;
};

/// What callers do.
struct CallerOptions {
  /// The first has the feeds; requests go to all.
  std::vector<CalledService> Services;
  int Feeds = 1000;
  double RequestsPerSecond = 200;
  int DeadlineMs = 2000;
  /// Within this time all feeds are opened.
  int RampMs = 3000;
  /// A feed that gets nothing for this long is broken.
  int SilenceLimitMs = 6000;
  int PingMs = 2500;
  double IdempotentShare = 0.5;
};

/// What callers saw.
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

  /// A packet for some caller came out of the fabric.
  void receive(const QByteArray &datagram, int64_t nowMs);
  void tick(int64_t nowMs);
  /// A rule for this port was accepted: find out when it is in force.
  void startCanary(uint16_t port, int64_t nowMs);
  /// Starts or ends feeds and requests; ending a run leaves none in progress.
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
