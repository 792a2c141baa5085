#include "chicorybank/edge/FragmentAssembler.h"

#include <algorithm>

namespace chicory::edge {

FragmentAssembler::Unfinished &
FragmentAssembler::unfinished(const Fragment &fragment) {
  auto it = Senders.find(fragment.Sender);
  if (it == Senders.end() && Senders.size() >= MaxSenders)
    Senders.erase(std::min_element(Senders.begin(), Senders.end(),
                                   [](const auto &a, const auto &b) {
                                     return a.second.Touched < b.second.Touched;
                                   }));
  Unfinished &out = Senders[fragment.Sender];
  bool fits =
      out.Message == fragment.Message && out.Pieces.size() == fragment.Count;
  if (!fits) {
    out = {.Message = fragment.Message};
    out.Pieces.resize(fragment.Count);
  }
  return out;
}

std::optional<std::string> FragmentAssembler::add(Fragment fragment) {
  if (fragment.Index >= fragment.Count)
    return std::nullopt;
  Unfinished &message = unfinished(fragment);
  message.Touched = ++Taken;
  message.Pieces[fragment.Index] = std::move(fragment.Bytes);
  bool whole = std::all_of(message.Pieces.begin(), message.Pieces.end(),
                           [](const auto &it) { return it.has_value(); });
  if (!whole)
    return std::nullopt;
  std::string out;
  for (const auto &it : message.Pieces)
    out += *it;
  Senders.erase(fragment.Sender);
  return out;
}

} // namespace chicory::edge
