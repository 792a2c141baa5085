#include "chicorybank/base/TomlReader.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace chicory {

namespace {

template <typename Unit> Duration toDuration(double count) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, typename Unit::period>(count));
}

std::optional<Duration> parseDuration(std::string_view text) {
  // Allows a year in milliseconds and prevents overflow.
  constexpr size_t MaxDigits = 12;
  size_t digits = text.find_first_not_of("0123456789.");
  if (digits == 0 || digits == std::string_view::npos || digits > MaxDigits)
    return std::nullopt;
  double count = 0;
  auto [end, ec] = std::from_chars(text.data(), text.data() + digits, count);
  if (ec != std::errc() || end != text.data() + digits)
    return std::nullopt;
  std::string_view unit = text.substr(digits);
  if (unit == "us")
    return toDuration<std::chrono::microseconds>(count);
  if (unit == "ms")
    return toDuration<std::chrono::milliseconds>(count);
  if (unit == "s")
    return toDuration<std::chrono::seconds>(count);
  if (unit == "min")
    return toDuration<std::chrono::minutes>(count);
  return std::nullopt;
}

} // namespace

SourceLocation locationOf(const toml::node &node, const std::string &file) {
  const toml::source_position &begin = node.source().begin;
  return {.File = file, .Line = begin.line, .Column = begin.column};
}

namespace {

/// Finds characters beyond ASCII outside of strings and comments, where TOML
/// does not allow them.
///
/// Without this check, the TOML library has undefined behaviour for some of
/// these characters between values, where an operator may have pasted one. The
/// program then ends while it reads the file.
///
/// The strings are exact only if the rest of the text is valid TOML: see
/// `maskNonAscii`.
class NonAsciiFinder {
public:
  explicit NonAsciiFinder(std::string_view text) : Text(text) {}

  /// Returns the location of the first such character, if there is one.
  std::optional<SourceLocation> find(const std::string &file) {
    while (At < Text.size()) {
      char it = Text[At];
      if (it == '#')
        skipTo("\n");
      else if (it == '"' || it == '\'')
        skipString(it);
      else if (static_cast<unsigned char>(it) > 0x7f)
        return locationAt(file);
      else
        ++At;
    }
    return std::nullopt;
  }

private:
  void skipTo(std::string_view end) {
    At = std::min(Text.find(end, At), Text.size());
  }
  void skipString(char quote) {
    std::string end(3, quote);
    bool multiline = Text.substr(At).starts_with(end);
    if (!multiline)
      end.resize(1);
    At += end.size();
    while (At < Text.size() && !Text.substr(At).starts_with(end)) {
      if (!multiline && Text[At] == '\n')
        return;
      At += quote == '"' && Text[At] == '\\' ? 2 : 1;
    }
    At = std::min(At + end.size(), Text.size());
  }
  SourceLocation locationAt(const std::string &file) const {
    std::string_view before = Text.substr(0, At);
    size_t lineBegin = before.rfind('\n') + 1; // npos + 1 is zero.
    auto lines = std::count(before.begin(), before.end(), '\n');
    return {.File = file,
            .Line = static_cast<uint32_t>(lines) + 1,
            .Column = static_cast<uint32_t>(At - lineBegin) + 1};
  }

  std::string_view Text;
  size_t At = 0;
};

/// Replaces each character beyond ASCII by an underscore, which keeps columns.
///
/// The TOML library reads the result without undefined behaviour. If it is
/// valid, `NonAsciiFinder` has found the strings and comments of the original.
std::string maskNonAscii(std::string_view text) {
  std::string masked;
  masked.reserve(text.size());
  for (char it : text) {
    auto byte = static_cast<unsigned char>(it);
    bool continues = (byte & 0xc0) == 0x80; // The further bytes of UTF-8.
    if (!continues)
      masked += byte > 0x7f ? '_' : it;
  }
  return masked;
}

void addParseError(const toml::parse_error &error, const std::string &file,
                   Findings &findings) {
  const toml::source_position &begin = error.source().begin;
  findings.add({.File = file, .Line = begin.line, .Column = begin.column},
               std::string(error.description()));
}

} // namespace

std::optional<toml::table>
parseToml(std::string_view text, const std::string &file, Findings &findings) {
  if (auto place = NonAsciiFinder(text).find(file)) {
    findings.add(*place, "only strings and comments may have characters "
                         "beyond ASCII");
    return std::nullopt;
  }
  if (auto masked = toml::parse(maskNonAscii(text), file); !masked) {
    addParseError(masked.error(), file, findings);
    return std::nullopt;
  }
  toml::parse_result result = toml::parse(text, file);
  if (result)
    return std::move(result).table();
  addParseError(result.error(), file, findings);
  return std::nullopt;
}

TomlReader::TomlReader(const toml::table &table, std::string file,
                       Findings &findings)
    : Table(table), File(std::move(file)), Faults(findings) {}

const toml::node *TomlReader::find(std::string_view key) {
  Known.emplace(key);
  return Table.get(key);
}

SourceLocation TomlReader::locationOf(std::string_view key) const {
  const toml::node *node = Table.get(key);
  return chicory::locationOf(node != nullptr ? *node : Table, File);
}

void TomlReader::addFinding(std::string_view key, std::string message) {
  Faults.add(locationOf(key), std::string(key) + ": " + std::move(message));
}

std::string TomlReader::text(std::string_view key, std::string fallback) {
  const toml::node *node = find(key);
  if (node == nullptr)
    return fallback;
  if (auto value = node->value_exact<std::string>())
    return *value;
  addFinding(key, "expected a string");
  return fallback;
}

std::string TomlReader::requiredText(std::string_view key) {
  if (find(key) == nullptr) {
    addFinding(key, "required key is missing");
    return {};
  }
  std::string value = text(key, {});
  if (value.empty() && find(key)->is_string())
    addFinding(key, "must not be empty");
  return value;
}

int64_t TomlReader::number(std::string_view key, int64_t fallback,
                           NumberBounds bounds) {
  const toml::node *node = find(key);
  if (node == nullptr)
    return fallback;
  auto value = node->value_exact<int64_t>();
  if (!value) {
    addFinding(key, "expected a whole number");
    return fallback;
  }
  if (*value < bounds.Min || *value > bounds.Max) {
    addFinding(key, "is " + std::to_string(*value) + ", expected " +
                        std::to_string(bounds.Min) + " to " +
                        std::to_string(bounds.Max));
    return fallback;
  }
  return *value;
}

bool TomlReader::flag(std::string_view key, bool fallback) {
  const toml::node *node = find(key);
  if (node == nullptr)
    return fallback;
  if (auto value = node->value_exact<bool>())
    return *value;
  addFinding(key, "expected true or false");
  return fallback;
}

Address TomlReader::address(std::string_view key, bool required) {
  if (find(key) == nullptr && !required)
    return {};
  std::string value = requiredText(key);
  if (value.empty())
    return {};
  std::optional<Address> parsed = parseAddress(value);
  if (!parsed) {
    addFinding(key,
               "\"" + value + "\" is not an IP:port, such as \"10.0.0.1:443\"");
    return {};
  }
  return *parsed;
}

Duration TomlReader::duration(std::string_view key, Duration fallback,
                              Duration min, Duration max) {
  if (find(key) == nullptr)
    return fallback;
  std::string value = text(key, {});
  std::optional<Duration> parsed = parseDuration(value);
  if (!parsed) {
    addFinding(key,
               "expected a time with its unit, such as \"250ms\" or \"3s\"");
    return fallback;
  }
  if (*parsed < min || *parsed > max) {
    addFinding(key, "is " + std::to_string(parsed->count()) + "us, expected " +
                        std::to_string(min.count()) + "us to " +
                        std::to_string(max.count()) + "us");
    return fallback;
  }
  return *parsed;
}

std::vector<std::pair<std::string, SourceLocation>>
TomlReader::texts(std::string_view key) {
  std::vector<std::pair<std::string, SourceLocation>> out;
  const toml::node *node = find(key);
  if (node == nullptr)
    return out;
  if (auto value = node->value_exact<std::string>()) {
    out.emplace_back(*value, locationOf(key));
    return out;
  }
  const toml::array *array = node->as_array();
  if (array == nullptr) {
    addFinding(key, "expected a string or a list of strings");
    return out;
  }
  for (const toml::node &it : *array) {
    SourceLocation place = chicory::locationOf(it, File);
    if (auto value = it.value_exact<std::string>())
      out.emplace_back(*value, place);
    else
      Faults.add(place, std::string(key) + ": expected a string");
  }
  return out;
}

const toml::table *TomlReader::table(std::string_view key) {
  const toml::node *node = find(key);
  if (node == nullptr)
    return nullptr;
  if (!node->is_table())
    addFinding(key, "expected a table");
  return node->as_table();
}

std::vector<const toml::table *> TomlReader::tables(std::string_view key) {
  std::vector<const toml::table *> out;
  const toml::node *node = find(key);
  if (node == nullptr)
    return out;
  const toml::array *array = node->as_array();
  if (array == nullptr) {
    addFinding(key, "expected a list of tables");
    return out;
  }
  for (const toml::node &it : *array) {
    if (const toml::table *item = it.as_table())
      out.push_back(item);
    else
      Faults.add(chicory::locationOf(it, File),
                 std::string(key) + ": expected a table");
  }
  return out;
}

void TomlReader::finish() {
  for (const auto &[key, node] : Table)
    if (!Known.contains(key.str()))
      Faults.add(chicory::locationOf(node, File),
                 "unknown key \"" + std::string(key.str()) + "\"");
}

} // namespace chicory
