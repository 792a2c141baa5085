#include "Admin.h"

#include "Metrics.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <future>
#include <httplib.h>

namespace chicory {

namespace {

constexpr auto CoreTimeout = std::chrono::seconds(1);
constexpr auto ListenPollInterval = std::chrono::milliseconds(1);
constexpr int StatusBadRequest = 400;
constexpr int StatusUnavailable = 503;

QString text(std::string_view value) {
  return QString::fromUtf8(value.data(), static_cast<qsizetype>(value.size()));
}

const char *stateName(InstanceState state) {
  switch (state) {
  case InstanceState::Joining:
    return "joining";
  case InstanceState::Live:
    return "live";
  case InstanceState::Leaving:
    return "leaving";
  }
  return "invalid";
}

QJsonObject statusJson(Core &core, Time now) {
  CoreStats stats = core.stats();
  const InstanceInfo &self = core.membership().self();
  QJsonArray peers;
  for (const auto &[id, peer] : core.membership().peers())
    peers.append(
        QJsonObject{{"id", qint64{id.Value}},
                    {"zone", text(peer.Info.Zone)},
                    {"admin", text(formatAddress(peer.Info.Admin))},
                    {"state", stateName(peer.State)},
                    {"heard", core.membership().isReachable(id, now)},
                    {"rule_version", static_cast<qint64>(peer.Rules.Value)}});
  return {{"id", qint64{self.Id.Value}},
          {"zone", text(self.Zone)},
          {"state", stateName(stats.State)},
          {"rule_version", static_cast<qint64>(stats.Rules.Value)},
          {"members_version", static_cast<qint64>(stats.Members.Value)},
          {"lease", stats.HoldsLease},
          {"flows", static_cast<qint64>(stats.FlowsNow)},
          {"requests", static_cast<qint64>(stats.RequestsNow)},
          {"homes", static_cast<qint64>(stats.HomesNow)},
          {"peers", peers}};
}

QJsonObject explanationJson(const Explanation &it) {
  QJsonObject out{{"flow", text(formatFlow(it.Flow))},
                  {"replier", qint64{it.Replier.Value}},
                  {"rule_version", static_cast<qint64>(it.Rules.Value)},
                  {"rule", text(it.RuleName)},
                  {"service", text(it.ServiceName)},
                  {"home", qint64{it.Home.Value}},
                  {"owner", qint64{it.Owner.Value}},
                  {"reason", text(reasonName(it.Why))}};
  if (it.NewTarget)
    out["new_target"] = text(formatAddress(*it.NewTarget));
  if (it.PinnedTarget) {
    out["pinned_target"] = text(formatAddress(*it.PinnedTarget));
    out["pinned_service"] = text(it.PinnedService);
  }
  return out;
}

QJsonObject targetsJson(Core &core, Time now) {
  QJsonArray targets;
  const CompiledRules *rules = core.rules();
  for (const auto &[id, state] : core.targets().all()) {
    const Service *service =
        rules == nullptr ? nullptr : rules->service(state.Service);
    targets.append(
        QJsonObject{{"address", text(formatAddress(id))},
                    {"service", service == nullptr ? "" : text(service->Name)},
                    {"in_flight", qint64{state.InFlight}},
                    {"flows", qint64{state.Flows}},
                    {"share", qint64{state.Share}},
                    {"draining", core.targets().isDraining(id, now)},
                    {"ejected", core.targets().isEjected(id, now)}});
  }
  return {{"targets", targets}};
}

/// Parses "IP:port,IP:port,protocol": source, destination, protocol number.
std::optional<FlowKey> parseFlow(const std::string &value) {
  size_t first = value.find(',');
  size_t second = value.find(',', first + 1);
  if (first == std::string::npos || second == std::string::npos)
    return std::nullopt;
  auto source = parseAddress(std::string_view(value).substr(0, first));
  auto destination = parseAddress(
      std::string_view(value).substr(first + 1, second - first - 1));
  auto protocol = parseNumber(std::string_view(value).substr(second + 1));
  if (!source || !destination || !protocol || *protocol > UINT8_MAX)
    return std::nullopt;
  return FlowKey{.Source = *source,
                 .Destination = *destination,
                 .Protocol = static_cast<uint8_t>(*protocol)};
}

void reply(httplib::Response &response, const QJsonObject &object) {
  response.set_content(
      QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString(),
      "application/json");
}

void fail(httplib::Response &response, int status, const char *message) {
  reply(response, {{"error", message}});
  response.status = status;
}

} // namespace

AdminServer::AdminServer(Address listen, CoreRings &rings,
                         const WorkerCounters &counters, const Journal &journal,
                         std::function<WorkerStats()> readWorkerStats)
    : Listen(listen), Rings(rings), Counters(counters), Events(journal),
      ReadWorkerStats(std::move(readWorkerStats)),
      Server(std::make_unique<httplib::Server>()) {}

AdminServer::~AdminServer() { stop(); }

template <typename Result>
std::optional<Result>
AdminServer::runOnCore(std::function<Result(Core &, Time)> task) {
  auto promise = std::make_shared<std::promise<Result>>();
  std::future<Result> result = promise->get_future();
  {
    std::lock_guard lock(Rings.TaskLock);
    bool queued = Rings.AdminTasks.try_enqueue(
        [promise, task = std::move(task)](Core &core, Time now) {
          promise->set_value(task(core, now));
        });
    if (!queued)
      return std::nullopt;
  }
  if (result.wait_for(CoreTimeout) != std::future_status::ready)
    return std::nullopt;
  return result.get();
}

void AdminServer::addRoutes() {
  auto json = [this](auto task) {
    return [this, task](const httplib::Request & /*request*/,
                        httplib::Response &response) {
      auto result = runOnCore<QJsonObject>(task);
      if (result)
        reply(response, *result);
      else
        fail(response, StatusUnavailable, "the core did not respond in time");
    };
  };
  Server->Get("/status", json(statusJson));
  Server->Get("/targets", json(targetsJson));
  Server->Get("/explain", [this](const httplib::Request &request,
                                 httplib::Response &response) {
    auto flow = parseFlow(request.get_param_value("flow"));
    if (!flow)
      return fail(response, StatusBadRequest,
                  "flow: expected IP:port,IP:port,protocol");
    auto result = runOnCore<QJsonObject>([flow](Core &core, Time now) {
      return explanationJson(core.explain(*flow, now));
    });
    if (!result)
      return fail(response, StatusUnavailable,
                  "the core did not respond in time");
    reply(response, *result);
  });
  Server->Get("/events", [this](const httplib::Request & /*request*/,
                                httplib::Response &response) {
    QJsonArray list;
    for (const JournalEntry &it : Events.recent())
      list.append(QJsonObject{{"at_ms", qint64{it.AtMs}},
                              {"event", text(it.Event)},
                              {"detail", text(it.Detail)}});
    reply(response, {{"events", list}});
  });
  Server->Get("/metrics", [this](const httplib::Request & /*request*/,
                                 httplib::Response &response) {
    auto stats =
        runOnCore<CoreStats>([](Core &core, Time) { return core.stats(); });
    if (!stats)
      return fail(response, StatusUnavailable,
                  "the core did not respond in time");
    response.set_content(renderMetrics(*stats, Counters, ReadWorkerStats()),
                         "text/plain; version=0.0.4");
  });
}

tl::expected<void, std::string> AdminServer::start() {
  addRoutes();
  // Two threads are enough: only operators and one scraper send requests.
  Server->new_task_queue = [] { return new httplib::ThreadPool(2); };
  if (!Server->bind_to_port(formatIp(Listen.Ip), Listen.Port))
    return tl::make_unexpected("bind " + formatAddress(Listen) + ": failed");
  Worker = std::thread([this] {
    Server->listen_after_bind();
    ListenEnded = true;
  });
  return {};
}

void AdminServer::stop() {
  if (!Worker.joinable())
    return;
  // `httplib::Server::stop` does nothing before the server listens.
  while (!Server->is_running() && !ListenEnded)
    std::this_thread::sleep_for(ListenPollInterval);
  Server->stop();
  Worker.join();
}

} // namespace chicory
