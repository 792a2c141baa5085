#include "PacketIo.h"

#include <array>
#include <poll.h>
#include <sys/socket.h>

namespace chicory {

namespace {

constexpr size_t ReceiveBatchSize = 64;
// Holds a packet and the header that another instance puts before it. A longer
// datagram is truncated here and refused by the decoder.
constexpr size_t DatagramBufferSize = 2048;
constexpr int PollTimeoutMs = 100;

/// Whether the head is enough to handle a packet, because its datagram is
/// forwarded unchanged.
bool needsHeadOnly(PacketKind kind) {
  return kind == PacketKind::Data || kind == PacketKind::Open ||
         kind == PacketKind::Close;
}

tl::expected<PacketInFlight, Reason> decodeInFlight(QByteArray datagram,
                                                    Address from) {
  tl::expected<PacketHeader, Reason> head = decodePacketHeader(datagram);
  if (!head)
    return tl::make_unexpected(head.error());
  PacketInFlight out;
  out.From = head->ToCaller && head->Origin ? head->Origin : from;
  out.Content.Kind = head->Kind;
  out.Content.ToCaller = head->ToCaller;
  out.Content.Flow = head->Flow;
  if (!needsHeadOnly(head->Kind)) {
    tl::expected<Packet, Reason> whole = decodePacket(datagram);
    if (!whole)
      return tl::make_unexpected(whole.error());
    out.Content = std::move(*whole);
  }
  out.Datagram = std::move(datagram);
  return out;
}

} // namespace

tl::expected<Event, Reason> decodeDatagram(QByteArray datagram, Address from,
                                           const PeerKey &key) {
  if (!isPeerDatagram(datagram))
    return decodeInFlight(std::move(datagram), from)
        .map([](PacketInFlight &&it) -> Event {
          return PacketArrived{.Packet = std::move(it)};
        });
  tl::expected<PeerDatagram, Reason> message =
      decodePeerDatagram(datagram, key);
  if (!message)
    return tl::make_unexpected(message.error());
  if (const auto *query = std::get_if<FlowQuery>(&*message))
    return Event(QueryArrived{.Message = *query});
  if (const auto *reply = std::get_if<FlowReply>(&*message))
    return Event(QueryArrived{.Message = *reply});
  auto forwarded = std::get<ForwardedPacketArrived>(std::move(*message));
  auto inner = decodeInFlight(std::move(forwarded.Packet.Datagram),
                              forwarded.Packet.From);
  if (!inner)
    return tl::make_unexpected(inner.error());
  forwarded.Packet = std::move(*inner);
  return Event(std::move(forwarded));
}

void PacketReceiver::start() {
  Worker = std::thread([this] { run(); });
}

void PacketReceiver::stop() {
  Stopping = true;
  if (Worker.joinable())
    Worker.join();
}

void PacketReceiver::run() {
  std::vector<std::array<char, DatagramBufferSize>> buffers(ReceiveBatchSize);
  std::array<iovec, ReceiveBatchSize> vectors{};
  std::array<sockaddr_in, ReceiveBatchSize> senders{};
  std::array<mmsghdr, ReceiveBatchSize> headers{};
  for (size_t i = 0; i < ReceiveBatchSize; ++i) {
    vectors[i] = {.iov_base = buffers[i].data(), .iov_len = DatagramBufferSize};
    headers[i].msg_hdr.msg_iov = &vectors[i];
    headers[i].msg_hdr.msg_iovlen = 1;
    headers[i].msg_hdr.msg_name = &senders[i];
  }
  pollfd readable{.fd = Socket.get(), .events = POLLIN};
  while (!Stopping) {
    for (mmsghdr &it : headers)
      it.msg_hdr.msg_namelen = sizeof(sockaddr_in);
    int n =
        ::recvmmsg(Socket.get(), headers.data(), ReceiveBatchSize, 0, nullptr);
    if (n <= 0) {
      ::poll(&readable, 1, PollTimeoutMs);
      continue;
    }
    Counters.PacketsReceived += static_cast<uint64_t>(n);
    EventBatch batch;
    batch.reserve(static_cast<size_t>(n));
    for (int i = 0; i < n; ++i) {
      QByteArray datagram(buffers[i].data(), headers[i].msg_len);
      auto event =
          decodeDatagram(std::move(datagram), fromSockaddr(senders[i]), Key);
      if (event)
        batch.push_back(std::move(*event));
      else
        Counters.refuse(event.error());
    }
    if (!batch.empty() && !Rings.Packets.try_enqueue(std::move(batch)))
      Counters.refuse(Reason::RingFull);
  }
}

void PacketSender::add(Address to, QByteArray datagram) {
  Pending.emplace_back(to, std::move(datagram));
  if (Pending.size() >= BatchSize)
    flush();
}

void PacketSender::flush() {
  if (Pending.empty())
    return;
  std::array<iovec, BatchSize> vectors{};
  std::array<sockaddr_in, BatchSize> receivers{};
  std::array<mmsghdr, BatchSize> headers{};
  for (size_t i = 0; i < Pending.size(); ++i) {
    auto &[to, datagram] = Pending[i];
    receivers[i] = toSockaddr(to);
    vectors[i] = {.iov_base = datagram.data(),
                  .iov_len = static_cast<size_t>(datagram.size())};
    headers[i].msg_hdr.msg_iov = &vectors[i];
    headers[i].msg_hdr.msg_iovlen = 1;
    headers[i].msg_hdr.msg_name = &receivers[i];
    headers[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
  }
  size_t done = 0;
  while (done < Pending.size()) {
    int n = ::sendmmsg(Socket.get(), &headers[done],
                       static_cast<unsigned>(Pending.size() - done), 0);
    // Skip a datagram that can't be sent, so that it doesn't block the rest.
    done += n > 0 ? static_cast<size_t>(n) : 1;
  }
  Pending.clear();
}

} // namespace chicory
