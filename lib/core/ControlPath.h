// Heartbeats, rule versions, the members document, probes and planned stops.

#ifndef CHICORYBANK_LIB_CORE_CONTROLPATH_H
#define CHICORYBANK_LIB_CORE_CONTROLPATH_H

#include "CoreState.h"
#include "FlowPath.h"
#include "RequestPath.h"

namespace chicory {

/// Keeps this instance in step with the others.
class ControlPath {
public:
  ControlPath(CoreState &state, FlowPath &flows, RequestPath &requests);

  void heartbeat(const Heartbeat &message, Time now, Actions &actions);
  void refused(InstanceId peer, Actions &actions);
  void rules(const CompiledRulesPtr &rules, Time now, Actions &actions);
  void members(const MembersDocument &document, Time now, Actions &actions);
  void instances(const std::vector<InstanceInfo> &named, Time now);
  void stop(Time now, Actions &actions);
  void report(const PacketInFlight &packet, Time now);
  void tick(Time now, Actions &actions);

private:
  std::vector<InstanceInfo> introductionsFor(const Peer &receiver,
                                             Time now) const;
  void sendHeartbeats(Time now, Actions &actions);
  void tryToGoLive(Time now, Actions &actions);
  void homesChanged();
  void proposeMembers(Time now, Actions &actions);
  std::vector<InstanceId> wantedMembers(Time now) const;
  Duration proposalDelay() const;
  void probeTargets(Actions &actions);
  void checkStop(Time now, Actions &actions);
  bool handedOver(Time now) const;
  void note(Actions &actions, std::string event, std::string detail) const;

  CoreState &Shared;
  FlowPath &Flows;
  RequestPath &Requests;
  Time NextHeartbeat;
  Time LastHeartbeat;
  Time NextProbe;
  Time LastPull;
  std::vector<InstanceId> KnownHomes;
  /// Since when the members document has differed from what it should be.
  std::optional<Time> WantedSince;
  std::vector<InstanceId> LastWanted;
  std::optional<Time> StopAsked;
  std::optional<Time> OwnsNothingSince;
  bool StopTold = false;
};

} // namespace chicory

#endif
