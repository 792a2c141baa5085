#include "chicorybank/edge/InstanceRegistrar.h"

#include "Http.h"

#include <utility>

namespace chicory::edge {

std::optional<RegistryCall> InstanceRegistrar::next(Time now) {
  if (Waiting || now < DueAt)
    return std::nullopt;
  Waiting = true;
  if (std::exchange(LookAgain, false)) {
    // A record whose write was not answered may stand under another's lease.
    bool written = State == Phase::Renewing || State == Phase::Looking;
    State = written ? Phase::Looking : Phase::Leasing;
    // What is old may be from before the restore.
    LookUp = Freshness::Current;
  }
  switch (State) {
  case Phase::Looking:
    return Dialect.readInstanceRecord(Self.Id, LookUp);
  case Phase::Leasing:
    return Dialect.createLease(Times.LeaseDuration);
  case Phase::Writing:
    return Dialect.writeInstanceRecord(Self, Lease);
  case Phase::Renewing:
    break;
  }
  return Dialect.renewLease(Lease);
}

void InstanceRegistrar::answered(const RegistryAnswer &answer, Time now) {
  Waiting = false;
  DueAt = now + Times.RetryAfter;
  bool known = answer.Status == HttpOk || answer.Status == HttpNotFound;
  if (State == Phase::Looking && known) {
    takeFormer(answer);
    DueAt = now;
    return;
  }
  if (answer.Status == HttpNotFound) {
    State = Phase::Leasing;
    DueAt = now;
    return;
  }
  if (answer.Status != HttpOk)
    return;
  switch (State) {
  case Phase::Looking:
    break;
  case Phase::Leasing: {
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
    // Written after a restore that had not been noticed: a lease of this
    // number may have been given to another instance since.
    if (LeaseGeneration && answer.Generation &&
        *answer.Generation != *LeaseGeneration) {
      State = Phase::Leasing;
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

void InstanceRegistrar::takeFormer(const RegistryAnswer &answer) {
  State = Phase::Leasing;
  if (answer.Status != HttpOk)
    return;
  auto item = Dialect.parseItem(answer.Body);
  if (!item || item->Lease == 0)
    return;
  Findings ignored;
  ItemContent news = Dialect.translate(*item, ignored);
  const auto *record = std::get_if<PeerRecord>(&news);
  Lease = item->Lease;
  LeaseGeneration = answer.Generation;
  State = record && *record == Self ? Phase::Renewing : Phase::Writing;
}

void InstanceRegistrar::checkRecord(const PeerRecord *own, Time asOf) {
  if (Waiting || State != Phase::Renewing || (own && *own == Self) ||
      asOf - WrittenAt < Times.VisibleWithin)
    return;
  // A record that is not as it was written is the former process's: a late
  // write of it, or one that was read from an old copy.
  State = own ? Phase::Writing : Phase::Leasing;
  DueAt = asOf;
}

std::optional<RegistryCall> InstanceRegistrar::leave() {
  Waiting = true;
  if (State == Phase::Leasing || State == Phase::Looking || LookAgain)
    return std::nullopt;
  if (State == Phase::Writing)
    return Dialect.revokeLease(Lease);
  Self.Leaving = true;
  return Dialect.writeInstanceRecord(Self, Lease);
}

} // namespace chicory::edge
