// Compares the imbalance and waiting times of request placement with simple
// baselines.
//
//   build/bench-imbalance [--load 0.8] [--seconds 60]
//
// Runs in simulated time: seven instances share fifteen targets with two slots
// each. Requests arrive at random and take 20 to 60 ms. A full target sheds a
// request, which is then tried at another one. Each placement gets the same
// arrivals.

#include "chicorybank/core/Targets.h"

#include "chicorybank/base/Hash.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

namespace {

using namespace chicory;

constexpr uint32_t Instances = 7;
constexpr uint32_t TargetCount = 15;
constexpr uint32_t Slots = 2;
constexpr double MeanWorkMs = 40;
constexpr int MaxTries = 4;
constexpr Duration RetryDelay = std::chrono::milliseconds(15);
constexpr Duration RequestTimeout = std::chrono::seconds(2);

Service makeService() {
  Service out{.Name = "records",
              .Id = shortServiceId(serviceIdOf("records")),
              .Slots = Slots};
  for (uint32_t i = 0; i < TargetCount; ++i)
    out.Targets.push_back(
        {.Id = {.Ip = 0x0a000001 + i, .Port = 80}, .Zone = "a"});
  return out;
}

struct Job {
  Time Arrived;
  uint32_t Instance = 0;
  int Tries = 0;
  std::vector<TargetId> Tried;
};

/// Chooses a target for a job. A job without a target waits for a completion.
class Placement {
public:
  virtual ~Placement() = default;
  virtual std::optional<TargetId> choose(const Job &job, Time now) = 0;
  virtual void sent(const Job & /*job*/, TargetId /*target*/) {}
  virtual void ended(const Job & /*job*/, TargetId /*target*/,
                     RequestEnd /*how*/, Time /*sentAt*/, Time /*now*/) {}
};

/// The placement that the load balancer uses.
class ProductPlacement : public Placement {
public:
  explicit ProductPlacement(const Service &service) : Records(service) {
    RuleSet rules;
    rules.Version = RuleVersion{1};
    rules.Services = {service};
    CompiledRules compiled(rules);
    std::vector<InstanceId> live;
    for (uint32_t i = 1; i <= Instances; ++i)
      live.push_back(InstanceId{i});
    for (InstanceId it : live) {
      TargetsByInstance.push_back(
          std::make_unique<Targets>(it, it.Value, TargetOptions()));
      TargetsByInstance.back()->learn(compiled, Time{});
      TargetsByInstance.back()->assignSlots(compiled, live);
    }
  }
  std::optional<TargetId> choose(const Job &job, Time now) override {
    return TargetsByInstance[job.Instance]->chooseForRequest(Records, job.Tried,
                                                             now);
  }
  void sent(const Job &job, TargetId target) override {
    TargetsByInstance[job.Instance]->requestSent(target);
  }
  void ended(const Job &job, TargetId target, RequestEnd how, Time sentAt,
             Time now) override {
    TargetsByInstance[job.Instance]->requestEnded(target, how, sentAt, now);
  }

private:
  Service Records;
  std::vector<std::unique_ptr<Targets>> TargetsByInstance;
};

class RoundRobin : public Placement {
public:
  std::optional<TargetId> choose(const Job &job, Time /*now*/) override {
    uint32_t n = Next[job.Instance]++ % TargetCount;
    return TargetId{.Ip = 0x0a000001 + n, .Port = 80};
  }

private:
  std::array<uint32_t, Instances> Next{};
};

class RandomChoice : public Placement {
public:
  std::optional<TargetId> choose(const Job & /*job*/, Time /*now*/) override {
    return TargetId{.Ip = 0x0a000001 +
                          static_cast<uint32_t>(Random() % TargetCount),
                    .Port = 80};
  }

private:
  std::mt19937 Random{3};
};

/// Chooses the least loaded target by reports that are renewed at a given age;
/// the first one on a tie.
class LeastReported : public Placement {
public:
  LeastReported(Duration age, const std::map<TargetId, uint32_t> &running)
      : Age(age), Running(running) {}
  std::optional<TargetId> choose(const Job & /*job*/, Time now) override {
    if (now - ReportedAt >= Age || Reported.empty()) {
      Reported = Running;
      ReportedAt = now;
    }
    auto least = std::min_element(
        Reported.begin(), Reported.end(),
        [](const auto &a, const auto &b) { return a.second < b.second; });
    return least->first;
  }

private:
  Duration Age;
  const std::map<TargetId, uint32_t> &Running;
  std::map<TargetId, uint32_t> Reported;
  Time ReportedAt{};
};

struct Result {
  double Imbalance = 0;
  double WaitP99Ms = 0;
  uint64_t Done = 0;
  uint64_t Lost = 0;
  uint64_t Sheds = 0;
};

class Simulation {
public:
  Simulation(double load, Duration length, uint64_t seed)
      : Length(length), Random(seed),
        ArrivalGap(load * TargetCount * Slots / (MeanWorkMs * 1000)) {
    for (const Target &it : Records.Targets) {
      Running[it.Id] = 0;
      JobsRun[it.Id] = 0;
    }
  }

  const Service &service() const { return Records; }
  const std::map<TargetId, uint32_t> &running() const { return Running; }

  Result run(Placement &placement) {
    ActivePlacement = &placement;
    arrive(Time{});
    while (!Queue.empty()) {
      auto it = Queue.begin();
      Now = it->first;
      std::function<void()> action = std::move(it->second);
      Queue.erase(it);
      action();
    }
    return summary();
  }

private:
  void schedule(Time time, std::function<void()> action) {
    Queue.emplace(time, std::move(action));
  }

  void arrive(Time time) {
    if (time - Time{} > Length)
      return;
    schedule(time, [this, time] {
      Job job{.Arrived = time,
              .Instance = static_cast<uint32_t>(Random() % Instances)};
      place(job);
      arrive(time + Duration(1 + static_cast<int64_t>(ArrivalGap(Random))));
    });
  }

  void place(const Job &job) {
    if (Now - job.Arrived > RequestTimeout) {
      ++Out.Lost;
      return;
    }
    std::optional<TargetId> target = ActivePlacement->choose(job, Now);
    if (!target) {
      Waiting[job.Instance].push_back(job);
      return;
    }
    ActivePlacement->sent(job, *target);
    if (Running[*target] >= Slots)
      return shed(job, *target);
    ++Running[*target];
    ++JobsRun[*target];
    WaitsMs.push_back(static_cast<double>((Now - job.Arrived).count()) / 1000);
    auto work = std::uniform_int_distribution<int64_t>(20'000, 60'000)(Random);
    schedule(Now + Duration(work), [this, job, target = *target, sentAt = Now] {
      --Running[target];
      ++Out.Done;
      ActivePlacement->ended(job, target, RequestEnd::Answered, sentAt, Now);
      retryWaiting(job.Instance);
    });
  }

  void shed(Job job, TargetId target) {
    ++Out.Sheds;
    ActivePlacement->ended(job, target, RequestEnd::Shed, Now, Now);
    job.Tried.push_back(target);
    if (++job.Tries >= MaxTries) {
      job.Tried.clear();
      job.Tries = 0;
    }
    schedule(Now + RetryDelay, [this, job] { place(job); });
  }

  void retryWaiting(uint32_t instance) {
    std::vector<Job> jobs = std::move(Waiting[instance]);
    Waiting[instance].clear();
    for (const Job &it : jobs)
      place(it);
  }

  Result summary() {
    double sum = 0;
    double maxCount = 0;
    for (const auto &[id, count] : JobsRun) {
      sum += static_cast<double>(count);
      maxCount = std::max(maxCount, static_cast<double>(count));
    }
    Out.Imbalance = maxCount * TargetCount / sum;
    std::sort(WaitsMs.begin(), WaitsMs.end());
    Out.WaitP99Ms = WaitsMs[WaitsMs.size() * 99 / 100];
    return Out;
  }

  Service Records = makeService();
  Duration Length;
  std::mt19937_64 Random;
  std::exponential_distribution<double> ArrivalGap;
  Placement *ActivePlacement = nullptr;
  Time Now;
  std::multimap<Time, std::function<void()>> Queue;
  std::map<TargetId, uint32_t> Running;
  std::map<TargetId, uint64_t> JobsRun;
  std::map<uint32_t, std::vector<Job>> Waiting;
  std::vector<double> WaitsMs;
  Result Out;
};

void print(const char *name, const Result &it) {
  std::printf("%-22s imbalance=%.3f wait_p99_ms=%.1f done=%lu lost=%lu "
              "sheds=%lu\n",
              name, it.Imbalance, it.WaitP99Ms,
              static_cast<unsigned long>(it.Done),
              static_cast<unsigned long>(it.Lost),
              static_cast<unsigned long>(it.Sheds));
}

} // namespace

int main(int argc, char **argv) {
  CLI::App app("Compares request placement with baselines, in simulated time.");
  double load = 0.8;
  int seconds = 60;
  uint64_t seed = 1;
  app.add_option("--load", load,
                 "Load as a share of the capacity of all slots");
  app.add_option("--seconds", seconds, "Simulated duration");
  app.add_option("--seed", seed, "Seed of the random numbers");
  CLI11_PARSE(app, argc, argv);
  auto newSimulation = [&] {
    return Simulation(load, std::chrono::seconds(seconds), seed);
  };
  {
    Simulation simulation = newSimulation();
    ProductPlacement placement(simulation.service());
    print("chicorybank", simulation.run(placement));
  }
  {
    Simulation simulation = newSimulation();
    RoundRobin placement;
    print("round robin", simulation.run(placement));
  }
  {
    Simulation simulation = newSimulation();
    RandomChoice placement;
    print("random", simulation.run(placement));
  }
  for (int age : {0, 2, 10}) {
    Simulation simulation = newSimulation();
    LeastReported placement(std::chrono::seconds(age), simulation.running());
    std::string name = "least reported, " + std::to_string(age) + " s old";
    print(name.c_str(), simulation.run(placement));
  }
  return 0;
}
