// Fixtures for tests of the token path.

#ifndef CHICORYBANK_TESTS_TOKENSAMPLES_H
#define CHICORYBANK_TESTS_TOKENSAMPLES_H

#include "chicorybank/token/Core.h"

#include <array>

namespace samples::token {

using namespace chicory;              // NOLINT: a header of tests alone.
using namespace chicory::token;       // NOLINT
using namespace std::chrono_literals; // NOLINT

inline constexpr Address Feed{.Ip = 0xc6120001, .Port = 443};
inline constexpr Address Papers{.Ip = 0xc6120002, .Port = 443};
inline constexpr ServiceId Records{1};
inline constexpr ServiceId Certificates{2};
inline constexpr Time Start{100s};

inline Registration server(uint64_t id, ServiceId service = Records) {
  return {.Id = BackendId{id},
          .Service = service,
          .Where = {.Ip = 0x0a800000 + static_cast<uint32_t>(id), .Port = 80},
          .Zone = "a",
          .Slots = 2};
}

inline RouteSet bothRoutes(uint64_t version) {
  RouteSet out{.Version = RuleVersion{version}};
  out.Routes.push_back({.Where = Feed, .Services = {{.Service = Records}}});
  out.Routes.push_back(
      {.Where = Papers, .Services = {{.Service = Certificates}}});
  return out;
}

/// A flow of a caller, and the packets that the caller sends.
struct Caller {
  uint16_t Port = 1000;
  Address Route = Feed;
  Token Echo;

  FlowPacket packet() const {
    return {.Caller = {.Ip = 0x64400001, .Port = Port},
            .Route = Route,
            .Echo = Echo};
  }
  FlowPacket open(uint8_t copy = 0) const {
    FlowPacket out = packet();
    out.Open = true;
    out.OpenCopy = copy;
    out.Echo = {};
    return out;
  }
  FlowPacket ack(uint32_t acknowledged = 1) const {
    FlowPacket out = packet();
    out.Acknowledged = acknowledged;
    return out;
  }
  FlowPacket data(uint32_t sequence, uint32_t acknowledged = 1) const {
    FlowPacket out = ack(acknowledged);
    out.Sequence = sequence;
    out.DataBytes = 100;
    return out;
  }
};

/// A core with a simulated clock.
struct Instance {
  explicit Instance(CoreOptions options = {.Zone = "a"})
      : UnderTest(std::move(options)) {}

  Actions handle(const Event &event) {
    Actions out;
    UnderTest.handle(event, Now, out);
    return out;
  }
  /// Handles a packet with fixed bytes.
  Actions packet(const FlowPacket &head) {
    return handle(PacketReceived{.Head = head, .Raw = Raw});
  }
  /// Advances the clock in ticks; with `current`, the updates are confirmed as
  /// current at each tick.
  Actions pass(Duration time, bool current = true) {
    Actions out;
    for (Time end = Now + time; Now < end;) {
      Now += 10ms;
      if (current)
        UnderTest.handle(FreshnessUpdated{.CurrentAt = Now}, Now, out);
      UnderTest.handle(Tick{}, Now, out);
    }
    return out;
  }
  /// Advances the clock like `pass`; the servers that are probed meanwhile do
  /// not answer.
  Actions passWithoutAnswers(Duration time) {
    Actions out;
    for (Time end = Now + time; Now < end;) {
      Actions step = pass(10ms);
      for (const Action &it : step)
        if (const auto *probe = std::get_if<ProbeBackend>(&it))
          Waiting.emplace_back(Now + probe->Timeout, probe->Id);
      out.insert(out.end(), step.begin(), step.end());
      auto due = std::exchange(Waiting, {});
      for (const auto &[at, id] : due) {
        if (at > Now) {
          Waiting.emplace_back(at, id);
          continue;
        }
        Actions ended =
            handle(ProbeEnded{.Id = id, .Outcome = ProbeOutcome::Failed});
        for (const Action &it : ended)
          if (const auto *probe = std::get_if<ProbeBackend>(&it))
            Waiting.emplace_back(Now + probe->Timeout, probe->Id);
        out.insert(out.end(), ended.begin(), ended.end());
      }
    }
    return out;
  }
  /// Provides everything that the core needs to be ready.
  void configure(std::vector<Registration> servers, uint64_t version = 1) {
    handle(RoutesLearned{bothRoutes(version)});
    handle(BackendsLearned{.Present = std::move(servers)});
    handle(BackendsComplete{});
    handle(FreshnessUpdated{.CurrentAt = Now});
  }

  Time Now = Start;
  Core UnderTest;
  std::array<std::byte, 32> Raw{};
  /// Probes under way, with the end of their timeouts.
  std::vector<std::pair<Time, BackendId>> Waiting;
};

/// Returns the actions of one type.
template <typename T> std::vector<T> filter(const Actions &actions) {
  std::vector<T> out;
  for (const Action &it : actions)
    if (const T *one = std::get_if<T>(&it))
      out.push_back(*one);
  return out;
}

/// Returns the server that the packet was sent to, or zero.
inline uint64_t sentTo(const Actions &actions) {
  auto sent = filter<Forward>(actions);
  return sent.size() == 1 ? sent[0].To.Value : 0;
}

/// Returns the reason of the reset, or `None` without one.
inline Reason resetReason(const Actions &actions) {
  auto resets = filter<ResetFlow>(actions);
  return resets.size() == 1 ? resets[0].Why : Reason::None;
}

/// Returns true if nothing was sent and nothing was reset.
inline bool isIgnored(const Actions &actions) {
  return filter<Forward>(actions).empty() && filter<ResetFlow>(actions).empty();
}

} // namespace samples::token

#endif
