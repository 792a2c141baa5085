#include "chicorybank/edge/RegistryWatcher.h"

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

RegistryWatcher::RegistryWatcher(const RegistryDialect &dialect,
                                 WatcherTimes times, uint64_t seed,
                                 std::string zone)
    : Times(times), Dialect(dialect), Random(seed), Cache(dialect),
      Start(dialect, std::move(zone)), StalenessLimit(times.PollInterval),
      RetryMax(times.RetryMax), Retry(times.RetryMin) {}

void RegistryWatcher::setStalenessLimit(Duration stalenessLimit,
                                        Duration retryMax) {
  StalenessLimit = stalenessLimit;
  RetryMax = std::max(retryMax, Times.RetryMin);
}

Time RegistryWatcher::nextAt() const {
  if (Waiting)
    return Time::max();
  if (State == Phase::Starting || AskNow || pageIsNext())
    return DueAt;
  if (watches())
    return std::max(DueAt, WatchedAt + Times.PollInterval);
  // After a list that may be old, whoever watches is about to tell.
  return std::max(
      {DueAt, CurrentAt + StalenessLimit, LastList + StalenessLimit});
}

std::optional<TimedCall> RegistryWatcher::next(Time now) {
  if (now < nextAt())
    return std::nullopt;
  if (State == Phase::Watching && Unconfirmed)
    startList(now);
  Waiting = true;
  AskedForPage = pageIsNext();
  AskNow = false;
  SentAt = now;
  ++Stats.Calls;
  RegistryCall call = nextCall(now);
  if (call.Kind == CallKind::Watch)
    return TimedCall{.Call = std::move(call),
                     .Timeout = Times.PollInterval + Times.CallTimeout};
  return TimedCall{.Call = std::move(call),
                   .Timeout = Complete ? Times.CallTimeout
                                       : Times.StartupCallTimeout + Retry};
}

RegistryCall RegistryWatcher::nextCall(Time now) {
  if (State == Phase::Starting)
    return Start.call();
  // A whole list shows as much as a watch does.
  bool shows = State == Phase::Listing && ListFreshness == Freshness::Current;
  if (!AskedForPage || shows)
    WatchedAt = now;
  if (!AskedForPage)
    return Dialect.watch(Cache.position().Revision, Times.PollInterval);
  if (After.empty()) {
    ListStartedAt = now;
    CopyAtListStart = Cache.position();
    Pages = {};
  }
  ++Stats.Lists;
  return Dialect.list(After, ListFreshness);
}

bool RegistryWatcher::answered(const RegistryAnswer &answer, Time now,
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
  tl::expected<ItemPage, std::string> page = Dialect.parsePage(answer.Body);
  if (!page) {
    ++Stats.BadAnswers;
    Faults.add({.File = "registry answer"}, page.error());
    failed(answer.Status, now);
    return false;
  }
  page->setGeneration(generationOf(answer));
  notePosition(*page);
  Retry = Times.RetryMin;
  DueAt = now;
  if (AskedForPage)
    return takeList(std::move(*page), now, out);
  takeChanges(*page, now, out);
  return State == Phase::Watching;
}

/// An answer that was under way during a restore, or was read from an old copy,
/// tells an earlier generation. That counts only in a list that shows more.
void RegistryWatcher::noteGeneration(const RegistryAnswer &answer) {
  if (answer.Status == 0)
    return;
  HasGenerationHeader = HasGenerationHeader || answer.Generation;
  Generation generation = answer.Generation.value_or(Generation{});
  LatestGeneration =
      std::max(LatestGeneration.value_or(generation), generation);
}

Generation RegistryWatcher::generationOf(const RegistryAnswer &answer) const {
  return answer.Generation.value_or(LatestGeneration.value_or(Generation{}));
}

void RegistryWatcher::notePosition(const ItemPage &page) {
  RegistryPosition = page.At;
  if (page.At < Cache.position())
    ++Stats.RevisionsBehind;
}

void RegistryWatcher::observeGeneration(std::optional<Generation> generation,
                                        Time now) {
  if (!generation || generation <= LatestGeneration)
    return;
  LatestGeneration = generation;
  // Whoever watches is told by the next answer and passes it on; a list by
  // everyone at once would be a storm.
  if (State == Phase::Watching && !Waiting)
    startList(now + StalenessLimit);
}

bool RegistryWatcher::contradicts(const ItemPage &list) const {
  return ListFreshness == Freshness::Current && list.At < CopyAtListStart;
}

/// Without a header the first of a new history is a generation of its own, so
/// that neighbours can tell it from the old one.
void RegistryWatcher::rebase(ItemPage &list) {
  ++Stats.Generations;
  if (HasGenerationHeader) {
    LatestGeneration = list.At.Generation;
    return Cache.forgetPositions();
  }
  LatestGeneration = Generation{Cache.position().Generation.Value + 1};
  list.setGeneration(*LatestGeneration);
}

void RegistryWatcher::replaceCache(const ItemPage &page, Time now,
                                   std::vector<token::Event> &out) {
  if (Cache.position() != Position{} &&
      Cache.position().Generation < page.At.Generation)
    ++Stats.Generations;
  size_t heldBefore = Cache.retainedCount();
  appendEvents(Cache.replaceAll(page, Faults), out);
  if (Cache.retainedCount() > heldBefore) {
    HeldSince = now;
    RetainOperatorSettingsUntil = now + Times.RetainOperatorSettingsFor;
  }
  OperatorsHaveWritten = false;
  // Without a header the neighbours' word for it is all there is.
  if (!HasGenerationHeader && LatestGeneration)
    LatestGeneration = Cache.position().Generation;
}

void RegistryWatcher::expireRetained(Time at, std::vector<token::Event> &out) {
  if (std::exchange(OperatorsHaveWritten, false))
    RetainOperatorSettingsUntil = std::min(
        RetainOperatorSettingsUntil, at + Times.OperatorSettingsFollowWithin);
  const std::pair<RetainedItems, Time> ends[] = {
      {RetainedItems::Registrations, HeldSince + Times.RetainRegistrationsFor},
      {RetainedItems::Instances, HeldSince + Times.RetainInstancesFor},
      {RetainedItems::OperatorSettings, RetainOperatorSettingsUntil}};
  for (const auto &[kind, until] : ends) {
    if (at < until)
      continue;
    std::vector<Change> ended = Cache.expireRetained(kind, Faults);
    Stats.RetainedExpired += ended.size();
    appendEvents(std::move(ended), out);
  }
}

void RegistryWatcher::takeStart(const RegistryAnswer &answer, Time now,
                                std::vector<token::Event> &out) {
  bool absent = answer.Status == HttpNotFound;
  if (answer.Status != HttpOk && !absent)
    return failed(answer.Status, now);
  Retry = Times.RetryMin;
  DueAt = now;
  std::vector<Change> changes;
  auto taken = Start.handleAnswer(absent ? std::string() : answer.Body,
                                  generationOf(answer), Cache, Faults, changes);
  if (!taken) {
    // The list says it all once more.
    ++Stats.BadAnswers;
    Faults.add({.File = "registry answer"}, taken.error());
  }
  // What a neighbour told is as good as the directory.
  bool directory = !changes.empty() && changes.front().Source.Key.empty();
  if (!Seeded || !directory)
    appendEvents(std::move(changes), out);
  std::uniform_real_distribution<double> share(0, 1);
  DueAt += std::chrono::duration_cast<Duration>(Start.callDelayMax() *
                                                share(Random));
  if (Start.done())
    beginFirstList(now);
}

void RegistryWatcher::beginFirstList(Time now) {
  State = Phase::Listing;
  Duration spread = Start.listDelayMax();
  if (spread == Duration::zero())
    return;
  // A few list at once, and the others hear of it from there: so what they
  // read has to prove something.
  std::uniform_real_distribution<double> uniform(0, 1);
  if (uniform(Random) < Start.earlyListShare())
    return;
  ListFreshness = Freshness::MayBeStale;
  // In case the others don't hear, one of a thousand begins, and twice as many
  // in each further tenth of the time.
  constexpr double Doublings = 10;
  double wait = std::max(0.0, 1 + std::log2(uniform(Random)) / Doublings);
  DueAt = now + std::chrono::duration_cast<Duration>(spread * wait);
}

void RegistryWatcher::failed(int status, Time now) {
  ++Stats.Failures;
  if (status == HttpTooManyRequests || status == HttpUnavailable)
    ++Stats.Refused;
  std::uniform_real_distribution<double> jitter(0.75, 1.25);
  DueAt = now + std::chrono::duration_cast<Duration>(Retry * jitter(Random));
  Retry = std::min(Retry * 2, RetryMax);
  // A watch that was cut may have missed changes before its history went.
  if (State != Phase::Starting && !AskedForPage && status == 0)
    startList(DueAt);
}

void RegistryWatcher::startList(Time at) {
  State = Phase::Listing;
  ListFreshness = Freshness::Current;
  Reviewing = false;
  After.clear();
  DueAt = at;
}

void RegistryWatcher::markCurrent(Time at, std::vector<token::Event> &out) {
  if (at <= CurrentAt)
    return;
  CurrentAt = at;
  if (Cache.retainedCount() != 0)
    expireRetained(at, out);
  out.emplace_back(token::FreshnessUpdated{.CurrentAt = at});
}

bool RegistryWatcher::takeList(ItemPage page, Time now,
                               std::vector<token::Event> &out) {
  if (ListFreshness == Freshness::MayBeStale)
    page.markMayBeStale();
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
      appendEvents(Cache.applyPartial(page, Faults), out);
    return false;
  }
  if (contradicts(Pages))
    rebase(Pages);
  replaceCache(Pages, now, out);
  // An old read from before a restore is no list of this generation.
  if (Pages.At.Generation < Cache.position().Generation) {
    startList(now);
    return false;
  }
  bool current = ListFreshness == Freshness::Current;
  Unconfirmed = !current;
  if (current)
    markCurrent(ListStartedAt, out);
  beginWatching(now, out);
  return current;
}

/// Everything is known, from a list or, the first time, from another instance.
void RegistryWatcher::beginWatching(Time now, std::vector<token::Event> &out) {
  if (!Complete)
    endUnlistedServers(out);
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
void RegistryWatcher::endUnlistedServers(std::vector<token::Event> &out) {
  std::set<token::BackendId> unlisted = Start.directoryServers();
  for (const token::Registration &it : Cache.registrations())
    unlisted.erase(it.Id);
  if (!unlisted.empty())
    out.emplace_back(
        token::BackendsLearned{.Present = {},
                               .Ended = {unlisted.begin(), unlisted.end()},
                               .Unreadable = {}});
}

void RegistryWatcher::takeChanges(const ItemPage &page, Time now,
                                  std::vector<token::Event> &out) {
  bool silent = page.Items.empty();
  bool skipped = silent && page.At > Cache.position();
  bool restored = page.At.Generation != Cache.position().Generation;
  appendEvents(Cache.apply(page, Faults), out);
  if (skipped || restored) {
    startList(now);
    return;
  }
  // The registry answers without changes when the wait is over, not before;
  // with changes it may have answered at once.
  markCurrent(silent ? std::min(SentAt + Times.PollInterval, now) : SentAt,
              out);
  bool review = watches() && (Reviewing || now - LastList >= Times.RelistEvery);
  if (!review || !Reviewing)
    After.clear();
  Reviewing = review;
}

void RegistryWatcher::revalidate(Time now) {
  if (!Waiting && State != Phase::Starting)
    startList(now);
}

void RegistryWatcher::appendEvents(std::vector<Change> changes,
                                   std::vector<token::Event> &out) {
  token::BackendsLearned servers;
  for (Change &it : changes) {
    OperatorsHaveWritten =
        OperatorsHaveWritten ||
        std::holds_alternative<token::RouteSet>(it.Content) ||
        std::holds_alternative<ZoneDrain>(it.Content);
    if (auto *routes = std::get_if<token::RouteSet>(&it.Content)) {
      out.emplace_back(token::RoutesLearned{std::move(*routes)});
    } else if (auto *server = std::get_if<token::Registration>(&it.Content)) {
      // The last item about a server counts: one that lapsed may be back.
      std::erase(servers.Ended, server->Id);
      std::erase(servers.Unreadable, server->Id);
      servers.Present.push_back(std::move(*server));
    } else if (auto *ended = std::get_if<RegistrationEnded>(&it.Content)) {
      forget(servers, ended->Id);
      servers.Ended.push_back(ended->Id);
    } else if (auto *bad = std::get_if<RegistrationUnreadable>(&it.Content)) {
      forget(servers, bad->Id);
      servers.Unreadable.push_back(bad->Id);
    } else if (auto *record = std::get_if<RouteHistoryPart>(&it.Content)) {
      out.emplace_back(token::PastRoutesLearned{record->Pairs});
      Recorded[record->Part] = std::move(*record);
    } else if (auto *note = std::get_if<DirectorySummary>(&it.Content)) {
      StoredDirectory = *note;
    } else if (auto *drain = std::get_if<ZoneDrain>(&it.Content)) {
      out.emplace_back(token::ZoneDrainLearned{.Zone = std::move(drain->Zone),
                                               .Active = drain->Active});
    } else if (auto *peer = std::get_if<PeerRecord>(&it.Content)) {
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
