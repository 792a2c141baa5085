// Heartbeats, rule versions, the members document, probes and planned stops.

#ifndef CHICORYBANK_LIB_CORE_CONTROLPATH_H
#define CHICORYBANK_LIB_CORE_CONTROLPATH_H

#include "CoreState.h"
#include "FlowPath.h"
#include "RequestPath.h"

namespace chicory {

/// Coordinates this instance with the others.
class ControlPath {
public:
  ControlPath(CoreState &state, FlowPath &flows, RequestPath &requests);

  void handleHeartbeat(const Heartbeat &message, Time now, Actions &actions);
  void handleRefusedConnection(InstanceId peer, Actions &actions);
  void handleRules(const CompiledRulesPtr &rules, Time now, Actions &actions);
  void handleMembers(const MembersDocument &document, Time now,
                     Actions &actions);
  void addInstances(const std::vector<InstanceInfo> &named, Time now);
  void startStop(Time now, Actions &actions);
  void handleReport(const PacketInFlight &packet, Time now);
  void tick(Time now, Actions &actions);

private:
  std::vector<InstanceInfo> introductionsFor(const Peer &receiver,
                                             Time now) const;
  void sendHeartbeats(Time now, Actions &actions);
  void tryToGoLive(Time now, Actions &actions);
  void updateHomes();
  void proposeMembers(Time now, Actions &actions);
  std::vector<InstanceId> wantedMembers(Time now) const;
  Duration proposalDelay() const;
  void probeTargets(Actions &actions);
  void checkStop(Time now, Actions &actions);
  bool hasHandedOver(Time now) const;
  void logEvent(Actions &actions, std::string event, std::string detail) const;

  CoreState &Shared;
  FlowPath &Flows;
  RequestPath &Requests;
  Time NextHeartbeat;
  Time LastHeartbeat;
  Time NextProbe;
  Time LastPull;
  std::vector<InstanceId> KnownHomes;
  /// Start of the delay before the next proposal: when the wanted members last
  /// changed, or when they were last proposed. Empty while the current members
  /// document has the wanted members.
  std::optional<Time> WantedSince;
  std::vector<InstanceId> LastWanted;
  std::optional<Time> StopRequestedAt;
  std::optional<Time> OwnsNothingSince;
  bool StopReported = false;
};

} // namespace chicory

#endif
