// Settings files: either rejected with findings, or read completely.

#include "Fuzz.h"

#include "chicorybank/edge/Settings.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
  chicory::Findings findings;
  auto settings = chicory::edge::readEdgeSettings(textOf(data, size),
                                                  "edge.toml", findings);
  require(settings.has_value() == findings.empty());
  return 0;
}
