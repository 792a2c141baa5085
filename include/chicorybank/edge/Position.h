// Where in the registry's life something was written.
//
// The registry may be restored from a copy that is some seconds old. What was
// written since is lost, and its revisions are given out again for other
// changes, so that a revision alone says neither what is newer nor what is the
// same. Each restore begins a new generation.
//
//   Position before{.Generation = Generation{1}, .Revision = 60};
//   Position after{.Generation = Generation{2}, .Revision = 45};
//   before < after; // true: the later generation decides

#ifndef CHICORYBANK_EDGE_POSITION_H
#define CHICORYBANK_EDGE_POSITION_H

#include <compare>
#include <cstdint>

namespace chicory::edge {

/// Counts how often the registry was restored.
struct Generation {
  uint64_t Value = 0;

  constexpr Generation() = default;
  /// Explicit: a bare number is no generation, and no position either.
  constexpr explicit Generation(uint64_t value) : Value(value) {}

  auto operator<=>(const Generation &) const = default;
};

/// A revision, and the generation that gave it out.
struct Position {
  edge::Generation Generation;
  int64_t Revision = 0;

  auto operator<=>(const Position &) const = default;
};

} // namespace chicory::edge

#endif
