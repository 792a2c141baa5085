#include "chicorybank/edge/PropagationTree.h"

#include "chicorybank/base/Hash.h"

#include <algorithm>
#include <limits>

namespace chicory::edge {

namespace {

// Patience in paces: the first of the zones, each further zone's first, then
// the others. Steps are wide enough for a call and a push between them.
constexpr double ZoneStep = 0.5;
constexpr double OthersFrom = 2.0;
constexpr double RankStep = 0.25;
constexpr size_t RanksApart = 4;
// Behind them, each step of the tree: where an instance has died, those to whom
// it would pass news on ask before those behind them do.
constexpr double DepthStep = 0.5;
// All that start for the first time have no place yet. The first of them that
// asks tells the others, by way of a tree of three steps with a read in each.
constexpr double SpreadOfUnplaced = 2;
constexpr size_t Unplaced = std::numeric_limits<size_t>::max();
// Whatever the place, a change has to be asked for in time to apply it.
constexpr double MostOfApply = 0.75;
// Those behind leave a registry that fails to those in front.
constexpr double RestRetryFactor = 3;

/// In the tree, the first of those to whom this one passes news on.
size_t firstChild(size_t rank) { return rank * PropagationTree::FanOut + 1; }

/// The one that passes news on to this one; the first has none.
size_t parentOf(size_t rank) { return (rank - 1) / PropagationTree::FanOut; }

/// Steps from the first of the zone.
size_t depthOf(size_t rank) {
  size_t out = 0;
  for (; rank != 0; rank = parentOf(rank))
    ++out;
  return out;
}

} // namespace

/// An instance in its zone's order.
struct PropagationTree::Place {
  uint64_t Order;
  PeerRecord Peer;
};

PropagationTree::PropagationTree(PropagationOptions options)
    : Options(std::move(options)) {
  setStalenessLimit(0, Unplaced);
}

void PropagationTree::learn(const std::map<InstanceId, PeerRecord> &peers) {
  bool known = peers.contains(Options.Self);
  if (Placed && !known)
    return;
  Placed = known;
  std::map<uint64_t, std::vector<Place>> zones;
  uint64_t own = hashBytes(Options.Zone);
  // Present even while its own record is not yet there.
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
  for (auto &[zone, places] : zones) {
    std::sort(places.begin(), places.end(),
              [](const Place &a, const Place &b) { return a.Order < b.Order; });
    size_t heads = zone == own ? FanOut + 1 : HeadsPerOtherZone;
    for (size_t n = 0; n < std::min(heads, places.size()); ++n)
      if (places[n].Peer.Id != Options.Self)
        Heads.push_back(places[n].Peer.PeerAddress);
    if (zone == own) {
      auto self = std::find_if(places.begin(), places.end(), [&](auto &it) {
        return it.Peer.Id == Options.Self;
      });
      auto rank = static_cast<size_t>(self - places.begin());
      // Whoever the others don't know of yet is not their first.
      setStalenessLimit(zoneRank, known ? rank : Unplaced);
      append(places, firstChild(rank), Children);
      if (rank != 0)
        append(places, firstChild(parentOf(rank)), Siblings);
    }
    ++zoneRank;
  }
}

/// Adds the other instances at `FanOut` ranks from the first one on.
void PropagationTree::append(const std::vector<Place> &places, size_t first,
                             std::vector<Address> &out) const {
  for (size_t n = first; n < std::min(first + FanOut, places.size()); ++n)
    if (places[n].Peer.Id != Options.Self)
      out.push_back(places[n].Peer.PeerAddress);
}

/// Where this instance stands among others of the same place, from 0 to 1.
double PropagationTree::share() const {
  constexpr uint64_t Steps = 1024;
  return static_cast<double>(mixHash(Options.Seed, Options.Self.Value) %
                             Steps) /
         Steps;
}

void PropagationTree::setStalenessLimit(size_t zoneRank, size_t rank) {
  double paces = 1 + ZoneStep * static_cast<double>(zoneRank);
  if (rank != 0) {
    paces =
        OthersFrom + RankStep * static_cast<double>(std::min(rank, RanksApart));
    if (rank == Unplaced)
      paces += SpreadOfUnplaced * share();
    else if (rank > RanksApart)
      paces += DepthStep * (static_cast<double>(depthOf(rank) - 1) + share());
  }
  StalenessLimit = std::min(
      std::chrono::duration_cast<Duration>(Options.PollInterval * paces),
      std::chrono::duration_cast<Duration>(Options.ApplyWithin * MostOfApply));
  RetryMax = rank == 0 ? Options.RetryMax
                       : std::chrono::duration_cast<Duration>(Options.RetryMax *
                                                              RestRetryFactor);
}

std::vector<Address> PropagationTree::targets(bool asked) const {
  std::vector<Address> out = Children;
  if (!asked)
    return out;
  for (const std::vector<Address> *more : {&Heads, &Siblings})
    for (Address it : *more)
      if (std::find(out.begin(), out.end(), it) == out.end())
        out.push_back(it);
  return out;
}

} // namespace chicory::edge
