// A deployment before a registry that is restored from copies, in simulated
// time and without a network: readers, order of passing on, records and their
// writers are the product's own; links and the registry are a model.
//
// Servers write each 1.2 s, and their keys lapse after three times that. What
// operators ordered they order again within a second of a restore.

#ifndef CHICORYBANK_TESTS_RESTOREMODEL_H
#define CHICORYBANK_TESTS_RESTOREMODEL_H

#include "RegistrySamples.h"

#include "chicorybank/edge/DirectoryWriter.h"
#include "chicorybank/edge/InstanceRegistrar.h"
#include "chicorybank/edge/PropagationTree.h"
#include "chicorybank/edge/RouteHistoryWriter.h"

#include <deque>
#include <memory>
#include <random>
#include <rapidjson/document.h>
#include <set>
#include <sstream>

namespace samples::registry {

/// Sizes and rates of a model.
struct RestoreModelOptions {
  size_t Instances = 5;
  size_t Servers = 6;
  uint64_t Seed = 1;
};

/// Plays a deployment in steps of a fixed length.
class RestoreModel {
public:
  static constexpr Duration Step = 50ms;
  static constexpr Duration Heartbeat = 1200ms;
  /// A change is in force everywhere within this time.
  static constexpr Duration ApplyWithin = 3s;
  /// Bounds hold again when nothing has happened for this long.
  static constexpr Duration Settle = 4s;

  explicit RestoreModel(RestoreModelOptions options)
      : Options(options), Random(options.Seed) {
    setConfig();
    for (size_t n = 0; n < options.Servers; ++n)
      addServer();
    for (size_t n = 0; n < options.Instances; ++n)
      Instances.push_back(std::make_unique<Instance>(n, Now, ++Started));
  }

  /// Lets time pass and checks all along.
  void run(Duration time) {
    for (Duration done{}; done < time; done += Step)
      tick();
  }

  void setConfig() {
    ++Version;
    writeConfig();
    Acknowledged.push_back({.At = Now, .Version = Version});
  }
  void addServer() {
    uint64_t id = ++LastServer;
    Servers[id] = {.Since = Now};
    write(id);
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
    orderZone();
  }
  /// The registry comes back from what it held some steps ago.
  void restore(size_t stepsAgo) {
    disturb();
    size_t n = std::min(stepsAgo, Past.size() - 1);
    Registry.restore(Past[Past.size() - 1 - n]);
    Past.clear();
    Past.push_back(Registry);
    Replica.push_back(Registry);
    ReorderAt = Now + Step * static_cast<int64_t>(draw(20));
  }
  void dropHistory() { Registry.dropHistory(); }
  void cutFromRegistry(Duration time) {
    disturb(time);
    any().CutUntil = Now + time;
  }
  void cutFromOthers(Duration time) {
    disturb(time);
    any().AloneUntil = Now + time;
  }
  void freeze(Duration time) {
    disturb(time);
    any().FrozenUntil = Now + time;
  }
  void restart() {
    disturb();
    size_t n = draw(Instances.size());
    Instances[n] = std::make_unique<Instance>(n, Now, ++Started);
  }

  /// What went wrong; empty while nothing did.
  const std::string &broken() const { return Broken; }
  /// Whether each copy is what the registry holds, and every record of ours is
  /// there.
  std::string unsettled() const {
    for (const auto &it : Instances) {
      const RegistryCache &copy = it->Watcher.cache();
      if (copy.retainedCount() != 0)
        return it->Name + " holds " + std::to_string(copy.retainedCount());
      if (copy.position().Generation != Registry.generation())
        return it->Name + " is of another generation";
      if (!Registry.item("chicorybank/instances/" + it->Name))
        return it->Name + " has no record";
      for (const Item &item : copy.snapshot().Items)
        if (const Item *real = Registry.item(item.Key);
            !real || real->Created != item.Created)
          return it->Name + " has a wrong " + item.Key;
      if (copy.snapshot().Items.size() !=
          Registry.list().Items.size() - unread())
        return it->Name + " lacks an item";
    }
    if (!Registry.item("chicorybank/routes/0"))
      return "the record of routes is missing";
    return {};
  }
  uint64_t calls() const { return Calls; }
  /// When the last instance was of the present generation, after the last
  /// restore.
  Duration untilAllFollowed() const { return FollowedAfter; }

private:
  struct Server {
    bool Draining = false;
    Time DrainedAt;
    Time Since;
    Time WrittenAt;
    int Sequence = 0;
  };
  struct Order {
    Time At;
    uint64_t Version;
  };
  struct Instance {
    Instance(size_t n, Time now, uint64_t seed)
        : Id{static_cast<uint32_t>(0x0a090000 + n + 1)},
          Name(formatIp(Id.Value)), Watcher(Dialect, {}, seed, zone(n)),
          Record(Dialect,
                 {.Id = Id, .Zone = zone(n), .PeerAddress = {Id.Value, 7720}},
                 {}),
          Recorder(Dialect), Directory(Dialect),
          Spread({.Self = Id, .Zone = zone(n), .Seed = seed}), Since(now) {
      Watcher.setStalenessLimit(Spread.stalenessLimit(), Spread.retryMax());
    }
    static std::string zone(size_t n) {
      return std::string(1, static_cast<char>('a' + n % 3));
    }
    InstanceId Id;
    std::string Name;
    platform::StoreDialect Dialect;
    RegistryWatcher Watcher;
    InstanceRegistrar Record;
    RouteHistoryWriter Recorder;
    DirectoryWriter Directory;
    PropagationTree Spread;
    Time Since;
    Time CutUntil;
    Time AloneUntil;
    Time FrozenUntil;
    bool Frozen = false;
    uint64_t InForce = 0;
    std::optional<Generation> ToldRecord;
    std::set<uint64_t> Drains;
    Position PushedTo;
    Time PushedAsOf;
    std::map<InstanceId, PeerRecord> Known;
  };

  size_t draw(size_t most) { return Random() % most; }
  std::map<uint64_t, Server>::iterator anyServer() {
    return std::next(Servers.begin(),
                     static_cast<std::ptrdiff_t>(draw(Servers.size())));
  }
  Instance &any() { return *Instances[draw(Instances.size())]; }
  void disturb(Duration time = Duration::zero()) {
    CalmSince = std::max(CalmSince, Now + time);
  }
  void fail(const std::string &what) {
    if (Broken.empty())
      Broken = what;
  }
  static std::string keyOf(uint64_t id) {
    return "servers/i-" + std::to_string(id);
  }
  /// Keys of ours that no copy keeps.
  size_t unread() const {
    return Registry.list("chicorybank/start/zones/").Items.size();
  }

  /// The server that has an id on the wire: the store's stand-in writes its
  /// number in decimal digits, and ids are read as hex ones.
  static uint64_t numberOf(token::BackendId id) {
    std::ostringstream digits;
    digits << std::hex << id.Value;
    return std::stoull(digits.str());
  }

  void write(uint64_t id) {
    Server &it = Servers[id];
    it.WrittenAt = Now;
    Registry.server(id, it.Draining ? "draining" : "ready", ++it.Sequence);
  }
  /// The route moves with each version.
  void writeConfig() {
    Registry.put("op/config",
                 R"({"version":)" + std::to_string(Version) +
                     R"(,"routes":[{"host":"198.18.0.1","prefix":"/443/",)" +
                     R"("service":"s)" + std::to_string(Version % 3) +
                     R"("}]})");
  }
  void orderZone() {
    if (ZoneDrained)
      Registry.put("op/evacuate/a", "{}");
    else if (Registry.item("op/evacuate/a"))
      Registry.remove("op/evacuate/a");
  }

  void tick() {
    Now += Step;
    world();
    for (auto &it : Instances)
      if (Now >= it->FrozenUntil)
        act(*it);
    remember(Past);
    remember(Replica);
    check();
  }

  void remember(std::deque<Store> &past) {
    past.push_back(Registry);
    if (past.size() > MostPast)
      past.pop_front();
  }

  void world() {
    for (auto &[id, server] : Servers)
      if (Now - server.WrittenAt >= Heartbeat)
        write(id);
    // A server that a restore brought back writes no more.
    std::vector<std::string> dead;
    for (const Item &it : Registry.list("servers/").Items) {
      uint64_t id = std::stoull(it.Key.substr(it.Key.rfind('-') + 1));
      if (!Servers.contains(id) &&
          Now - Ghosts.try_emplace(id, Now).first->second > 3 * Heartbeat)
        dead.push_back(it.Key);
    }
    for (const std::string &it : dead)
      Registry.remove(it);
    if (ReorderAt != Time{} && Now >= ReorderAt) {
      ReorderAt = {};
      writeConfig();
      orderZone();
      disturb();
    }
    Registry.endLeases(Now);
  }

  void act(Instance &it) {
    if (Now - it.FrozenUntil < Step && it.FrozenUntil != Time{})
      it.Watcher.revalidate(Now);
    std::vector<token::Event> events;
    while (auto call = it.Watcher.next(Now)) {
      bool learned = it.Watcher.answered(ask(it, call->Call), Now, events);
      tell(it, events);
      if (learned)
        push(it, true);
      if (Now < it.CutUntil)
        break;
    }
    writeRecords(it);
  }

  RegistryAnswer ask(Instance &it, const RegistryCall &call) {
    ++Calls;
    if (Now < it.CutUntil)
      return {};
    // A read from a copy has the header of the registry as it is.
    if (call.Target.find("serializable") != std::string::npos) {
      RegistryAnswer out = answerOf(Replica[draw(Replica.size())], call);
      out.Generation = Registry.generation();
      return out;
    }
    return answerOf(Registry, call);
  }

  void writeRecords(Instance &it) {
    if (it.Watcher.latestGeneration() &&
        it.Watcher.latestGeneration() != it.ToldRecord) {
      if (it.ToldRecord)
        it.Record.registryRestored();
      it.ToldRecord = it.Watcher.latestGeneration();
    }
    if (!it.Watcher.started())
      return;
    if (auto call = it.Record.next(Now)) {
      checkRenewal(it, *call);
      it.Record.answered(change(it, *call), Now);
    }
    bool mayWrite = it.Watcher.complete() && !it.Watcher.isStale(Now) &&
                    it.Watcher.generationIsCurrent();
    if (!mayWrite)
      return;
    if (auto call = it.Recorder.next(it.Spread.stalenessLimit(), Now))
      it.Recorder.answered(change(it, *call), Now);
    if (auto call = it.Directory.next(it.Watcher.cache(),
                                      it.Spread.stalenessLimit(), Now))
      it.Directory.answered(change(it, *call), Now);
  }

  RegistryAnswer change(Instance &it, const RegistryCall &call) {
    if (call.Method == "GET")
      return ask(it, call);
    ++Calls;
    if (Now < it.CutUntil)
      return {};
    RegistryAnswer out = Registry.change(call, Now, it.Name);
    out.Generation = Registry.generation();
    if (out.Generation > it.ToldRecord) {
      it.Record.registryRestored();
      it.ToldRecord = out.Generation;
      it.Watcher.observeGeneration(out.Generation, Now);
    }
    return out;
  }

  /// A lease is renewed by the instance that it was given to alone, once that
  /// knows of the restore.
  void checkRenewal(const Instance &it, const RegistryCall &call) {
    constexpr std::string_view Keep = "/-/kv-keep/";
    if (!call.Target.starts_with(Keep) ||
        it.ToldRecord != Registry.generation())
      return;
    auto lease = std::stoll(call.Target.substr(Keep.size()));
    std::string owner = Registry.ownerOf(lease);
    if (!owner.empty() && owner != it.Name)
      fail(it.Name + " renews the lease of " + owner);
  }

  void tell(Instance &it, std::vector<token::Event> &events) {
    bool routes = false;
    for (const token::Event &event : events) {
      if (const auto *news = std::get_if<token::RoutesLearned>(&event))
        it.InForce = std::max(it.InForce, news->Routes.Version.Value);
      routes = routes || std::holds_alternative<token::RoutesLearned>(event) ||
               std::holds_alternative<token::PastRoutesLearned>(event);
      if (const auto *news = std::get_if<token::BackendsLearned>(&event))
        take(it, *news);
    }
    events.clear();
    if (it.Watcher.peers() != it.Known) {
      it.Known = it.Watcher.peers();
      it.Spread.learn(it.Known);
      it.Watcher.setStalenessLimit(it.Spread.stalenessLimit(),
                                   it.Spread.retryMax());
    }
    auto own = it.Known.find(it.Id);
    it.Record.checkRecord(own == it.Known.end() ? nullptr : &own->second,
                          it.Watcher.currentAt());
    if (const token::RouteSet *now = it.Watcher.cache().routes(); now && routes)
      it.Recorder.learn(*now, Now);
    if (routes)
      it.Recorder.learn(it.Watcher.routeHistory(), 60s, Now);
    it.Directory.learn(it.Watcher.cache(), it.Watcher.directorySummary(), Now);
  }

  /// What an instance reads in its first seconds may be old, in any order.
  void take(Instance &it, const token::BackendsLearned &news) {
    for (const token::Registration &server : news.Present) {
      uint64_t n = numberOf(server.Id);
      if (server.Draining)
        it.Drains.insert(n);
      else if (auto known = Servers.find(n);
               Now - it.Since > Settle && it.Drains.contains(n) &&
               known != Servers.end() && known->second.Draining)
        fail(it.Name + " takes a draining server back");
    }
    for (token::BackendId id : news.Ended)
      if (auto server = Servers.find(numberOf(id));
          server != Servers.end() && Now - server->second.Since > Settle &&
          Now - it.Since > Settle)
        fail(it.Name +
             " ends a server that lives: " + std::to_string(id.Value));
  }

  void push(Instance &from, bool asked) {
    if (!from.Watcher.mayPassOn())
      return;
    if (from.PushedTo == Position{})
      from.PushedTo = from.Watcher.cache().position();
    UpdatePush push = from.Watcher.makePush(from.Id, from.PushedTo, Now);
    from.PushedTo = from.Watcher.cache().position();
    from.PushedAsOf = from.Watcher.currentAt();
    for (Address target : from.Spread.targets(asked))
      for (auto &it : Instances)
        if (it->Id.Value == target.Ip && reach(from, *it))
          receive(*it, from, push);
  }
  bool reach(const Instance &a, const Instance &b) const {
    return Now >= a.AloneUntil && Now >= b.AloneUntil && Now >= b.FrozenUntil;
  }

  void receive(Instance &it, Instance &from, const UpdatePush &push) {
    std::vector<token::Event> events;
    if (it.Watcher.needsSeed(push)) {
      it.Watcher.applySeed(from.Watcher.cache().snapshot(), events);
      return tell(it, events);
    }
    Time before = it.Watcher.currentAt();
    bool behind = it.Watcher.applyPush(push, false, Now, events);
    tell(it, events);
    if (behind) {
      auto page =
          from.Watcher.cache().changesSince(it.Watcher.cache().position());
      it.Watcher.applyPull(page ? *page : from.Watcher.cache().snapshot(),
                           !page, Now, events);
      tell(it, events);
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
      FollowedAfter = Now - CalmSince;
    if (Now - CalmSince < Settle + ApplyWithin)
      return;
    for (const auto &it : Instances)
      for (const Order &order : Acknowledged)
        if (Now - order.At > ApplyWithin && it->InForce < order.Version)
          fail(it->Name + " lacks version " + std::to_string(order.Version));
    for (const auto &[id, server] : Servers)
      if (server.Draining && Now - server.DrainedAt > ApplyWithin)
        for (const auto &it : Instances)
          if (Now - it->Since > Settle && !it->Drains.contains(id))
            fail(it->Name + " has not heard of a drain");
  }

  static constexpr size_t MostPast = 100;

  RestoreModelOptions Options;
  std::mt19937_64 Random;
  Time Now = Start;
  Time CalmSince = Start;
  Time ReorderAt;
  Store Registry;
  /// What a restore may bring back.
  std::deque<Store> Past{Registry};
  /// What reads that may be old see, also from before a restore.
  std::deque<Store> Replica{Registry};
  std::map<uint64_t, Server> Servers;
  /// Servers that ended, and since when the registry has them again.
  std::map<uint64_t, Time> Ghosts;
  std::vector<std::unique_ptr<Instance>> Instances;
  std::vector<Order> Acknowledged;
  uint64_t Version = 0;
  uint64_t LastServer = 0;
  uint64_t Started = 0;
  bool ZoneDrained = false;
  uint64_t Calls = 0;
  Duration FollowedAfter = Duration::zero();
  std::string Broken;
};

} // namespace samples::registry

#endif
