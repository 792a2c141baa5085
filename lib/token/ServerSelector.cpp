#include "chicorybank/token/ServerSelector.h"

#include <algorithm>

namespace chicory::token {

namespace {

constexpr double UsualSlots = 2;

} // namespace

ServerSelector::ServerSelector(std::string zone, InstanceId self,
                               SelectorOptions options)
    : Zone(zone), Options(options),
      Subsets(std::move(zone), self, options.Subsets),
      Outliers(options.Outliers) {}

void ServerSelector::setInstances(const std::vector<ZonedInstance> &instances) {
  Instances = instances;
  Subsets.setInstances(instances);
}

bool ServerSelector::isListed(InstanceId instance) const {
  return std::any_of(Instances.begin(), Instances.end(),
                     [&](const auto &it) { return it.Id == instance; });
}

/// Collects the servers of a zone that this flow may use. Returns true if most
/// of them look unhealthy and their health was ignored: what most of them have
/// in common is not a fault of each of them, and the rest would have no room
/// for all flows.
bool ServerSelector::collect(const SelectionRequest &request,
                             const std::string &zone, const Backends &servers,
                             const Eligible &eligible, Time now,
                             std::vector<SubsetMember> &out) const {
  size_t eligibleCount = 0;
  size_t healthyCount = 0;
  auto isHealthy = [&](BackendIndex i) {
    if (!eligible(i))
      return false;
    ++eligibleCount;
    BackendId id = servers.at(i).Info.Id;
    ServerUse use = Outliers.use(i, id, now);
    // A trial is an extra candidate: its place in the subset is taken by
    // another server.
    if (use == ServerUse::Trial && request.Idempotent &&
        servers.at(i).load() == 0)
      out.push_back({.Server = i});
    bool healthy = use == ServerUse::Normal &&
                   (request.Idempotent || !Outliers.isDoubtful(i, id, now));
    healthyCount += use == ServerUse::Normal ? 1 : 0;
    return healthy;
  };
  size_t before = out.size();
  Subsets.select(request.Service, zone, isHealthy, out);
  if (2 * healthyCount >= eligibleCount && out.size() > before)
    return false;
  out.resize(before);
  Subsets.select(request.Service, zone, eligible, out);
  return out.size() > before;
}

void ServerSelector::rank(const std::vector<SubsetMember> &members,
                          const Backends &servers, double penalty, Time now,
                          Selection &out, Ranking &ranking) const {
  for (const SubsetMember &it : members) {
    const Backend &backend = servers.at(it.Server);
    BackendId id = backend.Info.Id;
    double slots = std::max<uint32_t>(backend.Info.Slots, 1);
    double cost =
        expectedCost({.Server = it.Server,
                      .Weight = it.Weight,
                      .Load = backend.load() * UsualSlots / slots,
                      .Recent = Recent.at(it.Server, id, now),
                      .Slowness = Outliers.slowness(it.Server, id),
                      .FailureShare = Outliers.failureShare(it.Server, id, now),
                      .Penalty = penalty});
    out.RoomKnown |=
        backend.load() == 0 && answeredRecently(it.Server, id, now);
    if (ranking.Best != NoBackend && cost >= ranking.Cost)
      continue;
    ranking = {.Best = it.Server, .Cost = cost};
  }
}

Selection ServerSelector::select(const SelectionRequest &request,
                                 const Backends &servers,
                                 const Eligible &eligible, Time now) {
  Subsets.refresh(request.Service, servers, now);
  Selection out{.SlotsHere = Subsets.slotsInZone(request.Service)};
  std::vector<SubsetMember> members;
  Ranking ranking;
  out.Panic = collect(request, Zone, servers, eligible, now, members);
  if (out.Panic)
    PanicAt[request.Service.Value] = now;
  for (const SubsetMember &it : members)
    out.LoadHere += servers.at(it.Server).load();
  rank(members, servers, 0, now, out, ranking);
  bool ownZoneIsBusy = ranking.Best == NoBackend ||
                       servers.at(ranking.Best).load() >= Options.SpillAtLoad;
  if (ownZoneIsBusy || !request.OwnZoneFirst) {
    BackendIndex bestHere = ranking.Best;
    double penalty = request.OwnZoneFirst ? Options.SpillAtLoad : 0;
    for (const std::string &zone : Subsets.zones(request.Service)) {
      if (zone == Zone)
        continue;
      members.clear();
      collect(request, zone, servers, eligible, now, members);
      rank(members, servers, penalty, now, out, ranking);
    }
    if (ranking.Best != bestHere)
      out.Source = SelectionSource::OtherZone;
  }
  out.Server = ranking.Best;
  if (out.Server != NoBackend && out.Source == SelectionSource::None)
    out.Source = SelectionSource::Subset;
  return out;
}

bool ServerSelector::isPanicking(ServiceId service, Time now) const {
  auto it = PanicAt.find(service.Value);
  return it != PanicAt.end() && now - it->second < Options.PanicFor;
}

bool ServerSelector::isInUse(BackendIndex i, const Backends &servers,
                             Time now) const {
  const Registration &info = servers.at(i).Info;
  return Outliers.use(i, info.Id, now) == ServerUse::Normal ||
         isPanicking(info.Service, now);
}

void ServerSelector::onFlowOpened(BackendIndex i, const Backends &servers,
                                  Time now) {
  BackendId id = servers.at(i).Info.Id;
  Recent.add(i, id, now);
  Outliers.onTrial(i, id, now);
}

bool ServerSelector::answeredRecently(BackendIndex i, BackendId id,
                                      Time now) const {
  return i < Sightings.size() && Sightings[i].Id == id &&
         now - Sightings[i].WholeAt < Options.RoomKnownFor;
}

JudgedResponse ServerSelector::onResponse(BackendIndex i, Address route,
                                          const ObservedResponse &response,
                                          const Backends &servers, Time now) {
  const Registration &info = servers.at(i).Info;
  JudgedResponse out{.Kind = Baselines.classify(route, response)};
  bool whole = out.Kind == ResponseKind::Whole;
  if (whole) {
    if (Sightings.size() <= i)
      Sightings.resize(servers.indexEnd());
    Sightings[i] = {.Id = info.Id, .WholeAt = now};
    if (auto relative = Baselines.relativeTime(route, response.Took))
      Outliers.recordTime(i, info.Id, *relative);
  }
  if (whole && response.WasStalled && !response.WasOverdue)
    Outliers.withdrawStall(i, info.Id, now);
  // An overdue response was counted as a failure when it became overdue.
  if (!whole || !response.WasOverdue)
    out.Change = Outliers.record(i, info.Id, info.Service, whole, now);
  return out;
}

HealthChange ServerSelector::onOverdue(BackendIndex i, const Backends &servers,
                                       Time now) {
  const Registration &info = servers.at(i).Info;
  Outliers.recordTime(i, info.Id, Options.Outliers.OverdueSlowness);
  return Outliers.record(i, info.Id, info.Service, false, now);
}

HealthChange ServerSelector::onUnanswered(BackendIndex i,
                                          const Backends &servers, Time now) {
  const Registration &info = servers.at(i).Info;
  return Outliers.record(i, info.Id, info.Service, false, now);
}

HealthChange ServerSelector::onStall(BackendIndex i, const Backends &servers,
                                     Time now) {
  const Registration &info = servers.at(i).Info;
  return Outliers.recordStall(i, info.Id, info.Service, now);
}

HealthChange ServerSelector::onReport(BackendIndex i, InstanceId sender,
                                      HealthChange change,
                                      const Backends &servers, Time now) {
  return Outliers.applyReport(i, servers.at(i).Info.Id, sender, change, now);
}

std::vector<InstanceId> ServerSelector::sharers(BackendIndex i,
                                                const Backends &servers) const {
  return Subsets.sharers(servers.at(i).Info.Service, i);
}

} // namespace chicory::token
