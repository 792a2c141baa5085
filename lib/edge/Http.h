// HTTP/1.1 without blocking: a client for one server and a small server for
// health, metrics and news. Parsing is http_parser's.

#ifndef CHICORYBANK_LIB_EDGE_HTTP_H
#define CHICORYBANK_LIB_EDGE_HTTP_H

#include "EventLoop.h"

#include <functional>
#include <http_parser.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace chicory::edge {

inline constexpr int HttpOk = 200;
inline constexpr int HttpNotFound = 404;
inline constexpr int HttpGone = 410;
inline constexpr int HttpPreconditionFailed = 412;
inline constexpr int HttpTooManyRequests = 429;
inline constexpr int HttpUnavailable = 503;

/// A request of ours.
struct HttpRequest {
  /// "GET", "POST" or "DELETE".
  std::string Method = "GET";
  /// Path and query, encoded.
  std::string Target;
  std::string Body;
  Duration Timeout = std::chrono::seconds(1);
  /// The time limit counts anew with all that arrives of the answer.
  bool ExtendTimeoutOnData = false;
};

/// A whole answer.
struct HttpResponse {
  int Status = 0;
  std::string Body;
  std::string ContentType = "application/json";
  /// The value of the header that the client keeps; empty where it was absent.
  std::string CapturedHeader;
  /// From the call to the first byte, and to the last; of answers to calls of
  /// ours. What lies between is the time on the way, what comes before it the
  /// server's and the queue in front of it.
  Duration TimeToFirstByte = Duration::zero();
  Duration TotalTime = Duration::zero();
};

/// Why a call has no answer.
enum class HttpFailure : uint8_t {
  Refused,    ///< No connection: it had no effect.
  Broken,     ///< The connection ended; it may have had an effect.
  TimedOut,   ///< No whole answer in time; it may have had an effect.
  Unreadable, ///< The answer can't be read.
};

/// A word for logs.
const char *httpFailureName(HttpFailure failure);

/// Gathers one message from the bytes of a connection.
class HttpMessageReader {
public:
  explicit HttpMessageReader(http_parser_type type);
  HttpMessageReader(const HttpMessageReader &) = delete;
  HttpMessageReader &operator=(const HttpMessageReader &) = delete;

  /// Takes bytes. False: they are not HTTP, or too many.
  bool feed(const char *bytes, size_t count);
  /// The value of this header is kept; names are compared without case.
  void captureHeader(std::string name) { WantedHeader = std::move(name); }
  const std::string &capturedHeader() const { return CapturedHeader; }
  bool complete() const { return Done; }
  bool keepAlive() const { return KeepAlive; }
  int status() const { return Parser.status_code; }
  const std::string &target() const { return Target; }
  std::string &body() { return Body; }
  /// Ready for the next message.
  void reset();

private:
  friend struct HttpCallbacks;

  http_parser Parser{};
  http_parser_type Type;
  bool Done = false;
  bool KeepAlive = true;
  std::string Target;
  std::string Body;
  std::string WantedHeader;
  std::string CapturedHeader;
  /// The name of the header that is being read; it may come in pieces.
  std::string Field;
  bool InValue = false;
};

/// Calls one server, one call at a time, on a connection that is kept.
class HttpClient {
public:
  using Result = tl::expected<HttpResponse, HttpFailure>;
  using Handler = std::function<void(Result)>;

  /// Connections come from the IP `from`.
  HttpClient(EventLoop &loop, uint32_t from, Address server);
  ~HttpClient() { close(); }
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Starts a call; none may be under way. `done` is called from the loop.
  void call(const HttpRequest &call, Handler done);
  /// Answers carry the value of this header.
  void captureHeader(std::string name) { In.captureHeader(std::move(name)); }
  bool busy() const { return static_cast<bool>(Done); }
  /// Ends the connection and forgets a call that is under way.
  void close();
  /// When `expire` has something to do; far away without a call.
  Time deadline() const { return Deadline; }
  /// Ends a call whose time is over.
  void expire(Time now);

private:
  void connect();
  void onEvents(uint32_t events);
  void writeOut();
  void readIn();
  void finish(Result result);

  EventLoop &Events;
  uint32_t From;
  Address Server;
  FileDescriptor Socket;
  bool Connected = false;
  /// The connection has served a call: it may have been closed by the server
  /// in between, which a fresh one has not.
  bool Used = false;
  std::string Out;
  HttpMessageReader In{HTTP_RESPONSE};
  Handler Done;
  Time Deadline = Time::max();
  /// Of a call whose time limit counts anew with all that arrives.
  std::optional<Duration> SilenceLimit;
  Time CalledAt;
  std::optional<Time> FirstByteAt;
};

/// Answers requests at once, from one handler.
class HttpServer {
public:
  using Handler = std::function<HttpResponse(const std::string &target)>;

  HttpServer(EventLoop &loop, FileDescriptor listener, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Closes connections that have been idle for long; call it now and then.
  void closeIdleConnections(Time now);

private:
  struct Connection {
    FileDescriptor Socket;
    HttpMessageReader In{HTTP_REQUEST};
    std::string Out;
    Time LastUsed;
    bool CloseAfter = false;
  };

  void accept();
  void onEvents(int fd, uint32_t events);
  bool serve(Connection &connection);
  bool flush(Connection &connection);
  void close(int fd);

  EventLoop &Events;
  FileDescriptor Listener;
  Handler Answer;
  std::map<int, std::unique_ptr<Connection>> Connections;
};

} // namespace chicory::edge

#endif
