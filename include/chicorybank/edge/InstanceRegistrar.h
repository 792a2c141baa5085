// Keeps this instance's record in the registry, under a lease.
//
// A process that restarts before the lease of its predecessor has ended takes
// over the predecessor's record and lease. This takes two cheap calls instead
// of two writes; on a day with many restarts, the writes of starting instances
// account for most calls. The record is read with `Freshness::MayBeStale`. If
// the registry was restored since, the lease's number may belong to another
// instance, so the lease is used only once the local cache, which other
// instances keep current, shows the same write of the record. If it does not in
// time, the record is read again with `Freshness::Current`. If the lease has
// ended, its renewal shows that.
//
// A record can end unnoticed. If the lease expires, as while the process is
// suspended, renewals fail with 404. If the registry removes the record alone,
// the lease lives and renewals succeed, but the record is missing from the
// local cache.

#ifndef CHICORYBANK_EDGE_INSTANCEREGISTRAR_H
#define CHICORYBANK_EDGE_INSTANCEREGISTRAR_H

#include "chicorybank/edge/RegistryWatcher.h"

namespace chicory::edge {

struct RegistrarTimes {
  /// The longest time for which an instance that has failed stays registered.
  /// It stays in the propagation tree for `OutageGossip::LapsedRetention` more.
  /// Until then, the first of its children to reach its staleness limit asks
  /// the registry and pushes the answer to the others (`PropagationTree.h`).
  Duration LeaseDuration = std::chrono::seconds(12);
  /// Four attempts may fail before the lease ends if they fail immediately, two
  /// if they time out after 1.5 s. Renewals are the calls that an idle instance
  /// makes, so longer intervals cost the registry less: renewals of 295
  /// instances cost as much as 7 other calls a second.
  Duration RenewInterval = std::chrono::milliseconds(4500);
  Duration RetryAfter = std::chrono::milliseconds(1500);
  /// The longest time until a written record is in the local cache. A lease
  /// that is taken over lasts longer than that: its owner has renewed it within
  /// `RenewInterval` before it stopped.
  Duration VisibleWithin = std::chrono::seconds(4);
};

/// State machine without I/O. At most one call is in progress.
class InstanceRegistrar {
public:
  InstanceRegistrar(const RegistryDialect &dialect, PeerRecord self,
                    RegistrarTimes times)
      : Dialect(dialect), Self(std::move(self)), Times(times) {}

  /// Returns the call that is due, if any.
  std::optional<RegistryCall> next(Time now);
  Time nextAt() const { return CallInFlight ? Time::max() : DueAt; }
  void answered(const RegistryAnswer &answer, Time now);
  /// Compares this instance's record in the local cache, or null if there is
  /// none, with what it should be. The cache holds everything up to `asOf`:
  /// while updates are late, a record that was written is not in it yet.
  void checkRecord(const PeerRecord *own, Time asOf);
  /// Compares a record that was taken over with the local cache, which holds
  /// everything up to `asOf`.
  void confirmTakeOver(const RegistryCache &cache, Time asOf);
  /// Handles a restore of the registry from a backup. The lease may be gone, or
  /// its number may belong to another instance, so the record is read again
  /// when its renewal is due; renewals of a large deployment are spread over
  /// time.
  void registryRestored() { MustReread = true; }
  /// Returns the last call, if one is needed; none follows. If the record is
  /// written, the call marks it as that of a leaving instance, and the record
  /// ends with its lease. Until then, instances of the same zone that start
  /// learn which instance may be back soon (`OutageGossip.h`): in a rolling
  /// restart, possibly no running instance has seen the stopped one. If the
  /// record still has to be written, the call revokes the lease; without a
  /// valid lease, there is no call.
  std::optional<RegistryCall> leave();

private:
  enum class Phase : uint8_t {
    Reading,
    /// Waits for the local cache to show the record that was read.
    Confirming,
    CreatingLease,
    Writing,
    Renewing
  };

  void takeOver(const RegistryAnswer &answer, Time now);

  const RegistryDialect &Dialect;
  PeerRecord Self;
  RegistrarTimes Times;
  Phase State = Phase::Reading;
  /// Stays set after `leave`, so that no further call follows.
  bool CallInFlight = false;
  bool MustReread = false;
  /// How current the read of the record has to be.
  Freshness RecordFreshness = Freshness::MayBeStale;
  /// While confirming: the record that was read, when, and what is next.
  Item Former;
  Time FormerReadAt;
  Phase AfterConfirming = Phase::Renewing;
  int64_t Lease = 0;
  /// The registry generation in which the lease was created, if known.
  std::optional<Generation> LeaseGeneration;
  Time DueAt;
  Time WrittenAt;
};

} // namespace chicory::edge

#endif
