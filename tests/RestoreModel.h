// A deployment whose registry is restored from backups, in simulated time and
// without a network. Watchers, propagation tree, registrations and writers are
// the product's own; links and the registry are a model.
//
// Servers write every 1.2 s, and their keys expire after three times that. The
// address of a server that crashed is given to another one two seconds later.
// Operators write their settings again within a second of a restore.

#ifndef CHICORYBANK_TESTS_RESTOREMODEL_H
#define CHICORYBANK_TESTS_RESTOREMODEL_H

#include "RegistrySamples.h"

#include "chicorybank/edge/DirectoryWriter.h"
#include "chicorybank/edge/InstanceRegistrar.h"
#include "chicorybank/edge/PropagationTree.h"
#include "chicorybank/edge/RouteHistoryWriter.h"
#include "chicorybank/token/Core.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <rapidjson/document.h>
#include <set>
#include <sstream>

namespace samples::registry {

/// Sizes of a model, and its random seed.
struct RestoreModelOptions {
  size_t Instances = 5;
  size_t Servers = 6;
  uint64_t Seed = 1;
  /// The registry lists this many items in a page, and each page of a stale
  /// list may be of another age. Zero: everything in one page.
  size_t PageItems = 0;
  /// Answers, pushes and pulls take up to this long. A pull is answered by the
  /// process that runs by then.
  Duration DelayMax = Duration::zero();
};

/// Plays a deployment in steps of a fixed length.
class RestoreModel {
public:
  static constexpr Duration Step = 50ms;
  static constexpr Duration Heartbeat = 1200ms;
  static constexpr Duration AddressReusedAfter = 2s;
  /// A change is in force everywhere within this time.
  static constexpr Duration ApplyWithin = 3s;
  /// A server whose registration ended in an outage is back by then.
  static constexpr Duration ReturnWithin = 2s;
  /// Updates flow again this long after the last disturbance; bounds are
  /// checked after `ApplyWithin` more.
  static constexpr Duration SettleTime = 4s;

  explicit RestoreModel(RestoreModelOptions options)
      : Options(options), Random(options.Seed) {
    setConfig();
    for (size_t n = 0; n < options.Servers; ++n)
      addServer();
    for (size_t n = 0; n < options.Instances; ++n)
      Instances.push_back(std::make_unique<Instance>(n, Now, ++Started));
  }

  /// Advances the time and checks after each step.
  void run(Duration time) {
    for (Duration done{}; done < time; done += Step)
      step();
  }

  void setConfig() {
    ++Version;
    writeConfig();
    Acknowledged.push_back({.At = Now, .Version = Version});
  }
  void addServer() {
    ++LastServer;
    addServerAt(LastServer);
  }
  /// A server crashes. Another one takes its address while its registration
  /// stays until it expires.
  void crashServer() {
    if (Servers.size() < 2)
      return;
    auto it = anyServer();
    Reuses.push_back(
        {.At = Now + AddressReusedAfter, .Address = it->second.Address});
    Crashed.insert(it->first);
    Servers.erase(it);
  }
  void drainServer() {
    if (Servers.empty())
      return;
    auto it = anyServer();
    it->second.Draining = true;
    it->second.DrainedAt = Now;
    write(it->first);
  }
  void endServer() {
    if (Servers.size() < 2)
      return;
    auto it = anyServer();
    Registry.remove(keyOf(it->first));
    Servers.erase(it);
  }
  void drainZone(bool active) {
    ZoneDrained = active;
    writeZoneDrain();
  }
  /// Restores the registry to its contents of some steps ago.
  void restore(size_t stepsAgo) {
    recordDisturbance();
    size_t n = std::min(stepsAgo, Past.size() - 1);
    Registry.restore(Past[Past.size() - 1 - n]);
    for (uint64_t id : Crashed)
      RestoredServers.erase(id);
    Past.clear();
    Past.push_back(Registry);
    Replica.push_back(Registry);
    RewriteSettingsAt = Now + Step * static_cast<int64_t>(randomBelow(20));
  }
  void dropHistory() { Registry.dropHistory(); }
  void cutFromRegistry(Duration time) {
    recordDisturbance(time);
    randomInstance().CutUntil = Now + time;
  }
  /// The registry is not reachable. Meanwhile registrations end, and their
  /// servers write again when it is back.
  void outage(Duration time) {
    recordDisturbance(time);
    DownUntil = std::max(DownUntil, Now + time);
    for (auto &[id, server] : Servers) {
      Duration late =
          Step * static_cast<int64_t>(randomBelow(ReturnWithin / Step));
      server.WrittenAt = Now + time + late - Heartbeat;
      if (randomBelow(3) != 0)
        EndingAt.emplace_back(
            Now + Step * static_cast<int64_t>(randomBelow(time / Step + 1)),
            id);
    }
  }
  void cutFromOthers(Duration time) {
    recordDisturbance(time);
    randomInstance().IsolatedUntil = Now + time;
  }
  void suspend(Duration time) {
    recordDisturbance(time);
    randomInstance().SuspendedUntil = Now + time;
  }
  void restart() {
    recordDisturbance();
    size_t n = randomBelow(Instances.size());
    Instances[n] = std::make_unique<Instance>(n, Now, ++Started);
  }

  void restartAll() {
    recordDisturbance();
    for (size_t n = 0; n < Instances.size(); ++n)
      Instances[n] = std::make_unique<Instance>(n, Now, ++Started);
  }

  /// Returns the first violation; empty if there is none.
  const std::string &violation() const { return Violation; }
  /// Returns the first difference between a cache and the registry, or the
  /// first missing record; empty if there is none.
  std::string inconsistency() const {
    for (const auto &it : Instances) {
      const RegistryCache &cache = it->Watcher.cache();
      if (cache.retainedCount() != 0)
        return it->Name + " retains " + std::to_string(cache.retainedCount());
      if (cache.position().Generation != Registry.generation())
        return it->Name + " is of another generation";
      if (!Registry.item("chicorybank/instances/" + it->Name))
        return it->Name + " has no record";
      for (const Item &item : cache.snapshot().Items)
        if (const Item *real = Registry.item(item.Key);
            !real || real->Created != item.Created)
          return it->Name + " has a wrong " + item.Key;
      if (cache.snapshot().Items.size() !=
          Registry.list().Items.size() - uncachedKeys())
        return it->Name + " lacks an item";
      for (const auto &[id, server] : Servers) {
        const token::Backends &known = it->Core.backends();
        token::BackendIndex i = known.find(idOf(id));
        if (i == token::NoBackend ||
            known.at(i).acceptsNewFlows() == (server.Draining || ZoneDrained))
          return it->Name + " uses server " + std::to_string(id) + " wrongly";
      }
    }
    if (!Registry.item("chicorybank/routes/0"))
      return "the record of routes is missing";
    return {};
  }
  uint64_t calls() const { return Calls; }
  /// Returns the time from the last disturbance until all instances were of the
  /// present generation.
  Duration timeUntilSameGeneration() const { return TimeUntilSameGeneration; }

private:
  struct Server {
    uint64_t Address = 0;
    bool Draining = false;
    Time DrainedAt;
    Time Since;
    /// Its registration ended in an outage, or returned shortly ago.
    Time MayBeMissingUntil;
    Time WrittenAt;
    int Sequence = 0;
  };
  /// An address that a new server takes at some time.
  struct Reuse {
    Time At;
    uint64_t Address;
  };
  struct AcknowledgedVersion {
    Time At;
    uint64_t Version;
  };
  struct DelayedAnswer {
    Time At;
    RegistryAnswer Answer;
  };
  struct DelayedPush {
    Time At;
    InstanceId From;
    UpdatePush Push;
  };
  struct DelayedPull {
    Time At;
    InstanceId From;
    std::optional<Position> Since;
  };
  struct Instance {
    Instance(size_t n, Time now, uint64_t seed)
        : Id{static_cast<uint32_t>(0x0a090000 + n + 1)},
          Name(formatIp(Id.Value)), Watcher(Dialect, {}, seed, zone(n)),
          Registrar(
              Dialect,
              {.Id = Id, .Zone = zone(n), .PeerAddress = {Id.Value, 7720}}, {}),
          HistoryWriter(Dialect), Directory(Dialect),
          Tree({.Self = Id, .Zone = zone(n), .Seed = seed}),
          Core({.Zone = zone(n), .Self = Id, .Seed = seed}), Since(now) {
      Watcher.setStalenessLimit(Tree.stalenessLimit(), Tree.retryMax());
    }
    static std::string zone(size_t n) {
      return std::string(1, static_cast<char>('a' + n % 3));
    }
    InstanceId Id;
    std::string Name;
    platform::StoreDialect Dialect;
    RegistryWatcher Watcher;
    InstanceRegistrar Registrar;
    RouteHistoryWriter HistoryWriter;
    DirectoryWriter Directory;
    PropagationTree Tree;
    token::Core Core;
    Time Since;
    Time CutUntil;
    Time IsolatedUntil;
    Time SuspendedUntil;
    bool Suspended = false;
    uint64_t InForce = 0;
    std::optional<Generation> WriterGeneration;
    std::set<uint64_t> Drains;
    Position PushedTo;
    Time PushedAsOf;
    std::map<InstanceId, PeerRecord> Known;
    std::optional<DelayedAnswer> Answer;
    std::optional<DelayedPull> Pull;
    std::deque<DelayedPush> Pushes;
  };

  size_t randomBelow(size_t bound) { return Random() % bound; }
  std::map<uint64_t, Server>::iterator anyServer() {
    return std::next(Servers.begin(),
                     static_cast<std::ptrdiff_t>(randomBelow(Servers.size())));
  }
  Instance &randomInstance() {
    return *Instances[randomBelow(Instances.size())];
  }
  void recordDisturbance(Duration time = Duration::zero()) {
    UndisturbedSince = std::max(UndisturbedSince, Now + time);
  }
  void recordViolation(const std::string &what) {
    if (Violation.empty())
      Violation = what;
  }
  static std::string keyOf(uint64_t id) {
    return "servers/i-" + std::to_string(id);
  }
  /// The system's own keys that no cache holds.
  size_t uncachedKeys() const {
    return Registry.list("chicorybank/start/zones/").Items.size();
  }

  void addServerAt(uint64_t address) {
    Servers[LastServer] = {.Address = address, .Since = Now};
    write(LastServer);
  }

  /// Returns the id of the server with a number: the test store writes numbers
  /// in decimal digits, and ids are parsed as hexadecimal ones.
  static token::BackendId idOf(uint64_t number) {
    constexpr int Hex = 16;
    return {std::stoull(std::to_string(number), nullptr, Hex)};
  }
  /// The inverse of `idOf`.
  static uint64_t numberOf(token::BackendId id) {
    std::ostringstream digits;
    digits << std::hex << id.Value;
    return std::stoull(digits.str());
  }

  void write(uint64_t id) {
    Server &it = Servers[id];
    it.WrittenAt = Now;
    if (it.MayBeMissingUntil == Time::max())
      it.MayBeMissingUntil = Now + SettleTime;
    Registry.serverAt(it.Address, id, it.Draining ? "draining" : "ready",
                      ++it.Sequence);
  }
  /// The route moves with each version.
  void writeConfig() {
    Registry.put("op/config",
                 R"({"version":)" + std::to_string(Version) +
                     R"(,"routes":[{"host":"198.18.0.1","prefix":"/443/",)" +
                     R"("service":"s)" + std::to_string(Version % 3) +
                     R"("}]})");
  }
  void writeZoneDrain() {
    if (ZoneDrained)
      Registry.put("op/evacuate/a", "{}");
    else if (Registry.item("op/evacuate/a"))
      Registry.remove("op/evacuate/a");
  }

  void step() {
    Now += Step;
    stepServers();
    for (auto &it : Instances)
      if (Now >= it->SuspendedUntil)
        stepInstance(*it);
    recordCopy(Past);
    recordCopy(Replica);
    check();
  }

  void recordCopy(std::deque<Store> &past) {
    past.push_back(Registry);
    if (past.size() > MaxPast)
      past.pop_front();
  }

  void stepServers() {
    while (!Reuses.empty() && Now >= Reuses.front().At) {
      ++LastServer;
      addServerAt(Reuses.front().Address);
      Reuses.pop_front();
    }
    for (auto &[id, server] : Servers)
      if (Now - server.WrittenAt >= Heartbeat)
        write(id);
    std::erase_if(EndingAt, [&](const auto &it) {
      if (Now < it.first)
        return false;
      auto server = Servers.find(it.second);
      if (server != Servers.end() && Registry.item(keyOf(it.second))) {
        Registry.remove(keyOf(it.second));
        server->second.MayBeMissingUntil = Time::max();
      }
      return true;
    });
    // A server that a restore brought back does not write any more.
    std::vector<std::string> dead;
    for (const Item &it : Registry.list("servers/").Items) {
      uint64_t id = std::stoull(it.Key.substr(it.Key.rfind('-') + 1));
      if (!Servers.contains(id) &&
          Now - RestoredServers.try_emplace(id, Now).first->second >
              3 * Heartbeat)
        dead.push_back(it.Key);
    }
    for (const std::string &it : dead)
      Registry.remove(it);
    if (RewriteSettingsAt != Time{} && Now >= RewriteSettingsAt) {
      RewriteSettingsAt = {};
      writeConfig();
      writeZoneDrain();
      recordDisturbance();
    }
    Registry.expireLeases(Now);
  }

  void stepInstance(Instance &it) {
    if (Now - it.SuspendedUntil < Step && it.SuspendedUntil != Time{})
      it.Watcher.revalidate(Now);
    handle(it, token::Tick{});
    receiveDelayed(it);
    while (auto call = it.Watcher.next(Now)) {
      RegistryAnswer answer = read(it, call->Call);
      if (Options.DelayMax != Duration::zero()) {
        it.Answer = {.At = Now + delay(), .Answer = std::move(answer)};
        break;
      }
      handleAnswer(it, answer);
      if (isCut(it))
        break;
    }
    writeRecords(it);
  }

  Duration delay() {
    return Step *
           static_cast<int64_t>(randomBelow(Options.DelayMax / Step + 1));
  }

  void handleAnswer(Instance &it, const RegistryAnswer &answer) {
    std::vector<token::Event> events;
    bool provesCurrent = it.Watcher.answered(answer, Now, events);
    processEvents(it, events);
    if (provesCurrent)
      push(it, true);
  }

  void receiveDelayed(Instance &it) {
    if (it.Answer && Now >= it.Answer->At)
      handleAnswer(it, std::exchange(it.Answer, std::nullopt)->Answer);
    if (it.Pull && Now >= it.Pull->At)
      answerPull(it, *std::exchange(it.Pull, std::nullopt));
    while (!it.Pushes.empty() && Now >= it.Pushes.front().At) {
      DelayedPush push = std::move(it.Pushes.front());
      it.Pushes.pop_front();
      receive(it, instance(push.From), push.Push);
    }
  }

  Instance &instance(InstanceId id) {
    return **std::ranges::find_if(
        Instances, [id](const auto &it) { return it->Id == id; });
  }

  void answerPull(Instance &it, const DelayedPull &pull) {
    Instance &from = instance(pull.From);
    if (!connected(it, from))
      return it.Watcher.pullFailed();
    const RegistryCache &cache = from.Watcher.cache();
    if (pull.Since && !cache.hasHistorySince(*pull.Since)) {
      it.Pull = {.At = Now + delay(), .From = pull.From};
      return;
    }
    std::vector<token::Event> events;
    it.Watcher.applyPull(pull.Since ? *cache.changesSince(*pull.Since)
                                    : cache.snapshot(),
                         !pull.Since, Now, events);
    processEvents(it, events);
    push(it, false);
  }

  void startPull(Instance &it, InstanceId from) {
    if (it.Pull)
      return;
    it.Pull = {.At = Now + delay(), .From = from};
    if (it.Watcher.complete())
      it.Pull->Since = it.Watcher.cache().position();
  }

  bool isCut(const Instance &it) const {
    return Now < std::max(it.CutUntil, DownUntil);
  }

  RegistryAnswer read(Instance &it, const RegistryCall &call) {
    ++Calls;
    if (isCut(it))
      return {};
    // A stale read has the header of the registry's present generation.
    if (call.Target.find("serializable") != std::string::npos) {
      RegistryAnswer out = answerTo(Replica[randomBelow(Replica.size())], call);
      out.Generation = Registry.generation();
      return out;
    }
    return answerTo(Registry, call);
  }

  static std::string urlDecoded(const std::string &text) {
    constexpr int Hex = 16;
    std::string out;
    for (size_t n = 0; n < text.size(); ++n) {
      bool escaped = text[n] == '%';
      out += escaped ? static_cast<char>(
                           std::stoi(text.substr(n + 1, 2), nullptr, Hex))
                     : text[n];
      n += escaped ? 2 : 0;
    }
    return out;
  }

  RegistryAnswer answerTo(const Store &store, const RegistryCall &call) const {
    if (call.Kind != CallKind::List || Options.PageItems == 0)
      return answerOf(store, call);
    constexpr std::string_view After = "&after=";
    std::string target = call.Target.substr(0, call.Target.find("&serial"));
    size_t at = target.find(After);
    ItemPage page = store.list();
    if (at != std::string::npos)
      std::erase_if(page.Items,
                    [after = urlDecoded(target.substr(at + After.size()))](
                        const Item &it) { return it.Key <= after; });
    page.More = page.Items.size() > Options.PageItems;
    page.Items.resize(std::min(page.Items.size(), Options.PageItems));
    return {
        .Status = Ok, .Body = bareBody(page), .Generation = store.generation()};
  }

  void writeRecords(Instance &it) {
    if (it.Watcher.latestGeneration() &&
        it.Watcher.latestGeneration() != it.WriterGeneration) {
      if (it.WriterGeneration)
        it.Registrar.registryRestored();
      it.WriterGeneration = it.Watcher.latestGeneration();
    }
    if (!it.Watcher.started())
      return;
    if (auto call = it.Registrar.next(Now)) {
      checkRenewal(it, *call);
      it.Registrar.answered(writeCall(it, *call), Now);
    }
    bool mayWrite = it.Watcher.complete() && !it.Watcher.isStale(Now) &&
                    it.Watcher.generationIsCurrent();
    if (!mayWrite)
      return;
    if (auto call = it.HistoryWriter.next(it.Tree.stalenessLimit(), Now))
      it.HistoryWriter.answered(writeCall(it, *call), Now);
    if (auto call = it.Directory.next(it.Watcher.cache(),
                                      it.Tree.stalenessLimit(), Now))
      it.Directory.answered(writeCall(it, *call), Now);
  }

  RegistryAnswer writeCall(Instance &it, const RegistryCall &call) {
    if (call.Method == "GET")
      return read(it, call);
    ++Calls;
    if (isCut(it))
      return {};
    RegistryAnswer out = Registry.change(call, Now, it.Name);
    out.Generation = Registry.generation();
    if (out.Generation > it.WriterGeneration) {
      it.Registrar.registryRestored();
      it.WriterGeneration = out.Generation;
      it.Watcher.observeGeneration(out.Generation, Now);
    }
    return out;
  }

  /// A lease is renewed only by the instance that created it, once that
  /// instance knows of the restore.
  void checkRenewal(const Instance &it, const RegistryCall &call) {
    constexpr std::string_view Keep = "/-/kv-keep/";
    if (!call.Target.starts_with(Keep) ||
        it.WriterGeneration != Registry.generation())
      return;
    auto lease = std::stoll(call.Target.substr(Keep.size()));
    std::string owner = Registry.ownerOf(lease);
    if (!owner.empty() && owner != it.Name)
      recordViolation(it.Name + " renews the lease of " + owner);
  }

  /// Lets an instance handle an event. A server that is running never counts
  /// as gone, as its flows would be reset.
  void handle(Instance &it, const token::Event &event) {
    token::Actions actions;
    it.Core.handle(event, Now, actions);
    for (const token::Action &action : actions)
      if (const auto *decision = std::get_if<token::Decision>(&action);
          decision && std::string_view(decision->What) == "backend_gone" &&
          Servers.contains(numberOf(decision->Backend)))
        recordViolation(it.Name + " counts a running server as gone: " +
                        std::to_string(numberOf(decision->Backend)));
  }

  void processEvents(Instance &it, std::vector<token::Event> &events) {
    bool routes = false;
    for (const token::Event &event : events) {
      handle(it, event);
      if (const auto *learned = std::get_if<token::RoutesLearned>(&event))
        it.InForce = std::max(it.InForce, learned->Routes.Version.Value);
      routes = routes || std::holds_alternative<token::RoutesLearned>(event) ||
               std::holds_alternative<token::PastRoutesLearned>(event);
      if (const auto *learned = std::get_if<token::BackendsLearned>(&event))
        checkServers(it, *learned);
    }
    events.clear();
    if (it.Watcher.peers() != it.Known) {
      it.Known = it.Watcher.peers();
      it.Tree.learn(it.Known);
      it.Watcher.setStalenessLimit(it.Tree.stalenessLimit(),
                                   it.Tree.retryMax());
    }
    auto own = it.Known.find(it.Id);
    it.Registrar.checkRecord(own == it.Known.end() ? nullptr : &own->second,
                             it.Watcher.currentAt());
    it.Registrar.confirmTakeOver(it.Watcher.cache(), it.Watcher.currentAt());
    if (const token::RouteSet *now = it.Watcher.cache().routes(); now && routes)
      it.HistoryWriter.learn(*now, Now);
    if (routes)
      it.HistoryWriter.learn(it.Watcher.routeHistory(), 60s, Now);
    it.Directory.learn(it.Watcher.cache(), it.Watcher.directorySummary(), Now);
  }

  /// What an instance reads in its first seconds may be stale, in any order.
  void checkServers(Instance &it, const token::BackendsLearned &learned) {
    for (const token::Registration &server : learned.Present) {
      uint64_t n = numberOf(server.Id);
      if (server.Draining)
        it.Drains.insert(n);
      else if (auto known = Servers.find(n);
               Now - it.Since > SettleTime && it.Drains.contains(n) &&
               known != Servers.end() && known->second.Draining)
        recordViolation(it.Name + " treats a draining server as ready");
    }
    for (token::BackendId id : learned.Ended)
      if (auto server = Servers.find(numberOf(id));
          server != Servers.end() && Now > server->second.MayBeMissingUntil &&
          Now - server->second.Since > SettleTime &&
          Now - it.Since > SettleTime)
        recordViolation(it.Name + " ends a server that is running: " +
                        std::to_string(id.Value));
  }

  void push(Instance &from, bool fromRegistry) {
    if (!from.Watcher.mayPassOn())
      return;
    if (from.PushedTo == Position{})
      from.PushedTo = from.Watcher.cache().position();
    UpdatePush push = from.Watcher.makePush(from.Id, from.PushedTo, Now);
    from.PushedTo = from.Watcher.cache().position();
    from.PushedAsOf = from.Watcher.currentAt();
    for (Address target : from.Tree.targets(fromRegistry))
      for (auto &it : Instances)
        if (it->Id.Value == target.Ip && connected(from, *it))
          send(*it, from, push);
  }
  void send(Instance &to, Instance &from, const UpdatePush &push) {
    if (Options.DelayMax == Duration::zero())
      return receive(to, from, push);
    Time at = Now + delay();
    if (!to.Pushes.empty())
      at = std::max(at, to.Pushes.back().At);
    to.Pushes.push_back({.At = at, .From = from.Id, .Push = push});
  }
  bool connected(const Instance &a, const Instance &b) const {
    return Now >= a.IsolatedUntil && Now >= b.IsolatedUntil &&
           Now >= b.SuspendedUntil;
  }

  void receive(Instance &it, Instance &from, const UpdatePush &push) {
    std::vector<token::Event> events;
    if (it.Watcher.needsSeed(push)) {
      it.Watcher.applySeed(from.Watcher.cache().snapshot(), events);
      return processEvents(it, events);
    }
    Time before = it.Watcher.currentAt();
    bool mustPull = it.Watcher.applyPush(push, false, Now, events);
    processEvents(it, events);
    if (mustPull && Options.DelayMax != Duration::zero())
      return startPull(it, from.Id);
    if (mustPull) {
      auto page =
          from.Watcher.cache().changesSince(it.Watcher.cache().position());
      it.Watcher.applyPull(page ? *page : from.Watcher.cache().snapshot(),
                           !page, Now, events);
      processEvents(it, events);
      return this->push(it, false);
    }
    bool newer = it.Watcher.currentAt() - it.PushedAsOf >= 250ms ||
                 it.Watcher.cache().position() > it.PushedTo;
    if (it.Watcher.currentAt() > before && newer)
      this->push(it, false);
  }

  void check() {
    bool all = true;
    for (const auto &it : Instances)
      all = all &&
            it->Watcher.cache().position().Generation == Registry.generation();
    if (!all)
      TimeUntilSameGeneration = Now - UndisturbedSince;
    if (Now - UndisturbedSince < SettleTime + ApplyWithin)
      return;
    for (const auto &it : Instances)
      for (const AcknowledgedVersion &version : Acknowledged)
        if (Now - version.At > ApplyWithin && it->InForce < version.Version)
          recordViolation(it->Name + " lacks version " +
                          std::to_string(version.Version));
    for (const auto &[id, server] : Servers)
      if (server.Draining && Now - server.DrainedAt > ApplyWithin)
        for (const auto &it : Instances)
          if (Now - it->Since > SettleTime && !it->Drains.contains(id))
            recordViolation(it->Name + " does not know of a drain");
  }

  static constexpr size_t MaxPast = 100;

  RestoreModelOptions Options;
  std::mt19937_64 Random;
  Time Now = Start;
  Time UndisturbedSince = Start;
  /// The end of an outage of the registry.
  Time DownUntil;
  Time RewriteSettingsAt;
  Store Registry;
  /// What a restore may bring back.
  std::deque<Store> Past{Registry};
  /// What stale reads return, also from before a restore.
  std::deque<Store> Replica{Registry};
  std::map<uint64_t, Server> Servers;
  std::deque<Reuse> Reuses;
  std::set<uint64_t> Crashed;
  /// Registrations that end, though their servers are running.
  std::vector<std::pair<Time, uint64_t>> EndingAt;
  /// Servers that ended, and since when the registry has them again.
  std::map<uint64_t, Time> RestoredServers;
  std::vector<std::unique_ptr<Instance>> Instances;
  std::vector<AcknowledgedVersion> Acknowledged;
  uint64_t Version = 0;
  uint64_t LastServer = 0;
  uint64_t Started = 0;
  bool ZoneDrained = false;
  uint64_t Calls = 0;
  Duration TimeUntilSameGeneration = Duration::zero();
  std::string Violation;
};

} // namespace samples::registry

#endif
