// Helpers of the fuzz targets. Each target feeds one parser of untrusted bytes;
// tools/fuzz builds and runs the targets.

#ifndef CHICORYBANK_TESTS_FUZZ_FUZZ_H
#define CHICORYBANK_TESTS_FUZZ_FUZZ_H

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

/// Aborts, which the fuzzer reports as a finding, unless the condition holds.
inline void require(bool condition) {
  if (!condition)
    std::abort();
}

inline std::string textOf(const uint8_t *data, size_t size) {
  return {reinterpret_cast<const char *>(data), size};
}

#endif
