#include "chicorybank/edge/Directory.h"

#include "MessagePack.h"

#include "chicorybank/edge/Compression.h"

#include <algorithm>
#include <limits>

namespace chicory::edge {

namespace {

constexpr uint64_t FormatVersion = 4;
// Limits the memory that a damaged item can take. An item of the registry holds
// at most a megabyte, and intact data is not compressed to less than a tenth.
constexpr size_t MaxBytes = 16 << 20;

using token::Registration;

/// The distinct values of a member, in the order in which they are added;
/// entries refer to them by index.
template <typename Value> class Dictionary {
public:
  size_t indexOf(const Value &value) {
    auto it = std::find(Values.begin(), Values.end(), value);
    if (it == Values.end())
      it = Values.insert(Values.end(), value);
    return static_cast<size_t>(it - Values.begin());
  }
  const std::vector<Value> &values() const { return Values; }

private:
  std::vector<Value> Values;
};

/// Encodes a number as its difference from the previous one, with the sign in
/// the lowest bit, so that small steps in either direction are short.
uint64_t encodeStep(uint64_t before, uint64_t value) {
  auto change = static_cast<int64_t>(value - before);
  return (static_cast<uint64_t>(change) << 1) ^
         static_cast<uint64_t>(change >> 63);
}

/// The inverse of `encodeStep`.
uint64_t decodeStep(uint64_t before, uint64_t step) {
  return before + ((step >> 1) ^ (~(step & 1) + 1));
}

/// Writes one member of all servers together, each value as its difference from
/// the previous one, so that similar values take little space.
template <typename Get>
void packColumn(Packer &out, const std::vector<Registration> &servers,
                Get get) {
  out.list(servers.size());
  uint64_t before = 0;
  for (const Registration &it : servers) {
    uint64_t value = get(it);
    out.number(encodeStep(before, value));
    before = value;
  }
}

/// Reads a column into a member of all servers.
template <typename Set>
void readColumn(Unpacker &in, std::vector<Registration> &servers, Set set) {
  Unpacker column = in.nested();
  uint64_t value = 0;
  for (Registration &it : servers) {
    value = decodeStep(value, column.number());
    set(it, value);
  }
  in.require(column.done());
}

/// Converts a number that has to fit its type.
template <typename Number> Number narrow(Unpacker &in, uint64_t n) {
  in.require(n <= static_cast<uint64_t>(std::numeric_limits<Number>::max()));
  return static_cast<Number>(n);
}

/// Returns the dictionary's value at an index.
template <typename Value>
Value valueAt(Unpacker &in, const std::vector<Value> &values, uint64_t index) {
  in.require(index < values.size());
  return index < values.size() ? values[index] : Value{};
}

Directory readDirectory(Unpacker &in) {
  Directory directory{.Instances = in.number()};
  Unpacker zoneList = in.nested();
  std::vector<std::string> zones;
  while (zoneList.more())
    zones.push_back(zoneList.text());
  Unpacker serviceList = in.nested();
  std::vector<ServiceId> services;
  while (serviceList.more())
    services.push_back(ServiceId{serviceList.number()});
  in.require(zoneList.done() && serviceList.done());

  // The first column determines the number of servers: memory is allocated for
  // what it holds, not for what it claims.
  std::vector<Registration> &out = directory.Servers;
  Unpacker ids = in.nested();
  uint64_t id = 0;
  while (ids.more()) {
    id = decodeStep(id, ids.number());
    out.push_back({.Id = token::BackendId{id}});
    in.require(id != 0);
  }
  in.require(ids.done());
  readColumn(in, out, [&](Registration &it, uint64_t n) {
    it.Where.Ip = narrow<uint32_t>(in, n);
  });
  readColumn(in, out, [&](Registration &it, uint64_t n) {
    it.Where.Port = narrow<uint16_t>(in, n);
  });
  readColumn(in, out, [&](Registration &it, uint64_t n) {
    it.Zone = valueAt(in, zones, n);
  });
  readColumn(in, out, [&](Registration &it, uint64_t n) {
    it.Service = valueAt(in, services, n);
  });
  readColumn(in, out, [&](Registration &it, uint64_t n) {
    it.Draining = narrow<uint8_t>(in, n) != 0;
  });
  readColumn(in, out, [&](Registration &it, uint64_t n) {
    it.Slots = narrow<uint32_t>(in, n);
  });
  readColumn(in, out,
             [](Registration &it, uint64_t n) { it.Order.Generation = n; });
  readColumn(in, out,
             [](Registration &it, uint64_t n) { it.Order.Revision = n; });
  readColumn(in, out, [&](Registration &it, uint64_t n) {
    it.StartedAtMs = narrow<int64_t>(in, n);
  });
  return directory;
}

} // namespace

std::string encodeDirectory(const Directory &directory) {
  const std::vector<Registration> &servers = directory.Servers;
  Dictionary<std::string> zones;
  Dictionary<ServiceId> services;
  // The dictionaries precede the columns, so they are filled first.
  for (const Registration &it : servers) {
    zones.indexOf(it.Zone);
    services.indexOf(it.Service);
  }
  Packer out;
  out.list(14).number(FormatVersion).number(directory.Instances);
  out.list(zones.values().size());
  for (const std::string &it : zones.values())
    out.text(it);
  out.list(services.values().size());
  for (ServiceId it : services.values())
    out.number(it.Value);
  auto column = [&](auto get) { packColumn(out, servers, get); };
  column([](const Registration &it) { return it.Id.Value; });
  column([](const Registration &it) { return uint64_t{it.Where.Ip}; });
  column([](const Registration &it) { return uint64_t{it.Where.Port}; });
  column([&](const Registration &it) { return zones.indexOf(it.Zone); });
  column([&](const Registration &it) { return services.indexOf(it.Service); });
  column([](const Registration &it) { return it.Draining ? 1U : 0U; });
  column([](const Registration &it) { return uint64_t{it.Slots}; });
  column([](const Registration &it) { return it.Order.Generation; });
  column([](const Registration &it) { return it.Order.Revision; });
  column([](const Registration &it) {
    return static_cast<uint64_t>(std::max<int64_t>(it.StartedAtMs, 0));
  });
  return compress(out.take());
}

tl::expected<Directory, Reason> decodeDirectory(std::span<const char> bytes) {
  return decompress(bytes, MaxBytes).and_then([](const std::string &it) {
    return decodeArray<Directory>(it, FormatVersion, readDirectory);
  });
}

} // namespace chicory::edge
