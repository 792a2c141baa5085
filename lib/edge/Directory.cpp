#include "chicorybank/edge/Directory.h"

#include "MessagePack.h"

#include <algorithm>
#include <limits>

namespace chicory::edge {

namespace {

constexpr uint64_t FormatVersion = 2;

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

struct Dictionaries {
  Dictionary<std::string> Zones;
  Dictionary<ServiceId> Services;
};

void pack(Packer &out, const Registration &server, Dictionaries &names) {
  out.list(10).number(server.Id.Value);
  out.number(server.Where.Ip).number(server.Where.Port);
  out.number(names.Zones.placeOf(server.Zone));
  out.number(names.Services.placeOf(server.Service));
  out.flag(server.Draining).number(server.Slots);
  out.number(server.Order.Generation).number(server.Order.Revision);
  out.number(static_cast<uint64_t>(std::max<int64_t>(server.Born, 0)));
}

template <typename Number> Number readNumber(Unpacker &in) {
  uint64_t n = in.number();
  in.require(n <= static_cast<uint64_t>(std::numeric_limits<Number>::max()));
  return static_cast<Number>(n);
}

/// What an entry's place in a dictionary names.
template <typename Value>
Value readNamed(Unpacker &in, const std::vector<Value> &values) {
  uint64_t place = in.number();
  in.require(place < values.size());
  return place < values.size() ? values[place] : Value{};
}

Registration readServer(Unpacker &in, const std::vector<std::string> &zones,
                        const std::vector<ServiceId> &services) {
  Registration out{.Id = token::BackendId{in.number()}};
  out.Where.Ip = readNumber<uint32_t>(in);
  out.Where.Port = readNumber<uint16_t>(in);
  out.Zone = readNamed(in, zones);
  out.Service = readNamed(in, services);
  out.Draining = in.flag();
  out.Slots = readNumber<uint32_t>(in);
  out.Order.Generation = in.number();
  out.Order.Revision = in.number();
  out.Born = readNumber<int64_t>(in);
  in.require(out.Id.Value != 0);
  return out;
}

std::vector<Registration> readDirectory(Unpacker &in) {
  Unpacker zoneList = in.nested();
  std::vector<std::string> zones;
  while (zoneList.more())
    zones.push_back(zoneList.text());
  Unpacker serviceList = in.nested();
  std::vector<ServiceId> services;
  while (serviceList.more())
    services.push_back(ServiceId{readNumber<uint32_t>(serviceList)});
  Unpacker serverList = in.nested();
  std::vector<Registration> out;
  while (serverList.more()) {
    Unpacker server = serverList.nested();
    out.push_back(readServer(server, zones, services));
    in.require(server.done());
  }
  in.require(zoneList.done() && serviceList.done() && serverList.done());
  return out;
}

} // namespace

std::string encodeDirectory(const std::vector<Registration> &servers) {
  Dictionaries names;
  // The dictionaries stand in front, so they are filled first.
  for (const Registration &it : servers) {
    names.Zones.placeOf(it.Zone);
    names.Services.placeOf(it.Service);
  }
  Packer out;
  out.list(4).number(FormatVersion);
  out.list(names.Zones.values().size());
  for (const std::string &it : names.Zones.values())
    out.text(it);
  out.list(names.Services.values().size());
  for (ServiceId it : names.Services.values())
    out.number(it.Value);
  out.list(servers.size());
  for (const Registration &it : servers)
    pack(out, it, names);
  return out.take();
}

tl::expected<std::vector<Registration>, Reason>
decodeDirectory(std::span<const char> bytes) {
  return decodeArray<std::vector<Registration>>(bytes, FormatVersion,
                                                readDirectory);
}

} // namespace chicory::edge
