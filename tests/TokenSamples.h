// Short names for what tests of the token path need.

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

/// One caller's flow, and the packets that it sends.
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

/// A core with its clock.
struct Instance {
  explicit Instance(CoreOptions options = {.Zone = "a"})
      : UnderTest(std::move(options)) {}

  Actions handle(const Event &event) {
    Actions out;
    UnderTest.handle(event, Now, out);
    return out;
  }
  /// The packet's bytes are those of its sequence, so that tests know them
  /// again.
  Actions packet(const FlowPacket &head) {
    return handle(PacketReceived{.Head = head, .Raw = Raw});
  }
  /// Moves on in ticks, with the news current all the time.
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
  /// Everything that it needs to serve.
  void learn(std::vector<Registration> servers, uint64_t version = 1) {
    handle(RoutesLearned{bothRoutes(version)});
    handle(BackendsLearned{.Present = std::move(servers)});
    handle(BackendsComplete{});
    handle(FreshnessUpdated{.CurrentAt = Now});
  }

  Time Now = Start;
  Core UnderTest;
  std::array<std::byte, 32> Raw{};
};

template <typename T> std::vector<T> only(const Actions &actions) {
  std::vector<T> out;
  for (const Action &it : actions)
    if (const T *one = std::get_if<T>(&it))
      out.push_back(*one);
  return out;
}

/// Where a packet went; zero for nowhere.
inline uint64_t sentTo(const Actions &actions) {
  auto sent = only<Forward>(actions);
  return sent.size() == 1 ? sent[0].To.Value : 0;
}

/// Why a flow was reset; None where it was not.
inline Reason resetWhy(const Actions &actions) {
  auto resets = only<ResetFlow>(actions);
  return resets.size() == 1 ? resets[0].Why : Reason::None;
}

/// Nothing was sent and nothing was reset.
inline bool silent(const Actions &actions) {
  return only<Forward>(actions).empty() && only<ResetFlow>(actions).empty();
}

} // namespace samples::token

#endif
