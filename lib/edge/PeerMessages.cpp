#include "chicorybank/edge/PeerMessages.h"

#include "MessagePack.h"

#include "chicorybank/edge/Compression.h"

#include <algorithm>

namespace chicory::edge {

namespace {

constexpr uint64_t FormatVersion = 3;
/// Kinds of datagrams.
enum class Kind : uint8_t {
  Push = 1,
  Fragment = 2,
  UnreachableReport = 3,
  HealthReport = 4
};
/// The kind of a page. Pages are compressed and read over TCP, so their kind is
/// numbered separately from those of datagrams.
constexpr uint64_t PageKind = 4;

// `HealthReport` encodes these values.
static_assert(static_cast<uint64_t>(token::HealthChange::Ejected) == 1);
static_assert(static_cast<uint64_t>(token::HealthChange::Restored) == 2);

/// Decodes a message's format version and kind. `read` decodes the rest of the
/// outer array, which depends on the kind.
template <typename Message, typename Read>
tl::expected<Message, Reason> decode(std::span<const char> bytes, Read read) {
  return decodeArray<Message>(bytes, FormatVersion, [&](Unpacker &in) {
    return read(in, in.number());
  });
}

InstanceId readInstance(Unpacker &in) {
  uint64_t id = in.number();
  in.require(id <= UINT32_MAX);
  return InstanceId{static_cast<uint32_t>(id)};
}

/// Reads a number that is not negative and fits into 63 bits.
int64_t readNonNegative(Unpacker &in) {
  uint64_t n = in.number();
  in.require(n <= INT64_MAX);
  return static_cast<int64_t>(n);
}

Position readPosition(Unpacker &in) {
  auto generation = static_cast<uint64_t>(readNonNegative(in));
  return {.Generation = Generation{generation},
          .Revision = readNonNegative(in)};
}

void pack(Packer &out, Position position) {
  out.number(position.Generation.Value);
  out.number(static_cast<uint64_t>(position.Revision));
}

/// Packs an item without its generation, which is the page's.
void pack(Packer &out, const Item &item) {
  out.list(5).text(item.Key).number(static_cast<uint64_t>(item.At.Revision));
  out.number(static_cast<uint64_t>(item.Created));
  out.flag(item.Deleted).text(item.Value);
}

void pack(Packer &out, const std::vector<Item> &items) {
  out.list(items.size());
  for (const Item &it : items)
    pack(out, it);
}

std::string packPush(const UpdatePush &push, bool withItems) {
  Packer out;
  out.list(11).number(FormatVersion).number(static_cast<uint64_t>(Kind::Push));
  out.number(push.Sender.Value);
  out.number(static_cast<uint64_t>(std::max<int64_t>(push.Age.count(), 0)));
  pack(out, push.Base);
  pack(out, push.Page.At);
  out.number(push.Digest).flag(withItems && push.Complete);
  pack(out, withItems ? push.Page.Items : std::vector<Item>());
  return out.take();
}

/// Returns whether the items exceed `MaxPushBytes`, before compression.
bool isTooLarge(const UpdatePush &push) {
  size_t bytes = 0;
  for (const Item &it : push.Page.Items)
    bytes += it.Key.size() + it.Value.size();
  return bytes > MaxPushBytes;
}

std::vector<Item> readItems(Unpacker &in, Generation generation) {
  std::vector<Item> out;
  for (const msgpack_object &it : in.list()) {
    Unpacker item(it);
    Item read{
        .Key = item.text(),
        .At = {.Generation = generation, .Revision = readNonNegative(item)},
        .Created = readNonNegative(item)};
    read.Deleted = item.flag();
    read.Value = item.text();
    in.require(item.done());
    out.push_back(std::move(read));
  }
  return out;
}

UpdatePush readPush(Unpacker &in) {
  UpdatePush out{.Sender = readInstance(in)};
  uint64_t age = in.number();
  // One day, in microseconds; a larger age could overflow and is useless.
  constexpr uint64_t MaxAge = 86'400'000'000;
  in.require(age <= MaxAge);
  out.Age = Duration(static_cast<int64_t>(std::min(age, MaxAge)));
  out.Base = readPosition(in);
  out.Page.At = readPosition(in);
  out.Digest = in.number();
  out.Complete = in.flag();
  out.Page.Items = readItems(in, out.Page.At.Generation);
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

HealthReport readHealthReport(Unpacker &in) {
  HealthReport out{.Sender = readInstance(in),
                   .Backend = token::BackendId{in.number()},
                   .StartedAtMs = readNonNegative(in)};
  uint64_t change = in.number();
  for (auto it : {token::HealthChange::Ejected, token::HealthChange::Restored})
    if (change == static_cast<uint64_t>(it))
      out.Change = it;
  in.require(out.Change != token::HealthChange::None);
  return out;
}

} // namespace

std::string encodePush(const UpdatePush &push, size_t maxBytes) {
  std::string out = packPush(push, true);
  return out.size() <= maxBytes ? out : packPush(push, false);
}

tl::expected<UpdatePush, Reason> decodePush(std::span<const char> bytes) {
  return decode<UpdatePush>(bytes, [](Unpacker &in, uint64_t kind) {
    in.require(kind == static_cast<uint64_t>(Kind::Push));
    return readPush(in);
  });
}

std::vector<std::string> encodeDatagrams(const UpdatePush &push,
                                         uint64_t message, size_t receivers) {
  bool tooLarge = isTooLarge(push);
  std::string bytes = packPush(push, !tooLarge);
  if (bytes.size() <= MaxDatagramBytes)
    return {std::move(bytes)};
  bytes = compress(bytes);
  size_t count = (bytes.size() + FragmentBytes - 1) / FragmentBytes;
  if (count > MaxFragments ||
      (count > 1 && count * receivers > MaxBurstDatagrams))
    return {packPush(push, false)};
  std::vector<std::string> out;
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

tl::expected<UpdatePush, Reason> decodeFragments(std::span<const char> bytes) {
  // A push is larger than its keys and values, which `MaxPushBytes` bounds.
  constexpr size_t MaxBytes = 2 * MaxPushBytes;
  return decompress(bytes, MaxBytes).and_then([](const std::string &it) {
    return decodePush(it);
  });
}

std::string encodePage(const ItemPage &page) {
  Packer out;
  out.list(5).number(FormatVersion).number(PageKind);
  pack(out, page.At);
  pack(out, page.Items);
  return compress(out.take());
}

tl::expected<ItemPage, Reason> decodePage(std::span<const char> bytes) {
  auto read = [](Unpacker &in, uint64_t kind) {
    in.require(kind == PageKind);
    ItemPage out{.At = readPosition(in)};
    out.Items = readItems(in, out.At.Generation);
    return out;
  };
  return decompress(bytes, MaxPageBytes).and_then([&](const std::string &it) {
    return decode<ItemPage>(it, read);
  });
}

std::string encodeUnreachableReport(const UnreachableReport &report) {
  Packer out;
  out.list(4)
      .number(FormatVersion)
      .number(static_cast<uint64_t>(Kind::UnreachableReport));
  out.number(report.Sender.Value).number(report.Backend.Value);
  return out.take();
}

std::string encodeHealthReport(const HealthReport &report) {
  Packer out;
  out.list(6)
      .number(FormatVersion)
      .number(static_cast<uint64_t>(Kind::HealthReport));
  out.number(report.Sender.Value).number(report.Backend.Value);
  out.number(static_cast<uint64_t>(std::max<int64_t>(report.StartedAtMs, 0)));
  out.number(static_cast<uint64_t>(report.Change));
  return out.take();
}

tl::expected<PeerMessage, Reason> decodeDatagram(std::span<const char> bytes) {
  return decode<PeerMessage>(bytes, [](Unpacker &in, uint64_t kind) {
    if (kind == static_cast<uint64_t>(Kind::Fragment))
      return PeerMessage(readFragment(in));
    if (kind == static_cast<uint64_t>(Kind::UnreachableReport))
      return PeerMessage(
          UnreachableReport{.Sender = readInstance(in),
                            .Backend = token::BackendId{in.number()}});
    if (kind == static_cast<uint64_t>(Kind::HealthReport))
      return PeerMessage(readHealthReport(in));
    in.require(kind == static_cast<uint64_t>(Kind::Push));
    return PeerMessage(readPush(in));
  });
}

} // namespace chicory::edge
