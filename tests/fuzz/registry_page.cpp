// Answers of the registry, and pages of other instances: what is read can be
// passed on and read again.

#include "Fuzz.h"

#include "platform/StoreDialect.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
  const chicory::platform::StoreDialect dialect;
  auto page = dialect.parsePage(textOf(data, size));
  (void)dialect.parseLease(textOf(data, size));
  if (!page)
    return 0;
  auto again = dialect.parsePage(dialect.serializePage(*page));
  require(again && again->Items == page->Items);
  return 0;
}
