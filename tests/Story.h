// Test helpers: nested sections whose titles appear in failure messages,
// expectations, and properties with generated inputs.
//
//   void FlowTableTest::forgetsErasedFlows() {
//     section("a table with one flow", [] {
//       FlowTable table(10);
//       table.insert(flow(1));
//       section("after the flow is erased", [&] {
//         table.erase(flow(1));
//         expectEqual<size_t>(0, table.size());
//       });
//     });
//   }

#ifndef CHICORYBANK_TESTS_STORY_H
#define CHICORYBANK_TESTS_STORY_H

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <sstream>
#include <string>
#include <vector>

namespace story {

/// Source position of an expectation. (clang 14 has no std::source_location.)
struct SourceLocation {
  const char *File = __builtin_FILE();
  int Line = __builtin_LINE();
};

/// Returns the titles of the active sections, outermost first.
inline std::vector<std::string> &sectionTitles() {
  static std::vector<std::string> out;
  return out;
}

/// Runs one part of a test; failure messages include its title.
template <typename Body> void section(const std::string &title, Body body) {
  sectionTitles().push_back(title);
  struct Pop {
    ~Pop() { sectionTitles().pop_back(); }
  } pop;
  body();
}

/// Fails the test; the message includes the titles of the active sections.
[[noreturn]] inline void fail(const std::string &what,
                              const SourceLocation &location = {}) {
  std::string path;
  for (const std::string &it : sectionTitles())
    path += "\n  " + it;
  throw CppUnit::Exception(CppUnit::Message(what + path),
                           CppUnit::SourceLine(location.File, location.Line));
}

template <typename T> std::string toText(const T &value) {
  std::ostringstream out;
  if constexpr (requires { out << value; })
    out << value;
  else
    out << "(a value that can't be printed)";
  return out.str();
}

template <typename T>
void expectEqual(const std::type_identity_t<T> &expected, const T &actual,
                 const SourceLocation &location = {}) {
  if (!(expected == actual))
    fail("expected " + toText(expected) + ", got " + toText(actual), location);
}

inline void expectTrue(bool condition, const std::string &what,
                       const SourceLocation &location = {}) {
  if (!condition)
    fail("expected: " + what, location);
}

/// Checks a property with generated inputs. The default seed is fixed (see
/// Main.cpp); RC_PARAMS="max_success=10000 seed=N" sets another and more runs.
template <typename Testable>
void property(const std::string &what, Testable testable,
              const SourceLocation &location = {}) {
  if (!rc::check(what, testable))
    fail("property: " + what, location);
}

} // namespace story

#endif
