// Findings: what is wrong with an input, each with its place.
//
// Checks don't stop at the first fault. They add to one `Findings` list, and
// the caller reports all of it.
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

/// Where in an input something stands. Lines and columns count from one; zero
/// means that the place is the whole input.
struct SourceLocation {
  std::string File;
  uint32_t Line = 0;
  uint32_t Column = 0;
};

/// One fault and its place.
struct Finding {
  SourceLocation Where;
  std::string Message;

  /// "file:line:column: message".
  std::string text() const;
};

/// All faults of one input, in the order in which they were found.
class Findings {
public:
  /// Adds one fault.
  void add(SourceLocation where, std::string message);
  bool empty() const { return Items.empty(); }
  const std::vector<Finding> &items() const { return Items; }
  /// One line for each finding.
  std::string text() const;

private:
  std::vector<Finding> Items;
};

} // namespace chicory

#endif
