// Tests that every reason has a unique name, a counter and a line in the docs.

#include "chicorybank/base/Reasons.h"

#include "daemon/Metrics.h"

#include "Story.h"

#include <fstream>
#include <set>
#include <sstream>

using namespace story;
using chicory::Reason;
using chicory::ReasonCount;
using chicory::reasonName;

namespace {

std::string readSource(const std::string &path) {
  std::ifstream in(std::string(CHICORY_SOURCE_DIR "/") + path);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

} // namespace

class ReasonsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReasonsTest);
  CPPUNIT_TEST(haveUniqueNames);
  CPPUNIT_TEST(haveACounterEach);
  CPPUNIT_TEST(haveALineInTheDocs);
  CPPUNIT_TEST_SUITE_END();

  void haveUniqueNames() {
    std::set<std::string_view> names;
    for (size_t i = 0; i < ReasonCount; ++i)
      names.insert(reasonName(static_cast<Reason>(i)));
    expectEqual<size_t>(ReasonCount, names.size());
  }

  void haveACounterEach() {
    chicory::CoreStats stats;
    for (size_t i = 0; i < ReasonCount; ++i)
      stats.Refusals[i] = 1000 + i;
    std::string text =
        chicory::renderMetrics(stats, chicory::WorkerCounters(), {});
    for (size_t i = 1; i < ReasonCount; ++i) {
      std::string line = "chicory_refusals_total{reason=\"" +
                         std::string(reasonName(static_cast<Reason>(i))) +
                         "\"} " + std::to_string(1000 + i);
      expectTrue(text.find(line) != std::string::npos, line);
    }
  }

  void haveALineInTheDocs() {
    std::string text = readSource("docs/REASONS.md");
    for (size_t i = 1; i < ReasonCount; ++i) {
      std::string cell =
          "| `" + std::string(reasonName(static_cast<Reason>(i))) + "` |";
      expectTrue(text.find(cell) != std::string::npos,
                 cell + " in docs/REASONS.md");
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReasonsTest);
