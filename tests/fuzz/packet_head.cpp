// Packets of callers: parsed lengths stay within the datagram, and a forwarded
// packet differs from the received one only in the token.

#include "Fuzz.h"

#include "platform/PacketFraming.h"

#include <array>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
  using namespace chicory;
  const platform::PacketFraming framing(8172);
  token::Bytes raw(reinterpret_cast<const std::byte *>(data), size);
  auto head = framing.read(raw);
  if (!head)
    return 0;
  require(head->DataBytes < size);
  std::array<std::byte, edge::Framing::MaxDatagram> buf;
  size_t sent = framing.writeForward(
      {.To = token::BackendId{7}, .Echo = token::Token{9}, .Raw = raw}, buf);
  require(sent > size && sent <= buf.size());
  auto again = framing.read(token::Bytes(buf).subspan(sent - size, size));
  require(again && again->Echo == token::Token{9});
  require(again->key() == head->key());
  return 0;
}
