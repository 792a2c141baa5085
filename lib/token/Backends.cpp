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

BackendIndex Backends::add(const Registration &info, Time now) {
  BackendIndex i = 0;
  if (Free.empty()) {
    i = indexEnd();
    Entries.emplace_back();
  } else {
    i = Free.back();
    Free.pop_back();
    Entries[i] = {};
  }
  Entries[i].ClaimedAt = now;
  ById[info.Id.Value] = i;
  ByToken[tokenOf(info.Id).Value].push_back(i);
  ByService[info.Service.Value].push_back(i);
  ++LiveCount;
  return i;
}

bool Backends::applyRegistration(const Registration &info, Time now) {
  BackendIndex i = find(info.Id);
  if (i != NoBackend && mayBeLate(Entries[i], info)) {
    hold(i, info, now);
    return false;
  }
  if (i == NoBackend) {
    i = add(info, now);
    Entries[i].Info = info;
    Entries[i].State =
        info.Draining ? BackendState::Draining : BackendState::Ready;
    Entries[i].ZoneDrained = Drained.contains(info.Zone);
    claimAddress(i, Claim::First, now);
    return true;
  }
  return replaceRegistration(i, info, now);
}

bool Backends::mayBeLate(const Backend &backend, const Registration &info) {
  const Registration &known = backend.Info;
  bool bothKnown = known.StartedAtMs != 0 && info.StartedAtMs != 0;
  if (bothKnown && info.StartedAtMs != known.StartedAtMs)
    return info.StartedAtMs < known.StartedAtMs;
  bool takesDrainBack =
      backend.State == BackendState::Draining && !info.Draining;
  return takesDrainBack && info.Sequence != 0 && info.Sequence < known.Sequence;
}

void Backends::hold(BackendIndex i, const Registration &info, Time now) {
  auto [it, isNew] = Held.try_emplace(i, HeldRegistration{info, now});
  if (!isNew && it->second.Info.StartedAtMs != info.StartedAtMs)
    it->second.Since = now;
  it->second.Info = info;
  Entries[i].DrainHeld = info.Draining;
}

void Backends::release(BackendIndex i) {
  Held.erase(i);
  Entries[i].DrainHeld = false;
}

std::vector<BackendIndex> Backends::applyHeld(Time now) {
  std::vector<Registration> due;
  for (const auto &[i, it] : Held)
    if (now - it.Since >= Times.LateWriteHold)
      due.push_back(it.Info);
  std::vector<BackendIndex> out;
  for (const Registration &it : due) {
    BackendIndex i = find(it.Id);
    if (replaceRegistration(i, it, now))
      out.push_back(i);
  }
  return out;
}

bool Backends::replaceRegistration(BackendIndex i, const Registration &info,
                                   Time now) {
  release(i);
  Backend &backend = Entries[i];
  const Registration known = backend.Info;
  BackendState oldState = backend.State;
  bool restarted = known.StartedAtMs != 0 && info.StartedAtMs != 0 &&
                   known.StartedAtMs != info.StartedAtMs;
  bool moved = known.Where != info.Where || restarted;
  bool returned = oldState == BackendState::Gone && !backend.Replaced;
  bool lapsed = oldState == BackendState::Missing;
  if (moved || makesClaim(known) != makesClaim(info))
    removeClaim(i, now);
  if (known.Service != info.Service) {
    eraseValue(ByService[known.Service.Value], i);
    ByService[info.Service.Value].push_back(i);
  }
  backend.Info = info;
  // A restored registry lists an old registration in a new generation. What was
  // known about its age is the better knowledge.
  if (known.Order.Revision == info.Order.Revision &&
      known.Order.Origin != RegistrationOrigin::Uncertain)
    backend.Info.Order = known.Order;
  backend.ZoneDrained = Drained.contains(info.Zone);
  if (info.StartedAtMs == 0)
    backend.Info.StartedAtMs = known.StartedAtMs;
  if (restarted)
    resetObservations(i);
  if (moved) {
    backend.ClaimedAt = now;
    backend.AliveAfter = {};
    backend.Replaced = false;
  }
  claimAddress(i,
               moved                ? Claim::Moved
               : returned || lapsed ? Claim::Returned
                                    : Claim::Same,
               now);
  if (backend.Replaced)
    return false;
  LostConflicts.erase(i);
  // The server was considered gone but is still running.
  if (oldState == BackendState::Gone)
    ++LiveCount;
  backend.State = info.Draining ? BackendState::Draining : BackendState::Ready;
  return oldState != backend.State;
}

void Backends::setNamedServices(std::unordered_set<uint64_t> services,
                                Time now) {
  if (NamedServices == services)
    return;
  NamedServices = std::move(services);
  for (BackendIndex i = 0; i < indexEnd(); ++i) {
    const Backend &backend = Entries[i];
    if (backend.Info.Id.Value == 0 || backend.State == BackendState::Gone)
      continue;
    if (!makesClaim(backend.Info))
      removeClaim(i, now);
    else if (!isClaimant(i))
      claimAddress(i, Claim::First, now);
  }
}

/// Without a known age, nothing can be said about two registrations at one
/// address.
bool Backends::makesClaim(const Registration &info) const {
  return info.Order.Revision != 0 &&
         (!NamedServices || NamedServices->contains(info.Service.Value));
}

bool Backends::isClaimant(BackendIndex i) const {
  const std::vector<BackendIndex> &claimants = Claims.of(Entries[i].Info.Where);
  return std::ranges::find(claimants, i) != claimants.end();
}

void Backends::claimAddress(BackendIndex i, Claim kind, Time now) {
  Backend &backend = Entries[i];
  Address where = backend.Info.Where;
  if (!makesClaim(backend.Info) || (kind == Claim::Same && isClaimant(i)))
    return;
  BackendIndex owner = ownerOf(where);
  bool ended = hasEndedByAnswer(i);
  bool first = owner == NoBackend || owner == i ||
               (!ended && isLikelierOwner(i, owner, kind, now));
  Claims.put(where, i,
             first ? AddressClaims::Rank::First : AddressClaims::Rank::Last);
  if (ended) {
    if (backend.State != BackendState::Gone)
      markReplaced(i, now);
    else if (!std::exchange(backend.Replaced, true))
      LostConflicts[i] = conflictOf(i);
  }
  updateContested(where);
}

bool Backends::isLikelierOwner(BackendIndex i, BackendIndex owner, Claim kind,
                               Time now) const {
  const Backend &other = Entries[owner];
  // The process whose registration had ended is the known one, so this may be a
  // late write of it.
  if (kind == Claim::Returned || kind == Claim::Same)
    return false;
  if (other.AliveAfter != Time{} &&
      now - other.AliveAfter < Times.AddressUnusedFor)
    return false;
  // The order is that of the servers' first registrations.
  return kind == Claim::Moved || !(Entries[i].Info.Order < other.Info.Order);
}

bool Backends::hasEndedByAnswer(BackendIndex i) const {
  const Backend &backend = Entries[i];
  const std::vector<BackendIndex> &claimants = Claims.of(backend.Info.Where);
  return std::ranges::any_of(claimants, [&](BackendIndex it) {
    const Backend &other = Entries[it];
    // Answers of servers that share a token can't be told apart.
    return it != i && other.State != BackendState::Gone &&
           other.AliveAfter > backend.ClaimedAt &&
           tokenOf(other.Info.Id) != tokenOf(backend.Info.Id);
  });
}

void Backends::recordAnswer(BackendIndex i, Time sentAt, Time now) {
  Backend &backend = Entries[i];
  Address where = backend.Info.Where;
  backend.AliveAfter = std::max(backend.AliveAfter, sentAt);
  if (Claims.of(where).size() < 2 || !isClaimant(i) ||
      backend.State == BackendState::Gone)
    return;
  if (backend.AliveAfter > Entries[ownerOf(where)].ClaimedAt)
    Claims.put(where, i, AddressClaims::Rank::First);
  const std::vector<BackendIndex> claimants = Claims.of(where);
  for (BackendIndex it : claimants)
    if (it != i && Entries[it].State != BackendState::Gone &&
        hasEndedByAnswer(it))
      markReplaced(it, now);
  updateContested(where);
}

void Backends::yieldAddress(BackendIndex i) {
  Address where = Entries[i].Info.Where;
  const std::vector<BackendIndex> &claimants = Claims.of(where);
  auto next = std::ranges::find_if(claimants, [&](BackendIndex it) {
    return it != i && Entries[it].State == BackendState::Ready;
  });
  if (next == claimants.end() || ownerOf(where) != i)
    return;
  Claims.put(where, *next, AddressClaims::Rank::First);
  Claims.put(where, i, AddressClaims::Rank::Last);
  updateContested(where);
}

void Backends::removeClaim(BackendIndex i, Time now) {
  Address where = Entries[i].Info.Where;
  bool wasOwner = ownerOf(where) == i;
  Claims.remove(where, i);
  setContested(i, false);
  if (ownerOf(where) == NoBackend)
    reinstateAt(where, now);
  if (wasOwner)
    passAddressOn(where);
  updateContested(where);
}

void Backends::passAddressOn(Address where) {
  BackendIndex newest = NoBackend;
  for (BackendIndex it : Claims.of(where))
    if (!Entries[it].Replaced &&
        (newest == NoBackend ||
         Entries[newest].Info.Order < Entries[it].Info.Order))
      newest = it;
  if (newest != NoBackend)
    Claims.put(where, newest, AddressClaims::Rank::First);
}

BackendIndex Backends::ownerOf(Address where) const {
  const std::vector<BackendIndex> &claimants = Claims.of(where);
  auto it = std::ranges::find_if(
      claimants, [&](BackendIndex i) { return !Entries[i].Replaced; });
  return it == claimants.end() ? NoBackend : *it;
}

void Backends::updateContested(Address where) {
  BackendIndex owner = ownerOf(where);
  for (BackendIndex it : Claims.of(where))
    setContested(it, it != owner && !Entries[it].Replaced);
}

void Backends::setContested(BackendIndex i, bool contested) {
  if (std::exchange(Entries[i].AddressContested, contested) != contested)
    ContestChanges.push_back(i);
}

void Backends::reinstateAt(Address where, Time now) {
  const std::vector<BackendIndex> claimants = Claims.of(where);
  for (BackendIndex it : claimants) {
    Backend &backend = Entries[it];
    backend.Replaced = false;
    backend.ClaimedAt = now;
    backend.State =
        backend.Info.Draining ? BackendState::Draining : BackendState::Ready;
    ++LiveCount;
    LostConflicts.erase(it);
    Reinstated.push_back(it);
  }
}

void Backends::markReplaced(BackendIndex i, Time now) {
  LostConflicts[i] = conflictOf(i);
  Entries[i].Replaced = true;
  markGone(i, now);
}

void Backends::markEnded(BackendIndex i, Time now) {
  markGone(i, now);
  removeClaim(i, now);
}

void Backends::markGone(BackendIndex i, Time now) {
  Entries[i].State = BackendState::Gone;
  Entries[i].LostAt = now;
  --LiveCount;
  Ended.push_back(i);
}

AddressConflict Backends::conflictOf(BackendIndex i) const {
  const Registration &own = Entries[i].Info;
  const Registration &other = Entries[ownerOf(own.Where)].Info;
  return {.Where = own.Where,
          .Order = own.Order,
          .Other = other.Id,
          .OtherOrder = other.Order};
}

const AddressConflict *Backends::lostConflict(BackendIndex i) const {
  auto it = LostConflicts.find(i);
  return it == LostConflicts.end() ? nullptr : &it->second;
}

bool Backends::markMissing(BackendId id, Time now) {
  BackendIndex i = find(id);
  if (i == NoBackend)
    return false;
  Backend &backend = Entries[i];
  release(i);
  if (backend.Replaced) {
    removeClaim(i, now);
    backend.Replaced = false;
    backend.LostAt = now;
  }
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
      markEnded(i, now);
    } else if (backend.State == BackendState::Gone && !backend.Replaced &&
               now - backend.LostAt > Times.GoneRetention) {
      remove(i);
    }
  }
  return std::exchange(Ended, {});
}

void Backends::remove(BackendIndex i) {
  const Registration &info = Entries[i].Info;
  ById.erase(info.Id.Value);
  Claims.remove(info.Where, i);
  Held.erase(i);
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
