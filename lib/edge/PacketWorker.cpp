#include "PacketWorker.h"

#include <cerrno>
#include <sys/epoll.h>

namespace chicory::edge {

namespace {

// How long packets wait for the first news after the start: callers send an
// opening or data again after 200 ms.
constexpr Duration HoldAtStart = std::chrono::milliseconds(200);
// The loop publishes each 250 ms; the rest is for a thread that gets its turn
// late. A longer turn shows that the process or its machine stood still.
constexpr Duration LongestTurn = std::chrono::milliseconds(650);
// Metrics and the ready probe look at figures that are at most this old.
constexpr Duration PublishEvery = std::chrono::milliseconds(250);

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
      // A datagram that can't be sent is lost like any other; ends repeat it.
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
    : Frames(framing), Common(shared), Packets(std::move(packets)),
      Core(settings.Core), Batch(Packets.get()), Probes(Events, settings.Ip),
      Turns(LongestTurn), Hold(settings.Core.Enabled.HoldAtStart) {
  Common.PacketWakeup.attach(Events);
}

/// Packets that come before the first news wait in the socket. Dropping them
/// would cost their callers a retransmission of 200 ms or more, just when all
/// of them return after an outage; one sees drops for `no_match` right after
/// the start. Packets that have waited for longer than their callers take to
/// send them again are worth nothing, so the wait has an end.
void PacketWorker::beginReading(Time now) {
  bool wait = Hold && !Core.canForward() && !Core.isReady() && now < HoldUntil;
  if (Reading || wait)
    return;
  Reading = true;
  Events.watch(Packets.get(), EPOLLIN, [this](uint32_t) { readPackets(); });
}

void PacketWorker::run() {
  HoldUntil = steadyNow() + HoldAtStart;
  while (!Common.Stopped) {
    Time now = steadyNow();
    Time next = std::min({Core.nextTick(now), PublishAt, Probes.nextAt()});
    Events.wait(std::max(next - now, Duration::zero()));
    now = steadyNow();
    Turns.recordTurn(bootTimeNow());
    takeNews(now);
    beginReading(now);
    takeProbes(now);
    if (now >= Core.nextTick(now) || now >= PublishAt)
      tick(now);
  }
}

void PacketWorker::readPackets() {
  std::array<iovec, SendBatch::Size> vectors{};
  std::array<mmsghdr, SendBatch::Size> messages{};
  for (size_t n = 0; n < SendBatch::Size; ++n) {
    vectors[n] = {.iov_base = Received[n].data(),
                  .iov_len = Received[n].size()};
    messages[n].msg_hdr.msg_iov = &vectors[n];
    messages[n].msg_hdr.msg_iovlen = 1;
  }
  int count = ::recvmmsg(Packets.get(), messages.data(), SendBatch::Size,
                         MSG_DONTWAIT, nullptr);
  Time now = steadyNow();
  if (Turns.wasSuspended(bootTimeNow()))
    StaleOpenings = true;
  for (int n = 0; n < count; ++n) {
    token::Bytes raw(Received[n].data(), messages[n].msg_len);
    auto head = Frames.read(raw);
    if (!head) {
      ++Stats.BadPackets;
      continue;
    }
    // A copy of an old opening may have opened the flow elsewhere meanwhile. A
    // second server that answers would get the flow's token; a caller that
    // still waits sends a copy.
    if (StaleOpenings && head->Open) {
      ++Stats.StaleOpenings;
      continue;
    }
    handle(token::PacketReceived{.Head = *head, .Raw = raw}, now);
  }
  if (count < static_cast<int>(SendBatch::Size))
    StaleOpenings = false;
  Batch.flush();
  Stats.BatchTime.add(steadyNow() - now);
}

void PacketWorker::handle(const token::Event &event, Time now) {
  Core.handle(event, now, Actions);
  carryOut();
}

void PacketWorker::carryOut() {
  for (const token::Action &it : Actions) {
    if (const auto *forward = std::get_if<token::Forward>(&it)) {
      size_t size = Frames.writeForward(*forward, Batch.nextBuffer());
      Batch.add(size, forward->Where);
    } else if (const auto *reset = std::get_if<token::ResetFlow>(&it)) {
      size_t size = Frames.writeReset(*reset, Batch.nextBuffer());
      Batch.add(size, Frames.callerAddress(reset->Flow));
    } else if (const auto *probe = std::get_if<token::ProbeBackend>(&it)) {
      Probes.start(*probe, steadyNow());
    } else if (const auto *doubt = std::get_if<token::ReportUnreachable>(&it)) {
      if (Common.UnreachableBackends.try_enqueue(doubt->Id))
        Common.ControlWakeup.wake();
    } else if (const auto *decision = std::get_if<token::Decision>(&it)) {
      if (!Common.Decisions.try_enqueue(*decision))
        ++Stats.LogsDropped;
    }
  }
  Actions.clear();
}

void PacketWorker::takeNews(Time now) {
  token::Event event;
  while (Common.Updates.try_dequeue(event))
    handle(event, now);
  Batch.flush();
  if (Core.isReady())
    Common.ReadyToServe = true;
}

void PacketWorker::takeProbes(Time now) {
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

void PacketWorker::publish(Time now) {
  PublishAt = now + PublishEvery;
  Stats.Core = Core.stats();
  Stats.SendFailures = Batch.failures();
  Stats.Flows = Core.flows();
  Stats.Servers = Core.backends().size();
  Stats.Routes = Core.routes().size();
  Stats.RuleVersion = Core.routes().version().Value;
  Stats.Drained = Core.backends().drainedZones();
  Stats.UpdateAgeSeconds =
      std::chrono::duration<double>(now - Core.currentAt()).count();
  Common.publish(Stats);
}

} // namespace chicory::edge
