// Many instances that start at once with one registry, in simulated time and
// without a network: the watchers are the product's own, links and registry are
// a model of what a call costs.
//
// The registry answers after 4 ms; its link and that of each instance carry one
// answer after the other. Processor time is left out, so real starts take
// longer: some 30 ms for the first page of a list, at 0.038 of a core each.

#ifndef CHICORYBANK_TESTS_STARTMODEL_H
#define CHICORYBANK_TESTS_STARTMODEL_H

#include "RegistrySamples.h"

#include "chicorybank/edge/PropagationTree.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>

namespace samples::registry {

/// Sizes and rates of a model.
struct StartModelOptions {
  size_t Instances = 300;
  /// Further instances that are registered and do not run.
  size_t Gone = 0;
  /// The running ones start within this time.
  Duration StartWithin = 300ms;
  Duration OneWay = 900us;
  Duration AnswerAfter = 4ms;
  double RegistryBytesPerSecond = 125e6;
  double InstanceBytesPerSecond = 2.5e6;
  size_t PageItems = 500;
  WatcherTimes Times;
  /// The first of the instances' seeds.
  uint64_t Seed = 0;
  /// The instances know each other by their records and push their updates, and
  /// the model runs until all of them know everything.
  bool Peers = false;
};

/// The results of a run.
struct StartOutcome {
  /// From each start until routes and servers are known, shortest first.
  std::vector<Duration> ServesAfter;
  /// Calls, weighted by their cost to the registry: a stale read counts a
  /// tenth.
  double Cost = 0;
  /// Lists that were begun.
  size_t Lists = 0;
  /// From the first start until the last instance knows everything.
  Duration CompleteAfter = Duration::zero();
  /// The longest time from the start of an instance until it knows everything.
  Duration LongestStart = Duration::zero();

  Duration percentile(double fraction) const {
    return ServesAfter[static_cast<size_t>(
        static_cast<double>(ServesAfter.size() - 1) * fraction)];
  }
};

/// Simulates the start of all instances until the last one serves, or with
/// `Options.Peers` until it knows everything.
class StartModel {
public:
  StartModel(const Store &registry, StartModelOptions options)
      : Registry(registry), Options(options) {
    for (size_t n = 0; n < options.Instances; ++n)
      Instances.push_back(
          std::make_unique<Instance>(n, options.Times, options.Seed + n));
    std::map<InstanceId, PeerRecord> records;
    for (size_t n = 0; n < Options.Instances + Options.Gone; ++n) {
      InstanceId id = idOf(n);
      records[id] = {
          .Id = id, .Zone = "nyarutarama", .PeerAddress = {.Ip = id.Value}};
    }
    if (Options.Peers)
      for (const auto &it : Instances) {
        it->Tree.learn(records);
        it->Watcher.setStalenessLimit(it->Tree.stalenessLimit(),
                                      it->Tree.retryMax());
      }
  }

  StartOutcome run() {
    for (size_t n = 0; n < Instances.size(); ++n) {
      Instance &it = *Instances[n];
      it.StartedAt = Start + Options.StartWithin * static_cast<int64_t>(n) /
                                 static_cast<int64_t>(Instances.size());
      at(it.StartedAt, [this, &it](Time now) { makeCall(it, now); });
    }
    while (!done() && !Events.empty()) {
      Event next = Events.top();
      Events.pop();
      next.Action(next.At);
    }
    std::sort(Outcome.ServesAfter.begin(), Outcome.ServesAfter.end());
    return Outcome;
  }

private:
  static InstanceId idOf(size_t n) {
    return InstanceId{static_cast<uint32_t>(n + 1)};
  }
  struct Instance {
    Instance(size_t n, WatcherTimes times, uint64_t seed)
        : Id(idOf(n)), Watcher(Dialect, times, seed, "nyarutarama"),
          Tree({.Self = Id, .Zone = "nyarutarama", .Seed = seed}) {}
    InstanceId Id;
    platform::StoreDialect Dialect;
    RegistryWatcher Watcher;
    PropagationTree Tree;
    bool Pulling = false;
    bool Complete = false;
    bool Announces = false;
    Time StartedAt;
    Time LinkFreeAt;
    bool HasRoutes = false;
    bool HasServers = false;
    bool Serves = false;
  };
  struct Event {
    Time At;
    uint64_t Order;
    std::function<void(Time)> Action;
    bool operator<(const Event &other) const {
      return std::pair(At, Order) > std::pair(other.At, other.Order);
    }
  };

  void at(Time when, std::function<void(Time)> action) {
    Events.push(
        {.At = when, .Order = ++LastOrder, .Action = std::move(action)});
  }

  bool done() const {
    return Outcome.ServesAfter.size() == Instances.size() &&
           (!Options.Peers || Completed == Instances.size());
  }

  /// Makes the call that is due, or schedules itself for when one is.
  void makeCall(Instance &it, Time now) {
    if (it.Serves && it.Watcher.complete() && !Options.Peers)
      return;
    auto call = it.Watcher.next(now);
    if (!call) {
      Time due = it.Watcher.nextAt();
      if (due != Time::max())
        at(due, [this, &it](Time then) { makeCall(it, then); });
      return;
    }
    bool mayBeStale =
        call->Call.Target.find("serializable") != std::string::npos;
    constexpr double StaleReadCost = 0.1;
    Outcome.Cost += mayBeStale ? StaleReadCost : 1;
    bool isFirstPage = call->Call.Target.find("after=") == std::string::npos;
    Outcome.Lists += call->Call.Kind == CallKind::List && isFirstPage ? 1 : 0;
    at(now + Options.OneWay + Options.AnswerAfter,
       [this, &it, call = call->Call](Time then) { answer(it, call, then); });
  }

  /// Puts an answer on the registry's link, then on the instance's.
  void answer(Instance &it, const RegistryCall &call, Time now) {
    std::string target = call.Target;
    if (!Answers.contains(target))
      Answers[target] = page(call);
    const RegistryAnswer &out = Answers[target];
    LinkFreeAt = std::max(LinkFreeAt, now) +
                 transferTime(out.Body.size(), Options.RegistryBytesPerSecond);
    it.LinkFreeAt =
        std::max(it.LinkFreeAt, LinkFreeAt + Options.OneWay) +
        transferTime(out.Body.size(), Options.InstanceBytesPerSecond);
    at(it.LinkFreeAt,
       [this, &it, &out](Time then) { receiveAnswer(it, out, then); });
  }

  void receiveAnswer(Instance &it, const RegistryAnswer &answer, Time now) {
    std::vector<token::Event> events;
    bool provesCurrent = it.Watcher.answered(answer, now, events);
    recordProgress(it, events, now);
    if (provesCurrent && Options.Peers)
      push(it, true, now);
    makeCall(it, now);
  }

  void recordProgress(Instance &it, const std::vector<token::Event> &events,
                      Time now) {
    for (const token::Event &event : events) {
      it.HasRoutes |= std::holds_alternative<token::RoutesLearned>(event);
      it.HasServers |= std::holds_alternative<token::BackendsLearned>(event);
    }
    if (it.HasRoutes && it.HasServers && !std::exchange(it.Serves, true))
      Outcome.ServesAfter.push_back(now - it.StartedAt);
    if (it.Watcher.complete() && !std::exchange(it.Complete, true)) {
      ++Completed;
      Outcome.CompleteAfter = now - Start;
      Outcome.LongestStart = std::max(Outcome.LongestStart, now - it.StartedAt);
    }
    if (Options.Peers && it.Watcher.hasListForOthers() &&
        !std::exchange(it.Announces, true))
      announce(it, now);
  }

  /// Tells all instances that this one has a list, every two seconds.
  void announce(Instance &from, Time now) {
    for (const auto &it : Instances)
      if (it->Id != from.Id)
        at(now + Options.OneWay, [&to = *it, &from](Time then) {
          std::vector<token::Event> none;
          to.Watcher.applyPush(RegistryWatcher::makeListAnnouncement(from.Id),
                               false, then, none);
        });
    at(now + 2s, [this, &from](Time then) { announce(from, then); });
  }

  void push(Instance &from, bool fromRegistry, Time now) {
    if (!from.Watcher.mayPassOn())
      return;
    UpdatePush push =
        from.Watcher.makePush(from.Id, from.Watcher.cache().position(), now);
    for (Address to : from.Tree.targets(fromRegistry)) {
      if (to.Ip > Instances.size())
        continue;
      Instance &it = *Instances[to.Ip - 1];
      at(now + Options.OneWay, [this, &it, &from, push](Time then) {
        receivePush(it, from, push, then);
      });
    }
  }

  void receivePush(Instance &it, Instance &from, const UpdatePush &push,
                   Time now) {
    Time before = it.Watcher.currentAt();
    std::vector<token::Event> events;
    bool mustPull = it.Watcher.applyPush(push, false, now, events);
    recordProgress(it, events, now);
    if (!mustPull)
      return it.Watcher.currentAt() > before ? this->push(it, false, now)
                                             : void();
    if (std::exchange(it.Pulling, true))
      return;
    // The sender's link carries one page after the other.
    auto page = std::make_shared<ItemPage>(from.Watcher.cache().snapshot());
    if (PageBytes == 0)
      PageBytes = encodePage(*page).size();
    from.LinkFreeAt = std::max(from.LinkFreeAt, now + Options.OneWay) +
                      transferTime(PageBytes, Options.InstanceBytesPerSecond);
    at(from.LinkFreeAt, [this, &it, page](Time then) {
      it.Pulling = false;
      std::vector<token::Event> pulled;
      it.Watcher.applyPull(*page, true, then, pulled);
      recordProgress(it, pulled, then);
      this->push(it, false, then);
    });
  }

  static Duration transferTime(size_t bytes, double rate) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(static_cast<double>(bytes) / rate));
  }

  /// Returns the answer to a call, a list in pages of `PageItems`.
  RegistryAnswer page(const RegistryCall &call) const {
    if (call.Kind != CallKind::List)
      return answerOf(Registry, call);
    std::string target =
        call.Target.substr(0, call.Target.find("&serializable"));
    size_t after = target.find("&after=");
    std::string from =
        after == std::string::npos ? "" : target.substr(after + 7);
    ItemPage out = Registry.list();
    std::erase_if(out.Items, [&](const Item &it) { return it.Key <= from; });
    out.More = out.Items.size() > Options.PageItems;
    if (out.More)
      out.Items.resize(Options.PageItems);
    return {.Status = Ok, .Body = platform::StoreDialect().serializePage(out)};
  }

  const Store &Registry;
  StartModelOptions Options;
  std::vector<std::unique_ptr<Instance>> Instances;
  std::priority_queue<Event> Events;
  uint64_t LastOrder = 0;
  Time LinkFreeAt;
  std::map<std::string, RegistryAnswer> Answers;
  StartOutcome Outcome;
  size_t Completed = 0;
  size_t PageBytes = 0;
};

} // namespace samples::registry

#endif
