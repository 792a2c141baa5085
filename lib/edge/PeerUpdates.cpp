// The part of `RegistryWatcher` that exchanges updates with other instances.

#include "chicorybank/edge/RegistryWatcher.h"

#include <algorithm>
#include <utility>

namespace chicory::edge {

namespace {

// The maximum age that a push carries. Updates from peers may be of any age;
// the cap only has to be above every limit on the age.
constexpr Duration MaxPushAge = std::chrono::hours(1);

// If two caches at the same position differ for this many poll intervals, one
// of them has missed a change.
constexpr int MaxDiffersIntervals = 2;

} // namespace

bool RegistryWatcher::applyPush(const UpdatePush &push, bool late, Time now,
                                std::vector<token::Event> &out) {
  ++Stats.Pushes;
  if (!late)
    OthersListUntil = now + Times.OthersListFor;
  if (isListAnnouncement(push))
    return false;
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
    appendEvents(Cache.apply(push.Page, PendingFindings), out);
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

/// Records whether another cache at the same position differs, and lists again
/// if it does for too long. A cache that was listed during changes has some
/// changes beyond its position, and differs until the next push. If that
/// counted as a missed change, each list would cause another one while hundreds
/// of servers register.
void RegistryWatcher::trackDifference(bool differs, Time now) {
  if (!differs) {
    DiffersSince.reset();
    return;
  }
  if (!DiffersSince)
    DiffersSince = now;
  if (now - *DiffersSince < MaxDiffersIntervals * Times.PollInterval ||
      CallInFlight || State != Phase::Watching ||
      now - LastList < Times.RelistMin)
    return;
  DiffersSince.reset();
  startList(std::max(DueAt, now));
}

/// Returns whether both the push and this copy lack changes before the push's
/// position, so that they have to be pulled.
bool RegistryWatcher::mustPull(const UpdatePush &push) const {
  return push.Page.At > Cache.position() &&
         (!push.Complete || push.Base > Cache.position());
}

/// Returns whether a full copy from the sender can replace the first list. When
/// all instances start at once, each list takes megabytes on the registry's
/// link and a call for each page. Without this, that link is saturated for half
/// a minute, and `registry_calls` of each instance has one list for each page.
bool RegistryWatcher::replacesFirstList(const UpdatePush &push) const {
  return firstListIsPending() && push.Age < Times.StaleAfter &&
         push.Page.At.Generation == LatestGeneration;
}

/// Returns whether a push makes a due list unnecessary. The list is due because
/// this copy may have missed a change, but the push is from an instance that
/// has read the registry since and has the same copy, so there was no change.
/// Without this, hundreds of instances list at once when the registry is back
/// after an outage: `registry_calls` has lists of every instance, and the
/// registry's link is saturated.
bool RegistryWatcher::confirmsCache(const UpdatePush &push) const {
  bool due = State == Phase::Listing && Complete && !CallInFlight &&
             ListCursor.empty();
  return due && push.Age < Times.StaleAfter && generationIsCurrent() &&
         push.Page.At == Cache.position() && push.Digest == Cache.digest();
}

void RegistryWatcher::applyPull(const ItemPage &page, bool whole, Time now,
                                std::vector<token::Event> &out) {
  ++Stats.Pulls;
  Stats.WholePulls += whole ? 1 : 0;
  std::optional<PendingPull> pull = std::exchange(Pull, std::nullopt);
  // A list that has started in the meantime continues.
  if (!Complete && !firstListIsPending())
    return;
  if (whole) {
    Unconfirmed = false;
    replaceCache(page, now, out);
  } else {
    appendEvents(Cache.apply(page, PendingFindings), out);
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
  appendEvents(Cache.replaceAll(page, PendingFindings), out);
  if (!std::exchange(Seeded, true))
    out.emplace_back(token::BackendsComplete{});
}

/// Returns whether a push only announces a list. Instances that don't know this
/// ignore it, as they do any push of unknown age without a position.
bool RegistryWatcher::isListAnnouncement(const UpdatePush &push) {
  return push.Page.At == Position{} && push.Page.Items.empty();
}

UpdatePush RegistryWatcher::makeListAnnouncement(InstanceId self) {
  return {.Sender = self, .Age = MaxPushAge};
}

UpdatePush RegistryWatcher::makePush(InstanceId self, Position since,
                                     Time now) const {
  UpdatePush out{.Sender = self,
                 .Age = std::min(now - CurrentAt, MaxPushAge),
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
