// Small helpers around IPv4 sockets.

#ifndef CHICORYBANK_BASE_SOCKET_H
#define CHICORYBANK_BASE_SOCKET_H

#include "chicorybank/base/Types.h"

#include <netinet/in.h>
#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace chicory {

/// Owns a file descriptor and closes it.
class FileDescriptor {
public:
  FileDescriptor() = default;
  explicit FileDescriptor(int fd) : Fd(fd) {}
  ~FileDescriptor();
  FileDescriptor(FileDescriptor &&other) noexcept
      : Fd(std::exchange(other.Fd, -1)) {}
  FileDescriptor &operator=(FileDescriptor &&other) noexcept;

  int get() const { return Fd; }
  bool valid() const { return Fd >= 0; }
  void reset();

private:
  int Fd = -1;
};

sockaddr_in toSockaddr(Address address);
Address fromSockaddr(const sockaddr_in &address);

/// A bound UDP socket, non-blocking. Port zero takes a free one.
tl::expected<FileDescriptor, std::string> bindUdp(Address address);
/// A listening TCP socket, non-blocking.
tl::expected<FileDescriptor, std::string> listenTcp(Address address);
/// A TCP socket that is connecting, from an address to another, non-blocking.
tl::expected<FileDescriptor, std::string> connectTcp(uint32_t fromIp,
                                                     Address to);
/// The address that a socket is bound to.
Address boundAddress(const FileDescriptor &socket);

} // namespace chicory

#endif
