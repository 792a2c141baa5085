// Outlier detection: finds the servers that fail more of their requests, or
// answer more slowly, than the other servers of their service.
//
//   OutlierDetector outliers({});
//   if (outliers.use(i, id, now) == ServerUse::Normal)
//     ...                              // The server may get a flow.
//   HealthChange change = outliers.record(i, id, service, good, now);
//   if (change == HealthChange::Ejected)
//     ...                              // Tell the instances that share it.
//
// The design and the alternatives are in docs/design/outlier-ejection.md. A
// route whose errors are as long as its whole responses shows no failures here.

#ifndef CHICORYBANK_TOKEN_OUTLIERDETECTOR_H
#define CHICORYBANK_TOKEN_OUTLIERDETECTOR_H

#include "chicorybank/token/Backends.h"

#include <array>
#include <unordered_map>
#include <vector>

namespace chicory::token {

/// What a server may get.
enum class ServerUse : uint8_t {
  Normal,
  Trial, ///< One flow at a time, with requests that may be repeated.
  None,
};

/// Thresholds of the outlier detection. Scores are sums of logarithms of
/// likelihood ratios, shares are parts of 1.
struct OutlierOptions {
  /// The relative time that counts for a request without a response at its
  /// objective.
  double OverdueSlowness = 8;
  /// Bounds of a relative time, so that a single response can't decide.
  double SlownessMin = 0.2;
  double SlownessMax = 12;
  /// Weight of a new relative time in the average of their logarithms. The
  /// first ones weigh more: 1/2, 1/3 and so on.
  double SlownessWeight = 0.125;

  /// The failure share of a healthy server is taken as this many times the
  /// median of its service, within the two bounds.
  double HealthyFactor = 1.5;
  double HealthyMin = 0.02;
  double HealthyMax = 0.6;
  /// The failure share of an outlier is at least this, and at least
  /// `OutlierGap` above that of a healthy server.
  double OutlierMin = 0.4;
  double OutlierGap = 0.3;
  /// The score at which a server is ejected: two failures in a row, or with one
  /// whole response between them, if the other servers are healthy.
  double EjectionScore = 5.5;
  /// The score from which a server is doubtful: one failure.
  double DoubtScore = 2.0;
  /// A score is discarded this long after the last failure or report.
  /// Otherwise a server that gets only requests that must not be repeated
  /// would stay doubtful for ever, since it gets no flow that could show it to
  /// be healthy.
  Duration ScoreLifetime = std::chrono::seconds(10);

  /// Half-life of the responses in a failure share.
  Duration ShareHalfLife = std::chrono::seconds(2);
  /// Responses without a failure that are added to the ones of a server before
  /// its share is used for a choice, so that one failure is not a share of 1.
  double PriorResponses = 2;
  /// A server with less evidence than this many responses has no share in the
  /// median until its next response: 9 s after a single one, so that servers
  /// with a request in 6 s are still compared.
  double MedianMinResponses = 0.05;
  /// The median of a service is computed at most this often, over at most this
  /// many servers, since a service may have 10,000.
  Duration MedianInterval = std::chrono::milliseconds(100);
  size_t MedianServers = 256;

  /// Duration of the first ejection. It doubles with each further one, up to
  /// `EjectionMax`, and starts afresh `EjectionReset` after the last ejection
  /// began.
  Duration EjectionMin = std::chrono::seconds(1);
  Duration EjectionMax = std::chrono::seconds(8);
  Duration EjectionReset = std::chrono::seconds(15);
  /// Time between two flows on trial.
  Duration TrialInterval = std::chrono::milliseconds(250);
  /// Whole responses in a row that end a trial.
  uint8_t TrialResponses = 3;
  /// A server that got no flow on trial for this long is used as before, and
  /// its next response decides. A service may have no requests that may be
  /// repeated.
  Duration TrialTimeout = std::chrono::seconds(10);

  /// The score after a report of an ejection, at least: with one failure more,
  /// the server is ejected.
  double ReportScore = 3.0;
  /// Reports of two senders within this time put a server on trial.
  Duration ReportWindow = std::chrono::seconds(8);
  /// A report that a sender repeats within this time is a duplicate.
  Duration DuplicateWindow = std::chrono::seconds(1);
  /// Reports postpone a trial until this long after the server was ejected
  /// here, at most, so that a false sender can't exclude a server for ever.
  Duration PostponementMax = std::chrono::seconds(16);
};

/// Judges servers by their responses. Not thread-safe. Keeps 4 bytes for each
/// index up to the highest one used, `BytesPerServer` for each server with
/// evidence, and 4 bytes for each of these in the list of its service. Every
/// function takes the id of the server at the index; what was recorded for
/// another id at the same index is ignored, and discarded by the next record.
class OutlierDetector {
public:
  static constexpr size_t BytesPerServer = 112;

  explicit OutlierDetector(OutlierOptions options) : Options(options) {}

  /// Records a response that was whole (good), or short or overdue (not good).
  /// Returns whether this ejected or restored the server.
  HealthChange record(BackendIndex i, BackendId id, ServiceId service,
                      bool good, Time now);
  /// Records the time of a whole response relative to its route; 1 is typical.
  void recordTime(BackendIndex i, BackendId id, double relative);
  /// Returns the usual relative time of the server: 1 is typical, and 1 if
  /// unknown.
  double slowness(BackendIndex i, BackendId id) const;
  /// Returns the share of recent failures, between 0 and 1; 0 if unknown.
  double failureShare(BackendIndex i, BackendId id, Time now) const;
  ServerUse use(BackendIndex i, BackendId id, Time now) const;
  /// Returns true while a recent failure counts against the server. Requests
  /// that must not be repeated avoid such a server although it is not ejected.
  bool isDoubtful(BackendIndex i, BackendId id, Time now) const;
  /// Records that a flow was opened at the server.
  void onTrial(BackendIndex i, BackendId id, Time now);
  /// Counts a failure because a request has waited for several times the usual
  /// time and the server has answered nothing since it was sent.
  HealthChange recordStall(BackendIndex i, BackendId id, ServiceId service,
                           Time now);
  /// Takes back a stall because its whole response has arrived within the
  /// objective. If the server was ejected and is below the score for that
  /// without the stall, the next whole response restores it.
  void withdrawStall(BackendIndex i, BackendId id, Time now);
  /// Applies the evidence of another instance that shares the server. Returns
  /// `Ejected` if two senders have put it on trial; this must not be reported
  /// to others, or reports would cause reports.
  HealthChange applyReport(BackendIndex i, BackendId id, InstanceId sender,
                           HealthChange report, Time now);
  /// Discards everything about the server at the index: it has restarted.
  void forget(BackendIndex i);
  /// Returns the number of servers of the service that are ejected or on trial.
  size_t ejected(ServiceId service, Time now) const;

private:
  struct Record {
    BackendId Id;
    /// When `Good` and `Bad` were last decayed.
    Time DecayedAt;
    /// When the last failure or report of an ejection was counted.
    Time BlamedAt;
    Time StalledAt;
    Time EjectedAt;
    /// When the trial may begin, or the last flow on trial was opened.
    Time TrialFrom;
    Time TriedAt;
    Time ReportedAt;
    ServiceId Service;
    BackendIndex Index = NoBackend;
    /// The sender of the last report, and the one whose report of a restore
    /// last started a trial. Each sender may do this once in a row.
    InstanceId ReportedBy;
    InstanceId RestoredBy;
    float LogSlowness = 0;
    float Score = 0;
    float Good = 0;
    float Bad = 0;
    /// What the last stall added to the score.
    float StallGain = 0;
    uint8_t Times = 0;
    uint8_t TrialGood = 0;
    uint8_t OpenStalls = 0;
    uint8_t TimeSamples = 0;
    HealthChange Report = HealthChange::None;
    bool Ejected = false;
    /// A stall on trial has ejected the server.
    bool StalledOnTrial = false;
    /// The server is in the list of its service.
    bool Listed = false;
  };
  static_assert(sizeof(Record) <= BytesPerServer);

  /// What is known about a service.
  struct ServiceRecord {
    /// Servers with recent evidence; positions in `Records`.
    std::vector<uint32_t> Members;
    size_t Next = 0;
    Time MedianAt;
    double Median = 0;
    /// The servers of the last outcomes, and which of them were failures.
    std::array<uint32_t, 8> Recent{};
    std::array<bool, 8> RecentBad{};
    uint32_t Outcomes = 0;
  };

  const Record *find(BackendIndex i, BackendId id) const;
  Record &findOrAdd(BackendIndex i, BackendId id);
  void reset(Record &record);
  void decay(Record &record, Time now) const;
  float scoreOf(const Record &record, Time now) const;
  bool isTrialAbandoned(const Record &record, Time now) const;
  HealthChange count(Record &record, ServiceId service, bool good, bool stall,
                     Time now);
  HealthChange countOnTrial(Record &record, bool good, bool stall, Time now);
  double medianOf(ServiceRecord &service, Time now);
  bool hasCommonCause(const Record &record, ServiceRecord &service, Time now);
  Duration ejectionTime(uint32_t times) const;
  void eject(Record &record, Time now);

  OutlierOptions Options;
  /// Positions in `Records`, plus 1, by `BackendIndex`; 0 if there is none.
  std::vector<uint32_t> Positions;
  std::vector<Record> Records;
  std::unordered_map<uint64_t, ServiceRecord> Services;
};

} // namespace chicory::token

#endif
