// Findings: the errors in an input, each with its location.
//
// Checks don't stop at the first error. They add every error to one `Findings`
// list, and the caller reports the whole list.
//
//   Findings findings;
//   checkSettings(text, findings);
//   if (!findings.empty())
//     std::cerr << findings.text();

#ifndef CHICORYBANK_BASE_FINDINGS_H
#define CHICORYBANK_BASE_FINDINGS_H

#include <cstdint>
#include <string>
#include <vector>

namespace chicory {

/// A location in an input file. Lines and columns count from one; a line of
/// zero means the whole input.
struct SourceLocation {
  std::string File;
  uint32_t Line = 0;
  uint32_t Column = 0;
};

/// One error and its location.
struct Finding {
  SourceLocation Where;
  std::string Message;

  /// Returns "file:line:column: message", or "file: message" for a finding
  /// about the whole input.
  std::string text() const;
};

/// All errors of one input, in the order in which they were found.
class Findings {
public:
  void add(SourceLocation where, std::string message);
  bool empty() const { return Items.empty(); }
  const std::vector<Finding> &items() const { return Items; }
  /// Returns all findings, one per line.
  std::string text() const;

private:
  std::vector<Finding> Items;
};

} // namespace chicory

#endif
