#include "chicorybank/core/Targets.h"

#include "chicorybank/base/Hash.h"
#include "chicorybank/core/Rendezvous.h"

#include <algorithm>

namespace chicory {

namespace {

// A new flow goes to the second target in its order if the first target's load
// is above the second one's load times `LoadSlack` plus `FlowSlack`.
constexpr double LoadSlack = 1.1;
constexpr double FlowSlack = 2;
// Weight of one sample in the moving mean of the service time.
constexpr double SampleWeight = 0.1;
// Fraction of its weight that a new target starts with.
constexpr double MinSlowStartFactor = 0.1;
// The borrow window grows by `BorrowGrowth` with each answer and is multiplied
// by `BorrowShrink` with each shed request. In equilibrium the share of shed
// requests is BorrowGrowth / ((1 - BorrowShrink) * window), which is below the
// retry budget.
constexpr double BorrowGrowth = 0.02;
constexpr double BorrowShrink = 0.5;
constexpr double MinBorrowWindow = 0.05;
constexpr double MaxBorrowWindow = 1000;

bool contains(std::span<const TargetId> ids, TargetId id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

Targets::Targets(InstanceId self, uint64_t seed, TargetOptions options)
    : Self(self), Random(static_cast<uint32_t>(seed)), Options(options) {}

void Targets::learn(const CompiledRules &rules, Time now) {
  bool first = States.empty();
  for (const Service &service : rules.set().Services) {
    for (const Target &target : service.Targets) {
      auto [it, fresh] = States.try_emplace(target.Id);
      TargetState &state = it->second;
      state.Service = service.Id;
      state.Weight = target.Weight;
      state.OperatorDrain = target.Drain;
      // Targets of the first rule set are not new: no slow start for them.
      if (fresh)
        state.FirstSeen = first ? now - Options.SlowStart : now;
    }
  }
  std::erase_if(States, [&](const auto &entry) {
    const TargetState &state = entry.second;
    return rules.serviceOfTarget(entry.first) == nullptr && state.Flows == 0 &&
           state.InFlight == 0;
  });
}

void Targets::assignSlots(const CompiledRules &rules,
                          std::span<const InstanceId> live) {
  for (auto &[id, state] : States)
    state.Share = 0;
  if (live.empty())
    return;
  for (const Service &service : rules.set().Services) {
    // Each service starts at a different instance, so that the remainders of
    // all services don't go to the same instance.
    size_t turn = mixHash(service.Id.Value, 1) % live.size();
    for (uint32_t slot = 0; slot < service.Slots; ++slot) {
      for (const Target &target : service.Targets) {
        if (live[turn] == Self)
          ++States[target.Id].Share;
        turn = (turn + 1) % live.size();
      }
    }
  }
}

bool Targets::isAvailable(const TargetState &state, Time now) const {
  return !state.OperatorDrain && state.DrainingUntil <= now &&
         state.EjectedUntil <= now;
}

double Targets::slowStartFactor(const TargetState &state, Time now) const {
  Duration age = now - state.FirstSeen;
  if (age >= Options.SlowStart)
    return 1;
  double part = static_cast<double>(age.count()) /
                static_cast<double>(Options.SlowStart.count());
  return std::max(MinSlowStartFactor, part);
}

std::optional<TargetId> Targets::chooseForFlow(const Service &service,
                                               uint64_t flowHash,
                                               size_t instances,
                                               Time now) const {
  struct Choice {
    TargetId Id;
    double Score = -1;
    double Load = 0;
  };
  // This instance may use twice its even share of a target's connections,
  // because the flows of one target spread unevenly over the homes.
  uint32_t maxFlows = std::max<uint32_t>(
      1, service.Connections * 2 /
             static_cast<uint32_t>(std::max<size_t>(instances, 2)));
  Choice first;
  Choice second;
  for (const Target &target : service.Targets) {
    const TargetState *state = find(target.Id);
    if (state == nullptr || !isAvailable(*state, now) ||
        state->Flows >= maxFlows)
      continue;
    double weight = target.Weight * slowStartFactor(*state, now);
    Choice choice{.Id = target.Id,
                  .Score = rendezvousScore(flowHash, target.Id, weight),
                  .Load = state->Flows / weight};
    if (choice.Score > first.Score) {
      second = first;
      first = choice;
    } else if (choice.Score > second.Score) {
      second = choice;
    }
  }
  if (first.Score < 0)
    return std::nullopt;
  bool spill =
      second.Score >= 0 && first.Load > second.Load * LoadSlack + FlowSlack;
  return spill ? second.Id : first.Id;
}

std::optional<TargetId>
Targets::chooseForRequest(const Service &service,
                          std::span<const TargetId> tried, Time now,
                          bool mayBorrow) {
  struct Choice {
    std::optional<TargetId> Id;
    double Load = 0;
    uint32_t Ties = 0;
  };
  Choice own;
  Choice borrowed;
  uint32_t running = 0;
  for (const Target &target : service.Targets) {
    const TargetState *state = find(target.Id);
    if (state == nullptr)
      continue;
    running += state->InFlight;
    bool open = isAvailable(*state, now) && state->CoolDownUntil <= now &&
                state->InFlight < service.Slots && !contains(tried, target.Id);
    if (!open)
      continue;
    double load = (state->InFlight + 1.0) / slowStartFactor(*state, now);
    Choice &choice = state->InFlight < state->Share ? own : borrowed;
    if (!choice.Id || load < choice.Load) {
      choice = {.Id = target.Id, .Load = load, .Ties = 1};
    } else if (load == choice.Load && Random() % ++choice.Ties == 0) {
      choice.Id = target.Id;
    }
  }
  if (own.Id)
    return own.Id;
  double window = Services[service.Id].BorrowWindow;
  bool room = running < shareOf(service) + static_cast<uint32_t>(window);
  return mayBorrow && room ? borrowed.Id : std::nullopt;
}

uint32_t Targets::shareOf(const Service &service) const {
  uint32_t sum = 0;
  for (const Target &target : service.Targets)
    if (const TargetState *state = find(target.Id))
      sum += state->Share;
  return sum;
}

uint32_t Targets::inFlightOf(const Service &service) const {
  uint32_t sum = 0;
  for (const Target &target : service.Targets)
    if (const TargetState *state = find(target.Id))
      sum += state->InFlight;
  return sum;
}

void Targets::requestSent(TargetId target) { ++States[target].InFlight; }

bool Targets::canEject(const TargetState &state, Time now) const {
  size_t all = 0;
  size_t out = 1;
  for (const auto &[id, it] : States) {
    if (it.Service != state.Service)
      continue;
    ++all;
    if (!isAvailable(it, now))
      ++out;
  }
  return static_cast<double>(out) <=
         Options.MaxEjectedShare * static_cast<double>(all);
}

void Targets::recordFailure(TargetState &state, Time now) {
  ++state.ConsecutiveFailures;
  if (state.ConsecutiveFailures < Options.EjectAfter || !canEject(state, now))
    return;
  Duration length =
      Options.BaseEjectionTime * (1 << std::min(state.Ejections, 6U));
  state.EjectedUntil = now + std::min(length, Options.MaxEjectionTime);
  state.ConsecutiveFailures = 0;
  ++state.Ejections;
  // After the ejection it goes through slow start like a new target.
  state.FirstSeen = state.EjectedUntil;
}

void Targets::requestEnded(TargetId target, RequestEnd how, Time sentAt,
                           Time now) {
  auto it = States.find(target);
  if (it == States.end())
    return;
  TargetState &state = it->second;
  ServiceState &service = Services[state.Service];
  state.InFlight -= state.InFlight > 0 ? 1 : 0;
  switch (how) {
  case RequestEnd::Answered: {
    auto micros = static_cast<double>((now - sentAt).count());
    service.MeanMicros += SampleWeight * (micros - service.MeanMicros);
    state.ConsecutiveFailures = 0;
    state.Ejections = 0;
    // Every answer grows the window, not only answers on borrowed slots: a
    // window below one allows no borrowing and could never grow again.
    service.BorrowWindow =
        std::min(service.BorrowWindow + BorrowGrowth, MaxBorrowWindow);
    break;
  }
  case RequestEnd::Shed:
    state.CoolDownUntil =
        now + Options.CoolDown + Duration(Random() % Options.CoolDown.count());
    service.BorrowWindow =
        std::max(service.BorrowWindow * BorrowShrink, MinBorrowWindow);
    break;
  case RequestEnd::Silent:
  case RequestEnd::Reset:
    recordFailure(state, now);
    break;
  case RequestEnd::Cancelled:
    break;
  }
}

void Targets::flowPinned(TargetId target, ServiceId service) {
  TargetState &state = States[target];
  if (state.Service == ServiceId{})
    state.Service = service;
  ++state.Flows;
}

void Targets::flowEnded(TargetId target) {
  auto it = States.find(target);
  if (it != States.end() && it->second.Flows > 0)
    --it->second.Flows;
}

void Targets::recordPacket(TargetId target, Time now) {
  auto it = States.find(target);
  if (it != States.end())
    it->second.LastPacketAt = now;
}

void Targets::markDraining(TargetId target, bool reportedByTarget, Time now) {
  auto it = States.find(target);
  if (it == States.end())
    return;
  it->second.DrainingUntil = now + Options.DrainExpiry;
  if (reportedByTarget)
    it->second.DrainReportedAt = now;
}

void Targets::clearDraining(TargetId target) {
  auto it = States.find(target);
  if (it != States.end())
    it->second.DrainingUntil = Time{};
}

std::vector<TargetId> Targets::drainsToAnnounce(Time now) const {
  std::vector<TargetId> out;
  for (const auto &[id, state] : States)
    if (state.DrainReportedAt &&
        now - *state.DrainReportedAt < Options.DrainAnnounceTime)
      out.push_back(id);
  return out;
}

bool Targets::isDraining(TargetId target, Time now) const {
  const TargetState *state = find(target);
  return state != nullptr &&
         (state->OperatorDrain || state->DrainingUntil > now);
}

bool Targets::isEjected(TargetId target, Time now) const {
  const TargetState *state = find(target);
  return state != nullptr && state->EjectedUntil > now;
}

Duration Targets::serviceTime(ServiceId service) const {
  auto it = Services.find(service);
  double micros =
      it == Services.end() ? ServiceState{}.MeanMicros : it->second.MeanMicros;
  return Duration(static_cast<int64_t>(micros));
}

const TargetState *Targets::find(TargetId target) const {
  auto it = States.find(target);
  return it == States.end() ? nullptr : &it->second;
}

} // namespace chicory
