#include "chicorybank/edge/Edge.h"

#include "ControlWorker.h"
#include "PacketWorker.h"
#include "SettingsFile.h"

#include <csignal>
#include <thread>

namespace chicory::edge {

namespace {

std::atomic<bool> StopRequested = false;
std::atomic<bool> ReloadRequested = false;
std::atomic<const Wakeup *> SignalWakeup = nullptr;

void onSignal(int signal) {
  if (signal == SIGHUP)
    ReloadRequested = true;
  else
    StopRequested = true;
  if (const Wakeup *it = SignalWakeup)
    it->wake();
}

void installSignalHandlers(const Wakeup &wakeup) {
  SignalWakeup = &wakeup;
  std::signal(SIGTERM, onSignal);
  std::signal(SIGINT, onSignal);
  std::signal(SIGHUP, onSignal);
  std::signal(SIGPIPE, SIG_IGN);
}

} // namespace

std::optional<EdgeSettings> loadEdgeSettings(const std::string &path,
                                             Findings &findings) {
  return SettingsFile(path).read(findings);
}

tl::expected<void, std::string> runEdge(EdgeSettings settings,
                                        const std::string &path,
                                        const RegistryDialect &dialect,
                                        const Framing &framing) {
  StopRequested = false;
  ReloadRequested = false;
  auto packets = bindUdp(settings.Packets);
  if (!packets)
    return tl::make_unexpected(packets.error());
  auto ready = listenTcp(settings.Ready);
  if (!ready)
    return tl::make_unexpected(ready.error());
  auto peerSocket = bindUdp(settings.Peers);
  if (!peerSocket)
    return tl::make_unexpected(peerSocket.error());
  auto peerListener = listenTcp(settings.Peers);
  if (!peerListener)
    return tl::make_unexpected(peerListener.error());

  SharedState shared;
  ControlWorker control(settings, SettingsFile(path), dialect,
                        std::move(*ready), std::move(*peerSocket),
                        std::move(*peerListener), shared);
  installSignalHandlers(control.wakeup());
  auto packetWorker = std::make_unique<PacketWorker>(
      settings, framing, std::move(*packets), shared);
  std::thread packetThread([&] { packetWorker->run(); });
  control.log().write(LogLine("start").with("zone", settings.Zone));
  control.run(StopRequested, ReloadRequested);
  shared.Stopped = true;
  shared.PacketWakeup.wake();
  packetThread.join();
  control.log().write(LogLine("end"));
  SignalWakeup = nullptr;
  return {};
}

} // namespace chicory::edge
