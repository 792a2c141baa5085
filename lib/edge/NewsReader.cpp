#include "chicorybank/edge/NewsReader.h"

#include "Http.h"

#include <algorithm>
#include <cmath>

namespace chicory::edge {

namespace {

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
                       uint64_t seed, std::string zone)
    : Times(times), Dialect(dialect), Random(seed), Copy(dialect),
      Start(dialect, std::move(zone)), StalenessLimit(times.Pace),
      RetryMost(times.RetryMost), Retry(times.RetryLeast) {}

void NewsReader::setStalenessLimit(Duration stalenessLimit, Duration retryMax) {
  StalenessLimit = stalenessLimit;
  RetryMost = std::max(retryMax, Times.RetryLeast);
}

Time NewsReader::nextAt() const {
  if (Waiting)
    return Time::max();
  if (State == Phase::Starting || AskNow || pageIsNext())
    return DueAt;
  if (watches())
    return std::max(DueAt, WatchedAt + Times.Pace);
  // After a list that may be old, whoever watches is about to tell.
  return std::max(
      {DueAt, CurrentAt + StalenessLimit, LastList + StalenessLimit});
}

std::optional<NewsCall> NewsReader::next(Time now) {
  if (now < nextAt())
    return std::nullopt;
  if (State == Phase::Watching && Unproven)
    startList(now);
  Waiting = true;
  AskedForPage = pageIsNext();
  AskNow = false;
  SentAt = now;
  ++Stats.Calls;
  RegistryCall call = nextCall(now);
  if (call.Kind == CallKind::Watch)
    return NewsCall{.Call = std::move(call),
                    .Timeout = Times.Pace + Times.CallTimeout};
  return NewsCall{.Call = std::move(call),
                  .Timeout = Complete ? Times.CallTimeout
                                      : Times.FirstTimeout + Retry};
}

RegistryCall NewsReader::nextCall(Time now) {
  if (State == Phase::Starting)
    return Start.call();
  // A whole list shows as much as a watch does.
  bool shows = State == Phase::Listing && ListFreshness == Freshness::Current;
  if (!AskedForPage || shows)
    WatchedAt = now;
  if (!AskedForPage)
    return Dialect.watch(Copy.position().Revision, Times.Pace);
  if (After.empty()) {
    ListStartedAt = now;
    CopyAtListStart = Copy.position();
    Pages = {};
  }
  ++Stats.Lists;
  return Dialect.list(After, ListFreshness);
}

bool NewsReader::answered(const NewsAnswer &answer, Time now,
                          std::vector<token::Event> &out) {
  Waiting = false;
  noteGeneration(answer);
  PageTurn = !AskedForPage;
  if (State == Phase::Starting) {
    takeStart(answer, now, out);
    return false;
  }
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
  page->setGeneration(generationOf(answer));
  notePosition(*page);
  Retry = Times.RetryLeast;
  DueAt = now;
  if (AskedForPage)
    return takeList(std::move(*page), now, out);
  takeChanges(*page, now, out);
  return State == Phase::Watching;
}

/// An answer that was under way during a restore, or was read from an old copy,
/// tells an earlier generation. That counts only in a list that shows more.
void NewsReader::noteGeneration(const NewsAnswer &answer) {
  if (answer.Status == 0)
    return;
  HeaderTold = HeaderTold || answer.Generation;
  Generation generation = answer.Generation.value_or(Generation{});
  Told = std::max(Told.value_or(generation), generation);
}

Generation NewsReader::generationOf(const NewsAnswer &answer) const {
  return answer.Generation.value_or(Told.value_or(Generation{}));
}

void NewsReader::notePosition(const ItemPage &page) {
  ToldPosition = page.At;
  if (page.At < Copy.position())
    ++Stats.RevisionsBehind;
}

void NewsReader::heard(std::optional<Generation> generation, Time now) {
  if (!generation || generation <= Told)
    return;
  Told = generation;
  // Whoever watches is told by the next answer and passes it on; a list by
  // everyone at once would be a storm.
  if (State == Phase::Watching && !Waiting)
    startList(now + StalenessLimit);
}

bool NewsReader::contradicts(const ItemPage &list) const {
  return ListFreshness == Freshness::Current && list.At < CopyAtListStart;
}

/// Without a header the first of a new history is a generation of its own, so
/// that neighbours can tell it from the old one.
void NewsReader::rebase(ItemPage &list) {
  ++Stats.Generations;
  if (HeaderTold) {
    Told = list.At.Generation;
    return Copy.forgetPositions();
  }
  Told = Generation{Copy.position().Generation.Value + 1};
  list.setGeneration(*Told);
}

void NewsReader::takeWhole(const ItemPage &page, Time now,
                           std::vector<token::Event> &out) {
  if (Copy.position() != Position{} &&
      Copy.position().Generation < page.At.Generation)
    ++Stats.Generations;
  size_t heldBefore = Copy.heldCount();
  tell(Copy.replaceAll(page, Faults), out);
  if (Copy.heldCount() > heldBefore) {
    HeldSince = now;
    OrdersHeldUntil = now + Times.OrdersHeldFor;
  }
  OrdersTold = false;
  // Without a header the neighbours' word for it is all there is.
  if (!HeaderTold && Told)
    Told = Copy.position().Generation;
}

void NewsReader::endHeld(Time at, std::vector<token::Event> &out) {
  if (std::exchange(OrdersTold, false))
    OrdersHeldUntil = std::min(OrdersHeldUntil, at + Times.OrdersFollowWithin);
  const std::pair<HeldItems, Time> ends[] = {
      {HeldItems::Registrations, HeldSince + Times.RegistrationsHeldFor},
      {HeldItems::Instances, HeldSince + Times.InstancesHeldFor},
      {HeldItems::Orders, OrdersHeldUntil}};
  for (const auto &[kind, until] : ends) {
    if (at < until)
      continue;
    std::vector<Change> ended = Copy.endHeld(kind, Faults);
    Stats.HeldEnded += ended.size();
    tell(std::move(ended), out);
  }
}

void NewsReader::takeStart(const NewsAnswer &answer, Time now,
                           std::vector<token::Event> &out) {
  bool absent = answer.Status == HttpNotFound;
  if (answer.Status != HttpOk && !absent)
    return failed(answer.Status, now);
  Retry = Times.RetryLeast;
  DueAt = now;
  std::vector<Change> changes;
  auto taken = Start.take(absent ? std::string() : answer.Body,
                          generationOf(answer), Copy, Faults, changes);
  if (!taken) {
    // The list says it all once more.
    ++Stats.BadAnswers;
    Faults.add({.File = "registry answer"}, taken.error());
  }
  // What a neighbour told is as good as the directory.
  bool directory = !changes.empty() && changes.front().What.Key.empty();
  if (!Seeded || !directory)
    tell(std::move(changes), out);
  std::uniform_real_distribution<double> share(0, 1);
  DueAt +=
      std::chrono::duration_cast<Duration>(Start.nextSpread() * share(Random));
  if (Start.done())
    beginFirstList(now);
}

void NewsReader::beginFirstList(Time now) {
  State = Phase::Listing;
  Duration spread = Start.listSpread();
  if (spread == Duration::zero())
    return;
  // A few list at once, and the others hear of it from there: so what they
  // read has to prove something.
  std::uniform_real_distribution<double> uniform(0, 1);
  if (uniform(Random) < Start.earlyShare())
    return;
  ListFreshness = Freshness::MayBeOld;
  // In case the others don't hear, one of a thousand begins, and twice as many
  // in each further tenth of the time.
  constexpr double Doublings = 10;
  double wait = std::max(0.0, 1 + std::log2(uniform(Random)) / Doublings);
  DueAt = now + std::chrono::duration_cast<Duration>(spread * wait);
}

void NewsReader::failed(int status, Time now) {
  ++Stats.Failures;
  if (status == HttpTooManyRequests || status == HttpUnavailable)
    ++Stats.Refused;
  std::uniform_real_distribution<double> jitter(0.75, 1.25);
  DueAt = now + std::chrono::duration_cast<Duration>(Retry * jitter(Random));
  Retry = std::min(Retry * 2, RetryMost);
  // A watch that was cut may have missed changes before its history went.
  if (State != Phase::Starting && !AskedForPage && status == 0)
    startList(DueAt);
}

void NewsReader::startList(Time at) {
  State = Phase::Listing;
  ListFreshness = Freshness::Current;
  Reviewing = false;
  After.clear();
  DueAt = at;
}

void NewsReader::showCurrent(Time at, std::vector<token::Event> &out) {
  if (at <= CurrentAt)
    return;
  CurrentAt = at;
  if (Copy.heldCount() != 0)
    endHeld(at, out);
  out.emplace_back(token::FreshnessUpdated{.CurrentAt = at});
}

bool NewsReader::takeList(ItemPage page, Time now,
                          std::vector<token::Event> &out) {
  if (ListFreshness == Freshness::MayBeOld)
    page.yieldToAll();
  // Pages are no snapshot: changes between them are seen by the watch, which
  // starts at the first page's revision.
  if (After.empty())
    Pages.At = page.At;
  if (page.At.Generation != Pages.At.Generation) {
    startList(now);
    return false;
  }
  Pages.Items.insert(Pages.Items.end(), page.Items.begin(), page.Items.end());
  if (page.More && !page.Items.empty()) {
    After = page.Items.back().Key;
    // The first list of a large deployment takes seconds where all instances
    // ask for it at once. What is known already serves callers meanwhile.
    if (!Complete)
      tell(Copy.preview(page, Faults), out);
    return false;
  }
  if (contradicts(Pages))
    rebase(Pages);
  takeWhole(Pages, now, out);
  // An old read from before a restore is no list of this generation.
  if (Pages.At.Generation < Copy.position().Generation) {
    startList(now);
    return false;
  }
  bool current = ListFreshness == Freshness::Current;
  Unproven = !current;
  if (current)
    showCurrent(ListStartedAt, out);
  beginWatching(now, out);
  return current;
}

/// Everything is known, from a list or, the first time, from another instance.
void NewsReader::beginWatching(Time now, std::vector<token::Event> &out) {
  if (!Complete)
    tellUnlisted(out);
  if (!Complete && !Seeded)
    out.emplace_back(token::BackendsComplete{});
  Complete = true;
  ListFreshness = Freshness::Current;
  LastList = now;
  Pages = {};
  After.clear();
  Reviewing = false;
  State = Phase::Watching;
}

/// The directory may name servers that had ended before the list; no item of
/// the copy stands for them, so no change will tell of their end. Where the
/// list is the older of the two, the next changes name them again, long before
/// a missing server is taken for gone.
void NewsReader::tellUnlisted(std::vector<token::Event> &out) {
  std::set<token::BackendId> unlisted = Start.named();
  for (const token::Registration &it : Copy.registrations())
    unlisted.erase(it.Id);
  if (!unlisted.empty())
    out.emplace_back(
        token::BackendsLearned{.Present = {},
                               .Ended = {unlisted.begin(), unlisted.end()},
                               .Unreadable = {}});
}

void NewsReader::takeChanges(const ItemPage &page, Time now,
                             std::vector<token::Event> &out) {
  bool silent = page.Items.empty();
  bool skipped = silent && page.At > Copy.position();
  bool restored = page.At.Generation != Copy.position().Generation;
  tell(Copy.apply(page, Faults), out);
  if (skipped || restored) {
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
  if (!Waiting && State != Phase::Starting)
    startList(now);
}

void NewsReader::tell(std::vector<Change> changes,
                      std::vector<token::Event> &out) {
  token::BackendsLearned servers;
  for (Change &it : changes) {
    OrdersTold = OrdersTold ||
                 std::holds_alternative<token::RouteSet>(it.Meaning) ||
                 std::holds_alternative<ZoneDrain>(it.Meaning);
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
    } else if (auto *record = std::get_if<RouteHistoryPart>(&it.Meaning)) {
      out.emplace_back(token::PastRoutesLearned{record->Pairs});
      Recorded[record->Part] = std::move(*record);
    } else if (auto *note = std::get_if<DirectoryNote>(&it.Meaning)) {
      StoredDirectory = *note;
    } else if (auto *drain = std::get_if<ZoneDrain>(&it.Meaning)) {
      out.emplace_back(token::ZoneDrainLearned{.Zone = std::move(drain->Zone),
                                               .Active = drain->Active});
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
