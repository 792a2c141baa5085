// The commands that query running instances: wait, explain, instances, targets
// and events.

#include "Commands.h"

#include <CLI/CLI.hpp>
#include <QJsonArray>
#include <QJsonDocument>
#include <chrono>
#include <iostream>
#include <sstream>
#include <thread>

namespace chicoryctl {

namespace {

using namespace chicory;

struct LiveArguments {
  uint64_t Version = 0;
  int TimeoutSeconds = 10;
  std::string Flow;
};

std::string formatValue(const QJsonValue &value) {
  if (value.isString())
    return value.toString().toStdString();
  if (value.isBool())
    return value.toBool() ? "yes" : "no";
  return std::to_string(value.toInteger());
}

/// Formats an object as one line of key=value pairs, without its lists.
std::string formatLine(const QJsonObject &object) {
  std::string out;
  for (auto it = object.begin(); it != object.end(); ++it)
    if (!it->isArray())
      out += (out.empty() ? "" : " ") + it.key().toStdString() + "=" +
             formatValue(*it);
  return out + "\n";
}

int reportNoResponse() {
  std::cerr << "no instance responded; set instance addresses with --admin "
               "IP:port or the platform's with --platform IP:port\n";
  return ExitUnreachable;
}

int wait(const GlobalOptions &globals, const LiveArguments &arguments) {
  auto until = std::chrono::steady_clock::now() +
               std::chrono::seconds(arguments.TimeoutSeconds);
  for (;;) {
    QJsonArray confirmed;
    QJsonArray behind;
    QJsonArray unknown;
    for (const AdminResponse &it : queryInstances(globals, "/status")) {
      QString at = QString::fromStdString(formatAddress(it.At));
      if (!it.Body)
        unknown.append(at);
      else if ((*it.Body)["rule_version"].toInteger() >=
               static_cast<qint64>(arguments.Version))
        confirmed.append(at);
      else
        behind.append(at);
    }
    bool done = !confirmed.isEmpty() && behind.isEmpty() && unknown.isEmpty();
    if (!done && std::chrono::steady_clock::now() < until) {
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
      continue;
    }
    auto count = [](const QJsonArray &list) {
      return std::to_string(list.size());
    };
    auto names = [](const QJsonArray &list) {
      std::string out;
      for (const auto &it : list)
        out += " " + it.toString().toStdString();
      return out;
    };
    print(globals,
          {{"in_force", done},
           {"confirmed", confirmed},
           {"behind", behind},
           {"unknown", unknown}},
          "in_force=" + std::string(done ? "yes" : "no") +
              " confirmed=" + count(confirmed) + "\nbehind:" + names(behind) +
              "\nunknown:" + names(unknown) + "\n");
    return done ? ExitSuccess : ExitNotInForce;
  }
}

int explain(const GlobalOptions &globals, const LiveArguments &arguments) {
  QJsonArray responses;
  std::string text;
  for (const AdminResponse &it :
       queryInstances(globals, "/explain?flow=" + arguments.Flow)) {
    if (!it.Body)
      continue;
    responses.append(*it.Body);
    text += formatLine(*it.Body);
  }
  if (responses.isEmpty())
    return reportNoResponse();
  print(globals, {{"answers", responses}}, text);
  return ExitSuccess;
}

/// Prints each instance's response, or the items of one list in it.
int listAll(const GlobalOptions &globals, const std::string &path,
            const char *listName) {
  QJsonArray out;
  std::string text;
  bool responded = false;
  for (const AdminResponse &it : queryInstances(globals, path)) {
    std::string at = formatAddress(it.At);
    if (!it.Body) {
      text += "admin=" + at + " unreachable=yes\n";
      continue;
    }
    responded = true;
    QJsonObject tagged = *it.Body;
    tagged["from"] = QString::fromStdString(at);
    out.append(tagged);
    if (listName == nullptr) {
      text += formatLine(tagged);
      continue;
    }
    const QJsonArray items = tagged[listName].toArray();
    for (const auto &item : items)
      text += "from=" + at + " " + formatLine(item.toObject());
  }
  if (!responded)
    return reportNoResponse();
  print(globals, {{"instances", out}}, text);
  return ExitSuccess;
}

} // namespace

void addLiveCommands(CLI::App &app, GlobalOptions &globals) {
  auto arguments = std::make_shared<LiveArguments>();
  GlobalOptions *shared = &globals;
  auto command = [&app, shared](const char *name, const char *help, auto run) {
    CLI::App *out = app.add_subcommand(name, help);
    out->callback([shared, run] { shared->Run = run; });
    return out;
  };
  CLI::App *waitCommand =
      command("wait",
              "Wait until --version is in force on every instance\n"
              "Example: chicoryctl wait --version 8 --timeout 10",
              [shared, arguments] { return wait(*shared, *arguments); });
  waitCommand->add_option("--version", arguments->Version)->required();
  waitCommand->add_option("--timeout", arguments->TimeoutSeconds,
                          "Maximum wait in seconds");
  command("explain",
          "Explain which rule, target and home a flow has and why\n"
          "Example: chicoryctl explain --flow "
          "10.0.0.1:5000,10.1.0.1:443,17",
          [shared, arguments] { return explain(*shared, *arguments); })
      ->add_option("--flow", arguments->Flow,
                   "SOURCE,DESTINATION,PROTOCOL, as in the example")
      ->required();
  command("instances",
          "Show the status of each instance\n"
          "Example: chicoryctl instances",
          [shared] { return listAll(*shared, "/status", nullptr); });
  command("targets",
          "List the targets and their state on each instance\n"
          "Example: chicoryctl targets",
          [shared] { return listAll(*shared, "/targets", "targets"); });
  command("events",
          "List the recent events of each instance\n"
          "Example: chicoryctl events",
          [shared] { return listAll(*shared, "/events", "events"); });
}

} // namespace chicoryctl
