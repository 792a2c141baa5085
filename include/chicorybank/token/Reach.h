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
// resets of flows whose servers serve. So the deciding probe goes out together
// with one to a server that answered lately, and counts only if that one is
// answered, and in half of the time.

#ifndef CHICORYBANK_TOKEN_REACH_H
#define CHICORYBANK_TOKEN_REACH_H

#include "chicorybank/base/Types.h"

namespace chicory::token {

/// Times and numbers of probes.
struct ReachOptions {
  /// A probe without an answer fails after this time, at least: some twenty
  /// round trips between zones. On a slow link it is four handshakes.
  Duration Timeout = std::chrono::milliseconds(40);
  /// The deciding probe comes after one that failed, since that may have been a
  /// lost packet, and waits for so many times as long.
  int DecidingFactor = 2;
  /// A server that answered is not asked again for this long.
  Duration Every = std::chrono::milliseconds(250);
  /// A failure is believed for this long. A server that was cut off is back
  /// without telling; a belief must not outlive the cut by much.
  Duration BelieveFor = std::chrono::milliseconds(600);
  /// A request without a sign of an answer raises a doubt after this time, at
  /// least, and after this many times the usual wait. A doubt costs a probe, so
  /// it may be raised early.
  Duration RequestPatience = std::chrono::milliseconds(50);
  int RequestFactor = 3;
};

/// What probes have shown of one backend server.
struct Reach {
  bool Probing = false;
  /// The last probe failed, so the next one decides.
  bool Failed = false;
  /// When the first probe of a row was sent, and the last one.
  Time RowBeganAt;
  Time SentAt;
  Duration Timeout = Duration::zero();
  /// When a probe last failed or was last answered.
  Time FailedAt;
  Time ReachedAt;
  /// Until when the server is believed to be unreachable.
  Time UnreachableUntil;
};

} // namespace chicory::token

#endif
