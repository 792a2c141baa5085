#include "RequestPath.h"

namespace chicory {

namespace {

constexpr Duration DefaultRetryAfter = std::chrono::seconds(1);
// An idempotent request is retried at another target after this many mean
// service times without an answer.
constexpr int SilenceTimeoutFactor = 4;
constexpr Duration MinSilenceTimeout = std::chrono::milliseconds(200);

} // namespace

RequestPath::RequestPath(CoreState &state, FlowPath &flows)
    : Shared(state), Flows(flows),
      RetryTokens(state.Options.Requests.RetryBurst) {}

RequestPath::Admission RequestPath::checkOwnership(const FlowKey &flow,
                                                   Time deadline,
                                                   Time now) const {
  const RequestOptions &options = Shared.Options.Requests;
  OwnershipView view = Shared.Ownership.ownershipOf(hashFlow(flow), now);
  if (view.Owner != Shared.self())
    return {.Why = Reason::NotOwner, .RetryAfter = DefaultRetryAfter};
  if (!view.HandOverComplete)
    return {.Why = Reason::HandOverPending, .RetryAfter = DefaultRetryAfter};
  if (view.LeaseUntil <= now)
    return {.Why = Reason::LeaseLapsed, .RetryAfter = DefaultRetryAfter};
  if (deadline > now + options.MaxRequestLife)
    return {.Why = Reason::DeadlineTooFar};
  // Owners before `OwnedSince` accepted no request with a deadline after this
  // time, so a later deadline proves that the request is new.
  Time provenNewAfter =
      view.OwnedSince + options.MaxRequestLife + 2 * options.MaxClockSkew;
  if (deadline > provenNewAfter)
    return {.Exclusive = true};
  bool canAsk = Shared.Members.isReachable(view.PreviousOwner, now);
  return {.Why = Reason::MayHaveRun,
          .QueryTo = canAsk ? view.PreviousOwner : InstanceId{},
          .RetryAfter = provenNewAfter - deadline};
}

void RequestPath::handleRequest(const PacketInFlight &packet, uint8_t hops,
                                Time now, Actions &actions) {
  const Packet &content = packet.Content;
  RequestKey key{.Flow = content.Flow, .Request = content.Request};
  if (auto it = Records.find(key); it != Records.end())
    return resendOutcome(it->second, actions);
  Time deadline = Shared.fromWire(content.DeadlineMs);
  Admission admission = checkOwnership(content.Flow, deadline, now);
  // Any home may run an idempotent request without owning its flow, so no
  // instance can promise that a duplicate is not run elsewhere.
  admission.Exclusive = admission.Exclusive && !content.Idempotent;
  // Once the record of a request may have been removed, its outcome is unknown.
  bool remembered = now < deadline + KeepAfterDeadline;
  RefusedOutcome ifRefused = admission.Exclusive && remembered
                                 ? RefusedOutcome::NotRun
                                 : RefusedOutcome::Unknown;
  if (deadline <= now)
    return refuseWithoutRecord(
        content, {.Outcome = ifRefused, .Why = Reason::DeadlinePassed},
        actions);
  if (Records.size() >= Shared.Options.Requests.MaxRequests)
    // Without a record a later duplicate could run, so "not run" would be
    // wrong.
    return refuseWithoutRecord(content,
                               {.Outcome = RefusedOutcome::Unknown,
                                .Why = Reason::RequestTableFull,
                                .RetryAfter = DefaultRetryAfter},
                               actions);
  bool ask = !content.Idempotent && !admission.Exclusive &&
             admission.QueryTo != InstanceId{};
  if (!content.Idempotent && !admission.Exclusive && !ask)
    return refuseWithoutRecord(content,
                               {.Outcome = RefusedOutcome::Unknown,
                                .Why = admission.Why,
                                .RetryAfter = admission.RetryAfter},
                               actions);
  Entry entry = add(packet, deadline);
  entry->second.Exclusive = admission.Exclusive;
  if (!ask)
    return admit(entry, now, actions);
  setTimer(entry, now + Shared.Options.Requests.QueryTimeout);
  actions.emplace_back(
      SendQuery{.To = admission.QueryTo,
                .Message = FlowQuery{.Flow = content.Flow,
                                     .Request = content.Request,
                                     .DeadlineMs = content.DeadlineMs,
                                     .Asker = Shared.self(),
                                     .Hops = hops}});
}

RequestPath::Entry RequestPath::add(const PacketInFlight &packet,
                                    Time deadline) {
  RequestKey key{.Flow = packet.Content.Flow,
                 .Request = packet.Content.Request};
  Entry entry = Records.emplace(key, Record{}).first;
  entry->second.Request = packet;
  entry->second.Deadline = deadline;
  entry->second.State = QueryingPreviousOwner{};
  ++Unfinished;
  setTimer(entry, deadline);
  return entry;
}

ServiceId RequestPath::serviceFor(const FlowKey &flow, Reason &why) {
  // An open flow keeps its service even if newer rules differ.
  if (const FlowPin *pin = Flows.find(flow))
    return pin->Service;
  const CompiledRules *rules = Shared.History.newest();
  if (rules == nullptr) {
    why = Reason::NoRules;
    return {};
  }
  const Rule *rule = rules->match(flow);
  why = rule == nullptr ? Reason::NoMatch : Reason::RuleRefuses;
  return rule == nullptr ? ServiceId{} : rule->Service;
}

const Service *RequestPath::serviceOf(ServiceId id) const {
  const CompiledRules *rules = Shared.History.newest();
  return rules == nullptr ? nullptr : rules->service(id);
}

bool RequestPath::isWaitTooLong(const Service &service, Time deadline, Time now,
                                Duration &wait) const {
  auto it = Queues.find(service.Id);
  size_t ahead = it == Queues.end() ? 0 : it->second.size();
  if (ahead >= Shared.Options.Requests.MaxQueue)
    return true;
  Duration usual = Shared.TargetStates.serviceTime(service.Id);
  uint32_t share = std::max(1U, Shared.TargetStates.shareOf(service));
  if (ahead == 0 && Shared.TargetStates.inFlightOf(service) < share)
    return false;
  // Time for the queued requests, and half a service time until the first slot
  // is free.
  wait = usual * static_cast<int64_t>(ahead) / share + usual / 2;
  return now + wait + usual > deadline;
}

void RequestPath::admit(Entry entry, Time now, Actions &actions) {
  Record &record = entry->second;
  ++Shared.Stats.RequestsAccepted;
  const RequestOptions &options = Shared.Options.Requests;
  RetryTokens = std::min(RetryTokens + options.RetryShare, options.RetryBurst);
  Reason why = Reason::NoTarget;
  record.Service = serviceFor(entry->first.Flow, why);
  const Service *service = serviceOf(record.Service);
  if (service == nullptr)
    return finish(entry, {.Why = why}, now, actions);
  Duration wait{};
  if (isWaitTooLong(*service, record.Deadline, now, wait))
    return finish(entry,
                  {.Why = Reason::QueueFull,
                   .RetryAfter = std::max(wait, Duration(BackOffJitter))},
                  now, actions);
  setTimer(entry, record.Deadline);
  enqueue(entry, false, now);
  dispatch(record.Service, now, actions);
}

void RequestPath::enqueue(Entry entry, bool first, Time now) {
  std::deque<RequestKey> &queue = Queues[entry->second.Service];
  setState(entry, Queued{});
  setTimer(entry, std::max(entry->second.Deadline, now));
  if (first)
    queue.push_front(entry->first);
  else
    queue.push_back(entry->first);
}

void RequestPath::dispatch(ServiceId id, Time now, Actions &actions) {
  const Service *service = serviceOf(id);
  auto queue = Queues.find(id);
  if (queue == Queues.end())
    return;
  while (!queue->second.empty()) {
    Entry entry = Records.find(queue->second.front());
    bool waiting = entry != Records.end() &&
                   std::holds_alternative<Queued>(entry->second.State);
    if (!waiting) {
      queue->second.pop_front(); // It was refused or cancelled.
      continue;
    }
    if (service == nullptr) {
      finish(entry, {.Why = Reason::NoTarget}, now, actions);
      continue;
    }
    // Don't start a request that can hardly be answered in time; leave the slot
    // to one that can.
    Duration usual = Shared.TargetStates.serviceTime(id);
    if (now + usual / 2 > entry->second.Deadline) {
      finish(entry, {.Why = Reason::QueueFull, .RetryAfter = usual}, now,
             actions);
      continue;
    }
    // The target may shed a request on a borrowed slot. Without a retry left in
    // the budget, the request waits for one of this instance's own slots.
    bool mayBorrow = RetryTokens >= 1;
    std::optional<TargetId> target = Shared.TargetStates.chooseForRequest(
        *service, entry->second.Tried, now, mayBorrow);
    if (!target)
      return;
    queue->second.pop_front();
    send(entry, *target, now, actions);
  }
}

void RequestPath::send(Entry entry, TargetId target, Time now,
                       Actions &actions) {
  Record &record = entry->second;
  setState(entry, Running{.Target = target, .SentAt = now, .AnsweredBy = {}});
  record.Tried.push_back(target);
  Time next = record.Deadline;
  if (record.Request.Content.Idempotent) {
    Duration silent = std::max(Duration(MinSilenceTimeout),
                               Shared.TargetStates.serviceTime(record.Service) *
                                   SilenceTimeoutFactor);
    next = std::min(next, now + silent);
  }
  setTimer(entry, next);
  Shared.TargetStates.requestSent(target);
  Shared.sendToTarget(target, record.Request, actions);
}

void RequestPath::cancel(const Packet &packet, Time now, Actions &actions) {
  Entry entry = Records.find({.Flow = packet.Flow, .Request = packet.Request});
  if (entry != Records.end() && !isFinished(entry->second.State))
    abandon(entry, now, actions);
}

void RequestPath::flowClosed(const FlowKey &flow, Time now, Actions &actions) {
  Entry it = Records.lower_bound({.Flow = flow, .Request = RequestId{}});
  for (; it != Records.end() && it->first.Flow == flow; ++it)
    if (!isFinished(it->second.State))
      abandon(it, now, actions);
}

void RequestPath::abandon(Entry entry, Time now, Actions &actions) {
  RefusedState how{.Why = Reason::Cancelled};
  ServiceId service = entry->second.Service;
  if (const auto *running = std::get_if<Running>(&entry->second.State)) {
    sendCancel(entry->first, running->Target, actions);
    how.Outcome = RefusedOutcome::Unknown;
    release(entry, RequestEnd::Cancelled, now);
  }
  finish(entry, how, now, actions);
  dispatch(service, now, actions);
}

void RequestPath::answerQuery(const FlowQuery &query, Time now,
                              Actions &actions) {
  FlowReply reply{.Flow = query.Flow,
                  .Request = query.Request,
                  .Result = QueryResult::MayBeSeen,
                  .Replier = Shared.self()};
  auto former = Shared.Ownership.formerOwnership(hashFlow(query.Flow), now);
  const RequestOptions &options = Shared.Options.Requests;
  if (Records.contains({.Flow = query.Flow, .Request = query.Request})) {
    reply.Result = QueryResult::Seen;
  } else if (former) {
    // "Not seen" stays true: this instance accepts no further requests for the
    // flow, and owners before it accepted none with a deadline this late.
    Time provenNewAfter =
        former->OwnedSince + options.MaxRequestLife + 2 * options.MaxClockSkew;
    if (former->HandOverComplete &&
        Shared.fromWire(query.DeadlineMs) > provenNewAfter)
      reply.Result = QueryResult::NotSeen;
    else if (query.Hops < MaxRequestHops &&
             Shared.Members.isReachable(former->PreviousOwner, now)) {
      FlowQuery onward = query;
      ++onward.Hops;
      actions.emplace_back(
          SendQuery{.To = former->PreviousOwner, .Message = onward});
      return;
    }
  }
  actions.emplace_back(SendQuery{.To = query.Asker, .Message = reply});
}

void RequestPath::handleReply(const FlowReply &reply, Time now,
                              Actions &actions) {
  Entry entry = Records.find({.Flow = reply.Flow, .Request = reply.Request});
  bool asked =
      entry != Records.end() &&
      std::holds_alternative<QueryingPreviousOwner>(entry->second.State);
  if (!asked)
    return;
  switch (reply.Result) {
  case QueryResult::NotSeen:
    entry->second.Exclusive = true;
    return admit(entry, now, actions);
  case QueryResult::Seen: {
    PacketInFlight request = entry->second.Request;
    --Unfinished;
    erase(entry);
    return Shared.forward(reply.Replier, request, MaxRequestHops, actions);
  }
  case QueryResult::MayBeSeen:
    return finish(entry,
                  {.Outcome = RefusedOutcome::Unknown,
                   .Why = Reason::MayHaveRun,
                   .RetryAfter = DefaultRetryAfter},
                  now, actions);
  }
}

void RequestPath::handleTimer(Entry entry, Time now, Actions &actions) {
  Record &record = entry->second;
  if (isFinished(record.State))
    return erase(entry);
  ServiceId service = record.Service;
  if (std::holds_alternative<QueryingPreviousOwner>(record.State))
    return finish(entry,
                  {.Outcome = RefusedOutcome::Unknown,
                   .Why = Reason::MayHaveRun,
                   .RetryAfter = DefaultRetryAfter},
                  now, actions);
  if (std::holds_alternative<Adopted>(record.State))
    return finish(
        entry,
        {.Outcome = RefusedOutcome::Unknown, .Why = Reason::TargetSilent}, now,
        actions);
  if (std::holds_alternative<Queued>(record.State))
    return finish(entry, {.Why = Reason::DeadlinePassed}, now, actions);
  if (std::holds_alternative<BackingOff>(record.State)) {
    enqueue(entry, true, now);
    return dispatch(service, now, actions);
  }
  const auto &running = std::get<Running>(record.State);
  bool again = record.Request.Content.Idempotent && !running.AnsweredBy &&
               now < record.Deadline;
  if (running.AnsweredBy && now < record.Deadline)
    return setTimer(entry, record.Deadline);
  release(entry, RequestEnd::Silent, now);
  if (again) {
    // A late answer of this target is still accepted, see `handleAnswerPart`.
    retryOrRefuse(entry, Reason::TargetSilent, now, actions);
  } else {
    finish(entry,
           {.Outcome = RefusedOutcome::Unknown, .Why = Reason::TargetSilent},
           now, actions);
  }
  dispatch(service, now, actions);
}

void RequestPath::tick(Time now, Actions &actions) {
  while (!Timers.empty() && Timers.begin()->first <= now) {
    RequestKey key = Timers.begin()->second;
    Timers.erase(Timers.begin());
    Entry entry = Records.find(key);
    if (entry != Records.end())
      handleTimer(entry, now, actions);
  }
  for (auto &[service, queue] : Queues)
    if (!queue.empty())
      dispatch(service, now, actions);
}

void RequestPath::setTimer(Entry entry, Time at) {
  Timers.erase({entry->second.TimerAt, entry->first});
  entry->second.TimerAt = at;
  Timers.emplace(at, entry->first);
}

void RequestPath::setState(Entry entry, RequestState state) {
  if (std::holds_alternative<Queued>(entry->second.State))
    --QueuedCount;
  entry->second.State = state;
  if (std::holds_alternative<Queued>(entry->second.State))
    ++QueuedCount;
}

void RequestPath::erase(Entry entry) {
  Timers.erase({entry->second.TimerAt, entry->first});
  CachedBytes -= entry->second.CachedBytes;
  Records.erase(entry);
}

} // namespace chicory
