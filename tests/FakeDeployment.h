// Several cores on a fake network, with fake targets, callers and platform.
//
// Time is simulated and all randomness comes from one seed, so that a failing
// run is reproducible. Messages have random delays and arrive out of order.

#ifndef CHICORYBANK_TESTS_FAKEDEPLOYMENT_H
#define CHICORYBANK_TESTS_FAKEDEPLOYMENT_H

#include "Samples.h"

#include "chicorybank/core/Core.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace fakes {

using namespace chicory;

/// What one caller has received for one request.
struct Outcome {
  uint32_t Parts = 0;
  bool Whole = false;
  std::vector<RefusedOutcome> Refusals;
  std::vector<Reason> Reasons;
};

/// A target that keeps flows and runs at most two requests at a time.
struct FakeTarget {
  std::set<FlowKey> Flows;
  uint32_t Running = 0;
  bool Stopped = false;
  bool Draining = false;
  uint64_t Executed = 0;
};

class FakeDeployment {
public:
  FakeDeployment(uint32_t instances, uint64_t seed);

  // --- time
  Time now() const { return Now; }
  void run(Duration length);
  /// Runs until a condition holds. Returns false if it does not hold in time.
  bool runUntil(const std::function<bool()> &done, Duration timeout);

  // --- instances
  InstanceId add();
  void kill(InstanceId id);
  void pause(InstanceId id, bool paused);
  void stop(InstanceId id);
  bool isSafeToStop(InstanceId id) const { return Nodes.at(id).SafeToStop; }
  bool isRunning(InstanceId id) const { return Nodes.contains(id); }
  Core &core(InstanceId id) { return *Nodes.at(id).CoreUnderTest; }
  std::vector<InstanceId> ids() const;
  /// Separates these instances from all others and from the platform.
  void partition(std::set<InstanceId> inside) {
    PartitionSide = std::move(inside);
  }
  void endPartition() { PartitionSide.clear(); }
  /// Runs until all instances are live, know the current members document and
  /// hold a lease, for 20 seconds at most, and then for six seconds more.
  /// Returns false if the 20 seconds were not enough.
  bool settle();

  // --- platform
  bool PlatformUp = true;
  const MembersDocument &members() const { return Members; }
  /// The platform is restored from a copy that holds an older document.
  void restoreMembers(const MembersDocument &older);
  void submit(RuleSet rules);
  /// The instances that get new rules from the platform; empty for all.
  std::set<InstanceId> Watchers;

  // --- callers
  void open(const FlowKey &flow) { send(PacketKind::Open, flow); }
  void data(const FlowKey &flow) { send(PacketKind::Data, flow); }
  void close(const FlowKey &flow) { send(PacketKind::Close, flow); }
  /// Sends a request to random instances, `copies` times.
  void request(const FlowKey &flow, uint64_t id, bool idempotent,
               Duration deadline, int copies = 1);
  /// Sends a request to a given instance.
  void requestAt(InstanceId at, const FlowKey &flow, uint64_t id,
                 Time deadline);
  void cancel(const FlowKey &flow, uint64_t id);

  // --- observations
  std::map<uint64_t, Outcome> Outcomes;
  std::map<uint64_t, uint32_t> Runs;
  std::map<FlowKey, uint64_t> DataToCaller;
  std::map<FlowKey, uint64_t> ResetsToCaller;
  std::map<TargetId, FakeTarget> Targets;
  /// The targets that got packets of a flow, in order. Consecutive packets to
  /// the same target are listed once.
  std::map<FlowKey, std::vector<TargetId>> ReachedTargets;
  std::map<InstanceId, uint64_t> HeartbeatsSent;

  // --- broken links between instances and targets
  std::map<InstanceId, std::set<TargetId>> UnreachableTargets;
  /// Sends a packet of a flow from a target to its caller.
  void sendFromTarget(TargetId from, const FlowKey &flow) {
    fromTarget(from, {.Kind = PacketKind::Data, .Flow = flow});
  }

  // --- delays and duplicates
  Duration MaxDelay = std::chrono::milliseconds(3);
  double DuplicateProbability = 0;
  Duration MinWork = std::chrono::milliseconds(20);
  Duration MaxWork = std::chrono::milliseconds(60);

private:
  struct Node {
    std::unique_ptr<Core> CoreUnderTest;
    bool Paused = false;
    bool SafeToStop = false;
    std::vector<Event> PendingEvents;
  };
  struct Task {
    std::function<void()> Run;
  };

  void at(Duration delay, std::function<void()> run);
  void tick(InstanceId id);
  Duration delay();
  void deliver(InstanceId to, Event event);
  void handle(InstanceId to, const Event &event);
  void perform(InstanceId from, const Action &action);
  bool isPartitioned(InstanceId one, InstanceId other) const;
  void sendToRandomInstances(const PacketInFlight &packet);
  void send(PacketKind kind, const FlowKey &flow);
  void toTarget(TargetId id, const Packet &packet, InstanceId from);
  void fromTarget(TargetId id, Packet packet);
  void runRequest(TargetId id, const Packet &packet);
  void toCaller(const Packet &packet);
  void write(InstanceId from, const MembersDocument &document);
  void learnRules(InstanceId id);
  void learnMembers(InstanceId id);
  InstanceInfo info(InstanceId id) const;

  std::mt19937_64 Random;
  Time Now{std::chrono::seconds(1000)};
  uint32_t NextId = 1;
  std::map<InstanceId, Node> Nodes;
  std::set<InstanceId> PartitionSide;
  std::multimap<Time, Task> Queue;
  CompiledRulesPtr Rules;
  MembersDocument Members;
};

} // namespace fakes

#endif
