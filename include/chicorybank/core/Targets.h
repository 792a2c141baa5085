// Load and health of targets as this instance sees them, and its share of their
// slots.
//
// Health comes from the instance's own observations (answers, load shedding,
// resets, missing answers). Reports of backend servers only show that a server
// is leaving. Instances divide the slots of a target without messages about
// requests: each computes the same assignment of slots to live instances.
// Instances may borrow slots that others leave idle, within a window that grows
// with each answer and halves with each shed request.
// docs/design/overload.md compares alternatives.

#ifndef CHICORYBANK_CORE_TARGETS_H
#define CHICORYBANK_CORE_TARGETS_H

#include "chicorybank/core/Rules.h"

#include <map>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

namespace chicory {

/// Limits and timing for the choice of targets.
struct TargetOptions {
  /// Consecutive failures after which a target is ejected.
  uint32_t EjectAfter = 3;
  /// How long the first ejection lasts. It doubles with each further ejection,
  /// up to the maximum.
  Duration BaseEjectionTime = std::chrono::seconds(2);
  Duration MaxEjectionTime = std::chrono::seconds(60);
  /// The share of a service's targets that may be unavailable after an
  /// ejection.
  double MaxEjectedShare = 0.7;
  /// A new target reaches its full weight after this time.
  Duration SlowStart = std::chrono::seconds(10);
  /// How long a target that shed a request gets no further one; up to twice as
  /// long at random.
  Duration CoolDown = std::chrono::milliseconds(30);
  /// A reported drain expires after this time unless it is reported again.
  Duration DrainExpiry = std::chrono::seconds(30);
  /// How long peers are informed of a drain after the target's own report.
  Duration DrainAnnounceTime = std::chrono::seconds(3);
};

/// What this instance has observed of one target.
struct TargetState {
  ServiceId Service;
  uint32_t InFlight = 0;
  uint32_t Flows = 0;
  /// How many of the target's slots are assigned to this instance.
  uint32_t Share = 0;
  uint32_t ConsecutiveFailures = 0;
  uint32_t Ejections = 0;
  Time EjectedUntil;
  Time CoolDownUntil;
  Time FirstSeen;
  Time LastPacketAt;
  /// When the reported drain expires; the target is leaving until then.
  Time DrainingUntil;
  /// When the target itself last reported it to this instance. Only such drains
  /// are announced to peers.
  std::optional<Time> DrainReportedAt;
  bool OperatorDrain = false;
  uint16_t Weight = 1;
};

/// How a request at a target ended.
enum class RequestEnd : uint8_t { Answered, Shed, Silent, Reset, Cancelled };

/// All targets of the newest rule set, and older ones that still have flows or
/// requests.
class Targets {
public:
  Targets(InstanceId self, uint64_t seed, TargetOptions options);

  /// Applies a new rule set.
  void learn(const CompiledRules &rules, Time now);
  /// Assigns the slots to the live instances.
  void assignSlots(const CompiledRules &rules,
                   std::span<const InstanceId> live);

  /// Returns the target for a new flow, or none. The choice is between the
  /// first two of the weighted rendezvous order, so that a recovery of a lost
  /// pin needs one or two tries.
  std::optional<TargetId> chooseForFlow(const Service &service,
                                        uint64_t flowHash, size_t instances,
                                        Time now) const;
  /// Returns the target for a request, or none if this instance must wait for
  /// one of its slots. The request was already sent to the targets in `tried`.
  /// Without `mayBorrow` only this instance's own slots are used.
  std::optional<TargetId> chooseForRequest(const Service &service,
                                           std::span<const TargetId> tried,
                                           Time now, bool mayBorrow = true);
  /// Returns how many slots of a service are assigned to this instance.
  uint32_t shareOf(const Service &service) const;
  /// Returns how many requests of a service this instance has in flight.
  uint32_t inFlightOf(const Service &service) const;

  void requestSent(TargetId target);
  void requestEnded(TargetId target, RequestEnd how, Time sentAt, Time now);
  void flowPinned(TargetId target, ServiceId service);
  void flowEnded(TargetId target);
  /// Records that any packet arrived from a target.
  void recordPacket(TargetId target, Time now);
  /// Records that a target is leaving, as reported by the target itself or by a
  /// peer.
  void markDraining(TargetId target, bool reportedByTarget, Time now);
  /// Records that a target reported that it is not leaving.
  void clearDraining(TargetId target);
  /// Returns the targets that reported to this instance within
  /// `DrainAnnounceTime` that they are leaving.
  std::vector<TargetId> drainsToAnnounce(Time now) const;

  bool isDraining(TargetId target, Time now) const;
  bool isEjected(TargetId target, Time now) const;
  /// Returns the mean time from sending a request to its answer.
  Duration serviceTime(ServiceId service) const;
  /// Returns a target's state, or null if the target is unknown.
  const TargetState *find(TargetId target) const;
  const std::unordered_map<TargetId, TargetState> &all() const {
    return States;
  }

private:
  struct ServiceState {
    double MeanMicros = 50'000;
    /// How many slots beyond its own share this instance may use.
    double BorrowWindow = 1;
  };

  bool isAvailable(const TargetState &state, Time now) const;
  double slowStartFactor(const TargetState &state, Time now) const;
  bool canEject(const TargetState &state, Time now) const;
  void recordFailure(TargetState &state, Time now);

  InstanceId Self;
  std::minstd_rand Random;
  TargetOptions Options;
  std::unordered_map<TargetId, TargetState> States;
  std::unordered_map<ServiceId, ServiceState> Services;
};

} // namespace chicory

#endif
