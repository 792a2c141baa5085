// Responses are judged by what callers acknowledge, with the sizes that
// docs/HARD-LOAD.md gives.

#include "chicorybank/token/ResponseEvidence.h"

#include "Story.h"

#include <random>

using namespace story;
using namespace chicory::token;
using namespace std::chrono_literals;
using chicory::Address, chicory::Duration, chicory::Time;

namespace {

constexpr Address Feed{.Ip = 1, .Port = 443};
constexpr Time Start{1h};

bool isShort(ResponseBaselines &baselines, uint64_t bytes, Address at = Feed) {
  ObservedResponse response{static_cast<uint32_t>(bytes), 25ms};
  return baselines.classify(at, response) == ResponseKind::Short;
}

} // namespace

class ResponseEvidenceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResponseEvidenceTest);
  CPPUNIT_TEST(observesAResponseThatOnlyTheFinShows);
  CPPUNIT_TEST(separatesErrorsFromWholeResponses);
  CPPUNIT_TEST(forgetsRoutes);
  CPPUNIT_TEST_SUITE_END();

  // Guards against responses that look short or huge because positions wrap at
  // 2^32, or because an earlier acknowledgement arrives after a later one.
  void observesAResponseThatOnlyTheFinShows() {
    for (uint32_t start : {5U, ~0U - 5, 1U << 31}) {
      ResponseProgress progress;
      progress.onAcknowledged(start - 700, Start);
      expectTrue(!progress.markStalled() && !progress.finish(Start),
                 "no evidence from the end of a flow");
      progress.onRequest(start, Start);
      expectTrue(!progress.becameOverdue(20ms, Start + 19ms) &&
                     progress.becameOverdue(20ms, Start + 20ms) &&
                     !progress.becameOverdue(20ms, Start + 21ms),
                 "overdue once");
      expectTrue(progress.markStalled() && !progress.markStalled(), "once");
      for (uint32_t at : {start, start + 810, start + 500, start - 1})
        progress.onAcknowledged(at, Start + 25ms);
      auto it = progress.finish(Start + 25ms);
      expectTrue(it && it->Bytes == 810 && it->Took == Duration(25ms) &&
                     it->WasStalled && it->WasOverdue,
                 "all of it");
      progress.onRequest(start, Start); // Was overtaken by the response.
      progress.onAcknowledged(start + 810, Start);
      expectTrue(progress.isWaiting(), "an acknowledgement of the first");
    }
  }

  // Guards against healthy servers that are ejected for small responses, and
  // against errors that count as whole because a fifth of the responses were
  // errors while the route was learned. The limit of 3.5 deviations leaves
  // 0.02% of a normal distribution; with the sampling error of 64 sizes, 0.1%.
  void separatesErrorsFromWholeResponses() {
    constexpr int Runs = 100, Each = 1000, Learning = 200;
    std::mt19937_64 random(1);
    std::normal_distribution<double> normal;
    auto test = [&](double fixed, double median, double spread, bool fails) {
      ResponseBaselines baselines;
      double wrong = 0, whole = 0, missed = 0, errors = 1;
      for (int n = 0; n < Runs * Each; ++n) {
        if (n % Each == 0)
          baselines = {};
        if (fails && random() % 5 == 0) {
          auto size = random() % 2 ? 141 + random() % 16 : 175;
          missed += !isShort(baselines, size) && n % Each >= Learning;
          errors += n % Each >= Learning;
          continue;
        }
        double size = fixed + median * std::exp(spread * normal(random));
        wrong += isShort(baselines, static_cast<uint64_t>(size));
        ++whole;
        double relative = baselines.relativeTime(Feed, 150ms).value_or(6);
        expectTrue(std::abs(relative - 6) < 0.01, "6 times as long");
      }
      // With three standard errors of the sample.
      expectTrue(wrong / whole <= 0.001 + 3 * std::sqrt(0.001 / whole),
                 "at most 0.1% false short: " + toText(wrong / whole));
      expectTrue(missed / errors <= 0.01 + 3 * std::sqrt(0.01 / errors),
                 "errors are short, not missed: " + toText(missed / errors));
    };
    for (bool fails : {false, true}) {
      test(237, 2000, 0.6, fails);
      test(0, 809, 0.004, fails);
      test(0, 35'000, 0.6, fails);
      test(0, 35'000, 0.7, fails);
    }
  }

  // Guards against a route that counts as failing forever after a release whose
  // responses are smaller, and against a table that grows without a bound.
  void forgetsRoutes() {
    ResponseBaselines baselines;
    int wrong = 0;
    for (int n = 0; n < 1000; ++n)
      wrong += isShort(baselines, n < 64 ? 20'000 : 180);
    expectEqual(256, wrong);
    expectTrue(!isShort(baselines, 176), "no evidence if whole ones are small");
    for (uint32_t ip = 2; ip < 3000; ++ip) {
      isShort(baselines, 800, {.Ip = ip});
      if (ip < 1500)
        isShort(baselines, 800);
      expectTrue(baselines.size() <= ResponseBaselines::MaxRoutes, "bounded");
      expectEqual(ip < 1500 + ResponseBaselines::MaxRoutes - 1,
                  baselines.relativeTime(Feed, 1s).has_value());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResponseEvidenceTest);
