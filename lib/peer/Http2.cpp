#include "Http2.h"

#include <QtEndian>
#include <array>
#include <cerrno>
#include <cstring>
#include <sys/socket.h>

namespace chicory {

namespace {

constexpr qsizetype LengthBytes = 4;
constexpr size_t ReadChunkBytes = 65536;
// One stream carries all the data, so it may use the whole window.
constexpr int32_t WindowBytes = 16 << 20;

nghttp2_nv header(const char *name, const std::string &value) {
  nghttp2_nv out{};
  // nghttp2 takes pointers to non-const but does not write through them.
  out.name = reinterpret_cast<uint8_t *>(const_cast<char *>(name));
  out.value = reinterpret_cast<uint8_t *>(const_cast<char *>(value.data()));
  out.namelen = std::strlen(name);
  out.valuelen = value.size();
  return out;
}

} // namespace

QByteArray frameMessage(const QByteArray &body, const PeerKey &key) {
  QByteArray out(LengthBytes, '\0');
  qToBigEndian(static_cast<quint32>(body.size()), out.data());
  return out + key.mac(body) + body;
}

tl::expected<void, Reason>
MessageReader::feed(const char *data, size_t size,
                    const std::function<void(ControlMessage)> &handle) {
  constexpr qsizetype HeaderBytes = LengthBytes + MessageMacBytes;
  Pending.append(data, static_cast<qsizetype>(size));
  while (Pending.size() >= HeaderBytes) {
    auto length = qFromBigEndian<quint32>(Pending.constData());
    if (length > MaxBytes)
      return tl::make_unexpected(Reason::BadPeerMessage);
    if (Pending.size() < HeaderBytes + static_cast<qsizetype>(length))
      break;
    QByteArray mac = Pending.mid(LengthBytes, MessageMacBytes);
    QByteArray body = Pending.mid(HeaderBytes, length);
    Pending.remove(0, HeaderBytes + length);
    if (mac != Key.mac(body))
      return tl::make_unexpected(Reason::BadPeerKey);
    tl::expected<ControlMessage, Reason> message = decodeControl(body);
    if (!message)
      return tl::make_unexpected(message.error());
    handle(std::move(*message));
  }
  return {};
}

Http2Connection::Http2Connection(
    FileDescriptor socket, std::function<bool(const char *, size_t)> received)
    : Socket(std::move(socket)), Received(std::move(received)) {}

nghttp2_session_callbacks *Http2Connection::makeCallbacks() {
  nghttp2_session_callbacks *callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onData);
  return callbacks;
}

std::unique_ptr<Http2Connection>
Http2Connection::client(FileDescriptor socket, const std::string &authority) {
  std::unique_ptr<Http2Connection> out(
      new Http2Connection(std::move(socket), nullptr));
  nghttp2_session_callbacks *callbacks = makeCallbacks();
  nghttp2_session_client_new(&out->Session, callbacks, out.get());
  nghttp2_session_callbacks_del(callbacks);
  nghttp2_submit_settings(out->Session, NGHTTP2_FLAG_NONE, nullptr, 0);
  out->submitPost(authority);
  return out;
}

std::unique_ptr<Http2Connection>
Http2Connection::server(FileDescriptor socket,
                        std::function<bool(const char *, size_t)> received) {
  std::unique_ptr<Http2Connection> out(
      new Http2Connection(std::move(socket), std::move(received)));
  nghttp2_session_callbacks *callbacks = makeCallbacks();
  nghttp2_session_server_new(&out->Session, callbacks, out.get());
  nghttp2_session_callbacks_del(callbacks);
  nghttp2_settings_entry window{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
                                WindowBytes};
  nghttp2_submit_settings(out->Session, NGHTTP2_FLAG_NONE, &window, 1);
  nghttp2_session_set_local_window_size(out->Session, NGHTTP2_FLAG_NONE, 0,
                                        WindowBytes);
  return out;
}

Http2Connection::~Http2Connection() { nghttp2_session_del(Session); }

void Http2Connection::submitPost(const std::string &authority) {
  std::string method = "POST";
  std::string scheme = "http";
  std::string path = "/control/v1";
  std::array<nghttp2_nv, 4> headers = {
      header(":method", method), header(":scheme", scheme),
      header(":path", path), header(":authority", authority)};
  nghttp2_data_provider body{};
  body.read_callback = readBody;
  Stream = nghttp2_submit_request(Session, nullptr, headers.data(),
                                  headers.size(), &body, nullptr);
}

ssize_t Http2Connection::readBody(nghttp2_session * /*session*/,
                                  int32_t /*stream*/, uint8_t *buf,
                                  size_t length, uint32_t * /*flags*/,
                                  nghttp2_data_source * /*source*/,
                                  void *userData) {
  auto *self = static_cast<Http2Connection *>(userData);
  if (self->UnframedBytes.isEmpty())
    return NGHTTP2_ERR_DEFERRED;
  auto n = std::min(length, static_cast<size_t>(self->UnframedBytes.size()));
  std::memcpy(buf, self->UnframedBytes.constData(), n);
  self->UnframedBytes.remove(0, static_cast<qsizetype>(n));
  return static_cast<ssize_t>(n);
}

int Http2Connection::onData(nghttp2_session * /*session*/, uint8_t /*flags*/,
                            int32_t /*stream*/, const uint8_t *data,
                            size_t length, void *userData) {
  auto *self = static_cast<Http2Connection *>(userData);
  bool ok = !self->Received ||
            self->Received(reinterpret_cast<const char *>(data), length);
  return ok ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
}

void Http2Connection::write(const QByteArray &bytes) {
  UnframedBytes.append(bytes);
  nghttp2_session_resume_data(Session, Stream);
}

bool Http2Connection::wantsWrite() const {
  return !UnsentFrames.isEmpty() || nghttp2_session_want_write(Session) != 0;
}

bool Http2Connection::readFromSocket() {
  std::array<uint8_t, ReadChunkBytes> buf;
  ssize_t n = ::recv(Socket.get(), buf.data(), buf.size(), 0);
  if (n < 0)
    return errno == EAGAIN || errno == EINTR;
  if (n == 0)
    return false;
  return nghttp2_session_mem_recv(Session, buf.data(),
                                  static_cast<size_t>(n)) == n;
}

bool Http2Connection::writeToSocket(uint64_t &bytesSent) {
  for (;;) {
    if (UnsentFrames.isEmpty()) {
      const uint8_t *data = nullptr;
      ssize_t n = nghttp2_session_mem_send(Session, &data);
      if (n < 0)
        return false;
      if (n == 0)
        return true;
      UnsentFrames.append(reinterpret_cast<const char *>(data), n);
    }
    ssize_t sent =
        ::send(Socket.get(), UnsentFrames.constData(),
               static_cast<size_t>(UnsentFrames.size()), MSG_NOSIGNAL);
    if (sent < 0)
      return errno == EAGAIN || errno == EINTR;
    bytesSent += static_cast<uint64_t>(sent);
    UnsentFrames.remove(0, sent);
  }
}

} // namespace chicory
