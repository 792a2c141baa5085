#include "RegistrySync.h"

#include <algorithm>
#include <array>
#include <sys/epoll.h>
#include <sys/socket.h>

namespace chicory::edge {

namespace {

constexpr size_t ReceiveBufferBytes = 2048;
constexpr int MaxReadsPerEvent = 64;
// How often, and for how long after its start, an instance with a list tells
// the instances that may wait for one.
constexpr Duration AnnounceInterval = std::chrono::seconds(2);
constexpr Duration AnnounceFor = StartupReads::DelayMax;

/// Returns the source of updates for log lines. The default id stands for the
/// registry.
std::string sourceName(InstanceId from) {
  return from.Value == 0 ? "registry" : formatIp(from.Value);
}

int64_t millisecondsOf(Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace

RegistrySync::RegistrySync(EventLoop &loop, Log &log,
                           const EdgeSettings &settings,
                           const RegistryDialect &dialect,
                           FileDescriptor socket, SharedState &shared)
    : Logger(log), Settings(settings), Dialect(dialect), State(shared),
      Events(loop), Socket(std::move(socket)),
      Watcher(dialect, settings.Watcher, settings.Core.Seed, settings.Zone),
      Tree({.Self = InstanceId{settings.Ip},
            .Zone = settings.Zone,
            .PollInterval = settings.Watcher.PollInterval,
            .ApplyWithin = settings.Core.ApplyWithin,
            .RetryMax = settings.Watcher.RetryMax,
            .Seed = settings.Core.Seed}),
      Writer(loop, log, settings, dialect, Watcher.cache()),
      Registry(loop, settings.Ip, settings.Registry, dialect),
      Pages(loop, settings.Ip, Watcher.cache()),
      Gossip(InstanceId{settings.Ip}, settings.Zone) {
  Watcher.setStalenessLimit(Tree.stalenessLimit(), Tree.retryMax());
  Events.watch(Socket.get(), EPOLLIN, [this](uint32_t) { receiveMessages(); });
}

void RegistrySync::run(Time now) {
  Registry.expire(now);
  Pages.expire(now);
  forwardPending();
  shareUnreachableBackends(now);
  sendHealthReports();
  updateRouteHistory(now);
  Watcher.observeGeneration(Writer.takeNewGeneration(), now);
  if (Watcher.latestGeneration())
    Writer.learnGeneration(Watcher.latestGeneration());
  if (!Leaving) {
    callRegistry(now);
    updateStaleness(now);
  }
  if (Watcher.started())
    Writer.run(mayWriteShared(), Tree.stalenessLimit(), now);
  sendGossip(now);
  announceList(now);
}

Time RegistrySync::nextAt() const {
  Time out = std::min(Registry.deadline(), Pages.deadline());
  if (Watcher.started())
    out = std::min(out, Writer.nextAt(mayWriteShared(), Tree.stalenessLimit()));
  if (mayGossip())
    out = std::min(out, Gossip.nextAt(Stale));
  if (mayAnnounceList())
    out = std::min(out, AnnounceAt);
  if (!Leaving && !Registry.busy())
    out = std::min(out, Watcher.nextAt());
  return out;
}

void RegistrySync::callRegistry(Time now) {
  if (Registry.busy())
    return;
  std::optional<TimedCall> call = Watcher.next(now);
  if (!call)
    return;
  CallKind kind = call->Call.Kind;
  Registry.call(std::move(call->Call), call->Timeout,
                [this, kind](const HttpClient::Result &it) {
                  logStartupCall(kind, it);
                  handleResponse(it);
                });
}

/// Logs the duration of each call until the first complete copy, so that the
/// log explains the time of a start.
void RegistrySync::logStartupCall(CallKind kind,
                                  const HttpClient::Result &result) {
  if (Watcher.complete() || !result)
    return;
  Logger.write(
      LogLine("start_call")
          .with("kind", callKindName(kind))
          .with("status", result->Status)
          .with("since_start_ms", millisecondsOf(steadyNow() - StartedAt))
          .with("first_byte_ms", millisecondsOf(result->TimeToFirstByte))
          .with("took_ms", millisecondsOf(result->TotalTime))
          .with("bytes", static_cast<int64_t>(result->Body.size())));
}

RegistryCallCounts RegistrySync::callCounts() const {
  RegistryCallCounts out = Registry.counts();
  return out += Writer.callCounts();
}

/// Runs after the updates were passed to the packet thread: callers who wait
/// for the first updates must not wait for this as well.
void RegistrySync::updateRouteHistory(Time now) {
  if (!std::exchange(RoutesChanged, false))
    return;
  Writer.learnRoutes(Watcher.cache().routes(), Watcher.routeHistory(), now);
}

void RegistrySync::handleResponse(const HttpClient::Result &result) {
  Time now = steadyNow();
  std::vector<token::Event> updates;
  Position before = Watcher.cache().position();
  bool provesCurrent =
      Watcher.answered(toRegistryAnswer(result, Dialect), now, updates);
  logRestore(before, InstanceId{});
  applyUpdates(std::move(updates), InstanceId{}, now);
  if (!result)
    Logger.write(LogLine("registry_call_failed")
                     .with("why", httpFailureName(result.error())));
  else if (result->Status != HttpOk && result->Status != HttpNotFound)
    Logger.write(
        LogLine("registry_call_failed").with("status", result->Status));
  if (!provesCurrent)
    return;
  // The first list is the starting point, not a change to push.
  if (PushedPosition == Position{})
    PushedPosition = Watcher.cache().position();
  sendPush(true, now);
}

/// Logs a restore of the registry. If `copy_revision` is above `revision`, the
/// registry has lost the changes in between. `held` is the number of lost items
/// that are retained here until they are written again.
void RegistrySync::logRestore(const Position &before, InstanceId from) {
  Position after = Watcher.cache().position();
  if (before == Position{} || before.Generation == after.Generation)
    return;
  Logger.write(
      LogLine("registry_restored")
          .with("from", sourceName(from))
          .with("generation", static_cast<int64_t>(after.Generation.Value))
          .with("former", static_cast<int64_t>(before.Generation.Value))
          .with("copy_revision", before.Revision)
          .with("revision", after.Revision)
          .with("held", static_cast<int64_t>(Watcher.cache().retainedCount())));
}

void RegistrySync::applyUpdates(std::vector<token::Event> updates,
                                InstanceId from, Time now) {
  for (token::Event &it : updates) {
    if (const auto *drain = std::get_if<token::ZoneDrainLearned>(&it))
      logZoneDrain(*drain, from);
    if (auto *servers = std::get_if<token::BackendsLearned>(&it)) {
      servers->ReadAt = unixMillisecondsNow();
      logBackendDrains(*servers, from);
    }
    RoutesChanged = RoutesChanged ||
                    std::holds_alternative<token::RoutesLearned>(it) ||
                    std::holds_alternative<token::PastRoutesLearned>(it);
    Pending.push_back(std::move(it));
  }
  forwardPending();
  logFirstCurrent(from, now);
  Findings findings = Watcher.takeFindings();
  for (const Finding &it : findings.items())
    Logger.write(LogLine("bad_item").with("finding", it.text()));
  if (Watcher.peers() != Gossip.registered())
    updatePeers(now);
  auto own = Gossip.registered().find(InstanceId{Settings.Ip});
  Writer.learnOwnRecord(own == Gossip.registered().end() ? nullptr
                                                         : &own->second,
                        Watcher.currentAt());
  Writer.learnDirectory(Watcher.directorySummary(), now);
}

/// Logs a zone drain as it is learned. `from` is the registry or the instance
/// that passed it on; `zone_drained` follows when the drain is in force.
void RegistrySync::logZoneDrain(const token::ZoneDrainLearned &drain,
                                InstanceId from) {
  Logger.write(LogLine("zone_drain_learned")
                   .with("zone", drain.Zone)
                   .with("active", drain.Active ? 1 : 0)
                   .with("revision", Watcher.cache().position().Revision)
                   .with("from", sourceName(from)));
}

/// Logs the drains of backend servers as they are learned; `backend_draining`
/// follows when a drain is in force.
void RegistrySync::logBackendDrains(const token::BackendsLearned &servers,
                                    InstanceId from) {
  for (const token::Registration &it : servers.Present)
    if (it.Draining)
      Logger.write(LogLine("backend_drain_learned")
                       .with("server", backendIdText(it.Id))
                       .with("revision", Watcher.cache().position().Revision)
                       .with("from", sourceName(from))
                       .with("confirmed", Watcher.wasCurrent() ? 1 : 0));
}

/// Logs when the cache is first known to be current, and by whose word.
void RegistrySync::logFirstCurrent(InstanceId from, Time now) {
  if (FirstCurrentLogged || !Watcher.wasCurrent())
    return;
  FirstCurrentLogged = true;
  Logger.write(LogLine("first_current")
                   .with("since_start_ms", millisecondsOf(now - StartedAt))
                   .with("revision", Watcher.cache().position().Revision)
                   .with("from", sourceName(from)));
}

void RegistrySync::updatePeers(Time now) {
  Gossip.learn(Watcher.peers(), now);
  token::InstancesLearned instances;
  for (const auto &[id, peer] : Gossip.registered())
    if (!peer.Leaving)
      instances.Instances.push_back({.Id = id, .Zone = peer.Zone});
  Pending.emplace_back(std::move(instances));
  forwardPending();
  Tree.learn(Gossip.treeMembers(now));
  Watcher.setStalenessLimit(Tree.stalenessLimit(), Tree.retryMax());
}

void RegistrySync::forwardPending() {
  if (Pending.empty())
    return;
  while (!Pending.empty() && State.Updates.try_enqueue(Pending.front()))
    Pending.pop_front();
  State.PacketWakeup.wake();
}

void RegistrySync::receiveMessages() {
  std::array<char, ReceiveBufferBytes> buf;
  Time now = steadyNow();
  for (int n = 0; n < MaxReadsPerEvent; ++n) {
    ssize_t size = ::recv(Socket.get(), buf.data(), buf.size(), MSG_DONTWAIT);
    if (size < 0)
      return;
    auto message = decodeDatagram({buf.data(), static_cast<size_t>(size)});
    if (!message)
      ++Traffic.Malformed;
    else if (auto *push = std::get_if<UpdatePush>(&*message))
      handlePush(*push, now);
    else if (auto *report = std::get_if<UnreachableReport>(&*message))
      handleUnreachableReport(*report, now);
    else if (auto *health = std::get_if<HealthReport>(&*message))
      handleHealthReport(*health, now);
    else
      handleFragment(std::move(std::get<Fragment>(*message)), now);
  }
}

void RegistrySync::handleFragment(Fragment fragment, Time now) {
  std::optional<std::string> bytes = Fragments.add(std::move(fragment));
  if (!bytes)
    return;
  auto push = decodeFragments(*bytes);
  if (push)
    handlePush(*push, now);
  else
    ++Traffic.Malformed;
}

/// Reports unreachable backend servers. The instances that have requests on a
/// crashed server detect it first; with a report, the others check the server
/// before they lose requests of their own.
void RegistrySync::shareUnreachableBackends(Time now) {
  token::BackendId id;
  while (State.UnreachableBackends.try_dequeue(id))
    if (ReportFilter.shouldForward(id, now))
      sendUnreachableReport(id, true);
}

void RegistrySync::handleUnreachableReport(const UnreachableReport &report,
                                           Time now) {
  ++Traffic.UnreachableReports;
  if (!ReportFilter.shouldForward(report.Backend, now))
    return;
  Pending.emplace_back(token::BackendReportedUnreachable{report.Backend});
  forwardPending();
  sendUnreachableReport(report.Backend, false);
}

void RegistrySync::sendUnreachableReport(token::BackendId id, bool isOrigin) {
  std::string bytes = encodeUnreachableReport(
      {.Sender = InstanceId{Settings.Ip}, .Backend = id});
  for (Address it : Tree.targets(isOrigin))
    send(bytes, it);
}

/// Sends the packet thread's health reports, one datagram to each receiver. A
/// lost datagram is not repeated: its receiver detects the failure by itself.
void RegistrySync::sendHealthReports() {
  token::ReportHealth report;
  while (State.HealthReports.try_dequeue(report)) {
    std::string bytes = encodeHealthReport({.Sender = InstanceId{Settings.Ip},
                                            .Backend = report.Id,
                                            .StartedAtMs = report.StartedAtMs,
                                            .Change = report.Change});
    for (InstanceId it : report.To)
      send(bytes, addressOf(it));
    Traffic.HealthReportsSent += report.To.size();
  }
}

/// Passes a received health report to the packet thread, which checks the
/// sender and the server.
void RegistrySync::handleHealthReport(const HealthReport &report, Time now) {
  ++Traffic.HealthReportsReceived;
  if (!HealthLimiter.accept(now)) {
    ++Traffic.HealthReportsOverLimit;
    return;
  }
  Pending.emplace_back(
      token::BackendHealthReported{.Sender = report.Sender,
                                   .Id = report.Backend,
                                   .StartedAtMs = report.StartedAtMs,
                                   .Change = report.Change});
  forwardPending();
}

void RegistrySync::handlePush(const UpdatePush &push, Time now) {
  if (Watcher.needsSeed(push))
    return pullSeed(push.Sender);
  Time before = Watcher.currentAt();
  std::vector<token::Event> updates;
  bool behind = Watcher.applyPush(push, now < StalePushesUntil, now, updates);
  applyUpdates(std::move(updates), push.Sender, now);
  if (behind)
    return pullUpdates(push.Sender, !Watcher.complete());
  // Passes on only what is newer than the last push by half a poll interval or
  // has further changes; less is not worth a datagram to each peer.
  bool newer =
      Watcher.currentAt() - PushedAsOf >= Settings.Watcher.PollInterval / 2 ||
      Watcher.cache().position() > PushedPosition;
  if (Watcher.currentAt() > before && newer)
    sendPush(false, now);
}

void RegistrySync::sendPush(bool fromRegistry, Time now) {
  if (!Watcher.mayPassOn())
    return;
  std::vector<Address> targets = Tree.targets(fromRegistry);
  UpdatePush push =
      Watcher.makePush(InstanceId{Settings.Ip}, PushedPosition, now);
  PushedPosition = Watcher.cache().position();
  PushedAsOf = Watcher.currentAt();
  if (targets.empty())
    return;
  for (const std::string &bytes :
       encodeDatagrams(push, ++MessagesSent, targets.size()))
    for (Address it : targets)
      send(bytes, it);
}

void RegistrySync::send(const std::string &bytes, Address target) {
  sockaddr_in to = toSockaddr(target);
  ssize_t n = ::sendto(Socket.get(), bytes.data(), bytes.size(), MSG_DONTWAIT,
                       reinterpret_cast<sockaddr *>(&to), sizeof(to));
  ++Traffic.Messages;
  if (n > 0)
    Traffic.Bytes += static_cast<uint64_t>(n);
}

void RegistrySync::pullUpdates(InstanceId from, bool whole) {
  if (Pages.busy())
    return;
  std::optional<Position> since;
  if (!whole)
    since = Watcher.cache().position();
  Pages.read(from, addressOf(from), since,
             [this](const PageResult &page) { handlePulledPage(page); });
}

/// Returns where to reach an instance. All instances use the same port, so an
/// instance without a record is reachable too.
Address RegistrySync::addressOf(InstanceId id) const {
  auto it = Gossip.registered().find(id);
  return it == Gossip.registered().end()
             ? Address{.Ip = id.Value, .Port = Settings.Peers.Port}
             : it->second.PeerAddress;
}

void RegistrySync::sendGossip(Time now) {
  if (!mayGossip())
    return;
  std::vector<Address> targets = Gossip.dueRegistered(Stale, now);
  std::vector<Address> former = Gossip.dueFormer(Stale, now);
  targets.insert(targets.end(), former.begin(), former.end());
  if (targets.empty())
    return;
  // The push has no changes. A peer that is behind its position pulls from
  // here.
  UpdatePush push = Watcher.makePush(InstanceId{Settings.Ip},
                                     Watcher.cache().position(), now);
  std::string bytes = encodePush(push);
  for (Address it : targets)
    send(bytes, it);
}

bool RegistrySync::mayAnnounceList() const {
  return !Leaving && Watcher.hasListForOthers() &&
         AnnounceAt < StartedAt + AnnounceFor;
}

/// Tells all instances that this one has a list. If a whole large deployment
/// starts, most instances wait many seconds until it is passed on to them; each
/// would list by itself otherwise, and fill the registry's link.
void RegistrySync::announceList(Time now) {
  if (!mayAnnounceList() || now < AnnounceAt)
    return;
  AnnounceAt = now + AnnounceInterval;
  InstanceId self{Settings.Ip};
  std::string bytes = encodePush(RegistryWatcher::makeListAnnouncement(self));
  for (const auto &[id, peer] : Gossip.registered())
    if (id != self)
      send(bytes, peer.PeerAddress);
}

bool RegistrySync::mayGossip() const {
  return Settings.Core.Enabled.OutageGossip && Watcher.hasAllItems() &&
         Watcher.mayPassOn();
}

void RegistrySync::pullSeed(InstanceId from) {
  if (Pages.busy())
    return;
  Pages.read(from, addressOf(from), std::nullopt,
             [this](const PageResult &page) { handleSeed(page); });
}

void RegistrySync::handleSeed(const PageResult &read) {
  LogLine line("news_from_peer");
  line.with("peer", formatIp(read.Peer.Value));
  if (!read.Page)
    return Logger.write(line.with("why", read.Error));
  std::vector<token::Event> updates;
  Watcher.applySeed(*read.Page, updates);
  Logger.write(line.with("revision", read.Page->At.Revision));
  applyUpdates(std::move(updates), read.Peer, steadyNow());
}

void RegistrySync::handlePulledPage(const PageResult &read) {
  if (read.HistoryTooShort && !read.Full) {
    // After a stale list, the changes take less of this instance's link than a
    // full copy.
    if (!Watcher.requestCatchUp())
      pullUpdates(read.Peer, true);
    return;
  }
  if (!read.Page) {
    Watcher.pullFailed();
    return Logger.write(LogLine("news_pull_failed")
                            .with("peer", formatIp(read.Peer.Value))
                            .with("why", read.Error));
  }
  Time now = steadyNow();
  std::vector<token::Event> updates;
  Position before = Watcher.cache().position();
  Watcher.applyPull(*read.Page, read.Full, now, updates);
  logRestore(before, read.Peer);
  applyUpdates(std::move(updates), read.Peer, now);
  sendPush(false, now);
}

void RegistrySync::handleSuspension(Time now) {
  // Enough time to read the datagrams that wait in the socket.
  constexpr Duration ReadTime = std::chrono::milliseconds(100);
  StalePushesUntil = now + ReadTime;
  Watcher.revalidate(now);
}

void RegistrySync::updateStaleness(Time now) {
  bool stale = Watcher.hasAllItems() && Watcher.isStale(now);
  if (stale == Stale)
    return;
  Stale = stale;
  Logger.write(LogLine(stale ? "news_stale" : "news_current")
                   .with("revision", Watcher.cache().position().Revision));
}

void RegistrySync::updateBounds(const token::BoundsChanged &bounds) {
  Pending.emplace_back(bounds);
  forwardPending();
}

void RegistrySync::leave() {
  Leaving = true;
  // This is the last call to the registry, so its failure is the latest sign
  // that the registry does not answer.
  Writer.leave([this] { Stale = true; });
}

} // namespace chicory::edge
