// Requests at the instance that owns their flow.

#ifndef CHICORYBANK_LIB_CORE_REQUESTPATH_H
#define CHICORYBANK_LIB_CORE_REQUESTPATH_H

#include "CoreState.h"
#include "FlowPath.h"

#include <deque>
#include <map>
#include <set>

namespace chicory {

// At most three instances forward a packet: the first instance, the owner and a
// former owner.
inline constexpr uint8_t MaxRequestHops = 3;
// An outcome is kept for this long after its request's deadline, to answer
// duplicates.
inline constexpr Duration KeepAfterDeadline = std::chrono::seconds(1);
// Delay before a retry: the minimum plus a random part up to the jitter.
inline constexpr Duration BackOffMin = std::chrono::milliseconds(5);
inline constexpr Duration BackOffJitter = std::chrono::milliseconds(20);

/// Identifies a request. Request ids are unique only within their flow.
struct RequestKey {
  FlowKey Flow;
  RequestId Request;

  auto operator<=>(const RequestKey &) const = default;
};

/// State of a new record. While the previous owner is queried, waits for its
/// reply about whether it has seen the request.
struct QueryingPreviousOwner {};
/// Waits for a slot of a target.
struct Queued {};
/// Waits before a retry. A retry is safe because the last target reported that
/// it did not run the request, or because the request is idempotent.
struct BackingOff {};
/// Was sent to a target. `AnsweredBy` is set by the first part of the answer,
/// so that parts of two answers are never mixed.
struct Running {
  TargetId Target;
  Time SentAt;
  std::optional<TargetId> AnsweredBy;
};
/// An answer is relayed although the request is not `Running` here: another
/// instance sent it, or it waits for a retry because the target that now
/// answers was considered silent.
struct Adopted {
  TargetId AnsweredBy;
};
/// The caller was sent the complete answer.
struct Answered {};
/// The caller was sent a refusal in place of an answer.
struct RefusedState {
  RefusedOutcome Outcome = RefusedOutcome::NotRun;
  Reason Why = Reason::None;
  Duration RetryAfter{};
};

/// State of a request. The usual order is QueryingPreviousOwner, Queued,
/// Running, Answered; a retry goes from Running through BackingOff back to
/// Queued. An answer that arrives in another unfinished state leads to Adopted
/// and then to Answered. A request without an answer ends as RefusedState.
using RequestState = std::variant<QueryingPreviousOwner, Queued, BackingOff,
                                  Running, Adopted, Answered, RefusedState>;

/// Returns whether the caller was sent an outcome.
inline bool isFinished(const RequestState &state) {
  return std::holds_alternative<Answered>(state) ||
         std::holds_alternative<RefusedState>(state);
}

/// Handles requests. `RequestPath.cpp` has admission, queues and timers;
/// `RequestOutcome.cpp` has the answers of targets and the outcomes for
/// callers. docs/design/at-most-once.md and docs/design/overload.md give the
/// reasons.
class RequestPath {
public:
  RequestPath(CoreState &state, FlowPath &flows);

  /// Handles a request of a caller.
  void handleRequest(const PacketInFlight &packet, uint8_t hops, Time now,
                     Actions &actions);
  /// Cancels a request that its caller no longer waits for.
  void cancel(const Packet &packet, Time now, Actions &actions);
  /// Cancels all requests of a flow that its caller has closed.
  void flowClosed(const FlowKey &flow, Time now, Actions &actions);
  /// Handles an Answer, Refused or Reset packet of a target.
  void fromTarget(const PacketInFlight &packet, uint8_t hops, Time now,
                  Actions &actions);
  /// Returns whether this instance has a record of a packet's request.
  bool hasRecord(const Packet &packet) const {
    return Records.contains({.Flow = packet.Flow, .Request = packet.Request});
  }
  /// Answers a later owner's query about whether this instance saw a request.
  void answerQuery(const FlowQuery &query, Time now, Actions &actions);
  /// Handles a former owner's reply to a query.
  void handleReply(const FlowReply &reply, Time now, Actions &actions);
  /// Runs expired timers and dispatches queued requests.
  void tick(Time now, Actions &actions);

  size_t size() const { return Records.size(); }
  size_t queued() const { return QueuedCount; }
  /// Returns how many requests have no outcome yet.
  size_t unfinished() const { return Unfinished; }

private:
  struct Record {
    PacketInFlight Request;
    Time Deadline;
    RequestState State;
    /// No other instance can run it, so the outcome may be "not run".
    bool Exclusive = false;
    /// A target to which it was sent has reset the connection or has not
    /// answered, so the outcome can no longer be "not run".
    bool MayHaveRun = false;
    ServiceId Service;
    std::vector<TargetId> Tried;
    /// The parts of the answer, by part number.
    std::map<uint32_t, PacketInFlight> Parts;
    std::optional<uint32_t> LastPart;
    size_t CachedBytes = 0;
    Time TimerAt;
  };
  using RecordMap = std::map<RequestKey, Record>;
  using Entry = RecordMap::iterator;

  /// Result of the ownership check for a new request.
  struct Admission {
    bool Exclusive = false;
    Reason Why = Reason::None;
    /// The former owner to query about the request; none if it is unreachable.
    InstanceId QueryTo;
    Duration RetryAfter{};
  };

  Admission checkOwnership(const FlowKey &flow, Time deadline, Time now) const;
  bool forwardToFormerOwner(const PacketInFlight &packet, uint8_t hops,
                            Time now, Actions &actions);
  Entry add(const PacketInFlight &packet, Time deadline);
  void admit(Entry entry, Time now, Actions &actions);
  ServiceId serviceFor(const FlowKey &flow, Reason &why);
  bool isWaitTooLong(const Service &service, Time deadline, Time now,
                     Duration &wait) const;
  void enqueue(Entry entry, bool first, Time now);
  void dispatch(ServiceId service, Time now, Actions &actions);
  void send(Entry entry, TargetId target, Time now, Actions &actions);
  void handleAnswerPart(Entry entry, const PacketInFlight &packet, Time now,
                        Actions &actions);
  void adoptAnswer(const PacketInFlight &packet, Time now, Actions &actions);
  void handleTargetRefusal(Entry entry, const PacketInFlight &packet, Time now,
                           Actions &actions);
  void retryOrRefuse(Entry entry, Reason why, Time now, Actions &actions);
  void finish(Entry entry, RefusedState how, Time now, Actions &actions);
  void finishAnswered(Entry entry, Time now, Actions &actions);
  void sendCancel(const RequestKey &key, TargetId target, Actions &actions);
  void release(Entry entry, RequestEnd how, Time now);
  void resendOutcome(const Record &record, Actions &actions);
  void refuseWithoutRecord(const Packet &request, RefusedState how,
                           Actions &actions);
  void sendRefusal(const FlowKey &flow, RequestId request,
                   const RefusedState &how, Actions &actions);
  void abandon(Entry entry, Time now, Actions &actions);
  void handleTimer(Entry entry, Time now, Actions &actions);
  void setTimer(Entry entry, Time at);
  void setState(Entry entry, RequestState state);
  void erase(Entry entry);
  const Service *serviceOf(ServiceId id) const;

  CoreState &Shared;
  FlowPath &Flows;
  RecordMap Records;
  std::set<std::pair<Time, RequestKey>> Timers;
  std::map<ServiceId, std::deque<RequestKey>> Queues;
  size_t QueuedCount = 0;
  size_t Unfinished = 0;
  size_t CachedBytes = 0;
  double RetryTokens;
};

} // namespace chicory

#endif
