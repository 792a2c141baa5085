// Keeps an instance's copy of the registry current.
//
// It reads what a start needs (`StartupReads.h`), then lists everything once;
// after that one instance of the deployment watches
// and pushes what it hears, and the others ask only when their news grows older
// than their patience (`PropagationTree.h`). Each answer shows that the news is
// current as of some moment; silence shows nothing:
//
// - an answer without changes shows that there were none, but only if the
// registry's revision is still the copy's; a later one means that the watch
// has skipped changes, and everything is listed again;
// - the end of a registration is told once, so everything is listed now and
// then all the same, a page between two watches: a large list in one go would
// hold up the news of all instances for seconds;
// - a connection that went silent ends by its time limit;
// - the first list may be old, where a directory was there to start with: it
// costs a tenth, and shows nothing. A current list, or a push with the same
// checksum, has to follow before the news counts as current and is passed
// on. While that list waits for its time, everything is read from the first
// instance that tells of itself, so that few lists serve all that start;
// - the registry may be restored from an older copy (`Position.h`). Its answers
// tell the generation. What they tell in a later one than the copy's is taken
// from a whole list alone, whose pages are all of one generation. A list that
// was asked for after the copy had a later position shows that the copy is
// not of the registry's history, whatever a header or a neighbour said: the
// registry itself decides;
// - two copies at one revision with different checksums, for two paces: one of
// them missed a change, and only the registry can tell which: listed again.

#ifndef CHICORYBANK_EDGE_REGISTRYWATCHER_H
#define CHICORYBANK_EDGE_REGISTRYWATCHER_H

#include "chicorybank/edge/PeerMessages.h"
#include "chicorybank/edge/RegistryCache.h"
#include "chicorybank/edge/StartupReads.h"

#include <map>
#include <optional>
#include <random>

namespace chicory::edge {

/// Times of a news reader.
struct WatcherTimes {
  /// Between two calls of the one that watches, and how long a watch waits: the
  /// age that news reaches. A change and its passing on have to fit several
  /// times into the time in which it must be in force.
  Duration PollInterval = std::chrono::milliseconds(500);
  /// A call without an answer is given up; a registry that is a hundred times
  /// slower than usual answers in 400 ms.
  Duration CallTimeout = std::chrono::milliseconds(1200);
  /// The first calls after the start come in a crowd; one that is lost is
  /// noticed sooner.
  Duration StartupCallTimeout = std::chrono::milliseconds(400);
  /// Back-off after a failure, doubling, with a quarter of jitter.
  Duration RetryMin = std::chrono::milliseconds(50);
  Duration RetryMax = std::chrono::milliseconds(800);
  /// Without news for this long the log says that it is stale; while all is
  /// well no instance waits as long.
  Duration StaleAfter = std::chrono::milliseconds(1500);
  /// Between two lists that doubt caused.
  Duration RelistMin = std::chrono::milliseconds(1000);
  /// The one that watches lists everything this often.
  Duration RelistEvery = std::chrono::seconds(8);
  /// What a restored registry lacks is believed for this long from the first
  /// list on, until whoever wrote it has written it again. Servers write each
  /// second or so.
  Duration RetainRegistrationsFor = std::chrono::seconds(3);
  /// Instances write with their next renewal.
  Duration RetainInstancesFor = std::chrono::seconds(6);
  /// Operators write by then at the latest. Once they have written anything,
  /// the rest follows soon: a drain that they took back across the restore has
  /// nothing that would tell of its end.
  Duration RetainOperatorSettingsFor = std::chrono::seconds(6);
  Duration OperatorSettingsFollowWithin = std::chrono::seconds(2);
};

/// Counters of a news reader.
struct WatcherStats {
  uint64_t Calls = 0;
  uint64_t Lists = 0;
  uint64_t Failures = 0;
  uint64_t Refused = 0;
  uint64_t BadAnswers = 0;
  uint64_t BadItems = 0;
  uint64_t Pushes = 0;
  uint64_t Pulls = 0;
  /// Of those, the ones that read everything.
  uint64_t WholePulls = 0;
  /// Restores of the registry that were noticed.
  uint64_t Generations = 0;
  /// Items that were held after a restore and never written again.
  uint64_t RetainedExpired = 0;
  /// Pushes of another generation than the copy's, which show nothing.
  uint64_t OtherGenerations = 0;
  /// Answers of the registry with a revision below that of the copy.
  uint64_t RevisionsBehind = 0;
};

/// A call to be made, with its time limit.
struct TimedCall {
  RegistryCall Call;
  Duration Timeout;
};

/// The outcome of a call: a status and a body, or no answer.
struct RegistryAnswer {
  /// Zero: no answer came.
  int Status = 0;
  std::string Body;
  /// The registry's generation; nothing where the answer does not tell it.
  std::optional<edge::Generation> Generation;
};

/// The state machine; it does no I/O. One registry call is under way at a time.
class RegistryWatcher {
public:
  /// For an instance in this zone.
  RegistryWatcher(const RegistryDialect &dialect, WatcherTimes times,
                  uint64_t seed, std::string zone);

  /// How old news may grow before this instance asks by itself, and how far it
  /// backs off while the registry fails. Both grow with the place in line.
  void setStalenessLimit(Duration stalenessLimit, Duration retryMax);

  /// The call that is due, if any. It counts as sent.
  std::optional<TimedCall> next(Time now);
  /// When `next` may have something to send.
  Time nextAt() const;
  /// The call's outcome. Appends what was learned. True: news came.
  bool answered(const RegistryAnswer &answer, Time now,
                std::vector<token::Event> &out);

  /// Another instance's push. `late`: it may have waited here for long, so it
  /// does not show that the news is current. Returns true where the changes
  /// have to be read from the sender; what is read is then as current as the
  /// push was.
  bool applyPush(const UpdatePush &push, bool late, Time now,
                 std::vector<token::Event> &out);
  /// What is known may be passed on to other instances.
  bool mayPassOn() const { return !Unconfirmed; }
  /// What was read from another instance.
  void applyPull(const ItemPage &page, bool whole, Time now,
                 std::vector<token::Event> &out);
  /// The changes that a push told of could not be read from its sender, so the
  /// registry is asked for them at once.
  void pullFailed() { AskNow = true; }
  /// An answer to another call than the reader's told this generation.
  void observeGeneration(std::optional<Generation> generation, Time now);
  /// What another instance knows, read while the registry has not answered
  /// since the start. It serves callers, but nobody knows how old it is.
  void applySeed(const ItemPage &page, std::vector<token::Event> &out);
  /// The registry did not answer since the start, and a sender knows more. A
  /// sender with stale news shows that the registry is away as well as a call
  /// that failed, and earlier.
  bool needsSeed(const UpdatePush &push) const {
    bool failing = Stats.Failures != 0 || push.Age > Times.StaleAfter;
    return !Complete && failing && push.Page.At > Cache.position();
  }
  /// A push with the changes behind a revision.
  UpdatePush makePush(InstanceId self, Position since, Time now) const;
  /// The process or its machine stood still: what it believes may be old.
  void revalidate(Time now);

  /// Faults in items, since the last call of this.
  Findings takeFindings() { return std::exchange(Faults, {}); }
  const std::map<InstanceId, PeerRecord> &peers() const { return Peers; }
  /// What is recorded of routes, by part.
  const RouteHistoryParts &routeHistory() const { return Recorded; }
  /// What is known of the directory that the registry holds.
  const DirectorySummary &directorySummary() const { return StoredDirectory; }
  /// What a start needs was read.
  bool started() const { return State != Phase::Starting; }
  /// Everything was read at least once.
  bool complete() const { return Complete; }
  /// Everything is known, from the registry or from another instance.
  bool hasAllItems() const { return Complete || Seeded; }
  /// The news is older than it ever is while the registry answers.
  bool isStale(Time now) const { return now - CurrentAt > Times.StaleAfter; }
  Time currentAt() const { return CurrentAt; }
  const RegistryCache &cache() const { return Cache; }
  /// The latest generation that the registry has told; nothing before its
  /// first answer.
  const std::optional<Generation> &latestGeneration() const {
    return LatestGeneration;
  }
  /// Where the registry stood when it answered last.
  Position registryPosition() const { return RegistryPosition; }
  /// The copy is of the registry's generation. Until then conditions and leases
  /// that were read from it may hold by accident.
  bool generationIsCurrent() const {
    return LatestGeneration == Cache.position().Generation;
  }
  const WatcherStats &stats() const { return Stats; }

private:
  enum class Phase : uint8_t { Starting, Listing, Watching };

  void takeStart(const RegistryAnswer &answer, Time now,
                 std::vector<token::Event> &out);
  void beginFirstList(Time now);
  void beginWatching(Time now, std::vector<token::Event> &out);
  /// What the directory named and the first list lacks.
  void endUnlistedServers(std::vector<token::Event> &out);
  RegistryCall nextCall(Time now);
  /// Takes a page of a list. True: it was the last.
  bool takeList(ItemPage page, Time now, std::vector<token::Event> &out);
  void takeChanges(const ItemPage &page, Time now,
                   std::vector<token::Event> &out);
  void failed(int status, Time now);
  void markCurrent(Time at, std::vector<token::Event> &out);
  void appendEvents(std::vector<Change> changes,
                    std::vector<token::Event> &out);
  void startList(Time at);
  /// The first list is to come, and has not begun.
  bool firstListIsPending() const {
    return !Complete && State == Phase::Listing && !Waiting && After.empty();
  }
  bool replacesFirstList(const UpdatePush &push) const;
  bool mustPull(const UpdatePush &push) const;
  void trackDifference(bool differs, Time now);
  /// The push shows that the list which is due would find nothing.
  bool confirmsCache(const UpdatePush &push) const;
  bool pageIsNext() const {
    return State == Phase::Listing || (Reviewing && !AskNow && PageTurn);
  }
  /// This instance is the one that watches.
  bool watches() const { return StalenessLimit <= Times.PollInterval; }

  void noteGeneration(const RegistryAnswer &answer);
  /// Without a header, the generation that was told last.
  Generation generationOf(const RegistryAnswer &answer) const;
  void notePosition(const ItemPage &page);
  /// The list shows that the copy is of another history than the registry's.
  bool contradicts(const ItemPage &list) const;
  void rebase(ItemPage &list);
  /// Takes everything as of a position, and notices a restore.
  void replaceCache(const ItemPage &page, Time now,
                    std::vector<token::Event> &out);
  /// Ends what is held and was not written again, as of some time.
  void expireRetained(Time at, std::vector<token::Event> &out);

  WatcherTimes Times;
  const RegistryDialect &Dialect;
  std::mt19937_64 Random;
  RegistryCache Cache;
  Phase State = Phase::Starting;
  StartupReads Start;
  /// Of the list that comes next, or is under way.
  Freshness ListFreshness = Freshness::Current;
  bool Waiting = false;
  bool Complete = false;
  /// Everything is known, though not from the registry.
  bool Seeded = false;
  /// Everything is being listed beside the watch, and whether a page of that
  /// comes before the next watch.
  bool Reviewing = false;
  bool PageTurn = false;
  /// What was asked last.
  bool AskedForPage = false;
  Duration StalenessLimit;
  Duration RetryMax;
  Duration Retry;
  /// There are changes that nobody else could give.
  bool AskNow = false;
  /// Not before; set by back-off.
  Time DueAt;
  Time SentAt;
  Time WatchedAt;
  Time LastList;
  /// As of when the copy is known to be current.
  Time CurrentAt = Time{} - std::chrono::hours(1);
  /// A list in several pages: where it goes on, and what there is so far.
  std::string After;
  ItemPage Pages;
  Time ListStartedAt;
  /// The copy's position then.
  Position CopyAtListStart;
  std::map<InstanceId, PeerRecord> Peers;
  RouteHistoryParts Recorded;
  DirectorySummary StoredDirectory;
  /// The latest generation that the registry has told.
  std::optional<Generation> LatestGeneration;
  /// Answers have a header that tells it.
  bool HasGenerationHeader = false;
  /// The copy is from a read that may be old, even from before a restore, and
  /// nothing current agreed with it yet. A watch behind it could not tell: its
  /// revision may have been given out again.
  bool Unconfirmed = false;
  Position RegistryPosition;
  /// The push whose changes are read from its sender: where they lead at least,
  /// and as of when its sender knew them to be current.
  struct PendingPull {
    Position To;
    Time AsOf;
  };
  std::optional<PendingPull> Pull;
  /// Since when other copies at this one's position have differed from it.
  std::optional<Time> DiffersSince;
  /// When a list last lacked what the copy then held.
  Time HeldSince;
  Time RetainOperatorSettingsUntil;
  /// The operators have written since.
  bool OperatorsHaveWritten = false;
  Findings Faults;
  WatcherStats Stats;
};

} // namespace chicory::edge

#endif
