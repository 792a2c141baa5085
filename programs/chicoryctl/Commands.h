// The commands of `chicoryctl` and what they share.

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

/// Options that every command has.
struct GlobalOptions {
  std::vector<std::string> Platform;
  std::vector<std::string> Admin;
  bool Json = false;
  /// The command that the line asks for.
  std::function<int()> Run;
};

/// Adds all commands. The one that is parsed sets `globals.Run`.
void addCommands(CLI::App &app, GlobalOptions &globals);

void addRuleCommands(CLI::App &app, GlobalOptions &globals);
void addLiveCommands(CLI::App &app, GlobalOptions &globals);

/// A client of the platform; null, with a message, where none was named.
std::unique_ptr<chicory::KeyValueService> connect(const GlobalOptions &globals);

/// Prints an object with `--json`, else the text.
void print(const GlobalOptions &globals, const QJsonObject &object,
           const std::string &text);

/// Prints a failed call of the platform and returns its exit code.
int reportPlatformError(chicory::PlatformError error);

/// One instance's answer over its admin side.
struct AdminResponse {
  chicory::Address At;
  /// Nothing where it did not answer.
  std::optional<QJsonObject> Body;
};

/// Asks every instance that `--admin`, the platform's list or another instance
/// names.
std::vector<AdminResponse> queryInstances(const GlobalOptions &globals,
                                          const std::string &path);

} // namespace chicoryctl

#endif
