// How a registry watcher applies the pushes and pages of other instances.

#include "chicorybank/edge/NewsReader.h"

#include <algorithm>
#include <utility>

namespace chicory::edge {

namespace {

// The maximum age that a push carries. Updates from peers may be of any age;
// the cap only has to be above every limit on the age.
constexpr Duration MaxPushAge = std::chrono::hours(1);

// A copy that differs from others' for this many poll intervals has missed a
// change.
constexpr int MaxDiffersIntervals = 2;

} // namespace

bool NewsReader::takePush(const NewsPush &push, bool late, Time now,
                          std::vector<token::Event> &out) {
  ++Stats.Pushes;
  if (!Complete && (late || !replacesFirstList(push)))
    return false;
  if (Complete)
    Copy.adopt(push.Page.At, push.Digest);
  if (!Complete || mustRead(push)) {
    Announcement.reset();
    if (!late)
      Announcement = {.To = push.Page.At, .AsOf = now - push.Age};
    return true;
  }
  bool behind = push.Page.At > Copy.position();
  if (push.Page.At.Generation != Copy.position().Generation) {
    ++Stats.OtherGenerations;
    return behind;
  }
  if (behind)
    tell(Copy.apply(push.Page, Faults), out);
  bool agrees = push.Page.At == Copy.position() && push.Digest == Copy.digest();
  Unproven = Unproven && !agrees;
  if (!late && !Unproven)
    showCurrent(now - push.Age, out);
  if (!late && settles(push))
    State = Phase::Watching;
  if (push.Page.At == Copy.position())
    compare(push.Digest != Copy.digest(), now);
  return false;
}

/// Compares this copy with another one at the same position. A copy that was
/// listed during changes has some changes beyond its position, and differs
/// until the next push. Taking that for a missed change would lead from each
/// list to further lists while hundreds of servers register.
void NewsReader::compare(bool differs, Time now) {
  if (!differs) {
    DiffersSince.reset();
    return;
  }
  if (!DiffersSince)
    DiffersSince = now;
  if (now - *DiffersSince < MaxDiffersIntervals * Times.Pace || Waiting ||
      State != Phase::Watching || now - LastList < Times.RelistLeast)
    return;
  DiffersSince.reset();
  startList(std::max(DueAt, now));
}

/// Returns whether both the push and this copy lack changes before the push's
/// position, so that they have to be read.
bool NewsReader::mustRead(const NewsPush &push) const {
  return push.Page.At > Copy.position() &&
         (!push.Complete || push.Base > Copy.position());
}

/// Returns whether a full copy from the sender can replace the first list. When
/// all instances start at once, each list takes megabytes on the registry's
/// link and a call for each page. Without this, that link is saturated for half
/// a minute, and `registry_calls` has as many lists as there are pages.
bool NewsReader::replacesFirstList(const NewsPush &push) const {
  return firstListIsAhead() && push.Age < Times.AwayAfter &&
         push.Page.At.Generation == Told;
}

/// Returns whether a push makes a due list unnecessary. The list is due because
/// this copy may have missed a change, but the push is from an instance that
/// has read the registry since and has the same copy, so there was no change.
/// Without this, hundreds of instances list at once when the registry is back
/// after an outage: `registry_calls` has lists of every instance, and the
/// registry's link is saturated.
bool NewsReader::settles(const NewsPush &push) const {
  bool due = State == Phase::Listing && Complete && !Waiting && After.empty();
  return due && push.Age < Times.AwayAfter && settled() &&
         push.Page.At == Copy.position() && push.Digest == Copy.digest();
}

void NewsReader::takePull(const ItemPage &page, bool whole, Time now,
                          std::vector<token::Event> &out) {
  ++Stats.Pulls;
  Stats.WholePulls += whole ? 1 : 0;
  std::optional<Announced> told = std::exchange(Announcement, std::nullopt);
  // A list that has started in the meantime continues.
  if (!Complete && !firstListIsAhead())
    return;
  if (whole) {
    Unproven = false;
    takeWhole(page, now, out);
  } else {
    tell(Copy.apply(page, Faults), out);
  }
  if (!Complete)
    beginWatching(now, out);
  bool holdsAll = told && Copy.position() >= told->To &&
                  Copy.position().Generation == told->To.Generation &&
                  !Unproven;
  if (holdsAll)
    showCurrent(told->AsOf, out);
}

void NewsReader::takeSeed(const ItemPage &page,
                          std::vector<token::Event> &out) {
  if (Complete || page.At <= Copy.position())
    return;
  tell(Copy.replaceAll(page, Faults), out);
  if (!std::exchange(Seeded, true))
    out.emplace_back(token::BackendsComplete{});
}

NewsPush NewsReader::push(InstanceId self, Position since, Time now) const {
  NewsPush out{.Sender = self,
               .Age = std::min(now - CurrentAt, MaxPushAge),
               .Base = since,
               .Digest = Copy.digest()};
  if (auto page = Copy.since(since))
    out.Page = std::move(*page);
  else
    out.Complete = false;
  out.Page.At = Copy.position();
  return out;
}

} // namespace chicory::edge
