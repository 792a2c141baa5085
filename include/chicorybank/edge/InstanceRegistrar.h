// Keeps this instance's record in the registry, under a lease.
//
// A process that starts again within its former one's lease takes over record
// and lease: two cheap calls in place of two that write. In a day with many
// restarts the writes of those that start are the larger part of all calls. The
// record is read from a copy that may be old; whatever has become of the lease,
// its renewal shows it.
//
// A lease may end unnoticed: it lapses while the process is paused, or the
// registry takes the record away. Renewals say so (404), and the record that
// is missing from the copy shows it.

#ifndef CHICORYBANK_EDGE_INSTANCEREGISTRAR_H
#define CHICORYBANK_EDGE_INSTANCEREGISTRAR_H

#include "chicorybank/edge/RegistryWatcher.h"

namespace chicory::edge {

/// Times of an announcer.
struct RegistrarTimes {
  /// A dead instance stays in the others' order for this long at most.
  /// Meanwhile those to whom it would pass news on ask by themselves, a call
  /// each in two seconds.
  Duration LeaseDuration = std::chrono::seconds(12);
  /// Three tries may be lost. Renewals are the calls that an instance at rest
  /// makes: of 295 they are 7 full calls a second.
  Duration RenewInterval = std::chrono::milliseconds(4500);
  Duration RetryAfter = std::chrono::milliseconds(1500);
  /// A record that was written is in the copy after this time at the latest.
  Duration VisibleWithin = std::chrono::seconds(4);
};

/// The state machine; it does no I/O. One call is under way at a time.
class InstanceRegistrar {
public:
  InstanceRegistrar(const RegistryDialect &dialect, PeerRecord self,
                    RegistrarTimes times)
      : Dialect(dialect), Self(std::move(self)), Times(times) {}

  /// The call that is due, if any.
  std::optional<RegistryCall> next(Time now);
  Time nextAt() const { return Waiting ? Time::max() : DueAt; }
  void answered(const RegistryAnswer &answer, Time now);
  /// The copy has this record of ours, or none (null). It holds everything up
  /// to `asOf`: where news is late, a record that was written is not yet in it.
  void checkRecord(const PeerRecord *own, Time asOf);
  /// The registry was restored from a copy. The lease may be gone, or its
  /// number given to another one, so the record is looked up again when its
  /// renewal is due; renewals of a large deployment are spread over time.
  void registryRestored() { LookAgain = true; }
  /// Marks the record as that of an instance that leaves; nothing follows, and
  /// the record goes with its lease. While it stands, neighbours that start
  /// learn who may be back soon (`OutageGossip.h`): in a rolling restart none
  /// of those that stay need have seen the one that is away.
  std::optional<RegistryCall> leave();

private:
  enum class Phase : uint8_t { Looking, Leasing, Writing, Renewing };

  void takeFormer(const RegistryAnswer &answer);

  const RegistryDialect &Dialect;
  PeerRecord Self;
  RegistrarTimes Times;
  Phase State = Phase::Looking;
  bool Waiting = false;
  bool LookAgain = false;
  /// How the record is looked up.
  Freshness LookUp = Freshness::MayBeStale;
  int64_t Lease = 0;
  /// The generation that gave out the lease, where it is known.
  std::optional<Generation> LeaseGeneration;
  Time DueAt;
  Time WrittenAt;
};

} // namespace chicory::edge

#endif
