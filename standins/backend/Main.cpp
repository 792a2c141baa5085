// standin-backend: simulates all backend servers of a deployment.
//
//   standin-backend --fabric 127.0.0.1:9 --service
//   records=127.0.1.101,127.0.2.101
//
// Starts one backend server on a free port of each IP. Prints a line
// "target=SERVICE IP:PORT" for each, then "port=N", the port of its HTTP
// control interface:
//   POST /control?target=IP:PORT&do=drain|undrain|shed|unshed|die|live|
//        mislead|honest|silence|cut:IP/BITS|cutoutside:IP/BITS|uncut
//   GET  /stats, /runs

#include "Target.h"

#include <CLI/CLI.hpp>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <chrono>
#include <cstdio>
#include <httplib.h>
#include <memory>
#include <mutex>
#include <poll.h>
#include <thread>

namespace {

using chicory::Address;
using standin::BackendTarget;

constexpr int TickMs = 5;
constexpr double SilencedShare = 0.2;

int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

class Backends {
public:
  bool add(const std::string &spec, Address fabric, uint64_t seed);
  void loop();
  void serve(httplib::Server &server);

  standin::BackendOptions Options;

private:
  void runCommand(BackendTarget &target, const std::string &verb);
  void setNetCut(BackendTarget &target, const std::string &verb);
  QJsonObject stats();

  std::mutex Lock;
  standin::SharedState Shared;
  std::vector<std::unique_ptr<BackendTarget>> Targets;
};

bool Backends::add(const std::string &spec, Address fabric, uint64_t seed) {
  size_t equals = spec.find('=');
  if (equals == std::string::npos)
    return false;
  std::string service = spec.substr(0, equals);
  std::string rest = spec.substr(equals + 1) + ",";
  for (size_t comma = rest.find(','); comma != std::string::npos;
       comma = rest.find(',')) {
    auto ip = chicory::parseIp(rest.substr(0, comma));
    rest.erase(0, comma + 1);
    if (!ip)
      return false;
    auto socket = chicory::bindUdp({.Ip = *ip, .Port = 0});
    if (!socket) {
      std::fprintf(stderr, "%s\n", socket.error().c_str());
      return false;
    }
    Targets.push_back(std::make_unique<BackendTarget>(
        service, std::move(*socket), fabric, Options, Shared,
        seed + Targets.size()));
    std::printf("target=%s %s\n", service.c_str(),
                chicory::formatAddress(Targets.back()->address()).c_str());
  }
  return true;
}

void Backends::loop() {
  std::vector<pollfd> fds;
  for (const auto &it : Targets)
    fds.push_back({.fd = it->fd(), .events = POLLIN});
  int64_t nextTick = nowMs();
  for (;;) {
    ::poll(fds.data(), fds.size(), TickMs);
    std::lock_guard lock(Lock);
    int64_t now = nowMs();
    for (size_t i = 0; i < Targets.size(); ++i)
      if (fds[i].revents != 0)
        Targets[i]->receive(now);
    if (now < nextTick)
      continue;
    nextTick = now + TickMs;
    for (const auto &it : Targets)
      it->tick(now);
  }
}

void Backends::runCommand(BackendTarget &target, const std::string &verb) {
  if (verb == "drain" || verb == "undrain")
    target.setDraining(verb == "drain", nowMs());
  else if (verb == "shed" || verb == "unshed")
    target.setShedAll(verb == "shed");
  else if (verb == "die" || verb == "live")
    target.setStopped(verb == "die");
  else if (verb == "mislead" || verb == "honest")
    target.setMisreportsLoad(verb == "mislead");
  else if (verb == "silence")
    target.silenceFlows(SilencedShare);
  else if (verb == "uncut")
    target.setCut(0, 0, true);
  else if (verb.rfind("cut", 0) == 0)
    setNetCut(target, verb);
}

void Backends::setNetCut(BackendTarget &target, const std::string &verb) {
  size_t colon = verb.find(':');
  size_t slash = verb.find('/');
  if (colon == std::string::npos || slash == std::string::npos)
    return;
  auto ip = chicory::parseIp(verb.substr(colon + 1, slash - colon - 1));
  uint32_t mask = ~0U << (32 - std::atoi(verb.c_str() + slash + 1));
  bool inside = verb.substr(0, colon) == "cut";
  target.setCut(ip.value_or(0) & mask, mask, inside);
}

QJsonObject Backends::stats() {
  QJsonArray targets;
  int64_t drainLastNewMs = 0;
  for (const auto &it : Targets) {
    targets.append(QJsonObject{
        {"service", QString::fromStdString(it->service())},
        {"address",
         QString::fromStdString(chicory::formatAddress(it->address()))},
        {"executed", static_cast<qint64>(it->executed())},
        {"sheds", static_cast<qint64>(it->sheds())},
        {"flows", static_cast<qint64>(it->flows())}});
    drainLastNewMs = std::max(drainLastNewMs, it->lastNewAfterDrainMs());
  }
  qint64 twice = 0;
  for (const auto &[request, runs] : Shared.Runs)
    if (runs > 1 && Shared.NotIdempotent.contains(request))
      ++twice;
  return {{"targets", targets},
          {"run_twice", twice},
          {"misrouted", static_cast<qint64>(Shared.Misrouted)},
          {"drain_last_new_ms", static_cast<qint64>(drainLastNewMs)}};
}

void Backends::serve(httplib::Server &server) {
  server.Post("/control", [this](const httplib::Request &request,
                                 httplib::Response &response) {
    std::lock_guard lock(Lock);
    std::string wanted = request.get_param_value("target");
    for (const auto &it : Targets)
      if (wanted == "all" || chicory::formatAddress(it->address()) == wanted)
        runCommand(*it, request.get_param_value("do"));
    response.set_content("{}", "application/json");
  });
  server.Get("/stats", [this](const httplib::Request & /*request*/,
                              httplib::Response &response) {
    std::lock_guard lock(Lock);
    response.set_content(QJsonDocument(stats()).toJson().toStdString(),
                         "application/json");
  });
  server.Get("/runs", [this](const httplib::Request & /*request*/,
                             httplib::Response &response) {
    std::lock_guard lock(Lock);
    std::string out;
    for (const auto &[request, runs] : Shared.Runs)
      out += std::to_string(request) + '\n';
    response.set_content(out, "text/plain");
  });
}

} // namespace

int main(int argc, char **argv) {
  CLI::App app("Simulates the backend servers of a deployment.");
  std::string fabricText;
  std::vector<std::string> services;
  uint64_t seed = 1;
  Backends backends;
  app.add_option("--fabric", fabricText, "Address that answers are sent to")
      ->required();
  app.add_option("--service", services, "NAME=IP,IP,...")->required();
  app.add_option("--seed", seed, "Seed of the random numbers");
  app.add_option("--slots", backends.Options.Slots,
                 "Requests that one backend server runs at a time");
  app.add_option("--work-ms-least", backends.Options.WorkMsMin,
                 "Minimum run time of a request");
  app.add_option("--work-ms-most", backends.Options.WorkMsMax,
                 "Maximum run time of a request");
  CLI11_PARSE(app, argc, argv);
  auto fabric = chicory::parseAddress(fabricText);
  if (!fabric)
    return 2;
  for (const std::string &it : services)
    if (!backends.add(it, *fabric, seed))
      return 2;
  httplib::Server server;
  server.new_task_queue = [] { return new httplib::ThreadPool(4); };
  backends.serve(server);
  int port = server.bind_to_any_port("127.0.0.1");
  std::printf("port=%d\n", port);
  std::fflush(stdout);
  std::thread http([&server] { server.listen_after_bind(); });
  backends.loop();
  http.join();
  return 0;
}
