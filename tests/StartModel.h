// Many instances that start at once, before one registry, in simulated time and
// without a network: the readers are the product's own, links and registry are
// a model of what a call costs.
//
// The registry answers after 4 ms; its link and each instance's own carry one
// answer after the other. Processor time is left out: at 0.038 of a core the
// first page of a list adds some 30 ms to what is modelled here.

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
  /// All of them start within this time.
  Duration StartWithin = 300ms;
  Duration OneWay = 900us;
  Duration AnswerAfter = 4ms;
  double RegistryBytesPerSecond = 125e6;
  double InstanceBytesPerSecond = 2.5e6;
  size_t PageItems = 500;
  /// They know each other by their records, tell each other their news, and the
  /// model goes on until all of them know everything.
  bool Peers = false;
};

/// What came out of it.
struct StartOutcome {
  /// From each start until routes and servers are known, shortest first.
  std::vector<Duration> ServesAfter;
  /// Calls, as the registry prices them: one that may be old counts a tenth.
  double Price = 0;
  /// Lists that were begun.
  size_t Lists = 0;
  /// From the first start until the last instance knows everything.
  Duration CompleteAfter = Duration::zero();

  Duration share(double part) const {
    return ServesAfter[static_cast<size_t>(
        static_cast<double>(ServesAfter.size() - 1) * part)];
  }
};

/// Plays the start of all instances until the last one serves.
class StartModel {
public:
  StartModel(const Store &registry, StartModelOptions options)
      : Registry(registry), Options(options) {
    for (size_t n = 0; n < options.Instances; ++n)
      Instances.push_back(std::make_unique<Instance>(n));
    std::map<InstanceId, PeerRecord> records;
    for (const auto &it : Instances)
      records[it->Id] = {.Id = it->Id,
                         .Zone = "nyarutarama",
                         .PeerAddress = {.Ip = it->Id.Value}};
    if (Options.Peers)
      for (const auto &it : Instances) {
        it->Spread.learn(records);
        it->Watcher.setStalenessLimit(it->Spread.stalenessLimit(),
                                      it->Spread.retryMax());
      }
  }

  StartOutcome run() {
    for (size_t n = 0; n < Instances.size(); ++n) {
      Instance &it = *Instances[n];
      it.StartedAt = Start + Options.StartWithin * static_cast<int64_t>(n) /
                                 static_cast<int64_t>(Instances.size());
      at(it.StartedAt, [this, &it](Time now) { act(it, now); });
    }
    while (!done() && !Events.empty()) {
      Event next = Events.top();
      Events.pop();
      next.Do(next.At);
    }
    std::sort(Out.ServesAfter.begin(), Out.ServesAfter.end());
    return Out;
  }

private:
  struct Instance {
    explicit Instance(size_t n)
        : Id{static_cast<uint32_t>(n + 1)},
          Watcher(Dialect, {}, n, "nyarutarama"),
          Spread({.Self = Id, .Zone = "nyarutarama", .Seed = n}) {}
    InstanceId Id;
    platform::StoreDialect Dialect;
    RegistryWatcher Watcher;
    PropagationTree Spread;
    bool Reads = false;
    bool Complete = false;
    Time StartedAt;
    Time LinkFreeAt;
    bool Routes = false;
    bool Servers = false;
    bool Serves = false;
  };
  struct Event {
    Time At;
    uint64_t Order;
    std::function<void(Time)> Do;
    bool operator<(const Event &other) const {
      return std::pair(At, Order) > std::pair(other.At, other.Order);
    }
  };

  void at(Time when, std::function<void(Time)> action) {
    Events.push({.At = when, .Order = ++Ordered, .Do = std::move(action)});
  }

  bool done() const {
    return Out.ServesAfter.size() == Instances.size() &&
           (!Options.Peers || Completed == Instances.size());
  }

  /// An instance makes the call that is due, or comes back when one is.
  void act(Instance &it, Time now) {
    if (it.Serves && it.Watcher.complete() && !Options.Peers)
      return;
    auto call = it.Watcher.next(now);
    if (!call) {
      Time due = it.Watcher.nextAt();
      if (due != Time::max())
        at(due, [this, &it](Time then) { act(it, then); });
      return;
    }
    bool old = call->Call.Target.find("serializable") != std::string::npos;
    constexpr double OldReadPrice = 0.1;
    Out.Price += old ? OldReadPrice : 1;
    bool begins = call->Call.Target.find("after=") == std::string::npos;
    Out.Lists += call->Call.Kind == CallKind::List && begins ? 1 : 0;
    at(now + Options.OneWay + Options.AnswerAfter,
       [this, &it, call = call->Call](Time then) { answer(it, call, then); });
  }

  /// The registry puts an answer on its link, then it is on the instance's.
  void answer(Instance &it, const RegistryCall &call, Time now) {
    std::string target = call.Target;
    if (!Answers.contains(target))
      Answers[target] = page(call);
    const RegistryAnswer &out = Answers[target];
    LinkFreeAt = std::max(LinkFreeAt, now) +
                 onLink(out.Body.size(), Options.RegistryBytesPerSecond);
    it.LinkFreeAt = std::max(it.LinkFreeAt, LinkFreeAt + Options.OneWay) +
                    onLink(out.Body.size(), Options.InstanceBytesPerSecond);
    at(it.LinkFreeAt, [this, &it, &out](Time then) { take(it, out, then); });
  }

  void take(Instance &it, const RegistryAnswer &answer, Time now) {
    std::vector<token::Event> events;
    bool learned = it.Watcher.answered(answer, now, events);
    note(it, events, now);
    if (learned && Options.Peers)
      push(it, true, now);
    act(it, now);
  }

  void note(Instance &it, const std::vector<token::Event> &events, Time now) {
    for (const token::Event &event : events) {
      it.Routes |= std::holds_alternative<token::RoutesLearned>(event);
      it.Servers |= std::holds_alternative<token::BackendsLearned>(event);
    }
    if (it.Routes && it.Servers && !std::exchange(it.Serves, true))
      Out.ServesAfter.push_back(now - it.StartedAt);
    if (it.Watcher.complete() && !std::exchange(it.Complete, true)) {
      ++Completed;
      Out.CompleteAfter = now - Start;
    }
  }

  void push(Instance &from, bool asked, Time now) {
    if (!from.Watcher.mayPassOn())
      return;
    UpdatePush push =
        from.Watcher.makePush(from.Id, from.Watcher.cache().position(), now);
    for (Address to : from.Spread.targets(asked)) {
      Instance &it = *Instances[to.Ip - 1];
      at(now + Options.OneWay, [this, &it, &from, push](Time then) {
        takePush(it, from, push, then);
      });
    }
  }

  void takePush(Instance &it, Instance &from, const UpdatePush &push,
                Time now) {
    Time before = it.Watcher.currentAt();
    std::vector<token::Event> events;
    bool behind = it.Watcher.applyPush(push, false, now, events);
    note(it, events, now);
    if (!behind)
      return it.Watcher.currentAt() > before ? this->push(it, false, now)
                                             : void();
    if (std::exchange(it.Reads, true))
      return;
    // The sender's link carries one page after the other.
    auto page = std::make_shared<ItemPage>(from.Watcher.cache().snapshot());
    if (PageBytes == 0)
      PageBytes = encodePage(*page).size();
    from.LinkFreeAt = std::max(from.LinkFreeAt, now + Options.OneWay) +
                      onLink(PageBytes, Options.InstanceBytesPerSecond);
    at(from.LinkFreeAt, [this, &it, page](Time then) {
      it.Reads = false;
      std::vector<token::Event> told;
      it.Watcher.applyPull(*page, true, then, told);
      note(it, told, then);
      this->push(it, false, then);
    });
  }

  static Duration onLink(size_t bytes, double rate) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(static_cast<double>(bytes) / rate));
  }

  /// As `answerOf`, in pages.
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
  uint64_t Ordered = 0;
  Time LinkFreeAt;
  std::map<std::string, RegistryAnswer> Answers;
  StartOutcome Out;
  size_t Completed = 0;
  size_t PageBytes = 0;
};

} // namespace samples::registry

#endif
