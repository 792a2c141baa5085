#include "Fabric.h"

#include <algorithm>
#include <sys/socket.h>

namespace standin {

bool Fabric::isInstance(chicory::Address address) {
  for (const auto &[id, at] : Instances)
    if (std::find(PastAddresses.begin(), PastAddresses.end(), at) ==
        PastAddresses.end())
      PastAddresses.push_back(at);
  return std::find(PastAddresses.begin(), PastAddresses.end(), address) !=
         PastAddresses.end();
}

bool Fabric::chance(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(Random) < probability;
}

void Fabric::sendNow(const QByteArray &datagram) {
  if (Instances.empty())
    return;
  auto it = std::next(Instances.begin(),
                      static_cast<ptrdiff_t>(Random() % Instances.size()));
  sockaddr_in raw = chicory::toSockaddr(it->second);
  ::sendto(Socket.get(), datagram.constData(),
           static_cast<size_t>(datagram.size()), 0,
           reinterpret_cast<sockaddr *>(&raw), sizeof(raw));
}

void Fabric::spray(const QByteArray &datagram, int64_t nowMs) {
  if (chance(Faults.Drop))
    return;
  if (chance(Faults.Duplicate))
    sendNow(datagram);
  if (!chance(Faults.Delay))
    return sendNow(datagram);
  int64_t delay = 1 + static_cast<int64_t>(
                          Random() % static_cast<uint64_t>(Faults.DelayMsMax));
  Delayed.emplace(nowMs + delay, datagram);
}

void Fabric::tick(int64_t nowMs) {
  while (!Delayed.empty() && Delayed.begin()->first <= nowMs) {
    sendNow(Delayed.begin()->second);
    Delayed.erase(Delayed.begin());
  }
}

} // namespace standin
