// Whether a backend server can be reached from this instance.
//
// What goes wrong: a server that dies without a word keeps its registration for
// seconds, and callers whose flows it held wait until their deadlines. One
// notices requests without any sign of an answer. A slow server looks the same,
// and resetting its flows would break what was well; but a slow server still
// accepts connections. So silence leads to a probe, which is a connection that
// is opened and closed again, and only probes that fail lead to resets.
//
// A full link of this instance's own makes every probe fail. One would notice
// resets of flows whose servers serve. So each further probe goes out together
// with one to a server that answered lately, and counts only if that one is
// answered, and in half of the time. A full link also drops some packets and
// lets others through: a server that failed a probe and lives all the same
// shows that, and for a while nothing is concluded.

#ifndef CHICORYBANK_TOKEN_REACHABILITY_H
#define CHICORYBANK_TOKEN_REACHABILITY_H

#include "chicorybank/token/Types.h"

namespace chicory::token {

/// Times and numbers of probes.
struct ReachabilityOptions {
  /// A probe without an answer fails after this time, at least: some twenty
  /// round trips between zones. On a slow link it is four handshakes.
  Duration Timeout = std::chrono::milliseconds(40);
  /// Failures in a row that make a server unreachable: two packets of three may
  /// be lost where a link is full.
  uint32_t UnreachableAfter = 3;
  /// Probes after one that failed wait for so many times as long.
  int RetryTimeoutFactor = 2;
  /// Of a row so many probes are made anew because the one for comparison was
  /// not answered. With a quarter of all servers dead, one row in 250 still
  /// ends without a conclusion.
  uint32_t MaxInconclusive = 3;
  /// Nothing is concluded for this long after a server that failed a probe
  /// showed life: about as long as a full link stays full.
  Duration FalseAlarmHold = std::chrono::seconds(3);
  /// The address of a server that has ended may be another one's two seconds
  /// later, which then answers probes. A row begins within a second of the end.
  Duration AddressReusedAfter = std::chrono::seconds(1);
  /// A server that was unreachable and whose address answers again is taken for
  /// silent until a flow shows life, for this long after the last failure.
  /// Registrations of servers that have ended lapse in that time, and it is
  /// less than a flow has to hold undisturbed after trouble (users: four
  /// seconds).
  Duration DistrustFor = std::chrono::milliseconds(3500);
  /// A server that answered is not asked again for this long.
  Duration MinInterval = std::chrono::milliseconds(250);
  /// A failure is believed for this long. A server that was cut off is back
  /// without telling; a belief must not outlive the cut by much.
  Duration UnreachableFor = std::chrono::milliseconds(600);
  /// A request without a sign of an answer raises a doubt after this time, at
  /// least, and after this many times the usual wait. A doubt costs a probe, so
  /// it may be raised early.
  Duration RequestTimeoutMin = std::chrono::milliseconds(50);
  int RequestTimeoutFactor = 3;
};

/// What probes have shown of one backend server.
struct Reachability {
  bool Probing = false;
  /// Probes in a row that failed.
  uint32_t Failures = 0;
  /// Probes of the row that showed nothing.
  uint32_t Inconclusive = 0;
  /// When, since the last probe was sent, one of another server was answered
  /// first.
  Time LinkWorkedAt;
  /// The server that was asked together with the last probe.
  BackendId ComparisonServer;
  /// When the first probe of a row was sent, and the last one.
  Time SeriesStartedAt;
  Time SentAt;
  Duration Timeout = Duration::zero();
  /// When a probe last failed or was last answered.
  Time FailedAt;
  Time AnsweredAt;
  /// Until when the server is believed to be unreachable.
  Time UnreachableUntil;
  /// It was found to be unreachable, and none of its flows has shown life
  /// since.
  bool FoundUnreachable = false;
};

} // namespace chicory::token

#endif
