// Events that a token core handles and the actions that it returns.

#ifndef CHICORYBANK_TOKEN_EVENTS_H
#define CHICORYBANK_TOKEN_EVENTS_H

#include "chicorybank/base/Reasons.h"
#include "chicorybank/token/Backends.h"
#include "chicorybank/token/Routes.h"
#include "chicorybank/token/Types.h"
#include "chicorybank/token/WarmUp.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace chicory::token {

/// A caller's packet arrived from the routers. `Raw` is valid only during the
/// call.
struct PacketReceived {
  FlowPacket Head;
  Bytes Raw;
  /// The packet may have waited here for long, so it shows nothing about the
  /// present.
  bool MayBeOld = false;
};

/// A version of the configuration was read, from any source.
struct RoutesLearned {
  RouteSet Routes;
};

/// The record of earlier services of routes was read. May arrive before the
/// routes themselves.
struct PastRoutesLearned {
  std::vector<RoutePair> Pairs;
};

/// Registrations of backend servers were read.
struct BackendsLearned {
  /// New or changed ones.
  std::vector<Registration> Present;
  /// Servers whose registrations expired or were deleted.
  std::vector<BackendId> Ended;
  /// Servers whose registrations can no longer be parsed.
  std::vector<BackendId> Unreadable;
  /// The wall-clock time of the read, in Unix milliseconds; zero if unknown. It
  /// is used only to compute how long a server's process has been running.
  int64_t ReadAt = 0;
};

/// The operators have started (`Active`) or ended the drain of an availability
/// zone. While it lasts, its backend servers keep their flows and get no new
/// ones.
struct ZoneDrainLearned {
  std::string Zone;
  bool Active = true;
};

/// The list of registered instances was read.
struct InstancesLearned {
  std::vector<ZonedInstance> Instances;
};

/// All registrations of backend servers were read at least once. Until then,
/// openings for which no server is known are dropped; afterwards they are
/// reset.
struct BackendsComplete {};

/// How current this instance's updates from the registry are.
struct FreshnessUpdated {
  /// The updates handled so far are complete up to this time.
  Time CurrentAt;
};

/// The deployment's time limits changed while the process runs.
struct BoundsChanged {
  Duration ApplyWithin;
  Duration MaxFlowAge;
};

/// The outcome of a probe.
enum class ProbeOutcome : uint8_t {
  Reached,
  Failed,   ///< No answer in time.
  Refused,  ///< The host refused the connection: no process listens.
  NotTried, ///< Not sent, as too many probes are under way; no evidence.
};

/// A probe that the core requested has ended.
struct ProbeEnded {
  BackendId Id;
  ProbeOutcome Outcome = ProbeOutcome::NotTried;
};

/// Another instance reports a server as unreachable. The cause may be that
/// instance's own link, so this instance probes the server itself.
struct BackendReportedUnreachable {
  BackendId Id;
};

/// Another instance that shares a server reports a change of its health.
struct BackendHealthReported {
  InstanceId Sender;
  BackendId Id;
  /// `Registration::StartedAtMs` of the server that the report is about.
  int64_t StartedAtMs = 0;
  HealthChange Change = HealthChange::None;
};

/// The process, or its machine, was suspended until now.
struct ProcessResumed {};

/// This instance is being stopped: the routers send the packets of its flows
/// through other instances, so a missing packet says nothing about a server.
struct StopBegun {};

/// Advances timers; see `Core::nextTick` for when it is due.
struct Tick {};

using Event =
    std::variant<PacketReceived, RoutesLearned, PastRoutesLearned,
                 BackendsLearned, ZoneDrainLearned, InstancesLearned,
                 BackendsComplete, FreshnessUpdated, BoundsChanged, ProbeEnded,
                 BackendReportedUnreachable, BackendHealthReported,
                 ProcessResumed, StopBegun, Tick>;

/// Send the packet to a backend server, with this token written into it.
struct Forward {
  BackendId To;
  Address Where;
  Token Echo;
  /// Valid until the core handles its next event.
  Bytes Raw;
};

/// Reset a flow, so that the caller opens a new one.
struct ResetFlow {
  FlowKey Flow;
  /// The caller's last acknowledgement; the caller accepts a reset only near
  /// it.
  uint32_t Near = 0;
  Reason Why = Reason::None;
};

/// Open a connection to a backend server and close it again. Must be followed
/// by exactly one `ProbeEnded`.
struct ProbeBackend {
  BackendId Id;
  Address Where;
  Duration Timeout;
};

/// Report to other instances that a server can't be reached from this one.
struct ReportUnreachable {
  BackendId Id;
};

/// Report a change of a server's health to the instances that share it.
struct ReportHealth {
  BackendId Id;
  int64_t StartedAtMs = 0;
  HealthChange Change = HealthChange::None;
  std::vector<InstanceId> To;
};

/// The share of a service's new flows of one priority that are admitted.
struct AdmittedShare {
  ServiceId Service;
  uint32_t Priority = 0;
  double Share = 1;
};

/// A decision to write to the log.
struct Decision {
  /// Name of the log event, one word; a string literal.
  const char *What = "";
  Reason Why = Reason::None;
  Time At;
  FlowKey Flow;
  BackendId Backend;
  /// The availability zone concerned; empty for none.
  std::string Zone;
  RuleVersion Rules;
  /// Age of the registry updates that the decision is based on; for
  /// `backend_suspect`, the time since the server's last answer. Nothing if the
  /// updates were never confirmed as current.
  std::optional<Duration> Age = Duration::zero();
  /// For `backend_gone`, the evidence; a string literal, empty otherwise.
  const char *Cause = "";
  /// For `backend_gone` and `backend_contested`, the conflict with another
  /// server's registration.
  std::optional<AddressConflict> Conflict;
  /// For `service_overloaded`.
  std::optional<AdmittedShare> Admitted;
};

using Action = std::variant<Forward, ResetFlow, ProbeBackend, ReportUnreachable,
                            ReportHealth, Decision>;
using Actions = std::vector<Action>;

} // namespace chicory::token

#endif
