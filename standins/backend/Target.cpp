#include "Target.h"

#include <algorithm>
#include <chrono>
#include <sys/socket.h>

namespace standin {

namespace {

using chicory::Packet;
using chicory::PacketKind;
using chicory::Reason;

constexpr size_t MaxDatagram = 2048;
constexpr int MaxReadsPerPoll = 256;
constexpr qsizetype PartBytes = 200;

int64_t wallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

BackendTarget::BackendTarget(std::string service,
                             chicory::FileDescriptor socket,
                             chicory::Address fabric,
                             const BackendOptions &options, SharedState &shared,
                             uint64_t seed)
    : Service(std::move(service)), Socket(std::move(socket)),
      Self(chicory::boundAddress(Socket)), Fabric(fabric), Options(options),
      Shared(shared), Random(seed) {}

void BackendTarget::receive(int64_t nowMs) {
  for (int n = 0; n < MaxReadsPerPoll; ++n) {
    QByteArray buf(MaxDatagram, '\0');
    sockaddr_in raw{};
    socklen_t size = sizeof(raw);
    ssize_t got = ::recvfrom(Socket.get(), buf.data(), MaxDatagram, 0,
                             reinterpret_cast<sockaddr *>(&raw), &size);
    if (got < 0)
      return;
    buf.truncate(got);
    chicory::Address from = chicory::fromSockaddr(raw);
    bool inside = (from.Ip & CutMask) == CutIp;
    bool cutOff = CutMask != 0 && inside == CutInside;
    auto packet = chicory::decodePacket(buf);
    if (packet && !Stopped && !cutOff)
      handle(*packet, from, nowMs);
  }
}

void BackendTarget::send(const Packet &packet, chicory::Address to) {
  Packet outgoing = packet;
  outgoing.Origin = Self;
  QByteArray bytes = chicory::encodePacket(outgoing);
  sockaddr_in raw = chicory::toSockaddr(to);
  ::sendto(Socket.get(), bytes.constData(), static_cast<size_t>(bytes.size()),
           0, reinterpret_cast<sockaddr *>(&raw), sizeof(raw));
}

void BackendTarget::handle(const Packet &packet, chicory::Address from,
                           int64_t nowMs) {
  switch (packet.Kind) {
  case PacketKind::Open:
    return onOpen(packet, nowMs);
  case PacketKind::Data:
    return onData(packet);
  case PacketKind::Request:
    return onRequest(packet, nowMs);
  case PacketKind::Close:
  case PacketKind::Reset:
    if (Flows.erase(packet.Flow) > 0)
      Shared.Flows.erase(packet.Flow);
    return;
  case PacketKind::Cancel:
    std::erase_if(Running, [&](const Work &it) {
      return it.Request.Flow == packet.Flow &&
             it.Request.Request == packet.Request;
    });
    return;
  case PacketKind::Probe: {
    uint32_t load = MisreportsLoad ? 0 : static_cast<uint32_t>(Running.size());
    Packet report{.Kind = PacketKind::Report,
                  .ToCaller = true,
                  .Flow = packet.Flow,
                  .Part = load,
                  .Draining = Draining && !MisreportsLoad};
    return send(report, from);
  }
  default:
    return;
  }
}

void BackendTarget::countIfMisrouted(const Packet &packet) {
  // Each payload of a caller starts with the name of the intended service.
  if (!packet.Payload.startsWith(QByteArray::fromStdString(Service)))
    ++Shared.Misrouted;
}

void BackendTarget::recordNewWork(int64_t nowMs) {
  if (Draining)
    LastNewAfterDrainMs = std::max(LastNewAfterDrainMs, nowMs - DrainStartMs);
}

void BackendTarget::onOpen(const Packet &packet, int64_t nowMs) {
  countIfMisrouted(packet);
  if (!Flows.contains(packet.Flow)) {
    recordNewWork(nowMs);
    if (Flows.size() >= Options.Connections)
      return send(
          {.Kind = PacketKind::Reset, .ToCaller = true, .Flow = packet.Flow},
          Fabric);
    int64_t phase = static_cast<int64_t>(
        Random() % static_cast<uint64_t>(Options.FeedIntervalMs));
    Flows[packet.Flow] = {.NextMs = nowMs + phase};
    Shared.Flows[packet.Flow] = {.Service = Service, .At = Self};
  }
  send({.Kind = PacketKind::Data,
        .ToCaller = true,
        .Flow = packet.Flow,
        .Payload = "welcome"},
       Fabric);
}

void BackendTarget::onData(const Packet &packet) {
  countIfMisrouted(packet);
  auto holder = Shared.Flows.find(packet.Flow);
  if (holder != Shared.Flows.end() && holder->second.Service != Service)
    ++Shared.Misrouted;
  auto it = Flows.find(packet.Flow);
  if (it == Flows.end())
    return send(
        {.Kind = PacketKind::Reset, .ToCaller = true, .Flow = packet.Flow},
        Fabric);
  if (!it->second.Silent)
    send({.Kind = PacketKind::Data,
          .ToCaller = true,
          .Flow = packet.Flow,
          .Payload = "echo"},
         Fabric);
}

void BackendTarget::refuse(const Packet &request, Reason why) {
  if (why == Reason::TargetShed)
    ++Sheds;
  send({.Kind = PacketKind::Refused,
        .ToCaller = true,
        .Flow = request.Flow,
        .Request = request.Request,
        .Outcome = chicory::RefusedOutcome::NotRun,
        .Why = why},
       Fabric);
}

void BackendTarget::onRequest(const Packet &packet, int64_t nowMs) {
  countIfMisrouted(packet);
  recordNewWork(nowMs);
  if (Draining)
    return refuse(packet, Reason::TargetDraining);
  if (ShedAll || Running.size() >= Options.Slots)
    return refuse(packet, Reason::TargetShed);
  if (packet.DeadlineMs < wallMs())
    return refuse(packet, Reason::TargetDeadline);
  // The request counts as run from here on. The check that a request that is
  // not idempotent runs at most once uses this count.
  ++Shared.Runs[packet.Request.Value];
  if (!packet.Idempotent)
    Shared.NotIdempotent.insert(packet.Request.Value);
  ++Executed;
  std::uniform_int_distribution<int> work(Options.WorkMsMin, Options.WorkMsMax);
  Running.push_back({.EndMs = nowMs + work(Random), .Request = packet});
}

void BackendTarget::sendAnswer(const Packet &request) {
  std::vector<uint32_t> parts;
  for (uint32_t i = 0; i < Options.AnswerParts; ++i)
    parts.push_back(i);
  // Sends the parts in random order to test the reassembly at the caller.
  std::shuffle(parts.begin(), parts.end(), Random);
  for (uint32_t it : parts)
    send({.Kind = PacketKind::Answer,
          .ToCaller = true,
          .Flow = request.Flow,
          .Request = request.Request,
          .Last = it + 1 == Options.AnswerParts,
          .Part = it,
          .Payload = QByteArray(PartBytes, static_cast<char>('a' + it % 26))},
         Fabric);
}

void BackendTarget::tick(int64_t nowMs) {
  for (size_t i = 0; i < Running.size();) {
    if (Running[i].EndMs > nowMs) {
      ++i;
      continue;
    }
    if (!Stopped)
      sendAnswer(Running[i].Request);
    Running.erase(Running.begin() + static_cast<ptrdiff_t>(i));
  }
  for (auto &[flow, feed] : Flows) {
    if (feed.NextMs > nowMs)
      continue;
    feed.NextMs += Options.FeedIntervalMs;
    if (feed.Silent || Stopped)
      continue;
    send({.Kind = PacketKind::Data,
          .ToCaller = true,
          .Flow = flow,
          .Payload = "feed " + QByteArray::number(++feed.Sequence)},
         Fabric);
  }
}

void BackendTarget::setDraining(bool on, int64_t nowMs) {
  Draining = on;
  DrainStartMs = nowMs;
}

void BackendTarget::silenceFlows(double share) {
  std::uniform_real_distribution<double> chance(0, 1);
  for (auto &[flow, feed] : Flows)
    feed.Silent = chance(Random) < share;
}

void BackendTarget::setCut(uint32_t ip, uint32_t mask, bool inside) {
  CutInside = inside;
  CutIp = ip;
  CutMask = mask;
}

} // namespace standin
