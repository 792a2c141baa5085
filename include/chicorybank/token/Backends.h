// The backend servers of all services: where they are, whether they take new
// flows, whether they are gone, and what this instance has seen of them.

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

/// Grows from registration to registration. A registry that was restored gives
/// out its revisions again, in a later generation.
struct RegistrationOrder {
  uint64_t Generation = 0;
  /// Zero says nothing.
  uint64_t Revision = 0;

  auto operator<=>(const RegistrationOrder &) const = default;
};

/// A backend server as it registered itself.
struct Registration {
  BackendId Id;
  ServiceId Service;
  Address Where;
  std::string Zone;
  /// Takes nothing new.
  bool Draining = false;
  /// Requests that it works on at the same time.
  uint32_t Slots = 1;
  /// Of two registrations at one address the newer one has the larger order.
  /// Equal ones say nothing.
  RegistrationOrder Order;
  /// When this life of the server began, in Unix milliseconds by its clock;
  /// zero where it does not say. A server may start again under its id, and
  /// knows nothing of its former life's flows.
  int64_t StartedAtMs = 0;
  /// How much longer it is slow after its start, when it wrote this.
  Duration WarmUpLeft = Duration::zero();

  bool operator==(const Registration &) const = default;
};

/// What is believed of a backend server.
enum class BackendState : uint8_t {
  Ready,
  Draining,
  Missing, ///< Its registration is gone, but that may be the registry's fault.
  Unreadable, ///< Its registration can't be read; keeps its flows meanwhile.
  Gone,       ///< It has ended; a later life of it may come under this id.
};

/// One backend server.
struct Backend {
  Registration Info;
  BackendState State = BackendState::Ready;
  /// When it went missing or gone.
  Time LostAt;
  /// Requests in progress that this instance sent, openings that are not yet
  /// answered, and all flows that it follows.
  uint32_t InProgress = 0;
  uint32_t Opening = 0;
  uint32_t Flows = 0;
  /// Openings and requests in a row that nothing came back for.
  uint32_t Unanswered = 0;
  Time LastProgress;
  /// Until when it is avoided for having been silent.
  Time SuspectUntil;
  /// How often in a row it has become suspect.
  uint32_t Suspicions = 0;
  /// The operators drain its zone.
  bool ZoneDrained = false;
  /// Until when it warms up, and when it may next get a flow meanwhile.
  Time WarmUpUntil;
  Time NextWarmUpFlow;
  Reachability Probes;

  bool acceptsNewFlows() const {
    return State == BackendState::Ready && !ZoneDrained;
  }
  bool isSuspect(Time now) const { return now < SuspectUntil; }
  /// What this instance has the server work on. An opening is a request to
  /// come; a server that answers none must not look idle.
  uint32_t load() const { return InProgress + Opening; }
};

/// Availability zones whose servers get no new flows, and since when.
using DrainedZones = std::map<std::string, Time>;

/// Times of the list of backend servers.
struct BackendTimes {
  /// A server that is gone is remembered this long: the longest life of a flow.
  Duration GoneRetention = std::chrono::seconds(60);
};

/// Position of a backend server in `Backends`; stable while it is remembered.
using BackendIndex = uint32_t;
inline constexpr BackendIndex NoBackend = UINT32_MAX;

/// The list of backend servers.
class Backends {
public:
  explicit Backends(BackendTimes times) : Times(times) {}

  /// A registration was read. Returns true where its standing changed.
  ///
  /// Addresses are given to other servers once their owner has ended. An older
  /// registration of the same address is a dead server's, which would keep its
  /// flows waiting until the registration lapses; it is gone at once. Probes
  /// can't tell, since the new owner answers them.
  ///
  /// A registration of an earlier life than the one known is a late one and
  /// changes nothing. One of a later life ends all that is believed of the
  /// server; `takeReborn` tells of it.
  bool applyRegistration(const Registration &info, Time now);
  /// A registration has ended. Returns true where its standing changed.
  bool markMissing(BackendId id, Time now);
  /// A registration was replaced by one that can't be read. Returns true where
  /// its standing changed.
  ///
  /// What goes wrong without: someone else writes under a server's key, and
  /// what the server said before goes on deciding. It says nothing of whether
  /// the server lives, so it is not the end of its flows either.
  bool markUnreadable(BackendId id);
  /// The operators drain a zone, or have ended that. Its servers keep their
  /// flows and take no new ones, whatever they register meanwhile. Returns
  /// true where it was not known.
  bool drainZone(const std::string &zone, bool active, Time now);
  const DrainedZones &drainedZones() const { return Drained; }
  /// Servers that have started again since the last call.
  std::vector<BackendIndex> takeRestarted() {
    return std::exchange(Reborn, {});
  }
  /// Forgets servers that have been gone for long. With `trusted`, a missing
  /// registration proves that its server has ended: turns missing into gone.
  /// Returns those that went since the last call.
  std::vector<BackendIndex> expire(bool trusted, Time now);

  Backend &at(BackendIndex i) { return Slots[i]; }
  const Backend &at(BackendIndex i) const { return Slots[i]; }
  /// Any server with this id.
  BackendIndex find(BackendId id) const;
  /// All servers with this token, the gone ones included.
  const std::vector<BackendIndex> &withToken(Token token) const;
  /// The servers of a service, whatever their standing.
  const std::vector<BackendIndex> &ofService(ServiceId service) const;
  /// True where a live server of the same service shares this one's token.
  bool sharesToken(BackendIndex i) const;
  /// How many have not gone.
  size_t size() const { return Living; }
  /// One more than the highest index in use.
  BackendIndex indexEnd() const {
    return static_cast<BackendIndex>(Slots.size());
  }

private:
  BackendIndex add(const Registration &info);
  /// Settles whose address it is. False: another server has it now.
  bool claimAddress(BackendIndex i, Time now);
  void end(BackendIndex i, Time now);
  void beginLife(BackendIndex i);
  void forget(BackendIndex i);

  BackendTimes Times;
  size_t Living = 0;
  std::vector<Backend> Slots;
  std::vector<BackendIndex> Free;
  std::unordered_map<uint64_t, BackendIndex> ById;
  std::unordered_map<uint32_t, std::vector<BackendIndex>> ByToken;
  std::unordered_map<uint32_t, std::vector<BackendIndex>> ByService;
  /// Who registered an address last.
  std::unordered_map<uint64_t, BackendIndex> ByAddress;
  DrainedZones Drained;
  std::vector<BackendIndex> Ended;
  std::vector<BackendIndex> Reborn;
};

} // namespace chicory::token

#endif
