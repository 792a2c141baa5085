// The decisions of the token path as a state machine without I/O.
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
#include "chicorybank/token/PriorityAdmission.h"
#include "chicorybank/token/ServerSelector.h"
#include "chicorybank/token/Zones.h"

#include <array>
#include <deque>
#include <map>
#include <random>

namespace chicory::token {

/// Decisions that a deployment's settings ask for. All are off by default.
struct BalancingOptions {
  /// Judge servers by what callers' packets show of their responses.
  bool OutlierDetection = false;
  /// Refuse new flows of low priority while a service has no room.
  bool PriorityAdmission = false;
  /// Report "not ready" while this instance can't keep up with its packets.
  bool OverloadReadiness = false;

  bool operator==(const BalancingOptions &) const = default;
};

/// Settings of a core.
struct CoreOptions {
  std::string Zone;
  InstanceId Self;
  uint64_t Seed = 1;
  /// A flow that is older may be discarded.
  Duration MaxFlowAge = std::chrono::seconds(60);
  /// A configuration must take effect within this time, so an instance whose
  /// updates are older can't know the current configuration.
  Duration ApplyWithin = std::chrono::seconds(3);
  BackendTimes Servers;
  /// If no update was confirmed as current for this long, updates may have been
  /// missed (a gap): registrations that vanished during it may come back.
  Duration UpdateGap = std::chrono::milliseconds(700);
  /// A registration that vanished during a gap is back this long after the gap
  /// if its server is still running. (Requirement: about two seconds.)
  Duration ReturnGrace = std::chrono::milliseconds(2300);
  /// Minimum time before an opening counts as unanswered. Several times the
  /// usual handshake of a few milliseconds, and well below the 200 ms after
  /// which a caller sends a copy.
  Duration OpeningTimeout = std::chrono::milliseconds(25);
  /// Consecutive unanswered openings or requests that make a server suspect; a
  /// single one may be a lost datagram.
  uint32_t SuspectAfter = 2;
  /// How long a suspect is avoided; doubles with each consecutive suspicion, up
  /// to the maximum.
  Duration SuspectFor = std::chrono::milliseconds(800);
  Duration SuspectForMax = std::chrono::seconds(4);
  ReachabilityOptions Probing;
  SelectorOptions Selection;
  AdmissionOptions Admission;
  ZoneOptions Zoning;
  /// A token that remains unknown for this long, while registrations are
  /// current, belongs to a server that has ended: registrations arrive within a
  /// second.
  Duration UnknownTokenTimeout = std::chrono::milliseconds(2500);
  /// Maximum number of tracked flows with unknown tokens; about a megabyte.
  /// Anyone can send packets with forged tokens, which must not exhaust the
  /// memory of an instance. Further flows are only dropped, not reset.
  size_t MaxUnknownFlows = 10'000;
  BalancingOptions Balancing;
  Mechanisms Enabled;
};

/// Counters and gauges of a core. Counters never decrease.
struct CoreStats {
  std::array<uint64_t, ReasonCount> Drops{};
  std::array<uint64_t, ReasonCount> Resets{};
  std::array<uint64_t, ReasonCount> Retries{};
  uint64_t Packets = 0;
  uint64_t Forwarded = 0;
  uint64_t Opened = 0;
  /// Packets of open flows with the token of another server, one that the
  /// opening was also sent to.
  uint64_t SecondServerTokens = 0;
  /// Flows that were opened before the updates were ever confirmed as current.
  uint64_t OpenedUnconfirmed = 0;
  uint64_t Probes = 0;
  uint64_t ProbesFailed = 0;
  /// Servers that got no new flows because their address was contested.
  uint64_t ContestedAddresses = 0;
  /// Servers that were gone because another one had answered at their address.
  uint64_t ReplacedServers = 0;
  /// Registrations that were held back because they may be late writes.
  uint64_t HeldRegistrations = 0;
  /// Responses and requests without one, as far as they were judged.
  uint64_t WholeResponses = 0;
  uint64_t ShortResponses = 0;
  uint64_t StalledRequests = 0;
  uint64_t OverdueRequests = 0;
  uint64_t Ejections = 0;
  uint64_t Restores = 0;
  /// Health reports sent, counted once for each receiver, and received.
  uint64_t HealthReportsSent = 0;
  uint64_t HealthReportsApplied = 0;
  uint64_t HealthReportsIgnored = 0;
  /// New flows by where their server was found.
  uint64_t SubsetChoices = 0;
  uint64_t OtherZoneChoices = 0;
  uint64_t FullScans = 0;
  /// Choices that ignored the health of servers, since most looked unhealthy.
  uint64_t PanicChoices = 0;
  /// Time from an opening sent to the caller's next packet.
  Histogram HandshakeTime;
  /// Time from the data of a request to the first sign of its answer.
  Histogram RequestTime;
  /// Age of the registry updates when a version of the routes took effect on
  /// this instance.
  Histogram RoutesAge;
};

/// The decisions of one instance. Not thread-safe.
class Core {
public:
  explicit Core(CoreOptions options);

  /// Handles one event and appends the resulting actions.
  void handle(const Event &event, Time now, Actions &actions);

  /// Returns when the next `Tick` is due.
  Time nextTick(Time now) const;
  /// Returns true once a route and a server are known, so that some packets can
  /// be forwarded.
  bool canForward() const {
    return Routes.version().Value != 0 && Servers.size() != 0;
  }
  /// Returns true once all routes and backend servers are known.
  bool isReady() const {
    return Routes.version().Value != 0 && AllBackendsKnown;
  }

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
    /// The missing answer was counted against the server.
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
  void on(const BackendHealthReported &event, Time now, Actions &actions);
  void on(const ProcessResumed &event, Time now, Actions &actions);
  void on(const StopBegun &event, Time now, Actions &actions);
  void on(const Tick &event, Time now, Actions &actions);

  void openFlow(const PacketReceived &event, Time now, Actions &actions);
  void sendOpening(const PacketReceived &event, BackendIndex i, Time now,
                   Actions &actions);
  void forwardPacket(const PacketReceived &event, Time now, Actions &actions);
  BackendIndex serverOfToken(const FlowPacket &head, Time now,
                             Reason &why) const;
  /// Returns true if a flow that is open elsewhere was also sent to this
  /// server.
  bool isSecondServer(BackendIndex i, const FlowState &flow) const;
  /// Returns true if a packet continues a flow that is open at its recorded
  /// server, whatever token it echoes.
  bool continuesFlow(const FlowPacket &head, const FlowState &flow,
                     Time now) const;
  void handleUnknownToken(const FlowPacket &head, Time now, Actions &actions);
  void trackPacket(const PacketReceived &event, BackendIndex i, Time now,
                   Actions &actions);
  void trackData(const PacketReceived &event, FlowState &flow, Time now,
                 Actions &actions);

  BackendIndex chooseServer(const Route &route, uint64_t flowHash,
                            BackendIndex avoid, Time now);
  /// Returns the reason why a route has no server for a new flow.
  Reason whyNoServer(const Route &route) const;
  BackendIndex chooseServerOf(ServiceId service, bool idempotent,
                              BackendIndex avoid, Time now);
  BackendIndex scanServersOf(ServiceId service, BackendIndex avoid, Time now);
  BackendIndex selectByHealth(ServiceId service, bool idempotent,
                              BackendIndex avoid, Time now);
  /// Returns true if servers are selected by what was observed of them.
  bool selectsByHealth() const {
    return Options.Balancing.OutlierDetection &&
           Options.Enabled.OutlierDetection;
  }
  bool mayBeAdmitted(const FlowPacket &head, const Route &route, BackendIndex i,
                     Time now);
  /// Returns true if a server would accept new flows if its registration were
  /// not missing.
  bool isMissingOnly(const Backend &backend) const {
    return Options.Enabled.MissingAsLastResort &&
           backend.State == BackendState::Missing &&
           backend.mayAcceptNewFlows();
  }
  void onFlowOpened(BackendIndex i, Time now);
  void updatePriorities(const RouteSet &routes);
  void logShortage(Time now, Actions &actions);

  void trackResponse(const FlowPacket &head, FlowState &flow, Time now,
                     Actions &actions);
  void finishResponse(const FlowKey &key, FlowState &flow, Time now,
                      Actions &actions);
  void checkResponse(const FlowKey &key, FlowState &flow, Time now,
                     Actions &actions);
  void recordStall(FlowState &flow, Time now, Actions &actions);
  void recordOutcome(BackendIndex i, bool good, HealthChange change, Time now,
                     Actions &actions);
  void announceHealth(BackendIndex i, HealthChange change, Time now,
                      Actions &actions);
  double costOf(const Backend &backend, bool ownZoneFirst, Time now);
  /// Returns whether a new flow of a service prefers servers of the own zone.
  bool prefersOwnZone(ServiceId service);

  void recordProgress(BackendIndex i, Time now);
  void recordUnanswered(BackendIndex i, Time now, Actions &actions);
  void markSuspect(BackendIndex i, Time now, Actions &actions);

  bool mayProbe(const Reachability &reach, Time now) const;
  void probeIfDue(BackendIndex i, Time now, Actions &actions);
  void startProbe(BackendIndex i, Time now, Actions &actions);
  void sendProbe(BackendIndex i, Time now, Actions &actions);
  BackendIndex lastAnsweringServer(BackendIndex i) const;
  static bool isFinishing(const Backend &backend);
  void onProbeFailed(BackendIndex i, Time now, Actions &actions);
  void repeatProbe(BackendIndex i, Time now, Actions &actions);
  void recordSignOfLife(Reachability &reach, Time now);
  void onAddressAnswered(BackendIndex i, Time now, Actions &actions);
  bool isDistrusted(const Reachability &reach, Time now) const;
  void resetWaitingRequestsAt(BackendIndex i, Time now, Actions &actions);
  /// Returns true if a server that had failed a probe recently showed a sign of
  /// life. No server is then declared unreachable, and no flow is reset because
  /// a server was.
  bool hadRecentFalseAlarm(Time now) const {
    return now - FalseAlarmAt < Options.Probing.FalseAlarmHold;
  }
  void recordLinkAnswer(BackendIndex answered, Time now);
  bool comparisonServerAnswered(BackendIndex i) const;
  bool linkWorked(BackendIndex i) const;
  void recordRoundTrip(const std::string &zone, Duration took);
  Duration roundTrip(const std::string &zone) const;
  bool resetIfUnreachable(const FlowPacket &head, BackendIndex i, Time now,
                          Actions &actions);
  void resetFlowsOfUnreachable(BackendIndex i, Time now, Actions &actions);
  void checkRequests(Time now, Actions &actions);
  Duration requestTimeout() const;
  void moveOpenings(BackendIndex from, Time now, Actions &actions);
  bool isAvoided(const Backend &backend, Time now) const {
    return backend.isSuspect(now) || ZoneView.isSuspect(backend.Info.Zone, now);
  }
  void checkOpenings(Time now, Actions &actions);
  /// Returns after how long an opening counts as unanswered.
  Duration openingTimeout() const;
  void resetFlowsOfRestarted(int64_t readAt, Time now, Actions &actions);
  void expireServers(bool trusted, Time now, Actions &actions);
  void applyRegistration(const Registration &info, Time now, Actions &actions);
  void logState(BackendIndex i, Time now, Actions &actions) const;
  void updateNamedServices(const RouteSet &routes, Time now, Actions &actions);
  void logContest(BackendIndex i, Time now, Actions &actions);
  void resetFlowsOf(BackendIndex i, Time now, Actions &actions);
  void resetFlows(const std::vector<FlowKey> &keys, Reason why, Time now,
                  Actions &actions);

  FlowState *flowOf(const FlowKey &key);
  /// Returns the flows at a server that a predicate of key and state selects.
  template <typename Predicate>
  std::vector<FlowKey> flowsOf(BackendIndex i, Predicate picks) const {
    std::vector<FlowKey> out;
    for (const auto &[key, flow] : Flows)
      if (flow.Backend == i && picks(key, flow))
        out.push_back(key);
    return out;
  }
  FlowState &trackFlow(const FlowKey &key, BackendIndex i, Time now);
  void release(FlowState &flow);
  /// Ends the request in progress, for whatever reason.
  void endRequest(FlowState &flow);
  void forget(const FlowKey &key);
  /// Forgets a tracked flow that is too old for a new opening packet to belong
  /// to it.
  void forgetEarlierFlow(const FlowKey &key, Time now);
  void sweep(Time now, Actions &actions);

  void send(BackendIndex i, Bytes raw, Actions &actions);
  /// Appends a decision, with the time, the version and the age of the updates.
  void addDecision(Decision decision, Time now, Actions &actions) const;
  void reset(const FlowPacket &head, Reason why, BackendIndex i, Time now,
             Actions &actions);
  void drop(const FlowPacket &head, Reason why, Time now, Actions &actions);
  /// Returns the age of the registry updates: zero until all registrations of
  /// backend servers were read, nothing until the updates were confirmed as
  /// current.
  std::optional<Duration> updateAge(Time now) const {
    if (!AllBackendsKnown)
      return Duration::zero();
    if (CurrentAt == NeverCurrent)
      return std::nullopt;
    return now - CurrentAt;
  }
  /// Returns true if the registry updates are newer than `ApplyWithin`, the
  /// time within which a configuration must take effect.
  bool isCurrent(Time now) const {
    return now - CurrentAt < Options.ApplyWithin;
  }
  /// Returns true if a missing registration proves that its server has ended.
  /// Two conditions must hold:
  ///
  /// - The updates were confirmed as current less than `UpdateGap` ago.
  ///   Otherwise a gap may not be over yet: items can be read before they are
  ///   confirmed as current.
  /// - The updates had no gap for at least `ReturnGrace`, within which the
  ///   registration of a running server returns. This period ends at
  ///   `CurrentAt` and not now, since a registration may have returned after
  ///   `CurrentAt`.
  bool canTrustMissing(Time now) const {
    return now - CurrentAt < Options.UpdateGap &&
           CurrentAt - CurrentSince >= Options.ReturnGrace;
  }

  CoreOptions Options;
  RouteTable Routes;
  Backends Servers;
  WarmUpLimits WarmUps;
  Zones ZoneView;
  ServerSelector Selector;
  Selection LastSelection;
  PriorityAdmission Admission;
  /// The priorities of the routes that lead to each service.
  std::map<ServiceId, std::vector<uint32_t>> Priorities;
  /// Admitted shares as they were last logged.
  std::map<std::pair<ServiceId, uint32_t>, double> LoggedShares;
  Time SharesLoggedAt;
  /// A choice has begun to ignore the health of servers; not logged yet.
  bool PanicStarted = false;
  FlowTracker Flows;
  std::deque<Opening> Openings;
  std::deque<Request> Requests;
  /// Flows with an unknown token, with the arrival of their first packet.
  std::unordered_map<FlowKey, Time, FlowKeyHash> Unknown;
  /// Holds the bytes of openings that a `Forward` refers to.
  std::vector<std::vector<std::byte>> Resent;
  std::mt19937_64 Random;
  static constexpr Time NeverCurrent = Time{} - std::chrono::hours(1);
  Time CurrentAt = NeverCurrent;
  /// Start of the period in which the updates have been current without a gap.
  Time CurrentSince;
  Time LastTick;
  Time LastSweep;
  /// Smoothed time from an opening to the caller's next packet.
  Duration Handshake = Duration::zero();
  /// Smoothed time from a request to the first sign of its answer.
  Duration ResponseTime = Duration::zero();
  /// Recent longest round trip to the servers of each zone.
  std::map<std::string, Duration> RoundTrips;
  /// When a server that had failed a probe last showed a sign of life.
  Time FalseAlarmAt = Time{} - std::chrono::hours(1);
  /// When this process last resumed after it was suspended.
  Time ResumedAt;
  bool AllBackendsKnown = false;
  /// This instance is being stopped.
  bool StopRequested = false;
  CoreStats Stats;
};

} // namespace chicory::token

#endif
