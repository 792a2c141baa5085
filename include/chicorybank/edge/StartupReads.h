// What an instance that starts reads, in the order in which it needs it.
//
// What fails without: a list of everything comes in the order of keys, with the
// records of all instances in front and the servers last, a page at a time.
// Where hundreds start at once they fill the registry's link with what none of
// them needs yet, for half a second; one sees packets dropped as `not_current`
// and `unknown_token` right after the start.
//
// 1. The directory's part for its own zone (`Directory.h`): new flows stay in
// their zone. Where there is none, as when a deployment starts for the first
// time, the list follows at once.
// 2. What the operators have written, as it is now: the configuration, since an
// old one must not come into force, and the zones that they drain. From here
// on packets are carried.
// 3. The record of routes: packets of flows whose route has moved.
// 4. The directory's other parts: packets of flows to servers elsewhere. Before
// the first they would keep the registry's link from those that have not
// read their own.
//
// The list of everything follows, later by up to `ListDelayPerServer` for each
// server, so that lists leave the registry's link to those that start. A
// neighbour that has listed by then serves it to the others.

#ifndef CHICORYBANK_EDGE_STARTUPREADS_H
#define CHICORYBANK_EDGE_STARTUPREADS_H

#include "chicorybank/edge/RegistryCache.h"

#include <set>

namespace chicory::edge {

/// The state machine; it does no I/O.
class StartupReads {
public:
  /// For each server that the directory names. A list of 400 bytes a server
  /// takes a tenth of that on a link of 20 Mbit/s, and passing it on in a tree
  /// of three steps a half.
  static constexpr Duration ListDelayPerServer =
      std::chrono::microseconds(1500);
  /// Above it a start that nobody tells anything would know too late who has
  /// ended.
  static constexpr Duration ListDelayMax = std::chrono::seconds(20);
  /// For each pair of an instance and a server of its own zone. 985 instances
  /// with 2,000 servers in each of five zones read 172 MB of the other zones'
  /// parts in two seconds: two thirds of a link of 1,000 Mbit/s.
  static constexpr std::chrono::nanoseconds OtherPartsDelayPerPair{1000};
  /// So many list without a wait, and tell the others. One may be cut off or
  /// slow, and in each zone there should be one.
  static constexpr size_t EarlyLists = 8;

  /// For an instance in this zone.
  StartupReads(const RegistryDialect &dialect, std::string zone)
      : Dialect(dialect), Zone(std::move(zone)) {}

  /// Everything was read: the list comes next.
  bool done() const { return State == Step::Done; }
  /// The call that comes now.
  RegistryCall call() const;
  /// Takes the answer to it, read in a generation of the registry; an empty
  /// body says that there is no such key.
  /// Items go to the copy, and what they tell is appended. An error says what
  /// can't be read.
  tl::expected<void, std::string> handleAnswer(const std::string &body,
                                               Generation generation,
                                               RegistryCache &copy,
                                               Findings &findings,
                                               std::vector<Change> &out);

  /// How long the call that comes now may wait at most.
  Duration callDelayMax() const;

  /// The servers that the directory named. Those that the first list lacks
  /// have to be told as ended, since no item of the copy stands for them.
  const std::set<token::BackendId> &directoryServers() const { return Named; }
  /// How long the list may wait at most: nothing where there was no directory.
  Duration listDelayMax() const;
  /// Of those that may start at once, this share lists without a wait.
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
  applyOperatorSettings(const std::string &body, Generation generation,
                        RegistryCache &copy, Findings &findings,
                        std::vector<Change> &out);
  tl::expected<void, std::string> takeRouteHistory(const std::string &body,
                                                   Generation generation,
                                                   RegistryCache &copy,
                                                   Findings &findings,
                                                   std::vector<Change> &out);
  tl::expected<void, std::string> takeDirectory(const std::string &body,
                                                std::vector<Change> &out);
  tl::expected<void, std::string>
  takeOtherDirectories(const std::string &body, std::vector<Change> &out);
  tl::expected<void, std::string> addServers(const Item &part,
                                             std::vector<Change> &out);

  const RegistryDialect &Dialect;
  std::string Zone;
  Step State = Step::Directory;
  /// The orders that have been read, where they take several pages.
  ItemPage OperatorSettings;
  /// The last part of the directory that was read among all of them.
  std::string LastPart;
  std::set<token::BackendId> Named;
  size_t Instances = 0;
};

} // namespace chicory::edge

#endif
