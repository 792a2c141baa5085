// Tests the edge's log lines.

#include "edge/Log.h"

#include "Story.h"

#include <unistd.h>

using namespace story;
using namespace chicory;
using namespace chicory::edge;
using namespace std::chrono_literals;

namespace {

/// Captures what is written to a pipe.
class CapturedOutput {
public:
  CapturedOutput() { expectTrue(::pipe(Ends) == 0, "a pipe"); }
  ~CapturedOutput() {
    ::close(Ends[0]);
    ::close(Ends[1]);
  }
  int fd() const { return Ends[1]; }
  std::string text() const {
    std::string out(1 << 16, '\0');
    out.resize(static_cast<size_t>(::read(Ends[0], out.data(), out.size())));
    return out;
  }

private:
  int Ends[2] = {};
};

size_t countLinesWith(const std::string &text, const std::string &part) {
  size_t out = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1))
    ++out;
  return out;
}

} // namespace

class LogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogTest);
  CPPUNIT_TEST(describesADecision);
  CPPUNIT_TEST(describesWhyAServerIsGone);
  CPPUNIT_TEST(quotesSpecialCharacters);
  CPPUNIT_TEST(limitsEachReasonSeparately);
  CPPUNIT_TEST_SUITE_END();

  void describesADecision() {
    Time now{10s};
    LogLine line =
        decisionLine({.What = "flow_reset",
                      .Why = Reason::BackendGone,
                      .At = now - 3ms,
                      .Flow = {.Source = {.Ip = 0x64400001, .Port = 7},
                               .Destination = {.Ip = 1, .Port = 443}},
                      .Backend = token::BackendId{0xab},
                      .Rules = RuleVersion{9},
                      .Age = 40ms},
                     now);
    expectEqual<std::string>(" why=backend_gone caller=100.64.0.1:7 "
                             "route=0.0.0.1:443 server=ab rules=9 age_ms=40 "
                             "ago_ms=3",
                             line.text());
  }

  // Guards against a log that does not show which registration ended a server,
  // and against an age in hours before the updates were confirmed as current.
  void describesWhyAServerIsGone() {
    Time now{10s};
    LogLine line = decisionLine(
        {.What = "backend_gone",
         .At = now - 3ms,
         .Backend = token::BackendId{0xab},
         .Age = std::nullopt,
         .Cause = "address_taken",
         .Conflict =
             {{.Where = {.Ip = 10, .Port = 80},
               .Order = {.Generation = 2, .Revision = 61},
               .Other = token::BackendId{0xcd},
               .OtherOrder = {.Generation = 3,
                              .Revision = 45,
                              .Origin = token::RegistrationOrigin::UpToThis}}}},
        now);
    expectEqual<std::string>(" server=ab rules=0 age_ms=unknown ago_ms=3 "
                             "cause=address_taken address=0.0.0.10:80 "
                             "order=2:61 other=cd other_order=3:45/or_earlier",
                             line.text());
  }

  void quotesSpecialCharacters() {
    expectEqual<std::string>(R"( a="" b="x \"y\" z")",
                             LogLine("event")
                                 .with("a", std::string())
                                 .with("b", std::string("x \"y\"\nz"))
                                 .text());
  }

  // Guards against a reset that is missing from the log because one rate limit
  // counts all lines, and a flood of resets for another reason uses it up in
  // the same second.
  void limitsEachReasonSeparately() {
    CapturedOutput output;
    Log log(output.fd(), "one");
    for (int n = 0; n < 100; ++n)
      log.write(LogLine("flow_reset").withReason(Reason::NoMatch));
    log.write(LogLine("flow_reset").withReason(Reason::BackendGone));
    std::string text = output.text();
    size_t many = countLinesWith(text, "why=no_match");
    expectTrue(many >= Log::LinesPerSecond &&
                   many <= size_t{2} * Log::LinesPerSecond,
               "the flood is limited");
    expectEqual<size_t>(1, countLinesWith(text, "why=backend_gone"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);
