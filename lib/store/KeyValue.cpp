#include "chicorybank/store/KeyValue.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <httplib.h>
#include <mutex>

namespace chicory {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusTooManyRequests = 429;
constexpr int StatusUnavailable = 503;
// An idle watch receives only the service's pings, which arrive within this
// time.
constexpr time_t WatchReadTimeoutSeconds = 30;

QString encoded(const QByteArray &bytes) {
  return QString::fromLatin1(bytes.toBase64());
}

QString encoded(const std::string &text) {
  return encoded(QByteArray::fromStdString(text));
}

QByteArray decoded(const QJsonValue &value) {
  return QByteArray::fromBase64(value.toString().toLatin1());
}

/// Returns the first key after all keys with this prefix.
std::string prefixEnd(std::string prefix) {
  while (!prefix.empty() && prefix.back() == '\xff')
    prefix.pop_back();
  if (!prefix.empty())
    ++prefix.back();
  return prefix;
}

/// Reads a number. This API writes 64-bit numbers as JSON strings.
int64_t number(const QJsonValue &value) {
  return value.isString() ? value.toString().toLongLong() : value.toInteger();
}

KeyValue readKeyValue(const QJsonObject &object) {
  return {.Key = decoded(object["key"]).toStdString(),
          .Value = decoded(object["value"]),
          .ModRevision = number(object["mod_revision"])};
}

PlatformError toPlatformError(httplib::Error error) {
  // Only a failed connection proves that nothing was sent.
  return error == httplib::Error::Connection ? PlatformError::Unreachable
                                             : PlatformError::Unknown;
}

class PlatformClient : public KeyValueService {
public:
  explicit PlatformClient(const PlatformClientOptions &options)
      : Options(options) {
    for (Address it : options.Servers)
      Clients.push_back(makeClient(it));
  }

  PlatformResult<std::vector<KeyValue>> get(const std::string &key) override {
    return range({{"key", encoded(key)}});
  }
  PlatformResult<std::vector<KeyValue>>
  list(const std::string &prefix) override {
    return range(
        {{"key", encoded(prefix)}, {"range_end", encoded(prefixEnd(prefix))}});
  }
  PlatformResult<bool> swap(const CompareAndSwap &swap) override;
  PlatformResult<void> put(const KeyValuePut &put) override {
    return call("/v3/kv/put",
                {{"key", encoded(put.Key)}, {"value", encoded(put.Value)}})
        .map([](const QJsonObject &) {});
  }
  PlatformResult<void> remove(const std::string &key) override {
    return call("/v3/kv/deleterange", {{"key", encoded(key)}})
        .map([](const QJsonObject &) {});
  }
  PlatformResult<void>
  watch(const std::string &prefix,
        const std::function<bool(const KeyValue &)> &changed) override;
  void interrupt() override;

private:
  std::unique_ptr<httplib::Client> makeClient(Address server) const;
  PlatformResult<std::vector<KeyValue>> range(const QJsonObject &body);
  PlatformResult<QJsonObject> call(const char *path, const QJsonObject &body);

  PlatformClientOptions Options;
  std::vector<std::unique_ptr<httplib::Client>> Clients;
  /// The server that responded last; it is tried first.
  size_t Preferred = 0;
  std::mutex WatchLock;
  std::shared_ptr<httplib::Client> Watching;
  std::atomic<bool> Interrupted = false;
};

std::unique_ptr<httplib::Client>
PlatformClient::makeClient(Address server) const {
  auto out =
      std::make_unique<httplib::Client>(formatIp(server.Ip), server.Port);
  std::chrono::microseconds timeout = Options.Timeout;
  out->set_connection_timeout(timeout);
  out->set_read_timeout(timeout);
  out->set_write_timeout(timeout);
  out->set_keep_alive(true);
  if (Options.SourceIp != 0)
    out->set_interface(formatIp(Options.SourceIp));
  return out;
}

PlatformResult<QJsonObject> PlatformClient::call(const char *path,
                                                 const QJsonObject &body) {
  std::string text =
      QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString();
  PlatformError error = PlatformError::Unreachable;
  for (size_t n = 0; n < Clients.size(); ++n) {
    size_t i = (Preferred + n) % Clients.size();
    httplib::Result result = Clients[i]->Post(path, text, "application/json");
    if (result) {
      Preferred = i;
      if (result->status == StatusTooManyRequests)
        return tl::make_unexpected(PlatformError::Limited);
      if (result->status == StatusUnavailable)
        return tl::make_unexpected(PlatformError::Unreachable);
      QJsonDocument response =
          QJsonDocument::fromJson(QByteArray::fromStdString(result->body));
      if (result->status != StatusOk || !response.isObject())
        return tl::make_unexpected(PlatformError::BadResponse);
      return response.object();
    }
    error = toPlatformError(result.error());
    // A call that may have taken effect is not repeated at another server: the
    // code that called must first find out whether it did.
    if (error != PlatformError::Unreachable)
      break;
  }
  return tl::make_unexpected(error);
}

PlatformResult<std::vector<KeyValue>>
PlatformClient::range(const QJsonObject &body) {
  return call("/v3/kv/range", body).map([](const QJsonObject &response) {
    std::vector<KeyValue> out;
    const QJsonArray list = response["kvs"].toArray();
    for (const auto &it : list)
      out.push_back(readKeyValue(it.toObject()));
    return out;
  });
}

PlatformResult<bool> PlatformClient::swap(const CompareAndSwap &swap) {
  QJsonArray writes;
  for (const KeyValuePut &it : swap.Puts)
    writes.append(QJsonObject{
        {"request_put",
         QJsonObject{{"key", encoded(it.Key)}, {"value", encoded(it.Value)}}}});
  QJsonObject compare{{"key", encoded(swap.Key)},
                      {"target", "MOD"},
                      {"result", "EQUAL"},
                      {"mod_revision", QString::number(swap.ExpectedRevision)}};
  return call("/v3/kv/txn",
              {{"compare", QJsonArray{compare}}, {"success", writes}})
      .map([](const QJsonObject &response) {
        return response["succeeded"].toBool();
      });
}

PlatformResult<void>
PlatformClient::watch(const std::string &prefix,
                      const std::function<bool(const KeyValue &)> &changed) {
  QJsonObject create{{"key", encoded(prefix)},
                     {"range_end", encoded(prefixEnd(prefix))}};
  std::shared_ptr<httplib::Client> client =
      makeClient(Options.Servers[Preferred]);
  client->set_read_timeout(WatchReadTimeoutSeconds);
  {
    std::lock_guard lock(WatchLock);
    Watching = client;
  }
  if (Interrupted)
    return {};
  QByteArray pending;
  httplib::Request request;
  request.method = "POST";
  request.path = "/v3/watch";
  request.set_header("Content-Type", "application/json");
  request.body = QJsonDocument(QJsonObject{{"create_request", create}})
                     .toJson(QJsonDocument::Compact)
                     .toStdString();
  // Each message of the stream is one line of JSON.
  request.content_receiver = [&](const char *data, size_t size, uint64_t,
                                 uint64_t) {
    pending.append(data, static_cast<qsizetype>(size));
    for (qsizetype end = pending.indexOf('\n'); end >= 0;
         end = pending.indexOf('\n')) {
      QJsonObject line = QJsonDocument::fromJson(pending.left(end)).object();
      pending.remove(0, end + 1);
      const QJsonArray events = line["result"].toObject()["events"].toArray();
      for (const auto &it : events)
        if (!changed(readKeyValue(it.toObject()["kv"].toObject())))
          return false;
    }
    return !Interrupted.load();
  };
  httplib::Result result = client->send(request);
  if (!result && result.error() != httplib::Error::Canceled) {
    Preferred = (Preferred + 1) % Clients.size();
    return tl::make_unexpected(toPlatformError(result.error()));
  }
  return {};
}

void PlatformClient::interrupt() {
  Interrupted = true;
  std::lock_guard lock(WatchLock);
  if (Watching)
    Watching->stop();
  for (auto &it : Clients)
    it->stop();
}

} // namespace

std::string_view platformErrorName(PlatformError error) {
  switch (error) {
  case PlatformError::Unreachable:
    return "unreachable";
  case PlatformError::Unknown:
    return "outcome_unknown";
  case PlatformError::Limited:
    return "limited";
  case PlatformError::BadResponse:
    return "bad_answer";
  }
  return "invalid";
}

std::unique_ptr<KeyValueService>
makePlatformClient(const PlatformClientOptions &options) {
  return std::make_unique<PlatformClient>(options);
}

} // namespace chicory
