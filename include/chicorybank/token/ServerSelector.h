// Selects a backend server for each new flow by what all flows of this instance
// have shown about the servers.
//
//   ServerSelector selector(zone, self, {});
//   selector.setInstances(instances);
//   Selection found = selector.select(request, servers, eligible, now);
//   if (found.Server != NoBackend)
//     selector.onFlowOpened(found.Server, servers, now);
//   ...
//   JudgedResponse judged =
//       selector.onResponse(server, route, response, servers, now);
//
// It combines the parts that docs/HARD-LOAD.md describes: subsets give an
// instance enough observations of each server, outlier detection judges the
// servers by them, and the expected completion decides among the rest.

#ifndef CHICORYBANK_TOKEN_SERVERSELECTOR_H
#define CHICORYBANK_TOKEN_SERVERSELECTOR_H

#include "chicorybank/token/OutlierDetector.h"
#include "chicorybank/token/ResponseEvidence.h"
#include "chicorybank/token/ServerChoice.h"
#include "chicorybank/token/ServerSubsets.h"

#include <functional>

namespace chicory::token {

/// Thresholds of the selection.
struct SelectorOptions {
  OutlierOptions Outliers;
  SubsetOptions Subsets;
  /// A flow in another zone breaks if that zone is cut off, so another zone is
  /// considered only if the best server of the own zone has this many requests
  /// of this instance in progress, and then its servers cost as much more.
  uint32_t SpillAtLoad = 2;
  /// How long the health of a service's servers counts as ignored after a
  /// choice that ignored it. Longer than the time between two choices.
  Duration PanicFor = std::chrono::seconds(1);
  /// A server that gave a whole response within this time has room.
  Duration RoomKnownFor = std::chrono::milliseconds(200);
};

/// A new flow for which a server is selected.
struct SelectionRequest {
  ServiceId Service;
  /// The caller may repeat the request, so the flow may test a server that has
  /// failed.
  bool Idempotent = false;
  /// Prefer servers of the own zone.
  bool OwnZoneFirst = true;
};

/// Where a selection found its server.
enum class SelectionSource : uint8_t { Subset, OtherZone, None };

/// The result of a selection.
struct Selection {
  BackendIndex Server = NoBackend;
  SelectionSource Source = SelectionSource::None;
  /// Most candidates look unhealthy, so their health was ignored.
  bool Panic = false;
  /// A candidate has answered recently and has no request of this instance.
  bool RoomKnown = false;
  /// Requests of this instance at the candidates of the own zone, and the slots
  /// of all servers there.
  uint32_t LoadHere = 0;
  uint32_t SlotsHere = 0;
};

/// How a response was judged, and what that changed.
struct JudgedResponse {
  ResponseKind Kind = ResponseKind::Whole;
  HealthChange Change = HealthChange::None;
};

/// Not thread-safe.
class ServerSelector {
public:
  /// Returns true if a server may get the flow as far as everything but its
  /// observed health is concerned.
  using Eligible = std::function<bool(BackendIndex)>;

  ServerSelector(std::string zone, InstanceId self, SelectorOptions options);

  void setInstances(const std::vector<ZonedInstance> &instances);
  bool isListed(InstanceId instance) const;

  /// Selects a server. Changes nothing but the list of subsets.
  Selection select(const SelectionRequest &request, const Backends &servers,
                   const Eligible &eligible, Time now);
  void onFlowOpened(BackendIndex i, const Backends &servers, Time now);

  /// Judges a response, and learns the usual size and time of the route.
  JudgedResponse onResponse(BackendIndex i, Address route,
                            const ObservedResponse &response,
                            const Backends &servers, Time now);
  /// A request has no sign of a response after the objective of its route.
  HealthChange onOverdue(BackendIndex i, const Backends &servers, Time now);
  /// The server has left an opening unanswered.
  HealthChange onUnanswered(BackendIndex i, const Backends &servers, Time now);
  /// A request has waited for several times the usual time, and the server has
  /// answered nothing since.
  HealthChange onStall(BackendIndex i, const Backends &servers, Time now);
  HealthChange onReport(BackendIndex i, InstanceId sender, HealthChange change,
                        const Backends &servers, Time now);
  void onRestart(BackendIndex i) { Outliers.forget(i); }

  /// Returns the other instances that use the server.
  std::vector<InstanceId> sharers(BackendIndex i,
                                  const Backends &servers) const;
  const OutlierDetector &outliers() const { return Outliers; }
  /// Returns true while most candidates of the service look unhealthy, so that
  /// their health is ignored.
  bool isPanicking(ServiceId service, Time now) const;
  /// Returns true if the server gets new flows as usual, be it healthy or not.
  bool isInUse(BackendIndex i, const Backends &servers, Time now) const;

private:
  struct Sighting {
    BackendId Id;
    Time WholeAt;
  };
  struct Ranking {
    BackendIndex Best = NoBackend;
    double Cost = 0;
  };

  void rank(const std::vector<SubsetMember> &members, const Backends &servers,
            double penalty, Time now, Selection &out, Ranking &ranking) const;
  bool collect(const SelectionRequest &request, const std::string &zone,
               const Backends &servers, const Eligible &eligible, Time now,
               std::vector<SubsetMember> &out) const;
  bool answeredRecently(BackendIndex i, BackendId id, Time now) const;

  std::string Zone;
  SelectorOptions Options;
  std::vector<ZonedInstance> Instances;
  ServerSubsets Subsets;
  OutlierDetector Outliers;
  ResponseBaselines Baselines;
  RecentOpenings Recent;
  std::vector<Sighting> Sightings;
  /// When a choice last ignored the health of the servers, by service.
  std::unordered_map<uint64_t, Time> PanicAt;
};

} // namespace chicory::token

#endif
