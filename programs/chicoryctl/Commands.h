// The commands of `chicoryctl` and the functions that they share.

#ifndef CHICORYBANK_PROGRAMS_CHICORYCTL_COMMANDS_H
#define CHICORYBANK_PROGRAMS_CHICORYCTL_COMMANDS_H

#include "chicorybank/store/RuleRegistry.h"

#include <QJsonObject>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace CLI {
class App;
} // namespace CLI

namespace chicoryctl {

/// The exit codes; docs/OPERATIONS.md has the same list.
enum ExitCode : int {
  ExitSuccess = 0,
  ExitUnreachable = 1,
  ExitFindings = 2,
  ExitConflict = 3,
  ExitOutcomeUnknown = 4,
  ExitNotInForce = 5,
};

/// The options that all commands have in common.
struct GlobalOptions {
  std::vector<std::string> Platform;
  std::vector<std::string> Admin;
  bool Json = false;
  /// Runs the command of the command line and returns its exit code.
  std::function<int()> Run;
};

/// Adds all commands. Parsing a command sets `globals.Run`.
void addCommands(CLI::App &app, GlobalOptions &globals);

void addRuleCommands(CLI::App &app, GlobalOptions &globals);
void addLiveCommands(CLI::App &app, GlobalOptions &globals);

/// Returns a client of the platform. If `--platform` is absent or not IP:port,
/// prints an error and returns null.
std::unique_ptr<chicory::KeyValueService> connect(const GlobalOptions &globals);

/// Prints the object if `--json` is set, otherwise the text.
void print(const GlobalOptions &globals, const QJsonObject &object,
           const std::string &text);

/// Prints the error of a call to the platform and returns its exit code.
int reportPlatformError(chicory::PlatformError error);

/// The response of an instance's admin address.
struct AdminResponse {
  chicory::Address At;
  /// Empty if the instance did not respond with status 200.
  std::optional<QJsonObject> Body;
};

/// Requests a path from every instance that `--admin`, the platform's list or
/// another instance's list of peers contains.
std::vector<AdminResponse> queryInstances(const GlobalOptions &globals,
                                          const std::string &path);

} // namespace chicoryctl

#endif
