// What goes into a core and what comes out.
//
// A shell (or a test, or a bench) turns whatever happens into events, hands
// each to `Core::handle` with the time, and carries out the actions. A core
// does no I/O of its own; docs/CORE-API.md has a whole program.

#ifndef CHICORYBANK_CORE_EVENTS_H
#define CHICORYBANK_CORE_EVENTS_H

#include "chicorybank/base/Reasons.h"
#include "chicorybank/core/Instance.h"
#include "chicorybank/core/Rules.h"
#include "chicorybank/packet/Packet.h"

#include <QByteArray>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace chicory {

/// A packet with the datagram that it came in.
///
/// For kinds that are passed on untouched only the head of `Content` is
/// filled; `Datagram` is what goes out. A shell with another framing puts its
/// own bytes there.
struct PacketInFlight {
  Packet Content;
  QByteArray Datagram;
  /// Who sent it to the first instance: the fabric or a backend server.
  Address From;
};

/// A packet came from the fabric or from a backend server.
struct PacketArrived {
  PacketInFlight Packet;
};

/// Another instance passed a packet on.
struct ForwardedPacketArrived {
  InstanceId Sender;
  PacketInFlight Packet;
  /// How many instances have had it before.
  uint8_t Hops = 1;
  /// The rule version of the sender.
  RuleVersion Rules;
};

/// What one instance asks another about a flow or a request.
struct FlowQuery {
  FlowKey Flow;
  /// Zero asks for the flow's pin; else the request is asked for.
  RequestId Request;
  int64_t DeadlineMs = 0;
  /// Who wants the reply.
  InstanceId Asker;
  /// How many instances have been asked before.
  uint8_t Hops = 0;
};

/// What an instance knows of a request that another one asks for.
enum class QueryResult : uint8_t {
  NotSeen,   ///< It was never accepted here, and never will be.
  Seen,      ///< It is here; pass the packet on.
  MayBeSeen, ///< It can't be told.
};

/// The reply to a `FlowQuery`.
struct FlowReply {
  FlowKey Flow;
  RequestId Request;
  QueryResult Result = QueryResult::NotSeen;
  /// For a pin: its target and service, if there is one.
  TargetId Target;
  ServiceId Service;
  InstanceId Replier;
};

/// Another instance asks or replies.
struct QueryArrived {
  std::variant<FlowQuery, FlowReply> Message;
};

/// A heartbeat came from a peer.
struct HeartbeatArrived {
  Heartbeat Message;
};

/// The connection to a peer was refused: nothing listens there.
struct PeerRefused {
  InstanceId Peer;
};

/// A rule set was read from the platform or from a peer, and compiled.
struct RulesLearned {
  CompiledRulesPtr Rules;
};

/// A members document was read from the platform.
struct MembersLearned {
  MembersDocument Document;
};

/// Instances were named by settings or by the platform's list.
struct InstancesDiscovered {
  std::vector<InstanceInfo> Instances;
};

/// The operators ask this instance to end.
struct StopRequested {};

/// Time passes; send one every few milliseconds.
struct Tick {};

using Event =
    std::variant<PacketArrived, ForwardedPacketArrived, QueryArrived,
                 HeartbeatArrived, PeerRefused, RulesLearned, MembersLearned,
                 InstancesDiscovered, StopRequested, Tick>;

/// Send a packet to a backend server, or to the fabric for a caller.
struct SendPacket {
  /// Nothing stands for the fabric, which knows the caller by the flow.
  std::optional<TargetId> To;
  Packet Content;
  /// Not empty: send these bytes in place of encoding `Content`.
  QByteArray Datagram;
};

/// Pass a packet on to another instance.
struct ForwardPacket {
  InstanceId To;
  PacketInFlight Packet;
  uint8_t Hops = 1;
  RuleVersion Rules;
};

/// Ask another instance, or reply to it.
struct SendQuery {
  InstanceId To;
  std::variant<FlowQuery, FlowReply> Message;
};

/// Send a heartbeat.
struct SendHeartbeat {
  InstanceInfo To;
  Heartbeat Message;
};

/// Fetch a peer's rule set: it is newer than this instance's.
struct PullRules {
  InstanceInfo From;
  RuleVersion Version;
};

/// Replace the members document, if the platform still has the version before.
struct WriteMembers {
  MembersDocument Document;
};

/// Something that operators may want to read about later.
struct LogEvent {
  Reason Why = Reason::None;
  std::string Event;
  std::string Detail;
};

/// A planned stop is complete: the process may end.
struct SafeToStop {};

using Action = std::variant<SendPacket, ForwardPacket, SendQuery, SendHeartbeat,
                            PullRules, WriteMembers, LogEvent, SafeToStop>;

/// Actions in the order in which they are to be carried out.
using Actions = std::vector<Action>;

} // namespace chicory

#endif
