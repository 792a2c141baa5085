// Admission control: refuses new flows by priority while a service has too
// little capacity.
//
// Under a shortage most servers of a service reject requests or answer late, so
// no server is an outlier and no choice of a server helps. Without admission
// control all priorities lose the same share. Here the lowest priority is
// refused first, then the next; the highest is never refused, and each keeps a
// minimum share (floor). Every instance decides by the outcomes that it has
// seen itself; there are no messages (docs/design/priority-admission.md).
//
//   PriorityAdmission admission(AdmissionOptions{});
//   admission.setPriorities(service, {1, 2});
//   admission.recordOutcome(service, /*good=*/false, now);
//   if (!admission.admit(service, 2, callerIp, /*roomKnown=*/false, now))
//     reset(flow, Reason::ServiceOverloaded);
//
// Memory is fixed: about 300 bytes for a service, and 4 KB (256 callers of 16
// bytes) for each of its priorities but the highest. The 4 KB are allocated by
// the first flow of the priority.

#ifndef CHICORYBANK_TOKEN_PRIORITYADMISSION_H
#define CHICORYBANK_TOKEN_PRIORITYADMISSION_H

#include "chicorybank/token/Types.h"

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace chicory::token {

/// Thresholds of `PriorityAdmission`.
struct AdmissionOptions {
  /// Share of failed outcomes above which the admitted shares fall. With the
  /// two retries of a caller, 5% of failures lose one request in 8,000.
  double FailureLimit = 0.05;
  /// Share of failed outcomes below which the admitted shares grow again.
  /// Retries then add 1% of load, far less than one growth step adds.
  double RecoveredLimit = 0.01;
  /// Outcomes of this time are evidence. Callers' objectives are 400 and 500
  /// ms, and a late request counts as failed only when its objective passes.
  Duration Window = std::chrono::milliseconds(500);
  /// The window is extended up to this time until it holds `MinOutcomes`. Older
  /// outcomes belong to requests that are past the shortest deadline, 2 s.
  /// Without a decision for this long, the shares grow as if nothing failed.
  Duration MaxWindow = std::chrono::seconds(2);
  /// Minimum number of outcomes for a decision. With 20, a single failure is
  /// not above `FailureLimit`, and a caller's retry can answer it.
  uint32_t MinOutcomes = 20;
  /// Time between two changes of the shares; longer in proportion while the
  /// window is extended. After 200 ms callers repeat an unanswered opening, so
  /// from then on openings depend on the previous change.
  Duration StepInterval = std::chrono::milliseconds(200);
  /// Floor of the admitted share of every priority. With an opening and two
  /// retries, 58% of the callers are admitted at least once (1 - 0.75^3).
  double MinShare = 0.25;
  /// Growth of an admitted share in one step. From the floor to all flows it
  /// takes 8 steps of 200 ms, less than the shortest deadline, 2 s.
  double GrowthStep = 0.1;
  /// A caller with more flows than this many times the mean of its priority is
  /// refused first. A caller that retries each request once opens twice its
  /// usual number of flows, which is no pressure.
  double PressingFactor = 2;
  /// Minimum number of flows within the last second of a caller that is refused
  /// first. An opening and two retries make three flows, which is no pressure.
  double PressingMinFlows = 3;
};

/// Decides which new flows a service with too little capacity still gets.
class PriorityAdmission {
public:
  explicit PriorityAdmission(AdmissionOptions options);

  /// Sets the priorities of a service; 0 is the highest, duplicates are
  /// allowed. Priorities that remain keep their admitted share. An empty list
  /// removes the service.
  void setPriorities(ServiceId service, std::vector<uint32_t> priorities);
  /// Records an outcome at a server that is not ejected: a whole response
  /// (good), or a short one or an overdue request (not good).
  void recordOutcome(ServiceId service, bool good, Time now);
  /// Returns whether a new flow of this priority and this caller may be opened.
  /// Unknown services and priorities are not limited. `roomKnown` states that a
  /// usable server is known to have free capacity; then nothing is refused.
  bool admit(ServiceId service, uint32_t priority, uint32_t callerIp,
             bool roomKnown, Time now);
  /// Returns the share of the new flows that are admitted, from
  /// `AdmissionOptions::MinShare` to 1.
  double admittedShare(ServiceId service, uint32_t priority) const;

private:
  /// The callers with the most recent flows of one priority, with flow counts
  /// that decay with a time constant of one second. A flood of addresses
  /// replaces only callers with few flows; a call looks at one set.
  class CallerTable {
  public:
    void add(uint32_t ip, Time now);
    /// Returns the caller's recent flows; 0 if it is unknown.
    double flows(uint32_t ip, Time now) const;
    /// Returns the mean of the callers with a flow in about the last second.
    double mean(Time now);

  private:
    struct Caller {
      uint32_t Ip = 0;
      float Flows = 0;
      Time At;

      double flowsAt(Time now) const;
    };
    static constexpr size_t Ways = 4;
    static constexpr size_t Sets = 64;
    static size_t firstOfSet(uint32_t ip);

    std::vector<Caller> Callers;
    double Mean = 0;
    Time MeanAt = Time::min();
  };

  struct Priority {
    uint32_t Value = 0;
    double Share = 1;
    /// Flows to refuse so that the admitted share is met. Negative while more
    /// flows of pressing callers were refused than the share requires so far.
    double RefusalsDue = 0;
    CallerTable Callers;
  };

  struct Outcomes {
    uint32_t Total = 0;
    uint32_t Failed = 0;
  };

  static constexpr size_t Buckets = 20;

  struct Service {
    /// Highest priority first.
    std::vector<Priority> Priorities;
    /// Outcomes by time; each bucket covers `MaxWindow / Buckets`.
    std::array<Outcomes, Buckets> Recent{};
    int64_t Bucket = 0;
    /// Time of the last change of the shares, or of the last decision to leave
    /// them.
    Time SteppedAt;
    /// When there were last enough outcomes for a decision.
    Time DecidableAt;

    Priority *find(uint32_t priority);
  };

  void advance(Service &service, Time now) const;
  void step(Service &service, Time now) const;
  void growWhileUndecided(Service &service, Time now) const;
  void shrink(Service &service, double failureShare) const;
  static void grow(Service &service, double amount);

  AdmissionOptions Options;
  std::unordered_map<uint64_t, Service> Services;
};

} // namespace chicory::token

#endif
