// The commands for rule sets: check, submit, show, history, diff, drain and
// undrain.

#include "Commands.h"

#include "chicorybank/rules/RuleFile.h"

#include <CLI/CLI.hpp>
#include <QJsonArray>
#include <QUuid>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>

namespace chicoryctl {

namespace {

using namespace chicory;

constexpr int MaxDrainAttempts = 5;

/// The arguments of the commands in this file.
struct RuleArguments {
  std::string File;
  std::string SubmissionId;
  uint64_t IfVersion = 0;
  uint64_t Version = 0;
  uint64_t Other = 0;
  std::string Target;
  bool HasIfVersion = false;
};

std::string newSubmissionId() {
  return QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString();
}

std::optional<RuleSet> loadRules(const GlobalOptions &globals,
                                 const std::string &file) {
  std::ifstream in(file);
  std::ostringstream text;
  text << in.rdbuf();
  Findings findings;
  std::optional<RuleSet> rules;
  if (in)
    rules = readRuleFile(text.str(), file, findings);
  else
    findings.add({.File = file}, "cannot be opened for reading");
  if (rules)
    return rules;
  QJsonArray list;
  for (const Finding &it : findings.items())
    list.append(QJsonObject{{"file", QString::fromStdString(it.Where.File)},
                            {"line", qint64{it.Where.Line}},
                            {"column", qint64{it.Where.Column}},
                            {"message", QString::fromStdString(it.Message)}});
  if (globals.Json)
    print(globals, {{"outcome", "refused"}, {"findings", list}}, "");
  else
    std::cerr << findings.text();
  return std::nullopt;
}

int check(const GlobalOptions &globals, const RuleArguments &arguments) {
  auto rules = loadRules(globals, arguments.File);
  if (!rules)
    return ExitFindings;
  print(globals, {{"outcome", "no_findings"}},
        arguments.File + ": no findings, " +
            std::to_string(rules->Rules.size()) + " rules, " +
            std::to_string(rules->Services.size()) + " services\n");
  return ExitSuccess;
}

int report(const GlobalOptions &globals, const SubmitOutcome &outcome,
           const std::string &id) {
  QString qid = QString::fromStdString(id);
  if (const auto *it = std::get_if<Accepted>(&outcome)) {
    print(globals,
          {{"outcome", "accepted"},
           {"version", static_cast<qint64>(it->Version.Value)},
           {"id", qid}},
          "accepted version=" + std::to_string(it->Version.Value) + "\n");
    return ExitSuccess;
  }
  if (const auto *it = std::get_if<Conflict>(&outcome)) {
    print(globals,
          {{"outcome", "conflict"},
           {"current", static_cast<qint64>(it->Current.Value)}},
          "conflict: the current version is " +
              std::to_string(it->Current.Value) +
              "; the rule set was not changed\n");
    return ExitConflict;
  }
  if (const auto *it = std::get_if<OutcomeUnknown>(&outcome)) {
    std::string why(platformErrorName(it->Why));
    print(globals,
          {{"outcome", "unknown"},
           {"id", qid},
           {"reason", QString::fromStdString(why)}},
          "outcome unknown (" + why +
              "): to retry safely, submit again with --id " + id + "\n");
    return ExitOutcomeUnknown;
  }
  return reportPlatformError(std::get<NotSubmitted>(outcome).Why);
}

int submit(const GlobalOptions &globals, const RuleArguments &arguments) {
  auto rules = loadRules(globals, arguments.File);
  if (!rules)
    return ExitFindings;
  auto service = connect(globals);
  if (service == nullptr)
    return ExitFindings;
  rules->SubmissionId = arguments.SubmissionId.empty() ? newSubmissionId()
                                                       : arguments.SubmissionId;
  std::optional<RuleVersion> ifVersion;
  if (arguments.HasIfVersion)
    ifVersion = RuleVersion{arguments.IfVersion};
  SubmitOutcome outcome = RuleRegistry(*service).submit(*rules, ifVersion);
  return report(globals, outcome, rules->SubmissionId);
}

/// Reads a version of the rule set; zero means the current one. On failure,
/// prints the error, sets `exitCode` and returns nothing.
std::optional<RuleSet> fetchRules(KeyValueService &service, uint64_t version,
                                  int &exitCode) {
  RuleRegistry registry(service);
  auto manifest = version == 0 ? registry.currentManifest()
                               : registry.manifestOf(RuleVersion{version});
  if (!manifest) {
    exitCode = reportPlatformError(manifest.error());
    return std::nullopt;
  }
  if (!*manifest) {
    std::cerr << "the platform has no such rule set version\n";
    exitCode = ExitFindings;
    return std::nullopt;
  }
  PageStore pages;
  if (auto fetched = registry.fetchPages(**manifest, pages); !fetched) {
    exitCode = reportPlatformError(fetched.error());
    return std::nullopt;
  }
  auto rules = assemble(**manifest, pages);
  if (!rules) {
    exitCode = reportPlatformError(PlatformError::BadResponse);
    return std::nullopt;
  }
  return *rules;
}

int show(const GlobalOptions &globals, const RuleArguments &arguments) {
  auto service = connect(globals);
  int exitCode = ExitFindings;
  if (service == nullptr)
    return exitCode;
  auto rules = fetchRules(*service, arguments.Version, exitCode);
  if (!rules)
    return exitCode;
  std::string text = writeRuleFile(*rules);
  print(globals,
        {{"version", static_cast<qint64>(rules->Version.Value)},
         {"toml", QString::fromStdString(text)}},
        "# version " + std::to_string(rules->Version.Value) + "\n" + text);
  return ExitSuccess;
}

int history(const GlobalOptions &globals) {
  auto service = connect(globals);
  if (service == nullptr)
    return ExitFindings;
  auto manifests = RuleRegistry(*service).history();
  if (!manifests)
    return reportPlatformError(manifests.error());
  QJsonArray list;
  std::string text;
  for (const RuleManifest &it : *manifests) {
    list.append(
        QJsonObject{{"version", static_cast<qint64>(it.Version.Value)},
                    {"id", QString::fromStdString(it.SubmissionId)},
                    {"pages", static_cast<qint64>(it.allPages().size())}});
    text += "version=" + std::to_string(it.Version.Value) +
            " id=" + it.SubmissionId +
            " pages=" + std::to_string(it.allPages().size()) + "\n";
  }
  print(globals, {{"versions", list}}, text);
  return ExitSuccess;
}

/// Splits a rule file into blocks: one for each rule, service and target.
std::vector<std::string> blocksOf(const RuleSet &rules) {
  std::vector<std::string> out;
  std::istringstream in(writeRuleFile(rules));
  std::string line;
  while (std::getline(in, line)) {
    bool begins = line == "[[rules]]" || line == "[[services]]" ||
                  line == "[[services.targets]]";
    if (begins || out.empty())
      out.emplace_back();
    if (!line.empty())
      out.back() += line + "\n";
  }
  return out;
}

int diff(const GlobalOptions &globals, const RuleArguments &arguments) {
  auto service = connect(globals);
  int exitCode = ExitFindings;
  if (service == nullptr)
    return exitCode;
  auto before = fetchRules(*service, arguments.Version, exitCode);
  if (!before)
    return exitCode;
  auto after = fetchRules(*service, arguments.Other, exitCode);
  if (!after)
    return exitCode;
  std::vector<std::string> old = blocksOf(*before);
  std::vector<std::string> fresh = blocksOf(*after);
  std::multiset<std::string> oldSet(old.begin(), old.end());
  std::multiset<std::string> freshSet(fresh.begin(), fresh.end());
  QJsonArray removed;
  QJsonArray added;
  std::string text;
  auto appendBlock = [&](const std::string &block, char sign,
                         QJsonArray &list) {
    list.append(QString::fromStdString(block));
    std::istringstream in(block);
    for (std::string line; std::getline(in, line);)
      text += std::string(1, sign) + " " + line + "\n";
  };
  for (const std::string &it : old)
    if (!freshSet.contains(it))
      appendBlock(it, '-', removed);
  for (const std::string &it : fresh)
    if (!oldSet.contains(it))
      appendBlock(it, '+', added);
  print(globals, {{"removed", removed}, {"added", added}}, text);
  return ExitSuccess;
}

/// Sets the drain flag of a target in the current rule set. Retries if another
/// submission changed the rule set in between.
int setDrain(const GlobalOptions &globals, const std::string &text,
             bool drain) {
  auto id = parseAddress(text);
  if (!id) {
    std::cerr << "\"" << text
              << "\" is not an IP:port, such as \"10.0.0.5:8443\"\n";
    return ExitFindings;
  }
  auto service = connect(globals);
  int exitCode = ExitFindings;
  if (service == nullptr)
    return exitCode;
  SubmitOutcome outcome = Conflict{};
  std::string submissionId;
  for (int n = 0; n < MaxDrainAttempts; ++n) {
    auto rules = fetchRules(*service, 0, exitCode);
    if (!rules)
      return exitCode;
    bool found = false;
    for (Service &it : rules->Services)
      for (Target &target : it.Targets)
        if (target.Id == *id) {
          target.Drain = drain;
          found = true;
        }
    if (!found) {
      std::cerr << text << " is not a target of the current rule set\n";
      return ExitFindings;
    }
    RuleVersion base = rules->Version;
    submissionId = newSubmissionId();
    rules->SubmissionId = submissionId;
    outcome = RuleRegistry(*service).submit(*rules, base);
    if (!std::holds_alternative<Conflict>(outcome))
      break;
  }
  return report(globals, outcome, submissionId);
}

} // namespace

void addRuleCommands(CLI::App &app, GlobalOptions &globals) {
  auto arguments = std::make_shared<RuleArguments>();
  auto command = [&app, &globals](const char *name, const char *help,
                                  auto run) {
    CLI::App *out = app.add_subcommand(name, help);
    out->callback([&globals, run] { globals.Run = run; });
    return out;
  };
  GlobalOptions *shared = &globals;
  command("check",
          "Report all errors in a rule file\n"
          "Example: chicoryctl check rules.toml",
          [shared, arguments] { return check(*shared, *arguments); })
      ->add_option("file", arguments->File, "The rule file")
      ->required();
  CLI::App *submitCommand =
      command("submit",
              "Replace the current rule set with a file\n"
              "Example: chicoryctl submit rules.toml --if-version 7",
              [shared, arguments] { return submit(*shared, *arguments); });
  submitCommand->add_option("file", arguments->File, "The rule file")
      ->required();
  submitCommand->add_option("--id", arguments->SubmissionId,
                            "Id of an earlier submission, to retry it safely");
  submitCommand
      ->add_option("--if-version", arguments->IfVersion,
                   "Submit only if this version is the current one")
      ->each(
          [arguments](const std::string &) { arguments->HasIfVersion = true; });
  command("show", "Print a rule set\nExample: chicoryctl show --version 7",
          [shared, arguments] { return show(*shared, *arguments); })
      ->add_option("--version", arguments->Version,
                   "Rule set version (default: the current one)");
  command("history",
          "List the recent rule set versions\nExample: chicoryctl history",
          [shared] { return history(*shared); });
  CLI::App *diffCommand =
      command("diff",
              "Show the changes between two rule set versions\n"
              "Example: chicoryctl diff 6 7",
              [shared, arguments] { return diff(*shared, *arguments); });
  diffCommand->add_option("old", arguments->Version)->required();
  diffCommand->add_option("new", arguments->Other)->required();
  command("drain",
          "Send no new work to a target; keep its flows\n"
          "Example: chicoryctl drain 10.0.0.5:8443",
          [shared, arguments] {
            return setDrain(*shared, arguments->Target, true);
          })
      ->add_option("target", arguments->Target, "IP:port")
      ->required();
  command("undrain",
          "Send new work to a target again\n"
          "Example: chicoryctl undrain 10.0.0.5:8443",
          [shared, arguments] {
            return setDrain(*shared, arguments->Target, false);
          })
      ->add_option("target", arguments->Target, "IP:port")
      ->required();
}

} // namespace chicoryctl
