// Sample inputs shared by many tests.

#ifndef CHICORYBANK_TESTS_SAMPLES_H
#define CHICORYBANK_TESTS_SAMPLES_H

#include "chicorybank/base/Hash.h"
#include "chicorybank/core/Rules.h"

namespace samples {

using namespace chicory;

inline constexpr uint32_t RecordsIp = 0x0a010001;      // 10.1.0.1
inline constexpr uint32_t CertificatesIp = 0x0a020001; // 10.2.0.1

/// Returns the nth flow to the address of a service.
inline FlowKey flow(uint32_t n, uint32_t ip = RecordsIp) {
  return {.Source = {.Ip = 0x0ac80000 + n / 60000,
                     .Port = static_cast<uint16_t>(n % 60000)},
          .Destination = {.Ip = ip, .Port = 443},
          .Protocol = 17};
}

inline TargetId target(uint32_t n) {
  return {.Ip = 0x7f000164, .Port = static_cast<uint16_t>(9000 + n)};
}

inline Service service(const std::string &name, uint32_t first,
                       uint32_t count) {
  Service out{.Name = name, .Id = shortServiceId(serviceIdOf(name))};
  for (uint32_t i = 0; i < count; ++i)
    out.Targets.push_back({.Id = target(first + i), .Zone = "gikondo"});
  return out;
}

/// Returns rules for two services: "records" with 15 targets and "certificates"
/// with 4.
inline RuleSet ruleSet(uint64_t version) {
  RuleSet out;
  out.Version = RuleVersion{version};
  out.SubmissionId = "sample";
  out.Services = {service("records", 0, 15), service("certificates", 50, 4)};
  out.Rules = {{.Name = "records",
                .Destinations = {{.Ip = RecordsIp, .Length = 32}},
                .Service = out.Services[0].Id},
               {.Name = "certificates",
                .Destinations = {{.Ip = CertificatesIp, .Length = 32}},
                .Service = out.Services[1].Id}};
  return out;
}

inline CompiledRulesPtr compiled(RuleSet rules) {
  return std::make_shared<const CompiledRules>(std::move(rules));
}

} // namespace samples

#endif
