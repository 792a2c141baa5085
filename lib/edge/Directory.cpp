#include "chicorybank/edge/Directory.h"

#include "MessagePack.h"

#include "chicorybank/edge/Compression.h"

#include <algorithm>
#include <limits>

namespace chicory::edge {

namespace {

constexpr uint64_t FormatVersion = 3;
// An item of the registry holds a megabyte, and a column of numbers shrinks to
// a tenth at most unless somebody means harm.
constexpr size_t MostBytes = 16 << 20;

using token::Registration;

/// The distinct values of a member, in the order in which they come; entries
/// name them by their place.
template <typename Value> class Dictionary {
public:
  size_t placeOf(const Value &value) {
    auto it = std::find(Values.begin(), Values.end(), value);
    if (it == Values.end())
      it = Values.insert(Values.end(), value);
    return static_cast<size_t>(it - Values.begin());
  }
  const std::vector<Value> &values() const { return Values; }

private:
  std::vector<Value> Values;
};

/// A number as its difference from the one before. The sign goes into the
/// lowest bit, so that small steps either way are short.
uint64_t stepFrom(uint64_t before, uint64_t value) {
  auto change = static_cast<int64_t>(value - before);
  return (static_cast<uint64_t>(change) << 1) ^
         static_cast<uint64_t>(change >> 63);
}

/// The inverse.
uint64_t stepOn(uint64_t before, uint64_t step) {
  return before + ((step >> 1) ^ (~(step & 1) + 1));
}

/// The same members of all servers stand together, each as its difference from
/// the one before: that leaves little to write of what is alike.
template <typename Get>
void packColumn(Packer &out, const std::vector<Registration> &servers,
                Get get) {
  out.list(servers.size());
  uint64_t before = 0;
  for (const Registration &it : servers) {
    uint64_t value = get(it);
    out.number(stepFrom(before, value));
    before = value;
  }
}

/// Reads a column into a member of all servers.
template <typename Set>
void readColumn(Unpacker &in, std::vector<Registration> &servers, Set set) {
  Unpacker column = in.nested();
  uint64_t value = 0;
  for (Registration &it : servers) {
    value = stepOn(value, column.number());
    set(it, value);
  }
  in.require(column.done());
}

/// A number that has to fit its type.
template <typename Number> Number narrow(Unpacker &in, uint64_t n) {
  in.require(n <= static_cast<uint64_t>(std::numeric_limits<Number>::max()));
  return static_cast<Number>(n);
}

/// What a place in a dictionary names.
template <typename Value>
Value named(Unpacker &in, const std::vector<Value> &values, uint64_t place) {
  in.require(place < values.size());
  return place < values.size() ? values[place] : Value{};
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
    services.push_back(ServiceId{narrow<uint32_t>(in, serviceList.number())});
  in.require(zoneList.done() && serviceList.done());

  // Room is made for what the first column holds, not for what it claims.
  std::vector<Registration> &out = directory.Servers;
  Unpacker ids = in.nested();
  uint64_t id = 0;
  while (ids.more()) {
    id = stepOn(id, ids.number());
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
    it.Zone = named(in, zones, n);
  });
  readColumn(in, out, [&](Registration &it, uint64_t n) {
    it.Service = named(in, services, n);
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
  // The dictionaries stand in front, so they are filled first.
  for (const Registration &it : servers) {
    zones.placeOf(it.Zone);
    services.placeOf(it.Service);
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
  column([&](const Registration &it) { return zones.placeOf(it.Zone); });
  column([&](const Registration &it) { return services.placeOf(it.Service); });
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
  return decompress(bytes, MostBytes).and_then([](const std::string &it) {
    return decodeArray<Directory>(it, FormatVersion, readDirectory);
  });
}

} // namespace chicory::edge
