// The fabric of the stand-in: any packet may go to any instance, some twice,
// some late, some not at all.

#ifndef CHICORYBANK_STANDINS_FABRIC_FABRIC_H
#define CHICORYBANK_STANDINS_FABRIC_FABRIC_H

#include "chicorybank/base/Socket.h"

#include <QByteArray>
#include <map>
#include <random>
#include <vector>

namespace standin {

/// The chances of a fault, for each packet.
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
  /// True for an address that has ever been an instance's.
  bool isInstance(chicory::Address address);

  /// Sends a packet to some instance, with faults.
  void spray(const QByteArray &datagram, int64_t nowMs);
  /// Sends what was held back.
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
