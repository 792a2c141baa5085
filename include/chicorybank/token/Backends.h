// The backend servers of all services: their addresses, whether they accept new
// flows, whether they have ended, and what this instance has observed of them.

#ifndef CHICORYBANK_TOKEN_BACKENDS_H
#define CHICORYBANK_TOKEN_BACKENDS_H

#include "chicorybank/token/Reachability.h"
#include "chicorybank/token/Types.h"

#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chicory::token {

/// Orders registrations by age. A restored registry assigns its revisions a
/// second time, in a higher generation.
struct RegistrationOrder {
  uint64_t Generation = 0;
  /// Zero means unknown.
  uint64_t Revision = 0;

  auto operator<=>(const RegistrationOrder &) const = default;
};

/// A backend server as it has registered itself.
struct Registration {
  BackendId Id;
  ServiceId Service;
  Address Where;
  std::string Zone;
  /// The server accepts no new flows.
  bool Draining = false;
  /// Number of requests that the server handles at the same time.
  uint32_t Slots = 1;
  /// Of two registrations at one address the newer one has the larger order. If
  /// the orders are equal, nothing is known about their age.
  RegistrationOrder Order;
  /// When the server's process started, in Unix milliseconds by the server's
  /// clock; zero if unknown. A server may restart under the same id, and then
  /// knows nothing about the flows of its earlier process.
  int64_t StartedAtMs = 0;
  /// Remaining warm-up time when the server wrote this registration.
  Duration WarmUpLeft = Duration::zero();

  bool operator==(const Registration &) const = default;
};

/// A conflict between the registrations of two servers at one address.
struct AddressConflict {
  Address Where;
  RegistrationOrder Order;
  BackendId Other;
  RegistrationOrder OtherOrder;

  bool operator==(const AddressConflict &) const = default;
};

/// The state of a backend server as this instance knows it.
enum class BackendState : uint8_t {
  Ready,
  Draining,
  Missing,    ///< Its registration is gone; the registry may be the cause.
  Unreadable, ///< Its registration can't be parsed; it keeps its flows.
  Gone,       ///< The server has ended; it may restart under the same id.
};

/// One backend server.
struct Backend {
  Registration Info;
  BackendState State = BackendState::Ready;
  /// When the server became missing or gone.
  Time LostAt;
  /// Requests in progress that this instance sent to the server.
  uint32_t InProgress = 0;
  /// Openings that this instance sent and that are not answered yet.
  uint32_t Opening = 0;
  /// All flows at the server that this instance tracks.
  uint32_t Flows = 0;
  /// Consecutive openings and requests without an answer.
  uint32_t Unanswered = 0;
  Time LastProgress;
  /// The server is avoided until this time because it did not answer.
  Time SuspectUntil;
  /// Consecutive suspicions.
  uint32_t Suspicions = 0;
  /// The operators drain the zone of the server.
  bool ZoneDrained = false;
  /// When the warm-up ends, and when the server may next get a new flow before
  /// that.
  Time WarmUpUntil;
  Time NextWarmUpFlow;
  Reachability Probes;

  bool acceptsNewFlows() const {
    return State == BackendState::Ready && !ZoneDrained;
  }
  bool isSuspect(Time now) const { return now < SuspectUntil; }
  /// Returns the load that this instance has placed on the server. An opening
  /// announces a request, so it counts too; otherwise a server that answers no
  /// openings would look idle.
  uint32_t load() const { return InProgress + Opening; }
};

/// Availability zones whose servers get no new flows, with the start of the
/// drain.
using DrainedZones = std::map<std::string, Time>;

/// How long ended servers are kept in the list.
struct BackendTimes {
  /// How long a server that is gone stays in the list: the maximum age of a
  /// flow.
  Duration GoneRetention = std::chrono::seconds(60);
};

/// Position of a backend server in `Backends`; stable while the server is in
/// the list.
using BackendIndex = uint32_t;
inline constexpr BackendIndex NoBackend = UINT32_MAX;

/// The list of backend servers.
class Backends {
public:
  explicit Backends(BackendTimes times) : Times(times) {}

  /// Applies a registration that was read. Returns true if the state of the
  /// server changed.
  ///
  /// The address of a server that has ended is given to other servers. An older
  /// registration of the same address belongs to a server that has ended; its
  /// flows would wait until the registration expires. So that server is marked
  /// as gone at once. Probes can't detect this, since the new owner answers
  /// them.
  ///
  /// A registration of a process that started before the known one arrived late
  /// and changes nothing. If the process started later, the server has
  /// restarted: all observations of it are discarded, and `takeRestarted`
  /// returns it.
  bool applyRegistration(const Registration &info, Time now);
  /// Marks a server as missing because its registration expired or was deleted.
  /// Returns true if the state changed.
  bool markMissing(BackendId id, Time now);
  /// Marks a server as unreadable because its registration was replaced by one
  /// that can't be parsed. Returns true if the state changed.
  ///
  /// Without this, if another program overwrites a server's key, the server's
  /// previous registration would stay in effect. The overwrite is no evidence
  /// that the server has stopped, so its flows are kept.
  bool markUnreadable(BackendId id);
  /// Starts or ends the drain of a zone. The zone's servers keep their flows
  /// and accept no new ones, whatever they register in the meantime. Returns
  /// true if this changes anything.
  bool drainZone(const std::string &zone, bool active, Time now);
  const DrainedZones &drainedZones() const { return Drained; }
  /// Returns the servers that have restarted since the last call.
  std::vector<BackendIndex> takeRestarted() {
    return std::exchange(Restarted, {});
  }
  /// Removes servers that have been gone for longer than `GoneRetention`. With
  /// `trusted`, a missing registration proves that its server has ended:
  /// missing servers become gone. Returns the servers that became gone since
  /// the last call.
  std::vector<BackendIndex> expire(bool trusted, Time now);

  Backend &at(BackendIndex i) { return Entries[i]; }
  const Backend &at(BackendIndex i) const { return Entries[i]; }
  /// Returns the conflict because of which a server is gone, or null if its
  /// registration has ended.
  const AddressConflict *lostConflict(BackendIndex i) const;
  /// Returns the server with this id, whatever its state, or `NoBackend`.
  BackendIndex find(BackendId id) const;
  /// Returns all servers with this token, including those that are gone.
  const std::vector<BackendIndex> &withToken(Token token) const;
  /// Returns the servers of a service, whatever their state.
  const std::vector<BackendIndex> &ofService(ServiceId service) const;
  /// Returns true if another server of the same service that is not gone has
  /// the same token.
  bool sharesToken(BackendIndex i) const;
  /// Returns the number of servers that are not gone.
  size_t size() const { return LiveCount; }
  /// Returns one more than the highest index in use.
  BackendIndex indexEnd() const {
    return static_cast<BackendIndex>(Entries.size());
  }

private:
  BackendIndex add(const Registration &info);
  /// Assigns the address of the registration to this server. Returns false if a
  /// newer registration of another server holds the address.
  bool takeAddress(BackendIndex i, Time now);
  /// Marks a server as gone because its address belongs to another one.
  void markReplaced(BackendIndex i, BackendIndex by, Time now);
  void markGone(BackendIndex i, Time now);
  void resetObservations(BackendIndex i);
  void remove(BackendIndex i);

  BackendTimes Times;
  size_t LiveCount = 0;
  std::vector<Backend> Entries;
  std::vector<BackendIndex> Free;
  std::unordered_map<uint64_t, BackendIndex> ById;
  std::unordered_map<uint32_t, std::vector<BackendIndex>> ByToken;
  std::unordered_map<uint32_t, std::vector<BackendIndex>> ByService;
  /// The server that registered an address last.
  std::unordered_map<uint64_t, BackendIndex> ByAddress;
  DrainedZones Drained;
  std::vector<BackendIndex> Ended;
  std::unordered_map<BackendIndex, AddressConflict> LostConflicts;
  std::vector<BackendIndex> Restarted;
};

} // namespace chicory::token

#endif
