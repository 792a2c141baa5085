// The list of all reasons for which something is refused, retried or logged.
//
// Metrics, logs, docs/REASONS.md and the packets to callers use this list. A
// test fails if the metrics or docs/REASONS.md lack a reason.

#ifndef CHICORYBANK_BASE_REASONS_H
#define CHICORYBANK_BASE_REASONS_H

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace chicory {

/// Calls X with each reason's name in code and its name in metrics. Packets
/// carry a reason as its position in this list.
#define CHICORY_REASONS(X)                                                     \
  X(None, "none")                                                              \
  X(NoRules, "no_rules")                                                       \
  X(NoMatch, "no_match")                                                       \
  X(RuleRefuses, "rule_refuses")                                               \
  X(NoTarget, "no_target")                                                     \
  X(FlowTableFull, "flow_table_full")                                          \
  X(UnknownFlow, "unknown_flow")                                               \
  X(AmbiguousService, "ambiguous_service")                                     \
  X(RecoveryFailed, "recovery_failed")                                         \
  X(RecoveryBufferFull, "recovery_buffer_full")                                \
  X(HopLimit, "hop_limit")                                                     \
  X(NotOwner, "not_owner")                                                     \
  X(LeaseLapsed, "lease_lapsed")                                               \
  X(HandOverPending, "hand_over_pending")                                      \
  X(MayHaveRun, "may_have_run")                                                \
  X(DeadlinePassed, "deadline_passed")                                         \
  X(DeadlineTooFar, "deadline_too_far")                                        \
  X(QueueFull, "queue_full")                                                   \
  X(RequestTableFull, "request_table_full")                                    \
  X(TargetShed, "target_shed")                                                 \
  X(TargetDraining, "target_draining")                                         \
  X(TargetReset, "target_reset")                                               \
  X(TargetSilent, "target_silent")                                             \
  X(TargetDeadline, "target_deadline")                                         \
  X(RetryBudget, "retry_budget")                                               \
  X(Cancelled, "cancelled")                                                    \
  X(FlowSilent, "flow_silent")                                                 \
  X(BadPacket, "bad_packet")                                                   \
  X(BadVersion, "bad_version")                                                 \
  X(BadPeerMessage, "bad_peer_message")                                        \
  X(BadPeerKey, "bad_peer_key")                                                \
  X(BadPlatformValue, "bad_platform_value")                                    \
  X(RingFull, "ring_full")                                                     \
  X(PeerUnreachable, "peer_unreachable")                                       \
  X(StrayAnswer, "stray_answer")                                               \
  X(ForeignSource, "foreign_source")                                           \
  X(ControlBudget, "control_budget")                                           \
  X(UnknownToken, "unknown_token")                                             \
  X(ForeignToken, "foreign_token")                                             \
  X(AmbiguousToken, "ambiguous_token")                                         \
  X(BackendGone, "backend_gone")                                               \
  X(BackendRestarted, "backend_restarted")                                     \
  X(BackendSilent, "backend_silent")                                           \
  X(BackendUnreachable, "backend_unreachable")                                 \
  X(RouteRemoved, "route_removed")                                             \
  X(NotCurrent, "not_current")                                                 \
  X(ZoneDrained, "zone_drained")                                               \
  X(WarmingUp, "warming_up")                                                   \
  X(ServiceOverloaded, "service_overloaded")                                   \
  X(BackendFailing, "backend_failing")

/// Why something was refused, retried or logged.
enum class Reason : uint8_t {
#define CHICORY_REASON_ENUM(NAME, TEXT) NAME,
  CHICORY_REASONS(CHICORY_REASON_ENUM)
#undef CHICORY_REASON_ENUM
};

/// The number of reasons.
inline constexpr size_t ReasonCount = 0
#define CHICORY_REASON_COUNT(NAME, TEXT) +1 // NOLINT: a summand.
    CHICORY_REASONS(CHICORY_REASON_COUNT)
#undef CHICORY_REASON_COUNT
    ;

/// Returns the name of a reason in metrics and docs, such as "queue_full".
std::string_view reasonName(Reason reason);

} // namespace chicory

#endif
