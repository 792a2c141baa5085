// What a news reader makes of other instances' pushes and pages.

#include "chicorybank/edge/RegistryWatcher.h"

#include <algorithm>
#include <utility>

namespace chicory::edge {

namespace {

// News that an instance has from others may be of any age; it is told as this
// old. All that it has to be is older than any limit.
constexpr Duration OldestAge = std::chrono::hours(1);

// A copy that differs from others' for so many paces has missed a change.
constexpr int DiffersForPaces = 2;

} // namespace

bool RegistryWatcher::applyPush(const UpdatePush &push, bool late, Time now,
                                std::vector<token::Event> &out) {
  ++Stats.Pushes;
  if (!Complete && (late || !replacesFirstList(push)))
    return false;
  if (Complete)
    Cache.advanceIfEqual(push.Page.At, push.Digest);
  if (!Complete || mustPull(push)) {
    Pull.reset();
    if (!late)
      Pull = {.To = push.Page.At, .AsOf = now - push.Age};
    return true;
  }
  bool behind = push.Page.At > Cache.position();
  if (push.Page.At.Generation != Cache.position().Generation) {
    ++Stats.OtherGenerations;
    return behind;
  }
  if (behind)
    appendEvents(Cache.apply(push.Page, Faults), out);
  bool agrees =
      push.Page.At == Cache.position() && push.Digest == Cache.digest();
  Unconfirmed = Unconfirmed && !agrees;
  if (!late && !Unconfirmed)
    markCurrent(now - push.Age, out);
  if (!late && confirmsCache(push))
    State = Phase::Watching;
  if (push.Page.At == Cache.position())
    trackDifference(push.Digest != Cache.digest(), now);
  return false;
}

/// Another copy at this position is the same as this one, or differs. One that
/// was listed while things changed holds some changes behind its position, and
/// has caught up by the next push; were that taken for a missed change, lists
/// would lead to further lists while servers register by the hundred.
void RegistryWatcher::trackDifference(bool differs, Time now) {
  if (!differs) {
    DiffersSince.reset();
    return;
  }
  if (!DiffersSince)
    DiffersSince = now;
  if (now - *DiffersSince < DiffersForPaces * Times.PollInterval || Waiting ||
      State != Phase::Watching || now - LastList < Times.RelistMin)
    return;
  DiffersSince.reset();
  startList(std::max(DueAt, now));
}

/// The push lacks changes that this copy lacks as well.
bool RegistryWatcher::mustPull(const UpdatePush &push) const {
  return push.Page.At > Cache.position() &&
         (!push.Complete || push.Base > Cache.position());
}

/// Everything can be read from the sender. Where all instances start at once,
/// each list is megabytes on the registry's link and a call for each of its
/// pages; one sees that link full for half a minute, and `registry_calls` with
/// as many lists as there are pages.
bool RegistryWatcher::replacesFirstList(const UpdatePush &push) const {
  return firstListIsPending() && push.Age < Times.StaleAfter &&
         push.Page.At.Generation == LatestGeneration;
}

/// A list is due since this copy may have missed a change, and the push is by
/// someone who has asked the registry since and has the same copy: there was
/// none. Otherwise hundreds would list at once when the registry is back from
/// an outage; one sees `registry_calls` with lists of each instance, and the
/// registry's link full.
bool RegistryWatcher::confirmsCache(const UpdatePush &push) const {
  bool due = State == Phase::Listing && Complete && !Waiting && After.empty();
  return due && push.Age < Times.StaleAfter && generationIsCurrent() &&
         push.Page.At == Cache.position() && push.Digest == Cache.digest();
}

void RegistryWatcher::applyPull(const ItemPage &page, bool whole, Time now,
                                std::vector<token::Event> &out) {
  ++Stats.Pulls;
  Stats.WholePulls += whole ? 1 : 0;
  std::optional<PendingPull> pull = std::exchange(Pull, std::nullopt);
  // A list that has begun meanwhile goes on.
  if (!Complete && !firstListIsPending())
    return;
  if (whole) {
    Unconfirmed = false;
    replaceCache(page, now, out);
  } else {
    appendEvents(Cache.apply(page, Faults), out);
  }
  if (!Complete)
    beginWatching(now, out);
  bool holdsAll = pull && Cache.position() >= pull->To &&
                  Cache.position().Generation == pull->To.Generation &&
                  !Unconfirmed;
  if (holdsAll)
    markCurrent(pull->AsOf, out);
}

void RegistryWatcher::applySeed(const ItemPage &page,
                                std::vector<token::Event> &out) {
  if (Complete || page.At <= Cache.position())
    return;
  appendEvents(Cache.replaceAll(page, Faults), out);
  if (!std::exchange(Seeded, true))
    out.emplace_back(token::BackendsComplete{});
}

UpdatePush RegistryWatcher::makePush(InstanceId self, Position since,
                                     Time now) const {
  UpdatePush out{.Sender = self,
                 .Age = std::min(now - CurrentAt, OldestAge),
                 .Base = since,
                 .Digest = Cache.digest()};
  if (auto page = Cache.changesSince(since))
    out.Page = std::move(*page);
  else
    out.Complete = false;
  out.Page.At = Cache.position();
  return out;
}

} // namespace chicory::edge
