// Writes and reads MessagePack values with msgpack-c, for the messages and
// items of this project.

#ifndef CHICORYBANK_LIB_EDGE_MESSAGEPACK_H
#define CHICORYBANK_LIB_EDGE_MESSAGEPACK_H

#include "chicorybank/base/Reasons.h"

#include <cstdint>
#include <memory>
#include <msgpack.h>
#include <span>
#include <string>
#include <tl/expected.hpp>

namespace chicory::edge {

/// Writes MessagePack values.
class Packer {
public:
  Packer() {
    msgpack_sbuffer_init(&Buffer);
    msgpack_packer_init(&Out, &Buffer, msgpack_sbuffer_write);
  }
  ~Packer() { msgpack_sbuffer_destroy(&Buffer); }
  Packer(const Packer &) = delete;
  Packer &operator=(const Packer &) = delete;

  Packer &list(size_t n) {
    msgpack_pack_array(&Out, n);
    return *this;
  }
  Packer &number(uint64_t n) {
    msgpack_pack_uint64(&Out, n);
    return *this;
  }
  Packer &flag(bool value) {
    value ? msgpack_pack_true(&Out) : msgpack_pack_false(&Out);
    return *this;
  }
  Packer &text(const std::string &value) {
    msgpack_pack_str(&Out, value.size());
    msgpack_pack_str_body(&Out, value.data(), value.size());
    return *this;
  }
  size_t size() const { return Buffer.size; }
  std::string take() const { return {Buffer.data, Buffer.size}; }

private:
  msgpack_sbuffer Buffer{};
  msgpack_packer Out{};
};

/// Reads the values of one array in order, and records whether all were valid.
class Unpacker {
public:
  explicit Unpacker(const msgpack_object &object) {
    if (object.type == MSGPACK_OBJECT_ARRAY)
      Items = std::span(object.via.array.ptr, object.via.array.size);
    else
      Ok = false;
  }
  uint64_t number() {
    const msgpack_object *it = next();
    if (it && it->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
      return it->via.u64;
    Ok = false;
    return 0;
  }
  bool flag() {
    const msgpack_object *it = next();
    if (it && it->type == MSGPACK_OBJECT_BOOLEAN)
      return it->via.boolean;
    Ok = false;
    return false;
  }
  std::string text() {
    const msgpack_object *it = next();
    if (it && it->type == MSGPACK_OBJECT_STR)
      return {it->via.str.ptr, it->via.str.size};
    Ok = false;
    return {};
  }
  std::span<const msgpack_object> list() {
    const msgpack_object *it = next();
    if (it && it->type == MSGPACK_OBJECT_ARRAY)
      return {it->via.array.ptr, it->via.array.size};
    Ok = false;
    return {};
  }
  /// Returns a reader of the values of a list.
  Unpacker nested() {
    const msgpack_object *it = next();
    return it ? Unpacker(*it) : Unpacker(msgpack_object{});
  }
  bool more() const { return Ok && Position < Items.size(); }
  void require(bool condition) { Ok = Ok && condition; }
  /// Returns whether every value was read and had the expected type.
  bool done() const { return Ok && Position == Items.size(); }
  bool ok() const { return Ok; }

private:
  const msgpack_object *next() {
    return Position < Items.size() ? &Items[Position++] : nullptr;
  }

  std::span<const msgpack_object> Items;
  size_t Position = 0;
  bool Ok = true;
};

/// Checks the structure of a message without building its values.
///
/// Without this, the library allocates memory for as many values as a list or
/// map claims to have, before it looks for them. A stray datagram of 18 bytes
/// requests 256 GB. The instance ends or starts to swap, and
/// `chicory_bad_peer_messages_total` rises.
class StructureChecker {
public:
  explicit StructureChecker(std::span<const char> bytes) : Bytes(bytes) {}

  /// Returns whether the bytes are one complete value, of the types that our
  /// messages have, and no list claims more values than there are bytes left.
  bool isComplete() {
    uint64_t expected = 1;
    while (expected != 0) {
      if (expected > Bytes.size() || !step(expected))
        return false;
      --expected;
    }
    return Bytes.empty();
  }

private:
  // Format bytes of MessagePack.
  static constexpr uint8_t FixIntMax = 0x7f;
  static constexpr uint8_t FixArray = 0x90;
  static constexpr uint8_t FixStr = 0xa0;
  static constexpr uint8_t FixStrMax = 0xbf;
  static constexpr uint8_t False = 0xc2;
  static constexpr uint8_t True = 0xc3;
  static constexpr uint8_t Uint8 = 0xcc;
  static constexpr uint8_t Uint64 = 0xcf;
  static constexpr uint8_t Str8 = 0xd9;
  static constexpr uint8_t Str32 = 0xdb;
  static constexpr uint8_t Array16 = 0xdc;
  static constexpr uint8_t Array32 = 0xdd;

  /// Skips one value; a list adds the number of its values to `expected`.
  bool step(uint64_t &expected) {
    auto format = static_cast<uint8_t>(Bytes[0]);
    Bytes = Bytes.subspan(1);
    if (format <= FixIntMax || format == False || format == True)
      return true;
    if (format >= FixArray && format < FixStr) {
      expected += format - FixArray;
      return true;
    }
    if (format >= FixStr && format <= FixStrMax)
      return skip(format - FixStr);
    if (format >= Uint8 && format <= Uint64)
      return skip(size_t{1} << (format - Uint8));
    if (format >= Str8 && format <= Str32)
      return skip(number(size_t{1} << (format - Str8)));
    if (format != Array16 && format != Array32)
      return false;
    expected += number(format == Array16 ? 2 : 4);
    return true;
  }
  bool skip(uint64_t n) {
    if (n > Bytes.size())
      return false;
    Bytes = Bytes.subspan(n);
    return true;
  }
  /// Reads a length of `n` bytes; returns a too large one if they are missing.
  uint64_t number(size_t n) {
    if (n > Bytes.size())
      return UINT32_MAX;
    uint64_t out = 0;
    for (size_t i = 0; i < n; ++i)
      out = (out << 8) | static_cast<uint8_t>(Bytes[i]);
    Bytes = Bytes.subspan(n);
    return out;
  }

  std::span<const char> Bytes;
};

/// Decodes one array that starts with a format version; `read` decodes the rest
/// of it.
template <typename Value, typename Read>
tl::expected<Value, Reason> decodeArray(std::span<const char> bytes,
                                        uint64_t version, Read read) {
  if (!StructureChecker(bytes).isComplete())
    return tl::make_unexpected(Reason::BadPeerMessage);
  std::unique_ptr<msgpack_zone, decltype(&msgpack_zone_free)> zone(
      msgpack_zone_new(MSGPACK_ZONE_CHUNK_SIZE), &msgpack_zone_free);
  msgpack_object object{};
  size_t used = 0;
  if (msgpack_unpack(bytes.data(), bytes.size(), &used, zone.get(), &object) !=
          MSGPACK_UNPACK_SUCCESS ||
      used != bytes.size())
    return tl::make_unexpected(Reason::BadPeerMessage);
  Unpacker in(object);
  if (in.number() != version)
    return tl::make_unexpected(Reason::BadVersion);
  Value out = read(in);
  if (!in.done())
    return tl::make_unexpected(Reason::BadPeerMessage);
  return out;
}

} // namespace chicory::edge

#endif
