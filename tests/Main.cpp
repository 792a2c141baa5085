// Runs all tests, or those whose class is named on the command line.

#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>
#include <cstdlib>
#include <easylogging++.h>
#include <iostream>

INITIALIZE_EASYLOGGINGPP

int main(int argc, char **argv) {
  // The same inputs on every run, unless the environment asks for others.
  ::setenv("RC_PARAMS", "seed=20261202 max_success=60", 0);
  CppUnit::TextUi::TestRunner runner;
  runner.setOutputter(
      new CppUnit::CompilerOutputter(&runner.result(), std::cerr));
  CppUnit::Test *all = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
  runner.addTest(all);
  std::string wanted = argc > 1 ? argv[1] : "";
  bool ok = runner.run(wanted, false, true, false);
  return ok ? 0 : 1;
}
