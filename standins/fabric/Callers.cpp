#include "Callers.h"

#include <chrono>

namespace standin {

namespace {

using chicory::Address;
using chicory::FlowKey;
using chicory::Packet;
using chicory::PacketKind;

constexpr uint32_t CallerNet = 0x0ac80000; // 10.200.0.0/16
constexpr uint32_t CanaryIp = 0x0a090001;  // 10.9.0.1
constexpr int OpenRetryMs = 500;
constexpr int MaxOpenTries = 12;
constexpr int FirstRetransmitMs = 300;
constexpr int SecondRetransmitMs = 900;
constexpr int ThirdRetransmitMs = 1700;
constexpr int GiveUpAfterDeadlineMs = 1500;
constexpr int CanaryIntervalMs = 10;
constexpr int CanaryRunMs = 4000;
constexpr qsizetype RequestBytes = 300;

int64_t wallClockMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

Callers::Callers(CallerOptions options, uint64_t seed,
                 std::function<void(const QByteArray &)> send)
    : Options(std::move(options)), Random(seed), Send(std::move(send)) {
  // Ids depend on the seed, so that a late answer to an earlier run matches no
  // request.
  NextRequest = (seed << 32) + 1;
  for (int i = 0; i < Options.Feeds; ++i) {
    Feed feed{.Flow = newFlow(Options.Services.front().At),
              .NextMs = static_cast<int64_t>(
                  Random() % static_cast<uint64_t>(Options.RampMs))};
    FeedByFlow[feed.Flow] = Feeds.size();
    Feeds.push_back(feed);
  }
}

FlowKey Callers::newFlow(Address to) {
  uint32_t n = NextCaller++;
  return {.Source = {.Ip = CallerNet + n % 5000,
                     .Port = static_cast<uint16_t>(20000 + n / 5000)},
          .Destination = to,
          .Protocol = 17};
}

void Callers::send(const Packet &packet) { Send(encodePacket(packet)); }

void Callers::tickFeed(Feed &feed, int64_t nowMs) {
  const CalledService &service = Options.Services.front();
  if (feed.Broken)
    return;
  if (feed.Open && nowMs - feed.LastReceivedMs > Options.SilenceLimitMs) {
    feed.Broken = true;
    ++Stats.BrokenBySilence;
    return;
  }
  if (nowMs < feed.NextMs)
    return;
  Packet packet{.Kind = feed.Open ? PacketKind::Data : PacketKind::Open,
                .Flow = feed.Flow,
                .Payload = QByteArray::fromStdString(service.Name)};
  if (!feed.Open && ++feed.Tries > MaxOpenTries) {
    feed.Broken = true;
    ++Stats.FlowsNeverOpened;
    return;
  }
  feed.NextMs = nowMs + (feed.Open ? Options.PingMs : OpenRetryMs);
  send(packet);
}

size_t Callers::pickService() {
  std::vector<double> weights;
  for (const CalledService &it : Options.Services)
    weights.push_back(it.Weight);
  return std::discrete_distribution<size_t>(weights.begin(),
                                            weights.end())(Random);
}

void Callers::newRequest(int64_t nowMs) {
  size_t which = pickService();
  const CalledService &service = Options.Services[which];
  std::uniform_real_distribution<double> uniform(0, 1);
  // Sends half of the requests to the first service over the flow of an open
  // feed.
  const Feed &feed = Feeds.empty() ? Feed{} : Feeds[Random() % Feeds.size()];
  bool onFeed =
      which == 0 && feed.Open && !feed.Broken && uniform(Random) < 0.5;
  Packet request{.Kind = PacketKind::Request,
                 .Flow = onFeed ? feed.Flow : newFlow(service.At),
                 .Request = chicory::RequestId{NextRequest++},
                 .Idempotent = uniform(Random) < Options.IdempotentShare,
                 .DeadlineMs = wallClockMs() + Options.DeadlineMs,
                 .Payload = QByteArray::fromStdString(service.Name + " ") +
                            QByteArray(RequestBytes, 'r')};
  PendingRequest pending{
      .Request = request,
      .SentMs = nowMs,
      .GiveUpMs = nowMs + Options.DeadlineMs + GiveUpAfterDeadlineMs,
      .RetransmitAtMs = {nowMs + ThirdRetransmitMs, nowMs + SecondRetransmitMs,
                         nowMs + FirstRetransmitMs}};
  Pending.emplace(request.Request.Value, pending);
  ++Stats.Requests;
  send(request);
}

void Callers::tickRequests(int64_t nowMs) {
  if (Running) {
    RequestsDue += Options.RequestsPerSecond *
                   static_cast<double>(nowMs - LastTickMs) / 1000;
    for (; RequestsDue >= 1; RequestsDue -= 1)
      newRequest(nowMs);
  }
  for (auto it = Pending.begin(); it != Pending.end();) {
    PendingRequest &pending = it->second;
    if (nowMs >= pending.GiveUpMs) {
      ++Stats.Lost;
      it = Pending.erase(it);
      continue;
    }
    bool retransmit = !pending.RetransmitAtMs.empty() &&
                      pending.RetransmitAtMs.back() <= nowMs;
    if (retransmit) {
      pending.RetransmitAtMs.pop_back();
      send(pending.Request);
    }
    ++it;
  }
}

void Callers::startCanary(uint16_t port, int64_t nowMs) {
  Canaries[port] = {
      .StartMs = nowMs, .EndMs = nowMs + CanaryRunMs, .LastRefusedMs = nowMs};
}

void Callers::tickCanaries(int64_t nowMs) {
  if (nowMs < NextCanaryMs)
    return;
  NextCanaryMs = nowMs + CanaryIntervalMs;
  for (auto it = Canaries.begin(); it != Canaries.end();) {
    auto &[port, canary] = *it;
    if (nowMs >= canary.EndMs) {
      Stats.RuleLagsMs.push_back(canary.LastRefusedMs - canary.StartMs);
      it = Canaries.erase(it);
      continue;
    }
    send({.Kind = PacketKind::Open,
          .Flow = newFlow({.Ip = CanaryIp, .Port = port}),
          .Payload = QByteArray::fromStdString(Options.Services.back().Name)});
    ++it;
  }
}

void Callers::tick(int64_t nowMs) {
  if (LastTickMs == 0) {
    LastTickMs = nowMs;
    for (Feed &it : Feeds)
      it.NextMs += nowMs;
  }
  if (Running)
    for (Feed &it : Feeds)
      tickFeed(it, nowMs);
  tickRequests(nowMs);
  tickCanaries(nowMs);
  LastTickMs = nowMs;
}

void Callers::receive(const QByteArray &datagram, int64_t nowMs) {
  auto packet = chicory::decodePacket(datagram);
  if (!packet || !packet->ToCaller)
    return;
  if (packet->Kind == PacketKind::Answer || packet->Kind == PacketKind::Refused)
    return onOutcome(*packet, nowMs);
  if (auto it = FeedByFlow.find(packet->Flow); it != FeedByFlow.end())
    return onFeedPacket(Feeds[it->second], *packet, nowMs);
  auto canary = Canaries.find(packet->Flow.Destination.Port);
  if (packet->Flow.Destination.Ip != CanaryIp || canary == Canaries.end())
    return;
  if (packet->Kind == PacketKind::Reset)
    canary->second.LastRefusedMs = nowMs;
  else if (packet->Kind == PacketKind::Data)
    send({.Kind = PacketKind::Close,
          .Flow = packet->Flow,
          .Payload = QByteArray::fromStdString(Options.Services.back().Name)});
}

void Callers::onFeedPacket(Feed &feed, const Packet &packet, int64_t nowMs) {
  if (feed.Broken)
    return;
  if (packet.Kind == PacketKind::Data) {
    if (!feed.Open) {
      feed.Open = true;
      ++Stats.FlowsOpened;
    }
    feed.LastReceivedMs = nowMs;
  } else if (feed.Open) {
    feed.Broken = true;
    ++Stats.BrokenByReset;
  }
}

void Callers::onOutcome(const Packet &packet, int64_t nowMs) {
  auto it = Pending.find(packet.Request.Value);
  if (it == Pending.end())
    return;
  PendingRequest &pending = it->second;
  if (pending.Request.Flow != packet.Flow) {
    ++Stats.OnWrongFlow;
    return;
  }
  if (packet.Kind == PacketKind::Refused) {
    bool notRun = packet.Outcome == chicory::RefusedOutcome::NotRun;
    std::string why(chicory::reasonName(packet.Why));
    ++(notRun ? Stats.NotRun : Stats.Unknown)[why];
    (notRun ? Stats.NotRunIds : Stats.UnknownIds)
        .push_back(packet.Request.Value);
    Pending.erase(it);
    return;
  }
  pending.Parts.insert(packet.Part);
  if (packet.Last)
    pending.LastPart = packet.Part;
  bool complete =
      pending.LastPart && pending.Parts.size() == *pending.LastPart + 1;
  if (!complete)
    return;
  ++Stats.Answered;
  Stats.LatenciesMs.push_back(static_cast<int>(nowMs - pending.SentMs));
  Pending.erase(it);
}

} // namespace standin
