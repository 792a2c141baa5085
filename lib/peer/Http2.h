// One end of an HTTP/2 connection that carries control messages.

#ifndef CHICORYBANK_LIB_PEER_HTTP2_H
#define CHICORYBANK_LIB_PEER_HTTP2_H

#include "chicorybank/base/Socket.h"
#include "chicorybank/peer/Messages.h"

#include <QByteArray>
#include <functional>
#include <nghttp2/nghttp2.h>

namespace chicory {

/// Cuts a stream's bytes into messages and checks their codes.
///
/// A message is its length in four bytes (big-endian), its code, its body.
class MessageReader {
public:
  MessageReader(const PeerKey &key, uint32_t maxBytes)
      : Key(key), MaxBytes(maxBytes) {}

  /// Takes in bytes and hands each whole message over. Fails for good at the
  /// first message that is too long (BadPeerMessage), has a wrong code
  /// (BadPeerKey) or can't be decoded.
  tl::expected<void, Reason>
  feed(const char *data, size_t size,
       const std::function<void(ControlMessage)> &handle);

private:
  const PeerKey &Key;
  uint32_t MaxBytes;
  QByteArray Pending;
};

/// A message as it stands in the stream.
QByteArray frameMessage(const QByteArray &body, const PeerKey &key);

/// A connection with its nghttp2 session.
class Http2Connection {
public:
  /// The client's end: `path` is asked for with one long POST.
  static std::unique_ptr<Http2Connection> client(FileDescriptor socket,
                                                 const std::string &authority);
  /// The server's end: hands over what comes in.
  static std::unique_ptr<Http2Connection>
  server(FileDescriptor socket,
         std::function<bool(const char *, size_t)> received);
  ~Http2Connection();
  Http2Connection(const Http2Connection &) = delete;
  Http2Connection &operator=(const Http2Connection &) = delete;

  int fd() const { return Socket.get(); }
  /// Queues bytes for the client's stream.
  void write(const QByteArray &bytes);
  /// How many bytes wait to be sent.
  size_t unsentBytes() const { return Outgoing.size() + Unsent.size(); }
  bool wantsWrite() const;
  /// Reads what the socket has. Returns false where the connection is over.
  bool readFromSocket();
  /// Writes what the socket takes. Returns false where it is over.
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
  /// Message bytes that nghttp2 has yet to put into frames.
  QByteArray Outgoing;
  /// Frames that the socket has yet to take.
  QByteArray Unsent;
};

} // namespace chicory

#endif
