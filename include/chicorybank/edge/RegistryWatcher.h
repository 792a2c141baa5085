// Keeps an instance's cache of the registry current.
//
// It reads what a start needs (`StartupReads.h`), then lists everything once.
// After that one instance of the deployment watches the registry and pushes the
// updates to the others, which call the registry only when their cache exceeds
// its staleness limit (`PropagationTree.h`). Each answer proves that the cache
// is current as of some moment; silence proves nothing:
//
// - An answer without changes proves that there were none only if the
//   registry's revision is still that of the cache. A later revision means that
//   the watch has skipped changes, and everything is listed again.
// - The end of a registration is reported only once, so everything is also
//   listed at regular intervals, a page between two watches: a large list in
//   one go would delay the updates of all instances for seconds.
// - A connection that stops responding ends by its timeout.
// - The first list may be stale if there was a directory to start with: it
//   costs the registry a tenth of a current one and proves nothing. A current
//   list, or a push with the same checksum, has to follow before the cache
//   counts as current and is passed on. While that list waits for its time,
//   everything is read from the first instance that pushes its updates, so that
//   few lists serve all instances that start. If no push has confirmed a stale
//   list within a poll interval, the changes since then are read, so that the
//   drain of a server takes effect in time although nothing is confirmed yet.
// - The registry may be restored from a backup (`Position.h`). Its answers
//   state the generation. Content of a later generation than the cache's is
//   accepted only from a whole list whose pages are all of one generation. If
//   the position of a list is earlier than the cache's when the list was
//   requested, the cache is not of the registry's history, whatever a header or
//   another instance said: the registry itself decides.
// - If two caches at one revision have different checksums for two poll
//   intervals, one of them missed a change. Only the registry can tell which,
//   so everything is listed again.

#ifndef CHICORYBANK_EDGE_REGISTRYWATCHER_H
#define CHICORYBANK_EDGE_REGISTRYWATCHER_H

#include "chicorybank/edge/PeerMessages.h"
#include "chicorybank/edge/RegistryCache.h"
#include "chicorybank/edge/StartupReads.h"

#include <map>
#include <optional>
#include <random>

namespace chicory::edge {

struct WatcherTimes {
  /// The interval between two calls of the instance that watches, and the
  /// longest wait of a watch. Caches become about this old. A change and its
  /// propagation have to fit several times into the time in which the change
  /// must be in force.
  Duration PollInterval = std::chrono::milliseconds(500);
  /// Timeout of a call; a registry that is a hundred times slower than usual
  /// answers in 400 ms.
  Duration CallTimeout = std::chrono::milliseconds(1200);
  /// Timeout of the first calls after a start. Many instances start together,
  /// so calls get lost; a shorter timeout detects that sooner.
  Duration StartupCallTimeout = std::chrono::milliseconds(400);
  /// The first list begins within this time from the registry's first answer,
  /// however many servers the directory names: what was read at the start is
  /// too old afterwards. Half of the time in which changes must be in force;
  /// the list takes the rest. While another instance is known to pass its list
  /// on, the list begins within one and a half times this time.
  Duration FirstListWithin = std::chrono::milliseconds(1500);
  /// How long a message of an instance with a list counts as a sign that it
  /// passes the list on. Longer than two intervals of `AnnounceInterval`.
  Duration OthersListFor = std::chrono::seconds(5);
  /// Back-off after a failure: doubling, with a quarter of jitter.
  Duration RetryMin = std::chrono::milliseconds(50);
  Duration RetryMax = std::chrono::milliseconds(800);
  /// The log reports a cache as stale after this long without proof that it is
  /// current; no instance waits as long while the registry and the other
  /// instances respond.
  Duration StaleAfter = std::chrono::milliseconds(1500);
  /// The minimum time from any list to one that differing checksums cause.
  Duration RelistMin = std::chrono::milliseconds(1000);
  /// The instance that watches lists everything this often.
  Duration RelistEvery = std::chrono::seconds(8);
  /// What a restored registry lacks is retained for this long after the last
  /// restore, or list that added to the retained items, until its writers have
  /// written it again. Servers write about once a second.
  Duration RetainRegistrationsFor = std::chrono::seconds(3);
  /// Instances write with their next renewal.
  Duration RetainInstancesFor = std::chrono::seconds(6);
  /// Operators write by then at the latest.
  Duration RetainOperatorSettingsFor = std::chrono::seconds(6);
  /// Once the operators have written anything, the rest follows within this
  /// time, and retained drains end then. If the operators ended a drain across
  /// the restore, the registry holds no trace of its end.
  Duration OperatorSettingsFollowWithin = std::chrono::seconds(2);
};

struct WatcherStats {
  uint64_t Calls = 0;
  uint64_t Lists = 0;
  uint64_t Failures = 0;
  uint64_t Refused = 0;
  uint64_t BadAnswers = 0;
  uint64_t BadItems = 0;
  uint64_t Pushes = 0;
  uint64_t Pulls = 0;
  /// Pulls that read everything.
  uint64_t WholePulls = 0;
  /// Restores of the registry that were detected.
  uint64_t Restores = 0;
  /// Items that were retained after a restore and never written again.
  uint64_t RetainedExpired = 0;
  /// Pushes of another generation than the cache's, which prove nothing.
  uint64_t OtherGenerations = 0;
  /// Answers of the registry with a revision below that of the cache.
  uint64_t RevisionsBehind = 0;
};

/// A call to make, with its timeout.
struct TimedCall {
  RegistryCall Call;
  Duration Timeout;
};

/// The outcome of a call: a status and a body, or no answer.
struct RegistryAnswer {
  /// Zero if no answer arrived.
  int Status = 0;
  std::string Body;
  /// The registry's generation; nothing if the answer does not state it.
  std::optional<edge::Generation> Generation;
};

/// The state machine; it does no I/O. At most one call is in flight.
class RegistryWatcher {
public:
  RegistryWatcher(const RegistryDialect &dialect, WatcherTimes times,
                  uint64_t seed, std::string zone);

  /// Sets the staleness limit, after which this instance calls the registry by
  /// itself, and the maximum of its back-off. Both grow with the instance's
  /// rank among those that can take over the watch.
  void setStalenessLimit(Duration stalenessLimit, Duration retryMax);

  /// Returns the call that is due, if any. It counts as sent.
  std::optional<TimedCall> next(Time now);
  /// Returns when `next` may have a call.
  Time nextAt() const;
  /// Takes the outcome of the call and appends what it reports. Returns true if
  /// it proves that the cache is current.
  bool answered(const RegistryAnswer &answer, Time now,
                std::vector<token::Event> &out);

  /// Takes another instance's push. If `late`, it may have waited here for
  /// long, so it does not prove that the cache is current. Returns true if the
  /// changes have to be read from the sender; what is read is then as current
  /// as the push was.
  bool applyPush(const UpdatePush &push, bool late, Time now,
                 std::vector<token::Event> &out);
  /// False while the cache is from a read that may be stale and nothing current
  /// has confirmed it.
  bool mayPassOn() const { return !Unconfirmed; }
  /// Takes what was read from another instance.
  void applyPull(const ItemPage &page, bool whole, Time now,
                 std::vector<token::Event> &out);
  /// The changes that a push announced could not be read from its sender, so
  /// the registry is called at once.
  void pullFailed() {
    CallNow = true;
    OthersListUntil = {};
  }
  /// Returns true if this instance has the first list from the registry, and
  /// others may wait for it to be passed on. They have to be told
  /// (`makeListAnnouncement`), or they list too.
  bool hasListForOthers() const {
    return ListedFirst && mayPassOn() &&
           Start.listDelayMax() > Times.FirstListWithin;
  }
  /// Reads the changes since a list that may be stale from the registry without
  /// a further wait, as no other instance has them. Returns false if there is
  /// no such list, or if that call has failed.
  bool requestCatchUp() {
    CallNow = CallNow || (catchUpIsNext() && !CallInFlight);
    return catchUpIsNext();
  }
  /// Takes the generation in the answer to a call that the watcher did not
  /// make.
  void observeGeneration(std::optional<Generation> generation, Time now);
  /// Takes the cache of another instance while the registry has not answered
  /// since the start. It serves callers, but its age is unknown.
  void applySeed(const ItemPage &page, std::vector<token::Event> &out);
  /// Returns true if the registry has not answered since the start and the
  /// sender has later items. A sender with a stale cache proves an outage of
  /// the registry as well as a failed call does, and earlier.
  bool needsSeed(const UpdatePush &push) const {
    bool failing = Stats.Failures != 0 || push.Age > Times.StaleAfter;
    return !Complete && failing && push.Page.At > Cache.position();
  }
  /// Builds a push with the changes after a position.
  UpdatePush makePush(InstanceId self, Position since, Time now) const;
  /// Builds the message that tells instances without a list that this one has
  /// it.
  static UpdatePush makeListAnnouncement(InstanceId self);
  /// Lists everything after the process or its machine was suspended, since the
  /// cache may be stale.
  void revalidate(Time now);

  /// Returns the errors in items since the last call.
  Findings takeFindings() { return std::exchange(PendingFindings, {}); }
  const std::map<InstanceId, PeerRecord> &peers() const { return Peers; }
  /// Returns the history of route targets, by part.
  const RouteHistoryParts &routeHistory() const { return StoredRouteHistory; }
  /// Returns the summary of the directory that the registry holds.
  const DirectorySummary &directorySummary() const { return StoredDirectory; }
  /// Everything that a start needs was read.
  bool started() const { return State != Phase::Starting; }
  /// Everything was read at least once.
  bool complete() const { return Complete; }
  /// All items are known, from the registry or from another instance.
  bool hasAllItems() const { return Complete || Seeded; }
  /// The cache has not been known to be current for longer than `StaleAfter`.
  bool isStale(Time now) const { return now - CurrentAt > Times.StaleAfter; }
  Time currentAt() const { return CurrentAt; }
  /// The cache has been known to be current at some time since the start.
  bool wasCurrent() const { return CurrentAt != NeverCurrent; }
  const RegistryCache &cache() const { return Cache; }
  /// Returns the latest generation that the registry has reported; nothing
  /// before its first answer.
  const std::optional<Generation> &latestGeneration() const {
    return LatestGeneration;
  }
  /// Returns the registry's position in its last answer.
  Position registryPosition() const { return RegistryPosition; }
  /// The cache is of the registry's generation. Until then conditions and
  /// leases that were read from it may match by accident.
  bool generationIsCurrent() const {
    return LatestGeneration == Cache.position().Generation;
  }
  const WatcherStats &stats() const { return Stats; }

private:
  enum class Phase : uint8_t { Starting, Listing, Watching };
  static constexpr Time NeverCurrent = Time{} - std::chrono::hours(1);

  void handleStartAnswer(const RegistryAnswer &answer, Time now,
                         std::vector<token::Event> &out);
  void beginFirstList(Time now);
  void beginWatching(Time now, std::vector<token::Event> &out);
  /// Ends servers that the directory names and the first list lacks.
  void endUnlistedServers(std::vector<token::Event> &out);
  RegistryCall nextCall(Time now);
  /// Takes a page of a list. Returns true after the last page of a current
  /// list.
  bool handleListPage(ItemPage page, Time now, std::vector<token::Event> &out);
  void handleWatchAnswer(const ItemPage &page, Time now,
                         std::vector<token::Event> &out);
  void handleFailure(int status, Time now);
  void markCurrent(Time at, std::vector<token::Event> &out);
  void appendEvents(std::vector<Change> changes,
                    std::vector<token::Event> &out);
  void startList(Time at);
  /// The first list is due later and has not begun.
  bool firstListIsPending() const {
    return !Complete && State == Phase::Listing && !CallInFlight &&
           ListCursor.empty();
  }
  bool replacesFirstList(const UpdatePush &push) const;
  static bool isListAnnouncement(const UpdatePush &push);
  bool mustPull(const UpdatePush &push) const;
  void trackDifference(bool differs, Time now);
  /// The push proves that the list which is due would find nothing.
  bool confirmsCache(const UpdatePush &push) const;
  bool listPageIsNext() const {
    return State == Phase::Listing ||
           (Relisting && !CallNow && PageBeforeWatch);
  }
  /// The next call reads what changed since a list that may be stale. The
  /// instance that watches lists everything instead, without a delay.
  bool catchUpIsNext() const {
    return State == Phase::Watching && Unconfirmed && CatchUpDue && !watches();
  }
  /// This instance is the one that watches.
  bool watches() const { return StalenessLimit <= Times.PollInterval; }

  void recordGeneration(const RegistryAnswer &answer);
  /// Returns the latest generation if the answer has no header.
  Generation generationOf(const RegistryAnswer &answer) const;
  void recordPosition(const ItemPage &page);
  /// The list proves that the cache is of another history than the registry's.
  bool provesOtherHistory(const ItemPage &list) const;
  void adoptRegistryHistory(ItemPage &list);
  /// Takes all items as of a position, and detects a restore.
  void replaceCache(const ItemPage &page, Time now,
                    std::vector<token::Event> &out);
  /// Ends the retained items that had to be written again before `at`.
  void expireRetained(Time at, std::vector<token::Event> &out);

  WatcherTimes Times;
  const RegistryDialect &Dialect;
  std::mt19937_64 Random;
  RegistryCache Cache;
  Phase State = Phase::Starting;
  StartupReads Start;
  /// Of the next list, or of the one in progress.
  Freshness ListFreshness = Freshness::Current;
  bool CallInFlight = false;
  bool Complete = false;
  /// All items are known, though not from the registry.
  bool Seeded = false;
  /// Everything is being listed, a page at a time between watches.
  bool Relisting = false;
  /// While relisting, the next call is for a page, not a watch.
  bool PageBeforeWatch = false;
  /// The last call was for a page of a list.
  bool LastCallWasList = false;
  Duration StalenessLimit;
  Duration RetryMax;
  Duration Retry;
  /// A pull failed: the registry is called without waiting for the staleness
  /// limit.
  bool CallNow = false;
  /// No call is made before this time.
  Time DueAt;
  /// When the registry first answered.
  std::optional<Time> FirstAnswerAt;
  /// The first list is due at `DueAt`, or while another instance is known to
  /// pass its list on, until `OthersListUntil`, at `ListDueAt`.
  Time ListDueAt;
  Time OthersListUntil;
  /// The first list came from the registry, not from another instance.
  bool ListedFirst = false;
  Time SentAt;
  /// When the last call that can prove the cache current was sent: a watch, or
  /// a page of a current list that does not alternate with watches.
  Time LastCurrentCallAt;
  Time LastList;
  /// The cache is known to be current as of this time.
  Time CurrentAt = NeverCurrent;
  /// The key after which a list in several pages continues.
  std::string ListCursor;
  /// The items of that list so far.
  ItemPage ListSoFar;
  Time ListStartedAt;
  /// The cache's position at that time.
  Position CacheAtListStart;
  std::map<InstanceId, PeerRecord> Peers;
  RouteHistoryParts StoredRouteHistory;
  DirectorySummary StoredDirectory;
  /// The latest generation that the registry has reported.
  std::optional<Generation> LatestGeneration;
  /// Answers have a header with the generation.
  bool HasGenerationHeader = false;
  /// The cache is from a read that may be stale, even from before a restore,
  /// and nothing current has confirmed it yet. A watch after its revision would
  /// not detect that, since the revision may have been assigned again.
  bool Unconfirmed = false;
  /// The changes since the list that left the cache unconfirmed have not been
  /// read from the registry.
  bool CatchUpDue = false;
  Position RegistryPosition;
  /// The push whose changes are being read from its sender: the position that
  /// they reach at least, and when the sender's cache was known to be current.
  struct PendingPull {
    Position To;
    Time AsOf;
  };
  std::optional<PendingPull> Pull;
  /// Since when other caches at this one's position have differed from it.
  std::optional<Time> DiffersSince;
  /// When a list last lacked items that the cache then retained, or the last
  /// restore while it retained any.
  Time RetainedSince;
  Time RetainOperatorSettingsUntil;
  /// The operators have written since the last `replaceCache` or
  /// `expireRetained`.
  bool OperatorsHaveWritten = false;
  Findings PendingFindings;
  WatcherStats Stats;
};

} // namespace chicory::edge

#endif
