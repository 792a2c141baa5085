#include "chicorybank/daemon/Daemon.h"

#include "Admin.h"
#include "Journal.h"
#include "PacketIo.h"
#include "PlatformWorker.h"

#include "chicorybank/base/Clock.h"
#include "chicorybank/core/Rendezvous.h"
#include "chicorybank/peer/Transport.h"

#include <random>

namespace chicory {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(10);
constexpr Duration WatchCheckInterval = std::chrono::seconds(1);
// Instances per zone that watch the platform.
constexpr size_t WatchersPerZone = 1;
// Packet batches that are handled before the other rings are read.
constexpr int BatchesPerTurn = 16;

} // namespace

/// All parts of a daemon. Also the visitor that executes the core's actions.
class Daemon::Implementation {
public:
  explicit Implementation(Settings settings);

  tl::expected<void, std::string> start();
  void run(const std::atomic<bool> &stopRequested);

  // One overload per type of action.
  void operator()(const SendPacket &action);
  void operator()(const ForwardPacket &action);
  void operator()(const SendQuery &action);
  void operator()(const SendHeartbeat &action) {
    Peers.send(action.To, action.Message);
  }
  void operator()(const PullRules &action) {
    Peers.send(action.From, Store.makeRequest(Config.Self));
  }
  void operator()(const WriteMembers &action) {
    Platform.write(action.Document);
  }
  void operator()(const LogEvent &action) {
    Events.record(action.Event, action.Detail);
  }
  void operator()(const SafeToStop & /*action*/) { Done = true; }

private:
  CoreOptions coreOptions();
  TransportCallbacks callbacks();
  void handle(const Event &event);
  void executeActions();
  void handleControlMessage(ControlMessage message);
  void pushPeerEvent(Event event);
  void learnFromPeer(const RuleDocument &document);
  void drainRings();
  void updateWatching();
  void checkControlBudget();
  bool withinBudget() const { return BytesThisSecond <= ControlBurstBytes; }
  WorkerStats workerStats() const;

  /// Requests for rules are refused while the control bytes of the last second
  /// exceed this. A pull of rules may burst above the configured rate.
  static constexpr uint64_t ControlBurstBytes = 1 << 20;

  Settings Config;
  PeerKey Key;
  CoreRings Rings;
  WorkerCounters Counters;
  Journal Events;
  RuleStore Store;
  FileDescriptor Socket;
  PacketReceiver Receiver;
  PacketSender Sender;
  Transport Peers;
  PlatformWorker Platform;
  AdminServer Admin;
  Core DecisionCore;
  Actions Pending;
  Time NextTick;
  Time NextWatchCheck;
  std::atomic<bool> Watching = true;
  uint64_t BytesBefore = 0;
  std::atomic<uint64_t> BytesThisSecond = 0;
  bool Done = false;
};

Daemon::Implementation::Implementation(Settings settings)
    : Config(std::move(settings)), Key(Config.PeerSecret),
      Events(Config.Self.Id.Value, Config.LogLevel),
      Receiver(Socket, Key, Rings, Counters), Sender(Socket),
      Peers({.Listen = Config.ListenPeers, .Secret = Config.PeerSecret},
            callbacks()),
      Platform(Config, Store, Rings, Counters),
      Admin(Config.Self.Admin, Rings, Counters, Events,
            [this] { return workerStats(); }),
      DecisionCore(coreOptions(), bootTimeNow()) {}

CoreOptions Daemon::Implementation::coreOptions() {
  std::random_device random;
  CoreOptions out = Config.Core;
  out.Self = Config.Self;
  out.Incarnation = random() | 1U;
  out.Seed = random();
  out.EpochMs = bootEpochMs();
  return out;
}

TransportCallbacks Daemon::Implementation::callbacks() {
  return {
      .Message =
          [this](ControlMessage it) { handleControlMessage(std::move(it)); },
      .Refused =
          [this](InstanceId id) { pushPeerEvent(PeerRefused{.Peer = id}); },
      .Fault = [this](Reason why) { Counters.refuse(why); }};
}

void Daemon::Implementation::pushPeerEvent(Event event) {
  if (!Rings.Peers.try_enqueue(std::move(event)))
    Counters.refuse(Reason::RingFull);
}

// Runs on the peers' thread.
void Daemon::Implementation::handleControlMessage(ControlMessage message) {
  if (auto *heartbeat = std::get_if<Heartbeat>(&message))
    return pushPeerEvent(HeartbeatArrived{.Message = std::move(*heartbeat)});
  if (auto *document = std::get_if<RuleDocument>(&message))
    return learnFromPeer(*document);
  // Send from the core's thread: only that thread may use the transport's ring.
  auto request = std::get<RuleRequest>(std::move(message));
  std::lock_guard lock(Rings.TaskLock);
  bool queued = Rings.AdminTasks.try_enqueue([this, request](Core &, Time) {
    if (withinBudget())
      Peers.send(request.Sender, Store.documentFor(request));
    else
      Counters.refuse(Reason::ControlBudget);
  });
  if (!queued)
    Counters.refuse(Reason::RingFull);
}

// Runs on the peers' thread, so that the core's thread compiles no rule sets.
void Daemon::Implementation::learnFromPeer(const RuleDocument &document) {
  auto rules = Store.learn(document.Manifest, document.Pages);
  if (!rules)
    Counters.refuse(Reason::BadPeerMessage);
  else if (*rules)
    pushPeerEvent(RulesLearned{.Rules = *rules});
}

tl::expected<void, std::string> Daemon::Implementation::start() {
  auto socket = bindUdp(Config.ListenPackets);
  if (!socket)
    return tl::make_unexpected(socket.error());
  Socket = std::move(*socket);
  if (auto started = Peers.start(); !started)
    return started;
  if (auto started = Admin.start(); !started)
    return started;
  Receiver.start();
  Platform.start();
  handle(InstancesDiscovered{.Instances = Config.Seeds});
  Events.record("started", formatAddress(Config.ListenPackets));
  return {};
}

void Daemon::Implementation::handle(const Event &event) {
  DecisionCore.handle(event, bootTimeNow(), Pending);
  executeActions();
}

void Daemon::Implementation::executeActions() {
  for (const Action &it : Pending)
    std::visit(*this, it);
  Pending.clear();
}

void Daemon::Implementation::operator()(const SendPacket &action) {
  Sender.add(action.To.value_or(Config.Fabric),
             action.Datagram.isEmpty() ? encodePacket(action.Content)
                                       : action.Datagram);
}

void Daemon::Implementation::operator()(const ForwardPacket &action) {
  const Peer *peer = DecisionCore.membership().find(action.To);
  if (peer == nullptr)
    return Counters.refuse(Reason::PeerUnreachable);
  ForwardedPacketArrived message{
      .Packet = action.Packet, .Hops = action.Hops, .Rules = action.Rules};
  Sender.add(peer->Info.Packets,
             encodePeerDatagram(message, Config.Self.Id, Key));
}

void Daemon::Implementation::operator()(const SendQuery &action) {
  const Peer *peer = DecisionCore.membership().find(action.To);
  if (peer == nullptr)
    return Counters.refuse(Reason::PeerUnreachable);
  PeerDatagram message = std::visit(
      [](const auto &it) { return PeerDatagram(it); }, action.Message);
  Sender.add(peer->Info.Packets,
             encodePeerDatagram(message, Config.Self.Id, Key));
}

void Daemon::Implementation::drainRings() {
  Event event = Tick{};
  for (auto *ring :
       {&Rings.Peers, &Rings.PlatformReader, &Rings.PlatformWriter})
    while (ring->try_dequeue(event))
      handle(event);
  CoreTask task;
  while (Rings.AdminTasks.try_dequeue(task))
    task(DecisionCore, bootTimeNow());
}

void Daemon::Implementation::run(const std::atomic<bool> &stopRequested) {
  EventBatch batch;
  bool stopping = false;
  while (!Done) {
    int batches = 0;
    bool got = Rings.Packets.wait_dequeue_timed(batch, TickInterval.count());
    while (got) {
      Time now = bootTimeNow();
      for (const Event &it : batch)
        DecisionCore.handle(it, now, Pending);
      executeActions();
      got = ++batches < BatchesPerTurn && Rings.Packets.try_dequeue(batch);
    }
    drainRings();
    if (stopRequested && !stopping) {
      stopping = true;
      handle(StopRequested{});
    }
    Time now = bootTimeNow();
    if (now >= NextTick) {
      NextTick = now + TickInterval;
      handle(Tick{});
    }
    if (now >= NextWatchCheck) {
      NextWatchCheck = now + WatchCheckInterval;
      updateWatching();
      checkControlBudget();
    }
    Sender.flush();
  }
  Receiver.stop();
  Platform.stop();
  Admin.stop();
  Peers.stop();
  Events.record("stopped", "");
  Events.stop();
}

void Daemon::Implementation::updateWatching() {
  // Every instance of a zone applies the same rule, so no leader election is
  // needed. If their views of the zone differ, there may be one watcher too
  // many or too few.
  const Membership &members = DecisionCore.membership();
  std::vector<InstanceId> zone;
  for (InstanceId it : members.homes()) {
    const Peer *peer = members.find(it);
    if (it == Config.Self.Id ||
        (peer != nullptr && peer->Info.Zone == Config.Self.Zone))
      zone.push_back(it);
  }
  std::vector<InstanceId> first = rendezvousOrder(0, zone, WatchersPerZone);
  Watching = zone.empty() || std::find(first.begin(), first.end(),
                                       Config.Self.Id) != first.end();
  Platform.setWatching(Watching);
}

void Daemon::Implementation::checkControlBudget() {
  uint64_t bytes = Peers.bytesSent();
  BytesThisSecond = bytes - BytesBefore;
  BytesBefore = bytes;
  if (BytesThisSecond <= Config.ControlBytesPerSecond)
    return;
  Counters.refuse(Reason::ControlBudget);
  Events.record("control_budget_exceeded", std::to_string(BytesThisSecond));
}

WorkerStats Daemon::Implementation::workerStats() const {
  return {.ControlBytes = Peers.bytesSent(),
          .PlatformCalls = Platform.calls(),
          .ConsecutivePlatformFailures = Platform.consecutiveFailures(),
          .Watching = Watching};
}

Daemon::Daemon(Settings settings)
    : Impl(std::make_unique<Implementation>(std::move(settings))) {}
Daemon::~Daemon() = default;

tl::expected<void, std::string> Daemon::start() { return Impl->start(); }

void Daemon::run(const std::atomic<bool> &stopRequested) {
  Impl->run(stopRequested);
}

} // namespace chicory
