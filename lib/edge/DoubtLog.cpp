#include "chicorybank/edge/DoubtLog.h"

namespace chicory::edge {

bool DoubtLog::isNew(token::BackendId id, Time now) {
  std::erase_if(Told, [&](const auto &it) { return now - it.second >= Quiet; });
  if (Told.size() >= Most)
    return false;
  return Told.try_emplace(id, now).second;
}

} // namespace chicory::edge
