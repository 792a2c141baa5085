// State and helpers that the parts of a core share.

#ifndef CHICORYBANK_LIB_CORE_CORESTATE_H
#define CHICORYBANK_LIB_CORE_CORESTATE_H

#include "chicorybank/base/Hash.h"
#include "chicorybank/core/Core.h"
#include "chicorybank/core/Rendezvous.h"

#include <algorithm>
#include <random>

namespace chicory {

/// State that the flow, request and control paths share.
struct CoreState {
  CoreState(CoreOptions options, Time startedAt)
      : Options(std::move(options)), StartedAt(startedAt),
        Members(Options.Self, Options.Incarnation, Options.Membership),
        Ownership(Options.Self.Id, startedAt, Options.Ownership),
        History(Options.Flows.HistoryDepth),
        TargetStates(Options.Self.Id, Options.Seed, Options.Targets),
        Random(Options.Seed) {}

  CoreOptions Options;
  Time StartedAt;
  Membership Members;
  OwnershipTracker Ownership;
  RuleHistory History;
  Targets TargetStates;
  std::mt19937_64 Random;
  CoreStats Stats;

  InstanceId self() const { return Options.Self.Id; }

  /// Returns the home of a flow: the first live instance by rendezvous hashing.
  InstanceId homeOf(uint64_t flowHash) const {
    return rendezvousFirst(flowHash, Members.homes());
  }

  /// Counts a packet that is refused or dropped, or that has reached the hop
  /// limit.
  void countRefusal(Reason why) { ++Stats.Refusals[static_cast<size_t>(why)]; }
  void countRetry(Reason why) { ++Stats.Retries[static_cast<size_t>(why)]; }

  /// Converts a deadline on the wire to a time of this core.
  Time fromWire(int64_t deadlineMs) const {
    return Time(std::chrono::milliseconds(deadlineMs - Options.EpochMs));
  }
  int64_t toWire(Time time) const {
    auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
        time.time_since_epoch());
    return ms.count() + Options.EpochMs;
  }

  void sendToTarget(TargetId target, const PacketInFlight &packet,
                    Actions &actions) {
    ++Stats.PacketsToTargets;
    actions.emplace_back(SendPacket{
        .To = target, .Content = packet.Content, .Datagram = packet.Datagram});
  }
  void sendToCaller(const PacketInFlight &packet, Actions &actions) {
    ++Stats.PacketsToCallers;
    actions.emplace_back(SendPacket{.To = std::nullopt,
                                    .Content = packet.Content,
                                    .Datagram = packet.Datagram});
  }
  void forward(InstanceId to, const PacketInFlight &packet, uint8_t hops,
               Actions &actions) {
    ++Stats.PacketsForwarded;
    actions.emplace_back(ForwardPacket{
        .To = to, .Packet = packet, .Hops = hops, .Rules = History.version()});
  }
};

/// Returns a packet with only its kind, flow and direction set.
inline PacketInFlight barePacket(PacketKind kind, const FlowKey &flow,
                                 bool toCaller) {
  PacketInFlight out;
  out.Content.Kind = kind;
  out.Content.Flow = flow;
  out.Content.ToCaller = toCaller;
  return out;
}

} // namespace chicory

#endif
