// What an instance reads when it starts, in the order in which it needs it.
//
// A list of everything comes in the order of keys, a page at a time, with the
// records of all instances first and the servers last. If hundreds of instances
// start at once, they fill the registry's link for half a second with what none
// of them needs yet; the symptom is packets dropped as `not_current` and
// `unknown_token` right after the start. So an instance reads:
//
// - The directory's part for its own zone (`Directory.h`), so that it can
//   assign new flows within the zone. If there is none, as when a deployment
//   starts for the first time, the list follows at once.
// - The present operator settings: the configuration, since an old one must not
//   come into force, and the zones that are drained. From here on the instance
//   forwards packets.
// - The history of route targets, for packets of flows whose route has moved.
// - The directory's other parts, for packets of flows to servers in other
//   zones. Read earlier, they would take the registry's link from instances
//   that have not read the part of their own zone.
//
// The list of everything follows later, by up to `ListDelayPerServer` for each
// server, so that lists leave the registry's link to instances that start. An
// instance that has listed earlier passes the items on to the others; without a
// sign of one, `WatcherTimes::FirstListWithin` limits the delay.

#ifndef CHICORYBANK_EDGE_STARTUPREADS_H
#define CHICORYBANK_EDGE_STARTUPREADS_H

#include "chicorybank/edge/RegistryCache.h"

#include <set>

namespace chicory::edge {

/// The state machine; it does no I/O.
class StartupReads {
public:
  /// The longest delay of the first list, for each server that the directory
  /// names. A list takes a tenth of this time on a link of 20 Mbit/s, at 400
  /// bytes a server, and passing it on in a tree of three levels half of it.
  static constexpr Duration ListDelayPerServer =
      std::chrono::microseconds(1500);
  /// The longest delay of the first list and of the directory's other parts.
  /// With a longer one, an instance that gets no push would learn too late
  /// which servers have ended.
  static constexpr Duration DelayMax = std::chrono::seconds(20);
  /// The longest delay of the directory's other parts, for each pair of an
  /// instance and a server of its own zone. It spreads the reads, so that they
  /// leave a third of the registry's link of 1,000 Mbit/s: 985 instances with
  /// 2,000 servers in each of five zones read 172 MB in two seconds.
  static constexpr std::chrono::nanoseconds OtherPartsDelayPerPair{1000};
  /// The expected number of instances that list without a delay and pass the
  /// list on. One may be cut off or slow, and each zone should have one.
  static constexpr size_t EarlyLists = 8;

  StartupReads(const RegistryDialect &dialect, std::string zone)
      : Dialect(dialect), Zone(std::move(zone)) {}

  /// All startup reads are done; the first list comes next.
  bool done() const { return State == Step::Done; }
  /// Returns the next call.
  RegistryCall call() const;
  /// Takes the answer to `call`, and the registry's generation that it is of.
  /// An empty body means that there is no such key. Items go to the cache, and
  /// their changes are appended. An error says what can't be parsed.
  tl::expected<void, std::string> handleAnswer(const std::string &body,
                                               Generation generation,
                                               RegistryCache &cache,
                                               Findings &findings,
                                               std::vector<Change> &out);

  /// Returns the maximum delay of the next call.
  Duration callDelayMax() const;

  /// Returns the servers that the directory named. Those that the first list
  /// lacks have to be reported as ended, since no cached item stands for them.
  const std::set<token::BackendId> &directoryServers() const {
    return DirectoryServers;
  }
  /// Returns the maximum delay of the list: zero if there was no directory.
  Duration listDelayMax() const;
  /// Returns the share of the starting instances that list without a delay.
  double earlyListShare() const;

private:
  enum class Step : uint8_t {
    Directory,
    OperatorSettings,
    RouteHistory,
    OtherDirectories,
    Done
  };

  tl::expected<void, std::string>
  handleOperatorSettings(const std::string &body, Generation generation,
                         RegistryCache &cache, Findings &findings,
                         std::vector<Change> &out);
  tl::expected<void, std::string> handleRouteHistory(const std::string &body,
                                                     Generation generation,
                                                     RegistryCache &cache,
                                                     Findings &findings,
                                                     std::vector<Change> &out);
  tl::expected<void, std::string> handleDirectory(const std::string &body,
                                                  Generation generation,
                                                  std::vector<Change> &out);
  tl::expected<void, std::string>
  handleOtherDirectories(const std::string &body, Generation generation,
                         std::vector<Change> &out);
  tl::expected<void, std::string>
  addServers(const Item &part, Generation generation, std::vector<Change> &out);

  const RegistryDialect &Dialect;
  std::string Zone;
  Step State = Step::Directory;
  /// The settings read so far, if they take several pages.
  ItemPage OperatorSettings;
  /// The key of the last directory part read; a paged read continues after it.
  std::string LastPartKey;
  std::set<token::BackendId> DirectoryServers;
  size_t Instances = 0;
};

} // namespace chicory::edge

#endif
