#include "RequestPath.h"

namespace chicory {

namespace {

constexpr Duration UnsettledRetryAfter = std::chrono::seconds(1);
// An idempotent request is sent to a second target after this many usual
// service times without an answer.
constexpr int SilentServiceTimes = 4;
constexpr Duration SilentLeast = std::chrono::milliseconds(200);

} // namespace

RequestPath::RequestPath(CoreState &state, FlowPath &flows)
    : Shared(state), Flows(flows),
      RetryTokens(state.Options.Requests.RetryBurst) {}

RequestPath::Standing RequestPath::standing(const FlowKey &flow, Time deadline,
                                            Time now) const {
  const RequestOptions &options = Shared.Options.Requests;
  OwnershipView view = Shared.Owners.ownershipOf(hashFlow(flow), now);
  if (view.Owner != Shared.self())
    return {.Why = Reason::NotOwner, .RetryAfter = UnsettledRetryAfter};
  if (!view.HandOverComplete)
    return {.Why = Reason::HandOverPending, .RetryAfter = UnsettledRetryAfter};
  if (view.LeaseUntil <= now)
    return {.Why = Reason::LeaseLapsed, .RetryAfter = UnsettledRetryAfter};
  if (deadline > now + options.MaxRequestLife)
    return {.Why = Reason::DeadlineTooFar};
  // Whoever acted before `OwnedSince` accepted no request with a deadline
  // after this time; so a later deadline proves that the request is new.
  Time provenAfter =
      view.OwnedSince + options.MaxRequestLife + 2 * options.MaxClockSkew;
  if (deadline > provenAfter)
    return {.Sole = true};
  bool canAsk = Shared.Members.isReachable(view.PreviousOwner, now);
  return {.Why = Reason::MayHaveRun,
          .Ask = canAsk ? view.PreviousOwner : InstanceId{},
          .RetryAfter = provenAfter - deadline};
}

void RequestPath::request(const PacketInFlight &packet, uint8_t hops, Time now,
                          Actions &actions) {
  const Packet &content = packet.Content;
  RequestKey key{.Flow = content.Flow, .Request = content.Request};
  if (auto it = Records.find(key); it != Records.end())
    return repeatOutcome(it->second, actions);
  Time deadline = Shared.fromWire(content.DeadlineMs);
  Standing who = standing(content.Flow, deadline, now);
  // Any home may run an idempotent request, owner or not; so no instance can
  // promise for a duplicate that reaches another one.
  who.Sole = who.Sole && !content.Idempotent;
  // Once its record may have been forgotten, nobody can tell what became of a
  // request.
  bool remembered = now < deadline + KeepAfterDeadline;
  RefusedOutcome ifRefused =
      who.Sole && remembered ? RefusedOutcome::NotRun : RefusedOutcome::Unknown;
  if (deadline <= now)
    return refuseStateless(
        content, {.Outcome = ifRefused, .Why = Reason::DeadlinePassed},
        actions);
  if (Records.size() >= Shared.Options.Requests.MaxRequests)
    // Without a record a later duplicate could run: "not run" can't be said.
    return refuseStateless(content,
                           {.Outcome = RefusedOutcome::Unknown,
                            .Why = Reason::RequestTableFull,
                            .RetryAfter = UnsettledRetryAfter},
                           actions);
  bool ask = !content.Idempotent && !who.Sole && who.Ask != InstanceId{};
  if (!content.Idempotent && !who.Sole && !ask)
    return refuseStateless(content,
                           {.Outcome = RefusedOutcome::Unknown,
                            .Why = who.Why,
                            .RetryAfter = who.RetryAfter},
                           actions);
  Entry entry = add(packet, deadline);
  entry->second.Sole = who.Sole;
  if (!ask)
    return admit(entry, now, actions);
  setTimer(entry, now + Shared.Options.Requests.QueryTimeout);
  actions.emplace_back(
      SendQuery{.To = who.Ask,
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
  entry->second.Life = AskingPrevious{};
  ++Unfinished;
  setTimer(entry, deadline);
  return entry;
}

ServiceId RequestPath::serviceFor(const FlowKey &flow, Reason &why) {
  // An open flow keeps its service, whatever the newest rules say.
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

bool RequestPath::waitTooLong(const Service &service, Time deadline, Time now,
                              Duration &wait) const {
  auto it = Queues.find(service.Id);
  size_t ahead = it == Queues.end() ? 0 : it->second.size();
  if (ahead >= Shared.Options.Requests.MaxQueue)
    return true;
  Duration usual = Shared.Book.serviceTime(service.Id);
  uint32_t share = std::max(1U, Shared.Book.shareOf(service));
  if (ahead == 0 && Shared.Book.inFlightOf(service) < share)
    return false;
  // The requests ahead, and half a service time until the first slot is free.
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
  if (waitTooLong(*service, record.Deadline, now, wait))
    return finish(entry,
                  {.Why = Reason::QueueFull,
                   .RetryAfter = std::max(wait, Duration(BackOffSpread))},
                  now, actions);
  setTimer(entry, record.Deadline);
  enqueue(entry, false, now);
  dispatch(record.Service, now, actions);
}

void RequestPath::enqueue(Entry entry, bool first, Time now) {
  std::deque<RequestKey> &queue = Queues[entry->second.Service];
  setLife(entry, Queued{});
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
                   std::holds_alternative<Queued>(entry->second.Life);
    if (!waiting) {
      queue->second.pop_front(); // It was refused or cancelled meanwhile.
      continue;
    }
    if (service == nullptr) {
      finish(entry, {.Why = Reason::NoTarget}, now, actions);
      continue;
    }
    // Don't start what can hardly be answered in time: its slot is worth more
    // to a request that can.
    Duration usual = Shared.Book.serviceTime(id);
    if (now + usual / 2 > entry->second.Deadline) {
      finish(entry, {.Why = Reason::QueueFull, .RetryAfter = usual}, now,
             actions);
      continue;
    }
    // A borrowed slot may turn out to be taken. Without a retry to spare the
    // request waits for a slot of this instance's own.
    bool mayBorrow = RetryTokens >= 1;
    std::optional<TargetId> target = Shared.Book.chooseForRequest(
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
  setLife(entry, Running{.At = target, .SentAt = now, .AnsweredBy = {}});
  record.Tried.push_back(target);
  Time next = record.Deadline;
  if (record.Request.Content.Idempotent) {
    Duration silent =
        std::max(Duration(SilentLeast),
                 Shared.Book.serviceTime(record.Service) * SilentServiceTimes);
    next = std::min(next, now + silent);
  }
  setTimer(entry, next);
  Shared.Book.requestSent(target);
  Shared.sendToTarget(target, record.Request, actions);
}

void RequestPath::cancel(const Packet &packet, Time now, Actions &actions) {
  Entry entry = Records.find({.Flow = packet.Flow, .Request = packet.Request});
  if (entry != Records.end() && !isFinished(entry->second.Life))
    abandon(entry, now, actions);
}

void RequestPath::flowClosed(const FlowKey &flow, Time now, Actions &actions) {
  Entry it = Records.lower_bound({.Flow = flow, .Request = RequestId{}});
  for (; it != Records.end() && it->first.Flow == flow; ++it)
    if (!isFinished(it->second.Life))
      abandon(it, now, actions);
}

void RequestPath::abandon(Entry entry, Time now, Actions &actions) {
  RefusedState how{.Why = Reason::Cancelled};
  ServiceId service = entry->second.Service;
  if (const auto *running = std::get_if<Running>(&entry->second.Life)) {
    sendCancel(entry->first, running->At, actions);
    how.Outcome = RefusedOutcome::Unknown;
    release(entry, RequestEnd::Cancelled, now);
  }
  finish(entry, how, now, actions);
  dispatch(service, now, actions);
}

void RequestPath::query(const FlowQuery &query, Time now, Actions &actions) {
  FlowReply reply{.Flow = query.Flow,
                  .Request = query.Request,
                  .Result = QueryResult::MayBeSeen,
                  .Replier = Shared.self()};
  auto tenure = Shared.Owners.formerOwnership(hashFlow(query.Flow), now);
  const RequestOptions &options = Shared.Options.Requests;
  if (Records.contains({.Flow = query.Flow, .Request = query.Request})) {
    reply.Result = QueryResult::Seen;
  } else if (tenure) {
    // "Not seen" holds for good: this instance accepts nothing for the flow
    // any more, and the one before it had left before this deadline's time.
    Time provenAfter =
        tenure->OwnedSince + options.MaxRequestLife + 2 * options.MaxClockSkew;
    if (tenure->HandOverComplete &&
        Shared.fromWire(query.DeadlineMs) > provenAfter)
      reply.Result = QueryResult::NotSeen;
    else if (query.Hops < MaxRequestHops &&
             Shared.Members.isReachable(tenure->PreviousOwner, now)) {
      FlowQuery onward = query;
      ++onward.Hops;
      actions.emplace_back(
          SendQuery{.To = tenure->PreviousOwner, .Message = onward});
      return;
    }
  }
  actions.emplace_back(SendQuery{.To = query.Asker, .Message = reply});
}

void RequestPath::reply(const FlowReply &reply, Time now, Actions &actions) {
  Entry entry = Records.find({.Flow = reply.Flow, .Request = reply.Request});
  bool asked = entry != Records.end() &&
               std::holds_alternative<AskingPrevious>(entry->second.Life);
  if (!asked)
    return;
  switch (reply.Result) {
  case QueryResult::NotSeen:
    entry->second.Sole = true;
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
                   .RetryAfter = UnsettledRetryAfter},
                  now, actions);
  }
}

void RequestPath::timer(Entry entry, Time now, Actions &actions) {
  Record &record = entry->second;
  if (isFinished(record.Life))
    return erase(entry);
  ServiceId service = record.Service;
  if (std::holds_alternative<AskingPrevious>(record.Life))
    return finish(entry,
                  {.Outcome = RefusedOutcome::Unknown,
                   .Why = Reason::MayHaveRun,
                   .RetryAfter = UnsettledRetryAfter},
                  now, actions);
  if (std::holds_alternative<Adopted>(record.Life))
    return finish(
        entry,
        {.Outcome = RefusedOutcome::Unknown, .Why = Reason::TargetSilent}, now,
        actions);
  if (std::holds_alternative<Queued>(record.Life))
    return finish(entry, {.Why = Reason::DeadlinePassed}, now, actions);
  if (std::holds_alternative<BackingOff>(record.Life)) {
    enqueue(entry, true, now);
    return dispatch(service, now, actions);
  }
  const auto &running = std::get<Running>(record.Life);
  bool again = record.Request.Content.Idempotent && !running.AnsweredBy &&
               now < record.Deadline;
  if (running.AnsweredBy && now < record.Deadline)
    return setTimer(entry, record.Deadline);
  release(entry, RequestEnd::Silent, now);
  if (again) {
    // A late answer of this target is still taken: see `answerPart`.
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
      timer(entry, now, actions);
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

void RequestPath::setLife(Entry entry, RequestLife life) {
  if (std::holds_alternative<Queued>(entry->second.Life))
    --QueuedCount;
  entry->second.Life = life;
  if (std::holds_alternative<Queued>(entry->second.Life))
    ++QueuedCount;
}

void RequestPath::erase(Entry entry) {
  Timers.erase({entry->second.TimerAt, entry->first});
  CachedBytes -= entry->second.CachedBytes;
  Records.erase(entry);
}

} // namespace chicory
