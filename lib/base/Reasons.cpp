#include "chicorybank/base/Reasons.h"

#include <array>

namespace chicory {

namespace {

constexpr std::array<std::string_view, ReasonCount> Names = {
#define CHICORY_REASON_NAME(NAME, TEXT) TEXT,
    CHICORY_REASONS(CHICORY_REASON_NAME)
#undef CHICORY_REASON_NAME
};

} // namespace

std::string_view reasonName(Reason reason) {
  auto i = static_cast<size_t>(reason);
  return i < Names.size() ? Names[i] : "invalid";
}

} // namespace chicory
