// A simulated network fabric: sends each packet to a random instance, and
// duplicates, delays or drops some.

#ifndef CHICORYBANK_STANDINS_FABRIC_FABRIC_H
#define CHICORYBANK_STANDINS_FABRIC_FABRIC_H

#include "chicorybank/base/Socket.h"

#include <QByteArray>
#include <map>
#include <random>
#include <vector>

namespace standin {

/// Probability of each fault per packet, and the maximum delay.
struct FabricFaults {
  double Duplicate = 0.005;
  double Delay = 0.01;
  double Drop = 0;
  int DelayMsMax = 30;
};

/// Sprays packets over the instances.
class Fabric {
public:
  Fabric(chicory::FileDescriptor socket, uint64_t seed)
      : Socket(std::move(socket)), Random(seed) {}

  int fd() const { return Socket.get(); }
  FabricFaults Faults;

  void addInstance(uint32_t id, chicory::Address at) { Instances[id] = at; }
  void removeInstance(uint32_t id) { Instances.erase(id); }
  /// Returns true if the address belongs or belonged to an instance.
  bool isInstance(chicory::Address address);

  /// Sends a packet to a random instance, subject to the faults.
  void spray(const QByteArray &datagram, int64_t nowMs);
  /// Sends the delayed packets that are due.
  void tick(int64_t nowMs);

private:
  bool chance(double probability);
  void sendNow(const QByteArray &datagram);

  chicory::FileDescriptor Socket;
  std::mt19937_64 Random;
  std::map<uint32_t, chicory::Address> Instances;
  std::vector<chicory::Address> PastAddresses;
  std::multimap<int64_t, QByteArray> Delayed;
};

} // namespace standin

#endif
