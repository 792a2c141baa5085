// chicoryctl: the command line tool for operators and their automation.
//
// docs/OPERATIONS.md lists the exit codes; `--help` of each command has an
// example.

#include "Commands.h"

#include <CLI/CLI.hpp>

int main(int argc, char **argv) {
  CLI::App app("Submits rule sets and shows how chicorybank handles traffic.\n"
               "Exit codes: 0 success, 1 platform or instances not reached, "
               "2 invalid input, 3 version conflict, 4 outcome unknown, "
               "5 not in force on every instance.");
  app.require_subcommand(1);
  app.fallthrough();
  chicoryctl::GlobalOptions globals;
  app.add_option("--platform", globals.Platform,
                 "IP:port of the platform; may be given several times")
      ->envname("CHICORY_PLATFORM");
  app.add_option("--admin", globals.Admin,
                 "IP:port of an instance's admin address, in addition to the "
                 "platform's list; may be given several times")
      ->envname("CHICORY_ADMIN");
  app.add_flag("--json", globals.Json, "Print results as JSON");
  chicoryctl::addCommands(app, globals);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError &error) {
    return app.exit(error) == 0 ? 0 : chicoryctl::ExitFindings;
  }
  return globals.Run ? globals.Run() : chicoryctl::ExitFindings;
}
