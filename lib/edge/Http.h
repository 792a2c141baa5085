// Non-blocking HTTP/1.1: a client for one server, and a small server for
// readiness probes, metrics and registry updates. http_parser does the parsing.

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

/// A request that this process sends.
struct HttpRequest {
  /// "GET", "POST" or "DELETE".
  std::string Method = "GET";
  /// Path and query, percent-encoded.
  std::string Target;
  std::string Body;
  Duration Timeout = std::chrono::seconds(1);
  /// Restarts the timeout whenever a part of the response arrives.
  bool ExtendTimeoutOnData = false;
};

/// A complete response.
struct HttpResponse {
  int Status = 0;
  std::string Body;
  std::string ContentType = "application/json";
  /// The value of the header that the client captures; empty if it is absent.
  std::string CapturedHeader;
  /// Times from the start of a call of this process to the first and to the
  /// last byte of the response. The time before the first byte is spent in the
  /// server and its queue; the rest is transfer time.
  Duration TimeToFirstByte = Duration::zero();
  Duration TotalTime = Duration::zero();
};

/// Why a call has no response.
enum class HttpFailure : uint8_t {
  Refused,    ///< No connection; the call had no effect.
  Broken,     ///< The connection ended; the call may have had an effect.
  TimedOut,   ///< No complete response in time; the call may have had
              ///< an effect.
  Unreadable, ///< The response can't be parsed.
};

/// Returns the name that log lines use.
const char *httpFailureName(HttpFailure failure);

/// Parses one message from the bytes of a connection.
class HttpMessageReader {
public:
  explicit HttpMessageReader(http_parser_type type);
  HttpMessageReader(const HttpMessageReader &) = delete;
  HttpMessageReader &operator=(const HttpMessageReader &) = delete;

  /// Parses the next bytes. Returns false if they are not HTTP or too many.
  bool feed(const char *bytes, size_t count);
  /// Captures the value of this header. Names are case-insensitive.
  void captureHeader(std::string name) { WantedHeader = std::move(name); }
  const std::string &capturedHeader() const { return CapturedHeader; }
  bool complete() const { return Complete; }
  bool keepAlive() const { return KeepAlive; }
  int status() const { return Parser.status_code; }
  const std::string &target() const { return Target; }
  std::string &body() { return Body; }
  /// Prepares for the next message.
  void reset();

private:
  friend struct HttpCallbacks;

  http_parser Parser{};
  http_parser_type Type;
  bool Complete = false;
  bool KeepAlive = true;
  std::string Target;
  std::string Body;
  std::string WantedHeader;
  std::string CapturedHeader;
  /// The name of the current header, which may arrive in several parts.
  std::string HeaderName;
  bool ReadingValue = false;
};

/// Sends requests to one server, one at a time, over a persistent connection.
class HttpClient {
public:
  using Result = tl::expected<HttpResponse, HttpFailure>;
  using Handler = std::function<void(Result)>;

  /// `from`: the local IP of the connections.
  HttpClient(EventLoop &loop, uint32_t from, Address server);
  ~HttpClient() { close(); }
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Starts a call; no other may be in progress. The loop calls `done`.
  void call(const HttpRequest &call, Handler done);
  /// Responses carry the value of this header in `CapturedHeader`.
  void captureHeader(std::string name) {
    Reader.captureHeader(std::move(name));
  }
  bool busy() const { return static_cast<bool>(Callback); }
  /// Closes the connection and drops the call in progress without calling back.
  void close();
  /// When `expire` has something to do; `Time::max()` without a call.
  Time deadline() const { return Deadline; }
  /// Ends the call if its timeout has passed.
  void expire(Time now);

private:
  void connect();
  void onEvents(uint32_t events);
  void writeOut();
  void readIn();
  void finish(Result result);

  EventLoop &Events;
  uint32_t SourceIp;
  Address Server;
  FileDescriptor Socket;
  bool Connected = false;
  /// The connection has served a call. The server may have closed it since as
  /// idle; a new connection can't have been closed for that reason.
  bool HasServedCall = false;
  std::string SendBuffer;
  HttpMessageReader Reader{HTTP_RESPONSE};
  Handler Callback;
  Time Deadline = Time::max();
  /// Set for a call with `ExtendTimeoutOnData`.
  std::optional<Duration> SilenceLimit;
  Time StartedAt;
  std::optional<Time> FirstByteAt;
};

/// Answers each request immediately, with one handler for all targets.
class HttpServer {
public:
  using Handler = std::function<HttpResponse(const std::string &target)>;

  HttpServer(EventLoop &loop, FileDescriptor listener, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Closes connections that are idle for too long. Call it periodically.
  void closeIdleConnections(Time now);

private:
  struct Connection {
    FileDescriptor Socket;
    HttpMessageReader Reader{HTTP_REQUEST};
    std::string SendBuffer;
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
  Handler Respond;
  std::map<int, std::unique_ptr<Connection>> Connections;
};

} // namespace chicory::edge

#endif
