#include "Http.h"

#include <array>
#include <cerrno>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace chicory::edge {

namespace {

// Limits the memory that a message takes. Pages of the registry hold 1 MB, to
// which base64 adds a third; those of other instances are compressed.
constexpr size_t MaxBodyBytes = 4 << 20;
constexpr size_t MaxTargetBytes = 4096;
constexpr size_t MaxHeaderBytes = 256;
constexpr size_t ReadChunkBytes = 16 << 10;
constexpr size_t MaxConnections = 64;
// Closes abandoned connections, which would use up `MaxConnections`. Readiness
// probes arrive twice a second, so a prober's connection is never idle this
// long.
constexpr Duration MaxIdleTime = std::chrono::seconds(10);

} // namespace

const char *httpFailureName(HttpFailure failure) {
  switch (failure) {
  case HttpFailure::Refused:
    return "refused";
  case HttpFailure::Broken:
    return "broken";
  case HttpFailure::TimedOut:
    return "timed_out";
  case HttpFailure::Unreadable:
    return "unread";
  }
  return "invalid";
}

/// The callbacks of http_parser, which takes plain functions only.
struct HttpCallbacks {
  static HttpMessageReader &of(http_parser *parser) {
    return *static_cast<HttpMessageReader *>(parser->data);
  }
  static int onUrl(http_parser *parser, const char *at, size_t n) {
    HttpMessageReader &it = of(parser);
    it.Target.append(at, n);
    return it.Target.size() > MaxTargetBytes ? 1 : 0;
  }
  static int onField(http_parser *parser, const char *at, size_t n) {
    HttpMessageReader &it = of(parser);
    if (it.WantedHeader.empty())
      return 0;
    if (std::exchange(it.ReadingValue, false))
      it.HeaderName.clear();
    if (it.HeaderName.size() + n <= MaxHeaderBytes)
      it.HeaderName.append(at, n);
    return 0;
  }
  static int onValue(http_parser *parser, const char *at, size_t n) {
    HttpMessageReader &it = of(parser);
    it.ReadingValue = true;
    bool wanted =
        !it.WantedHeader.empty() &&
        ::strcasecmp(it.HeaderName.c_str(), it.WantedHeader.c_str()) == 0;
    if (wanted && it.CapturedHeader.size() + n <= MaxHeaderBytes)
      it.CapturedHeader.append(at, n);
    return 0;
  }
  static int onBody(http_parser *parser, const char *at, size_t n) {
    HttpMessageReader &it = of(parser);
    it.Body.append(at, n);
    return it.Body.size() > MaxBodyBytes ? 1 : 0;
  }
  static int onComplete(http_parser *parser) {
    HttpMessageReader &it = of(parser);
    it.Complete = true;
    it.KeepAlive = http_should_keep_alive(parser) != 0;
    http_parser_pause(parser, 1);
    return 0;
  }
  static const http_parser_settings &settings() {
    static const http_parser_settings callbacks = [] {
      http_parser_settings it{};
      it.on_url = onUrl;
      it.on_header_field = onField;
      it.on_header_value = onValue;
      it.on_body = onBody;
      it.on_message_complete = onComplete;
      return it;
    }();
    return callbacks;
  }
};

HttpMessageReader::HttpMessageReader(http_parser_type type) : Type(type) {
  reset();
}

void HttpMessageReader::reset() {
  http_parser_init(&Parser, Type);
  Parser.data = this;
  Complete = false;
  Target.clear();
  Body.clear();
  CapturedHeader.clear();
  HeaderName.clear();
  ReadingValue = false;
}

bool HttpMessageReader::feed(const char *bytes, size_t count) {
  size_t n =
      http_parser_execute(&Parser, &HttpCallbacks::settings(), bytes, count);
  if (Complete)
    // Clients and servers here do not pipeline, so further bytes after a
    // message are an error.
    return n >= count || count - n <= 1;
  return HTTP_PARSER_ERRNO(&Parser) == HPE_OK;
}

HttpClient::HttpClient(EventLoop &loop, uint32_t from, Address server)
    : Events(loop), SourceIp(from), Server(server) {}

void HttpClient::call(const HttpRequest &call, Handler done) {
  Callback = std::move(done);
  StartedAt = steadyNow();
  FirstByteAt.reset();
  Deadline = StartedAt + call.Timeout;
  SilenceLimit.reset();
  if (call.ExtendTimeoutOnData)
    SilenceLimit = call.Timeout;
  Reader.reset();
  SendBuffer = call.Method + ' ' + call.Target +
               " HTTP/1.1\r\nHost: " + formatAddress(Server) + "\r\n";
  if (!call.Body.empty())
    SendBuffer += "Content-Type: application/json\r\n";
  if (call.Method != "GET")
    SendBuffer +=
        "Content-Length: " + std::to_string(call.Body.size()) + "\r\n";
  SendBuffer += "\r\n" + call.Body;
  if (!Socket.valid())
    connect();
  else
    writeOut();
}

void HttpClient::connect() {
  auto socket = connectTcp(SourceIp, Server);
  if (!socket) {
    // `expire` reports this, so that handlers never run inside `call`.
    Deadline = Time::min();
    return;
  }
  Socket = std::move(*socket);
  Connected = false;
  HasServedCall = false;
  Events.watch(Socket.get(), EPOLLIN | EPOLLOUT,
               [this](uint32_t events) { onEvents(events); });
}

void HttpClient::onEvents(uint32_t events) {
  if (!Connected) {
    int error = 0;
    socklen_t size = sizeof(error);
    ::getsockopt(Socket.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0 || (events & (EPOLLERR | EPOLLHUP)) != 0)
      return finish(tl::make_unexpected(HttpFailure::Refused));
    if ((events & EPOLLOUT) == 0)
      return;
    Connected = true;
  }
  if (!SendBuffer.empty())
    writeOut();
  if (Socket.valid() && (events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0)
    readIn();
}

void HttpClient::writeOut() {
  ssize_t n =
      ::send(Socket.get(), SendBuffer.data(), SendBuffer.size(), MSG_NOSIGNAL);
  if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
    if (!HasServedCall)
      return finish(tl::make_unexpected(HttpFailure::Broken));
    // The server closed the idle connection before the request was sent, so it
    // is safe to send it on a new one.
    std::string out = std::move(SendBuffer);
    Handler done = std::move(Callback);
    Time deadline = Deadline;
    close();
    SendBuffer = std::move(out);
    Callback = std::move(done);
    Deadline = deadline;
    return connect();
  }
  if (n > 0)
    SendBuffer.erase(0, static_cast<size_t>(n));
  Events.modify(Socket.get(),
                SendBuffer.empty() ? EPOLLIN : EPOLLIN | EPOLLOUT);
}

void HttpClient::readIn() {
  std::array<char, ReadChunkBytes> buf;
  while (Socket.valid()) {
    ssize_t n = ::recv(Socket.get(), buf.data(), buf.size(), 0);
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      return;
    if (n <= 0)
      return finish(tl::make_unexpected(HttpFailure::Broken));
    Time now = steadyNow();
    if (!FirstByteAt)
      FirstByteAt = now;
    if (SilenceLimit)
      Deadline = now + *SilenceLimit;
    if (!Callback || !Reader.feed(buf.data(), static_cast<size_t>(n)))
      return finish(tl::make_unexpected(HttpFailure::Unreadable));
    if (!Reader.complete())
      continue;
    HttpResponse response{.Status = Reader.status(),
                          .Body = std::move(Reader.body()),
                          .CapturedHeader = Reader.capturedHeader(),
                          .TimeToFirstByte = *FirstByteAt - StartedAt,
                          .TotalTime = steadyNow() - StartedAt};
    return finish(std::move(response));
  }
}

void HttpClient::finish(Result result) {
  Handler done = std::move(Callback);
  Callback = nullptr;
  Deadline = Time::max();
  if (!result || !Reader.keepAlive())
    close();
  else
    HasServedCall = true;
  if (done)
    done(std::move(result));
}

void HttpClient::close() {
  if (Socket.valid())
    Events.unwatch(Socket.get());
  Socket.reset();
  Connected = false;
  Callback = nullptr;
  SendBuffer.clear();
  Deadline = Time::max();
}

void HttpClient::expire(Time now) {
  if (!Callback || now < Deadline)
    return;
  bool refused = !Connected;
  Handler done = std::move(Callback);
  close();
  done(tl::make_unexpected(refused ? HttpFailure::Refused
                                   : HttpFailure::TimedOut));
}

HttpServer::HttpServer(EventLoop &loop, FileDescriptor listener,
                       Handler handler)
    : Events(loop), Listener(std::move(listener)), Respond(std::move(handler)) {
  Events.watch(Listener.get(), EPOLLIN, [this](uint32_t) { accept(); });
}

HttpServer::~HttpServer() {
  while (!Connections.empty())
    close(Connections.begin()->first);
  Events.unwatch(Listener.get());
}

void HttpServer::accept() {
  FileDescriptor socket(::accept4(Listener.get(), nullptr, nullptr,
                                  SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (!socket.valid())
    return;
  // Closes the connection at once above the limit; a prober tries again.
  if (Connections.size() >= MaxConnections)
    return;
  int fd = socket.get();
  auto connection = std::make_unique<Connection>();
  connection->Socket = std::move(socket);
  connection->LastUsed = steadyNow();
  Connections[fd] = std::move(connection);
  Events.watch(fd, EPOLLIN, [this, fd](uint32_t it) { onEvents(fd, it); });
}

void HttpServer::onEvents(int fd, uint32_t events) {
  auto it = Connections.find(fd);
  if (it == Connections.end())
    return;
  Connection &connection = *it->second;
  bool alive = true;
  if ((events & EPOLLOUT) != 0)
    alive = flush(connection);
  if (alive && (events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0)
    alive = serve(connection);
  if (!alive)
    close(fd);
}

bool HttpServer::serve(Connection &connection) {
  std::array<char, ReadChunkBytes> buf;
  ssize_t n = ::recv(connection.Socket.get(), buf.data(), buf.size(), 0);
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
    return true;
  if (n <= 0 || !connection.Reader.feed(buf.data(), static_cast<size_t>(n)))
    return false;
  if (!connection.Reader.complete())
    return true;
  connection.LastUsed = steadyNow();
  connection.CloseAfter = !connection.Reader.keepAlive();
  HttpResponse response = Respond(connection.Reader.target());
  connection.Reader.reset();
  connection.SendBuffer +=
      "HTTP/1.1 " + std::to_string(response.Status) +
      (response.Status == HttpOk ? " OK" : " Error") +
      "\r\nContent-Type: " + response.ContentType +
      "\r\nContent-Length: " + std::to_string(response.Body.size()) +
      "\r\n\r\n" + response.Body;
  return flush(connection);
}

bool HttpServer::flush(Connection &connection) {
  ssize_t n = ::send(connection.Socket.get(), connection.SendBuffer.data(),
                     connection.SendBuffer.size(), MSG_NOSIGNAL);
  if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
    return false;
  if (n > 0)
    connection.SendBuffer.erase(0, static_cast<size_t>(n));
  if (connection.SendBuffer.empty() && connection.CloseAfter)
    return false;
  Events.modify(connection.Socket.get(),
                connection.SendBuffer.empty() ? EPOLLIN : EPOLLIN | EPOLLOUT);
  return true;
}

void HttpServer::close(int fd) {
  Events.unwatch(fd);
  Connections.erase(fd);
}

void HttpServer::closeIdleConnections(Time now) {
  std::vector<int> idle;
  for (const auto &[fd, it] : Connections)
    if (now - it->LastUsed > MaxIdleTime)
      idle.push_back(fd);
  for (int fd : idle)
    close(fd);
}

} // namespace chicory::edge
