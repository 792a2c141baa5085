// Checked reading of TOML tables.
//
// A `TomlReader` reads one table. Each call names a key, its kind and its
// bounds; what is wrong goes to the findings with its line. `finish` reports
// keys that nobody asked for, so that a misspelt key is not silently ignored.

#ifndef CHICORYBANK_BASE_TOMLREADER_H
#define CHICORYBANK_BASE_TOMLREADER_H

#include "chicorybank/base/Findings.h"
#include "chicorybank/base/Types.h"

#include <limits>
#include <optional>
#include <set>
#include <string>
#include <vector>

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

namespace chicory {

/// The bounds of a whole number.
struct NumberBounds {
  int64_t Min = 0;
  int64_t Max = std::numeric_limits<int64_t>::max();
};

/// Reads one table and checks it.
///
///   TomlReader reader(table, "settings.toml", findings);
///   int64_t port = reader.number("port", 0, {.Min = 1, .Max = 65535});
///   reader.finish();
class TomlReader {
public:
  TomlReader(const toml::table &table, std::string file, Findings &findings);

  /// A string; the fallback where the key is absent.
  std::string text(std::string_view key, std::string fallback);
  /// A string that has to be there.
  std::string requiredText(std::string_view key);
  /// A whole number within bounds.
  int64_t number(std::string_view key, int64_t fallback, NumberBounds bounds);
  /// A boolean.
  bool flag(std::string_view key, bool fallback);
  /// "IP:port".
  Address address(std::string_view key, bool required);
  /// A length of time: a string with its unit, "250ms" or "3s".
  Duration duration(std::string_view key, Duration fallback, Duration min,
                    Duration max);
  /// A list of strings, each with its place. One string counts as a list.
  std::vector<std::pair<std::string, SourceLocation>>
  texts(std::string_view key);
  /// A table below this one, if it is there.
  const toml::table *table(std::string_view key);
  /// A list of tables below this one.
  std::vector<const toml::table *> tables(std::string_view key);
  /// Where a key stands; the table's own place if the key is absent.
  SourceLocation locationOf(std::string_view key) const;
  /// Adds a finding at a key.
  void addFinding(std::string_view key, std::string message);
  /// Reports every key that was not asked for.
  void finish();

private:
  const toml::node *find(std::string_view key);

  const toml::table &Table;
  std::string File;
  Findings &Faults;
  std::set<std::string, std::less<>> Known;
};

/// Parses TOML text. A syntax error becomes a finding.
std::optional<toml::table>
parseToml(std::string_view text, const std::string &file, Findings &findings);

/// The place of a node in a file.
SourceLocation locationOf(const toml::node &node, const std::string &file);

} // namespace chicory

#endif
