#include "chicorybank/token/Backends.h"

#include <algorithm>
#include <utility>

namespace chicory::token {

namespace {

const std::vector<BackendIndex> None;

void eraseValue(std::vector<BackendIndex> &list, BackendIndex i) {
  list.erase(std::remove(list.begin(), list.end(), i), list.end());
}

} // namespace

bool RegistrationOrder::provesNewerThan(const RegistrationOrder &other) const {
  // Made in a generation that the other one's read did not know yet.
  if (Origin == RegistrationOrigin::ThisGeneration &&
      Generation > other.Generation)
    return true;
  // The registry held this one in a generation that includes all that was made
  // before the other one. If it were the older one of the two, its revision
  // would be the lower one.
  return Origin != RegistrationOrigin::Uncertain &&
         Generation >= other.Generation && Revision > other.Revision;
}

bool RegistrationOrder::operator<(const RegistrationOrder &other) const {
  if (provesNewerThan(other) || other.provesNewerThan(*this))
    return other.provesNewerThan(*this);
  return Revision < other.Revision;
}

BackendIndex Backends::add(const Registration &info) {
  BackendIndex i = 0;
  if (Free.empty()) {
    i = indexEnd();
    Entries.emplace_back();
  } else {
    i = Free.back();
    Free.pop_back();
    Entries[i] = {};
  }
  ById[info.Id.Value] = i;
  ByToken[tokenOf(info.Id).Value].push_back(i);
  ByService[info.Service.Value].push_back(i);
  ++LiveCount;
  return i;
}

bool Backends::applyRegistration(const Registration &info, Time now) {
  BackendIndex i = find(info.Id);
  bool isNew = i == NoBackend;
  if (isNew)
    i = add(info);
  Backend &backend = Entries[i];
  int64_t knownStart = backend.Info.StartedAtMs;
  if (knownStart != 0 && info.StartedAtMs != 0 && info.StartedAtMs < knownStart)
    return false;
  BackendState oldState = backend.State;
  RegistrationOrder oldOrder = backend.Info.Order;
  if (!isNew && backend.Info.Where != info.Where)
    passOnAddress(i);
  backend.Info = info;
  // A restored registry lists an old registration in a new generation. What was
  // known about its age is the better knowledge.
  if (!isNew && oldOrder.Revision == info.Order.Revision &&
      oldOrder.Origin != RegistrationOrigin::Uncertain)
    backend.Info.Order = oldOrder;
  backend.ZoneDrained = Drained.contains(info.Zone);
  if (info.StartedAtMs == 0)
    backend.Info.StartedAtMs = knownStart;
  else if (knownStart != 0 && info.StartedAtMs > knownStart)
    resetObservations(i);
  if (!takeAddress(i, now)) {
    if (oldState != BackendState::Gone)
      markReplaced(i, now);
    return false;
  }
  LostConflicts.erase(i);
  // The server was considered gone but is still running.
  if (oldState == BackendState::Gone)
    ++LiveCount;
  backend.State = info.Draining ? BackendState::Draining : BackendState::Ready;
  return isNew || oldState != backend.State;
}

bool Backends::takeAddress(BackendIndex i, Time now) {
  const Registration &own = Entries[i].Info;
  auto it = ByAddress.try_emplace(own.Where.packed(), i).first;
  BackendIndex owner = it->second;
  const Registration &other = Entries[owner].Info;
  bool isConflict =
      owner != i && other.Where == own.Where && other.Order != own.Order;
  if (isConflict && other.Order.provesNewerThan(own.Order))
    return false;
  if (isConflict && Entries[owner].State != BackendState::Gone) {
    bool isOlder = own.Order < other.Order;
    setContested(i, isOlder);
    if (isOlder)
      return true;
    it->second = i;
    if (own.Order.provesNewerThan(other.Order))
      markReplaced(owner, now);
    else
      setContested(owner, true);
  }
  setContested(i, false);
  it->second = i;
  endOlderClaims(i, now);
  return true;
}

void Backends::endOlderClaims(BackendIndex i, Time now) {
  const Registration &own = Entries[i].Info;
  std::vector<BackendIndex> claims = Contested;
  for (BackendIndex it : claims)
    if (contests(it, own.Where) &&
        own.Order.provesNewerThan(Entries[it].Info.Order))
      markReplaced(it, now);
}

bool Backends::contests(BackendIndex i, Address where) const {
  return Entries[i].AddressContested && Entries[i].Info.Where == where;
}

void Backends::passOnAddress(BackendIndex i) {
  Address where = Entries[i].Info.Where;
  auto address = ByAddress.find(where.packed());
  if (address == ByAddress.end() || address->second != i)
    return;
  BackendIndex newest = NoBackend;
  for (BackendIndex it : Contested)
    if (contests(it, where) &&
        (newest == NoBackend ||
         Entries[newest].Info.Order < Entries[it].Info.Order))
      newest = it;
  if (newest == NoBackend)
    return;
  address->second = newest;
  setContested(newest, false);
}

void Backends::setContested(BackendIndex i, bool contested) {
  if (std::exchange(Entries[i].AddressContested, contested) == contested)
    return;
  if (contested)
    Contested.push_back(i);
  else
    eraseValue(Contested, i);
  ContestChanges.push_back(i);
}

void Backends::markReplaced(BackendIndex i, Time now) {
  LostConflicts[i] = conflictOf(i);
  markGone(i, now);
}

AddressConflict Backends::conflictOf(BackendIndex i) const {
  const Registration &own = Entries[i].Info;
  const Registration &other = Entries[ByAddress.at(own.Where.packed())].Info;
  return {.Where = own.Where,
          .Order = own.Order,
          .Other = other.Id,
          .OtherOrder = other.Order};
}

const AddressConflict *Backends::lostConflict(BackendIndex i) const {
  auto it = LostConflicts.find(i);
  return it == LostConflicts.end() ? nullptr : &it->second;
}

void Backends::markGone(BackendIndex i, Time now) {
  Entries[i].State = BackendState::Gone;
  Entries[i].LostAt = now;
  --LiveCount;
  Ended.push_back(i);
  setContested(i, false);
  passOnAddress(i);
}

bool Backends::markMissing(BackendId id, Time now) {
  BackendIndex i = find(id);
  if (i == NoBackend)
    return false;
  Backend &backend = Entries[i];
  if (backend.State == BackendState::Gone ||
      backend.State == BackendState::Missing)
    return false;
  backend.State = BackendState::Missing;
  backend.LostAt = now;
  return true;
}

bool Backends::drainZone(const std::string &zone, bool active, Time now) {
  bool changed =
      active ? Drained.try_emplace(zone, now).second : Drained.erase(zone) != 0;
  if (!changed)
    return false;
  for (Backend &it : Entries)
    if (it.Info.Zone == zone)
      it.ZoneDrained = active;
  return true;
}

void Backends::resetObservations(BackendIndex i) {
  Backend &backend = Entries[i];
  backend.Unanswered = 0;
  backend.Suspicions = 0;
  backend.SuspectUntil = {};
  backend.LastProgress = {};
  // A probe that is under way will still end and must find its entry.
  backend.Probes = {.Probing = backend.Probes.Probing};
  Restarted.push_back(i);
}

bool Backends::markUnreadable(BackendId id) {
  BackendIndex i = find(id);
  if (i == NoBackend)
    return false;
  Backend &backend = Entries[i];
  if (backend.State == BackendState::Gone ||
      backend.State == BackendState::Unreadable)
    return false;
  backend.State = BackendState::Unreadable;
  return true;
}

std::vector<BackendIndex> Backends::expire(bool trusted, Time now) {
  for (BackendIndex i = 0; i < indexEnd(); ++i) {
    Backend &backend = Entries[i];
    if (backend.Info.Id.Value == 0)
      continue;
    if (backend.State == BackendState::Missing && trusted) {
      markGone(i, now);
    } else if (backend.State == BackendState::Gone &&
               now - backend.LostAt > Times.GoneRetention) {
      remove(i);
    }
  }
  return std::exchange(Ended, {});
}

void Backends::remove(BackendIndex i) {
  const Registration &info = Entries[i].Info;
  ById.erase(info.Id.Value);
  auto address = ByAddress.find(info.Where.packed());
  if (address != ByAddress.end() && address->second == i)
    ByAddress.erase(address);
  eraseValue(ByToken[tokenOf(info.Id).Value], i);
  eraseValue(ByService[info.Service.Value], i);
  LostConflicts.erase(i);
  Entries[i] = {};
  Free.push_back(i);
}

BackendIndex Backends::find(BackendId id) const {
  auto it = ById.find(id.Value);
  return it == ById.end() ? NoBackend : it->second;
}

const std::vector<BackendIndex> &Backends::withToken(Token token) const {
  auto it = ByToken.find(token.Value);
  return it == ByToken.end() ? None : it->second;
}

const std::vector<BackendIndex> &Backends::ofService(ServiceId service) const {
  auto it = ByService.find(service.Value);
  return it == ByService.end() ? None : it->second;
}

bool Backends::sharesToken(BackendIndex i) const {
  const Backend &one = Entries[i];
  const std::vector<BackendIndex> &sharing = withToken(tokenOf(one.Info.Id));
  return std::any_of(sharing.begin(), sharing.end(), [&](BackendIndex other) {
    return other != i && Entries[other].Info.Service == one.Info.Service &&
           Entries[other].State != BackendState::Gone;
  });
}

} // namespace chicory::token
