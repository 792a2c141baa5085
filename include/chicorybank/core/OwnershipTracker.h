// Decides which single instance may act for a flow when acting twice would do
// harm.
//
// Two instances may hold a pin for the same flow at the same time. A request
// that is not idempotent must be sent by one instance at most, also during
// partitions, pauses and replacements. The rules, proved in
// docs/design/at-most-once.md:
//
// 1. The members document in the platform names the instances that may own
//    flows. The owner of a flow is the first of them by rendezvous hashing.
// 2. An owner acts only under a lease: a majority of the members have confirmed
//    that they know no newer document, each in answer to a heartbeat that the
//    owner sent less than `LeaseTime` ago. A paused or partitioned owner has no
//    lease. When the owner learns a newer document, it keeps only the rest of
//    the lease that it holds at that moment.
// 3. When a newer document moves a flow, the new owner waits until the old
//    owner has announced the newer document, or until a majority of the
//    previous members have announced it and another `LeaseTime` has passed. No
//    lease under the previous document can be left then.
// 4. Requests that the old owner sent before that have a deadline at most
//    `MaxRequestLife` later, so a request with a later deadline is new. For an
//    earlier deadline, `OwnedSince` lets the caller of this class find out that
//    the request may have run.

#ifndef CHICORYBANK_CORE_OWNERSHIPTRACKER_H
#define CHICORYBANK_CORE_OWNERSHIPTRACKER_H

#include "chicorybank/core/Instance.h"

#include <deque>
#include <map>
#include <optional>

namespace chicory {

/// Timing of leases.
struct OwnershipOptions {
  /// How long a member's confirmation is valid, counted from the time at which
  /// the heartbeat that it answers was sent.
  Duration LeaseTime = std::chrono::milliseconds(2500);
  /// Added when waiting for other instances' leases to end, because clocks run
  /// at different rates.
  Duration LeaseMargin = std::chrono::milliseconds(200);
};

/// What an instance may do for one flow.
struct OwnershipView {
  InstanceId Owner;
  /// This instance is the owner, and no lease of the previous owner is left.
  bool HandOverComplete = false;
  /// End of this instance's lease. It may act only before this time.
  Time LeaseUntil;
  /// From this time on, no other instance can have acted for the flow.
  Time OwnedSince;
  /// The owner under the previous document; this instance or none is possible.
  InstanceId PreviousOwner;
};

/// Tracks members documents and leases, and derives who owns a flow. The time
/// and all messages are passed in.
class OwnershipTracker {
public:
  OwnershipTracker(InstanceId self, Time startedAt, OwnershipOptions options);

  /// Applies a members document. Returns false if it is not newer.
  bool learn(const MembersDocument &document, Time now);
  /// Records that `version` is a member's newest document, as its heartbeat
  /// announced. `echoedAt` is when this instance sent the heartbeat that is
  /// answered by it, if there is one.
  void recordHeartbeat(InstanceId from, MembersVersion version,
                       std::optional<Time> echoedAt, Time now);
  /// Returns what this instance may do for a flow now.
  OwnershipView ownershipOf(uint64_t flowHash, Time now) const;
  /// Returns the most recent ownership of a flow that this instance no longer
  /// owns, or nothing if it has no record of one. `HandOverComplete` is false
  /// if this instance never finished taking over from the owner before it.
  std::optional<OwnershipView> formerOwnership(uint64_t flowHash,
                                               Time now) const;

  const MembersDocument &document() const {
    return Transitions.back().Document;
  }
  /// Returns whether no instance can hold a lease under the previous document
  /// any more. The next document must not be written earlier.
  bool isPreviousDocumentRetired(Time now) const;
  /// Returns whether this instance holds a lease: a majority currently grants
  /// it, or the rest of the lease under the previous document has not ended.
  bool holdsLease(Time now) const { return leaseUntil() > now; }

private:
  static constexpr size_t TransitionsKept = 8;

  struct Grant {
    MembersVersion Version;
    Time Until;
  };
  /// A document and when this instance applied it.
  struct Transition {
    MembersDocument Document;
    Time LearnedAt;
    /// When each previous member was first known to have this document or a
    /// newer one.
    std::map<InstanceId, Time> AcknowledgedAt;
    /// When this was first known of a majority of the previous members.
    std::optional<Time> MajorityAcknowledgedAt;
  };

  Time leaseUntil() const;
  OwnershipView ownershipUnder(uint64_t flowHash, size_t newest,
                               Time now) const;
  std::optional<Time> handedOverAt(const Transition &transition,
                                   InstanceId previousOwner, Time now) const;
  void recordAcknowledgement(Transition &transition, InstanceId member,
                             Time now);

  InstanceId Self;
  Time StartedAt;
  OwnershipOptions Options;
  std::deque<Transition> Transitions;
  std::map<InstanceId, Grant> Grants;
  /// End of the lease that was held under the previous document, at most one
  /// `LeaseTime` after the change.
  Time InheritedLeaseUntil;
};

} // namespace chicory

#endif
