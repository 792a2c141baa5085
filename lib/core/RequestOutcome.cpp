// What targets answer, and what callers are told: the second half of
// `RequestPath`.

#include "RequestPath.h"

namespace chicory {

namespace {

constexpr size_t MaxTries = 4;

/// True where a request was sent to a target at some time.
template <typename Record>
bool wasTried(const Record &record, TargetId target) {
  return std::find(record.Tried.begin(), record.Tried.end(), target) !=
         record.Tried.end();
}

} // namespace

bool RequestPath::passToFormerOwner(const PacketInFlight &packet, uint8_t hops,
                                    Time now, Actions &actions) {
  uint64_t hash = hashFlow(packet.Content.Flow);
  OwnershipView view = Shared.Owners.ownershipOf(hash, now);
  if (hops >= MaxRequestHops ||
      !Shared.Members.isReachable(view.PreviousOwner, now))
    return false;
  Shared.forward(view.PreviousOwner, packet, hops + 1, actions);
  return true;
}

void RequestPath::fromTarget(const PacketInFlight &packet, uint8_t hops,
                             Time now, Actions &actions) {
  Shared.Book.recordPacket(packet.From, now);
  const Packet &content = packet.Content;
  Entry entry =
      Records.find({.Flow = content.Flow, .Request = content.Request});
  if (entry == Records.end()) {
    // The instance that sent the request may have owned the flow before.
    if (!passToFormerOwner(packet, hops, now, actions))
      adopt(packet, now, actions);
    return;
  }
  if (content.Kind == PacketKind::Answer)
    answerPart(entry, packet, now, actions);
  else
    refusedByTarget(entry, packet, now, actions);
}

void RequestPath::adopt(const PacketInFlight &packet, Time now,
                        Actions &actions) {
  // The instance that sent this request is gone, and its caller still waits.
  // An answer is relayed; a refusal can only become "unknown", since it can't
  // be told what else that instance did.
  const Packet &content = packet.Content;
  if (Shared.History.serviceOfTarget(packet.From) == ServiceId{})
    return Shared.refuse(Reason::ForeignSource);
  if (content.Kind != PacketKind::Answer)
    return refuseStateless(
        content,
        {.Outcome = RefusedOutcome::Unknown, .Why = Reason::MayHaveRun},
        actions);
  if (Records.size() >= Shared.Options.Requests.MaxRequests)
    return Shared.sendToCaller(packet, actions);
  Time until = now + Shared.Options.Requests.MaxRequestLife;
  PacketInFlight request = barePacket(PacketKind::Request, content.Flow, false);
  request.Content.Request = content.Request;
  Entry entry = add(request, until);
  setLife(entry, Adopted{.AnsweredBy = packet.From});
  answerPart(entry, packet, now, actions);
}

void RequestPath::answerPart(Entry entry, const PacketInFlight &packet,
                             Time now, Actions &actions) {
  Record &record = entry->second;
  TargetId from = packet.From;
  bool expected = false;
  if (auto *running = std::get_if<Running>(&record.Life)) {
    expected =
        wasTried(record, from) && running->AnsweredBy.value_or(from) == from;
    if (expected)
      running->AnsweredBy = from;
  } else if (const auto *adopted = std::get_if<Adopted>(&record.Life)) {
    expected = adopted->AnsweredBy == from;
  } else if (!isFinished(record.Life) && wasTried(record, from)) {
    // A target that was thought silent answers before the next one is tried.
    expected = true;
    setLife(entry, Adopted{.AnsweredBy = from});
  }
  if (!expected)
    return Shared.refuse(Reason::StrayAnswer);
  uint32_t part = packet.Content.Part;
  if (!record.Parts.emplace(part, packet).second)
    return; // A duplicate of a part that the caller has.
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
  const auto *running = std::get_if<Running>(&entry->second.Life);
  bool otherAnswered = running != nullptr && running->AnsweredBy != running->At;
  if (otherAnswered)
    sendCancel(entry->first, running->At, actions);
  release(entry, otherAnswered ? RequestEnd::Cancelled : RequestEnd::Answered,
          now);
  ++Shared.Stats.RequestsAnswered;
  setLife(entry, Answered{});
  --Unfinished;
  Record &record = entry->second;
  // Duplicates of the request get the same answer again, while memory allows.
  if (CachedBytes > Shared.Options.Requests.MaxCachedBytes) {
    CachedBytes -= record.CachedBytes;
    record.CachedBytes = 0;
    record.Parts.clear();
  }
  setTimer(entry, record.Deadline + KeepAfterDeadline);
}

void RequestPath::release(Entry entry, RequestEnd how, Time now) {
  const auto *running = std::get_if<Running>(&entry->second.Life);
  if (running != nullptr)
    Shared.Book.requestEnded(running->At, how, running->SentAt, now);
}

void RequestPath::refusedByTarget(Entry entry, const PacketInFlight &packet,
                                  Time now, Actions &actions) {
  const Packet &content = packet.Content;
  if (content.Why == Reason::TargetDraining)
    Shared.Book.markDraining(packet.From, true, now);
  const auto *running = std::get_if<Running>(&entry->second.Life);
  if (running == nullptr || running->At != packet.From)
    return Shared.refuse(Reason::StrayAnswer);
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
      BackOffLeast + Duration(Shared.Random() % BackOffSpread.count());
  bool inTime = now + backOff < record.Deadline;
  if (record.Tried.size() >= MaxTries || !inTime || RetryTokens < 1) {
    Reason final = RetryTokens < 1 ? Reason::RetryBudget : why;
    return finish(entry, {.Why = final, .RetryAfter = BackOffSpread * 5}, now,
                  actions);
  }
  RetryTokens -= 1;
  Shared.retried(why);
  setLife(entry, BackingOff{});
  setTimer(entry, now + backOff);
}

void RequestPath::finish(Entry entry, RefusedState how, Time now,
                         Actions &actions) {
  if (!entry->second.Sole || entry->second.MayHaveRun)
    how.Outcome = RefusedOutcome::Unknown;
  setLife(entry, how);
  --Unfinished;
  setTimer(entry, std::max(entry->second.Deadline, now) + KeepAfterDeadline);
  tellRefused(entry->first.Flow, entry->first.Request, how, actions);
}

void RequestPath::refuseStateless(const Packet &request, RefusedState how,
                                  Actions &actions) {
  tellRefused(request.Flow, request.Request, how, actions);
}

void RequestPath::tellRefused(const FlowKey &flow, RequestId request,
                              const RefusedState &how, Actions &actions) {
  Shared.refuse(how.Why);
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

void RequestPath::repeatOutcome(const Record &record, Actions &actions) {
  const Packet &request = record.Request.Content;
  if (const auto *refused = std::get_if<RefusedState>(&record.Life))
    return tellRefused(request.Flow, request.Request, *refused, actions);
  if (!std::holds_alternative<Answered>(record.Life))
    return; // Its outcome is still to come.
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
