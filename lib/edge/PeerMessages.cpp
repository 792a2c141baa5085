#include "chicorybank/edge/PeerMessages.h"

#include <algorithm>
#include <memory>
#include <msgpack.h>

namespace chicory::edge {

namespace {

constexpr uint64_t FormatVersion = 1;
enum class Kind : uint8_t { News = 1, Fragment = 2, Doubt = 3 };

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

/// Reads the items of one array in turn, and remembers whether all were there.
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
  void require(bool condition) { Ok = Ok && condition; }
  /// Every item was read, and had its kind.
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

/// Walks over the values of a message without building them.
///
/// What goes wrong without: the library makes room for as many values as a list
/// or map claims to have, before it looks for them. A stray datagram of 18
/// bytes asks for 256 GB; one sees an instance that ends, or starts to swap,
/// with `chicory_bad_peer_messages_total` rising.
class Walker {
public:
  explicit Walker(std::span<const char> bytes) : Bytes(bytes) {}

  /// The bytes are one whole value, of the kinds that our messages have, and
  /// no list claims more values than there are bytes left.
  bool isWhole() {
    uint64_t wanted = 1;
    while (wanted != 0) {
      if (wanted > Bytes.size() || !step(wanted))
        return false;
      --wanted;
    }
    return Bytes.empty();
  }

private:
  // Formats of MessagePack.
  static constexpr uint8_t FixIntMost = 0x7f;
  static constexpr uint8_t FixArray = 0x90;
  static constexpr uint8_t FixStr = 0xa0;
  static constexpr uint8_t FixStrMost = 0xbf;
  static constexpr uint8_t False = 0xc2;
  static constexpr uint8_t True = 0xc3;
  static constexpr uint8_t Uint8 = 0xcc;
  static constexpr uint8_t Uint64 = 0xcf;
  static constexpr uint8_t Str8 = 0xd9;
  static constexpr uint8_t Str32 = 0xdb;
  static constexpr uint8_t Array16 = 0xdc;
  static constexpr uint8_t Array32 = 0xdd;

  /// Passes over one value; a list adds its values to `wanted`.
  bool step(uint64_t &wanted) {
    auto format = static_cast<uint8_t>(Bytes[0]);
    Bytes = Bytes.subspan(1);
    if (format <= FixIntMost || format == False || format == True)
      return true;
    if (format >= FixArray && format < FixStr) {
      wanted += format - FixArray;
      return true;
    }
    if (format >= FixStr && format <= FixStrMost)
      return skip(format - FixStr);
    if (format >= Uint8 && format <= Uint64)
      return skip(size_t{1} << (format - Uint8));
    if (format >= Str8 && format <= Str32)
      return skip(number(size_t{1} << (format - Str8)));
    if (format != Array16 && format != Array32)
      return false;
    wanted += number(format == Array16 ? 2 : 4);
    return true;
  }
  bool skip(uint64_t n) {
    if (n > Bytes.size())
      return false;
    Bytes = Bytes.subspan(n);
    return true;
  }
  /// A length in so many bytes; too much where they are not there.
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

/// Parses bytes and lets `read` read the rest of the outer array, which depends
/// on the message's kind.
template <typename Message, typename Read>
tl::expected<Message, Reason> decode(std::span<const char> bytes, Read read) {
  if (!Walker(bytes).isWhole())
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
  if (in.number() != FormatVersion)
    return tl::make_unexpected(Reason::BadVersion);
  Message out = read(in, in.number());
  if (!in.done())
    return tl::make_unexpected(Reason::BadPeerMessage);
  return out;
}

InstanceId readInstance(Unpacker &in) {
  uint64_t id = in.number();
  in.require(id <= UINT32_MAX);
  return InstanceId{static_cast<uint32_t>(id)};
}

int64_t readRevision(Unpacker &in) {
  uint64_t n = in.number();
  in.require(n <= INT64_MAX);
  return static_cast<int64_t>(n);
}

void pack(Packer &out, const Item &item) {
  out.list(5).text(item.Key).number(static_cast<uint64_t>(item.Revision));
  out.number(static_cast<uint64_t>(item.Created));
  out.flag(item.Deleted).text(item.Value);
}

std::string packPush(const NewsPush &push, bool withItems) {
  Packer out;
  out.list(9).number(FormatVersion).number(static_cast<uint64_t>(Kind::News));
  out.number(push.Sender.Value);
  out.number(static_cast<uint64_t>(std::max<int64_t>(push.Age.count(), 0)));
  out.number(static_cast<uint64_t>(push.Base));
  out.number(static_cast<uint64_t>(push.Page.Revision));
  out.number(push.Digest).flag(withItems && push.Complete);
  out.list(withItems ? push.Page.Items.size() : 0);
  if (withItems)
    for (const Item &it : push.Page.Items)
      pack(out, it);
  return out.take();
}

NewsPush readPush(Unpacker &in) {
  NewsPush out{.Sender = readInstance(in)};
  uint64_t age = in.number();
  // A day: older news is as good as none, and must not overflow.
  constexpr uint64_t Most = 86'400'000'000;
  in.require(age <= Most);
  out.Age = Duration(static_cast<int64_t>(std::min(age, Most)));
  out.Base = readRevision(in);
  out.Page.Revision = readRevision(in);
  out.Digest = in.number();
  out.Complete = in.flag();
  for (const msgpack_object &it : in.list()) {
    Unpacker item(it);
    Item read{.Key = item.text(),
              .Revision = readRevision(item),
              .Created = readRevision(item)};
    read.Deleted = item.flag();
    read.Value = item.text();
    in.require(item.done());
    out.Page.Items.push_back(std::move(read));
  }
  return out;
}

Fragment readFragment(Unpacker &in) {
  Fragment out{.Sender = readInstance(in), .Message = in.number()};
  uint64_t index = in.number();
  uint64_t count = in.number();
  in.require(index < count && count <= MaxFragments);
  out.Index = static_cast<uint32_t>(std::min<uint64_t>(index, MaxFragments));
  out.Count = static_cast<uint32_t>(std::min<uint64_t>(count, MaxFragments));
  out.Bytes = in.text();
  return out;
}

} // namespace

std::string encodePush(const NewsPush &push, size_t most) {
  std::string out = packPush(push, true);
  return out.size() <= most ? out : packPush(push, false);
}

tl::expected<NewsPush, Reason> decodePush(std::span<const char> bytes) {
  return decode<NewsPush>(bytes, [](Unpacker &in, uint64_t kind) {
    in.require(kind == static_cast<uint64_t>(Kind::News));
    return readPush(in);
  });
}

std::vector<std::string> encodeDatagrams(const NewsPush &push,
                                         uint64_t message) {
  std::string bytes = encodePush(push, FragmentBytes * MaxFragments);
  if (bytes.size() <= MaxPeerMessage)
    return {std::move(bytes)};
  std::vector<std::string> out;
  size_t count = (bytes.size() + FragmentBytes - 1) / FragmentBytes;
  for (size_t n = 0; n < count; ++n) {
    Packer one;
    one.list(7).number(FormatVersion);
    one.number(static_cast<uint64_t>(Kind::Fragment));
    one.number(push.Sender.Value).number(message).number(n).number(count);
    one.text(bytes.substr(n * FragmentBytes, FragmentBytes));
    out.push_back(one.take());
  }
  return out;
}

std::string encodeDoubt(const Doubt &doubt) {
  Packer out;
  out.list(4).number(FormatVersion).number(static_cast<uint64_t>(Kind::Doubt));
  out.number(doubt.Sender.Value).number(doubt.Backend.Value);
  return out.take();
}

tl::expected<PeerMessage, Reason> decodeDatagram(std::span<const char> bytes) {
  return decode<PeerMessage>(bytes, [](Unpacker &in, uint64_t kind) {
    if (kind == static_cast<uint64_t>(Kind::Fragment))
      return PeerMessage(readFragment(in));
    if (kind == static_cast<uint64_t>(Kind::Doubt))
      return PeerMessage(Doubt{.Sender = readInstance(in),
                               .Backend = token::BackendId{in.number()}});
    in.require(kind == static_cast<uint64_t>(Kind::News));
    return PeerMessage(readPush(in));
  });
}

} // namespace chicory::edge
