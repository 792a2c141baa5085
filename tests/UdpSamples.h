// Sockets and packets for tests that send datagrams on loopback.

#ifndef CHICORYBANK_TESTS_UDPSAMPLES_H
#define CHICORYBANK_TESTS_UDPSAMPLES_H

#include "chicorybank/base/Socket.h"

#include <optional>
#include <poll.h>
#include <random>
#include <sys/socket.h>
#include <vector>

namespace samples::udp {

inline constexpr uint32_t Loopback = 0x7f000001;
inline constexpr int ReceiveTimeoutMs = 5000;

struct Datagram {
  std::vector<std::byte> Bytes;
};

/// A UDP socket with a blocking receive.
class Socket {
public:
  Socket() : Fd(std::move(*chicory::bindUdp({.Ip = Loopback, .Port = 0}))) {}
  chicory::Address address() const { return chicory::boundAddress(Fd); }
  void send(chicory::Address to, const std::vector<std::byte> &bytes) const {
    sockaddr_in raw = chicory::toSockaddr(to);
    ::sendto(Fd.get(), bytes.data(), bytes.size(), 0,
             reinterpret_cast<sockaddr *>(&raw), sizeof(raw));
  }
  std::optional<Datagram> receive(int timeoutMs = ReceiveTimeoutMs) const {
    pollfd wait{.fd = Fd.get(), .events = POLLIN};
    if (::poll(&wait, 1, timeoutMs) <= 0)
      return std::nullopt;
    Datagram out{std::vector<std::byte>(2048)};
    ssize_t n = ::recv(Fd.get(), out.Bytes.data(), out.Bytes.size(), 0);
    out.Bytes.resize(static_cast<size_t>(n));
    return out;
  }

private:
  chicory::FileDescriptor Fd;
};

/// Returns a port on which nothing listens, for something that binds it later.
/// The system never hands out a port of this range, so no socket of another
/// test takes it in between.
inline uint16_t freePort() {
  static std::random_device random;
  std::uniform_int_distribution<int> ports(10'000, 31'999);
  for (;;) {
    chicory::Address it{.Ip = Loopback,
                        .Port = static_cast<uint16_t>(ports(random))};
    if (chicory::bindUdp(it) && chicory::listenTcp(it))
      return it.Port;
  }
}

/// Returns the opening packet of a caller on loopback to 198.18.0.1:443, or one
/// of its copies.
inline std::vector<std::byte> opening(uint16_t port, uint32_t copy = 0) {
  std::vector<std::byte> out(32, std::byte{0});
  auto put = [&](size_t at, uint32_t value, size_t n) {
    for (size_t i = 0; i < n; ++i)
      out[at + i] = static_cast<std::byte>(value >> (8 * (n - 1 - i)));
  };
  put(0, 0xc6120001, 4);
  put(4, port, 2);
  put(6, 443, 2);
  put(8, Loopback, 4);
  put(22, copy, 4);
  out[30] = std::byte{128};
  return out;
}

} // namespace samples::udp

#endif
