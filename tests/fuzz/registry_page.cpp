// Answers of the registry, and pages of other instances: what is read can be
// passed on and read again.

#include "Fuzz.h"

#include "platform/StoreDialect.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
  const chicory::platform::StoreDialect dialect;
  auto page = dialect.readPage(textOf(data, size));
  (void)dialect.readLease(textOf(data, size));
  if (!page)
    return 0;
  auto again = dialect.readPage(dialect.writePage(*page));
  require(again && again->Items == page->Items);
  return 0;
}
