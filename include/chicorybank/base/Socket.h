// Functions that create IPv4 sockets.

#ifndef CHICORYBANK_BASE_SOCKET_H
#define CHICORYBANK_BASE_SOCKET_H

#include "chicorybank/base/Types.h"

#include <netinet/in.h>
#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace chicory {

/// Owns a file descriptor and closes it on destruction.
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

/// Returns a non-blocking UDP socket that is bound to an address. For port
/// zero the system chooses a free port.
tl::expected<FileDescriptor, std::string> bindUdp(Address address);
/// Returns a non-blocking TCP socket that listens on an address.
tl::expected<FileDescriptor, std::string> listenTcp(Address address);
/// Starts a TCP connection from a local IP address and returns its non-blocking
/// socket, which may still be connecting.
tl::expected<FileDescriptor, std::string> connectTcp(uint32_t fromIp,
                                                     Address to);
/// Returns the address that a socket is bound to.
Address boundAddress(const FileDescriptor &socket);

} // namespace chicory

#endif
