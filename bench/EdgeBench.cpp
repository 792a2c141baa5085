// Measures how the costs of the edge grow with its size: packets, flow
// openings, registry updates and pushes. docs/CAPACITY.md is derived from these
// figures.
//
//   build/bench-edge          all figures
//   build/bench-edge 20000    registry updates of 20000 servers, and memory

#include "platform/StoreDialect.h"

#include "chicorybank/edge/RegistryWatcher.h"
#include "chicorybank/token/Core.h"

#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>
#include <unistd.h>

using namespace chicory;
using namespace std::chrono_literals;

namespace {

constexpr ServiceId Service{1};
constexpr Address Route{.Ip = 0xc6120001, .Port = 443};

/// Returns the mean time per call in nanoseconds.
template <typename Body> double nanoseconds(size_t times, Body body) {
  auto begin = std::chrono::steady_clock::now();
  for (size_t n = 0; n < times; ++n)
    body(n);
  std::chrono::duration<double, std::nano> elapsed =
      std::chrono::steady_clock::now() - begin;
  return elapsed.count() / static_cast<double>(times);
}

void report(const char *name, size_t size, double value) {
  std::printf("%-28s %8zu %12.1f\n", name, size, value);
}

/// Returns the resident memory of this process in bytes.
double residentBytes() {
  std::ifstream in("/proc/self/statm");
  size_t total = 0;
  size_t resident = 0;
  in >> total >> resident;
  return static_cast<double>(resident) *
         static_cast<double>(::sysconf(_SC_PAGESIZE));
}

token::Registration server(uint64_t id) {
  return {.Id = token::BackendId{id},
          .Service = Service,
          .Where = {.Ip = static_cast<uint32_t>(id), .Port = 80},
          .Zone = "a",
          .Slots = 2};
}

token::FlowPacket packet(size_t flow) {
  return {.Caller = {.Ip = static_cast<uint32_t>(flow >> 14),
                     .Port = static_cast<uint16_t>(flow & 16383)},
          .Route = Route};
}

/// Returns a core that forwards to this many servers of one service.
token::Core servingCore(size_t servers) {
  token::Core core({.Zone = "a"});
  token::Actions actions;
  token::RouteSet routes{.Version = RuleVersion{1}};
  routes.Routes.push_back({.Where = Route, .Services = {{.Service = Service}}});
  Time now{100s};
  core.handle(token::RoutesLearned{routes}, now, actions);
  token::BackendsLearned learned;
  for (uint64_t id = 1; id <= servers; ++id)
    learned.Present.push_back(server(id));
  core.handle(learned, now, actions);
  core.handle(token::BackendsComplete{}, now, actions);
  core.handle(token::FreshnessUpdated{.CurrentAt = now}, now, actions);
  return core;
}

void measureOpenings(size_t servers) {
  token::Core core = servingCore(servers);
  token::Actions actions;
  std::array<std::byte, 32> raw{};
  Time now{100s};
  report("open_ns, by servers", servers, nanoseconds(20'000, [&](size_t n) {
           actions.clear();
           token::FlowPacket head = packet(n);
           head.Open = true;
           core.handle(token::PacketReceived{.Head = head, .Raw = raw}, now,
                       actions);
         }));
}

void measurePackets(size_t flows) {
  token::Core core = servingCore(20);
  token::Actions actions;
  std::array<std::byte, 32> raw{};
  Time now{100s};
  double before = residentBytes();
  auto forward = [&](size_t n) {
    actions.clear();
    token::FlowPacket head = packet(n % flows);
    head.Echo = token::tokenOf(token::BackendId{1 + n % flows % 20});
    core.handle(token::PacketReceived{.Head = head, .Raw = raw}, now, actions);
  };
  nanoseconds(flows, forward);
  report("flow_bytes, by flows", flows,
         (residentBytes() - before) / static_cast<double>(flows));
  report("carry_ns, by flows", flows, nanoseconds(200'000, forward));
  report("sweep_us, by flows", flows, nanoseconds(20, [&](size_t) {
                                        now += 300ms;
                                        actions.clear();
                                        core.handle(token::Tick{}, now,
                                                    actions);
                                      }) / 1000);
}

edge::ItemPage registrations(size_t servers) {
  edge::ItemPage out{.At = {.Revision = static_cast<int64_t>(servers)}};
  for (size_t n = 1; n <= servers; ++n) {
    std::string id = std::to_string(n);
    out.Items.push_back(
        {.Key = "servers/i-" + id,
         .Value = R"({"service":"records","address":"10.0.0.1:80","zone":"a",)"
                  R"("version":"v1","slots":2,"state":"ready","sequence":1})",
         .At = {.Revision = static_cast<int64_t>(n)},
         .Created = static_cast<int64_t>(n)});
  }
  return out;
}

void measureUpdates(size_t servers) {
  platform::StoreDialect dialect;
  std::string body = dialect.serializePage(registrations(servers));
  Findings findings;
  double before = residentBytes();
  edge::RegistryCache cache(dialect);
  double listNs = nanoseconds(
      1, [&](size_t) { cache.replaceAll(*dialect.parsePage(body), findings); });
  report("list_us, by servers", servers, listNs / 1000);
  report("item_bytes, by servers", servers,
         (residentBytes() - before) / static_cast<double>(servers));
  edge::UpdatePush push{.Base = {.Revision = 1}};
  push.Page.Items.assign(3, registrations(1).Items[0]);
  std::string bytes = edge::encodePush(push);
  report("push_bytes, 3 changes", servers, static_cast<double>(bytes.size()));
  report("push_encode_ns", servers,
         nanoseconds(20'000, [&](size_t) { edge::encodePush(push); }));
  report("push_decode_ns", servers, nanoseconds(20'000, [&](size_t) {
           edge::decodePush({bytes.data(), bytes.size()});
         }));
}

} // namespace

int main(int argc, char **argv) {
  // Measures one size alone: memory figures are valid only in a process that
  // has measured nothing before.
  if (argc > 1) {
    measureUpdates(std::stoul(argv[1]));
    return 0;
  }
  std::printf("%-28s %8s %12s\n", "slope", "size", "value");
  report("resident_bytes at rest", 0, residentBytes());
  for (size_t servers : {4, 20, 150, 1000})
    measureOpenings(servers);
  for (size_t flows : {1'000, 10'000, 100'000})
    measurePackets(flows);
  for (size_t servers : {20, 150, 1'000, 20'000})
    measureUpdates(servers);
  return 0;
}
