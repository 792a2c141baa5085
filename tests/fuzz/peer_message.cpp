// Datagrams of other instances, messages reassembled from fragments, and pages.

#include "Fuzz.h"

#include "chicorybank/edge/FragmentAssembler.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
  using namespace chicory::edge;
  std::span bytes(reinterpret_cast<const char *>(data), size);
  auto push = decodePush(bytes);
  if (push) {
    // Without a size limit; encodePush leaves out the items of a push above it.
    auto again = decodePush(encodePush(*push, SIZE_MAX));
    require(again && again->Page.Items == push->Page.Items);
  }
  (void)decodeFragments(bytes);
  if (auto page = decodePage(bytes)) {
    auto again = decodePage(encodePage(*page));
    require(again && again->Items == page->Items);
  }
  auto message = decodeDatagram(bytes);
  if (!message)
    return 0;
  if (auto *fragment = std::get_if<Fragment>(&*message)) {
    require(fragment->Index < fragment->Count);
    FragmentAssembler pieces;
    auto whole = pieces.add(*fragment);
    require(whole.has_value() == (fragment->Count == 1));
  }
  return 0;
}
