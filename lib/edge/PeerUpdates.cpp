// What a news reader makes of other instances' pushes and pages.

#include "chicorybank/edge/NewsReader.h"

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

bool NewsReader::takePush(const UpdatePush &push, bool late, Time now,
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

/// Another copy at this position is the same as this one, or differs. One that
/// was listed while things changed holds some changes behind its position, and
/// has caught up by the next push; were that taken for a missed change, lists
/// would lead to further lists while servers register by the hundred.
void NewsReader::compare(bool differs, Time now) {
  if (!differs) {
    DiffersSince.reset();
    return;
  }
  if (!DiffersSince)
    DiffersSince = now;
  if (now - *DiffersSince < DiffersForPaces * Times.Pace || Waiting ||
      State != Phase::Watching || now - LastList < Times.RelistLeast)
    return;
  DiffersSince.reset();
  startList(std::max(DueAt, now));
}

/// The push lacks changes that this copy lacks as well.
bool NewsReader::mustRead(const UpdatePush &push) const {
  return push.Page.At > Copy.position() &&
         (!push.Complete || push.Base > Copy.position());
}

/// Everything can be read from the sender. Where all instances start at once,
/// each list is megabytes on the registry's link and a call for each of its
/// pages; one sees that link full for half a minute, and `registry_calls` with
/// as many lists as there are pages.
bool NewsReader::replacesFirstList(const UpdatePush &push) const {
  return firstListIsAhead() && push.Age < Times.AwayAfter &&
         push.Page.At.Generation == Told;
}

/// A list is due since this copy may have missed a change, and the push is by
/// someone who has asked the registry since and has the same copy: there was
/// none. Otherwise hundreds would list at once when the registry is back from
/// an outage; one sees `registry_calls` with lists of each instance, and the
/// registry's link full.
bool NewsReader::settles(const UpdatePush &push) const {
  bool due = State == Phase::Listing && Complete && !Waiting && After.empty();
  return due && push.Age < Times.AwayAfter && settled() &&
         push.Page.At == Copy.position() && push.Digest == Copy.digest();
}

void NewsReader::takePull(const ItemPage &page, bool whole, Time now,
                          std::vector<token::Event> &out) {
  ++Stats.Pulls;
  Stats.WholePulls += whole ? 1 : 0;
  std::optional<Announced> told = std::exchange(Announcement, std::nullopt);
  // A list that has begun meanwhile goes on.
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

UpdatePush NewsReader::push(InstanceId self, Position since, Time now) const {
  UpdatePush out{.Sender = self,
                 .Age = std::min(now - CurrentAt, OldestAge),
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
