#include "chicorybank/token/PriorityAdmission.h"

#include "chicorybank/base/Hash.h"

#include <algorithm>
#include <cmath>

namespace chicory::token {

namespace {

// Flows that may be refused to pressing callers before the admitted share
// requires it. Without this advance, a few flows of other callers in a row
// would be refused although pressing callers send enough to refuse.
constexpr double RefusalAdvance = 4;

// The sums of shares such as 0.6 are slightly below or above an integer.
constexpr double RoundingSlack = 1e-9;

// A flow count that has decayed for a second. Callers below it had no flow in
// the last second and don't count in the mean.
constexpr double ActiveFlows = 0.36;

// The mean is computed over all callers of a table, a few microseconds.
constexpr Duration MeanInterval = std::chrono::milliseconds(50);

double seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

} // namespace

double PriorityAdmission::CallerTable::Caller::flowsAt(Time now) const {
  return now <= At ? Flows : Flows * std::exp(-seconds(now - At));
}

size_t PriorityAdmission::CallerTable::firstOfSet(uint32_t ip) {
  return mixHash(0, ip) % Sets * Ways;
}

void PriorityAdmission::CallerTable::add(uint32_t ip, Time now) {
  if (Callers.empty())
    Callers.resize(Sets * Ways);
  auto begin = Callers.begin() + static_cast<ptrdiff_t>(firstOfSet(ip));
  auto end = begin + Ways;
  auto it = std::find_if(begin, end, [&](const Caller &caller) {
    return caller.Ip == ip && caller.Flows > 0;
  });
  if (it == end) {
    it = std::min_element(begin, end, [&](const Caller &a, const Caller &b) {
      return a.flowsAt(now) < b.flowsAt(now);
    });
    *it = {.Ip = ip};
  }
  it->Flows = static_cast<float>(it->flowsAt(now)) + 1;
  it->At = now;
}

double PriorityAdmission::CallerTable::flows(uint32_t ip, Time now) const {
  if (Callers.empty())
    return 0;
  size_t first = firstOfSet(ip);
  for (size_t i = first; i < first + Ways; ++i)
    if (Callers[i].Ip == ip)
      return Callers[i].flowsAt(now);
  return 0;
}

double PriorityAdmission::CallerTable::mean(Time now) {
  if (MeanAt != Time::min() && now - MeanAt < MeanInterval)
    return Mean;
  MeanAt = now;
  double sum = 0;
  size_t n = 0;
  for (const Caller &it : Callers) {
    double flows = it.flowsAt(now);
    if (flows < ActiveFlows)
      continue;
    sum += flows;
    ++n;
  }
  Mean = n == 0 ? 0 : sum / static_cast<double>(n);
  return Mean;
}

PriorityAdmission::Priority *
PriorityAdmission::Service::find(uint32_t priority) {
  auto it = std::find_if(Priorities.begin(), Priorities.end(),
                         [&](const auto &p) { return p.Value == priority; });
  return it == Priorities.end() ? nullptr : &*it;
}

PriorityAdmission::PriorityAdmission(AdmissionOptions options)
    : Options(options) {}

void PriorityAdmission::setPriorities(ServiceId service,
                                      std::vector<uint32_t> priorities) {
  if (priorities.empty()) {
    Services.erase(service.Value);
    return;
  }
  std::sort(priorities.begin(), priorities.end());
  priorities.erase(std::unique(priorities.begin(), priorities.end()),
                   priorities.end());
  Service &entry = Services[service.Value];
  std::vector<Priority> next;
  for (uint32_t value : priorities) {
    Priority *known = entry.find(value);
    next.push_back(known ? std::move(*known) : Priority{.Value = value});
  }
  // A priority that was limited may have become the highest one.
  next.front() = {.Value = next.front().Value};
  entry.Priorities = std::move(next);
}

void PriorityAdmission::recordOutcome(ServiceId service, bool good, Time now) {
  auto it = Services.find(service.Value);
  if (it == Services.end() || it->second.Priorities.size() < 2)
    return;
  Service &entry = it->second;
  advance(entry, now);
  Outcomes &current = entry.Recent[static_cast<size_t>(entry.Bucket) % Buckets];
  ++current.Total;
  current.Failed += good ? 0 : 1;
}

bool PriorityAdmission::admit(ServiceId service, uint32_t priority,
                              uint32_t callerIp, bool roomKnown, Time now) {
  auto it = Services.find(service.Value);
  if (it == Services.end() || it->second.Priorities.size() < 2)
    return true;
  advance(it->second, now);
  Priority *entry = it->second.find(priority);
  if (!entry || entry == &it->second.Priorities.front())
    return true;
  if (entry->Share >= 1)
    entry->RefusalsDue = 0;
  if (entry->Share < 1 && !roomKnown) {
    entry->RefusalsDue += 1 - entry->Share;
    double limit = std::max(Options.PressingMinFlows,
                            Options.PressingFactor * entry->Callers.mean(now));
    bool isPressing = entry->Callers.flows(callerIp, now) > limit;
    if (entry->RefusalsDue >= 1 - RoundingSlack ||
        (isPressing && entry->RefusalsDue > -RefusalAdvance)) {
      entry->RefusalsDue -= 1;
      return false;
    }
  }
  // Only admitted flows count, so a pressing caller still gets about
  // `PressingFactor` times the mean, and retries don't make a caller pressing.
  entry->Callers.add(callerIp, now);
  return true;
}

double PriorityAdmission::admittedShare(ServiceId service,
                                        uint32_t priority) const {
  auto it = Services.find(service.Value);
  if (it == Services.end())
    return 1;
  for (const Priority &entry : it->second.Priorities)
    if (entry.Value == priority)
      return entry.Share;
  return 1;
}

/// Drops outcomes that are too old and changes the shares if a step is due.
void PriorityAdmission::advance(Service &service, Time now) const {
  Duration width = Options.MaxWindow / Buckets;
  int64_t bucket = now.time_since_epoch() / width;
  // After a suspension of the machine every bucket is cleared once.
  int64_t first =
      std::max(service.Bucket + 1, bucket - static_cast<int64_t>(Buckets) + 1);
  for (int64_t i = first; i <= bucket; ++i)
    service.Recent[static_cast<size_t>(i) % Buckets] = {};
  service.Bucket = std::max(service.Bucket, bucket);
  if (now - service.SteppedAt >= Options.StepInterval)
    step(service, now);
}

void PriorityAdmission::step(Service &service, Time now) const {
  auto usual =
      static_cast<size_t>(Options.Window * Buckets / Options.MaxWindow);
  Outcomes sum;
  size_t span = 0;
  while (span < Buckets && (span < usual || sum.Total < Options.MinOutcomes)) {
    const Outcomes &it =
        service.Recent[(static_cast<size_t>(service.Bucket) + Buckets - span) %
                       Buckets];
    sum.Total += it.Total;
    sum.Failed += it.Failed;
    ++span;
  }
  if (sum.Total < Options.MinOutcomes)
    return growWhileUndecided(service, now);
  service.DecidableAt = now;
  // With an extended window, steps at the usual pace would count the same
  // failures several times more.
  if (now - service.SteppedAt < Options.StepInterval * span / usual)
    return;
  service.SteppedAt = now;
  double failureShare = static_cast<double>(sum.Failed) / sum.Total;
  if (failureShare > Options.FailureLimit)
    shrink(service, failureShare);
  else if (failureShare < Options.RecoveredLimit)
    grow(service, Options.GrowthStep);
}

/// Lets the shares grow if there were too few outcomes for a decision for
/// `MaxWindow`. Otherwise a service that becomes idle under a shortage would
/// refuse flows until it has load again, and the floor itself may leave an
/// instance too few outcomes to ever decide.
void PriorityAdmission::growWhileUndecided(Service &service, Time now) const {
  Time from =
      std::max(service.SteppedAt, service.DecidableAt + Options.MaxWindow);
  if (now - from < Options.StepInterval)
    return;
  grow(service, Options.GrowthStep *
                    static_cast<double>((now - from) / Options.StepInterval));
  service.SteppedAt = now;
}

/// Lowers the share of the lowest priority that is above the floor.
void PriorityAdmission::shrink(Service &service, double failureShare) const {
  for (size_t i = service.Priorities.size() - 1; i > 0; --i) {
    Priority &it = service.Priorities[i];
    if (it.Share <= Options.MinShare)
      continue;
    it.Share = std::max(Options.MinShare, it.Share * (1 - failureShare));
    return;
  }
}

/// Raises the shares by an amount in total, the highest priority first.
void PriorityAdmission::grow(Service &service, double amount) {
  for (Priority &it : service.Priorities) {
    double before = it.Share;
    it.Share = std::min(1.0, before + amount);
    amount -= it.Share - before;
  }
}

} // namespace chicory::token
