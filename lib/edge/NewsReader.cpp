#include "chicorybank/edge/NewsReader.h"

#include "Http.h"

#include <algorithm>

namespace chicory::edge {

namespace {

// News that an instance has from others may be of any age; it is told as this
// old. All that it has to be is older than any limit.
constexpr Duration OldestAge = std::chrono::hours(1);

/// Takes out what earlier items said of a server.
void forget(token::BackendsLearned &servers, token::BackendId id) {
  std::erase_if(servers.Present, [&](const token::Registration &other) {
    return other.Id == id;
  });
  std::erase(servers.Ended, id);
  std::erase(servers.Unreadable, id);
}

} // namespace

NewsReader::NewsReader(const RegistryDialect &dialect, NewsTimes times,
                       uint64_t seed)
    : Times(times), Dialect(dialect), Random(seed), Copy(dialect),
      Patience(times.Pace), RetryMost(times.RetryMost),
      Retry(times.RetryLeast) {}

void NewsReader::setPatience(Duration patience, Duration retryMost) {
  Patience = patience;
  RetryMost = std::max(retryMost, Times.RetryLeast);
}

Time NewsReader::nextAt() const {
  if (Waiting)
    return Time::max();
  if (AskNow || pageIsNext())
    return DueAt;
  if (watches())
    return std::max(DueAt, WatchedAt + Times.Pace);
  return std::max(DueAt, CurrentAt + Patience);
}

std::optional<NewsCall> NewsReader::next(Time now) {
  if (now < nextAt())
    return std::nullopt;
  Waiting = true;
  AskedForPage = pageIsNext();
  AskNow = false;
  SentAt = now;
  ++Stats.Calls;
  // A whole list shows as much as a watch does.
  if (!AskedForPage || State == Phase::Listing)
    WatchedAt = now;
  if (!AskedForPage)
    return NewsCall{.Call = Dialect.watch(Copy.revision(), Times.Pace),
                    .Timeout = Times.Pace + Times.CallTimeout};
  if (After.empty()) {
    ListStartedAt = now;
    Pages = {};
  }
  ++Stats.Lists;
  return NewsCall{.Call = Dialect.list(After),
                  .Timeout = Complete ? Times.CallTimeout
                                      : Times.FirstTimeout + Retry};
}

bool NewsReader::answered(const NewsAnswer &answer, Time now,
                          std::vector<token::Event> &out) {
  Waiting = false;
  PageTurn = !AskedForPage;
  if (answer.Status == HttpGone) {
    // The history behind our revision is dropped.
    startList(now);
    return false;
  }
  if (answer.Status != HttpOk) {
    failed(answer.Status, now);
    return false;
  }
  tl::expected<ItemPage, std::string> page = Dialect.readPage(answer.Body);
  if (!page) {
    ++Stats.BadAnswers;
    Faults.add({.File = "registry answer"}, page.error());
    failed(answer.Status, now);
    return false;
  }
  Retry = Times.RetryLeast;
  DueAt = now;
  if (AskedForPage)
    return takeList(*page, now, out);
  takeChanges(*page, now, out);
  return State == Phase::Watching;
}

void NewsReader::failed(int status, Time now) {
  ++Stats.Failures;
  if (status == HttpTooMany || status == HttpUnavailable)
    ++Stats.Refused;
  std::uniform_real_distribution<double> jitter(0.75, 1.25);
  DueAt = now + std::chrono::duration_cast<Duration>(Retry * jitter(Random));
  Retry = std::min(Retry * 2, RetryMost);
  // A watch that was cut may have missed changes before its history went.
  if (!AskedForPage && status == 0)
    startList(DueAt);
}

void NewsReader::startList(Time at) {
  State = Phase::Listing;
  Reviewing = false;
  After.clear();
  DueAt = at;
}

void NewsReader::showCurrent(Time at, std::vector<token::Event> &out) {
  if (at <= CurrentAt)
    return;
  CurrentAt = at;
  out.emplace_back(token::NewsChecked{.CurrentAt = at});
}

bool NewsReader::takeList(const ItemPage &page, Time now,
                          std::vector<token::Event> &out) {
  // Pages are no snapshot: changes between them are seen by the watch, which
  // starts at the first page's revision.
  if (After.empty())
    Pages.Revision = page.Revision;
  Pages.Items.insert(Pages.Items.end(), page.Items.begin(), page.Items.end());
  if (page.More && !page.Items.empty()) {
    After = page.Items.back().Key;
    // The first list of a large deployment takes seconds where all instances
    // ask for it at once. What is known already serves callers meanwhile.
    if (!Complete)
      tell(Copy.preview(page, Faults), out);
    return false;
  }
  tell(Copy.replaceAll(Pages, Faults), out);
  showCurrent(ListStartedAt, out);
  if (!Complete && !Seeded)
    out.emplace_back(token::BackendsComplete{});
  Pages = {};
  After.clear();
  Complete = true;
  LastList = now;
  Reviewing = false;
  State = Phase::Watching;
  return true;
}

void NewsReader::takeChanges(const ItemPage &page, Time now,
                             std::vector<token::Event> &out) {
  bool silent = page.Items.empty();
  bool skipped = silent && page.Revision > Copy.revision();
  tell(Copy.apply(page, Faults), out);
  if (skipped) {
    startList(now);
    return;
  }
  // The registry answers without changes when the wait is over, not before;
  // with changes it may have answered at once.
  showCurrent(silent ? std::min(SentAt + Times.Pace, now) : SentAt, out);
  bool review = watches() && (Reviewing || now - LastList >= Times.RelistEvery);
  if (!review || !Reviewing)
    After.clear();
  Reviewing = review;
}

void NewsReader::doubtAll(Time now) {
  if (!Waiting)
    startList(now);
}

bool NewsReader::takePush(const NewsPush &push, bool late, Time now,
                          std::vector<token::Event> &out) {
  ++Stats.Pushes;
  if (!Complete)
    return false;
  bool behind = push.Page.Revision > Copy.revision();
  if (behind && (!push.Complete || push.Base > Copy.revision()))
    return true;
  if (behind)
    tell(Copy.apply(push.Page, Faults), out);
  if (!late)
    showCurrent(now - push.Age, out);
  bool differs =
      push.Page.Revision == Copy.revision() && push.Digest != Copy.digest();
  if (differs && !Waiting && State == Phase::Watching &&
      now - LastList >= Times.RelistLeast)
    startList(std::max(DueAt, now));
  return false;
}

void NewsReader::takePull(const ItemPage &page, bool whole,
                          std::vector<token::Event> &out) {
  ++Stats.Pulls;
  tell(whole ? Copy.replaceAll(page, Faults) : Copy.apply(page, Faults), out);
}

void NewsReader::takeSeed(const ItemPage &page,
                          std::vector<token::Event> &out) {
  if (Complete || page.Revision <= Copy.revision())
    return;
  tell(Copy.replaceAll(page, Faults), out);
  if (!std::exchange(Seeded, true))
    out.emplace_back(token::BackendsComplete{});
}

NewsPush NewsReader::push(InstanceId self, int64_t since, Time now) const {
  NewsPush out{.Sender = self,
               .Age = std::min(now - CurrentAt, OldestAge),
               .Base = since,
               .Digest = Copy.digest()};
  if (auto page = Copy.since(since))
    out.Page = std::move(*page);
  else
    out.Complete = false;
  out.Page.Revision = Copy.revision();
  return out;
}

void NewsReader::tell(std::vector<Change> changes,
                      std::vector<token::Event> &out) {
  token::BackendsLearned servers;
  for (Change &it : changes) {
    if (auto *routes = std::get_if<token::RouteSet>(&it.Meaning)) {
      out.emplace_back(token::RoutesLearned{std::move(*routes)});
    } else if (auto *server = std::get_if<token::Registration>(&it.Meaning)) {
      // The last item about a server counts: one that lapsed may be back.
      std::erase(servers.Ended, server->Id);
      std::erase(servers.Unreadable, server->Id);
      servers.Present.push_back(std::move(*server));
    } else if (auto *ended = std::get_if<RegistrationEnded>(&it.Meaning)) {
      forget(servers, ended->Id);
      servers.Ended.push_back(ended->Id);
    } else if (auto *bad = std::get_if<RegistrationUnreadable>(&it.Meaning)) {
      forget(servers, bad->Id);
      servers.Unreadable.push_back(bad->Id);
    } else if (auto *record = std::get_if<RouteRecord>(&it.Meaning)) {
      out.emplace_back(token::PastRoutesLearned{record->Pairs});
      Recorded[record->Part] = std::move(*record);
    } else if (auto *peer = std::get_if<PeerRecord>(&it.Meaning)) {
      if (peer->Gone)
        Peers.erase(peer->Id);
      else
        Peers[peer->Id] = *peer;
    }
  }
  Stats.BadItems += Faults.items().size();
  if (!servers.Present.empty() || !servers.Ended.empty() ||
      !servers.Unreadable.empty())
    out.emplace_back(std::move(servers));
}

} // namespace chicory::edge
