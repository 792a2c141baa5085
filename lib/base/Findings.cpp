#include "chicorybank/base/Findings.h"

#include <utility>

namespace chicory {

std::string Finding::text() const {
  std::string out = Where.File;
  if (Where.Line != 0)
    out +=
        ':' + std::to_string(Where.Line) + ':' + std::to_string(Where.Column);
  return out + ": " + Message;
}

void Findings::add(SourceLocation where, std::string message) {
  Items.push_back({.Where = std::move(where), .Message = std::move(message)});
}

std::string Findings::text() const {
  std::string out;
  for (const Finding &it : Items)
    out += it.text() + '\n';
  return out;
}

} // namespace chicory
