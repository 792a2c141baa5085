// The HTTP side for operators: metrics and what `chicoryctl` asks for.

#ifndef CHICORYBANK_LIB_DAEMON_ADMIN_H
#define CHICORYBANK_LIB_DAEMON_ADMIN_H

#include "Journal.h"
#include "Rings.h"

#include <functional>
#include <memory>
#include <thread>

namespace httplib {
class Server;
} // namespace httplib

namespace chicory {

/// Figures of the threads around the core.
struct WorkerStats {
  uint64_t ControlBytes = 0;
  uint64_t PlatformCalls = 0;
  uint64_t ConsecutivePlatformFailures = 0;
  bool Watching = false;
};

/// Serves /metrics, /status, /explain, /targets and /events.
class AdminServer {
public:
  AdminServer(Address listen, CoreRings &rings, const WorkerCounters &counters,
              const Journal &journal, std::function<WorkerStats()> figures);
  ~AdminServer();

  /// Fails with a text for operators.
  tl::expected<void, std::string> start();
  void stop();

private:
  template <typename Result>
  std::optional<Result> runOnCore(std::function<Result(Core &, Time)> task);
  void addRoutes();
  std::string metrics();

  Address Listen;
  CoreRings &Rings;
  const WorkerCounters &Counters;
  const Journal &Events;
  std::function<WorkerStats()> Figures;
  std::unique_ptr<httplib::Server> Server;
  std::thread Worker;
};

} // namespace chicory

#endif
