// Responses of the registry, and pages of other instances: a page that was
// parsed can be serialized and parsed again without a difference.

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
