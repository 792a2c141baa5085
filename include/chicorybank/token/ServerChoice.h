#ifndef CHICORYBANK_TOKEN_SERVERCHOICE_H
#define CHICORYBANK_TOKEN_SERVERCHOICE_H
// STUB
#include "chicorybank/token/Backends.h"
#include <algorithm>
#include <cmath>
namespace chicory::token {
struct Candidate { BackendIndex Server = NoBackend; double Weight = 1, Load = 0, Recent = 0, Slowness = 1, FailureShare = 0, Penalty = 0; };
inline double expectedCost(const Candidate &it) { return (it.Load + it.Recent + 1) * it.Slowness / it.Weight / std::max(0.2, 1 - it.FailureShare) + it.Penalty; }
class RecentOpenings {
  struct E { BackendId Id; double N = 0; Time At; }; std::vector<E> V;
public:
  double at(BackendIndex i, BackendId id, Time now) const { if (i >= V.size() || V[i].Id != id) return 0; return V[i].N * std::exp(-std::chrono::duration<double>(now - V[i].At).count()); }
  void add(BackendIndex i, BackendId id, Time now) { double n = at(i, id, now) + 1; if (V.size() <= i) V.resize(i + 1); V[i] = {id, n, now}; }
};
}
#endif
