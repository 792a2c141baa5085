// Decisions of the token path, as a state machine without I/O.
//
//   Core core({.Zone = "a", .Seed = 1});
//   Actions actions;
//   core.handle(RoutesLearned{routes}, now, actions);
//   core.handle(BackendsLearned{.Present = servers}, now, actions);
//   core.handle(BackendsComplete{}, now, actions);
//   core.handle(FreshnessUpdated{.CurrentAt = now}, now, actions);
//   core.handle(PacketReceived{head, bytes}, now, actions);
//   // actions: a Forward, a ResetFlow, or nothing.

#ifndef CHICORYBANK_TOKEN_CORE_H
#define CHICORYBANK_TOKEN_CORE_H

#include "chicorybank/token/Events.h"
#include "chicorybank/token/FlowTracker.h"
#include "chicorybank/token/Histogram.h"
#include "chicorybank/token/Mechanisms.h"
#include "chicorybank/token/Zones.h"

#include <array>
#include <deque>
#include <map>
#include <random>

namespace chicory::token {

/// Settings of a core. Times that the deployment fixes have no default ground
/// of their own; the others name it.
struct CoreOptions {
  std::string Zone;
  InstanceId Self;
  uint64_t Seed = 1;
  /// A flow that is older may be discarded.
  Duration MaxFlowAge = std::chrono::seconds(60);
  /// The configuration has to be in force within this time, so an instance
  /// whose news is older can't tell what is configured.
  Duration ApplyWithin = std::chrono::seconds(3);
  BackendTimes Servers;
  /// News that was not renewed for this long has a gap: what vanished in it may
  /// come back.
  Duration UpdateGap = std::chrono::milliseconds(700);
  /// A registration that vanished in a gap is back this long after it, if the
  /// server lives. (Users: about two seconds.)
  Duration ReturnGrace = std::chrono::milliseconds(2300);
  /// How long an opening may stay unanswered, at least. Several times the usual
  /// handshake of a few milliseconds, well below a caller's copy at 200 ms.
  Duration OpeningTimeout = std::chrono::milliseconds(25);
  /// Unanswered openings or requests in a row that make a server suspect: one
  /// may be a lost datagram.
  uint32_t SuspectAfter = 2;
  /// How long a suspect is avoided; doubles with each suspicion in a row.
  Duration SuspectFor = std::chrono::milliseconds(800);
  Duration SuspectForMax = std::chrono::seconds(4);
  ReachabilityOptions Probing;
  ZoneOptions Zoning;
  /// A token that stays unknown for this long, while the registrations are
  /// current, belongs to a server that has ended: registrations arrive within
  /// a second.
  Duration UnknownTokenTimeout = std::chrono::milliseconds(2500);
  /// So many flows with unknown tokens are remembered; about a megabyte. Anyone
  /// can send packets with made-up tokens, and they must not take the memory
  /// that an instance has. Above it a flow is not reset, only dropped.
  size_t MaxUnknownFlows = 10'000;
  Mechanisms Enabled;
};

/// Counters and gauges of a core. Counters never fall.
struct CoreStats {
  std::array<uint64_t, ReasonCount> Drops{};
  std::array<uint64_t, ReasonCount> Resets{};
  std::array<uint64_t, ReasonCount> Retries{};
  uint64_t Packets = 0;
  uint64_t Forwarded = 0;
  uint64_t Opened = 0;
  uint64_t Probes = 0;
  uint64_t ProbesFailed = 0;
  /// From an opening sent to the caller's next packet.
  Histogram HandshakeTime;
  /// From a request's data to the first sign of its answer.
  Histogram RequestTime;
  /// How old a version was when it came into force here.
  Histogram RoutesAge;
};

/// One instance's decisions. Not safe for use by two threads at a time.
class Core {
public:
  explicit Core(CoreOptions options);

  /// Handles one event and appends what is to be done.
  void handle(const Event &event, Time now, Actions &actions);

  /// When the next `Tick` is wanted.
  Time nextTick(Time now) const;
  /// True once there are a route and a server: some packets can be carried.
  bool canForward() const {
    return Routes.version().Value != 0 && Servers.size() != 0;
  }
  /// True once all routes and backend servers are known.
  bool isReady() const { return Routes.version().Value != 0 && SawBackends; }

  const CoreStats &stats() const { return Stats; }
  const RouteTable &routes() const { return Routes; }
  const Backends &backends() const { return Servers; }
  size_t flows() const { return Flows.size(); }
  size_t unknownFlows() const { return Unknown.size(); }
  Time currentAt() const { return CurrentAt; }

private:
  /// An opening packet that may have to be sent again, to another server.
  struct Opening {
    FlowKey Flow;
    Time SentAt;
    std::vector<std::byte> Raw;
    /// Its silence was counted against the server.
    bool Counted = false;
  };

  /// A request that waits for the first sign of its answer.
  struct Request {
    FlowKey Flow;
    Time SentAt;
  };

  void on(const PacketReceived &event, Time now, Actions &actions);
  void on(const RoutesLearned &event, Time now, Actions &actions);
  void on(const PastRoutesLearned &event, Time now, Actions &actions);
  void on(const BackendsLearned &event, Time now, Actions &actions);
  void on(const ZoneDrainLearned &event, Time now, Actions &actions);
  void on(const InstancesLearned &event, Time now, Actions &actions);
  void on(const BackendsComplete &event, Time now, Actions &actions);
  void on(const FreshnessUpdated &event, Time now, Actions &actions);
  void on(const BoundsChanged &event, Time now, Actions &actions);
  void on(const ProbeEnded &event, Time now, Actions &actions);
  void on(const BackendReportedUnreachable &event, Time now, Actions &actions);
  void on(const Tick &event, Time now, Actions &actions);

  void open(const PacketReceived &event, Time now, Actions &actions);
  void openAt(const PacketReceived &event, BackendIndex i, Time now,
              Actions &actions);
  void carry(const PacketReceived &event, Time now, Actions &actions);
  BackendIndex resolve(const FlowPacket &head, Time now, Reason &why) const;
  void unknownToken(const FlowPacket &head, Time now, Actions &actions);
  void follow(const FlowPacket &head, BackendIndex i, Time now,
              Actions &actions);
  void followData(const FlowPacket &head, FlowState &flow, Time now,
                  Actions &actions);

  BackendIndex choose(const Route &route, uint64_t flowHash, BackendIndex avoid,
                      Time now);
  /// Why a route has no server for a new flow.
  Reason whyNone(const Route &route) const;
  BackendIndex chooseOf(ServiceId service, BackendIndex avoid, Time now);
  double score(const Backend &backend, bool ownZoneFirst, Time now);
  /// Whether a new flow of a service prefers servers of the own zone.
  bool staysInZone(ServiceId service);

  void progress(BackendIndex i, Time now);
  void missed(BackendIndex i, Time now, Actions &actions);
  void suspect(BackendIndex i, Time now, Actions &actions);

  bool mayProbe(const Reachability &reach, Time now) const;
  void doubt(BackendIndex i, Time now, Actions &actions);
  void probe(BackendIndex i, Time now, Actions &actions);
  void sendProbe(BackendIndex i, Time now, Actions &actions);
  BackendIndex lastToAnswer(BackendIndex i) const;
  static bool finishing(const Backend &backend);
  void probeFailed(BackendIndex i, Time now, Actions &actions);
  void probeOnceMore(BackendIndex i, Time now, Actions &actions);
  void showedLife(Reachability &reach, Time now);
  void addressAnswers(BackendIndex i, Time now, Actions &actions);
  bool distrusted(const Reachability &reach, Time now) const;
  void resetWaitingAt(BackendIndex i, Time now, Actions &actions);
  /// A conclusion from probes would not be safe, nor is one that was reached
  /// just before.
  bool falseAlarmLately(Time now) const {
    return now - FalseAlarmAt < Options.Probing.FalseAlarmHold;
  }
  void noteLink(BackendIndex answered, Time now);
  bool comparedAnswered(BackendIndex i) const;
  bool linkWorked(BackendIndex i) const;
  void learnRoundTrip(const std::string &zone, Duration took);
  Duration roundTrip(const std::string &zone) const;
  bool resetUnreachable(const FlowPacket &head, BackendIndex i, Time now,
                        Actions &actions);
  void resetHopelessFlowsOf(BackendIndex i, Time now, Actions &actions);
  void checkRequests(Time now, Actions &actions);
  Duration requestPatience() const;
  void steerOpeningsAway(Time now, Actions &actions);
  bool silent(const Backend &backend, Time now) const {
    return backend.isSuspect(now) || ZoneView.isSuspect(backend.Info.Zone, now);
  }
  void checkOpenings(Time now, Actions &actions);
  void endFormerLives(int64_t readAt, Time now, Actions &actions);
  void endServers(bool trusted, Time now, Actions &actions);
  void resetFlowsOf(BackendIndex i, Time now, Actions &actions);
  void resetFlows(const std::vector<FlowKey> &keys, Reason why, Time now,
                  Actions &actions);

  FlowState *flowOf(const FlowKey &key);
  /// The flows at a server that a predicate of key and state picks.
  template <typename Predicate>
  std::vector<FlowKey> flowsOf(BackendIndex i, Predicate picks) const {
    std::vector<FlowKey> out;
    for (const auto &[key, flow] : Flows)
      if (flow.Backend == i && picks(key, flow))
        out.push_back(key);
    return out;
  }
  FlowState &remember(const FlowKey &key, BackendIndex i, Time now);
  void release(FlowState &flow);
  /// The request in progress has ended, one way or another.
  void endRequest(FlowState &flow);
  void forget(const FlowKey &key);
  /// An opening packet is not the flow's that is remembered under its key.
  void forgetFormer(const FlowKey &key, Time now);
  void sweep(Time now);

  void send(BackendIndex i, Bytes raw, Actions &actions);
  /// Appends a decision with the time, the version and the age of the news.
  void decided(Decision decision, Time now, Actions &actions) const;
  void reset(const FlowPacket &head, Reason why, BackendIndex i, Time now,
             Actions &actions);
  void drop(const FlowPacket &head, Reason why, Time now, Actions &actions);
  /// How old the news is; zero before the first.
  Duration newsAge(Time now) const {
    return SawBackends ? now - CurrentAt : Duration::zero();
  }
  /// The routes can't be older than operators have to reckon with.
  bool newsIsCurrent(Time now) const {
    return now - CurrentAt < Options.ApplyWithin;
  }
  /// The news had no gap for as long as a registration may need to return, so
  /// what is missing has ended. What counts is the time that the news is from:
  /// a registration may have returned after that. And there may be a gap that
  /// is not over: items can be read before they are shown to be current.
  bool trustsMissing(Time now) const {
    return now - CurrentAt < Options.UpdateGap &&
           CurrentAt - CurrentSince >= Options.ReturnGrace;
  }

  CoreOptions Options;
  RouteTable Routes;
  Backends Servers;
  WarmUpLimits WarmUps;
  Zones ZoneView;
  FlowTracker Flows;
  std::deque<Opening> Openings;
  std::deque<Request> Requests;
  /// Flows with an unknown token: when the first packet came.
  std::unordered_map<FlowKey, Time, FlowKeyHash> Unknown;
  /// Keeps the bytes of openings that a `Forward` points to.
  std::vector<std::vector<std::byte>> Resent;
  std::mt19937_64 Random;
  Time CurrentAt = Time{} - std::chrono::hours(1);
  /// Since when the news has been current without a gap.
  Time CurrentSince;
  Time LastTick;
  Time LastSweep;
  /// Smoothed time from an opening to the caller's next packet.
  Duration Handshake = Duration::zero();
  /// Smoothed time from a request to the first sign of its answer.
  Duration RequestWait = Duration::zero();
  /// The longest round trip to each zone's servers lately.
  std::map<std::string, Duration> RoundTrips;
  /// When a server that had failed a probe last showed life.
  Time FalseAlarmAt = Time{} - std::chrono::hours(1);
  /// When this process last went on after standing still.
  Time ResumedAt;
  bool SawBackends = false;
  CoreStats Stats;
};

} // namespace chicory::token

#endif
