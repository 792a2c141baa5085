#include "chicorybank/peer/Transport.h"

#include "Http2.h"

#include <cerrno>
#include <chrono>
#include <list>
#include <map>
#include <poll.h>
#include <readerwriterqueue/readerwriterqueue.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace chicory {

namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

constexpr size_t SendRingSize = 1024;
constexpr int PollTimeoutMs = 50;
constexpr auto SteadyFor = std::chrono::seconds(1);

struct OutgoingMessage {
  InstanceInfo To;
  QByteArray Bytes;
};

/// The connection to one peer, which may be down.
struct PeerLink {
  Address To;
  std::unique_ptr<Http2Connection> Connection;
  bool Connecting = false;
  SteadyTime RetryAt;
  SteadyTime UpSince;
  /// It has just been lost: try again at once, nothing need wait for it.
  bool Reconnect = false;
  /// What waits for the connection; only the newest is of use.
  QByteArray Waiting;
};

} // namespace

/// The thread with its sockets.
class Transport::EventLoop {
public:
  EventLoop(TransportOptions options, TransportCallbacks callbacks)
      : Options(std::move(options)), Callbacks(std::move(callbacks)),
        Key(Options.Secret), SendRing(SendRingSize) {}

  tl::expected<void, std::string> start();
  void send(const InstanceInfo &to, const ControlMessage &message);
  void stop();

  std::atomic<uint64_t> BytesSent = 0;

private:
  struct ServerEnd {
    std::unique_ptr<Http2Connection> Connection;
    bool Dead = false;
  };

  void run();
  void takeSendRing();
  void connect(InstanceId id, PeerLink &link);
  void finishConnect(InstanceId id, PeerLink &link);
  void lost(InstanceId id, PeerLink &link, bool refused);
  void acceptAll();
  void pollOnce();
  void serveLinks(const std::map<int, short> &ready);
  void serveServers(const std::map<int, short> &ready);

  TransportOptions Options;
  TransportCallbacks Callbacks;
  PeerKey Key;
  moodycamel::ReaderWriterQueue<OutgoingMessage> SendRing;
  FileDescriptor Wake;
  FileDescriptor Listener;
  std::map<InstanceId, PeerLink> Links;
  std::list<ServerEnd> Servers;
  std::atomic<bool> Stopping = false;
  std::thread Worker;
};

tl::expected<void, std::string> Transport::EventLoop::start() {
  auto listener = listenTcp(Options.Listen);
  if (!listener)
    return tl::make_unexpected(listener.error());
  Listener = std::move(*listener);
  Wake = FileDescriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
  Worker = std::thread([this] { run(); });
  return {};
}

void Transport::EventLoop::send(const InstanceInfo &to,
                                const ControlMessage &message) {
  QByteArray bytes = frameMessage(encodeControl(message), Key);
  if (!SendRing.try_enqueue({.To = to, .Bytes = std::move(bytes)})) {
    Callbacks.Fault(Reason::RingFull);
    return;
  }
  uint64_t one = 1;
  [[maybe_unused]] ssize_t n = ::write(Wake.get(), &one, sizeof(one));
}

void Transport::EventLoop::stop() {
  Stopping = true;
  if (Worker.joinable())
    Worker.join();
}

void Transport::EventLoop::run() {
  while (!Stopping)
    pollOnce();
}

void Transport::EventLoop::takeSendRing() {
  uint64_t drained = 0;
  [[maybe_unused]] ssize_t n = ::read(Wake.get(), &drained, sizeof(drained));
  OutgoingMessage message;
  while (SendRing.try_dequeue(message)) {
    PeerLink &link = Links[message.To.Id];
    link.To = message.To.Peers;
    if (link.Connection == nullptr || link.Connecting) {
      // A peer that comes back wants to know how things stand now; what was
      // said while it was away is out of date.
      link.Waiting = message.Bytes;
    } else if (link.Connection->unsentBytes() > Options.MaxQueuedBytes) {
      Callbacks.Fault(Reason::PeerUnreachable);
    } else {
      link.Connection->write(message.Bytes);
    }
  }
}

void Transport::EventLoop::connect(InstanceId id, PeerLink &link) {
  auto socket = connectTcp(Options.Listen.Ip, link.To);
  if (!socket)
    return lost(id, link, errno == ECONNREFUSED);
  link.Connection =
      Http2Connection::client(std::move(*socket), formatAddress(link.To));
  link.Connecting = true;
}

void Transport::EventLoop::finishConnect(InstanceId id, PeerLink &link) {
  int error = 0;
  socklen_t size = sizeof(error);
  ::getsockopt(link.Connection->fd(), SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0)
    return lost(id, link, error == ECONNREFUSED);
  link.Connecting = false;
  link.UpSince = std::chrono::steady_clock::now();
  link.Connection->write(std::exchange(link.Waiting, {}));
}

void Transport::EventLoop::lost(InstanceId id, PeerLink &link, bool refused) {
  auto now = std::chrono::steady_clock::now();
  // One that breaks right after it came up would be tried in a tight loop.
  bool wasUp = link.Connection != nullptr && !link.Connecting &&
               now - link.UpSince > SteadyFor;
  link.Connection.reset();
  link.Connecting = false;
  // A connection that breaks may mean that the peer's process has died; a
  // refusal on the next try tells at once.
  link.Reconnect = wasUp;
  link.RetryAt = wasUp ? now : now + Options.ReconnectAfter;
  if (refused && Callbacks.Refused)
    Callbacks.Refused(id);
}

void Transport::EventLoop::acceptAll() {
  for (;;) {
    FileDescriptor socket(::accept4(Listener.get(), nullptr, nullptr,
                                    SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!socket.valid())
      return;
    auto reader = std::make_shared<MessageReader>(Key, Options.MaxMessageBytes);
    auto received = [this, reader](const char *data, size_t size) {
      auto fed = reader->feed(data, size, Callbacks.Message);
      if (!fed)
        Callbacks.Fault(fed.error());
      return fed.has_value();
    };
    Servers.push_back(
        {.Connection = Http2Connection::server(std::move(socket), received)});
  }
}

void Transport::EventLoop::pollOnce() {
  takeSendRing();
  auto now = std::chrono::steady_clock::now();
  std::vector<pollfd> fds = {{.fd = Wake.get(), .events = POLLIN},
                             {.fd = Listener.get(), .events = POLLIN}};
  auto add = [&](const Http2Connection &it, bool write) {
    short events = POLLIN;
    if (write || it.wantsWrite())
      events |= POLLOUT;
    fds.push_back({.fd = it.fd(), .events = events});
  };
  for (auto &[id, link] : Links) {
    if (link.Connection == nullptr && now >= link.RetryAt &&
        (link.Reconnect || !link.Waiting.isEmpty()))
      connect(id, link);
    if (link.Connection != nullptr)
      add(*link.Connection, link.Connecting);
  }
  for (ServerEnd &it : Servers)
    add(*it.Connection, false);
  if (::poll(fds.data(), fds.size(), PollTimeoutMs) <= 0)
    return;
  std::map<int, short> ready;
  for (const pollfd &it : fds)
    ready[it.fd] = it.revents;
  if (ready[Listener.get()] != 0)
    acceptAll();
  serveLinks(ready);
  serveServers(ready);
}

void Transport::EventLoop::serveLinks(const std::map<int, short> &ready) {
  for (auto &[id, link] : Links) {
    if (link.Connection == nullptr)
      continue;
    auto it = ready.find(link.Connection->fd());
    short events = it == ready.end() ? short{0} : it->second;
    if (link.Connecting && events != 0)
      finishConnect(id, link);
    if (link.Connection == nullptr || link.Connecting)
      continue;
    uint64_t sent = 0;
    bool ok = ((events & (POLLIN | POLLHUP | POLLERR)) == 0 ||
               link.Connection->readFromSocket()) &&
              link.Connection->writeToSocket(sent);
    BytesSent += sent;
    if (!ok)
      lost(id, link, false);
  }
}

void Transport::EventLoop::serveServers(const std::map<int, short> &ready) {
  for (ServerEnd &end : Servers) {
    auto it = ready.find(end.Connection->fd());
    if (it == ready.end() || it->second == 0)
      continue;
    uint64_t sent = 0;
    bool readable = (it->second & (POLLIN | POLLHUP | POLLERR)) != 0;
    end.Dead = (readable && !end.Connection->readFromSocket()) ||
               !end.Connection->writeToSocket(sent);
    BytesSent += sent;
  }
  Servers.remove_if([](const ServerEnd &it) { return it.Dead; });
}

Transport::Transport(TransportOptions options, TransportCallbacks callbacks)
    : Impl(std::make_unique<EventLoop>(std::move(options),
                                       std::move(callbacks))) {}

Transport::~Transport() { stop(); }

tl::expected<void, std::string> Transport::start() { return Impl->start(); }

void Transport::send(const InstanceInfo &to, const ControlMessage &message) {
  Impl->send(to, message);
}

uint64_t Transport::bytesSent() const { return Impl->BytesSent; }

void Transport::stop() { Impl->stop(); }

} // namespace chicory
