// Subsets of the servers of a service: each instance uses a small part of the
// servers of its zone, so that it sees enough of each one to judge it.
//
//   ServerSubsets subsets(zone, self, {});
//   subsets.setInstances(instances);
//   subsets.refresh(service, servers, now);
//   std::vector<SubsetMember> members;
//   subsets.select(service, zone, isUsable, members);
//
// The servers of a zone form a ring, ordered by a hash of their ids, and so do
// the instances. Instance k of n uses the arc of the servers' ring that starts
// at k * m / n and is c * m / n of the m servers wide. So each server lies in
// exactly c arcs, for any n and m, and no message is needed
// (docs/design/server-subsets.md).

#ifndef CHICORYBANK_TOKEN_SERVERSUBSETS_H
#define CHICORYBANK_TOKEN_SERVERSUBSETS_H

#include "chicorybank/token/Backends.h"

#include <algorithm>

namespace chicory::token {

/// A server of a subset.
struct SubsetMember {
  BackendIndex Server = NoBackend;
  /// The part of the server that this instance may use, in servers: 1 inside
  /// the arc, less at its edges.
  double Weight = 1;
};

struct SubsetOptions {
  /// An arc is at least this wide, in servers. With fewer, a single failing
  /// server is a large part of an instance's flows.
  size_t MinServers = 6;
  /// A selection looks at this many servers of the arc, and at three times as
  /// many if some are rejected. An arc is wider if a service has many servers
  /// for each instance; then the selections look at its parts in turn.
  size_t MaxServers = 16;
  /// Least time between two looks at all servers of a service.
  Duration RefreshInterval = std::chrono::milliseconds(250);
};

/// Not thread-safe.
class ServerSubsets {
public:
  /// `zone` is the zone of this instance. Its arcs depend on the zone with
  /// which it is listed, since the other instances know only that one.
  ServerSubsets(std::string zone, InstanceId self, SubsetOptions options)
      : OwnZone(std::move(zone)), Self(self), Options(options) {}

  /// Sets the registered instances, including this one if it is registered.
  /// O(n log n).
  void setInstances(const std::vector<ZonedInstance> &instances);

  /// Brings the list of the servers that may accept new flows up to date, at
  /// most once in `RefreshInterval`. To be called before each selection.
  /// `servers` must stay in place until the last `select` before the next call.
  void refresh(ServiceId service, const Backends &servers, Time now);

  /// Appends the servers of a zone that this instance uses, in their fixed
  /// order: first its own subset with weights, then as many further servers as
  /// `usable` rejects, which take over the weight of those. At most three times
  /// the subset is looked at. Appends nothing if this instance is not listed or
  /// the zone has no server.
  ///
  /// `usable` takes a `BackendIndex`. It may append to `out` itself.
  template <typename Usable>
  void select(ServiceId service, const std::string &zone, Usable usable,
              std::vector<SubsetMember> &out) const;

  /// Returns the instances of the server's zone, besides this one, whose arcs
  /// hold the server. Empty if the server was not in the list at the last
  /// refresh. O(log m + c).
  std::vector<InstanceId> sharers(ServiceId service, BackendIndex server) const;

  /// Returns the slots of the servers of this instance's zone.
  uint32_t slotsInZone(ServiceId service) const;
  /// Returns the zones in which the service has servers, in alphabetical order.
  const std::vector<std::string> &zones(ServiceId service) const;

private:
  /// The instances of one zone.
  struct InstanceRing {
    std::vector<InstanceId> Ids;
    /// How many of them come before this instance in the order of the hashes.
    size_t BeforeSelf = 0;
  };
  /// A server of a ring. The id is kept because `Backends` reuses an index.
  struct Member {
    BackendIndex Server = NoBackend;
    BackendId Id;
  };
  /// Where a server is in `ServerList::Members`.
  struct Place {
    BackendIndex Server = NoBackend;
    uint32_t Position = 0;
  };
  /// A part of `ServerList::Members`.
  struct ServerRing {
    size_t Begin = 0;
    size_t Size = 0;
  };
  /// The servers of one service that may accept new flows.
  struct ServerList {
    Time RefreshedAt;
    /// Fingerprint of what the list was built from.
    uint64_t Source = 0;
    /// Number of selections; it moves the part of a wide arc that is looked at.
    uint64_t Turn = 0;
    uint32_t OwnSlots = 0;
    std::vector<std::string> Zones;
    std::vector<ServerRing> Rings; // One for each of `Zones`.
    std::vector<Member> Members;   // By ring, then by the hash of the id.
    std::vector<Place> ByIndex;    // Ordered by server.
  };
  /// The part of a ring that an instance uses. Lengths are in 1/n of a server,
  /// so that the arcs of all instances fit together without rounding.
  struct Arc {
    uint64_t Unit = 0; // n: the length of one server.
    uint64_t Start = 0;
    uint64_t End = 0; // May lie beyond the ring's end.
    size_t First = 0; // Position of the first server in the ring.
    size_t Size = 0;  // Number of servers that the arc touches.
  };

  void rebuild(ServiceId service, ServerList &list,
               const Backends &servers) const;
  const ServerList *listOf(ServiceId service) const;
  const ServerRing *ringOf(const ServerList &list,
                           const std::string &zone) const;
  /// Returns the number of arcs that hold each of `size` servers.
  uint64_t arcsPerServer(uint64_t instances, uint64_t size) const;
  /// Returns this instance's arc, with `Size` 0 if it has none.
  Arc ownArc(const std::string &zone, size_t ringSize) const;
  /// Returns the part of the arc's n-th server that the arc covers.
  static double weightAt(const Arc &arc, size_t n, size_t ringSize);
  bool isCurrent(const Member &it, ServiceId service) const;

  std::string OwnZone;
  InstanceId Self;
  SubsetOptions Options;
  std::map<std::string, InstanceRing> Instances;
  size_t InstanceCount = 0;
  size_t InstancesBeforeSelf = 0;
  /// The zone with which this instance is listed; null if it isn't.
  const InstanceRing *SelfRing = nullptr;
  std::unordered_map<uint64_t, ServerList> Lists;
  /// The servers of the last `refresh`.
  const Backends *Servers = nullptr;
};

template <typename Usable>
void ServerSubsets::select(ServiceId service, const std::string &zone,
                           Usable usable,
                           std::vector<SubsetMember> &out) const {
  const ServerList *list = listOf(service);
  const ServerRing *ring = list ? ringOf(*list, zone) : nullptr;
  if (!ring)
    return;
  Arc arc = ownArc(zone, ring->Size);
  size_t own = std::min(arc.Size, Options.MaxServers);
  size_t end = std::min(ring->Size, 3 * own);
  size_t shift = own < arc.Size ? list->Turn * own % arc.Size : 0;
  size_t rejected = 0;
  double rejectedWeight = 0;
  double replacementWeight = 0;
  for (size_t n = 0; n < end; ++n) {
    if (n >= own && rejected == 0)
      return;
    if (n == own)
      replacementWeight = rejectedWeight / static_cast<double>(rejected);
    // Beyond the part of the arc that is looked at follows the rest of the arc,
    // then the servers after it.
    size_t step = n < arc.Size ? (n + shift) % arc.Size : n;
    const Member &it =
        list->Members[ring->Begin + (arc.First + step) % ring->Size];
    bool accepted = isCurrent(it, service) && usable(it.Server);
    double weight =
        n < own ? weightAt(arc, step, ring->Size) : replacementWeight;
    if (accepted)
      out.push_back({.Server = it.Server, .Weight = weight});
    if (n < own && !accepted) {
      ++rejected;
      rejectedWeight += weight;
    } else if (n >= own && accepted) {
      --rejected;
    }
  }
}

} // namespace chicory::token

#endif
