// chicoryctl: what operators and their automation drive chicorybank with.
//
// docs/OPERATIONS.md lists the exit codes; `--help` of each command has an
// example.

#include "Commands.h"

#include <CLI/CLI.hpp>

int main(int argc, char **argv) {
  CLI::App app("Submits rule sets and explains what chicorybank does with "
               "traffic.\nExit codes: 0 done, 1 not reached, 2 findings, "
               "3 conflict, 4 outcome unknown, 5 not in force everywhere.");
  app.require_subcommand(1);
  app.fallthrough();
  chicoryctl::GlobalOptions globals;
  app.add_option("--platform", globals.Platform,
                 "IP:port of the platform; may stand several times")
      ->envname("CHICORY_PLATFORM");
  app.add_option("--admin", globals.Admin,
                 "IP:port of an instance's admin side, in place of the "
                 "platform's list")
      ->envname("CHICORY_ADMIN");
  app.add_flag("--json", globals.Json, "Print JSON");
  chicoryctl::addCommands(app, globals);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError &error) {
    return app.exit(error) == 0 ? 0 : chicoryctl::ExitFindings;
  }
  return globals.Run ? globals.Run() : chicoryctl::ExitFindings;
}
