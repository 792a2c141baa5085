#ifndef CHICORYBANK_TOKEN_PRIORITYADMISSION_H
#define CHICORYBANK_TOKEN_PRIORITYADMISSION_H
// STUB
#include "chicorybank/token/Types.h"
#include <vector>
namespace chicory::token {
struct AdmissionOptions {};
class PriorityAdmission {
public:
  explicit PriorityAdmission(AdmissionOptions) {}
  void setPriorities(ServiceId, std::vector<uint32_t>) {}
  void recordOutcome(ServiceId, bool, Time) {}
  bool admit(ServiceId, uint32_t, uint32_t, bool, Time) { return true; }
  double admittedShare(ServiceId, uint32_t) const { return 1; }
};
}
#endif
