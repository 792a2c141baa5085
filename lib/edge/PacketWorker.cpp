#include "PacketWorker.h"

#include <cerrno>
#include <sys/epoll.h>
#include <utility>

namespace chicory::edge {

namespace {

// How long packets may wait for the first registry updates after the start.
// Callers retransmit an opening or data after 200 ms.
constexpr Duration MaxHold = std::chrono::milliseconds(200);
// The loop publishes every 250 ms; the rest allows for a thread that is
// scheduled late. A longer iteration means that the process or its machine was
// suspended.
constexpr Duration MaxIteration = std::chrono::milliseconds(650);
// A packet that waited for longer shows nothing about the present.
constexpr Duration MaxFreshWait = std::chrono::milliseconds(150);
// The maximum age of the state that metrics and readiness probes read.
constexpr Duration PublishInterval = std::chrono::milliseconds(250);

} // namespace

SendBatch::SendBatch(int socket) : Socket(socket) {}

Framing::Buffer SendBatch::nextBuffer() {
  if (Count == Size)
    flush();
  return Framing::Buffer(Buffers[Count]);
}

void SendBatch::add(size_t size, Address to) {
  Addresses[Count] = toSockaddr(to);
  Vectors[Count] = {.iov_base = Buffers[Count].data(), .iov_len = size};
  Messages[Count] = {};
  Messages[Count].msg_hdr.msg_name = &Addresses[Count];
  Messages[Count].msg_hdr.msg_namelen = sizeof(sockaddr_in);
  Messages[Count].msg_hdr.msg_iov = &Vectors[Count];
  Messages[Count].msg_hdr.msg_iovlen = 1;
  ++Count;
}

void SendBatch::flush() {
  size_t at = 0;
  while (at < Count) {
    int n = ::sendmmsg(Socket, &Messages[at], static_cast<unsigned>(Count - at),
                       MSG_DONTWAIT);
    if (n <= 0) {
      // A datagram that can't be sent counts as lost. Its sender retransmits
      // it.
      ++Failures;
      ++at;
      continue;
    }
    at += static_cast<size_t>(n);
  }
  Count = 0;
}

PacketWorker::PacketWorker(const EdgeSettings &settings, const Framing &framing,
                           FileDescriptor packets, SharedState &shared)
    : Format(framing), State(shared), Packets(std::move(packets)),
      Core(settings.Core), Batch(Packets.get()), Probes(Events, settings.Ip),
      Suspension(MaxIteration), Overload({}),
      ReportsOverload(settings.Core.Balancing.OverloadReadiness &&
                      settings.Core.Enabled.OverloadReadiness),
      HoldPackets(settings.Core.Enabled.HoldAtStart) {
  State.PacketWakeup.attach(Events);
  enableArrivalTimes(Packets.get());
}

/// Starts to read packets once routes are known or `HoldUntil` has passed.
/// Earlier packets wait in the socket. Dropping them would cost their callers a
/// retransmission after 200 ms or more, just when all callers return after an
/// outage; the symptom is drops for `no_match` right after the start. Packets
/// that have waited longer than the retransmission timeout are superseded by
/// their copies, so the wait has a limit.
void PacketWorker::startReading(Time now) {
  bool wait =
      HoldPackets && !Core.canForward() && !Core.isReady() && now < HoldUntil;
  if (Reading || wait)
    return;
  Reading = true;
  Events.watch(Packets.get(), EPOLLIN, [this](uint32_t) { readPackets(); });
}

void PacketWorker::run() {
  HoldUntil = steadyNow() + MaxHold;
  while (!State.Stopped) {
    Time now = steadyNow();
    Time next = std::min({Core.nextTick(now), PublishAt, Probes.nextAt()});
    Events.wait(std::max(next - now, Duration::zero()));
    now = steadyNow();
    // A wait that a signal interrupts ends without an event.
    if (checkSuspension(now) && Reading)
      readPackets();
    Suspension.recordIteration(bootTimeNow());
    applyUpdates(now);
    startReading(now);
    applyProbeResults(now);
    reportOverload(now);
    if (now >= Core.nextTick(now) || now >= PublishAt)
      tick(now);
  }
}

bool PacketWorker::checkSuspension(Time now) {
  if (!Suspension.wasSuspended(bootTimeNow()))
    return false;
  if (!std::exchange(PacketsMayBeOld, true))
    handle(token::ProcessResumed{}, now);
  return true;
}

void PacketWorker::readPackets() {
  std::array<iovec, SendBatch::Size> vectors{};
  std::array<mmsghdr, SendBatch::Size> messages{};
  for (size_t n = 0; n < SendBatch::Size; ++n) {
    vectors[n] = {.iov_base = Received[n].data(),
                  .iov_len = Received[n].size()};
    messages[n].msg_hdr.msg_iov = &vectors[n];
    messages[n].msg_hdr.msg_iovlen = 1;
    messages[n].msg_hdr.msg_control = ArrivalTimes[n].Bytes;
    messages[n].msg_hdr.msg_controllen = sizeof(ArrivalTimes[n].Bytes);
  }
  int count = ::recvmmsg(Packets.get(), messages.data(), SendBatch::Size,
                         MSG_DONTWAIT, nullptr);
  Time now = steadyNow();
  checkSuspension(now);
  for (int n = 0; n < count; ++n) {
    token::Bytes raw(Received[n].data(), messages[n].msg_len);
    auto head = Format.read(raw);
    if (!head) {
      ++Stats.BadPackets;
      continue;
    }
    Duration waited =
        waitingTime(messages[n].msg_hdr).value_or(Duration::zero());
    // The caller may have sent this opening again, through another instance.
    // Forwarding this copy could open the flow at a second server, which the
    // flow's token would then name. A caller that still waits retransmits it.
    if (head->Open &&
        (PacketsMayBeOld || isSuperseded(head->OpenCopy, waited))) {
      ++Stats.StaleOpenings;
      continue;
    }
    bool mayBeOld = PacketsMayBeOld || waited >= MaxFreshWait;
    handle(
        token::PacketReceived{.Head = *head, .Raw = raw, .MayBeOld = mayBeOld},
        now);
  }
  bool drained = count < static_cast<int>(SendBatch::Size);
  if (drained)
    PacketsMayBeOld = false;
  Overload.recordRead(drained, now);
  Batch.flush();
  Stats.BatchTime.add(steadyNow() - now);
}

void PacketWorker::handle(const token::Event &event, Time now) {
  Core.handle(event, now, Actions);
  executeActions();
}

void PacketWorker::executeActions() {
  for (const token::Action &it : Actions) {
    if (const auto *forward = std::get_if<token::Forward>(&it)) {
      size_t size = Format.writeForward(*forward, Batch.nextBuffer());
      Batch.add(size, forward->Where);
    } else if (const auto *reset = std::get_if<token::ResetFlow>(&it)) {
      size_t size = Format.writeReset(*reset, Batch.nextBuffer());
      Batch.add(size, Format.callerAddress(reset->Flow));
    } else if (const auto *probe = std::get_if<token::ProbeBackend>(&it)) {
      Probes.start(*probe, steadyNow());
    } else if (const auto *unreachable =
                   std::get_if<token::ReportUnreachable>(&it)) {
      if (State.UnreachableBackends.try_enqueue(unreachable->Id))
        State.ControlWakeup.wake();
    } else if (const auto *health = std::get_if<token::ReportHealth>(&it)) {
      if (State.HealthReports.try_enqueue(*health))
        State.ControlWakeup.wake();
      else
        Stats.HealthReportsDropped += health->To.size();
    } else if (const auto *decision = std::get_if<token::Decision>(&it)) {
      if (!State.Decisions.try_enqueue(*decision))
        ++Stats.LogsDropped;
    }
  }
  Actions.clear();
}

void PacketWorker::applyUpdates(Time now) {
  token::Event event;
  if (State.Stopping && !std::exchange(StopBegun, true))
    handle(token::StopBegun{}, now);
  while (State.Updates.try_dequeue(event))
    handle(event, now);
  Batch.flush();
  if (Core.isReady())
    State.ReadyToServe = true;
}

void PacketWorker::applyProbeResults(Time now) {
  std::vector<token::ProbeEnded> ended = Probes.takeEnded(now);
  for (const token::ProbeEnded &it : ended)
    handle(it, now);
  Batch.flush();
}

void PacketWorker::tick(Time now) {
  handle(token::Tick{}, now);
  Batch.flush();
  if (now >= PublishAt)
    publish(now);
}

/// Updates the state that readiness probes depend on. Also called without a
/// read, because an instance out of rotation gets no packets.
void PacketWorker::reportOverload(Time now) {
  bool overloaded = ReportsOverload && Overload.isOverloaded(now);
  if (overloaded == State.Overloaded)
    return;
  State.BacklogMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                        Overload.longestBacklog())
                        .count();
  State.Overloaded = overloaded;
  State.ControlWakeup.wake();
}

void PacketWorker::publish(Time now) {
  PublishAt = now + PublishInterval;
  Stats.Core = Core.stats();
  Stats.SendFailures = Batch.failures();
  Stats.Flows = Core.flows();
  Stats.Servers = Core.backends().size();
  Stats.Routes = Core.routes().size();
  Stats.RuleVersion = Core.routes().version().Value;
  Stats.Drained = Core.backends().drainedZones();
  Stats.UpdateAgeSeconds =
      std::chrono::duration<double>(now - Core.currentAt()).count();
  State.publish(Stats);
}

} // namespace chicory::edge
