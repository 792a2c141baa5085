// chicoryd: an instance of the load balancer.
//
// Exit codes: 0 after a planned stop, 1 if it cannot start, 2 for errors in the
// settings or the command line.

#include "chicorybank/daemon/Daemon.h"

#include <CLI/CLI.hpp>
#include <atomic>
#include <csignal>
#include <easylogging++.h>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

INITIALIZE_EASYLOGGINGPP

namespace {

constexpr int ExitCannotStart = 1;
constexpr int ExitFindings = 2;

std::atomic<bool> StopRequested = false;

void onStopSignal(int /*signal*/) { StopRequested = true; }

/// Reads a settings file. If it has errors, prints them and returns nothing.
std::optional<chicory::Settings> loadSettings(const std::string &path) {
  std::ifstream in(path);
  if (!in) {
    std::cerr << path << ": cannot be opened for reading\n";
    return std::nullopt;
  }
  std::ostringstream text;
  text << in.rdbuf();
  chicory::Findings findings;
  auto settings = chicory::readSettings(text.str(), path, findings);
  if (!settings)
    std::cerr << findings.text();
  return settings;
}

int check(const std::string &path) {
  if (!loadSettings(path))
    return ExitFindings;
  std::cout << path << ": no findings\n";
  return 0;
}

int run(const std::string &path, chicory::Placement placement) {
  auto settings = loadSettings(path);
  if (!settings)
    return ExitFindings;
  settings->Core.FlowPlacement = placement;
  std::signal(SIGTERM, onStopSignal);
  std::signal(SIGINT, onStopSignal);
  std::signal(SIGPIPE, SIG_IGN);
  chicory::Daemon daemon(std::move(*settings));
  if (auto started = daemon.start(); !started) {
    std::cerr << "chicoryd: " << started.error() << "\n";
    return ExitCannotStart;
  }
  daemon.run(StopRequested);
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  CLI::App app("Runs an instance of the chicorybank load balancer.\n"
               "Example: chicoryd run chicoryd.toml");
  app.require_subcommand(1);
  std::string path;
  CLI::App *runCommand = app.add_subcommand(
      "run", "Run until SIGTERM or SIGINT, which begins a planned stop");
  runCommand->add_option("settings", path, "The settings file")->required();
  chicory::Placement placement = chicory::Placement::Pinned;
  std::map<std::string, chicory::Placement> placements = {
      {"no-pins", chicory::Placement::NoPins},
      {"no-peers", chicory::Placement::NoPeers}};
  runCommand
      ->add_option(
          "--baseline", placement,
          "For measurements only: simpler flow placement, no-pins or no-peers")
      ->transform(CLI::CheckedTransformer(placements));
  CLI::App *checkCommand =
      app.add_subcommand("check", "Report all errors in a settings file\n"
                                  "Example: chicoryd check chicoryd.toml");
  checkCommand->add_option("settings", path, "The settings file")->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError &error) {
    return app.exit(error) == 0 ? 0 : ExitFindings;
  }
  return checkCommand->parsed() ? check(path) : run(path, placement);
}
