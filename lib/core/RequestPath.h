// Requests at the instance that owns their flow.

#ifndef CHICORYBANK_LIB_CORE_REQUESTPATH_H
#define CHICORYBANK_LIB_CORE_REQUESTPATH_H

#include "CoreState.h"
#include "FlowPath.h"

#include <deque>
#include <map>
#include <set>

namespace chicory {

// A packet is passed on by the first instance, the owner and a former owner.
inline constexpr uint8_t MaxRequestHops = 3;
// An outcome is kept this long after its request's deadline, for duplicates.
inline constexpr Duration KeepAfterDeadline = std::chrono::seconds(1);
// Before a retry, a request waits this long and up to the spread longer.
inline constexpr Duration BackOffMin = std::chrono::milliseconds(5);
inline constexpr Duration BackOffJitter = std::chrono::milliseconds(20);

/// Names a request: ids are unique on their flow only.
struct RequestKey {
  FlowKey Flow;
  RequestId Request;

  auto operator<=>(const RequestKey &) const = default;
};

/// The previous owner was asked whether it has seen the request.
struct QueryingPreviousOwner {};
/// Waits for a slot.
struct Queued {};
/// Waits before it is tried again. Evidence that it may be: the target that
/// had it has said that it did not run it, or the request is idempotent.
struct BackingOff {};
/// A target has it. `AnsweredBy` is set with the first part of the answer, so
/// that parts of two answers are never mixed.
struct Running {
  TargetId Target;
  Time SentAt;
  std::optional<TargetId> AnsweredBy;
};
/// The answer of a request that another instance had sent.
struct Adopted {
  TargetId AnsweredBy;
};
/// The caller got the whole answer.
struct Answered {};
/// The caller was told that there is no answer.
struct RefusedState {
  RefusedOutcome Outcome = RefusedOutcome::NotRun;
  Reason Why = Reason::None;
  Duration RetryAfter{};
};

/// The life of a request. It goes from top to bottom, with one way back: from
/// Running through BackingOff to Queued.
using RequestState = std::variant<QueryingPreviousOwner, Queued, BackingOff,
                                  Running, Adopted, Answered, RefusedState>;

/// True where the caller has been told its outcome.
inline bool isFinished(const RequestState &state) {
  return std::holds_alternative<Answered>(state) ||
         std::holds_alternative<RefusedState>(state);
}

/// Decides on requests. `RequestPath.cpp` has admission, the queues and timers;
/// `RequestOutcome.cpp` what targets answer and what callers are told.
/// docs/design/at-most-once.md and overload.md tell why.
class RequestPath {
public:
  RequestPath(CoreState &state, FlowPath &flows);

  /// A request of a caller.
  void handleRequest(const PacketInFlight &packet, uint8_t hops, Time now,
                     Actions &actions);
  /// The caller no longer waits.
  void cancel(const Packet &packet, Time now, Actions &actions);
  /// The caller has closed a flow: nobody waits for its requests.
  void flowClosed(const FlowKey &flow, Time now, Actions &actions);
  /// An Answer, Refused or Reset of a target.
  void fromTarget(const PacketInFlight &packet, uint8_t hops, Time now,
                  Actions &actions);
  /// True where the request that a packet is about was accepted here.
  bool hasRecord(const Packet &packet) const {
    return Records.contains({.Flow = packet.Flow, .Request = packet.Request});
  }
  /// A later owner asks whether a request was seen here.
  void answerQuery(const FlowQuery &query, Time now, Actions &actions);
  /// A former owner has answered.
  void handleReply(const FlowReply &reply, Time now, Actions &actions);
  /// Time passes.
  void tick(Time now, Actions &actions);

  size_t size() const { return Records.size(); }
  size_t queued() const { return QueuedCount; }
  /// How many requests have no outcome yet.
  size_t unfinished() const { return Unfinished; }

private:
  struct Record {
    PacketInFlight Request;
    Time Deadline;
    RequestState State;
    /// No other instance can run it: "not run" may be said.
    bool Exclusive = false;
    /// A target that had it fell silent: "not run" can't be said any more.
    bool MayHaveRun = false;
    ServiceId Service;
    std::vector<TargetId> Tried;
    /// The parts of the answer, by their number.
    std::map<uint32_t, PacketInFlight> Parts;
    std::optional<uint32_t> LastPart;
    size_t CachedBytes = 0;
    Time TimerAt;
  };
  using RecordMap = std::map<RequestKey, Record>;
  using Entry = RecordMap::iterator;

  /// What admission found out about who may act.
  struct Admission {
    bool Exclusive = false;
    Reason Why = Reason::None;
    /// Set where a former owner can tell whether the request was seen.
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
