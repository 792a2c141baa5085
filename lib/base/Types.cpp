#include "chicorybank/base/Types.h"

#include <charconv>

namespace chicory {

std::optional<uint64_t> parseNumber(std::string_view text) {
  uint64_t value = 0;
  const char *end = text.data() + text.size();
  auto [it, ec] = std::from_chars(text.data(), end, value);
  if (text.empty() || ec != std::errc() || it != end)
    return std::nullopt;
  return value;
}

std::optional<uint32_t> parseIp(std::string_view text) {
  constexpr int Octets = 4;
  uint32_t ip = 0;
  for (int i = 0; i < Octets; ++i) {
    size_t dot = text.find('.');
    bool last = i == Octets - 1;
    if (last != (dot == std::string_view::npos))
      return std::nullopt;
    std::optional<uint64_t> octet = parseNumber(text.substr(0, dot));
    if (!octet || *octet > UINT8_MAX)
      return std::nullopt;
    ip = (ip << 8) | static_cast<uint32_t>(*octet);
    if (!last)
      text.remove_prefix(dot + 1);
  }
  return ip;
}

std::optional<Address> parseAddress(std::string_view text) {
  size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  std::optional<uint32_t> ip = parseIp(text.substr(0, colon));
  std::optional<uint64_t> port = parseNumber(text.substr(colon + 1));
  if (!ip || !port || *port > UINT16_MAX)
    return std::nullopt;
  return Address{.Ip = *ip, .Port = static_cast<uint16_t>(*port)};
}

std::string formatIp(uint32_t ip) {
  return std::to_string(ip >> 24) + '.' + std::to_string((ip >> 16) & 0xff) +
         '.' + std::to_string((ip >> 8) & 0xff) + '.' +
         std::to_string(ip & 0xff);
}

std::string formatAddress(Address address) {
  return formatIp(address.Ip) + ':' + std::to_string(address.Port);
}

std::string formatFlow(const FlowKey &key) {
  return formatAddress(key.Source) + '>' + formatAddress(key.Destination) +
         '/' + std::to_string(key.Protocol);
}

} // namespace chicory
