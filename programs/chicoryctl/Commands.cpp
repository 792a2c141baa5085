#include "Commands.h"

#include <CLI/CLI.hpp>
#include <QJsonArray>
#include <QJsonDocument>
#include <httplib.h>
#include <iostream>
#include <set>

namespace chicoryctl {

namespace {

constexpr auto AdminTimeout = std::chrono::seconds(2);
constexpr int StatusOk = 200;

std::optional<QJsonObject> fetch(chicory::Address at, const std::string &path) {
  httplib::Client client(chicory::formatIp(at.Ip), at.Port);
  client.set_connection_timeout(AdminTimeout);
  client.set_read_timeout(AdminTimeout);
  httplib::Result result = client.Get(path);
  if (!result || result->status != StatusOk)
    return std::nullopt;
  return QJsonDocument::fromJson(QByteArray::fromStdString(result->body))
      .object();
}

std::set<chicory::Address> adminAddresses(const GlobalOptions &globals) {
  std::set<chicory::Address> out;
  for (const std::string &it : globals.Admin)
    if (auto at = chicory::parseAddress(it))
      out.insert(*at);
  if (globals.Platform.empty())
    return out;
  auto service = connect(globals);
  if (service == nullptr)
    return out;
  auto listed = service->list(chicory::keys::Instances);
  if (!listed)
    return out;
  for (const chicory::KeyValue &it : *listed)
    if (auto info = chicory::decodeInstance(it.Value))
      out.insert(info->Admin);
  return out;
}

} // namespace

std::unique_ptr<chicory::KeyValueService>
connect(const GlobalOptions &globals) {
  chicory::PlatformClientOptions options;
  for (const std::string &it : globals.Platform) {
    auto server = chicory::parseAddress(it);
    if (!server) {
      std::cerr << "--platform: \"" << it
                << "\" is not an IP:port, such as \"10.0.0.1:2379\"\n";
      return nullptr;
    }
    options.Servers.push_back(*server);
  }
  if (options.Servers.empty()) {
    std::cerr << "no platform address given; set --platform IP:port or "
                 "CHICORY_PLATFORM\n";
    return nullptr;
  }
  return chicory::makePlatformClient(options);
}

void print(const GlobalOptions &globals, const QJsonObject &object,
           const std::string &text) {
  if (globals.Json)
    std::cout
        << QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString()
        << '\n';
  else
    std::cout << text;
}

int reportPlatformError(chicory::PlatformError error) {
  std::cerr << "request to the platform failed: "
            << chicory::platformErrorName(error) << '\n';
  return ExitUnreachable;
}

std::vector<AdminResponse> queryInstances(const GlobalOptions &globals,
                                          const std::string &path) {
  std::vector<AdminResponse> out;
  std::set<chicory::Address> pending = adminAddresses(globals);
  std::set<chicory::Address> queried;
  // The platform's list may be out of date, so the peers from which the
  // instances receive heartbeats are queried too.
  while (!pending.empty()) {
    chicory::Address at = *pending.begin();
    pending.erase(pending.begin());
    if (!queried.insert(at).second)
      continue;
    out.push_back({.At = at, .Body = fetch(at, path)});
    auto status = fetch(at, "/status");
    if (!status)
      continue;
    const QJsonArray peers = (*status)["peers"].toArray();
    for (const auto &it : peers) {
      QJsonObject peer = it.toObject();
      auto admin =
          chicory::parseAddress(peer["admin"].toString().toStdString());
      if (admin && peer["heard"].toBool())
        pending.insert(*admin);
    }
  }
  return out;
}

void addCommands(CLI::App &app, GlobalOptions &globals) {
  addRuleCommands(app, globals);
  addLiveCommands(app, globals);
}

} // namespace chicoryctl
