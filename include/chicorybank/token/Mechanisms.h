// Switches for the optional mechanisms of an instance, to measure the effect of
// each one. All of them are on in production; `chicory-edge check` warns if one
// is off.
//
// Mechanisms that a requirement depends on have no switch: one server for all
// copies of an opening (unless that server is avoided or accepts no new flows),
// no answer to openings of unknown routes while registry updates are stale, and
// tokens that reach only services of the route.

#ifndef CHICORYBANK_TOKEN_MECHANISMS_H
#define CHICORYBANK_TOKEN_MECHANISMS_H

#include <array>
#include <string_view>

namespace chicory::token {

/// Which mechanisms are in use.
struct Mechanisms {
  /// Servers that leave openings or requests unanswered are avoided.
  bool Suspicion = true;
  /// Servers that may be unreachable are probed, and flows are reset if the
  /// probes fail.
  bool Probes = true;
  /// Other instances are notified of a server that can't be reached.
  bool SharedDoubts = true;
  /// Openings that wait at a suspect server are sent to another server at once.
  bool MovedOpenings = true;
  /// Idle flows of an unreachable server are reset if their next request must
  /// not run twice.
  bool IdleResets = true;
  /// Flows of a server that has ended are reset before their next packet.
  bool GoneResets = true;
  /// Servers of this instance's own zone are preferred.
  bool OwnZoneFirst = true;
  /// A server whose registration is missing still gets new flows: its usual
  /// share until the registry has shown that the server has ended, and after
  /// that only if there is no other server.
  bool MissingAsLastResort = true;
  /// At the start, packets are held until the first registry updates arrive.
  bool HoldAtStart = true;
  /// Instances that start while the registry is down get its content from other
  /// instances.
  bool OutageGossip = true;
  /// The services that routes led to are recorded for instances that start.
  bool RouteHistory = true;
  /// Servers that fail part of their requests get fewer new flows, then none.
  bool OutlierDetection = true;
  /// New flows go to a subset of the servers, so that this instance observes
  /// each of them often enough to judge it.
  bool ServerSubsets = true;
  /// Instances tell those that share a server when they eject or restore it.
  bool HealthReports = true;
  /// New flows of low priority are refused while a service has no room.
  bool PriorityAdmission = true;
  /// An instance that can't keep up with its packets reports that it is not
  /// ready.
  bool OverloadReadiness = true;

  bool operator==(const Mechanisms &) const = default;
};

/// The settings key of a mechanism.
struct MechanismName {
  std::string_view Key;
  bool Mechanisms::*Switch;
};

inline constexpr std::array<MechanismName, 16> MechanismNames = {{
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
    {"outlier_detection", &Mechanisms::OutlierDetection},
    {"server_subsets", &Mechanisms::ServerSubsets},
    {"health_reports", &Mechanisms::HealthReports},
    {"priority_admission", &Mechanisms::PriorityAdmission},
    {"overload_readiness", &Mechanisms::OverloadReadiness},
}};

} // namespace chicory::token

#endif
