// The HTTP server for operators: metrics, and the data that `chicoryctl`
// requests.

#ifndef CHICORYBANK_LIB_DAEMON_ADMIN_H
#define CHICORYBANK_LIB_DAEMON_ADMIN_H

#include "Journal.h"
#include "Rings.h"

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

namespace httplib {
class Server;
} // namespace httplib

namespace chicory {

/// Statistics of the worker threads, for the metrics.
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
              const Journal &journal,
              std::function<WorkerStats()> readWorkerStats);
  ~AdminServer();

  /// Binds the address and starts serving. An error is a message for operators.
  tl::expected<void, std::string> start();
  void stop();

private:
  /// Runs `task` on the core's thread. Returns nothing if the ring is full or
  /// the core does not run the task in time.
  template <typename Result>
  std::optional<Result> runOnCore(std::function<Result(Core &, Time)> task);
  void addRoutes();
  std::string metrics();

  Address Listen;
  CoreRings &Rings;
  const WorkerCounters &Counters;
  const Journal &Events;
  std::function<WorkerStats()> ReadWorkerStats;
  std::unique_ptr<httplib::Server> Server;
  std::thread Worker;
  /// The worker has stopped serving, or could not begin.
  std::atomic<bool> ListenEnded = false;
};

} // namespace chicory

#endif
