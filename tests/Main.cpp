// Runs all tests, or those of the class named on the command line.

#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>
#include <cstdlib>
#include <easylogging++.h>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>

INITIALIZE_EASYLOGGINGPP

namespace {

/// Returns the tests that KNOWN-RED.txt lists: the first word of each line that
/// is not a comment.
std::set<std::string> knownRed() {
  std::set<std::string> out;
  std::ifstream file(CHICORY_SOURCE_DIR "/KNOWN-RED.txt");
  for (std::string line; std::getline(file, line);) {
    std::istringstream words(line);
    std::string name;
    if (!(words >> name) || name.front() == '#')
      continue;
    if (name.back() == ':')
      name.pop_back();
    out.insert(name);
  }
  return out;
}

/// Returns true if only tests listed in KNOWN-RED.txt failed. Prints these.
bool onlyKnownFailed(const CppUnit::TestResultCollector &result) {
  std::set<std::string> known = knownRed();
  bool ok = true;
  for (const CppUnit::TestFailure *it : result.failures()) {
    bool listed = known.contains(it->failedTestName());
    ok = ok && listed;
    if (listed)
      std::cerr << "known red, passed over: " << it->failedTestName() << '\n';
  }
  return ok;
}

} // namespace

int main(int argc, char **argv) {
  // Generates the same inputs on every run unless the environment sets others.
  ::setenv("RC_PARAMS", "seed=20261202 max_success=60", 0);
  CppUnit::TextUi::TestRunner runner;
  runner.setOutputter(
      new CppUnit::CompilerOutputter(&runner.result(), std::cerr));
  CppUnit::Test *all = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
  runner.addTest(all);
  std::string wanted = argc > 1 ? argv[1] : "";
  runner.run(wanted, false, true, false);
  return onlyKnownFailed(runner.result()) ? 0 : 1;
}
