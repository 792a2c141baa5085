#include "chicorybank/edge/PropagationTree.h"

#include "chicorybank/base/Hash.h"

#include <algorithm>
#include <limits>

namespace chicory::edge {

namespace {

// Staleness limits, in poll intervals: the first instance of the first zone has
// 1, that of each further zone a step more, and the others follow. The steps
// leave time for a call and a push.
constexpr double ZoneStep = 0.5;
constexpr double FollowersFrom = 2.0;
constexpr double RankStep = 0.25;
// Ranks up to this one are a step apart. Behind them, limits grow with the
// depth in the tree: if an instance has failed, its children ask before the
// instances below them do.
constexpr size_t LastRankStep = 4;
constexpr double DepthStep = 0.5;
// The maximum random addition for instances without a rank, such as ones that
// start for the first time. It is long enough for the first of them to ask and
// for its answer to reach the others, in three steps with a read in each.
constexpr double UnrankedJitter = 2;
constexpr size_t Unranked = std::numeric_limits<size_t>::max();
// At any rank, an instance has to ask for a change in time to apply it.
constexpr double MaxShareOfApplyTime = 0.75;
// The maximum back-off of all but the first instance of a zone is this many
// times longer, so that mostly the first ones retry at a failing registry.
constexpr double FollowerRetryFactor = 3;

/// Returns the rank of the first child in the tree.
size_t firstChild(size_t rank) { return rank * PropagationTree::FanOut + 1; }

/// Returns the rank of the parent in the tree; rank 0 has none.
size_t parentOf(size_t rank) { return (rank - 1) / PropagationTree::FanOut; }

/// Returns the number of steps from the first instance of the zone.
size_t depthOf(size_t rank) {
  size_t out = 0;
  for (; rank != 0; rank = parentOf(rank))
    ++out;
  return out;
}

} // namespace

/// An instance with its sort key within its zone.
struct PropagationTree::Member {
  uint64_t Order;
  PeerRecord Peer;
};

PropagationTree::PropagationTree(PropagationOptions options)
    : Options(std::move(options)) {
  setStalenessLimit(0, Unranked);
}

void PropagationTree::learn(const std::map<InstanceId, PeerRecord> &peers) {
  bool known = peers.contains(Options.Self);
  if (Ranked && !known)
    return;
  Ranked = known;
  std::map<uint64_t, std::vector<Member>> zones;
  uint64_t own = hashBytes(Options.Zone);
  // This instance is in the order even before its own record is there.
  zones[own].push_back({.Order = mixHash(1, Options.Self.Value),
                        .Peer = {.Id = Options.Self, .Zone = Options.Zone}});
  for (const auto &[id, peer] : peers)
    if (id != Options.Self && !peer.Leaving)
      zones[hashBytes(peer.Zone)].push_back(
          {.Order = mixHash(1, id.Value), .Peer = peer});
  Children.clear();
  Heads.clear();
  Siblings.clear();
  size_t zoneRank = 0;
  for (auto &[zone, members] : zones) {
    std::sort(
        members.begin(), members.end(),
        [](const Member &a, const Member &b) { return a.Order < b.Order; });
    size_t heads = zone == own ? FanOut + 1 : HeadsPerOtherZone;
    for (size_t n = 0; n < std::min(heads, members.size()); ++n)
      if (members[n].Peer.Id != Options.Self)
        Heads.push_back(members[n].Peer.PeerAddress);
    if (zone == own) {
      auto self = std::find_if(members.begin(), members.end(), [&](auto &it) {
        return it.Peer.Id == Options.Self;
      });
      auto rank = static_cast<size_t>(self - members.begin());
      // An instance that the others don't know yet is not the first.
      setStalenessLimit(zoneRank, known ? rank : Unranked);
      appendAddresses(members, firstChild(rank), Children);
      if (rank != 0)
        appendAddresses(members, firstChild(parentOf(rank)), Siblings);
    }
    ++zoneRank;
  }
}

/// Appends the addresses of the `FanOut` members from rank `first` on, without
/// this instance.
void PropagationTree::appendAddresses(const std::vector<Member> &members,
                                      size_t first,
                                      std::vector<Address> &out) const {
  for (size_t n = first; n < std::min(first + FanOut, members.size()); ++n)
    if (members[n].Peer.Id != Options.Self)
      out.push_back(members[n].Peer.PeerAddress);
}

/// Returns a fraction from 0 to 1 that differs between instances.
double PropagationTree::jitter() const {
  constexpr uint64_t Steps = 1024;
  return static_cast<double>(mixHash(Options.Seed, Options.Self.Value) %
                             Steps) /
         Steps;
}

void PropagationTree::setStalenessLimit(size_t zoneRank, size_t rank) {
  double intervals = 1 + ZoneStep * static_cast<double>(zoneRank);
  if (rank != 0) {
    intervals = FollowersFrom +
                RankStep * static_cast<double>(std::min(rank, LastRankStep));
    if (rank == Unranked)
      intervals += UnrankedJitter * jitter();
    else if (rank > LastRankStep)
      intervals +=
          DepthStep * (static_cast<double>(depthOf(rank) - 1) + jitter());
  }
  StalenessLimit = std::min(
      std::chrono::duration_cast<Duration>(Options.PollInterval * intervals),
      std::chrono::duration_cast<Duration>(Options.ApplyWithin *
                                           MaxShareOfApplyTime));
  RetryMax = rank == 0 ? Options.RetryMax
                       : std::chrono::duration_cast<Duration>(
                             Options.RetryMax * FollowerRetryFactor);
}

std::vector<Address> PropagationTree::targets(bool fromRegistry) const {
  std::vector<Address> out = Children;
  if (!fromRegistry)
    return out;
  for (const std::vector<Address> *more : {&Heads, &Siblings})
    for (Address it : *more)
      if (std::find(out.begin(), out.end(), it) == out.end())
        out.push_back(it);
  return out;
}

} // namespace chicory::edge
