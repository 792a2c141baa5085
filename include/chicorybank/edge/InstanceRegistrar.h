// Keeps this instance's record in the registry, under a lease.
//
// A process that restarts before the lease of its predecessor has ended takes
// over the predecessor's record and lease. This takes two cheap calls instead
// of two writes; on a day with many restarts, the writes of starting instances
// account for most calls. The record is read with `Freshness::MayBeStale`; if
// the lease has ended since, its renewal shows that.
//
// A lease can end unnoticed: it expires while the process is suspended, or the
// registry removes the record. Renewals then fail with 404, and the record is
// missing from the local cache.

#ifndef CHICORYBANK_EDGE_INSTANCEREGISTRAR_H
#define CHICORYBANK_EDGE_INSTANCEREGISTRAR_H

#include "chicorybank/edge/RegistryWatcher.h"

namespace chicory::edge {

/// Times of an instance registrar.
struct RegistrarTimes {
  /// The longest time for which an instance that has failed stays in the
  /// propagation tree. Until then its children poll the registry themselves,
  /// with one call each in two seconds.
  Duration LeaseDuration = std::chrono::seconds(12);
  /// Three attempts may fail before the lease ends. Renewals are the calls that
  /// an idle instance makes: those of 295 instances cost the registry as much
  /// as 7 full calls a second.
  Duration RenewInterval = std::chrono::milliseconds(4500);
  Duration RetryAfter = std::chrono::milliseconds(1500);
  /// The longest time until a written record is in the local cache.
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
  Time nextAt() const { return Waiting ? Time::max() : DueAt; }
  void answered(const RegistryAnswer &answer, Time now);
  /// Compares this instance's record in the local cache, or null if there is
  /// none, with what it should be. The cache holds everything up to `asOf`:
  /// while updates are late, a record that was written is not in it yet.
  void checkRecord(const PeerRecord *own, Time asOf);
  /// Handles a restore of the registry from a backup. The lease may be gone, or
  /// its number may belong to another instance, so the record is read again
  /// when its renewal is due; renewals of a large deployment are spread over
  /// time.
  void registryRestored() { MustReread = true; }
  /// Returns the call that marks the record as that of a leaving instance. No
  /// call follows, and the record ends with its lease. Until then, neighbours
  /// that start learn which instance may be back soon (`OutageGossip.h`): in a
  /// rolling restart, possibly no running instance has seen the stopped one.
  std::optional<RegistryCall> leave();

private:
  enum class Phase : uint8_t { Reading, CreatingLease, Writing, Renewing };

  void takeOver(const RegistryAnswer &answer);

  const RegistryDialect &Dialect;
  PeerRecord Self;
  RegistrarTimes Times;
  Phase State = Phase::Reading;
  bool Waiting = false;
  bool MustReread = false;
  /// How current the read of the record has to be.
  Freshness RecordFreshness = Freshness::MayBeStale;
  int64_t Lease = 0;
  /// The registry generation in which the lease was created, if known.
  std::optional<Generation> LeaseGeneration;
  Time DueAt;
  Time WrittenAt;
};

} // namespace chicory::edge

#endif
