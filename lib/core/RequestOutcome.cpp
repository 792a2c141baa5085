// Answers of targets and outcomes for callers: the second half of
// `RequestPath`.

#include "RequestPath.h"

namespace chicory {

namespace {

constexpr size_t MaxTries = 4;

/// Returns whether a request was ever sent to a target.
template <typename Record>
bool wasTried(const Record &record, TargetId target) {
  return std::find(record.Tried.begin(), record.Tried.end(), target) !=
         record.Tried.end();
}

} // namespace

bool RequestPath::forwardToFormerOwner(const PacketInFlight &packet,
                                       uint8_t hops, Time now,
                                       Actions &actions) {
  uint64_t hash = hashFlow(packet.Content.Flow);
  OwnershipView view = Shared.Ownership.ownershipOf(hash, now);
  if (hops >= MaxRequestHops ||
      !Shared.Members.isReachable(view.PreviousOwner, now))
    return false;
  Shared.forward(view.PreviousOwner, packet, hops + 1, actions);
  return true;
}

void RequestPath::fromTarget(const PacketInFlight &packet, uint8_t hops,
                             Time now, Actions &actions) {
  Shared.TargetStates.recordPacket(packet.From, now);
  const Packet &content = packet.Content;
  Entry entry =
      Records.find({.Flow = content.Flow, .Request = content.Request});
  if (entry == Records.end()) {
    // The request may have been sent by the previous owner of the flow.
    if (!forwardToFormerOwner(packet, hops, now, actions))
      adoptAnswer(packet, now, actions);
    return;
  }
  if (content.Kind == PacketKind::Answer)
    handleAnswerPart(entry, packet, now, actions);
  else
    handleTargetRefusal(entry, packet, now, actions);
}

void RequestPath::adoptAnswer(const PacketInFlight &packet, Time now,
                              Actions &actions) {
  // The instance that sent this request is unreachable and the caller still
  // waits. An answer is relayed. A refusal becomes "unknown", because that
  // instance may have sent the request to other targets too.
  const Packet &content = packet.Content;
  if (Shared.History.serviceOfTarget(packet.From) == ServiceId{})
    return Shared.countRefusal(Reason::ForeignSource);
  if (content.Kind != PacketKind::Answer)
    return refuseWithoutRecord(
        content,
        {.Outcome = RefusedOutcome::Unknown, .Why = Reason::MayHaveRun},
        actions);
  if (Records.size() >= Shared.Options.Requests.MaxRequests)
    return Shared.sendToCaller(packet, actions);
  Time until = now + Shared.Options.Requests.MaxRequestLife;
  PacketInFlight request = barePacket(PacketKind::Request, content.Flow, false);
  request.Content.Request = content.Request;
  Entry entry = add(request, until);
  setState(entry, Adopted{.AnsweredBy = packet.From});
  handleAnswerPart(entry, packet, now, actions);
}

void RequestPath::handleAnswerPart(Entry entry, const PacketInFlight &packet,
                                   Time now, Actions &actions) {
  Record &record = entry->second;
  TargetId from = packet.From;
  bool expected = false;
  if (auto *running = std::get_if<Running>(&record.State)) {
    expected =
        wasTried(record, from) && running->AnsweredBy.value_or(from) == from;
    if (expected)
      running->AnsweredBy = from;
  } else if (const auto *adopted = std::get_if<Adopted>(&record.State)) {
    expected = adopted->AnsweredBy == from;
  } else if (!isFinished(record.State) && wasTried(record, from)) {
    // A target whose answer was overdue answers before the next one is tried.
    expected = true;
    setState(entry, Adopted{.AnsweredBy = from});
  }
  if (!expected)
    return Shared.countRefusal(Reason::StrayAnswer);
  uint32_t part = packet.Content.Part;
  if (!record.Parts.emplace(part, packet).second)
    return; // The caller already has this part.
  size_t bytes = static_cast<size_t>(packet.Datagram.size()) + sizeof(packet);
  record.CachedBytes += bytes;
  CachedBytes += bytes;
  if (packet.Content.Last)
    record.LastPart = part;
  Shared.sendToCaller(packet, actions);
  bool whole = record.LastPart && record.Parts.size() == *record.LastPart + 1;
  if (!whole)
    return;
  ServiceId service = record.Service;
  finishAnswered(entry, now, actions);
  dispatch(service, now, actions);
}

void RequestPath::finishAnswered(Entry entry, Time now, Actions &actions) {
  const auto *running = std::get_if<Running>(&entry->second.State);
  bool otherAnswered =
      running != nullptr && running->AnsweredBy != running->Target;
  if (otherAnswered)
    sendCancel(entry->first, running->Target, actions);
  release(entry, otherAnswered ? RequestEnd::Cancelled : RequestEnd::Answered,
          now);
  ++Shared.Stats.RequestsAnswered;
  setState(entry, Answered{});
  --Unfinished;
  Record &record = entry->second;
  // The answer is kept for duplicates of the request if the memory limit
  // allows.
  if (CachedBytes > Shared.Options.Requests.MaxCachedBytes) {
    CachedBytes -= record.CachedBytes;
    record.CachedBytes = 0;
    record.Parts.clear();
  }
  setTimer(entry, record.Deadline + KeepAfterDeadline);
}

void RequestPath::release(Entry entry, RequestEnd how, Time now) {
  const auto *running = std::get_if<Running>(&entry->second.State);
  if (running != nullptr)
    Shared.TargetStates.requestEnded(running->Target, how, running->SentAt,
                                     now);
}

void RequestPath::handleTargetRefusal(Entry entry, const PacketInFlight &packet,
                                      Time now, Actions &actions) {
  const Packet &content = packet.Content;
  if (content.Why == Reason::TargetDraining)
    Shared.TargetStates.markDraining(packet.From, true, now);
  const auto *running = std::get_if<Running>(&entry->second.State);
  if (running == nullptr || running->Target != packet.From)
    return Shared.countRefusal(Reason::StrayAnswer);
  ServiceId service = entry->second.Service;
  bool notRun = content.Kind == PacketKind::Refused &&
                content.Outcome == RefusedOutcome::NotRun;
  if (content.Kind == PacketKind::Reset) {
    release(entry, RequestEnd::Reset, now);
    if (entry->second.Request.Content.Idempotent)
      retryOrRefuse(entry, Reason::TargetReset, now, actions);
    else
      finish(entry,
             {.Outcome = RefusedOutcome::Unknown, .Why = Reason::TargetReset},
             now, actions);
  } else if (!notRun) {
    release(entry, RequestEnd::Cancelled, now);
    finish(entry, {.Outcome = RefusedOutcome::Unknown, .Why = content.Why}, now,
           actions);
  } else if (content.Why == Reason::TargetDeadline) {
    release(entry, RequestEnd::Cancelled, now);
    finish(entry, {.Why = Reason::TargetDeadline}, now, actions);
  } else {
    release(entry, RequestEnd::Shed, now);
    retryOrRefuse(entry,
                  content.Why == Reason::TargetDraining ? Reason::TargetDraining
                                                        : Reason::TargetShed,
                  now, actions);
  }
  dispatch(service, now, actions);
}

void RequestPath::retryOrRefuse(Entry entry, Reason why, Time now,
                                Actions &actions) {
  Record &record = entry->second;
  if (why == Reason::TargetSilent || why == Reason::TargetReset)
    record.MayHaveRun = true;
  Duration backOff =
      BackOffMin + Duration(Shared.Random() % BackOffJitter.count());
  bool inTime = now + backOff < record.Deadline;
  if (record.Tried.size() >= MaxTries || !inTime || RetryTokens < 1) {
    Reason final = RetryTokens < 1 ? Reason::RetryBudget : why;
    return finish(entry, {.Why = final, .RetryAfter = BackOffJitter * 5}, now,
                  actions);
  }
  RetryTokens -= 1;
  Shared.countRetry(why);
  setState(entry, BackingOff{});
  setTimer(entry, now + backOff);
}

void RequestPath::finish(Entry entry, RefusedState how, Time now,
                         Actions &actions) {
  if (!entry->second.Exclusive || entry->second.MayHaveRun)
    how.Outcome = RefusedOutcome::Unknown;
  setState(entry, how);
  --Unfinished;
  setTimer(entry, std::max(entry->second.Deadline, now) + KeepAfterDeadline);
  sendRefusal(entry->first.Flow, entry->first.Request, how, actions);
}

void RequestPath::refuseWithoutRecord(const Packet &request, RefusedState how,
                                      Actions &actions) {
  sendRefusal(request.Flow, request.Request, how, actions);
}

void RequestPath::sendRefusal(const FlowKey &flow, RequestId request,
                              const RefusedState &how, Actions &actions) {
  Shared.countRefusal(how.Why);
  if (how.Outcome == RefusedOutcome::NotRun)
    ++Shared.Stats.RequestsNotRun;
  else
    ++Shared.Stats.RequestsUnknown;
  PacketInFlight out = barePacket(PacketKind::Refused, flow, true);
  out.Content.Request = request;
  out.Content.Outcome = how.Outcome;
  out.Content.Why = how.Why;
  auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(how.RetryAfter);
  out.Content.RetryAfterMs = static_cast<uint32_t>(ms.count());
  Shared.sendToCaller(out, actions);
}

void RequestPath::resendOutcome(const Record &record, Actions &actions) {
  const Packet &request = record.Request.Content;
  if (const auto *refused = std::get_if<RefusedState>(&record.State))
    return sendRefusal(request.Flow, request.Request, *refused, actions);
  if (!std::holds_alternative<Answered>(record.State))
    return; // It has no outcome yet.
  for (const auto &[number, part] : record.Parts)
    Shared.sendToCaller(part, actions);
}

void RequestPath::sendCancel(const RequestKey &key, TargetId target,
                             Actions &actions) {
  PacketInFlight cancel = barePacket(PacketKind::Cancel, key.Flow, false);
  cancel.Content.Request = key.Request;
  Shared.sendToTarget(target, cancel, actions);
}

} // namespace chicory
