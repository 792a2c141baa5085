// Uses real connections on loopback, with ports that the system chooses.

#include "chicorybank/peer/Transport.h"

#include "chicorybank/base/Socket.h"

#include "Samples.h"
#include "Story.h"

#include <condition_variable>
#include <mutex>
#include <sys/socket.h>

using namespace story;
using namespace chicory;
using namespace std::chrono_literals;

namespace {

/// Records a transport's callbacks and waits for them. The timeout only ends a
/// failed run; no test depends on how long anything takes.
class CallbackRecorder {
public:
  TransportCallbacks callbacks() {
    return {.Message = [this](ControlMessage it) { add(std::move(it)); },
            .Refused = [this](InstanceId) { count(Refusals); },
            .Fault = [this](Reason it) { addFault(it); }};
  }
  bool waitFor(const std::function<bool()> &done) {
    std::unique_lock lock(Lock);
    return Changed.wait_for(lock, 20s, done);
  }
  std::vector<ControlMessage> Messages;
  std::vector<Reason> Faults;
  int Refusals = 0;

private:
  void add(ControlMessage it) {
    std::lock_guard lock(Lock);
    Messages.push_back(std::move(it));
    Changed.notify_all();
  }
  void addFault(Reason it) {
    std::lock_guard lock(Lock);
    Faults.push_back(it);
    Changed.notify_all();
  }
  void count(int &n) {
    std::lock_guard lock(Lock);
    ++n;
    Changed.notify_all();
  }
  std::mutex Lock;
  std::condition_variable Changed;
};

Address freeAddress() {
  auto socket = listenTcp({.Ip = 0x7f000001, .Port = 0});
  return boundAddress(*socket);
}

InstanceInfo infoAt(uint32_t id, Address peers) {
  return {.Id = InstanceId{id}, .Zone = "z", .Peers = peers};
}

Heartbeat heartbeat(uint64_t sequence) {
  return {.Sender = infoAt(1, {.Ip = 1, .Port = 1}), .Sequence = sequence};
}

} // namespace

class TransportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TransportTest);
  CPPUNIT_TEST(carriesMessagesInOrder);
  CPPUNIT_TEST(carriesLargeMessages);
  CPPUNIT_TEST(rejectsAnotherKey);
  CPPUNIT_TEST(reportsRefusedConnection);
  CPPUNIT_TEST(closesConnectionOnInvalidBytes);
  CPPUNIT_TEST_SUITE_END();

  struct Pair {
    explicit Pair(const QByteArray &otherKey = "one key for both sides") {
      InstanceInfo other = infoAt(2, freeAddress());
      Receiver = std::make_unique<Transport>(
          TransportOptions{.Listen = other.Peers, .Secret = otherKey},
          Received.callbacks());
      Sender = std::make_unique<Transport>(
          TransportOptions{.Listen = freeAddress(),
                           .Secret = "one key for both sides"},
          Sent.callbacks());
      To = other;
      expectTrue(Receiver->start().has_value() && Sender->start().has_value(),
                 "both start");
    }
    CallbackRecorder Received;
    CallbackRecorder Sent;
    InstanceInfo To;
    std::unique_ptr<Transport> Receiver;
    std::unique_ptr<Transport> Sender;
  };

  void carriesMessagesInOrder() {
    Pair pair;
    pair.Sender->send(pair.To, heartbeat(1));
    expectTrue(pair.Received.waitFor(
                   [&] { return pair.Received.Messages.size() == 1; }),
               "the first message arrives");
    for (uint64_t i = 2; i <= 50; ++i)
      pair.Sender->send(pair.To, heartbeat(i));
    expectTrue(pair.Received.waitFor(
                   [&] { return pair.Received.Messages.size() == 50; }),
               "all messages arrive");
    for (uint64_t i = 0; i < 50; ++i)
      expectEqual<uint64_t>(
          i + 1, std::get<Heartbeat>(pair.Received.Messages[i]).Sequence);
    expectTrue(pair.Sender->bytesSent() > 0, "bytes are counted");
  }

  void carriesLargeMessages() {
    Pair pair;
    RuleDocument document;
    RuleSet rules = samples::ruleSet(1);
    for (uint32_t i = 0; i < 20'000; ++i)
      rules.Rules.push_back({.Name = "rule " + std::to_string(i)});
    document.Manifest = paginate(rules, document.Pages);
    pair.Sender->send(pair.To, document);
    expectTrue(pair.Received.waitFor(
                   [&] { return pair.Received.Messages.size() == 1; }),
               "it arrives");
    expectTrue(std::get<RuleDocument>(pair.Received.Messages[0]) == document,
               "it is complete");
  }

  // Without authentication of the sender, any process could send control
  // messages to an instance, and rules that no operator submitted would be in
  // force.
  void rejectsAnotherKey() {
    Pair pair("a key that the sender lacks");
    pair.Sender->send(pair.To, heartbeat(1));
    expectTrue(
        pair.Received.waitFor([&] { return !pair.Received.Faults.empty(); }),
        "a fault is reported");
    expectTrue(pair.Received.Faults[0] == Reason::BadPeerKey, "for the key");
    expectTrue(pair.Received.Messages.empty(), "no message is delivered");
  }

  void reportsRefusedConnection() {
    CallbackRecorder recorder;
    Transport transport({.Listen = freeAddress(), .Secret = "a long secret"},
                        recorder.callbacks());
    expectTrue(transport.start().has_value(), "it starts");
    transport.send(infoAt(9, freeAddress()), heartbeat(1));
    expectTrue(recorder.waitFor([&] { return recorder.Refusals > 0; }),
               "the refusal is reported");
  }

  void closesConnectionOnInvalidBytes() {
    Pair pair;
    section("bytes that are not HTTP/2 close only their connection", [&] {
      auto socket = connectTcp(0x7f000001, pair.To.Peers);
      std::string garbage(5000, 'x');
      bool closed = false;
      for (int i = 0; i < 1000 && !closed; ++i) {
        ssize_t n =
            ::send(socket->get(), garbage.data(), garbage.size(), MSG_NOSIGNAL);
        char c = 0;
        closed = (n < 0 && errno == EPIPE) ||
                 ::recv(socket->get(), &c, 1, 0) == 0 || errno == ECONNRESET;
        std::this_thread::sleep_for(1ms);
      }
      expectTrue(closed, "the connection is closed");
      pair.Sender->send(pair.To, heartbeat(1));
      expectTrue(pair.Received.waitFor(
                     [&] { return !pair.Received.Messages.empty(); }),
                 "other connections still work");
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TransportTest);
