// What a fuzz target needs. Each target feeds one reader of bytes that come
// from outside; tools/fuzz builds and runs them.

#ifndef CHICORYBANK_TESTS_FUZZ_FUZZ_H
#define CHICORYBANK_TESTS_FUZZ_FUZZ_H

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

/// Ends the target with a finding unless the condition holds.
inline void require(bool condition) {
  if (!condition)
    std::abort();
}

inline std::string textOf(const uint8_t *data, size_t size) {
  return {reinterpret_cast<const char *>(data), size};
}

#endif
