#include "chicorybank/edge/RegistryWatcher.h"

#include "Http.h"

#include <algorithm>
#include <cmath>

namespace chicory::edge {

namespace {

/// Removes a server from the event, so that only its last item counts.
void eraseServer(token::BackendsLearned &servers, token::BackendId id) {
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
  if (CallInFlight)
    return Time::max();
  if (firstListIsPending())
    return std::max(DueAt, std::min(ListDueAt, OthersListUntil));
  if (State == Phase::Starting || CallNow || listPageIsNext())
    return DueAt;
  if (watches())
    return std::max(DueAt, LastCurrentCallAt + Times.PollInterval);
  if (catchUpIsNext())
    return std::max(DueAt, LastList + Times.PollInterval);
  // `LastList`: after a list that may be stale, a push of the instance that
  // watches is about to arrive.
  return std::max(
      {DueAt, CurrentAt + StalenessLimit, LastList + StalenessLimit});
}

std::optional<TimedCall> RegistryWatcher::next(Time now) {
  if (now < nextAt())
    return std::nullopt;
  if (State == Phase::Watching && Unconfirmed && !catchUpIsNext())
    startList(now);
  CallInFlight = true;
  LastCallWasList = listPageIsNext();
  CallNow = false;
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
  // A whole list proves as much as a watch does.
  bool provesCurrent =
      State == Phase::Listing && ListFreshness == Freshness::Current;
  if (!LastCallWasList || provesCurrent)
    LastCurrentCallAt = now;
  if (!LastCallWasList)
    return Dialect.watch(Cache.position().Revision, Times.PollInterval);
  if (ListCursor.empty()) {
    ListStartedAt = now;
    CacheAtListStart = Cache.position();
    ListSoFar = {};
  }
  ++Stats.Lists;
  return Dialect.list(ListCursor, ListFreshness);
}

bool RegistryWatcher::answered(const RegistryAnswer &answer, Time now,
                               std::vector<token::Event> &out) {
  CallInFlight = false;
  recordGeneration(answer);
  PageBeforeWatch = !LastCallWasList;
  if (State == Phase::Starting) {
    handleStartAnswer(answer, now, out);
    return false;
  }
  if (answer.Status == HttpGone) {
    // The history after the cache's revision has been dropped.
    startList(now);
    return false;
  }
  if (answer.Status != HttpOk) {
    handleFailure(answer.Status, now);
    return false;
  }
  tl::expected<ItemPage, std::string> page = Dialect.parsePage(answer.Body);
  if (!page) {
    ++Stats.BadAnswers;
    PendingFindings.add({.File = "registry answer"}, page.error());
    handleFailure(answer.Status, now);
    return false;
  }
  page->setGeneration(generationOf(answer));
  recordPosition(*page);
  Retry = Times.RetryMin;
  DueAt = now;
  if (LastCallWasList)
    return handleListPage(std::move(*page), now, out);
  handleWatchAnswer(*page, now, out);
  return State == Phase::Watching && !Unconfirmed;
}

/// An answer that was in flight during a restore, or that was read from a stale
/// replica, states an earlier generation. That counts only if a list proves it.
void RegistryWatcher::recordGeneration(const RegistryAnswer &answer) {
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

void RegistryWatcher::recordPosition(const ItemPage &page) {
  RegistryPosition = page.At;
  if (page.At < Cache.position())
    ++Stats.RevisionsBehind;
}

void RegistryWatcher::observeGeneration(std::optional<Generation> generation,
                                        Time now) {
  if (!generation || generation <= LatestGeneration)
    return;
  LatestGeneration = generation;
  // The instance that watches learns of it from its next answer and passes it
  // on; a list by every instance at once would overload the registry.
  if (State == Phase::Watching && !CallInFlight)
    startList(now + StalenessLimit);
}

bool RegistryWatcher::provesOtherHistory(const ItemPage &list) const {
  return ListFreshness == Freshness::Current && list.At < CacheAtListStart;
}

/// Without a header the first list of a new history gets a generation of its
/// own, so that other instances can distinguish the two histories.
void RegistryWatcher::adoptRegistryHistory(ItemPage &list) {
  ++Stats.Restores;
  if (HasGenerationHeader) {
    LatestGeneration = list.At.Generation;
    return Cache.forgetPositions();
  }
  LatestGeneration = Generation{Cache.position().Generation.Value + 1};
  list.setGeneration(*LatestGeneration);
}

void RegistryWatcher::replaceCache(const ItemPage &page, Time now,
                                   std::vector<token::Event> &out) {
  bool restored = Cache.position() != Position{} &&
                  Cache.position().Generation < page.At.Generation;
  Stats.Restores += restored ? 1 : 0;
  size_t retainedBefore = Cache.retainedCount();
  appendEvents(Cache.replaceAll(page, PendingFindings), out);
  // A further restore loses what was written again after the one before.
  bool writeAgain = restored && Cache.retainedCount() != 0;
  if (writeAgain || Cache.retainedCount() > retainedBefore) {
    RetainedSince = now;
    RetainOperatorSettingsUntil = now + Times.RetainOperatorSettingsFor;
  }
  OperatorsHaveWritten = false;
  // Without a header, only other instances' pages state the generation.
  if (!HasGenerationHeader && LatestGeneration)
    LatestGeneration = Cache.position().Generation;
}

void RegistryWatcher::expireRetained(Time at, std::vector<token::Event> &out) {
  if (std::exchange(OperatorsHaveWritten, false))
    RetainOperatorSettingsUntil = std::min(
        RetainOperatorSettingsUntil, at + Times.OperatorSettingsFollowWithin);
  const std::pair<RetainedItems, Time> ends[] = {
      {RetainedItems::Registrations,
       RetainedSince + Times.RetainRegistrationsFor},
      {RetainedItems::Instances, RetainedSince + Times.RetainInstancesFor},
      {RetainedItems::OperatorSettings, RetainOperatorSettingsUntil}};
  for (const auto &[kind, until] : ends) {
    if (at < until)
      continue;
    std::vector<Change> ended = Cache.expireRetained(kind, PendingFindings);
    Stats.RetainedExpired += ended.size();
    appendEvents(std::move(ended), out);
  }
}

void RegistryWatcher::handleStartAnswer(const RegistryAnswer &answer, Time now,
                                        std::vector<token::Event> &out) {
  bool absent = answer.Status == HttpNotFound;
  if (answer.Status != HttpOk && !absent)
    return handleFailure(answer.Status, now);
  Retry = Times.RetryMin;
  DueAt = now;
  if (!FirstAnswerAt)
    FirstAnswerAt = now;
  std::vector<Change> changes;
  auto result =
      Start.handleAnswer(absent ? std::string() : answer.Body,
                         generationOf(answer), Cache, PendingFindings, changes);
  if (!result) {
    // The list that follows contains everything again.
    ++Stats.BadAnswers;
    PendingFindings.add({.File = "registry answer"}, result.error());
  }
  // Changes of the directory have no key. They are not needed if another
  // instance has provided all items.
  bool directory = !changes.empty() && changes.front().Source.Key.empty();
  if (!Seeded || !directory)
    appendEvents(std::move(changes), out);
  std::uniform_real_distribution<double> share(0, 1);
  Duration delayMax = std::min(Start.callDelayMax(), Times.FirstListWithin / 2);
  DueAt += std::chrono::duration_cast<Duration>(delayMax * share(Random));
  if (Start.done())
    beginFirstList(now);
}

void RegistryWatcher::beginFirstList(Time now) {
  State = Phase::Listing;
  Duration delayMax = Start.listDelayMax();
  if (delayMax == Duration::zero())
    return;
  // A few instances list at once and pass the result on to the others, so their
  // lists have to be current.
  std::uniform_real_distribution<double> uniform(0, 1);
  if (uniform(Random) < Start.earlyListShare())
    return;
  ListFreshness = Freshness::MayBeStale;
  // In case no push arrives, one instance in a thousand lists first, and twice
  // as many in each further tenth of the time.
  constexpr double Doublings = 10;
  double wait = std::max(0.0, 1 + std::log2(uniform(Random)) / Doublings);
  Time latest = std::max(*FirstAnswerAt + Times.FirstListWithin, now);
  DueAt = now + std::chrono::duration_cast<Duration>(
                    std::min(delayMax, latest - now) * wait);
  // An instance with a list may not reach this one, for example if those
  // between them are gone.
  constexpr double PassedOnWithinMin = 1.25;
  constexpr double PassedOnWithinMax = 1.5;
  std::uniform_real_distribution<double> factor(PassedOnWithinMin,
                                                PassedOnWithinMax);
  Time passedOnBy =
      *FirstAnswerAt + std::chrono::duration_cast<Duration>(
                           Times.FirstListWithin * factor(Random));
  ListDueAt =
      std::min(now + std::chrono::duration_cast<Duration>(delayMax * wait),
               std::max(passedOnBy, DueAt));
}

void RegistryWatcher::handleFailure(int status, Time now) {
  ++Stats.Failures;
  CatchUpDue = false;
  if (status == HttpTooManyRequests || status == HttpUnavailable)
    ++Stats.Refused;
  std::uniform_real_distribution<double> jitter(0.75, 1.25);
  DueAt = now + std::chrono::duration_cast<Duration>(Retry * jitter(Random));
  Retry = std::min(Retry * 2, RetryMax);
  // A watch that failed may have missed changes that the registry's history no
  // longer holds.
  if (State != Phase::Starting && !LastCallWasList && status == 0)
    startList(DueAt);
}

void RegistryWatcher::startList(Time at) {
  State = Phase::Listing;
  ListFreshness = Freshness::Current;
  Relisting = false;
  ListCursor.clear();
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

bool RegistryWatcher::handleListPage(ItemPage page, Time now,
                                     std::vector<token::Event> &out) {
  if (ListFreshness == Freshness::MayBeStale)
    page.markMayBeStale();
  // Pages are not a snapshot: the watch, which starts at the first page's
  // revision, reports changes between them.
  if (ListCursor.empty())
    ListSoFar.At = page.At;
  if (page.At.Generation != ListSoFar.At.Generation) {
    startList(now);
    return false;
  }
  // A later page of a stale list may be older than the first one. The list
  // proves an end only as of its oldest page.
  ListSoFar.At = std::min(ListSoFar.At, page.At);
  ListSoFar.Items.insert(ListSoFar.Items.end(), page.Items.begin(),
                         page.Items.end());
  if (page.More && !page.Items.empty()) {
    ListCursor = page.Items.back().Key;
    // The first list of a large deployment takes seconds if all instances
    // request it at once. What is known already serves callers meanwhile.
    if (!Complete)
      appendEvents(Cache.applyPartial(page, PendingFindings), out);
    return false;
  }
  if (provesOtherHistory(ListSoFar))
    adoptRegistryHistory(ListSoFar);
  replaceCache(ListSoFar, now, out);
  // A stale read from before a restore is no list of this generation.
  if (ListSoFar.At.Generation < Cache.position().Generation) {
    startList(now);
    return false;
  }
  bool current = ListFreshness == Freshness::Current;
  Unconfirmed = !current;
  CatchUpDue = !current;
  ListedFirst = ListedFirst || !Complete;
  if (current)
    markCurrent(ListStartedAt, out);
  beginWatching(now, out);
  return current;
}

/// Changes to watching, once all items are known from a list or, the first
/// time, from another instance.
void RegistryWatcher::beginWatching(Time now, std::vector<token::Event> &out) {
  if (!Complete)
    endUnlistedServers(out);
  if (!Complete && !Seeded)
    out.emplace_back(token::BackendsComplete{});
  Complete = true;
  ListFreshness = Freshness::Current;
  LastList = now;
  ListSoFar = {};
  ListCursor.clear();
  Relisting = false;
  State = Phase::Watching;
}

/// The directory may name servers that ended before the list. No cached item
/// stands for them, so no change will report their end. If the list is the
/// older of the two, the next changes name them again, long before a missing
/// server is treated as gone.
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

void RegistryWatcher::handleWatchAnswer(const ItemPage &page, Time now,
                                        std::vector<token::Event> &out) {
  bool unchanged = page.Items.empty();
  bool skipped = unchanged && page.At > Cache.position();
  bool restored = page.At.Generation != Cache.position().Generation;
  appendEvents(Cache.apply(page, PendingFindings), out);
  if (skipped || restored) {
    startList(now);
    return;
  }
  if (Unconfirmed) {
    CatchUpDue = false;
    return;
  }
  // The registry answers without changes only when the wait is over; with
  // changes it may have answered at once.
  markCurrent(unchanged ? std::min(SentAt + Times.PollInterval, now) : SentAt,
              out);
  bool relist = watches() && (Relisting || now - LastList >= Times.RelistEvery);
  if (!relist || !Relisting)
    ListCursor.clear();
  Relisting = relist;
}

void RegistryWatcher::revalidate(Time now) {
  if (!CallInFlight && State != Phase::Starting)
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
      // The last item about a server counts: a registration that lapsed may be
      // back.
      std::erase(servers.Ended, server->Id);
      std::erase(servers.Unreadable, server->Id);
      servers.Present.push_back(std::move(*server));
    } else if (auto *ended = std::get_if<RegistrationEnded>(&it.Content)) {
      eraseServer(servers, ended->Id);
      servers.Ended.push_back(ended->Id);
    } else if (auto *bad = std::get_if<RegistrationUnreadable>(&it.Content)) {
      eraseServer(servers, bad->Id);
      servers.Unreadable.push_back(bad->Id);
    } else if (auto *part = std::get_if<RouteHistoryPart>(&it.Content)) {
      out.emplace_back(token::PastRoutesLearned{part->Pairs});
      StoredRouteHistory[part->Part] = std::move(*part);
    } else if (auto *summary = std::get_if<DirectorySummary>(&it.Content)) {
      StoredDirectory = *summary;
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
  Stats.BadItems += PendingFindings.items().size();
  if (!servers.Present.empty() || !servers.Ended.empty() ||
      !servers.Unreadable.empty())
    out.emplace_back(std::move(servers));
}

} // namespace chicory::edge
