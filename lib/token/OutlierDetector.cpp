#include "chicorybank/token/OutlierDetector.h"

#include <algorithm>
#include <cmath>

namespace chicory::token {

namespace {

double seconds(Duration time) {
  return std::chrono::duration<double>(time).count();
}

} // namespace

const OutlierDetector::Record *OutlierDetector::find(BackendIndex i,
                                                     BackendId id) const {
  if (i >= Positions.size() || Positions[i] == 0)
    return nullptr;
  const Record &out = Records[Positions[i] - 1];
  return out.Id == id ? &out : nullptr;
}

OutlierDetector::Record &OutlierDetector::findOrAdd(BackendIndex i,
                                                    BackendId id) {
  if (i >= Positions.size())
    Positions.resize(i + 1);
  if (Positions[i] == 0) {
    Records.push_back({.Index = i});
    Positions[i] = static_cast<uint32_t>(Records.size());
  }
  Record &out = Records[Positions[i] - 1];
  if (out.Id != id) {
    reset(out);
    out.Id = id;
  }
  return out;
}

void OutlierDetector::reset(Record &record) {
  if (record.Listed)
    std::erase(Services[record.Service.Value].Members,
               static_cast<uint32_t>(&record - Records.data()));
  record = {.Index = record.Index};
}

void OutlierDetector::forget(BackendIndex i) {
  if (i < Positions.size() && Positions[i] != 0)
    reset(Records[Positions[i] - 1]);
}

void OutlierDetector::decay(Record &record, Time now) const {
  double halfLives =
      seconds(now - record.DecayedAt) / seconds(Options.ShareHalfLife);
  auto left = static_cast<float>(std::exp2(-std::max(halfLives, 0.0)));
  record.Good *= left;
  record.Bad *= left;
  record.DecayedAt = std::max(record.DecayedAt, now);
}

float OutlierDetector::scoreOf(const Record &record, Time now) const {
  return now - record.BlamedAt > Options.ScoreLifetime ? 0 : record.Score;
}

/// Returns the median of the failure shares of the service's servers. Drops
/// servers without recent evidence from the list.
double OutlierDetector::medianOf(ServiceRecord &service, Time now) {
  if (now - service.MedianAt < Options.MedianInterval)
    return service.Median;
  service.MedianAt = now;
  std::vector<float> shares;
  std::vector<uint32_t> &members = service.Members;
  size_t n = std::min(members.size(), Options.MedianServers);
  for (; n != 0; --n) {
    service.Next = service.Next >= members.size() ? 0 : service.Next;
    Record &it = Records[members[service.Next]];
    decay(it, now);
    float responses = it.Good + it.Bad;
    if (responses >= Options.MedianMinResponses) {
      shares.push_back(it.Bad / responses);
      ++service.Next;
      continue;
    }
    it.Listed = false;
    members[service.Next] = members.back();
    members.pop_back();
  }
  // The lower one of two: with two servers, the healthy one is the measure.
  auto middle =
      shares.begin() + (static_cast<ptrdiff_t>(shares.size()) - 1) / 2;
  std::nth_element(shares.begin(), middle, shares.end());
  service.Median = shares.empty() ? 0 : *middle;
  return service.Median;
}

/// Returns true if the other servers fail as well, so that the server is no
/// outlier although its score is high: the median of the shares shows it, or
/// most of the last outcomes at other servers were failures. The latter notices
/// at once that all servers have started to fail; the median notices it after
/// half of them have failed, when a sixth has failed twice.
bool OutlierDetector::hasCommonCause(const Record &record,
                                     ServiceRecord &service, Time now) {
  double share = record.Bad / std::max(record.Good + record.Bad, 1e-6F);
  if (share <= Options.HealthyFactor * medianOf(service, now))
    return true;
  auto self = static_cast<uint32_t>(&record - Records.data());
  size_t others = 0;
  size_t bad = 0;
  size_t n = std::min<size_t>(service.Outcomes, service.Recent.size());
  for (size_t k = 0; k < n; ++k) {
    if (service.Recent[k] == self)
      continue;
    ++others;
    bad += service.RecentBad[k] ? 1 : 0;
  }
  return bad >= 2 && 2 * bad > others;
}

Duration OutlierDetector::ejectionTime(uint32_t times) const {
  Duration out = Options.EjectionMin;
  for (; times > 1 && out < Options.EjectionMax; --times)
    out *= 2;
  return std::min(out, Options.EjectionMax);
}

void OutlierDetector::eject(Record &record, Time now) {
  if (now - record.EjectedAt > Options.EjectionReset)
    record.Times = 0;
  record.Times = std::min<uint8_t>(record.Times, UINT8_MAX - 1) + 1;
  record.Ejected = true;
  record.EjectedAt = now;
  record.TrialFrom = now + ejectionTime(record.Times);
  record.TrialGood = 0;
  record.StalledOnTrial = false;
}

/// Returns true if no flow has tested the server although it could.
bool OutlierDetector::isTrialAbandoned(const Record &record, Time now) const {
  return now - std::max(record.TrialFrom, record.TriedAt) >
         Options.TrialTimeout;
}

HealthChange OutlierDetector::countOnTrial(Record &record, bool good,
                                           bool stall, Time now) {
  // Outcomes of requests that were sent before the ejection.
  if (now < record.TrialFrom)
    return HealthChange::None;
  // The other servers fail as well, so the failure is no sign of this one. It
  // stays on trial.
  if (!good && hasCommonCause(record, Services[record.Service.Value], now)) {
    record.TrialGood = 0;
    return HealthChange::None;
  }
  if (!good) {
    uint8_t goodBefore = record.TrialGood;
    eject(record, now);
    record.StalledOnTrial = stall;
    // Kept for `withdrawStall`.
    record.TrialGood = stall ? goodBefore : 0;
    // The failure on trial alone decides; an earlier stall that is withdrawn
    // must not undo it.
    record.Score = 0;
    return HealthChange::Ejected;
  }
  ++record.TrialGood;
  if (record.TrialGood < Options.TrialResponses &&
      !isTrialAbandoned(record, now))
    return HealthChange::None;
  record.Ejected = false;
  record.Score = 0;
  record.TrialGood = 0;
  record.ReportedBy = {};
  record.RestoredBy = {};
  return HealthChange::Restored;
}

HealthChange OutlierDetector::count(Record &record, ServiceId service,
                                    bool good, bool stall, Time now) {
  ServiceRecord &peers = Services[service.Value];
  if (record.Listed && record.Service != service) {
    BackendId id = record.Id;
    reset(record);
    record.Id = id;
  }
  if (!record.Listed) {
    record.Listed = true;
    record.Service = service;
    peers.Members.push_back(static_cast<uint32_t>(&record - Records.data()));
  }
  decay(record, now);
  (good ? record.Good : record.Bad) += 1;
  size_t slot = peers.Outcomes++ % peers.Recent.size();
  peers.Recent[slot] = static_cast<uint32_t>(&record - Records.data());
  peers.RecentBad[slot] = !good;
  if (record.Ejected)
    return countOnTrial(record, good, stall, now);
  record.Score = scoreOf(record, now);
  if (good && record.Score == 0)
    return HealthChange::None;
  double healthy = std::clamp(Options.HealthyFactor * medianOf(peers, now),
                              Options.HealthyMin, Options.HealthyMax);
  double outlier = std::max(Options.OutlierMin, healthy + Options.OutlierGap);
  double gain = good ? std::log((1 - outlier) / (1 - healthy))
                     : std::log(outlier / healthy);
  record.Score = std::max(0.0F, record.Score + static_cast<float>(gain));
  if (good)
    return HealthChange::None;
  record.BlamedAt = now;
  record.StallGain = stall ? static_cast<float>(gain) : record.StallGain;
  if (record.Score < Options.EjectionScore)
    return HealthChange::None;
  if (hasCommonCause(record, peers, now)) {
    record.Score = static_cast<float>(Options.DoubtScore);
    return HealthChange::None;
  }
  eject(record, now);
  return HealthChange::Ejected;
}

HealthChange OutlierDetector::record(BackendIndex i, BackendId id,
                                     ServiceId service, bool good, Time now) {
  return count(findOrAdd(i, id), service, good, false, now);
}

HealthChange OutlierDetector::recordStall(BackendIndex i, BackendId id,
                                          ServiceId service, Time now) {
  Record &it = findOrAdd(i, id);
  it.OpenStalls = std::min<uint8_t>(it.OpenStalls, UINT8_MAX - 1) + 1;
  it.StalledAt = now;
  return count(it, service, false, true, now);
}

void OutlierDetector::withdrawStall(BackendIndex i, BackendId id, Time now) {
  // Stalls from before a restart were discarded.
  if (!find(i, id))
    return;
  Record &it = findOrAdd(i, id);
  if (it.OpenStalls == 0)
    return;
  --it.OpenStalls;
  double halfLives =
      seconds(now - it.StalledAt) / seconds(Options.ShareHalfLife);
  decay(it, now);
  it.Bad = std::max(0.0F, it.Bad - static_cast<float>(std::exp2(-halfLives)));
  bool wasAbove = it.Score >= Options.EjectionScore;
  it.Score = std::max(0.0F, it.Score - it.StallGain);
  bool undone =
      it.StalledOnTrial || (wasAbove && it.Score < Options.EjectionScore);
  if (!it.Ejected || !undone)
    return;
  it.TrialFrom = std::min(it.TrialFrom, now);
  it.Times -= it.Times == 0 ? 0 : 1;
  if (!it.StalledOnTrial)
    it.TrialGood = Options.TrialResponses - 1;
  it.StalledOnTrial = false;
}

void OutlierDetector::recordTime(BackendIndex i, BackendId id,
                                 double relative) {
  Record &it = findOrAdd(i, id);
  it.TimeSamples = std::min<uint8_t>(it.TimeSamples, UINT8_MAX - 1) + 1;
  double weight = std::max(Options.SlownessWeight, 1.0 / (it.TimeSamples + 1));
  double bounded =
      std::clamp(relative, Options.SlownessMin, Options.SlownessMax);
  it.LogSlowness +=
      static_cast<float>((std::log(bounded) - it.LogSlowness) * weight);
}

double OutlierDetector::slowness(BackendIndex i, BackendId id) const {
  const Record *it = find(i, id);
  return it ? std::exp(it->LogSlowness) : 1;
}

double OutlierDetector::failureShare(BackendIndex i, BackendId id,
                                     Time now) const {
  const Record *it = find(i, id);
  if (!it)
    return 0;
  Record copy = *it;
  decay(copy, now);
  return copy.Bad / (copy.Good + copy.Bad + Options.PriorResponses);
}

ServerUse OutlierDetector::use(BackendIndex i, BackendId id, Time now) const {
  const Record *it = find(i, id);
  if (!it || !it->Ejected)
    return ServerUse::Normal;
  if (now < it->TrialFrom || now - it->TriedAt < Options.TrialInterval)
    return ServerUse::None;
  return isTrialAbandoned(*it, now) ? ServerUse::Normal : ServerUse::Trial;
}

bool OutlierDetector::isDoubtful(BackendIndex i, BackendId id, Time now) const {
  const Record *it = find(i, id);
  return it && scoreOf(*it, now) >= Options.DoubtScore;
}

void OutlierDetector::onTrial(BackendIndex i, BackendId id, Time now) {
  // An abandoned trial stays abandoned until a response decides.
  if (use(i, id, now) == ServerUse::Trial)
    findOrAdd(i, id).TriedAt = now;
}

HealthChange OutlierDetector::applyReport(BackendIndex i, BackendId id,
                                          InstanceId sender,
                                          HealthChange report, Time now) {
  Record &it = findOrAdd(i, id);
  bool duplicate = it.ReportedBy == sender && it.Report == report &&
                   now - it.ReportedAt < Options.DuplicateWindow;
  if (duplicate || report == HealthChange::None)
    return HealthChange::None;
  if (report == HealthChange::Restored) {
    if (!it.Ejected || it.RestoredBy == sender)
      return HealthChange::None;
    it.RestoredBy = sender;
    it.TrialFrom = std::min(it.TrialFrom, now);
    it.TrialGood = std::max<uint8_t>(it.TrialGood, Options.TrialResponses - 1);
    return HealthChange::None;
  }
  bool confirmed = it.ReportedBy.Value != 0 && it.ReportedBy != sender &&
                   it.Report == HealthChange::Ejected &&
                   now - it.ReportedAt < Options.ReportWindow;
  it.ReportedBy = sender;
  it.Report = report;
  it.ReportedAt = now;
  if (it.Ejected) {
    Time latest = it.EjectedAt + Options.PostponementMax;
    it.TrialFrom =
        std::max(it.TrialFrom, std::min(latest, now + ejectionTime(it.Times)));
    it.TrialGood = 0;
    return HealthChange::None;
  }
  it.Score =
      std::max(scoreOf(it, now), static_cast<float>(Options.ReportScore));
  it.BlamedAt = now;
  if (!confirmed)
    return HealthChange::None;
  // Not counted as an ejection: the server has not failed here.
  it.Ejected = true;
  it.EjectedAt = now;
  it.TrialFrom = now + Options.EjectionMin;
  it.TrialGood = 0;
  return HealthChange::Ejected;
}

size_t OutlierDetector::ejected(ServiceId service, Time now) const {
  return static_cast<size_t>(
      std::count_if(Records.begin(), Records.end(), [&](const Record &it) {
        return it.Ejected && it.Service == service &&
               use(it.Index, it.Id, now) != ServerUse::Normal;
      }));
}

} // namespace chicory::token
