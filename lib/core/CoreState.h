// What the parts of a core share.

#ifndef CHICORYBANK_LIB_CORE_CORESTATE_H
#define CHICORYBANK_LIB_CORE_CORESTATE_H

#include "chicorybank/base/Hash.h"
#include "chicorybank/core/Core.h"
#include "chicorybank/core/Rendezvous.h"

#include <algorithm>
#include <random>

namespace chicory {

/// State that flows, requests and control all read.
struct CoreState {
  CoreState(CoreOptions options, Time startedAt)
      : Options(std::move(options)), StartedAt(startedAt),
        Members(Options.Self, Options.Incarnation, Options.Membership),
        Owners(Options.Self.Id, startedAt, Options.Ownership),
        History(Options.Flows.HistoryDepth),
        Book(Options.Self.Id, Options.Seed, Options.Targets),
        Random(Options.Seed) {}

  CoreOptions Options;
  Time StartedAt;
  Membership Members;
  OwnershipTracker Owners;
  RuleHistory History;
  Targets Book;
  std::mt19937_64 Random;
  CoreStats Stats;

  InstanceId self() const { return Options.Self.Id; }

  /// The home of a flow: the first live instance by rendezvous.
  InstanceId homeOf(uint64_t flowHash) const {
    return rendezvousFirst(flowHash, Members.homes());
  }

  void refuse(Reason why) { ++Stats.Refusals[static_cast<size_t>(why)]; }
  void retried(Reason why) { ++Stats.Retries[static_cast<size_t>(why)]; }

  /// A deadline on the wire as a time of this core.
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

/// A packet of this kind and flow with nothing else in it.
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
