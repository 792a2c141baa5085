// The backend servers of all services: their addresses, whether they accept new
// flows, whether they have ended, and what this instance has observed of them.

#ifndef CHICORYBANK_TOKEN_BACKENDS_H
#define CHICORYBANK_TOKEN_BACKENDS_H

#include "chicorybank/token/AddressClaims.h"
#include "chicorybank/token/Reachability.h"
#include "chicorybank/token/Types.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace chicory::token {

/// What is known about the generation in which a registration was made.
enum class RegistrationOrigin : uint8_t {
  ThisGeneration, ///< The one in which it was read.
  UpToThis,       ///< That one or an earlier one; the registry still holds it.
  Uncertain,      ///< As above, but the registry may no longer hold it.
};

/// The age of a registration, as far as it can be compared.
///
/// A restored registry assigns its revisions a second time, in a higher
/// generation, and it holds registrations of earlier generations. So a
/// registration with a lower revision that is read in a later generation may
/// have been made before the restore or after it.
///
///   RegistrationOrder held{.Generation = 2, .Revision = 61};
///   RegistrationOrder copied{.Generation = 3, .Revision = 45,
///                            .Origin = RegistrationOrigin::UpToThis};
///   copied.provesNewerThan(held); // false
///   held.provesNewerThan(copied); // false
///   copied < held;                // true: most likely
struct RegistrationOrder {
  /// The registry's generation when the registration was read.
  uint64_t Generation = 0;
  /// The revision at which the registration was made; zero means unknown.
  uint64_t Revision = 0;
  RegistrationOrigin Origin = RegistrationOrigin::ThisGeneration;

  bool operator==(const RegistrationOrder &) const = default;
  /// Returns true if this registration was certainly made after the other one.
  bool provesNewerThan(const RegistrationOrder &other) const;
  /// Returns true if this registration is the older one, certainly or most
  /// likely. Compares two registrations; it is no order of three or more.
  bool operator<(const RegistrationOrder &other) const;
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
  /// Tells which of two registrations at one address is newer. If the orders
  /// are equal, nothing is known about their age.
  RegistrationOrder Order;
  /// When the server's process started, in Unix milliseconds by the server's
  /// clock; zero if unknown. A server may restart under the same id, and then
  /// knows nothing about the flows of its earlier process.
  int64_t StartedAtMs = 0;
  /// Remaining warm-up time when the server wrote this registration.
  Duration WarmUpLeft = Duration::zero();
  /// Number of this write among those of the server's process; zero if unknown.
  uint64_t Sequence = 0;

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
  /// Another server is registered at the same address and is its likely owner.
  bool AddressContested = false;
  /// The server is gone because another one has answered at its address. Its
  /// registration still stands.
  bool Replaced = false;
  /// A registration that is held back says that the server drains.
  bool DrainHeld = false;
  /// When this instance learned that the server's present process has this
  /// address.
  Time ClaimedAt;
  /// The server has answered something that this instance sent at this time, so
  /// it was running then or later.
  Time AliveAfter;
  /// When the warm-up ends, and when the server may next get a new flow before
  /// that.
  Time WarmUpUntil;
  Time NextWarmUpFlow;
  Reachability Probes;

  bool acceptsNewFlows() const {
    return State == BackendState::Ready && !ZoneDrained && !AddressContested &&
           !DrainHeld;
  }
  /// Returns true if the server accepts new flows, or would if its registration
  /// is missing only because of the registry.
  bool mayAcceptNewFlows() const {
    bool missing = State == BackendState::Missing && !Info.Draining;
    return (State == BackendState::Ready || missing) && !ZoneDrained &&
           !AddressContested && !DrainHeld;
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

/// How long what is known of a server counts.
struct BackendTimes {
  /// How long a server that is gone stays in the list: the maximum age of a
  /// flow.
  Duration GoneRetention = std::chrono::seconds(60);
  /// The address of a server that has ended is not given to another one for at
  /// least this long. (Requirement: two seconds.)
  Duration AddressUnusedFor = std::chrono::seconds(1);
  /// How long a registration that may be a late write is held back. A running
  /// server overwrites a late write with its next heartbeat, about a second
  /// later.
  Duration LateWriteHold = std::chrono::seconds(3);
};

/// The list of backend servers.
class Backends {
public:
  explicit Backends(BackendTimes times) : Times(times) {}

  /// Applies a registration that was read. Returns true if the state of the
  /// server changed.
  ///
  /// The address of a server that has ended is given to other servers, and the
  /// registry may execute a write seconds after its server has ended. So a
  /// registration proves neither that its server is running nor that an earlier
  /// one at its address has ended. Of several servers at one address all keep
  /// their flows, the likely owner alone gets new ones, and `recordAnswer`
  /// decides. A server whose service is not named by the operators makes no
  /// claim to its address.
  ///
  /// A registration that may be a late write is held back: one of a process
  /// that started before the known one, or one that takes back a drain and has
  /// a lower `Sequence` than the drain. It is applied once it has stood for
  /// `LateWriteHold`; only the drain that it may state counts at once.
  ///
  /// If the server's process is another one than before, all observations of
  /// the server are discarded, and `takeRestarted` returns it.
  bool applyRegistration(const Registration &info, Time now);
  /// Applies the registrations that were held back for long enough. Returns the
  /// servers whose state changed.
  std::vector<BackendIndex> applyHeld(Time now);
  /// Returns true if a registration of the server is held back.
  bool holdsRegistrationOf(BackendIndex i) const { return Held.contains(i); }
  /// Sets the services that the operators name. Until the first call, all are.
  void setNamedServices(std::unordered_set<uint64_t> services, Time now);
  /// Records that a server has answered something that was sent to it at
  /// `sentAt`.
  ///
  /// An address has one owner at a time. So any other server that was
  /// registered there before `sentAt` has ended, whatever the registry still
  /// holds: it becomes gone, until its process is another one or the owner
  /// ends.
  void recordAnswer(BackendIndex i, Time sentAt, Time now);
  /// Makes another claimant of the server's address its likely owner, because
  /// this one does not answer.
  void yieldAddress(BackendIndex i);
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
  /// Returns the servers that were gone because of another one at their address
  /// and are back since the last call, because that one has ended.
  std::vector<BackendIndex> takeReinstated() {
    return std::exchange(Reinstated, {});
  }
  /// Returns the servers whose `AddressContested` has changed since the last
  /// call.
  std::vector<BackendIndex> takeContested() {
    return std::exchange(ContestChanges, {});
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
  /// Returns the conflict of a server with the likely owner of its address.
  AddressConflict conflictOf(BackendIndex i) const;
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
  /// A registration that may be a late write, and when it was first read.
  struct HeldRegistration {
    Registration Info;
    Time Since;
  };

  BackendIndex add(const Registration &info, Time now);
  static bool mayBeLate(const Backend &backend, const Registration &info);
  void hold(BackendIndex i, const Registration &info, Time now);
  void release(BackendIndex i);
  /// Replaces the registration of a server. Returns true if its state changed.
  bool replaceRegistration(BackendIndex i, const Registration &info, Time now);
  /// What a registration says of the claim to its address.
  enum class Claim : uint8_t {
    Same,     ///< The claim that the server makes already.
    Returned, ///< The claim of a registration that had ended.
    First,    ///< The first registration of the server.
    Moved     ///< A known server has a new address or a new process.
  };
  /// Adds the server to the claimants of its address.
  void claimAddress(BackendIndex i, Claim kind, Time now);
  /// Returns true if the server's claim is more likely than that of `owner`.
  bool isLikelierOwner(BackendIndex i, BackendIndex owner, Claim kind,
                       Time now) const;
  /// Returns true if another claimant has answered since the server's claim was
  /// learned.
  bool hasEndedByAnswer(BackendIndex i) const;
  bool makesClaim(const Registration &info) const;
  bool isClaimant(BackendIndex i) const;
  /// Removes the server from the claimants of its address.
  void removeClaim(BackendIndex i, Time now);
  /// Returns the likely owner of an address, or `NoBackend`.
  BackendIndex ownerOf(Address where) const;
  /// Makes the claimant with the newest registration the likely owner.
  void passAddressOn(Address where);
  void updateContested(Address where);
  void setContested(BackendIndex i, bool contested);
  /// Brings back the replaced servers of an address that has no owner any more.
  void reinstateAt(Address where, Time now);
  /// Marks a server as gone because another one has answered at its address.
  void markReplaced(BackendIndex i, Time now);
  /// Marks a server as gone because its registration has ended.
  void markEnded(BackendIndex i, Time now);
  void markGone(BackendIndex i, Time now);
  void resetObservations(BackendIndex i);
  void remove(BackendIndex i);

  BackendTimes Times;
  size_t LiveCount = 0;
  std::vector<Backend> Entries;
  std::vector<BackendIndex> Free;
  std::unordered_map<uint64_t, BackendIndex> ById;
  std::unordered_map<uint32_t, std::vector<BackendIndex>> ByToken;
  std::unordered_map<uint64_t, std::vector<BackendIndex>> ByService;
  AddressClaims Claims;
  std::optional<std::unordered_set<uint64_t>> NamedServices;
  std::unordered_map<BackendIndex, HeldRegistration> Held;
  std::vector<BackendIndex> Reinstated;
  std::vector<BackendIndex> ContestChanges;
  DrainedZones Drained;
  std::vector<BackendIndex> Ended;
  std::unordered_map<BackendIndex, AddressConflict> LostConflicts;
  std::vector<BackendIndex> Restarted;
};

} // namespace chicory::token

#endif
