// The core: the decisions of one instance as a pure state machine.
//
// It takes events with the current time and returns actions. It does no I/O and
// has no clock, threads or global state. All randomness comes from the seed, so
// the same events always give the same actions.
//
// Each flow has a home, the live instance that keeps its pin (the target that
// its packets go to), and an owner, the only member that may send its requests
// that are not idempotent. Both are computed by rendezvous hashing.
//
//   Core core({.Self = info, .Incarnation = 1}, Time{});
//   Actions actions;
//   core.handle(RulesLearned{rules}, now, actions);
//   core.handle(PacketArrived{packet}, now, actions);
//   for (const Action &it : actions)
//     std::visit(shell, it);

#ifndef CHICORYBANK_CORE_CORE_H
#define CHICORYBANK_CORE_CORE_H

#include "chicorybank/core/Events.h"
#include "chicorybank/core/Membership.h"
#include "chicorybank/core/OwnershipTracker.h"
#include "chicorybank/core/Targets.h"

#include <array>
#include <memory>

namespace chicory {

/// Limits and timeouts for flows.
struct FlowOptions {
  size_t MaxFlows = 200'000;
  /// How many rule sets are kept, including the newest.
  size_t HistoryDepth = 16;
  /// A flow without packets is removed after this time.
  Duration IdleTimeout = std::chrono::hours(6);
  /// How long peers may take to answer a query for a flow's pin.
  Duration QueryTimeout = std::chrono::milliseconds(60);
  /// How long a target may take to reject an unknown flow during a recovery.
  Duration TryTimeout = std::chrono::milliseconds(200);
  /// Flows that may be in recovery at the same time.
  size_t MaxRecoveries = 4096;
  /// Packets buffered for one flow during its recovery.
  size_t MaxBufferedPackets = 4;
  /// Targets that one recovery tries.
  size_t MaxRecoveryTries = 16;
  /// A flow is silent when its caller has sent for this long, and at least this
  /// many packets, without an answer.
  Duration SilentAfter = std::chrono::seconds(10);
  uint8_t SilentAfterPackets = 3;
};

/// Limits and timeouts for requests.
struct RequestOptions {
  size_t MaxRequests = 65'536;
  size_t MaxCachedBytes = 8 << 20;
  /// A request whose deadline is later than this from now is refused. A larger
  /// value makes a takeover wait longer; see `core/OwnershipTracker.h`.
  Duration MaxRequestLife = std::chrono::seconds(5);
  /// How far the clocks of any two instances may differ.
  Duration MaxClockSkew = std::chrono::milliseconds(100);
  size_t MaxQueue = 256;
  /// Retry budget: retries per accepted request, and how many unused retries
  /// may accumulate.
  double RetryShare = 0.1;
  double RetryBurst = 10;
  /// How long a previous owner may take to answer whether it has seen a
  /// request.
  Duration QueryTimeout = std::chrono::milliseconds(100);
};

/// How flows keep their targets. All modes but the first are baselines for
/// comparison; never use them for real traffic.
enum class Placement : uint8_t {
  Pinned,  ///< Pins at the home; recovered through peers and targets.
  NoPins,  ///< Hashes each packet over the current targets.
  NoPeers, ///< Each instance pins for itself and never asks peers.
};

/// All options of a core.
struct CoreOptions {
  InstanceInfo Self;
  /// Different for each start of the process.
  uint64_t Incarnation = 1;
  uint64_t Seed = 1;
  /// Milliseconds since the Unix epoch at `Time{}`.
  int64_t EpochMs = 0;
  MembershipOptions Membership;
  OwnershipOptions Ownership;
  TargetOptions Targets;
  FlowOptions Flows;
  RequestOptions Requests;
  Placement FlowPlacement = Placement::Pinned;
  Duration ProbeInterval = std::chrono::milliseconds(500);
  /// A joining instance waits this long for peers and the platform before it
  /// goes live and may create the first members document.
  Duration JoinDelay = std::chrono::seconds(1);
  /// A planned stop ends after this time even with unfinished requests.
  Duration StopTimeout = std::chrono::seconds(30);
};

/// Counters and gauges of a core. Counters never decrease.
struct CoreStats {
  std::array<uint64_t, ReasonCount> Refusals{};
  std::array<uint64_t, ReasonCount> Retries{};
  uint64_t PacketsToTargets = 0;
  uint64_t PacketsToCallers = 0;
  uint64_t PacketsForwarded = 0;
  uint64_t FlowsOpened = 0;
  uint64_t FlowsRecoveredByPeer = 0;
  uint64_t FlowsRecoveredByTarget = 0;
  uint64_t RecoveryTries = 0;
  uint64_t RequestsAccepted = 0;
  uint64_t RequestsAnswered = 0;
  uint64_t RequestsNotRun = 0;
  uint64_t RequestsUnknown = 0;
  uint64_t FlowsNow = 0;
  uint64_t RequestsNow = 0;
  uint64_t QueuedNow = 0;
  uint64_t HomesNow = 0;
  RuleVersion Rules;
  MembersVersion Members;
  InstanceState State = InstanceState::Joining;
  bool HoldsLease = false;
};

/// Shows operators what an instance would do with a flow.
struct Explanation {
  FlowKey Flow;
  InstanceId Replier;
  RuleVersion Rules;
  InstanceId Home;
  InstanceId Owner;
  /// The first rule that matches; empty if none does.
  std::string RuleName;
  std::string ServiceName;
  /// Set only on the instance that holds the flow.
  std::optional<TargetId> PinnedTarget;
  std::string PinnedService;
  /// Where a new flow with this key would go now.
  std::optional<TargetId> NewTarget;
  Reason Why = Reason::None;
};

class CoreImpl;

/// The decisions of one instance. Not thread-safe.
class Core {
public:
  Core(CoreOptions options, Time startedAt);
  ~Core();
  Core(Core &&) noexcept;
  Core &operator=(Core &&) noexcept;

  /// Handles one event and appends the resulting actions.
  void handle(const Event &event, Time now, Actions &actions);
  /// Returns the counters and gauges as of the last event.
  CoreStats stats() const;
  /// Returns what would happen to a flow now, and why.
  Explanation explain(const FlowKey &flow, Time now) const;

  const Membership &membership() const;
  const OwnershipTracker &ownership() const;
  const Targets &targets() const;
  const CompiledRules *rules() const;

private:
  std::unique_ptr<CoreImpl> Impl;
};

} // namespace chicory

#endif
