// Flows at their home instance: opening, pinning, relay, recovery and expiry.

#ifndef CHICORYBANK_LIB_CORE_FLOWPATH_H
#define CHICORYBANK_LIB_CORE_FLOWPATH_H

#include "CoreState.h"

#include "chicorybank/core/FlowTable.h"

#include <map>

namespace chicory {

/// Handles packets of flows on their home instance.
///
/// A pin is lost when its home process stops or homes move. It is recovered in
/// two steps. First the instances that may have been the home before are
/// queried. If none has the pin, the packet is sent to the most likely target.
/// A target that does not have the flow rejects the packet without running
/// anything (with a reset, as TCP does), and the next target is tried. A packet
/// that a target sends for a flow proves that this target has the flow.
/// docs/design/flow-recovery.md compares this with replicated tables.
class FlowPath {
public:
  explicit FlowPath(CoreState &state);

  /// Handles an Open, Data, Close or Reset packet.
  void handlePacket(const PacketInFlight &packet, Time now, Actions &actions);
  /// Answers another instance's query for a pin.
  void answerQuery(const FlowQuery &query, Actions &actions);
  /// Handles another instance's reply to a query.
  void handleReply(const FlowReply &reply, Time now, Actions &actions);
  /// Expires flows and recoveries whose time is over.
  void tick(Time now, Actions &actions);

  /// Returns the pin of a flow, or null.
  const FlowPin *find(const FlowKey &flow) { return Flows.find(flow); }
  size_t size() const { return Flows.size(); }

private:
  /// State of the recovery of one flow.
  struct Recovery {
    Time Deadline;
    /// Peers that have not replied yet. At zero, targets are tried.
    size_t PendingReplies = 0;
    /// Targets in the order in which they are tried.
    std::vector<TargetId> Candidates;
    size_t NextCandidate = 0;
    /// Targets that did not answer: they may have the flow or not.
    std::vector<TargetId> Silent;
    std::vector<PacketInFlight> Buffered;
  };

  void fromCaller(const PacketInFlight &packet, Time now, Actions &actions);
  void fromTarget(const PacketInFlight &packet, Time now, Actions &actions);
  void bufferForNextTarget(const PacketInFlight &packet);
  void relayToTarget(FlowPin &pin, const PacketInFlight &packet, Time now,
                     Actions &actions);
  void open(const PacketInFlight &packet, Time now, Actions &actions);
  void refuseFlow(const FlowKey &flow, Reason why, Actions &actions);
  FlowPin *pin(const FlowKey &flow, TargetId target, ServiceId service,
               Time now);
  void unpin(const FlowKey &flow);
  void recover(const PacketInFlight &packet, Time now, Actions &actions);
  void tryTargets(const FlowKey &flow, Recovery &recovery, Time now,
                  Actions &actions);
  bool tryNextTarget(const FlowKey &flow, Recovery &recovery, Time now,
                     Actions &actions);
  void completeRecovery(const FlowKey &flow, TargetId target, ServiceId service,
                        Time now, Actions &actions);
  void failRecovery(const FlowKey &flow, Time now, Actions &actions);
  bool handleRejection(const PacketInFlight &packet, Time now,
                       Actions &actions);
  bool expireIfDue(const FlowPin &pin, Time now, Actions &actions);

  CoreState &Shared;
  FlowTable Flows;
  std::map<FlowKey, Recovery> Recoveries;
};

} // namespace chicory

#endif
