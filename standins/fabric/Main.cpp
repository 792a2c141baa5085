// standin-fabric: simulates the network fabric and the callers.
//
//   standin-fabric --ip 127.0.0.1 --service records=10.1.0.1:443@15
//
// Hands datagrams from instances to the callers, and sprays all others (from
// backend servers and callers) over the instances. Prints "fabric=IP:PORT" and
// "port=N", the port of its HTTP control interface:
//   POST /control?do=add&id=N&at=IP:PORT | remove&id=N | start | stop |
//        canary&port=N | rate&value=N | faults&drop=X&duplicate=X&delay=X
//   GET  /stats, /ids

#include "Callers.h"
#include "Fabric.h"

#include <CLI/CLI.hpp>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <httplib.h>
#include <mutex>
#include <poll.h>
#include <sys/socket.h>
#include <thread>

namespace {

constexpr int TickMs = 2;
constexpr size_t MaxDatagram = 2048;
constexpr int MaxReadsPerPoll = 512;

int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

QJsonObject reasonsJson(const std::map<std::string, uint64_t> &reasons) {
  QJsonObject out;
  for (const auto &[reason, count] : reasons)
    out[QString::fromStdString(reason)] = static_cast<qint64>(count);
  return out;
}

template <typename T> qint64 percentile(std::vector<T> values, double share) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  auto i = static_cast<size_t>(share * static_cast<double>(values.size()));
  return static_cast<qint64>(values[std::min(i, values.size() - 1)]);
}

class FabricServer {
public:
  FabricServer(chicory::FileDescriptor socket, standin::CallerOptions options,
               uint64_t seed)
      : Network(std::move(socket), seed),
        AllCallers(std::move(options), seed, [this](const QByteArray &it) {
          Network.spray(it, nowMs());
        }) {}

  void loop();
  void serve(httplib::Server &server);

private:
  void receive();
  bool runCommand(const httplib::Request &request);
  QJsonObject stats() const;

  std::mutex Lock;
  standin::Fabric Network;
  standin::Callers AllCallers;
};

void FabricServer::receive() {
  for (int n = 0; n < MaxReadsPerPoll; ++n) {
    QByteArray buf(MaxDatagram, '\0');
    sockaddr_in raw{};
    socklen_t size = sizeof(raw);
    ssize_t got = ::recvfrom(Network.fd(), buf.data(), MaxDatagram, 0,
                             reinterpret_cast<sockaddr *>(&raw), &size);
    if (got < 0)
      return;
    buf.truncate(got);
    if (Network.isInstance(chicory::fromSockaddr(raw)))
      AllCallers.receive(buf, nowMs());
    else
      Network.spray(buf, nowMs());
  }
}

void FabricServer::loop() {
  pollfd waiting{.fd = Network.fd(), .events = POLLIN};
  for (;;) {
    ::poll(&waiting, 1, TickMs);
    std::lock_guard lock(Lock);
    receive();
    Network.tick(nowMs());
    AllCallers.tick(nowMs());
  }
}

bool FabricServer::runCommand(const httplib::Request &request) {
  std::string verb = request.get_param_value("do");
  auto id =
      static_cast<uint32_t>(std::atoi(request.get_param_value("id").c_str()));
  auto share = [&](const char *key) {
    return std::atof(request.get_param_value(key).c_str());
  };
  if (verb == "add") {
    auto at = chicory::parseAddress(request.get_param_value("at"));
    if (!at)
      return false;
    Network.addInstance(id, *at);
  } else if (verb == "remove") {
    Network.removeInstance(id);
  } else if (verb == "start" || verb == "stop") {
    AllCallers.setRunning(verb == "start");
  } else if (verb == "canary") {
    AllCallers.startCanary(static_cast<uint16_t>(share("port")), nowMs());
  } else if (verb == "rate") {
    AllCallers.setRequestRate(share("value"));
  } else if (verb == "faults") {
    Network.Faults.Drop = share("drop");
    Network.Faults.Duplicate = share("duplicate");
    Network.Faults.Delay = share("delay");
  } else {
    return false;
  }
  return true;
}

QJsonObject FabricServer::stats() const {
  const standin::CallerStats &it = AllCallers.stats();
  return {{"flows", static_cast<qint64>(it.FlowsOpened)},
          {"never_opened", static_cast<qint64>(it.FlowsNeverOpened)},
          {"broken_by_reset", static_cast<qint64>(it.BrokenByReset)},
          {"broken_by_silence", static_cast<qint64>(it.BrokenBySilence)},
          {"requests", static_cast<qint64>(it.Requests)},
          {"answered", static_cast<qint64>(it.Answered)},
          {"lost", static_cast<qint64>(it.Lost)},
          {"crossed", static_cast<qint64>(it.OnWrongFlow)},
          {"in_progress", static_cast<qint64>(AllCallers.requestsInProgress())},
          {"not_run", reasonsJson(it.NotRun)},
          {"unknown", reasonsJson(it.Unknown)},
          {"latency_p50_ms", percentile(it.LatenciesMs, 0.5)},
          {"latency_p99_ms", percentile(it.LatenciesMs, 0.99)},
          {"rule_lag_p99_ms", percentile(it.RuleLagsMs, 0.99)},
          {"rule_lags", static_cast<qint64>(it.RuleLagsMs.size())}};
}

void FabricServer::serve(httplib::Server &server) {
  server.Post("/control", [this](const httplib::Request &request,
                                 httplib::Response &response) {
    std::lock_guard lock(Lock);
    if (!runCommand(request))
      response.status = 400;
    response.set_content("{}", "application/json");
  });
  server.Get("/stats", [this](const httplib::Request & /*request*/,
                              httplib::Response &response) {
    std::lock_guard lock(Lock);
    response.set_content(QJsonDocument(stats()).toJson().toStdString(),
                         "application/json");
  });
  server.Get("/ids", [this](const httplib::Request & /*request*/,
                            httplib::Response &response) {
    std::lock_guard lock(Lock);
    std::string out;
    for (uint64_t it : AllCallers.stats().NotRunIds)
      out += "not_run " + std::to_string(it) + '\n';
    for (uint64_t it : AllCallers.stats().UnknownIds)
      out += "unknown " + std::to_string(it) + '\n';
    response.set_content(out, "text/plain");
  });
}

} // namespace

int main(int argc, char **argv) {
  CLI::App app("Simulates the network fabric and the callers.");
  std::string ip = "127.0.0.1";
  std::vector<std::string> services;
  standin::CallerOptions options;
  uint64_t seed = 1;
  app.add_option("--ip", ip, "IP address to listen on");
  app.add_option("--service", services,
                 "NAME=IP:PORT@WEIGHT; the first has feeds")
      ->required();
  app.add_option("--feeds", options.Feeds, "Number of long-lived flows");
  app.add_option("--requests", options.RequestsPerSecond,
                 "Requests per second");
  app.add_option("--deadline-ms", options.DeadlineMs,
                 "Deadline of each request");
  app.add_option("--idempotent", options.IdempotentShare,
                 "Share of requests that are idempotent");
  app.add_option("--seed", seed, "Seed of the random numbers");
  CLI11_PARSE(app, argc, argv);
  for (const std::string &it : services) {
    size_t equals = it.find('=');
    size_t weight = it.find('@');
    if (equals == std::string::npos || weight == std::string::npos)
      return 2;
    auto at = chicory::parseAddress(it.substr(equals + 1, weight - equals - 1));
    if (!at)
      return 2;
    options.Services.push_back({.Name = it.substr(0, equals),
                                .At = *at,
                                .Weight = std::atof(it.c_str() + weight + 1)});
  }
  auto socket =
      chicory::bindUdp({.Ip = chicory::parseIp(ip).value_or(0), .Port = 0});
  if (!socket)
    return 1;
  std::printf("fabric=%s\n",
              chicory::formatAddress(chicory::boundAddress(*socket)).c_str());
  FabricServer fabric(std::move(*socket), options, seed);
  httplib::Server server;
  server.new_task_queue = [] { return new httplib::ThreadPool(4); };
  fabric.serve(server);
  int port = server.bind_to_any_port("127.0.0.1");
  std::printf("port=%d\n", port);
  std::fflush(stdout);
  std::thread http([&server] { server.listen_after_bind(); });
  fabric.loop();
  http.join();
  return 0;
}
