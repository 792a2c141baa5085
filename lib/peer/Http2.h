// One end of an HTTP/2 connection that carries control messages.

#ifndef CHICORYBANK_LIB_PEER_HTTP2_H
#define CHICORYBANK_LIB_PEER_HTTP2_H

#include "chicorybank/base/Socket.h"
#include "chicorybank/peer/Messages.h"

#include <QByteArray>
#include <functional>
#include <nghttp2/nghttp2.h>

namespace chicory {

/// Splits a stream's bytes into messages and checks their authentication codes.
///
/// A message is its length in four bytes (big-endian), its authentication code
/// and its body.
class MessageReader {
public:
  MessageReader(const PeerKey &key, uint32_t maxBytes)
      : Key(key), MaxBytes(maxBytes) {}

  /// Consumes bytes and passes each complete message to `handle`. Fails at the
  /// first message that is too long (BadPeerMessage), has a wrong
  /// authentication code (BadPeerKey) or can't be decoded. Don't call it again
  /// after a failure.
  tl::expected<void, Reason>
  feed(const char *data, size_t size,
       const std::function<void(ControlMessage)> &handle);

private:
  const PeerKey &Key;
  uint32_t MaxBytes;
  QByteArray Pending;
};

/// Returns a message as it is sent on the stream: length, authentication code,
/// body.
QByteArray frameMessage(const QByteArray &body, const PeerKey &key);

/// A connection and its nghttp2 session.
class Http2Connection {
public:
  /// Creates the client's end. It sends one long-lived POST request, whose body
  /// carries the messages.
  static std::unique_ptr<Http2Connection> client(FileDescriptor socket,
                                                 const std::string &authority);
  /// Creates the server's end. It passes the bytes of request bodies to
  /// `received`; if that returns false, the connection ends.
  static std::unique_ptr<Http2Connection>
  server(FileDescriptor socket,
         std::function<bool(const char *, size_t)> received);
  ~Http2Connection();
  Http2Connection(const Http2Connection &) = delete;
  Http2Connection &operator=(const Http2Connection &) = delete;

  int fd() const { return Socket.get(); }
  /// Queues bytes for the client's stream.
  void write(const QByteArray &bytes);
  /// Returns the number of queued bytes that are not sent yet.
  size_t unsentBytes() const {
    return UnframedBytes.size() + UnsentFrames.size();
  }
  bool wantsWrite() const;
  /// Reads available bytes. Returns false if the connection has ended.
  bool readFromSocket();
  /// Writes until the socket would block, and adds the bytes written to
  /// `bytesSent`. Returns false if the connection has ended.
  bool writeToSocket(uint64_t &bytesSent);

private:
  Http2Connection(FileDescriptor socket,
                  std::function<bool(const char *, size_t)> received);
  void submitPost(const std::string &authority);
  static nghttp2_session_callbacks *makeCallbacks();
  static ssize_t readBody(nghttp2_session *session, int32_t stream,
                          uint8_t *buf, size_t length, uint32_t *flags,
                          nghttp2_data_source *source, void *userData);
  static int onData(nghttp2_session *session, uint8_t flags, int32_t stream,
                    const uint8_t *data, size_t length, void *userData);

  FileDescriptor Socket;
  std::function<bool(const char *, size_t)> Received;
  nghttp2_session *Session = nullptr;
  int32_t Stream = -1;
  /// Message bytes that nghttp2 has not put into frames yet.
  QByteArray UnframedBytes;
  /// Frames that the socket has not accepted yet.
  QByteArray UnsentFrames;
};

} // namespace chicory

#endif
