// Flows go to the servers that are expected to complete them first.

#include "chicorybank/token/ServerChoice.h"

#include "chicorybank/token/ServerSubsets.h"

#include "Story.h"
#include "TokenSamples.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

using namespace story;
using namespace samples::token;

namespace {

constexpr size_t Instances = 27;
constexpr double UsualRate = 495; // Requests a second at one of three zones.
constexpr double WorkSeconds = 0.028;
constexpr double WorkSpread = 0.4;

/// 40 servers with two slots each and a queue, and 27 instances that choose
/// among their subsets by what they have seen themselves.
struct Zone {
  explicit Zone(std::vector<double> speeds) : Speeds(std::move(speeds)) {
    for (uint64_t id = 1; id <= Speeds.size(); ++id)
      List.applyRegistration(server(id), Start);
    std::vector<ZonedInstance> all;
    for (uint32_t id = 1; id <= Instances; ++id)
      all.push_back({.Id = InstanceId{id}, .Zone = "a"});
    for (const ZonedInstance &it : all) {
      Choosers.push_back({.Subsets = {"a", it.Id, {}}});
      Choosers.back().Subsets.setInstances(all);
      Choosers.back().Subsets.refresh(Records, List, Start);
      Choosers.back().Ends.resize(Speeds.size());
      Choosers.back().LogSlowness.resize(Speeds.size());
    }
    Busy.resize(Speeds.size());
  }

  /// Sends requests at random times and returns the number at each server in
  /// the last three quarters of the time.
  std::vector<double> run(double load, double seconds) {
    std::vector<double> out(Speeds.size());
    std::exponential_distribution<double> gap(UsualRate * load);
    std::lognormal_distribution<double> work(std::log(WorkSeconds), WorkSpread);
    for (double at = 0; at < seconds; at += gap(Random)) {
      Chooser &it = Choosers[Random() % Instances];
      BackendIndex i = it.choose(List, at);
      double &slot = *std::min_element(Busy[i].begin(), Busy[i].end());
      slot = std::max(slot, at) + work(Random) / Speeds[i];
      it.Ends[i].push_back({.SentAt = at, .EndsAt = slot});
      out[i] += at >= seconds / 4 ? 1 : 0;
    }
    return out;
  }

private:
  struct Request {
    double SentAt = 0;
    double EndsAt = 0;
  };
  struct Chooser {
    ServerSubsets Subsets;
    RecentOpenings Recent;
    std::vector<std::vector<Request>> Ends;
    std::vector<double> LogSlowness;

    void learn(BackendIndex i, double at) {
      std::erase_if(Ends[i], [&](const Request &it) {
        if (it.EndsAt > at)
          return false;
        double relative = (it.EndsAt - it.SentAt) / WorkSeconds;
        relative = std::log(std::clamp(relative, 0.2, 12.0));
        LogSlowness[i] += (relative - LogSlowness[i]) / 8;
        return true;
      });
    }
    BackendIndex choose(const Backends &servers, double at) {
      Time now = Start + Duration{static_cast<int64_t>(at * 1e6)};
      std::vector<SubsetMember> members;
      Subsets.select(
          Records, "a", [](BackendIndex) { return true; }, members);
      BackendIndex out = NoBackend;
      double lowest = 0;
      for (const SubsetMember &it : members) {
        learn(it.Server, at);
        BackendId id = servers.at(it.Server).Info.Id;
        double cost =
            expectedCost({.Server = it.Server,
                          .Weight = it.Weight,
                          .Load = static_cast<double>(Ends[it.Server].size()),
                          .Recent = Recent.at(it.Server, id, now),
                          .Slowness = std::exp(LogSlowness[it.Server])});
        if (out != NoBackend && cost >= lowest)
          continue;
        out = it.Server;
        lowest = cost;
      }
      Recent.add(out, servers.at(out).Info.Id, now);
      return out;
    }
  };

  std::vector<double> Speeds;
  Backends List{{}};
  std::vector<Chooser> Choosers;
  std::vector<std::array<double, 2>> Busy;
  std::minstd_rand Random{7};
};

/// Returns the mean of every third value, relative to the mean of all.
double shareOf(const std::vector<double> &counts, size_t first) {
  double sum = 0;
  double n = 0;
  for (size_t i = first; i < counts.size(); i += 3, ++n)
    sum += counts[i];
  double mean = std::accumulate(counts.begin(), counts.end(), 0.0) /
                static_cast<double>(counts.size());
  return sum / n / mean;
}

} // namespace

class ServerChoiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerChoiceTest);
  CPPUNIT_TEST(costsGrowWithLoadTimeAndFailures);
  CPPUNIT_TEST(recentOpeningsDecay);
  CPPUNIT_TEST(sharesTheLoadBySpeed);
  CPPUNIT_TEST(equalServersTakeTurns);
  CPPUNIT_TEST(keepsMostFlowsAwayFromASlowServer);
  CPPUNIT_TEST_SUITE_END();

  void costsGrowWithLoadTimeAndFailures() {
    expectEqual(1.0, expectedCost({}));
    expectEqual(8.0, expectedCost({.Load = 2, .Recent = 1, .Slowness = 2}));
    expectEqual(4.0, expectedCost({.Weight = 0.5, .Penalty = 2}));
    expectEqual(2.0, expectedCost({.FailureShare = 0.5}));
    // A server that has only failed must not cost infinitely much: it would
    // never get the request that shows it has recovered.
    expectEqual(5.0, expectedCost({.FailureShare = 1}));
  }

  void recentOpeningsDecay() {
    RecentOpenings recent;
    for (int n = 0; n < 500; ++n)
      recent.add(3, BackendId{7}, Start + n * 10ms);
    double held = recent.at(3, BackendId{7}, Start + 5s);
    expectTrue(held > 95 && held < 105, "100 a second, got " + toText(held));
    held = recent.at(3, BackendId{7}, Start + 6s);
    expectTrue(held > 35 && held < 39, "1/e after a second: " + toText(held));
    // Guards against a new server that inherits the openings of the former
    // owner of its index, and gets no flow.
    expectEqual(0.0, recent.at(3, BackendId{8}, Start + 5s));
    expectEqual(0.0, recent.at(9, BackendId{7}, Start + 5s));
  }

  // Servers at 0.6, 1.0 and 1.6 of the usual speed, under 1.5 and 4 times the
  // usual load. Guards against slow servers that fill up while fast ones idle:
  // at 4 times, equal shares would use 1.25 of the slow ones' capacity.
  void sharesTheLoadBySpeed() {
    std::vector<double> speeds;
    for (size_t n = 0; n < 40; ++n)
      speeds.push_back(std::array{0.6, 1.0, 1.6}[n % 3]);
    for (double load : {1.5, 4.0}) {
      std::vector<double> counts = Zone(speeds).run(load, 20);
      std::array shares{shareOf(counts, 0), shareOf(counts, 1),
                        shareOf(counts, 2)};
      section(toText(load) + ": " + toText(shares[0]) + ", " +
                  toText(shares[1]) + ", " + toText(shares[2]),
              [&] {
                expectTrue(shares[0] < 0.7 && shares[0] > 0.3, "slow");
                expectTrue(shares[1] < 1.15 && shares[1] > 0.75, "usual");
                expectTrue(shares[2] < 1.8 && shares[2] > 1.3, "fast");
              });
    }
  }

  // Guards against all flows of a zone at the server that happens to look
  // cheapest, under half and twice the usual load.
  void equalServersTakeTurns() {
    for (double load : {0.5, 2.0}) {
      std::vector<double> counts =
          Zone(std::vector<double>(40, 1)).run(load, 20);
      double mean = std::accumulate(counts.begin(), counts.end(), 0.0) / 40;
      for (double it : counts)
        expectTrue(it > 0.75 * mean && it < 1.25 * mean,
                   "the mean, got " + toText(it / mean));
    }
  }

  // One of 40 servers is five times slower, under 1.5 times the usual load.
  void keepsMostFlowsAwayFromASlowServer() {
    std::vector<double> speeds(40, 1);
    speeds[11] = 0.2;
    std::vector<double> counts = Zone(speeds).run(1.5, 20);
    double mean = std::accumulate(counts.begin(), counts.end(), 0.0) / 40;
    expectTrue(counts[11] <= mean / 3,
               "a third, got " + toText(counts[11] / mean));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerChoiceTest);
