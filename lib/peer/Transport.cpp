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
/// A connection that lasted longer than this is reconnected at once.
constexpr auto StableUptime = std::chrono::seconds(1);

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
  SteadyTime ConnectedSince;
  /// The connection was just lost: reconnect even if no message is queued.
  bool Reconnect = false;
  /// The newest message sent while disconnected; earlier ones are obsolete.
  QByteArray QueuedMessage;
};

} // namespace

/// The transport's thread and its sockets.
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
  struct IncomingConnection {
    std::unique_ptr<Http2Connection> Connection;
    bool HasEnded = false;
  };

  void run();
  void drainSendRing();
  void connect(InstanceId id, PeerLink &link);
  void finishConnect(InstanceId id, PeerLink &link);
  void handleLoss(InstanceId id, PeerLink &link, bool refused);
  void acceptAll();
  void pollOnce();
  void serveOutgoing(const std::map<int, short> &ready);
  void serveIncoming(const std::map<int, short> &ready);

  TransportOptions Options;
  TransportCallbacks Callbacks;
  PeerKey Key;
  moodycamel::ReaderWriterQueue<OutgoingMessage> SendRing;
  FileDescriptor Wake;
  FileDescriptor Listener;
  std::map<InstanceId, PeerLink> Links;
  std::list<IncomingConnection> Incoming;
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

void Transport::EventLoop::drainSendRing() {
  uint64_t drained = 0;
  [[maybe_unused]] ssize_t n = ::read(Wake.get(), &drained, sizeof(drained));
  OutgoingMessage message;
  while (SendRing.try_dequeue(message)) {
    PeerLink &link = Links[message.To.Id];
    link.To = message.To.Peers;
    if (link.Connection == nullptr || link.Connecting) {
      // Keep only the newest message: earlier ones are out of date once the
      // peer can be reached again.
      link.QueuedMessage = message.Bytes;
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
    return handleLoss(id, link, errno == ECONNREFUSED);
  link.Connection =
      Http2Connection::client(std::move(*socket), formatAddress(link.To));
  link.Connecting = true;
}

void Transport::EventLoop::finishConnect(InstanceId id, PeerLink &link) {
  int error = 0;
  socklen_t size = sizeof(error);
  ::getsockopt(link.Connection->fd(), SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0)
    return handleLoss(id, link, error == ECONNREFUSED);
  link.Connecting = false;
  link.ConnectedSince = std::chrono::steady_clock::now();
  link.Connection->write(std::exchange(link.QueuedMessage, {}));
}

void Transport::EventLoop::handleLoss(InstanceId id, PeerLink &link,
                                      bool refused) {
  auto now = std::chrono::steady_clock::now();
  // Without the minimum uptime, a connection that breaks right after it is
  // established would be retried in a tight loop.
  bool wasStable = link.Connection != nullptr && !link.Connecting &&
                   now - link.ConnectedSince > StableUptime;
  link.Connection.reset();
  link.Connecting = false;
  // A broken connection may mean that the peer's process has stopped. In that
  // case an immediate reconnect is refused, which reports it without delay.
  link.Reconnect = wasStable;
  link.RetryAt = wasStable ? now : now + Options.ReconnectAfter;
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
    Incoming.push_back(
        {.Connection = Http2Connection::server(std::move(socket), received)});
  }
}

void Transport::EventLoop::pollOnce() {
  drainSendRing();
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
        (link.Reconnect || !link.QueuedMessage.isEmpty()))
      connect(id, link);
    if (link.Connection != nullptr)
      add(*link.Connection, link.Connecting);
  }
  for (IncomingConnection &it : Incoming)
    add(*it.Connection, false);
  if (::poll(fds.data(), fds.size(), PollTimeoutMs) <= 0)
    return;
  std::map<int, short> ready;
  for (const pollfd &it : fds)
    ready[it.fd] = it.revents;
  if (ready[Listener.get()] != 0)
    acceptAll();
  serveOutgoing(ready);
  serveIncoming(ready);
}

void Transport::EventLoop::serveOutgoing(const std::map<int, short> &ready) {
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
      handleLoss(id, link, false);
  }
}

void Transport::EventLoop::serveIncoming(const std::map<int, short> &ready) {
  for (IncomingConnection &end : Incoming) {
    auto it = ready.find(end.Connection->fd());
    if (it == ready.end() || it->second == 0)
      continue;
    uint64_t sent = 0;
    bool readable = (it->second & (POLLIN | POLLHUP | POLLERR)) != 0;
    end.HasEnded = (readable && !end.Connection->readFromSocket()) ||
                   !end.Connection->writeToSocket(sent);
    BytesSent += sent;
  }
  Incoming.remove_if([](const IncomingConnection &it) { return it.HasEnded; });
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
