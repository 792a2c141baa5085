// A registry for tests: items as text, without a network.

#ifndef CHICORYBANK_TESTS_REGISTRYSAMPLES_H
#define CHICORYBANK_TESTS_REGISTRYSAMPLES_H

#include "platform/StoreDialect.h"

#include "chicorybank/edge/Directory.h"
#include "chicorybank/edge/RegistryWatcher.h"

#include <map>
#include <rapidjson/document.h>

namespace samples::registry {

using namespace chicory;              // NOLINT: a header of tests alone.
using namespace chicory::edge;        // NOLINT
using namespace std::chrono_literals; // NOLINT

inline constexpr Time Start{100s};
inline constexpr int Ok = 200;
inline constexpr int Gone = 410;

/// A position in a store that was never restored.
inline Position at(int64_t revision) {
  return {.Generation = Generation{1}, .Revision = revision};
}

/// A registry's contents and history.
class Store {
public:
  void put(const std::string &key, const std::string &value) {
    ++Revision;
    Item &item = Items[key];
    if (item.Key.empty())
      item = {.Key = key, .Created = Revision};
    item.Value = value;
    item.At = position();
    History.push_back(item);
  }
  void server(uint64_t id, const std::string &state = "ready",
              int sequence = 1) {
    serverAt(id, id, state, sequence);
  }
  /// Writes the registration of a server at the address with a given number.
  void serverAt(uint64_t address, uint64_t id,
                const std::string &state = "ready", int sequence = 1) {
    put("servers/i-" + std::to_string(id),
        R"({"service":"records","address":"10.0.0.)" + std::to_string(address) +
            R"(:80","zone":"a","version":"v1","slots":2,"state":")" + state +
            R"(","warmup_left_ms":0,"sequence":)" + std::to_string(sequence) +
            "}");
  }
  /// Writes an entry with the contents of a server's registration at any key;
  /// one that can't be read without a service.
  void entry(const std::string &key, const std::string &service) {
    put(key,
        R"({"service":")" + service +
            R"(","address":"10.0.0.1:80","zone":"a","version":"v1","slots":2,)" +
            (service.empty() ? "" : R"("state":"ready",)") +
            R"("warmup_left_ms":0,"sequence":1})");
  }
  void config(int version) {
    put("op/config",
        R"({"version":)" + std::to_string(version) + R"(,"routes":[]})");
  }
  void instance(const std::string &ip, const std::string &zone = "a") {
    put("chicorybank/instances/" + ip,
        R"({"zone":")" + zone + R"(","peers":")" + ip + R"(:7720"})");
  }
  void remove(const std::string &key) {
    ++Revision;
    Items.erase(key);
    History.push_back({.Key = key, .At = position(), .Deleted = true});
  }
  ItemPage list(const std::string &prefix = "") const {
    ItemPage out{.At = position()};
    for (const auto &[key, item] : Items)
      if (key.starts_with(prefix))
        out.Items.push_back(item);
    return out;
  }
  const Item *item(const std::string &key) const {
    auto it = Items.find(key);
    return it == Items.end() ? nullptr : &it->second;
  }
  ItemPage since(int64_t revision) const {
    ItemPage out{.At = position()};
    for (const Item &it : History)
      if (it.At.Revision > revision)
        out.Items.push_back(it);
    return out;
  }
  int64_t revision() const { return Revision; }
  Position position() const {
    return {.Generation = Current, .Revision = Revision};
  }
  Generation generation() const { return Current; }
  /// Replaces all contents by an older copy, as a restore does: its revisions
  /// are assigned again, and the history is lost.
  void restore(const Store &backup) {
    Generation next{Current.Value + 1};
    *this = backup;
    Current = next;
    for (auto &[key, item] : Items)
      item.At.Generation = next;
    History.clear();
    HistoryFrom = Revision;
  }
  void dropHistory() {
    History.clear();
    HistoryFrom = Revision;
  }
  /// Returns the instance that created a lease; empty if there is none.
  std::string ownerOf(int64_t lease) const {
    auto it = Leases.find(lease);
    return it == Leases.end() ? std::string() : it->second.Owner;
  }
  /// Ends the leases that were not renewed in time, and their keys.
  void expireLeases(Time now) {
    std::vector<std::string> ended;
    std::erase_if(Leases,
                  [&](const auto &it) { return it.second.EndsAt < now; });
    for (const auto &[key, item] : Items)
      if (item.Lease != 0 && !Leases.contains(item.Lease))
        ended.push_back(key);
    for (const std::string &it : ended)
      remove(it);
  }
  /// Handles a call that writes, or that creates or renews a lease.
  RegistryAnswer change(const RegistryCall &call, Time now,
                        const std::string &owner) {
    constexpr Duration LeaseDuration = 12s;
    constexpr std::string_view Keep = "/-/kv-keep/";
    if (call.Target == "/-/kv-lease") {
      int64_t lease = ++Revision;
      Leases[lease] = {.EndsAt = now + LeaseDuration, .Owner = owner};
      return {.Status = Ok,
              .Body = R"({"lease":)" + std::to_string(lease) + "}"};
    }
    if (call.Target.starts_with(Keep)) {
      auto it = Leases.find(std::stoll(call.Target.substr(Keep.size())));
      if (it == Leases.end())
        return {.Status = 404};
      it->second.EndsAt = now + LeaseDuration;
      return {.Status = Ok, .Body = "{}"};
    }
    return transact(call.Body);
  }
  /// Returns true if the history after a revision is available.
  bool hasHistorySince(int64_t revision) const {
    return revision >= HistoryFrom && revision <= Revision;
  }

private:
  static const rapidjson::Value &member(const rapidjson::Value &of,
                                        const char *name) {
    return of.FindMember(name)->value;
  }
  RegistryAnswer transact(const std::string &body) {
    rapidjson::Document json;
    json.Parse(body.c_str());
    for (const auto &it : member(json, "expect").GetArray()) {
      const Item *known = item(member(it, "key").GetString());
      if ((known ? known->At.Revision : 0) != member(it, "revision").GetInt64())
        return {.Status = 412, .Body = "{}"};
    }
    for (const auto &it : member(json, "puts").GetArray()) {
      int64_t lease = member(it, "lease").GetInt64();
      if (lease != 0 && !Leases.contains(lease))
        return {.Status = 404, .Body = "{}"};
      // Parse the value as the dialect does.
      auto read = platform::StoreDialect().parseItem(
          R"({"key":"x","revision":1,"value":")" +
          std::string(member(it, "value").GetString()) + R"("})");
      put(member(it, "key").GetString(), read->Value);
      Items[member(it, "key").GetString()].Lease = lease;
    }
    return {.Status = Ok,
            .Body = R"({"revision":)" + std::to_string(Revision) + "}"};
  }

  struct Lease {
    Time EndsAt;
    std::string Owner;
  };

  std::map<int64_t, Lease> Leases;
  int64_t Revision = 0;
  Generation Current{1};
  int64_t HistoryFrom = 0;
  std::map<std::string, Item> Items;
  std::vector<Item> History;
};

/// Writes the directory of a cache's contents without a call, for a given
/// number of registered instances.
inline void storeDirectory(Store &store, const RegistryCache &cache,
                           size_t instances) {
  for (const auto &[zone, digest] : cache.registrationDigests())
    store.put("chicorybank/start/zones/" + zone,
              encodeDirectory({.Servers = cache.registrations(zone),
                               .Instances = instances}));
}

/// Returns the body of an answer with one item, under a lease.
inline std::string itemAnswer(const Item &item, int64_t lease = 0) {
  std::string page = platform::StoreDialect().serializePage({.Items = {item}});
  size_t begin = page.find('[') + 1;
  std::string out = page.substr(begin, page.rfind(']') - begin);
  out.insert(out.size() - 1, ",\"lease\":" + std::to_string(lease));
  return out;
}

/// Returns the body of an answer of the registry, which holds bare revisions.
inline std::string bareBody(ItemPage page) {
  page.setGeneration({});
  return platform::StoreDialect().serializePage(page);
}

inline RegistryAnswer answerWithoutGeneration(const Store &store,
                                              const RegistryCall &call) {
  std::string target = call.Target.substr(0, call.Target.find("&serializable"));
  std::string rest = target.substr(target.find('=') + 1);
  if (target.starts_with("/-/kv-key?key=")) {
    const Item *item = store.item(rest);
    if (!item)
      return {.Status = 404};
    return {.Status = Ok, .Body = itemAnswer(*item, item->Lease)};
  }
  if (target.starts_with("/-/kv-range?prefix="))
    return {.Status = Ok, .Body = bareBody(store.list(rest))};
  constexpr std::string_view After = "after=";
  int64_t after = std::stoll(target.substr(target.find(After) + After.size()));
  if (!store.hasHistorySince(after))
    return {.Status = Gone};
  return {.Status = Ok, .Body = bareBody(store.since(after))};
}

/// Returns the answer to any call that reads.
inline RegistryAnswer answerOf(const Store &store, const RegistryCall &call) {
  RegistryAnswer out = answerWithoutGeneration(store, call);
  out.Generation = store.generation();
  return out;
}

/// A watcher with a clock, whose calls a store answers.
struct WatcherFixture {
  explicit WatcherFixture(WatcherTimes times = {}, uint64_t seed = 1)
      : Watcher(Dialect, times, seed, "a") {}

  /// Reads what a start needs: everything before the first list.
  void start(const Store &store) {
    while (!Watcher.started())
      if (stepOnce(store).empty())
        Now = Watcher.nextAt();
  }
  /// Answers the call that is due after those of the start. Returns its target,
  /// or an empty string if none is due.
  std::string step(const Store &store) {
    start(store);
    return stepOnce(store);
  }
  std::string stepOnce(const Store &store) {
    auto call = Watcher.next(Now);
    if (!call)
      return {};
    answer(answerOf(store, call->Call));
    return call->Call.Target;
  }
  bool answer(const RegistryAnswer &answer) {
    return Watcher.answered(answer, Now, Events);
  }
  /// Lets a call fail; returns false if none is due.
  bool fail(int status = 0) {
    if (!Watcher.next(Now))
      return false;
    answer({.Status = status});
    return true;
  }
  /// Returns the events of one type, and drops all events.
  template <typename T> std::vector<T> take() {
    std::vector<T> out;
    for (const token::Event &it : Events)
      if (const T *one = std::get_if<T>(&it))
        out.push_back(*one);
    Events.clear();
    return out;
  }

  platform::StoreDialect Dialect;
  RegistryWatcher Watcher;
  Time Now = Start;
  std::vector<token::Event> Events;
};

} // namespace samples::registry

#endif
