// The events that a core handles and the actions that it returns.
//
// The surrounding program (a daemon, test or benchmark) turns everything that
// happens into events, passes each to `Core::handle` with the current time, and
// performs the actions. A core does no I/O itself; docs/CORE-API.md has a
// complete program.

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

/// A packet together with the datagram that it arrived in.
///
/// For kinds that are forwarded unchanged only the header fields of `Content`
/// are set, and `Datagram` is what is sent. A program that uses another framing
/// puts its own bytes there.
struct PacketInFlight {
  Packet Content;
  QByteArray Datagram;
  /// The sender towards the first instance: the fabric or a backend server.
  Address From;
};

/// A packet came from the fabric or from a backend server.
struct PacketArrived {
  PacketInFlight Packet;
};

/// Another instance forwarded a packet.
struct ForwardedPacketArrived {
  InstanceId Sender;
  PacketInFlight Packet;
  /// How many instances have handled it before.
  uint8_t Hops = 1;
  /// The rule version of the sender.
  RuleVersion Rules;
};

/// What one instance asks another about a flow or a request.
struct FlowQuery {
  FlowKey Flow;
  /// Zero queries the flow's pin; any other id queries that request.
  RequestId Request;
  int64_t DeadlineMs = 0;
  /// The instance that the reply goes to.
  InstanceId Asker;
  /// How many instances have received the query before.
  uint8_t Hops = 0;
};

/// What an instance knows about the flow or request of a query.
enum class QueryResult : uint8_t {
  /// For a request: it was never accepted here, and never will be. For a flow:
  /// it has no pin here, or only a tentative one.
  NotSeen,
  Seen,      ///< It is recorded here; forward the packet.
  MayBeSeen, ///< Unknown: it may have been accepted here.
};

/// The reply to a `FlowQuery`.
struct FlowReply {
  FlowKey Flow;
  RequestId Request;
  QueryResult Result = QueryResult::NotSeen;
  /// The target and service of the flow's pin, if there is one.
  TargetId Target;
  ServiceId Service;
  InstanceId Replier;
};

/// Another instance sent a query or a reply.
struct QueryArrived {
  std::variant<FlowQuery, FlowReply> Message;
};

/// A peer sent a heartbeat.
struct HeartbeatArrived {
  Heartbeat Message;
};

/// A peer refused the connection: no process listens there.
struct PeerRefused {
  InstanceId Peer;
};

/// A rule set was read from the platform or from a peer and was compiled.
struct RulesLearned {
  CompiledRulesPtr Rules;
};

/// A members document was read from the platform.
struct MembersLearned {
  MembersDocument Document;
};

/// Instances were found in the settings or in the platform's list.
struct InstancesDiscovered {
  std::vector<InstanceInfo> Instances;
};

/// The operators request a planned stop of this instance.
struct StopRequested {};

/// Time has passed; send one every few milliseconds.
struct Tick {};

using Event =
    std::variant<PacketArrived, ForwardedPacketArrived, QueryArrived,
                 HeartbeatArrived, PeerRefused, RulesLearned, MembersLearned,
                 InstancesDiscovered, StopRequested, Tick>;

/// Send a packet to a backend server, or through the fabric to a caller.
struct SendPacket {
  /// Empty for the fabric, which finds the caller by the flow.
  std::optional<TargetId> To;
  Packet Content;
  /// If not empty, these bytes are sent instead of encoding `Content`.
  QByteArray Datagram;
};

/// Forward a packet to another instance.
struct ForwardPacket {
  InstanceId To;
  PacketInFlight Packet;
  uint8_t Hops = 1;
  RuleVersion Rules;
};

/// Send a query or a reply to another instance.
struct SendQuery {
  InstanceId To;
  std::variant<FlowQuery, FlowReply> Message;
};

/// Send a heartbeat.
struct SendHeartbeat {
  InstanceInfo To;
  Heartbeat Message;
};

/// Fetch a peer's rule set, which is newer than this instance's.
struct PullRules {
  InstanceInfo From;
  RuleVersion Version;
};

/// Write the members document, if the platform still has the version before it.
struct WriteMembers {
  MembersDocument Document;
};

/// Log an event that operators may look up later.
struct LogEvent {
  Reason Why = Reason::None;
  std::string Event;
  std::string Detail;
};

/// A planned stop is complete; the process may exit.
struct SafeToStop {};

using Action = std::variant<SendPacket, ForwardPacket, SendQuery, SendHeartbeat,
                            PullRules, WriteMembers, LogEvent, SafeToStop>;

/// Actions in the order in which they must be performed.
using Actions = std::vector<Action>;

} // namespace chicory

#endif
