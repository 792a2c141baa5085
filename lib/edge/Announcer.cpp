#include "chicorybank/edge/Announcer.h"

#include "Http.h"

namespace chicory::edge {

std::optional<RegistryCall> Announcer::next(Time now) {
  if (Waiting || now < DueAt)
    return std::nullopt;
  Waiting = true;
  switch (State) {
  case Phase::Leasing:
    return Dialect.createLease(Times.LeaseLife);
  case Phase::Writing:
    return Dialect.announce(Self, Lease);
  case Phase::Renewing:
    break;
  }
  return Dialect.renewLease(Lease);
}

void Announcer::answered(const NewsAnswer &answer, Time now) {
  Waiting = false;
  DueAt = now + Times.RetryAfter;
  if (answer.Status == HttpNotFound) {
    State = Phase::Leasing;
    DueAt = now;
    return;
  }
  if (answer.Status != HttpOk)
    return;
  switch (State) {
  case Phase::Leasing: {
    auto lease = Dialect.readLease(answer.Body);
    if (!lease)
      return;
    Lease = *lease;
    State = Phase::Writing;
    DueAt = now;
    return;
  }
  case Phase::Writing:
    State = Phase::Renewing;
    WrittenAt = now;
    break;
  case Phase::Renewing:
    break;
  }
  DueAt = now + Times.RenewEvery;
}

void Announcer::seen(bool present, Time now) {
  if (present || Waiting || State != Phase::Renewing ||
      now - WrittenAt < Times.SeenWithin)
    return;
  State = Phase::Leasing;
  DueAt = now;
}

std::optional<RegistryCall> Announcer::end() {
  Waiting = true;
  if (State == Phase::Leasing)
    return std::nullopt;
  if (State == Phase::Writing)
    return Dialect.endLease(Lease);
  Self.Leaving = true;
  return Dialect.announce(Self, Lease);
}

} // namespace chicory::edge
