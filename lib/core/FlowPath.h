// Flows at their home: open, pin, relay, recover, expire.

#ifndef CHICORYBANK_LIB_CORE_FLOWPATH_H
#define CHICORYBANK_LIB_CORE_FLOWPATH_H

#include "CoreState.h"

#include "chicorybank/core/FlowTable.h"

#include <map>

namespace chicory {

/// Handles packets of flows on their home instance.
///
/// A pin that is lost (its home died, or homes moved) is found again in two
/// steps. First the instances that may have been the home before are asked.
/// Where none knows, the packet is sent to the likeliest target: one that does
/// not have the flow rejects the packet without running anything (a reset, as
/// TCP does), and then the next is tried. A packet that a target sends for a
/// flow is proof that this target has it. docs/design/flow-recovery.md weighs
/// this against replicated tables.
class FlowPath {
public:
  explicit FlowPath(CoreState &state);

  /// Open, Data, Close or Reset.
  void handlePacket(const PacketInFlight &packet, Time now, Actions &actions);
  /// Another instance asks for a pin.
  void answerQuery(const FlowQuery &query, Actions &actions);
  /// Another instance has answered.
  void handleReply(const FlowReply &reply, Time now, Actions &actions);
  /// Time passes.
  void tick(Time now, Actions &actions);

  /// The pin of a flow, or null.
  const FlowPin *find(const FlowKey &flow) { return Flows.find(flow); }
  size_t size() const { return Flows.size(); }

private:
  /// The recovery of one flow.
  struct Recovery {
    Time Deadline;
    /// How many peers have yet to answer; then targets are tried.
    size_t PendingReplies = 0;
    /// Targets in the order in which they are tried.
    std::vector<TargetId> Candidates;
    size_t NextCandidate = 0;
    /// Targets that neither rejected the flow nor showed that they have it.
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
  bool expired(const FlowPin &pin, Time now, Actions &actions);

  CoreState &Shared;
  FlowTable Flows;
  std::map<FlowKey, Recovery> Recoveries;
};

} // namespace chicory

#endif
