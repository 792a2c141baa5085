// Availability zones as an instance sees them: which one falls silent as a
// whole, and how busy the servers of its own are.

#ifndef CHICORYBANK_TOKEN_ZONES_H
#define CHICORYBANK_TOKEN_ZONES_H

#include "chicorybank/token/Backends.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace chicory::token {

/// Times and numbers of zones.
struct ZoneOptions {
  /// Misses in a row, each at another server than the one before, that make
  /// another zone suspect. While any of its servers answers, a row is broken
  /// some ten times a second.
  uint32_t SuspectAfter = 3;
  /// How long a suspect zone is avoided: as a server.
  Duration SuspectFor = std::chrono::milliseconds(800);
  /// Requests in progress for each slot, from which on flows begin to leave the
  /// own zone, and at which they all choose among all zones. Below the first
  /// hardly any request waits; at the second every other one does. A flow in
  /// another zone is lost if that is cut off, so not earlier than it helps: 0.7
  /// and 1.3 serve no better.
  double SpillFrom = 1.0;
  double SpillAll = 1.5;
  /// The load is smoothed over this time: several requests of each caller, and
  /// less than a burst lasts.
  Duration Smoothing = std::chrono::milliseconds(300);
};

/// Evidence about zones.
///
/// What goes wrong without the first part: a zone is cut off, and instances of
/// another one whose own servers are drained send half of their openings there.
/// Each server has to be found silent by itself, by each instance; one sees
/// `opening_moved` for seconds, and answers late by a caller's copy or two.
///
/// What goes wrong without the second: callers move to a zone whose servers are
/// full while those of the others are idle. An instance sees only what it sent
/// itself, a request at one server in ten, so no server looks busy to it. What
/// all instances of the zone have in progress is about what this one has, times
/// their number. Worth 0.034 on a day on which half of a zone's callers move to
/// another before a burst of 1.8 times (0.898 without, 0.932 with it).
class Zones {
public:
  Zones(std::string own, ZoneOptions options)
      : Own(std::move(own)), Options(options) {}

  void setInstances(const std::vector<ZonedInstance> &instances);

  /// A server of a zone has answered.
  void recordAnswer(const std::string &zone);
  /// One has left an opening or a request unanswered. True: its zone has become
  /// suspect.
  bool recordMiss(const Backend &server, Time now);
  bool isSuspect(const std::string &zone, Time now) const;

  /// What this instance has in progress at servers of its zone, and the slots
  /// of those; of one service.
  void recordLoad(ServiceId service, uint32_t load, uint32_t slots, Time now);
  /// The share of a service's new flows that choose among all zones.
  double spillShare(ServiceId service) const;

private:
  struct Evidence {
    uint32_t Missed = 0;
    BackendId Last;
    Time SuspectUntil;
  };
  struct Load {
    double Smoothed = 0;
    uint32_t Slots = 1;
    Time At;
  };

  std::string Own;
  ZoneOptions Options;
  uint32_t InstancesHere = 1;
  std::map<std::string, Evidence> ByZone;
  /// No zone is suspect after this: most of the time nothing has to be looked
  /// up for each of thousands of servers.
  Time AnySuspectUntil;
  std::unordered_map<uint32_t, Load> ByService;
};

} // namespace chicory::token

#endif
