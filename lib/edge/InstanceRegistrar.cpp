#include "chicorybank/edge/InstanceRegistrar.h"

#include "Http.h"

#include <utility>

namespace chicory::edge {

std::optional<RegistryCall> InstanceRegistrar::next(Time now) {
  if (CallInFlight || now < DueAt)
    return std::nullopt;
  CallInFlight = true;
  if (std::exchange(MustReread, false) || State == Phase::Confirming) {
    // Unless the last write was answered, it is unknown under which lease the
    // record is, so a new lease is created.
    bool written = State == Phase::Renewing || State == Phase::Reading ||
                   State == Phase::Confirming;
    State = written ? Phase::Reading : Phase::CreatingLease;
    // A stale read may be from before the restore.
    RecordFreshness = Freshness::Current;
  }
  switch (State) {
  case Phase::Reading:
  case Phase::Confirming:
    return Dialect.readInstanceRecord(Self.Id, RecordFreshness);
  case Phase::CreatingLease:
    return Dialect.createLease(Times.LeaseDuration);
  case Phase::Writing:
    return Dialect.writeInstanceRecord(Self, Lease);
  case Phase::Renewing:
    break;
  }
  return Dialect.renewLease(Lease);
}

void InstanceRegistrar::answered(const RegistryAnswer &answer, Time now) {
  CallInFlight = false;
  DueAt = now + Times.RetryAfter;
  bool known = answer.Status == HttpOk || answer.Status == HttpNotFound;
  if (State == Phase::Reading && known) {
    DueAt = now;
    takeOver(answer, now);
    return;
  }
  if (answer.Status == HttpNotFound) {
    State = Phase::CreatingLease;
    DueAt = now;
    return;
  }
  if (answer.Status != HttpOk)
    return;
  switch (State) {
  case Phase::Reading:
  case Phase::Confirming:
    break;
  case Phase::CreatingLease: {
    auto lease = Dialect.parseLease(answer.Body);
    if (!lease)
      return;
    Lease = *lease;
    LeaseGeneration = answer.Generation;
    State = Phase::Writing;
    DueAt = now;
    return;
  }
  case Phase::Writing:
    // If the generation has changed since the lease was created, the registry
    // was restored, and this number may be another instance's lease since.
    if (LeaseGeneration && answer.Generation &&
        *answer.Generation != *LeaseGeneration) {
      State = Phase::CreatingLease;
      DueAt = now;
      return;
    }
    State = Phase::Renewing;
    WrittenAt = now;
    break;
  case Phase::Renewing:
    break;
  }
  DueAt = now + Times.RenewInterval;
}

void InstanceRegistrar::takeOver(const RegistryAnswer &answer, Time now) {
  State = Phase::CreatingLease;
  if (answer.Status != HttpOk)
    return;
  auto item = Dialect.parseItem(answer.Body);
  if (!item || item->Lease == 0)
    return;
  Findings ignored;
  ItemContent content = Dialect.translate(*item, ignored);
  const auto *record = std::get_if<PeerRecord>(&content);
  Lease = item->Lease;
  LeaseGeneration = answer.Generation;
  State = record && *record == Self ? Phase::Renewing : Phase::Writing;
  if (RecordFreshness == Freshness::Current)
    return;
  AfterConfirming = std::exchange(State, Phase::Confirming);
  Former = std::move(*item);
  FormerReadAt = now;
  DueAt = now + Times.VisibleWithin;
}

void InstanceRegistrar::confirmTakeOver(const RegistryCache &cache, Time asOf) {
  if (CallInFlight || State != Phase::Confirming || asOf < FormerReadAt)
    return;
  const Item *known = cache.find(Former.Key);
  bool same = known && known->Created == Former.Created &&
              known->At.Revision == Former.At.Revision;
  State = same ? AfterConfirming : Phase::Reading;
  if (!same)
    RecordFreshness = Freshness::Current;
  DueAt = asOf;
}

void InstanceRegistrar::checkRecord(const PeerRecord *own, Time asOf) {
  if (CallInFlight || State != Phase::Renewing || (own && *own == Self) ||
      asOf - WrittenAt < Times.VisibleWithin)
    return;
  // A record that differs from what was written is that of the previous
  // process: either a late write of it, or the result of a stale read.
  State = own ? Phase::Writing : Phase::CreatingLease;
  DueAt = asOf;
}

std::optional<RegistryCall> InstanceRegistrar::leave() {
  CallInFlight = true;
  if (State == Phase::CreatingLease || State == Phase::Reading ||
      State == Phase::Confirming || MustReread)
    return std::nullopt;
  if (State == Phase::Writing)
    return Dialect.revokeLease(Lease);
  Self.Leaving = true;
  return Dialect.writeInstanceRecord(Self, Lease);
}

} // namespace chicory::edge
