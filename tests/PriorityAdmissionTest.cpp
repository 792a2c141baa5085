// Under a shortage the lowest priority is refused first, and pressing callers
// before others. The loads are a loop over arrivals and a pool with a fixed
// number of places, as servers with 2 slots and a queue of 8 have; a request
// that finds no place is rejected.

#include "chicorybank/token/PriorityAdmission.h"

#include "Story.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <iostream>
#include <queue>
#include <random>

using namespace story;
using namespace chicory;
using namespace chicory::token;
using namespace std::chrono_literals;

namespace {

constexpr ServiceId Records{1};
constexpr ServiceId Certificates{2};
constexpr Time Start{100s};

constexpr uint32_t High = 1;
constexpr uint32_t Low = 2;

/// Requests of one priority and zone.
struct Kind {
  uint32_t Priority = Low;
  double PerSecond = 0;
  Duration Work = 26ms;
  uint32_t Callers = 100;
  uint32_t FirstCaller = 0;
  size_t Zone = 0;
};

/// The dispatch kinds at 0.52 of their rate, which take 22 of 33 slots.
Kind polls(double factor) {
  return {.Priority = Low, .PerSecond = 600 * factor};
}
Kind confirmations(double factor) {
  return {.Priority = High, .PerSecond = 172 * factor, .Work = 33ms};
}

struct Tally {
  double Offered = 0;
  double Served = 0;
  double Rejected = 0;
  double Refused = 0;

  double servedShare() const { return Served / Offered; }
};

/// Pools of one or more zones, one instance in each. A request goes to the pool
/// of its zone, or to another one with a free place if its own has none.
/// Arrivals are Poisson, work times have a spread of 0.4; the seed is fixed.
struct Load {
  std::vector<Kind> Kinds;
  /// Slots by zone; each has a queue of 4 further places.
  std::vector<size_t> Slots = {33};
  bool Admits = true;
  Duration Lasts = 10s;

  std::vector<Tally> run() const;
};

/// The state of a run of a load.
class Run {
public:
  explicit Run(const Load &load)
      : What(load), Tallies(load.Kinds.size()), Pools(load.Slots.size()),
        Instances(load.Slots.size(), PriorityAdmission(AdmissionOptions{})) {
    for (PriorityAdmission &it : Instances)
      it.setPriorities(Records, {High, Low});
  }

  void tick(Time now) {
    for (Pool &pool : Pools)
      for (; !pool.InPlaces.empty() && pool.InPlaces.top().first <= now;
           pool.InPlaces.pop())
        Instances[pool.InPlaces.top().second].recordOutcome(Records, true, now);
    std::vector<size_t> arrivals;
    for (size_t k = 0; k < What.Kinds.size(); ++k)
      arrivals.insert(arrivals.end(),
                      std::poisson_distribution<size_t>(
                          What.Kinds[k].PerSecond / 1000)(Random),
                      k);
    std::shuffle(arrivals.begin(), arrivals.end(), Random);
    for (size_t k : arrivals)
      arrive(What.Kinds[k], Tallies[k], now);
  }
  std::vector<Tally> tallies() const { return Tallies; }

private:
  template <typename T>
  using Earliest = std::priority_queue<T, std::vector<T>, std::greater<>>;
  struct Pool {
    Earliest<std::pair<Time, size_t>> InPlaces; // When it ends; the instance.
    Earliest<Time> SlotsFree;
  };

  bool isFull(size_t zone) const {
    return Pools[zone].InPlaces.size() >= What.Slots[zone] * 5;
  }
  void arrive(const Kind &kind, Tally &tally, Time now) {
    ++tally.Offered;
    PriorityAdmission &instance = Instances[kind.Zone];
    auto caller =
        static_cast<uint32_t>(kind.FirstCaller + Random() % kind.Callers);
    if (What.Admits &&
        !instance.admit(Records, kind.Priority, caller, false, now)) {
      ++tally.Refused;
      return;
    }
    size_t zone = kind.Zone;
    size_t first = Random() % Pools.size();
    for (size_t n = 0; n < Pools.size() && isFull(zone); ++n)
      zone = (first + n) % Pools.size();
    if (isFull(zone)) {
      ++tally.Rejected;
      instance.recordOutcome(Records, false, now);
      return;
    }
    ++tally.Served;
    std::lognormal_distribution<double> spread(-0.08, 0.4);
    Pool &pool = Pools[zone];
    Time from = now;
    if (pool.SlotsFree.size() >= What.Slots[zone]) {
      from = std::max(now, pool.SlotsFree.top());
      pool.SlotsFree.pop();
    }
    Time end =
        from + std::chrono::duration_cast<Duration>(kind.Work * spread(Random));
    pool.SlotsFree.push(end);
    pool.InPlaces.emplace(end, kind.Zone);
  }

  const Load &What;
  std::vector<Tally> Tallies;
  std::vector<Pool> Pools;
  std::vector<PriorityAdmission> Instances;
  std::mt19937 Random{9100101};
};

std::vector<Tally> Load::run() const {
  Run run(*this);
  for (Time now = Start; now < Start + Lasts; now += 1ms)
    run.tick(now);
  return run.tallies();
}

struct Comparison {
  std::vector<Tally> With;
  std::vector<Tally> Without;

  /// The requests of a kind that were not served, relative to those without
  /// admission control.
  double lossRatio(size_t kind) const {
    return (1 - With[kind].servedShare()) / (1 - Without[kind].servedShare());
  }
};

/// Runs a load with and without admission control, and prints the results for
/// the design note if CHICORY_PRINT_LOADS is set.
Comparison compare(const std::string &name, Load load) {
  Comparison out{.With = load.run()};
  load.Admits = false;
  out.Without = load.run();
  for (const auto &tallies : {out.Without, out.With})
    for (const Tally &it : tallies)
      if (std::getenv("CHICORY_PRINT_LOADS"))
        std::cerr << name << ": served " << it.servedShare() << " rejected "
                  << it.Rejected / it.Offered << " refused "
                  << it.Refused / it.Offered << "\n";
  return out;
}

/// An instance with the shares that failures of a service have led to.
struct Limited {
  PriorityAdmission Admission{AdmissionOptions{}};
  Time Now = Start;
  double Failed = 0;

  explicit Limited(std::vector<uint32_t> priorities = {High, Low}) {
    Admission.setPriorities(Records, std::move(priorities));
  }
  /// Records 100 outcomes a second.
  void outcomes(Duration lasts, double failureShare) {
    for (Time end = Now + lasts; Now < end; Now += 10ms) {
      Failed += failureShare;
      bool good = Failed < 1;
      Failed -= good ? 0 : 1;
      Admission.recordOutcome(Records, good, Now);
    }
  }
  size_t admitted(size_t flows, bool roomKnown = false) {
    size_t out = 0;
    for (uint32_t n = 0; n < flows; ++n)
      out += Admission.admit(Records, Low, n, roomKnown, Now) ? 1 : 0;
    return out;
  }
  double share(uint32_t priority = Low) const {
    return Admission.admittedShare(Records, priority);
  }
};

} // namespace

class PriorityAdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PriorityAdmissionTest);
  CPPUNIT_TEST(protectsConfirmationsFromThreeTimesThePolls);
  CPPUNIT_TEST(limitsPollsUnderThreeTimesTheConfirmations);
  CPPUNIT_TEST(protectsConfirmationsUnderThreeTimesTheLoad);
  CPPUNIT_TEST(limitsTheCallersOfAPressingZone);
  CPPUNIT_TEST(refusesPressingCallersFirst);
  CPPUNIT_TEST(refusesNothingWithoutAShortage);
  CPPUNIT_TEST(keepsAFloorAndLimitsTheNextPriority);
  CPPUNIT_TEST(growsBackHighestPriorityFirst);
  CPPUNIT_TEST(decidesNothingOnFewOutcomes);
  CPPUNIT_TEST(admitsAllAfterIdleTimeAndSuspension);
  CPPUNIT_TEST(keepsSharesAcrossConfigurations);
  CPPUNIT_TEST(boundsItsWorkUnderAFloodOfCallers);
  CPPUNIT_TEST_SUITE_END();

  // Polls x3: without admission control the confirmations lose the same share
  // as the polls that cause the shortage.
  void protectsConfirmationsFromThreeTimesThePolls() {
    auto result = compare("polls x3", {.Kinds = {confirmations(1), polls(3)}});
    expectTrue(result.lossRatio(0) < 1.0 / 3, "confirmations lose a third");
    expectTrue(result.With[1].Rejected < result.Without[1].Rejected / 3,
               "polls are refused before they take a place");
  }

  // Confirmations x3: the highest priority itself presses; polls pay.
  void limitsPollsUnderThreeTimesTheConfirmations() {
    auto result = compare("confirmations x3, polls x1.3",
                          {.Kinds = {confirmations(3), polls(1.3)}});
    expectTrue(result.With[0].Refused == 0, "the highest is never refused");
    expectTrue(result.lossRatio(0) < 0.5, "confirmations lose half");
  }

  // All x3: the floor of the polls still leaves room for all confirmations.
  void protectsConfirmationsUnderThreeTimesTheLoad() {
    auto result = compare("all x3", {.Kinds = {confirmations(3), polls(3)}});
    expectTrue(result.lossRatio(0) < 1.0 / 3, "confirmations lose a third");
    expectTrue(result.With[1].servedShare() > 0.25, "polls keep their floor");
  }

  // One zone's callers x2.5, so that its flows fill the servers of the other
  // zones too. The confirmations of all zones must not pay for its polls.
  void limitsTheCallersOfAPressingZone() {
    Load load{.Slots = {28, 28, 28}};
    for (size_t zone = 0; zone < 3; ++zone)
      for (Kind kind : {confirmations(1), polls(1)}) {
        kind.PerSecond *= zone == 0 ? 2.5 : 1;
        kind.Zone = zone;
        load.Kinds.push_back(kind);
      }
    auto result = compare("one zone x2.5", load);
    for (size_t k = 0; k < 6; k += 2)
      expectTrue(result.lossRatio(k) < 0.5,
                 "confirmations of each zone lose half");
  }

  // Five callers send as much as a hundred others. Without admission control,
  // or with a share alone, the others pay for them.
  void refusesPressingCallersFirst() {
    Kind few = polls(1);
    few.Callers = 5;
    few.FirstCaller = 1000;
    auto result =
        compare("five callers x20",
                {.Kinds = {confirmations(1), polls(1), few}, .Slots = {27}});
    expectTrue(result.lossRatio(1) < 1.0 / 3, "usual callers lose a third");
    expectTrue(result.With[1].Refused < result.With[2].Refused / 20,
               "pressing callers are refused first");
    expectTrue(result.With[2].servedShare() > 0.1, "but not cut off");
  }

  // Guards against refusals that no shortage demands.
  void refusesNothingWithoutAShortage() {
    Load load{.Kinds = {confirmations(1), polls(1)}};
    expectTrue(load.run()[1].Refused == 0, "the usual load");
    section("a server is known to have room", [] {
      Limited it;
      it.outcomes(2s, 0.5);
      expectEqual<size_t>(100, it.admitted(100, true));
      // Room that was used leaves no refusals to make up for.
      expectEqual<size_t>(2, it.admitted(8));
    });
    section("one priority, also if it is listed several times", [] {
      Limited it({Low, Low});
      it.outcomes(2s, 0.5);
      expectEqual<size_t>(100, it.admitted(100));
    });
    section("a service or priority that is not configured", [] {
      Limited it;
      it.outcomes(2s, 0.5);
      expectTrue(it.Admission.admit(Certificates, Low, 1, false, it.Now) &&
                     it.Admission.admit(Records, 7, 1, false, it.Now),
                 "admitted");
    });
  }

  void keepsAFloorAndLimitsTheNextPriority() {
    Limited it({0, High, Low});
    it.outcomes(700ms, 0.4);
    expectTrue(it.share(Low) < 1, "the lowest is limited");
    expectEqual(1.0, it.share(High));
    it.outcomes(5s, 0.9);
    expectEqual(0.25, it.share(Low));
    expectEqual(0.25, it.share(High));
    expectEqual(1.0, it.share(0));
    expectEqual<size_t>(25, it.admitted(100));
    section("a share of 0.4 admits two of five", [] {
      Limited other;
      for (int n = 0; n < 20; ++n)
        other.Admission.recordOutcome(Records, n >= 12, other.Now);
      other.Now += 200ms;
      std::string order;
      for (uint32_t n = 0; n < 10; ++n)
        order += other.admitted(1) == 1 ? 'a' : 'r';
      expectEqual(0.4, std::round(other.share() * 1e9) / 1e9);
      expectEqual<std::string>("ararrararr", order);
    });
  }

  // Guards against a lower priority that takes the capacity which a higher one
  // still lacks.
  void growsBackHighestPriorityFirst() {
    Limited it({0, High, Low});
    it.outcomes(5s, 0.9);
    bool inOrder = true;
    for (int n = 0; n < 300; ++n) {
      it.outcomes(10ms, 0);
      inOrder &= it.share(Low) == 0.25 || it.share(High) == 1;
    }
    expectTrue(inOrder, "the higher priority grows first");
    it.outcomes(1s, 0);
    expectEqual(1.0, it.share(Low));
    section("a failure share between the limits changes nothing", [] {
      Limited other;
      other.outcomes(700ms, 0.3);
      other.outcomes(600ms, 0.03);
      double before = other.share();
      other.outcomes(5s, 0.03);
      expectEqual(before, other.share());
    });
  }

  // Guards against decisions by chance: one failure of three is a third.
  void decidesNothingOnFewOutcomes() {
    Limited it;
    for (int n = 0; n < 40; ++n, it.Now += 125ms)
      it.Admission.recordOutcome(Records, false, it.Now);
    expectEqual(1.0, it.share());
    // An instance with 28 outcomes a second has 14 in half a second. Without a
    // longer window it would never act.
    section("28 a second are enough in a longer window", [] {
      Limited slow;
      for (int n = 0; n < 56; ++n, slow.Now += 36ms)
        slow.Admission.recordOutcome(Records, n % 2 == 0, slow.Now);
      expectTrue(slow.share() < 0.6, "limited: " + toText(slow.share()));
    });
  }

  // Guards against refusals long after the shortage, by evidence that is old.
  void admitsAllAfterIdleTimeAndSuspension() {
    Limited idle;
    idle.outcomes(3s, 0.9);
    idle.Now += 1s;
    expectTrue(idle.admitted(20) < 20, "limited after a second");
    idle.Now += 5s;
    expectEqual<size_t>(20, idle.admitted(20));
    section("the machine was suspended for a month", [] {
      Limited it;
      it.outcomes(3s, 0.9);
      it.Now += 24h * 30;
      it.Admission.recordOutcome(Records, false, it.Now);
      expectEqual(1.0, it.share());
      it.outcomes(1s, 0.5);
      expectTrue(it.share() < 1, "new evidence counts");
    });
    section("times that go back change nothing", [] {
      Limited it;
      it.outcomes(3s, 0.9);
      double before = it.share();
      it.Now -= 10s;
      it.admitted(10);
      it.Admission.recordOutcome(Records, true, it.Now);
      expectEqual(before, it.share());
    });
  }

  // Guards against a burst after each change of the configuration.
  void keepsSharesAcrossConfigurations() {
    Limited it;
    it.outcomes(3s, 0.9);
    it.Admission.setPriorities(Records, {Low, 5, High});
    expectEqual(0.25, it.share(Low));
    expectEqual(1.0, it.share(5));
    section("the only priority that is left is not limited", [&] {
      it.Admission.setPriorities(Records, {Low});
      expectEqual(1.0, it.share(Low));
      expectEqual<size_t>(100, it.admitted(100));
    });
  }

  // A flood of addresses must not hide the callers that press; the table of
  // callers has a fixed size.
  void boundsItsWorkUnderAFloodOfCallers() {
    Limited it;
    it.outcomes(700ms, 0.3);
    size_t pressing = 0;
    for (uint32_t n = 0; n < 100'000; ++n) {
      if (n % 100 == 0)
        it.outcomes(10ms, 0.03);
      it.Admission.admit(Records, Low, 1'000'000 + n, false, it.Now);
      if (n % 10 == 0)
        pressing += it.Admission.admit(Records, Low, 1, false, it.Now) ? 1 : 0;
    }
    expectTrue(pressing < 2'000, "of 10,000: " + toText(pressing));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PriorityAdmissionTest);
