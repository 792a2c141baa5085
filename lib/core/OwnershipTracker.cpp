#include "chicorybank/core/OwnershipTracker.h"

#include "chicorybank/core/Rendezvous.h"

#include <algorithm>

namespace chicory {

namespace {

bool contains(const std::vector<InstanceId> &ids, InstanceId id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

size_t majorityOf(const std::vector<InstanceId> &ids) {
  return ids.size() / 2 + 1;
}

} // namespace

OwnershipTracker::OwnershipTracker(InstanceId self, Time startedAt,
                                   OwnershipOptions options)
    : Self(self), StartedAt(startedAt), Options(options) {
  Transitions.push_back({.LearnedAt = startedAt});
}

bool OwnershipTracker::learn(const MembersDocument &document, Time now) {
  if (document.Version <= this->document().Version)
    return false;
  // Nobody can take over under the document that follows the new one before
  // this instance has announced the new one or a lease time has passed. So the
  // rest of the lease under the old document stays valid, and no request is
  // refused because of the change.
  InheritedLeaseUntil = std::min(leaseUntil(), now + Options.LeaseTime);
  Transitions.push_back({.Document = document, .LearnedAt = now});
  if (Transitions.size() > TransitionsKept)
    Transitions.pop_front();
  recordAcknowledgement(Transitions.back(), Self, now);
  for (const auto &[id, grant] : Grants)
    if (grant.Version >= document.Version)
      recordAcknowledgement(Transitions.back(), id, now);
  return true;
}

void OwnershipTracker::recordAcknowledgement(Transition &transition,
                                             InstanceId member, Time now) {
  const std::vector<InstanceId> &previous = transition.Document.Previous;
  if (!contains(previous, member))
    return;
  transition.AcknowledgedAt.try_emplace(member, now);
  if (transition.AcknowledgedAt.size() >= majorityOf(previous) &&
      !transition.MajorityAcknowledgedAt)
    transition.MajorityAcknowledgedAt = now;
}

void OwnershipTracker::recordHeartbeat(InstanceId from, MembersVersion version,
                                       std::optional<Time> echoedAt, Time now) {
  for (Transition &it : Transitions)
    if (version >= it.Document.Version)
      recordAcknowledgement(it, from, now);
  Grant &grant = Grants[from];
  if (version > grant.Version)
    grant = {.Version = version, .Until = Time{}};
  if (version == grant.Version && echoedAt)
    grant.Until = std::max(grant.Until, *echoedAt + Options.LeaseTime);
}

Time OwnershipTracker::leaseUntil() const {
  const MembersDocument &doc = document();
  if (!contains(doc.Members, Self))
    return Time{};
  // This instance counts as one of the majority, without a time limit.
  size_t needed = majorityOf(doc.Members) - 1;
  if (needed == 0)
    return Time::max();
  std::vector<Time> until;
  for (const auto &[id, grant] : Grants)
    if (id != Self && grant.Version == doc.Version && contains(doc.Members, id))
      until.push_back(grant.Until);
  if (until.size() < needed)
    return InheritedLeaseUntil;
  std::sort(until.begin(), until.end(), std::greater<>());
  return std::max(until[needed - 1], InheritedLeaseUntil);
}

std::optional<Time> OwnershipTracker::handedOverAt(const Transition &transition,
                                                   InstanceId previousOwner,
                                                   Time now) const {
  if (auto it = transition.AcknowledgedAt.find(previousOwner);
      it != transition.AcknowledgedAt.end())
    return it->second;
  if (!transition.MajorityAcknowledgedAt)
    return std::nullopt;
  Time retired = *transition.MajorityAcknowledgedAt + Options.LeaseTime +
                 Options.LeaseMargin;
  return retired <= now ? std::optional(retired) : std::nullopt;
}

bool OwnershipTracker::isPreviousDocumentRetired(Time now) const {
  const Transition &last = Transitions.back();
  return std::all_of(
      last.Document.Previous.begin(), last.Document.Previous.end(),
      [&](InstanceId id) { return handedOverAt(last, id, now).has_value(); });
}

OwnershipView OwnershipTracker::ownershipUnder(uint64_t flowHash, size_t newest,
                                               Time now) const {
  OwnershipView out{
      .Owner = Self, .HandOverComplete = true, .OwnedSince = StartedAt};
  // Walk back to the transition that moved the flow to this instance.
  for (size_t i = newest; i > 0; --i) {
    const Transition &it = Transitions[i];
    const MembersDocument &older = Transitions[i - 1].Document;
    InstanceId before = rendezvousFirst(flowHash, it.Document.Previous);
    if (before != Self && before != InstanceId{}) {
      std::optional<Time> at = handedOverAt(it, before, now);
      out.PreviousOwner = before;
      out.HandOverComplete = at.has_value();
      out.OwnedSince = std::max(StartedAt, at.value_or(now));
      return out;
    }
    // This instance missed documents in between. Each document is written only
    // after all leases under its predecessor's predecessor have ended, so only
    // leases under `Previous` can be left. The check above covers these.
    bool missed = it.Document.Version.Value != older.Version.Value + 1;
    if (missed && rendezvousFirst(flowHash, older.Members) != Self) {
      out.OwnedSince = std::max(StartedAt, it.LearnedAt);
      return out;
    }
  }
  out.OwnedSince = std::max(StartedAt, Transitions.front().LearnedAt);
  return out;
}

OwnershipView OwnershipTracker::ownershipOf(uint64_t flowHash, Time now) const {
  const MembersDocument &doc = document();
  InstanceId owner = rendezvousFirst(flowHash, doc.Members);
  OwnershipView out{.Owner = owner};
  if (owner == Self)
    out = ownershipUnder(flowHash, Transitions.size() - 1, now);
  else
    out.PreviousOwner = rendezvousFirst(flowHash, doc.Previous);
  out.LeaseUntil = leaseUntil();
  return out;
}

std::optional<OwnershipView>
OwnershipTracker::formerOwnership(uint64_t flowHash, Time now) const {
  if (rendezvousFirst(flowHash, document().Members) == Self)
    return std::nullopt;
  for (size_t i = Transitions.size(); i-- > 0;) {
    const MembersDocument &it = Transitions[i].Document;
    if (rendezvousFirst(flowHash, it.Members) == Self)
      return ownershipUnder(flowHash, i, now);
  }
  return std::nullopt;
}

} // namespace chicory
