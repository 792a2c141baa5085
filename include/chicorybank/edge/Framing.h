// The interface to the byte format of packets. The edge decides on
// `FlowPacket`s; a framing converts a deployment's datagrams to them and back.

#ifndef CHICORYBANK_EDGE_FRAMING_H
#define CHICORYBANK_EDGE_FRAMING_H

#include "chicorybank/token/Events.h"

#include <optional>

namespace chicory::edge {

/// Parses and writes a deployment's packets.
class Framing {
public:
  /// The maximum datagram size in bytes, including all that a framing adds.
  static constexpr size_t MaxDatagram = 1280;
  using Buffer = std::span<std::byte, MaxDatagram>;

  virtual ~Framing() = default;

  /// Parses a caller's packet. Returns nothing if the bytes are not a packet.
  virtual std::optional<token::FlowPacket> read(token::Bytes raw) const = 0;
  /// Writes the datagram that carries a packet to its backend server. Returns
  /// its size in bytes.
  virtual size_t writeForward(const token::Forward &forward,
                              Buffer out) const = 0;
  /// Writes a reset for a caller. Returns its size in bytes.
  virtual size_t writeReset(const token::ResetFlow &reset,
                            Buffer out) const = 0;
  /// Returns the address to which datagrams for a caller are sent.
  virtual Address callerAddress(const FlowKey &flow) const = 0;
};

} // namespace chicory::edge

#endif
