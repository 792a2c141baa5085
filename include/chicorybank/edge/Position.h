// The position of a write in the registry's history.
//
// The registry may be restored from a backup that is some seconds old. Writes
// since the backup are lost, and their revisions are assigned again to other
// changes. So a revision alone shows neither which of two items is newer nor
// whether they are the same. Each restore begins a new generation.
//
//   Position before{.Generation = Generation{1}, .Revision = 60};
//   Position after{.Generation = Generation{2}, .Revision = 45};
//   before < after; // true: the later generation decides

#ifndef CHICORYBANK_EDGE_POSITION_H
#define CHICORYBANK_EDGE_POSITION_H

#include <compare>
#include <cstdint>

namespace chicory::edge {

/// Increases with each restore of the registry.
struct Generation {
  uint64_t Value = 0;

  constexpr Generation() = default;
  /// Explicit, since a bare number is neither a generation nor a position.
  constexpr explicit Generation(uint64_t value) : Value(value) {}

  auto operator<=>(const Generation &) const = default;
};

/// A revision, and the generation that assigned it.
struct Position {
  edge::Generation Generation;
  int64_t Revision = 0;

  auto operator<=>(const Position &) const = default;
};

} // namespace chicory::edge

#endif
