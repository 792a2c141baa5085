// standin-platform: simulates the platform in tests and in the demo.
//
// Serves the calls of the etcd v3 JSON API that `platform/KeyValue.h` lists,
// limits the rates of calls as the platform does, and injects faults on
// request:
//   POST /control/faults?down=1&slow_ms=N&lose_answers=1&cut=127.0.2.
//   POST /control/restore?age_ms=N  restores a snapshot of this age
//   POST /control/instances   (the current list; readers see it after the lag)
// Prints "port=N" when it is ready.

#include "Store.h"

#include <CLI/CLI.hpp>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <httplib.h>
#include <thread>

namespace {

using standin::Store;

constexpr int StatusTooManyRequests = 429;
constexpr int StatusUnavailable = 503;
constexpr int LostResponseDelayMs = 6000;
constexpr int WatchWaitMs = 500;
constexpr size_t MaxValueBytes = 1 << 20;

int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::string decodeBase64(const QJsonValue &value) {
  return QByteArray::fromBase64(value.toString().toLatin1()).toStdString();
}

QString encodeBase64(const std::string &text) {
  return QString::fromLatin1(QByteArray::fromStdString(text).toBase64());
}

int64_t parseNumber(const QJsonValue &value) {
  return value.isString() ? value.toString().toLongLong() : value.toInteger();
}

/// Limits the calls in each second; all of them may come in one burst.
class RateLimit {
public:
  explicit RateLimit(int64_t perSecond) : PerSecond(perSecond) {}

  bool tryTake() {
    std::lock_guard lock(Lock);
    int64_t second = nowMs() / 1000;
    if (second != Second) {
      Second = second;
      TakenInSecond = 0;
    }
    return ++TakenInSecond <= PerSecond;
  }

private:
  std::mutex Lock;
  int64_t PerSecond;
  int64_t Second = 0;
  int64_t TakenInSecond = 0;
};

struct Faults {
  std::mutex Lock;
  bool Down = false;
  int SlowMs = 0;
  bool LoseResponses = false;
  /// Clients whose IP address starts with this are cut off; empty for none.
  std::string CutIpPrefix;
};

class PlatformServer {
public:
  PlatformServer(int64_t writesPerSecond, int64_t readsPerSecond, int lagMs)
      : Writes(writesPerSecond), Reads(readsPerSecond), LagMs(lagMs) {}

  int run(const std::string &ip, int port);

private:
  using Handler = std::function<QJsonObject(const QJsonObject &)>;

  bool isUnreachable(const httplib::Request &request);
  void route(const char *path, bool writes, const Handler &handler);
  void addKeyValueRoutes();
  void addWatchRoute();
  void addControlRoutes();
  void runBackground();

  httplib::Server Server;
  Store Data;
  Faults ActiveFaults;
  RateLimit Writes;
  RateLimit Reads;
  int LagMs;
  std::mutex ListLock;
  std::deque<std::pair<int64_t, QJsonObject>> PendingLists;
  std::atomic<bool> Stopping = false;
  std::atomic<int64_t> Calls = 0;
};

bool PlatformServer::isUnreachable(const httplib::Request &request) {
  std::lock_guard lock(ActiveFaults.Lock);
  bool cut = !ActiveFaults.CutIpPrefix.empty() &&
             request.remote_addr.rfind(ActiveFaults.CutIpPrefix, 0) == 0;
  return ActiveFaults.Down || cut;
}

void PlatformServer::route(const char *path, bool writes,
                           const Handler &handler) {
  Server.Post(path, [this, writes, handler](const httplib::Request &request,
                                            httplib::Response &response) {
    ++Calls;
    if (isUnreachable(request)) {
      response.status = StatusUnavailable;
      return;
    }
    if (!(writes ? Writes : Reads).tryTake()) {
      response.status = StatusTooManyRequests;
      return;
    }
    int slowMs = 0;
    bool loseResponse = false;
    {
      std::lock_guard lock(ActiveFaults.Lock);
      slowMs = ActiveFaults.SlowMs;
      loseResponse = ActiveFaults.LoseResponses && writes;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(slowMs));
    QJsonObject body =
        QJsonDocument::fromJson(QByteArray::fromStdString(request.body))
            .object();
    QJsonObject responseBody = handler(body);
    if (loseResponse) // The write took effect, but the client times out first.
      std::this_thread::sleep_for(
          std::chrono::milliseconds(LostResponseDelayMs));
    response.set_content(QJsonDocument(responseBody)
                             .toJson(QJsonDocument::Compact)
                             .toStdString(),
                         "application/json");
  });
}

QJsonObject keyValueJson(const std::string &key,
                         const standin::StoredValue &value) {
  return {{"key", encodeBase64(key)},
          {"value", encodeBase64(value.Value)},
          {"mod_revision", QString::number(value.ModRevision)}};
}

void PlatformServer::addKeyValueRoutes() {
  route("/v3/kv/range", false, [this](const QJsonObject &body) {
    QJsonArray list;
    for (const auto &[key, value] :
         Data.range(decodeBase64(body["key"]), decodeBase64(body["range_end"])))
      list.append(keyValueJson(key, value));
    return QJsonObject{{"kvs", list}};
  });
  route("/v3/kv/put", true, [this](const QJsonObject &body) {
    std::string value = decodeBase64(body["value"]);
    if (value.size() > MaxValueBytes)
      return QJsonObject{{"error", "value too large"}};
    Data.put(decodeBase64(body["key"]), value, parseNumber(body["lease"]));
    return QJsonObject{{"header", QJsonObject()}};
  });
  route("/v3/kv/deleterange", true, [this](const QJsonObject &body) {
    int64_t n =
        Data.remove(decodeBase64(body["key"]), decodeBase64(body["range_end"]));
    return QJsonObject{{"deleted", QString::number(n)}};
  });
  route("/v3/kv/txn", true, [this](const QJsonObject &body) {
    QJsonObject compare = body["compare"].toArray().at(0).toObject();
    std::vector<std::pair<std::string, std::string>> writes;
    const QJsonArray success = body["success"].toArray();
    for (const auto &it : success) {
      QJsonObject put = it.toObject()["request_put"].toObject();
      writes.emplace_back(decodeBase64(put["key"]), decodeBase64(put["value"]));
    }
    bool done =
        Data.compareAndSwap(decodeBase64(compare["key"]),
                            parseNumber(compare["mod_revision"]), writes);
    return QJsonObject{{"succeeded", done}};
  });
  route("/v3/lease/grant", true, [this](const QJsonObject &body) {
    int64_t id = Data.grantLease(parseNumber(body["TTL"]), nowMs());
    return QJsonObject{{"ID", QString::number(id)}, {"TTL", body["TTL"]}};
  });
  route("/v3/lease/keepalive", true, [this](const QJsonObject &body) {
    bool renewed = Data.renewLease(parseNumber(body["ID"]), nowMs());
    return QJsonObject{{"result", QJsonObject{{"ID", body["ID"]},
                                              {"TTL", renewed ? "1" : "0"}}}};
  });
}

void PlatformServer::addWatchRoute() {
  Server.Post("/v3/watch", [this](const httplib::Request &request,
                                  httplib::Response &response) {
    ++Calls;
    if (isUnreachable(request) || !Reads.tryTake()) {
      response.status = StatusUnavailable;
      return;
    }
    QJsonObject createRequest =
        QJsonDocument::fromJson(QByteArray::fromStdString(request.body))
            .object()["create_request"]
            .toObject();
    std::string from = decodeBase64(createRequest["key"]);
    std::string end = decodeBase64(createRequest["range_end"]);
    auto lastRevision = std::make_shared<int64_t>(Data.revision());
    int64_t restoreCount = Data.restoreCount();
    auto provider = [this, request, from, end, lastRevision,
                     restoreCount](size_t, httplib::DataSink &sink) {
      if (Stopping || isUnreachable(request) ||
          Data.restoreCount() != restoreCount)
        return false;
      QJsonArray events;
      for (const standin::Change &it :
           Data.changesAfter(*lastRevision, WatchWaitMs)) {
        *lastRevision = it.Revision;
        if (it.Key >= from && it.Key < end && !it.Deleted)
          events.append(QJsonObject{{"kv", keyValueJson(it.Key, it.Value)}});
      }
      // A line without events serves as a heartbeat of the connection.
      QJsonObject line{{"result", QJsonObject{{"events", events}}}};
      QByteArray bytes = QJsonDocument(line).toJson(QJsonDocument::Compact);
      bytes.append('\n');
      return sink.write(bytes.constData(), static_cast<size_t>(bytes.size()));
    };
    response.set_chunked_content_provider("application/json", provider);
  });
}

void PlatformServer::addControlRoutes() {
  Server.Post("/control/faults", [this](const httplib::Request &request,
                                        httplib::Response & /*response*/) {
    std::lock_guard lock(ActiveFaults.Lock);
    ActiveFaults.Down = request.get_param_value("down") == "1";
    ActiveFaults.SlowMs = std::atoi(request.get_param_value("slow_ms").c_str());
    ActiveFaults.LoseResponses = request.get_param_value("lose_answers") == "1";
    ActiveFaults.CutIpPrefix = request.get_param_value("cut");
  });
  Server.Post("/control/restore", [this](const httplib::Request &request,
                                         httplib::Response & /*response*/) {
    Data.restore(nowMs(), std::atoi(request.get_param_value("age_ms").c_str()));
  });
  Server.Post("/control/instances", [this](const httplib::Request &request,
                                           httplib::Response &response) {
    std::lock_guard lock(ListLock);
    QJsonDocument list =
        QJsonDocument::fromJson(QByteArray::fromStdString(request.body));
    PendingLists.emplace_back(nowMs() + LagMs, list.object());
    response.set_content("{}", "application/json");
  });
  Server.Get("/control/calls", [this](const httplib::Request & /*request*/,
                                      httplib::Response &response) {
    response.set_content(std::to_string(Calls), "text/plain");
  });
}

void PlatformServer::runBackground() {
  const std::string prefix = "platform/instances/";
  while (!Stopping) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    Data.expireLeases(nowMs());
    Data.saveSnapshot(nowMs());
    std::optional<QJsonObject> due;
    {
      std::lock_guard lock(ListLock);
      while (!PendingLists.empty() && PendingLists.front().first <= nowMs()) {
        due = PendingLists.front().second;
        PendingLists.pop_front();
      }
    }
    if (!due)
      continue;
    for (const auto &[key, value] : Data.range(prefix, "platform/instances0"))
      if (!due->contains(QString::fromStdString(key.substr(prefix.size()))))
        Data.remove(key, "");
    for (auto it = due->begin(); it != due->end(); ++it)
      Data.put(prefix + it.key().toStdString(),
               QJsonDocument(it.value().toObject())
                   .toJson(QJsonDocument::Compact)
                   .toStdString());
  }
}

int PlatformServer::run(const std::string &ip, int port) {
  constexpr size_t ServerThreads = 64;
  Server.new_task_queue = [] { return new httplib::ThreadPool(ServerThreads); };
  addKeyValueRoutes();
  addWatchRoute();
  addControlRoutes();
  int bound = port;
  if (port == 0)
    bound = Server.bind_to_any_port(ip);
  else if (!Server.bind_to_port(ip, port))
    bound = -1;
  if (bound < 0)
    return 1;
  std::printf("port=%d\n", bound);
  std::fflush(stdout);
  std::thread worker([this] { runBackground(); });
  Server.listen_after_bind();
  Stopping = true;
  worker.join();
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  CLI::App app("Simulates the platform's key-value service.");
  std::string ip = "127.0.0.1";
  int port = 0;
  int lagMs = 1000;
  int64_t writes = 300;
  int64_t reads = 2000;
  app.add_option("--ip", ip, "IP address to listen on");
  app.add_option("--port", port, "Port to listen on; 0 picks a free one");
  app.add_option("--list-lag-ms", lagMs,
                 "Delay until readers see a new list of instances");
  app.add_option("--writes", writes, "Maximum writes per second");
  app.add_option("--reads", reads, "Maximum reads per second");
  CLI11_PARSE(app, argc, argv);
  return PlatformServer(writes, reads, lagMs).run(ip, port);
}
