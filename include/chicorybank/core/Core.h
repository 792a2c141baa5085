// The core: one instance's decisions as a pure state machine.
//
// Events go in with the time, actions come out. There is no I/O, clock, thread
// or global state inside, and the only randomness comes from the seed, so the
// same events give the same actions.
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

/// Bounds and times of flows.
struct FlowOptions {
  size_t MaxFlows = 200'000;
  /// How many rule sets are remembered, the newest included.
  size_t HistoryDepth = 16;
  /// A flow without packets is forgotten after this time.
  Duration IdleTimeout = std::chrono::hours(6);
  /// How long peers may take to say what they know of a flow.
  Duration QueryTimeout = std::chrono::milliseconds(60);
  /// How long a target may take to reject a flow that it does not have.
  Duration TryTimeout = std::chrono::milliseconds(200);
  /// Flows being recovered at the same time.
  size_t MaxRecoveries = 4096;
  /// Packets kept for one flow while it is recovered.
  size_t MaxBufferedPackets = 4;
  /// Targets that are tried for one flow.
  size_t MaxRecoveryTries = 16;
  /// A flow counts as silent when its caller talks for so long without answer.
  Duration SilentAfter = std::chrono::seconds(10);
  uint8_t SilentAfterPackets = 3;
};

/// Bounds and times of requests.
struct RequestOptions {
  size_t MaxRequests = 65'536;
  size_t MaxCachedBytes = 8 << 20;
  /// A request whose deadline is further away is not accepted. Longer lives
  /// make a takeover wait longer; see `core/OwnershipTracker.h`.
  Duration MaxRequestLife = std::chrono::seconds(5);
  /// How far the clocks of any two instances may differ.
  Duration MaxClockSkew = std::chrono::milliseconds(100);
  size_t MaxQueue = 256;
  /// Retries as a share of fresh requests, and how many may be saved up.
  double RetryShare = 0.1;
  double RetryBurst = 10;
  /// How long a previous owner may take to say whether it saw a request.
  Duration QueryTimeout = std::chrono::milliseconds(100);
};

/// How flows keep their targets. All but the first are baselines that the
/// project measures itself against; never use them for real traffic.
enum class Placement : uint8_t {
  Pinned,  ///< Pins at homes, found again through peers and targets.
  NoPins,  ///< Each packet goes where the current targets' hash says.
  NoPeers, ///< Each instance pins for itself and asks nobody.
};

/// All options of a core.
struct CoreOptions {
  InstanceInfo Self;
  /// Differs at each start of the process.
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
  /// How long an instance that joins waits for peers and the platform before
  /// it creates the first members document.
  Duration JoinDelay = std::chrono::seconds(1);
  /// A stop that is not complete by then completes all the same.
  Duration StopTimeout = std::chrono::seconds(30);
};

/// Counters and gauges of a core. Counters never fall.
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

/// What an instance would do with a flow, for operators.
struct Explanation {
  FlowKey Flow;
  InstanceId Replier;
  RuleVersion Rules;
  InstanceId Home;
  InstanceId Owner;
  /// The first rule that matches; empty where none does.
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

/// One instance's decisions. Not safe for use by two threads at a time.
class Core {
public:
  Core(CoreOptions options, Time startedAt);
  ~Core();
  Core(Core &&) noexcept;
  Core &operator=(Core &&) noexcept;

  /// Handles one event and appends what is to be done.
  void handle(const Event &event, Time now, Actions &actions);
  /// Counters and gauges as of the last event.
  CoreStats stats() const;
  /// What would happen to a flow now, and why.
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
