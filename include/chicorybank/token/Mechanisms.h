// Switches of what an instance decides by itself, for measuring what each is
// worth. All are on in production; `chicory-edge check` warns of others.
//
// What a rule of the users needs has no switch: one server for all copies of an
// opening, silence while the news is not current, tokens that reach only what
// the route led to.

#ifndef CHICORYBANK_TOKEN_MECHANISMS_H
#define CHICORYBANK_TOKEN_MECHANISMS_H

#include <array>
#include <string_view>

namespace chicory::token {

/// Which mechanisms are in use.
struct Mechanisms {
  /// Servers that leave openings or requests unanswered are avoided.
  bool Suspicion = true;
  /// A doubt about a server leads to probes, and failed ones to resets.
  bool Probes = true;
  /// Other instances are told of a server that can't be reached.
  bool SharedDoubts = true;
  /// Openings that wait at a suspect go to another server at once.
  bool MovedOpenings = true;
  /// Idle flows of an unreachable server are reset where the next request must
  /// not run twice.
  bool IdleResets = true;
  /// Flows of a server that has ended are reset before their next packet.
  bool GoneResets = true;
  /// Servers of the own zone go before others.
  bool OwnZoneFirst = true;
  /// A server whose registration is missing still gets new flows: its share
  /// while the registry has not shown that it ended, afterwards only where
  /// there is no other.
  bool MissingAsLastResort = true;
  /// Packets before the first news wait for it.
  bool HoldAtStart = true;
  /// Instances that start without the registry are told by others.
  bool OutageGossip = true;
  /// What routes led to is recorded for instances that start.
  bool RouteHistory = true;

  bool operator==(const Mechanisms &) const = default;
};

/// A mechanism's name in settings.
struct MechanismName {
  std::string_view Key;
  bool Mechanisms::*Switch;
};

inline constexpr std::array<MechanismName, 11> MechanismNames = {{
    {"suspicion", &Mechanisms::Suspicion},
    {"probes", &Mechanisms::Probes},
    {"shared_doubts", &Mechanisms::SharedDoubts},
    {"moved_openings", &Mechanisms::MovedOpenings},
    {"idle_resets", &Mechanisms::IdleResets},
    {"gone_resets", &Mechanisms::GoneResets},
    {"own_zone_first", &Mechanisms::OwnZoneFirst},
    {"missing_as_last_resort", &Mechanisms::MissingAsLastResort},
    {"hold_at_start", &Mechanisms::HoldAtStart},
    {"reminders", &Mechanisms::OutageGossip},
    {"route_record", &Mechanisms::RouteHistory},
}};

} // namespace chicory::token

#endif
