// Whether a backend server can be reached from this instance.
//
// A server that crashes keeps its registration for seconds, and callers with
// flows at it would wait until their deadlines. The first symptom is a request
// without any sign of an answer. A slow server looks the same, and resetting
// its flows would break working connections; but a slow server still accepts
// connections. So a silent request leads to a probe, which opens a connection
// and closes it again, and only failed probes lead to resets.
//
// If this instance's own link is saturated, every probe fails, and flows of
// healthy servers would be reset. So each further probe is sent together with a
// probe to a comparison server, one that answered recently. The failure counts
// only if the comparison server answers, and within half of the timeout. A
// saturated link also drops some packets and passes others: if a server that
// failed a probe then shows a sign of life, this is a false alarm, and no
// server is declared unreachable for a while.

#ifndef CHICORYBANK_TOKEN_REACHABILITY_H
#define CHICORYBANK_TOKEN_REACHABILITY_H

#include "chicorybank/token/Types.h"

namespace chicory::token {

/// Timeouts and thresholds of probes.
struct ReachabilityOptions {
  /// Minimum timeout of a probe: about twenty round trips between zones. The
  /// timeout is longer if four handshakes, or four round trips to the server's
  /// zone, take longer.
  Duration Timeout = std::chrono::milliseconds(40);
  /// Consecutive failures that make a server unreachable. A saturated link may
  /// lose two packets out of three.
  uint32_t UnreachableAfter = 3;
  /// Factor on the timeout of the probes that follow a failed one.
  int RetryTimeoutFactor = 2;
  /// Maximum number of probes that a series repeats because the comparison
  /// server did not answer. If a quarter of all servers have failed, one series
  /// in 250 still ends without a result.
  uint32_t MaxInconclusive = 3;
  /// How long no server is declared unreachable after a server that failed a
  /// probe has shown a sign of life: about as long as a link stays saturated.
  Duration FalseAlarmHold = std::chrono::seconds(3);
  /// An answer this long after the start of a series may come from the
  /// address's new owner: the address of a server that has ended may belong to
  /// another server two seconds later, and a series starts within a second of
  /// the end.
  Duration AddressReusedAfter = std::chrono::seconds(1);
  /// How long after the last failure a server that was unreachable still counts
  /// as silent although its address answers probes, until one of its flows
  /// shows a sign of life. Registrations of servers that have ended expire
  /// within this time. It is shorter than the time after which flows must work
  /// undisturbed once a fault is over (requirement: four seconds).
  Duration DistrustFor = std::chrono::milliseconds(3500);
  /// Minimum time from the end of a series of probes to the next probe of the
  /// same server.
  Duration MinInterval = std::chrono::milliseconds(250);
  /// How long a server counts as unreachable after it was declared so. A server
  /// that was cut off returns without notice, so this must not outlast the cut
  /// by much.
  Duration UnreachableFor = std::chrono::milliseconds(600);
  /// A request without a sign of an answer leads to a probe after this time at
  /// least, and after this multiple of the usual response time. A probe is
  /// cheap, so it may be sent early.
  Duration RequestTimeoutMin = std::chrono::milliseconds(50);
  int RequestTimeoutFactor = 3;
};

/// The results of probing one backend server.
struct Reachability {
  bool Probing = false;
  /// Consecutive probes that failed.
  uint32_t Failures = 0;
  /// Probes of the current series that gave no result.
  uint32_t Inconclusive = 0;
  /// The first time, since the last probe was sent, that a probe of another
  /// server was answered.
  Time LinkWorkedAt;
  /// The server that was probed for comparison together with the last probe.
  BackendId ComparisonServer;
  /// When the first and the last probe of the series were sent.
  Time SeriesStartedAt;
  Time SentAt;
  Duration Timeout = Duration::zero();
  /// When a probe last failed and was last answered.
  Time FailedAt;
  Time AnsweredAt;
  /// The server counts as unreachable until this time.
  Time UnreachableUntil;
  /// The server was found unreachable, and none of its flows has shown a sign
  /// of life since.
  bool FoundUnreachable = false;
};

} // namespace chicory::token

#endif
