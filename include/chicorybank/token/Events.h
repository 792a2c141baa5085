// What goes into a token core and what comes out.

#ifndef CHICORYBANK_TOKEN_EVENTS_H
#define CHICORYBANK_TOKEN_EVENTS_H

#include "chicorybank/base/Reasons.h"
#include "chicorybank/token/Backends.h"
#include "chicorybank/token/Routes.h"
#include "chicorybank/token/Types.h"
#include "chicorybank/token/WarmUp.h"

#include <string>
#include <variant>
#include <vector>

namespace chicory::token {

/// A caller's packet came from the routers. `Raw` is used during the call only.
struct PacketReceived {
  FlowPacket Head;
  Bytes Raw;
};

/// A version of the configuration was read, from whichever source.
struct RoutesLearned {
  RouteSet Routes;
};

/// What routes have led to was read. May come before the routes themselves.
struct PastRoutesLearned {
  std::vector<RoutePair> Pairs;
};

/// Registrations of backend servers were read.
struct BackendsLearned {
  /// New or changed ones.
  std::vector<Registration> Present;
  /// Those that have ended.
  std::vector<BackendId> Ended;
  /// Those whose registrations can no longer be read.
  std::vector<BackendId> Unreadable;
  /// The time of day when this was read, in Unix milliseconds; zero where it
  /// is not known. It dates the lives of servers and nothing else.
  int64_t ReadAt = 0;
};

/// The operators drain an availability zone: its backend servers keep their
/// flows and get no new ones. Or they have ended that.
struct ZoneDrainLearned {
  std::string Zone;
  bool Active = true;
};

/// The registered instances are these.
struct InstancesLearned {
  std::vector<ZonedInstance> Instances;
};

/// All backend servers were told at least once: the instance may serve.
struct BackendsComplete {};

/// How well this instance can know the newest configuration.
struct FreshnessUpdated {
  /// What was told so far holds everything up to this time.
  Time CurrentAt;
};

/// The deployment's bounds changed while the process runs.
struct BoundsChanged {
  Duration ApplyWithin;
  Duration MaxFlowAge;
};

/// How a probe ended.
enum class ProbeOutcome : uint8_t {
  Reached,
  Failed,   ///< No answer in time.
  Refused,  ///< Its machine answers that nobody listens.
  NotTried, ///< There was no room for it; it shows nothing.
};

/// A probe that the core asked for has ended.
struct ProbeEnded {
  BackendId Id;
  ProbeOutcome Outcome = ProbeOutcome::NotTried;
};

/// Another instance has given up on a server. That may be its own trouble, so
/// this instance looks for itself.
struct BackendReportedUnreachable {
  BackendId Id;
};

/// Time passes; send one every few milliseconds while flows are opening.
struct Tick {};

using Event = std::variant<PacketReceived, RoutesLearned, PastRoutesLearned,
                           BackendsLearned, ZoneDrainLearned, InstancesLearned,
                           BackendsComplete, FreshnessUpdated, BoundsChanged,
                           ProbeEnded, BackendReportedUnreachable, Tick>;

/// Send the packet to a backend server, with this token in it.
struct Forward {
  BackendId To;
  Address Where;
  Token Echo;
  /// Valid until the core handles its next event.
  Bytes Raw;
};

/// Reset a flow: tell the caller that it has to open a new one.
struct ResetFlow {
  FlowKey Flow;
  /// The caller's last acknowledgement; a reset must be near it to count.
  uint32_t Near = 0;
  Reason Why = Reason::None;
};

/// Open a connection to a backend server and close it again. Exactly one
/// `ProbeEnded` has to follow.
struct ProbeBackend {
  BackendId Id;
  Address Where;
  Duration Timeout;
};

/// Tell other instances that a server can't be reached from here.
struct ReportUnreachable {
  BackendId Id;
};

/// Something worth a log line.
struct Decision {
  /// What happened, one word; a string literal.
  const char *What = "";
  Reason Why = Reason::None;
  Time At;
  FlowKey Flow;
  BackendId Backend;
  /// The availability zone that it is about; empty for none.
  std::string Zone;
  RuleVersion Rules;
  /// How old the input was that decided it.
  Duration Age = Duration::zero();
};

using Action =
    std::variant<Forward, ResetFlow, ProbeBackend, ReportUnreachable, Decision>;
using Actions = std::vector<Action>;

} // namespace chicory::token

#endif
