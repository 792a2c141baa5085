// Values, from any writer, of the keys that an instance reads. The first byte
// selects the key.

#include "Fuzz.h"

#include "platform/StoreDialect.h"

#include <array>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
  using namespace chicory;
  if (size == 0)
    return 0;
  constexpr std::array Keys = {"op/config", "servers/i-7f",
                               "chicorybank/instances/10.0.0.1",
                               "chicorybank/routes/3"};
  const platform::StoreDialect dialect;
  edge::Item item{.Key = Keys[data[0] % Keys.size()],
                  .Value = textOf(data + 1, size - 1),
                  .At = {.Revision = 5},
                  .Created = 4};
  Findings findings;
  edge::ItemContent news = dialect.translate(item, findings);
  if (const auto *server = std::get_if<token::Registration>(&news)) {
    require(findings.empty());
    require(server->Slots > 0 && server->StartedAtMs >= 0);
  }
  if (const auto *record = std::get_if<edge::RouteHistoryPart>(&news)) {
    (void)dialect.writeRouteHistory({*record});
    require(record->Part < edge::MaxRouteHistoryParts);
  }
  return 0;
}
