// Targets as this instance sees them: load, health, shares of their slots.
//
// What the instance itself observes (answers, sheds, resets, silence) goes
// first; reports of backend servers only ever say that one is leaving.
// Instances share the slots of a target without talking about requests: slots
// are dealt out over the live instances, the same way on each. What a share
// leaves idle others may borrow, a window that grows with success and halves
// with each shed. docs/design/overload.md weighs this.

#ifndef CHICORYBANK_CORE_TARGETS_H
#define CHICORYBANK_CORE_TARGETS_H

#include "chicorybank/core/Rules.h"

#include <map>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

namespace chicory {

/// Bounds and times of target choice.
struct TargetOptions {
  /// Failures in a row after which a target is ejected.
  uint32_t EjectAfter = 3;
  /// How long the first ejection lasts; it doubles each time.
  Duration BaseEjectionTime = std::chrono::seconds(2);
  Duration MaxEjectionTime = std::chrono::seconds(60);
  /// The share of a service that may be ejected at a time.
  double MaxEjectedShare = 0.7;
  /// A new target reaches its full weight after this time.
  Duration SlowStart = std::chrono::seconds(10);
  /// How long a target that shed is left alone.
  Duration CoolDown = std::chrono::milliseconds(30);
  /// A drain that nobody repeats is forgotten after this time.
  Duration DrainExpiry = std::chrono::seconds(30);
  /// How long a drain is told to peers after this instance was told itself.
  Duration DrainAnnounceTime = std::chrono::seconds(3);
};

/// What this instance has seen of one target.
struct TargetState {
  ServiceId Service;
  uint32_t InFlight = 0;
  uint32_t Flows = 0;
  /// This instance's part of the target's slots.
  uint32_t Share = 0;
  uint32_t ConsecutiveFailures = 0;
  uint32_t Ejections = 0;
  Time EjectedUntil;
  Time CoolDownUntil;
  Time FirstSeen;
  Time LastPacketAt;
  /// Until when the target counts as leaving, by reports.
  Time DrainingUntil;
  /// When this instance itself was last told so; peers hear of that only.
  std::optional<Time> DrainReportedAt;
  bool OperatorDrain = false;
  uint16_t Weight = 1;
};

/// Why a target took no request, or why one was given back.
enum class RequestEnd : uint8_t { Answered, Shed, Silent, Reset, Cancelled };

/// All targets of the newest rule set, and those that still have flows.
class Targets {
public:
  Targets(InstanceId self, uint64_t seed, TargetOptions options);

  /// The rule set changed.
  void learn(const CompiledRules &rules, Time now);
  /// The live instances changed: deal the slots anew.
  void assignSlots(const CompiledRules &rules,
                   std::span<const InstanceId> live);

  /// The target for a new flow, or none. The choice is between the first two
  /// of the weighted rendezvous order, so that a lost pin is found again in
  /// one or two tries.
  std::optional<TargetId> chooseForFlow(const Service &service,
                                        uint64_t flowHash, size_t instances,
                                        Time now) const;
  /// The target for a request, or none where this instance must wait for one
  /// of its slots. `tried` are targets that have already refused it. Without
  /// `mayBorrow` only this instance's own slots count.
  std::optional<TargetId> chooseForRequest(const Service &service,
                                           std::span<const TargetId> tried,
                                           Time now, bool mayBorrow = true);
  /// How many requests of a service this instance may run at the same time.
  uint32_t shareOf(const Service &service) const;
  /// How many it runs now.
  uint32_t inFlightOf(const Service &service) const;

  void requestSent(TargetId target);
  void requestEnded(TargetId target, RequestEnd how, Time sentAt, Time now);
  void flowPinned(TargetId target, ServiceId service);
  void flowEnded(TargetId target);
  /// Any packet came from a target.
  void recordPacket(TargetId target, Time now);
  /// A target is leaving: it said so itself, or a peer that it told did.
  void markDraining(TargetId target, bool reportedByTarget, Time now);
  /// A report says that it is not.
  void clearDraining(TargetId target);
  /// Targets that have lately told this instance that they are leaving.
  std::vector<TargetId> drainsToAnnounce(Time now) const;

  bool isDraining(TargetId target, Time now) const;
  bool isEjected(TargetId target, Time now) const;
  /// The usual time from sending a request to its answer.
  Duration serviceTime(ServiceId service) const;
  /// Null for an unknown target.
  const TargetState *find(TargetId target) const;
  const std::unordered_map<TargetId, TargetState> &all() const {
    return States;
  }

private:
  struct ServiceState {
    double MeanMicros = 50'000;
    /// How many slots beyond its share this instance may use.
    double BorrowWindow = 1;
  };

  bool usable(const TargetState &state, Time now) const;
  double ramp(const TargetState &state, Time now) const;
  bool mayEject(const TargetState &state, Time now) const;
  void failed(TargetState &state, Time now);

  InstanceId Self;
  std::minstd_rand Random;
  TargetOptions Options;
  std::unordered_map<TargetId, TargetState> States;
  std::unordered_map<ServiceId, ServiceState> Services;
};

} // namespace chicory

#endif
