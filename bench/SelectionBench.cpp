// Compares the time of one selection among the subset of an instance with the
// walk over all servers of a service, by the number of servers.
//
//   build/bench-selection
//
// One instance of 80 in three zones opens 20 flows a second, so that every
// fifth selection finds the list of servers due for a refresh.

#include "chicorybank/token/Core.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <string>

using namespace chicory;
using namespace chicory::token;
using namespace std::chrono_literals;

namespace {

constexpr ServiceId Service{1};
constexpr Address Route{.Ip = 0xc6120001, .Port = 443};
constexpr InstanceId Self{1};
constexpr uint32_t InstanceCount = 80;
constexpr Duration Gap = 50ms;
constexpr Time Start{100s};
constexpr int Batches = 5;
constexpr int BatchSize = 400;

std::string zoneOf(uint64_t n) {
  return std::string(1, static_cast<char>('a' + n % 3));
}

Registration server(uint64_t id) {
  return {.Id = BackendId{id},
          .Service = Service,
          .Where = {.Ip = static_cast<uint32_t>(id), .Port = 80},
          .Zone = zoneOf(id),
          .Slots = 2};
}

std::vector<ZonedInstance> fleet() {
  std::vector<ZonedInstance> out;
  for (uint32_t id = 1; id <= InstanceCount; ++id)
    out.push_back({.Id = InstanceId{id}, .Zone = zoneOf(id)});
  return out;
}

/// Returns the mean time in nanoseconds of the fastest of some batches: other
/// processes can only make a batch slower. `body` returns the time of one run.
template <typename Body> double fastestMean(Body body) {
  double out = 0;
  for (int batch = 0; batch < Batches; ++batch) {
    std::chrono::duration<double, std::nano> sum{0};
    for (int n = 0; n < BatchSize; ++n)
      sum += body();
    double mean = sum.count() / BatchSize;
    out = batch == 0 ? mean : std::min(out, mean);
  }
  return out;
}

template <typename Body> auto timed(Body body) {
  auto begin = std::chrono::steady_clock::now();
  body();
  return std::chrono::steady_clock::now() - begin;
}

/// Times the openings of flows by a core. Each flow is reset at once, so that
/// the load stays the same.
double openingNs(uint64_t servers, bool outlierDetection) {
  Core core({.Zone = zoneOf(Self.Value),
             .Self = Self,
             .Balancing = {.OutlierDetection = outlierDetection}});
  Actions actions;
  Time now = Start;
  RouteSet routes{.Version = RuleVersion{1}};
  routes.Routes.push_back({.Where = Route, .Services = {{.Service = Service}}});
  BackendsLearned learned;
  for (uint64_t id = 1; id <= servers; ++id)
    learned.Present.push_back(server(id));
  core.handle(RoutesLearned{routes}, now, actions);
  core.handle(InstancesLearned{fleet()}, now, actions);
  core.handle(learned, now, actions);
  core.handle(BackendsComplete{}, now, actions);
  std::array<std::byte, 32> raw{};
  uint16_t port = 0;
  return fastestMean([&] {
    now += Gap;
    core.handle(FreshnessUpdated{.CurrentAt = now}, now, actions);
    actions.clear();
    FlowPacket head{.Caller = {.Ip = 1, .Port = ++port}, .Route = Route};
    head.Open = true;
    auto out = timed([&] {
      core.handle(PacketReceived{.Head = head, .Raw = raw}, now, actions);
    });
    head.Open = false;
    head.Reset = true;
    if (const auto *sent = std::get_if<Forward>(&actions.front()))
      head.Echo = tokenOf(sent->To);
    core.handle(PacketReceived{.Head = head, .Raw = raw}, now, actions);
    return out;
  });
}

struct SelectionTimes {
  double SelectNs = 0;
  double RefreshNs = 0; // Without a change.
  double RebuildNs = 0;
  size_t Members = 0;
};

SelectionTimes selectionTimes(uint64_t count) {
  Backends servers({});
  for (uint64_t id = 1; id <= count; ++id)
    servers.applyRegistration(server(id), Start);
  std::string zone = zoneOf(Self.Value);
  ServerSelector selector(zone, Self, {});
  selector.setInstances(fleet());
  ServerSubsets subsets(zone, Self, {});
  subsets.setInstances(fleet());
  Time now = Start;
  SelectionTimes out;
  ServerSelector::Eligible eligible = [&](BackendIndex i) {
    return servers.at(i).acceptsNewFlows();
  };
  out.SelectNs = fastestMean([&] {
    now += Gap;
    Selection found;
    auto took = timed([&] {
      found = selector.select({.Service = Service}, servers, eligible, now);
    });
    if (found.Server != NoBackend)
      selector.onFlowOpened(found.Server, servers, now);
    return took;
  });
  out.RefreshNs = fastestMean([&] {
    now += 1s;
    return timed([&] { subsets.refresh(Service, servers, now); });
  });
  bool drained = false;
  out.RebuildNs = fastestMean([&] {
    now += 1s;
    servers.at(0).ZoneDrained = drained = !drained;
    return timed([&] { subsets.refresh(Service, servers, now); });
  });
  std::vector<SubsetMember> members;
  subsets.select(
      Service, zone, [](BackendIndex) { return true; }, members);
  out.Members = members.size();
  return out;
}

} // namespace

int main() {
  std::printf("%8s %8s %12s %12s %12s %12s %12s\n", "servers", "members",
              "select_ns", "open_scan_ns", "open_sub_ns", "refresh_ns",
              "rebuild_ns");
  for (uint64_t servers : {4, 40, 1'000, 10'000}) {
    SelectionTimes times = selectionTimes(servers);
    std::printf("%8llu %8zu %12.0f %12.0f %12.0f %12.0f %12.0f\n",
                static_cast<unsigned long long>(servers), times.Members,
                times.SelectNs, openingNs(servers, false),
                openingNs(servers, true), times.RefreshNs, times.RebuildNs);
  }
  return 0;
}
