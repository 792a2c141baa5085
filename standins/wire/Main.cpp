// standin-wire: simulates the network between instances. Relays UDP and TCP,
// counts the bytes sent over TCP (the control traffic), and can cut off a zone.
//
//   POST /relay?packets=IP:PORT&peers=IP:PORT   -> the addresses of the relays
//   POST /cut?net=127.0.3.   (empty: end the cut)
//   GET  /stats
// Prints "port=N" when it is ready.

#include "chicorybank/base/Socket.h"

#include <CLI/CLI.hpp>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <httplib.h>
#include <list>
#include <map>
#include <mutex>
#include <poll.h>
#include <sys/socket.h>
#include <thread>

namespace {

using chicory::Address;
using chicory::FileDescriptor;

constexpr int PollTimeoutMs = 5;
constexpr size_t BufferBytes = 65536;
constexpr int MaxReadsPerPoll = 256;

std::string errorJson() { return "{\"error\": \"bad address\"}"; }

bool connectFailed(const FileDescriptor &socket) {
  int error = 0;
  socklen_t size = sizeof(error);
  ::getsockopt(socket.get(), SOL_SOCKET, SO_ERROR, &error, &size);
  return error != 0;
}

/// One relayed TCP connection.
struct Connection {
  FileDescriptor Client;
  FileDescriptor Server;
  uint32_t ClientIp = 0;
  uint32_t ServerIp = 0;
  std::string ToServer;
  std::string ToClient;
  bool Closed = false;
};

struct UdpRelay {
  FileDescriptor Socket;
  Address To;
};

struct TcpRelay {
  FileDescriptor Listener;
  Address To;
  /// The instance behind it has listened.
  bool HasStarted = false;
};

class Wire {
public:
  void loop();
  void serve(httplib::Server &server);

private:
  bool isCutBetween(uint32_t one, uint32_t other) const;
  void relayUdp(UdpRelay &relay);
  void acceptTcp(TcpRelay &relay);
  void relayTcp(Connection &connection);
  bool receivePending(const FileDescriptor &from, std::string &pending);
  bool sendPending(const FileDescriptor &to, std::string &pending);
  void finishSecond();

  std::mutex Lock;
  std::list<UdpRelay> Udp;
  std::list<TcpRelay> Tcp;
  std::list<Connection> Connections;
  std::string CutIpPrefix;
  std::map<uint32_t, uint64_t> BytesThisSecond;
  uint64_t MaxBytesPerSecond = 0;
  std::chrono::steady_clock::time_point SecondEnd;
};

bool Wire::isCutBetween(uint32_t one, uint32_t other) const {
  if (CutIpPrefix.empty())
    return false;
  bool first = chicory::formatIp(one).rfind(CutIpPrefix, 0) == 0;
  bool second = chicory::formatIp(other).rfind(CutIpPrefix, 0) == 0;
  return first != second;
}

void Wire::relayUdp(UdpRelay &relay) {
  std::array<char, BufferBytes> buf;
  for (int n = 0; n < MaxReadsPerPoll; ++n) {
    sockaddr_in from{};
    socklen_t size = sizeof(from);
    ssize_t got = ::recvfrom(relay.Socket.get(), buf.data(), buf.size(), 0,
                             reinterpret_cast<sockaddr *>(&from), &size);
    if (got < 0)
      return;
    if (isCutBetween(chicory::fromSockaddr(from).Ip, relay.To.Ip))
      continue;
    sockaddr_in to = chicory::toSockaddr(relay.To);
    ::sendto(relay.Socket.get(), buf.data(), static_cast<size_t>(got), 0,
             reinterpret_cast<sockaddr *>(&to), sizeof(to));
  }
}

void Wire::acceptTcp(TcpRelay &relay) {
  sockaddr_in from{};
  socklen_t size = sizeof(from);
  FileDescriptor client(::accept4(relay.Listener.get(),
                                  reinterpret_cast<sockaddr *>(&from), &size,
                                  SOCK_NONBLOCK | SOCK_CLOEXEC));
  uint32_t ip = chicory::fromSockaddr(from).Ip;
  if (!client.valid())
    return;
  auto server = chicory::connectTcp(0, relay.To);
  // On loopback, connecting to a port without a listener fails at once. If the
  // instance has ended, the relay stops listening, so that later connections
  // are refused too; an instance that has not started yet will listen.
  bool refused = !server || connectFailed(*server);
  if (refused && relay.HasStarted)
    relay.Listener.reset();
  if (refused)
    return;
  relay.HasStarted = true;
  Connections.push_back({.Client = std::move(client),
                         .Server = std::move(*server),
                         .ClientIp = ip,
                         .ServerIp = relay.To.Ip});
}

bool Wire::receivePending(const FileDescriptor &from, std::string &pending) {
  std::array<char, BufferBytes> buf;
  ssize_t got = ::recv(from.get(), buf.data(), buf.size(), 0);
  if (got > 0)
    pending.append(buf.data(), static_cast<size_t>(got));
  return got > 0 || (got < 0 && (errno == EAGAIN || errno == ENOTCONN));
}

bool Wire::sendPending(const FileDescriptor &to, std::string &pending) {
  if (pending.empty())
    return true;
  ssize_t sent = ::send(to.get(), pending.data(), pending.size(), MSG_NOSIGNAL);
  if (sent > 0)
    pending.erase(0, static_cast<size_t>(sent));
  return sent > 0 || (sent < 0 && (errno == EAGAIN || errno == ENOTCONN));
}

void Wire::relayTcp(Connection &connection) {
  // A cut loses no bytes of a TCP stream; it delays them until the cut ends.
  if (isCutBetween(connection.ClientIp, connection.ServerIp))
    return;
  size_t before = connection.ToServer.size();
  bool ok = receivePending(connection.Client, connection.ToServer);
  BytesThisSecond[connection.ClientIp] += connection.ToServer.size() - before;
  ok = receivePending(connection.Server, connection.ToClient) && ok;
  ok = sendPending(connection.Server, connection.ToServer) && ok;
  ok = sendPending(connection.Client, connection.ToClient) && ok;
  connection.Closed = !ok;
}

void Wire::finishSecond() {
  auto now = std::chrono::steady_clock::now();
  if (now < SecondEnd)
    return;
  SecondEnd = now + std::chrono::seconds(1);
  for (auto &[ip, bytes] : BytesThisSecond)
    MaxBytesPerSecond = std::max(MaxBytesPerSecond, bytes);
  BytesThisSecond.clear();
}

void Wire::loop() {
  for (;;) {
    std::vector<pollfd> fds;
    {
      std::lock_guard lock(Lock);
      for (const UdpRelay &it : Udp)
        fds.push_back({.fd = it.Socket.get(), .events = POLLIN});
      for (const TcpRelay &it : Tcp)
        // poll ignores the negative descriptor of a closed relay.
        fds.push_back({.fd = it.Listener.get(), .events = POLLIN});
    }
    ::poll(fds.data(), fds.size(), PollTimeoutMs);
    std::lock_guard lock(Lock);
    for (UdpRelay &it : Udp)
      relayUdp(it);
    for (TcpRelay &it : Tcp)
      if (it.Listener.valid())
        acceptTcp(it);
    for (Connection &it : Connections)
      relayTcp(it);
    Connections.remove_if([](const Connection &it) { return it.Closed; });
    finishSecond();
  }
}

void Wire::serve(httplib::Server &server) {
  server.Post("/relay", [this](const httplib::Request &request,
                               httplib::Response &response) {
    auto packets = chicory::parseAddress(request.get_param_value("packets"));
    auto peers = chicory::parseAddress(request.get_param_value("peers"));
    if (!packets || !peers)
      return response.set_content(errorJson(), "application/json");
    auto udp = chicory::bindUdp({.Ip = packets->Ip, .Port = 0});
    auto tcp = chicory::listenTcp({.Ip = peers->Ip, .Port = 0});
    if (!udp || !tcp)
      return response.set_content(errorJson(), "application/json");
    QJsonObject out{{"packets", QString::fromStdString(chicory::formatAddress(
                                    chicory::boundAddress(*udp)))},
                    {"peers", QString::fromStdString(chicory::formatAddress(
                                  chicory::boundAddress(*tcp)))}};
    std::lock_guard lock(Lock);
    Udp.push_back({.Socket = std::move(*udp), .To = *packets});
    Tcp.push_back({.Listener = std::move(*tcp), .To = *peers});
    response.set_content(QJsonDocument(out).toJson().toStdString(),
                         "application/json");
  });
  server.Post("/cut", [this](const httplib::Request &request,
                             httplib::Response &response) {
    std::lock_guard lock(Lock);
    CutIpPrefix = request.get_param_value("net");
    response.set_content("{}", "application/json");
  });
  server.Get("/stats", [this](const httplib::Request & /*request*/,
                              httplib::Response &response) {
    std::lock_guard lock(Lock);
    response.set_content(
        "{\"bytes_per_s_max\": " + std::to_string(MaxBytesPerSecond) + "}",
        "application/json");
  });
}

} // namespace

int main(int argc, char **argv) {
  CLI::App app("Simulates the network between instances.");
  CLI11_PARSE(app, argc, argv);
  Wire wire;
  httplib::Server server;
  server.new_task_queue = [] { return new httplib::ThreadPool(4); };
  wire.serve(server);
  int port = server.bind_to_any_port("127.0.0.1");
  std::printf("port=%d\n", port);
  std::fflush(stdout);
  std::thread http([&server] { server.listen_after_bind(); });
  wire.loop();
  http.join();
  return 0;
}
