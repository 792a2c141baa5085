#include "RegistrySync.h"

#include <algorithm>
#include <array>
#include <sys/epoll.h>
#include <sys/socket.h>

namespace chicory::edge {

namespace {

constexpr size_t ReadBytes = 2048;
constexpr int ReadsAtOnce = 64;

/// Who told news, for the log; no instance is the registry itself.
std::string senderName(InstanceId from) {
  return from.Value == 0 ? "registry" : formatIp(from.Value);
}

} // namespace

RegistrySync::RegistrySync(EventLoop &loop, Log &log,
                           const EdgeSettings &settings,
                           const RegistryDialect &dialect,
                           FileDescriptor socket, SharedState &shared)
    : Lines(log), Settings(settings), Dialect(dialect), Common(shared),
      Events(loop), Socket(std::move(socket)),
      Reader(dialect, settings.Watcher, settings.Core.Seed, settings.Zone),
      Spread({.Self = InstanceId{settings.Ip},
              .Zone = settings.Zone,
              .PollInterval = settings.Watcher.PollInterval,
              .ApplyWithin = settings.Core.ApplyWithin,
              .RetryMax = settings.Watcher.RetryMax,
              .Seed = settings.Core.Seed}),
      Records(loop, log, settings, dialect, Reader.cache()),
      Registry(loop, settings.Ip, settings.Registry, dialect),
      Pages(loop, settings.Ip, Reader.cache()),
      Others(InstanceId{settings.Ip}, settings.Zone) {
  Reader.setStalenessLimit(Spread.stalenessLimit(), Spread.retryMax());
  Events.watch(Socket.get(), EPOLLIN, [this](uint32_t) { readPushes(); });
}

void RegistrySync::run(Time now) {
  Registry.expire(now);
  Pages.expire(now);
  passNews();
  shareDoubts(now);
  learnRecord(now);
  Reader.observeGeneration(Records.takeNewGeneration(), now);
  if (Reader.latestGeneration())
    Records.learnGeneration(Reader.latestGeneration());
  if (!Leaving) {
    callRegistry(now);
    noteRegistry(now);
  }
  if (Reader.started())
    Records.run(mayWrite(), Spread.stalenessLimit(), now);
  remindOthers(now);
}

Time RegistrySync::nextAt() const {
  Time out = std::min(Registry.deadline(), Pages.deadline());
  if (Reader.started())
    out = std::min(out, Records.nextAt(mayWrite(), Spread.stalenessLimit()));
  if (mayRemind())
    out = std::min(out, Others.nextAt(Away));
  if (!Leaving && !Registry.busy())
    out = std::min(out, Reader.nextAt());
  return out;
}

void RegistrySync::callRegistry(Time now) {
  if (Registry.busy())
    return;
  std::optional<TimedCall> call = Reader.next(now);
  if (!call)
    return;
  CallKind kind = call->Call.Kind;
  Registry.call(std::move(call->Call), call->Timeout,
                [this, kind](const HttpClient::Result &it) {
                  noteStart(kind, it);
                  takeAnswer(it);
                });
}

/// Where the time of a start goes: one line for each call until all is known.
void RegistrySync::noteStart(CallKind kind, const HttpClient::Result &result) {
  if (Reader.complete() || !result)
    return;
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  auto ms = [](Duration it) {
    return static_cast<int64_t>(duration_cast<milliseconds>(it).count());
  };
  Lines.write(LogLine("start_call")
                  .with("kind", callKindName(kind))
                  .with("status", result->Status)
                  .with("since_start_ms", ms(steadyNow() - StartedAt))
                  .with("first_byte_ms", ms(result->TimeToFirstByte))
                  .with("took_ms", ms(result->TotalTime))
                  .with("bytes", static_cast<int64_t>(result->Body.size())));
}

RegistryCallCounts RegistrySync::callCounts() const {
  RegistryCallCounts out = Registry.counts();
  return out += Records.callCounts();
}

/// Comes after the news was passed on: callers who wait for the first news
/// must not wait for this as well.
void RegistrySync::learnRecord(Time now) {
  if (!std::exchange(RoutesChanged, false))
    return;
  Records.learnRoutes(Reader.cache().routes(), Reader.routeHistory(), now);
}

void RegistrySync::takeAnswer(const HttpClient::Result &result) {
  Time now = steadyNow();
  std::vector<token::Event> news;
  Position before = Reader.cache().position();
  bool learned = Reader.answered(toRegistryAnswer(result, Dialect), now, news);
  noteRestore(before, InstanceId{});
  tell(std::move(news), InstanceId{}, now);
  if (!result)
    Lines.write(LogLine("registry_call_failed")
                    .with("why", httpFailureName(result.error())));
  else if (result->Status != HttpOk && result->Status != HttpNotFound)
    Lines.write(LogLine("registry_call_failed").with("status", result->Status));
  if (!learned)
    return;
  // What came before the first list is nobody's change.
  if (PushedTo == Position{})
    PushedTo = Reader.cache().position();
  sendPush(true, now);
}

/// `copy_revision` above `revision`: what was read in between is lost in the
/// registry. `held` items of it wait for being written again.
void RegistrySync::noteRestore(const Position &before, InstanceId from) {
  Position after = Reader.cache().position();
  if (before == Position{} || before.Generation == after.Generation)
    return;
  Lines.write(
      LogLine("registry_restored")
          .with("from", senderName(from))
          .with("generation", static_cast<int64_t>(after.Generation.Value))
          .with("former", static_cast<int64_t>(before.Generation.Value))
          .with("copy_revision", before.Revision)
          .with("revision", after.Revision)
          .with("held", static_cast<int64_t>(Reader.cache().retainedCount())));
}

void RegistrySync::tell(std::vector<token::Event> news, InstanceId from,
                        Time now) {
  for (token::Event &it : news) {
    if (const auto *drain = std::get_if<token::ZoneDrainLearned>(&it))
      noteDrain(*drain, from);
    if (auto *servers = std::get_if<token::BackendsLearned>(&it))
      servers->ReadAt = unixMillisecondsNow();
    RoutesChanged = RoutesChanged ||
                    std::holds_alternative<token::RoutesLearned>(it) ||
                    std::holds_alternative<token::PastRoutesLearned>(it);
    Pending.push_back(std::move(it));
  }
  passNews();
  Findings findings = Reader.takeFindings();
  for (const Finding &it : findings.items())
    Lines.write(LogLine("bad_item").with("finding", it.text()));
  if (Reader.peers() != Others.registered())
    takePeers(now);
  auto own = Others.registered().find(InstanceId{Settings.Ip});
  Records.learnOwnRecord(own == Others.registered().end() ? nullptr
                                                          : &own->second,
                         Reader.currentAt());
  Records.learnDirectory(Reader.directorySummary(), now);
}

/// From whom an order came shows whether the registry was asked or a neighbour
/// passed it on; when it is in force follows as `zone_drained`.
void RegistrySync::noteDrain(const token::ZoneDrainLearned &drain,
                             InstanceId from) {
  Lines.write(LogLine("zone_drain_learned")
                  .with("zone", drain.Zone)
                  .with("active", drain.Active ? 1 : 0)
                  .with("revision", Reader.cache().position().Revision)
                  .with("from", senderName(from)));
}

void RegistrySync::takePeers(Time now) {
  Others.learn(Reader.peers(), now);
  token::InstancesLearned instances;
  for (const auto &[id, peer] : Others.registered())
    if (!peer.Leaving)
      instances.Instances.push_back({.Id = id, .Zone = peer.Zone});
  Pending.emplace_back(std::move(instances));
  passNews();
  Spread.learn(Others.treeMembers(now));
  Reader.setStalenessLimit(Spread.stalenessLimit(), Spread.retryMax());
}

void RegistrySync::passNews() {
  if (Pending.empty())
    return;
  while (!Pending.empty() && Common.Updates.try_enqueue(Pending.front()))
    Pending.pop_front();
  Common.PacketWakeup.wake();
}

void RegistrySync::readPushes() {
  std::array<char, ReadBytes> buf;
  Time now = steadyNow();
  for (int n = 0; n < ReadsAtOnce; ++n) {
    ssize_t size = ::recv(Socket.get(), buf.data(), buf.size(), MSG_DONTWAIT);
    if (size < 0)
      return;
    auto message = decodeDatagram({buf.data(), static_cast<size_t>(size)});
    if (!message)
      ++Traffic.Malformed;
    else if (auto *push = std::get_if<UpdatePush>(&*message))
      takePush(*push, now);
    else if (auto *doubt = std::get_if<UnreachableReport>(&*message))
      takeDoubt(*doubt, now);
    else
      takeFragment(std::move(std::get<Fragment>(*message)), now);
  }
}

void RegistrySync::takeFragment(Fragment fragment, Time now) {
  std::optional<std::string> bytes = Fragments.add(std::move(fragment));
  if (!bytes)
    return;
  auto push = decodeFragments(*bytes);
  if (push)
    takePush(*push, now);
  else
    ++Traffic.Malformed;
}

/// A server that died is found by whoever had requests there. Told of it, the
/// others find out before they lose requests of their own.
void RegistrySync::shareDoubts(Time now) {
  token::BackendId id;
  while (Common.UnreachableBackends.try_dequeue(id))
    if (Doubts.shouldForward(id, now))
      sendDoubt(id, true);
}

void RegistrySync::takeDoubt(const UnreachableReport &doubt, Time now) {
  ++Traffic.UnreachableReports;
  if (!Doubts.shouldForward(doubt.Backend, now))
    return;
  Pending.emplace_back(token::BackendReportedUnreachable{doubt.Backend});
  passNews();
  sendDoubt(doubt.Backend, false);
}

void RegistrySync::sendDoubt(token::BackendId id, bool own) {
  std::string bytes = encodeUnreachableReport(
      {.Sender = InstanceId{Settings.Ip}, .Backend = id});
  for (Address it : Spread.targets(own))
    send(bytes, it);
}

void RegistrySync::takePush(const UpdatePush &push, Time now) {
  if (Reader.needsSeed(push))
    return pullSeed(push.Sender);
  Time before = Reader.currentAt();
  std::vector<token::Event> news;
  bool behind = Reader.applyPush(push, now < LateUntil, now, news);
  tell(std::move(news), push.Sender, now);
  if (behind)
    return pull(push.Sender, !Reader.complete());
  // Half a pace newer than what was passed on last: worth a datagram to each.
  bool newer =
      Reader.currentAt() - PushedAsOf >= Settings.Watcher.PollInterval / 2 ||
      Reader.cache().position() > PushedTo;
  if (Reader.currentAt() > before && newer)
    sendPush(false, now);
}

void RegistrySync::sendPush(bool asked, Time now) {
  if (!Reader.mayPassOn())
    return;
  std::vector<Address> targets = Spread.targets(asked);
  UpdatePush push = Reader.makePush(InstanceId{Settings.Ip}, PushedTo, now);
  PushedTo = Reader.cache().position();
  PushedAsOf = Reader.currentAt();
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

void RegistrySync::pull(InstanceId from, bool whole) {
  if (Pages.busy())
    return;
  std::optional<Position> since;
  if (!whole)
    since = Reader.cache().position();
  Pages.read(from, addressOf(from), since,
             [this](const PageResult &page) { takePulled(page); });
}

/// All instances use one port, also where no record says so yet.
Address RegistrySync::addressOf(InstanceId id) const {
  auto it = Others.registered().find(id);
  return it == Others.registered().end()
             ? Address{.Ip = id.Value, .Port = Settings.Peers.Port}
             : it->second.PeerAddress;
}

void RegistrySync::remindOthers(Time now) {
  if (!mayRemind())
    return;
  std::vector<Address> targets = Others.dueRegistered(Away, now);
  std::vector<Address> former = Others.dueFormer(Away, now);
  targets.insert(targets.end(), former.begin(), former.end());
  if (targets.empty())
    return;
  // Whoever lacks something reads it from here.
  UpdatePush push =
      Reader.makePush(InstanceId{Settings.Ip}, Reader.cache().position(), now);
  std::string bytes = encodePush(push);
  for (Address it : targets)
    send(bytes, it);
}

bool RegistrySync::mayRemind() const {
  return Settings.Core.Enabled.OutageGossip && Reader.hasAllItems() &&
         Reader.mayPassOn();
}

void RegistrySync::pullSeed(InstanceId from) {
  if (Pages.busy())
    return;
  Pages.read(from, addressOf(from), std::nullopt,
             [this](const PageResult &page) { takeSeed(page); });
}

void RegistrySync::takeSeed(const PageResult &read) {
  LogLine line("news_from_peer");
  line.with("peer", formatIp(read.Peer.Value));
  if (!read.Page)
    return Lines.write(line.with("why", read.Error));
  std::vector<token::Event> news;
  Reader.applySeed(*read.Page, news);
  Lines.write(line.with("revision", read.Page->At.Revision));
  tell(std::move(news), read.Peer, steadyNow());
}

void RegistrySync::takePulled(const PageResult &read) {
  if (read.HistoryTooShort && !read.Full)
    return pull(read.Peer, true);
  if (!read.Page) {
    Reader.pullFailed();
    return Lines.write(LogLine("news_pull_failed")
                           .with("peer", formatIp(read.Peer.Value))
                           .with("why", read.Error));
  }
  Time now = steadyNow();
  std::vector<token::Event> news;
  Position before = Reader.cache().position();
  Reader.applyPull(*read.Page, read.Full, now, news);
  noteRestore(before, read.Peer);
  tell(std::move(news), read.Peer, now);
  sendPush(false, now);
}

void RegistrySync::handleSuspension(Time now) {
  // Long enough to read what waits in the socket.
  constexpr Duration Reading = std::chrono::milliseconds(100);
  LateUntil = now + Reading;
  Reader.revalidate(now);
}

void RegistrySync::noteRegistry(Time now) {
  bool away = Reader.hasAllItems() && Reader.isStale(now);
  if (away == Away)
    return;
  Away = away;
  Lines.write(LogLine(away ? "news_stale" : "news_current")
                  .with("revision", Reader.cache().position().Revision));
}

void RegistrySync::updateBounds(const token::BoundsChanged &bounds) {
  Pending.emplace_back(bounds);
  passNews();
}

void RegistrySync::leave() {
  Leaving = true;
  // Nothing else is asked of the registry any more, so this shows best whether
  // it is away.
  Records.leave([this] { Away = true; });
}

} // namespace chicory::edge
