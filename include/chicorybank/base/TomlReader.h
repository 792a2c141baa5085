// Reads TOML tables and checks their values.
//
// A `TomlReader` reads one table. Each call gives a key, its type and its
// bounds; errors are added to the findings with their location. `finish`
// reports keys that were never read, so that a misspelt key is not ignored.

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

/// The inclusive bounds of an integer.
struct NumberBounds {
  int64_t Min = 0;
  int64_t Max = std::numeric_limits<int64_t>::max();
};

/// Reads and checks the values of one table. A value with an error is reported
/// as a finding, and the call returns the fallback or an empty value.
///
///   TomlReader reader(table, "settings.toml", findings);
///   int64_t port = reader.number("port", 0, {.Min = 1, .Max = 65535});
///   reader.finish();
class TomlReader {
public:
  TomlReader(const toml::table &table, std::string file, Findings &findings);

  /// Reads a string, or returns the fallback if the key is absent.
  std::string text(std::string_view key, std::string fallback);
  /// Reads a string; an absent key or an empty string is a finding.
  std::string requiredText(std::string_view key);
  /// Reads an integer within bounds.
  int64_t number(std::string_view key, int64_t fallback, NumberBounds bounds);
  /// Reads a boolean.
  bool flag(std::string_view key, bool fallback);
  /// Reads an address, written as "IP:port".
  Address address(std::string_view key, bool required);
  /// Reads a duration within bounds: a string with its unit, such as "250ms"
  /// or "3s". The units are us, ms, s and min.
  Duration duration(std::string_view key, Duration fallback, Duration min,
                    Duration max);
  /// Reads a list of strings, each with its location. A single string counts as
  /// a list of one.
  std::vector<std::pair<std::string, SourceLocation>>
  texts(std::string_view key);
  /// Returns a nested table, or null if it is absent.
  const toml::table *table(std::string_view key);
  /// Returns the tables of a nested list of tables.
  std::vector<const toml::table *> tables(std::string_view key);
  /// Returns the location of a key's value, or that of the table if the key is
  /// absent.
  SourceLocation locationOf(std::string_view key) const;
  /// Adds a finding at the location of a key.
  void addFinding(std::string_view key, std::string message);
  /// Adds a finding for every key that was not read.
  void finish();

private:
  const toml::node *find(std::string_view key);

  const toml::table &Table;
  std::string File;
  Findings &Faults;
  std::set<std::string, std::less<>> Known;
};

/// Parses TOML text. A syntax error is added to the findings.
std::optional<toml::table>
parseToml(std::string_view text, const std::string &file, Findings &findings);

/// Returns the location of a node in its file.
SourceLocation locationOf(const toml::node &node, const std::string &file);

} // namespace chicory

#endif
