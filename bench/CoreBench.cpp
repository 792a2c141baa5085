// Measures the costs of the core: decisions, rule matching, memory, messages.
//
//   build/bench-core            all figures, one "name value unit" a line
//   build/bench-core --json     for tools/capacity
//
// Each time is the median of several rounds in this process; no figure is
// asserted, so a slow machine fails no test.

#include "chicorybank/core/Core.h"
#include "chicorybank/peer/Messages.h"
#include "chicorybank/rules/RuleMatcher.h"
#include "chicorybank/rules/RulePages.h"

#include "chicorybank/base/Hash.h"
#include "chicorybank/core/FlowTable.h"

#include <CLI/CLI.hpp>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <malloc.h>
#include <random>

namespace {

using namespace chicory;
using Clock = std::chrono::steady_clock;

constexpr int Rounds = 7;
constexpr uint32_t RecordsIp = 0x0a010001;
constexpr Time Start{std::chrono::seconds(1000)};

struct Figure {
  std::string Name;
  double Value;
  std::string Unit;
};

std::vector<Figure> Figures;

void report(const std::string &name, double value, const std::string &unit) {
  Figures.push_back({name, value, unit});
  std::fprintf(stderr, "%-40s %12.1f %s\n", name.c_str(), value, unit.c_str());
}

/// Returns the time per call in nanoseconds: the median over rounds of `count`
/// calls each.
double nanoseconds(size_t count, const std::function<void(size_t)> &call) {
  std::vector<double> times;
  for (int round = 0; round < Rounds; ++round) {
    Clock::time_point begin = Clock::now();
    for (size_t i = 0; i < count; ++i)
      call(i);
    std::chrono::duration<double, std::nano> elapsed = Clock::now() - begin;
    times.push_back(elapsed.count() / static_cast<double>(count));
  }
  std::sort(times.begin(), times.end());
  return times[times.size() / 2];
}

FlowKey flow(uint32_t n) {
  return {.Source = {.Ip = 0x0ac80000 + n / 60000,
                     .Port = static_cast<uint16_t>(n % 60000)},
          .Destination = {.Ip = RecordsIp, .Port = 443},
          .Protocol = 17};
}

RuleSet ruleSet(uint32_t rules, uint32_t targets) {
  RuleSet out;
  out.Version = RuleVersion{1};
  Service service{.Name = "records",
                  .Id = shortServiceId(serviceIdOf("records")),
                  .Connections = 1'000'000};
  for (uint32_t i = 0; i < targets; ++i)
    service.Targets.push_back(
        {.Id = {.Ip = 0x7f000000 + i, .Port = 9000}, .Zone = "a"});
  out.Services.push_back(service);
  for (uint32_t i = 0; i + 1 < rules; ++i)
    out.Rules.push_back(
        {.Name = "r" + std::to_string(i),
         .Sources = {{.Ip = (0xc0000000 + (i << 8)) & prefixMask(24),
                      .Length = 24}},
         .Destinations = {{.Ip = 0x0a000000 + i,
                           .Length = static_cast<uint8_t>(i % 2 ? 32 : 24)}},
         .Ports = {{.First = static_cast<uint16_t>(i % 1000),
                    .Last = static_cast<uint16_t>(i % 1000)}}});
  for (Rule &it : out.Rules)
    for (Prefix &prefix : it.Destinations)
      prefix.Ip &= prefixMask(prefix.Length);
  out.Rules.push_back({.Name = "last",
                       .Destinations = {{.Ip = RecordsIp, .Length = 32}},
                       .Service = service.Id});
  return out;
}

PacketInFlight packet(PacketKind kind, uint32_t n) {
  PacketInFlight out;
  out.Content.Kind = kind;
  out.Content.Flow = flow(n);
  out.Datagram = QByteArray(200, 'x');
  return out;
}

/// Returns a live core of a deployment with one instance.
Core liveCore(uint32_t flows, uint32_t rules) {
  CoreOptions options{.Self = {.Id = InstanceId{1}}};
  options.Flows.MaxFlows = flows + 10;
  Core core(options, Start);
  Actions actions;
  core.handle(RulesLearned{.Rules = std::make_shared<const CompiledRules>(
                               ruleSet(rules, 15))},
              Start, actions);
  core.handle(Tick{}, Start + std::chrono::seconds(2), actions);
  return core;
}

void measureDecisions() {
  for (uint32_t flows : {10'000U, 100'000U, 1'000'000U}) {
    Core core = liveCore(flows, 10);
    Actions actions;
    Time now = Start + std::chrono::seconds(3);
    Clock::time_point begin = Clock::now();
    for (uint32_t i = 0; i < flows; ++i) {
      core.handle(PacketArrived{.Packet = packet(PacketKind::Open, i)}, now,
                  actions);
      actions.clear();
    }
    std::chrono::duration<double, std::nano> elapsed = Clock::now() - begin;
    std::string suffix = "_" + std::to_string(flows);
    report("open_ns" + suffix, elapsed.count() / flows, "ns");
    std::mt19937 random(1);
    std::vector<Event> events;
    events.reserve(10'000);
    for (int i = 0; i < 10'000; ++i)
      events.emplace_back(
          PacketArrived{.Packet = packet(PacketKind::Data, random() % flows)});
    report("established_ns" + suffix,
           nanoseconds(events.size(),
                       [&](size_t i) {
                         core.handle(events[i], now, actions);
                         actions.clear();
                       }),
           "ns");
    FlowTable table(flows);
    report("flow_bytes" + suffix,
           static_cast<double>(table.memoryBytes()) / flows, "bytes");
    report("lookup_ns" + suffix,
           nanoseconds(100'000,
                       [&](size_t i) {
                         if (table.find(flow(static_cast<uint32_t>(i) %
                                             flows)) != nullptr)
                           std::abort();
                       }),
           "ns");
  }
}

void measureMatching() {
  for (uint32_t count : {10U, 1000U, 20'000U}) {
    RuleSet rules = ruleSet(count, 15);
    std::string suffix = "_" + std::to_string(count);
    Clock::time_point begin = Clock::now();
    RuleMatcher matcher(rules.Rules);
    std::chrono::duration<double, std::micro> elapsed = Clock::now() - begin;
    report("compile_us" + suffix, elapsed.count(), "us");
    size_t found = 0;
    report("match_ns" + suffix,
           nanoseconds(100'000,
                       [&](size_t i) {
                         found +=
                             matcher.firstMatch(flow(static_cast<uint32_t>(i)))
                                 ? 1
                                 : 0;
                       }),
           "ns");
    report("walk_ns" + suffix,
           nanoseconds(1000,
                       [&](size_t i) {
                         FlowKey key = flow(static_cast<uint32_t>(i));
                         for (const Rule &it : rules.Rules)
                           if (matches(it, key)) {
                             ++found;
                             break;
                           }
                       }),
           "ns");
    report("matcher_bytes" + suffix, static_cast<double>(matcher.memoryBytes()),
           "bytes");
    if (found == 0)
      std::abort();
  }
}

/// Returns the heap bytes that a compiled rule set takes.
double compiledBytes(uint32_t rules, uint32_t targets) {
  size_t before = ::mallinfo2().uordblks;
  auto compiled =
      std::make_unique<const CompiledRules>(ruleSet(rules, targets));
  size_t after = ::mallinfo2().uordblks;
  return static_cast<double>(after - before);
}

/// Returns the heap bytes that are kept of a rule set after its replacement.
double pastBytes(uint32_t rules, uint32_t targets) {
  CompiledRules compiled(ruleSet(rules, targets));
  size_t before = ::mallinfo2().uordblks;
  auto past = std::make_unique<const PastRules>(compiled);
  size_t after = ::mallinfo2().uordblks;
  return static_cast<double>(after - before);
}

void measureRuleMemory() {
  double pastBase = pastBytes(1000, 100);
  report("past_bytes_per_rule", (pastBytes(11'000, 100) - pastBase) / 10'000,
         "bytes");
  report("past_bytes_per_target", (pastBytes(1000, 10'100) - pastBase) / 10'000,
         "bytes");
  double base = compiledBytes(1000, 100);
  report("bytes_per_rule", (compiledBytes(11'000, 100) - base) / 10'000,
         "bytes");
  report("bytes_per_target", (compiledBytes(1000, 10'100) - base) / 10'000,
         "bytes");
}

void measureRuleChange() {
  for (uint32_t count : {100U, 1000U, 10'000U}) {
    RuleSet rules = ruleSet(count, 15);
    PageStore pages;
    RuleManifest before = paginate(rules, pages);
    std::string suffix = "_" + std::to_string(count);
    report("assemble_us" + suffix,
           nanoseconds(20,
                       [&](size_t) {
                         if (!assemble(before, pages))
                           std::abort();
                       }) /
               1000,
           "us");
    rules.Rules.insert(rules.Rules.begin() + count / 2, {.Name = "new"});
    PageStore after = pages;
    RuleManifest manifest = paginate(rules, after);
    qsizetype changed = 0;
    for (const auto &[id, bytes] : after)
      if (!pages.contains(id))
        changed += bytes.size();
    report("change_page_bytes" + suffix, static_cast<double>(changed), "bytes");
    report("manifest_bytes" + suffix,
           static_cast<double>(encodeManifest(manifest).size()), "bytes");
    report("pages" + suffix, static_cast<double>(manifest.allPages().size()),
           "pages");
  }
}

Heartbeat heartbeat(uint32_t group) {
  Heartbeat out{.Sender = {.Id = InstanceId{100}},
                .Incarnation = 0xffffffff,
                .Sequence = 100'000,
                .Echo = 100'000,
                .EchoIncarnation = 0xffffffff,
                .State = InstanceState::Live,
                .Rules = RuleVersion{100'000},
                .Members = MembersVersion{100'000}};
  for (uint32_t i = 0; i + 1 < group; ++i)
    out.ReachablePeers.push_back(InstanceId{100 + i});
  return out;
}

void measureControl() {
  // Each message also carries a length, a message code and a frame header.
  constexpr double Framing = 4 + MessageMacBytes + 9;
  PeerKey key("a key for measurements");
  for (uint32_t group : {7U, 14U, 28U}) {
    std::string suffix = "_" + std::to_string(group);
    QByteArray bytes = encodeControl(heartbeat(group));
    report("heartbeat_bytes" + suffix,
           static_cast<double>(bytes.size()) + Framing, "bytes");
    report("heartbeat_send_ns" + suffix,
           nanoseconds(2000,
                       [&](size_t) {
                         QByteArray out = encodeControl(heartbeat(group));
                         if (key.mac(out).isEmpty())
                           std::abort();
                       }),
           "ns");
    report("heartbeat_receive_ns" + suffix,
           nanoseconds(2000,
                       [&](size_t) {
                         if (key.mac(bytes).isEmpty() || !decodeControl(bytes))
                           std::abort();
                       }),
           "ns");
  }
}

void measureTick() {
  for (uint32_t flows : {10'000U, 100'000U}) {
    Core core = liveCore(flows, 10);
    Actions actions;
    Time now = Start + std::chrono::seconds(3);
    for (uint32_t i = 0; i < flows; ++i) {
      core.handle(PacketArrived{.Packet = packet(PacketKind::Open, i)}, now,
                  actions);
      actions.clear();
    }
    report("tick_ns_" + std::to_string(flows),
           nanoseconds(2000,
                       [&](size_t) {
                         core.handle(Tick{}, now, actions);
                         actions.clear();
                       }),
           "ns");
  }
}

void measureCodec() {
  QByteArray datagram = encodePacket({.Kind = PacketKind::Data,
                                      .Flow = flow(1),
                                      .Payload = QByteArray(200, 'x')});
  report("decode_head_ns",
         nanoseconds(20'000,
                     [&](size_t) {
                       if (!decodePacketHeader(datagram))
                         std::abort();
                     }),
         "ns");
  report("decode_packet_ns",
         nanoseconds(20'000,
                     [&](size_t) {
                       if (!decodePacket(datagram))
                         std::abort();
                     }),
         "ns");
  PeerKey key("a key for measurements");
  ForwardedPacketArrived message{.Hops = 1};
  message.Packet.Datagram = datagram;
  QByteArray passedOn = encodePeerDatagram(message, InstanceId{1}, key);
  report("pass_on_encode_ns",
         nanoseconds(20'000,
                     [&](size_t) {
                       (void)encodePeerDatagram(message, InstanceId{1}, key);
                     }),
         "ns");
  report("pass_on_decode_ns",
         nanoseconds(20'000,
                     [&](size_t) {
                       if (!decodePeerDatagram(passedOn, key))
                         std::abort();
                     }),
         "ns");
}

} // namespace

int main(int argc, char **argv) {
  CLI::App app("Measures the costs of the core.");
  bool json = false;
  app.add_flag("--json", json, "Print one JSON object");
  CLI11_PARSE(app, argc, argv);
  measureCodec();
  measureDecisions();
  measureMatching();
  measureRuleMemory();
  measureRuleChange();
  measureControl();
  measureTick();
  QJsonObject out;
  for (const Figure &it : Figures)
    out[QString::fromStdString(it.Name)] = it.Value;
  if (json)
    std::printf("%s\n", QJsonDocument(out).toJson().constData());
  return 0;
}
