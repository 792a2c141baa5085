#include "chicorybank/edge/FragmentAssembler.h"

#include <algorithm>

namespace chicory::edge {

FragmentAssembler::PartialMessage &
FragmentAssembler::partialMessage(const Fragment &fragment) {
  auto it = Senders.find(fragment.Sender);
  if (it == Senders.end() && Senders.size() >= MaxSenders)
    Senders.erase(std::min_element(
        Senders.begin(), Senders.end(), [](const auto &a, const auto &b) {
          return a.second.LastAddition < b.second.LastAddition;
        }));
  PartialMessage &out = Senders[fragment.Sender];
  bool fits =
      out.Message == fragment.Message && out.Fragments.size() == fragment.Count;
  if (!fits) {
    out = {.Message = fragment.Message};
    out.Fragments.resize(fragment.Count);
  }
  return out;
}

std::optional<std::string> FragmentAssembler::add(Fragment fragment) {
  if (fragment.Index >= fragment.Count)
    return std::nullopt;
  PartialMessage &message = partialMessage(fragment);
  message.LastAddition = ++FragmentsAdded;
  message.Fragments[fragment.Index] = std::move(fragment.Bytes);
  bool whole = std::all_of(message.Fragments.begin(), message.Fragments.end(),
                           [](const auto &it) { return it.has_value(); });
  if (!whole)
    return std::nullopt;
  std::string out;
  for (const auto &it : message.Fragments)
    out += *it;
  Senders.erase(fragment.Sender);
  return out;
}

} // namespace chicory::edge
