#include "chicorybank/base/Socket.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace chicory {

namespace {

// Holds a burst of packets that arrives while the reading thread is not
// scheduled.
constexpr int SocketBufferBytes = 4 << 20;
constexpr int ListenBacklog = 128;

std::string errorText(const char *what, Address address) {
  return std::string(what) + ' ' + formatAddress(address) + ": " +
         std::strerror(errno);
}

tl::expected<FileDescriptor, std::string> bindSocket(int type,
                                                     Address address) {
  FileDescriptor out(::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  int on = 1;
  if (type == SOCK_STREAM)
    ::setsockopt(out.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in raw = toSockaddr(address);
  if (!out.valid() ||
      ::bind(out.get(), reinterpret_cast<sockaddr *>(&raw), sizeof(raw)) != 0)
    return tl::make_unexpected(errorText("bind", address));
  return out;
}

} // namespace

FileDescriptor::~FileDescriptor() { reset(); }

FileDescriptor &FileDescriptor::operator=(FileDescriptor &&other) noexcept {
  if (this != &other) {
    reset();
    Fd = std::exchange(other.Fd, -1);
  }
  return *this;
}

void FileDescriptor::reset() {
  if (Fd >= 0)
    ::close(Fd);
  Fd = -1;
}

sockaddr_in toSockaddr(Address address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(address.Ip);
  out.sin_port = htons(address.Port);
  return out;
}

Address fromSockaddr(const sockaddr_in &address) {
  return {.Ip = ntohl(address.sin_addr.s_addr),
          .Port = ntohs(address.sin_port)};
}

tl::expected<FileDescriptor, std::string> bindUdp(Address address) {
  auto out = bindSocket(SOCK_DGRAM, address);
  if (out) {
    int bytes = SocketBufferBytes;
    ::setsockopt(out->get(), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    ::setsockopt(out->get(), SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
  }
  return out;
}

tl::expected<FileDescriptor, std::string> listenTcp(Address address) {
  auto out = bindSocket(SOCK_STREAM, address);
  if (out && ::listen(out->get(), ListenBacklog) != 0)
    return tl::make_unexpected(errorText("listen", address));
  return out;
}

tl::expected<FileDescriptor, std::string> connectTcp(uint32_t fromIp,
                                                     Address to) {
  auto out = bindSocket(SOCK_STREAM, {.Ip = fromIp, .Port = 0});
  if (!out)
    return out;
  int on = 1;
  ::setsockopt(out->get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  sockaddr_in raw = toSockaddr(to);
  int rc =
      ::connect(out->get(), reinterpret_cast<sockaddr *>(&raw), sizeof(raw));
  if (rc != 0 && errno != EINPROGRESS)
    return tl::make_unexpected(errorText("connect", to));
  return out;
}

Address boundAddress(const FileDescriptor &socket) {
  sockaddr_in raw{};
  socklen_t size = sizeof(raw);
  ::getsockname(socket.get(), reinterpret_cast<sockaddr *>(&raw), &size);
  return fromSockaddr(raw);
}

} // namespace chicory
