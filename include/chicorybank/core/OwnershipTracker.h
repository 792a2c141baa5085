// Who alone may act for a flow when acting twice would do harm.
//
// Pins may be held by two instances at once; a request that is not idempotent
// must be sent by one at the most, through partitions, pauses and
// replacements. The rules, with their proof in docs/design/at-most-once.md:
//
// 1. The members document in the platform names the instances that may own
//    flows; a flow's owner is the first of them by rendezvous.
// 2. An owner acts only under a lease: a majority of the members have told it,
//    in answer to a heartbeat sent less than `LeaseTime` ago, that they know
//    no newer document. A paused or cut-off owner has no lease. When it learns
//    a newer document, the rest of its lease goes with it.
// 3. Where a newer document moves a flow, the new owner waits until the old
//    one has itself announced the newer document, or until a majority of the
//    previous members have, plus one `LeaseTime`: no lease under the previous
//    document can be left then.
// 4. What the old owner sent before that had a deadline of at most
//    `MaxRequestLife` later; a request with a later deadline is new. For an
//    earlier deadline `ownedSince` lets the caller of this class tell that the
//    request may have run.

#ifndef CHICORYBANK_CORE_OWNERSHIPTRACKER_H
#define CHICORYBANK_CORE_OWNERSHIPTRACKER_H

#include "chicorybank/core/Instance.h"

#include <deque>
#include <map>
#include <optional>

namespace chicory {

/// The times of authority.
struct OwnershipOptions {
  /// How long a member's word counts, from the heartbeat that asked for it.
  Duration LeaseTime = std::chrono::milliseconds(2500);
  /// Added to a wait for other instances' leases, against clocks that run at
  /// different rates.
  Duration LeaseMargin = std::chrono::milliseconds(200);
};

/// What an instance may do for one flow.
struct OwnershipView {
  InstanceId Owner;
  /// This instance is the owner and has taken over from the one before.
  bool HandOverComplete = false;
  /// The lease of this instance; it may act before this time only.
  Time LeaseUntil;
  /// Since when no other instance can have acted for the flow.
  Time OwnedSince;
  /// The owner under the previous document; may be this instance or none.
  InstanceId PreviousOwner;
};

/// Decides ownership. Time and messages come from outside.
class OwnershipTracker {
public:
  OwnershipTracker(InstanceId self, Time startedAt, OwnershipOptions options);

  /// Takes in a members document. Returns false for one that is not newer.
  bool learn(const MembersDocument &document, Time now);
  /// A member said in a heartbeat that `version` is its newest; `echoedAt` is
  /// when the heartbeat that it answers was sent, if it answers one.
  void recordHeartbeat(InstanceId from, MembersVersion version,
                       std::optional<Time> echoedAt, Time now);
  /// What may be done for a flow now.
  OwnershipView ownershipOf(uint64_t flowHash, Time now) const;
  /// The last time that this instance owned a flow which it owns no more;
  /// nothing where it remembers none. `HandOverComplete` tells whether the
  /// ownership had been taken over properly.
  std::optional<OwnershipView> formerOwnership(uint64_t flowHash,
                                               Time now) const;

  const MembersDocument &document() const {
    return Transitions.back().Document;
  }
  /// True where the previous document is void everywhere. The next document
  /// must not be written before.
  bool isPreviousDocumentRetired(Time now) const;
  /// True where this instance holds the lease of a majority.
  bool holdsLease(Time now) const { return leaseUntil() > now; }

private:
  static constexpr size_t TransitionsKept = 8;

  struct Grant {
    MembersVersion Version;
    Time Until;
  };
  /// One document and when it came into force here.
  struct Transition {
    MembersDocument Document;
    Time LearnedAt;
    /// When each previous member was first known to have moved on.
    std::map<InstanceId, Time> MovedOn;
    /// When a majority of the previous members was first known to have.
    std::optional<Time> MajorityMovedOn;
  };

  Time leaseUntil() const;
  OwnershipView tenure(uint64_t flowHash, size_t newest, Time now) const;
  std::optional<Time> handedOverAt(const Transition &transition,
                                   InstanceId previousOwner, Time now) const;
  void noteMovedOn(Transition &transition, InstanceId member, Time now);

  InstanceId Self;
  Time StartedAt;
  OwnershipOptions Options;
  std::deque<Transition> Transitions;
  std::map<InstanceId, Grant> Grants;
  /// The rest of the lease that was held under the previous document.
  Time Inherited;
};

} // namespace chicory

#endif
