#include "chicorybank/token/Backends.h"

#include "Story.h"

#include <algorithm>

using namespace story;
using namespace chicory;
using namespace chicory::token;
using namespace std::chrono_literals;

namespace {

constexpr Time Start{100s};
constexpr ServiceId Records{1};

Registration server(uint64_t id) {
  return {.Id = BackendId{id}, .Service = Records, .Zone = "a", .Slots = 2};
}

} // namespace

class BackendsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BackendsTest);
  CPPUNIT_TEST(marksGoneOnlyWhenTrusted);
  CPPUNIT_TEST(acceptsAServerThatReturns);
  CPPUNIT_TEST(removesGoneServersAfterTheMaximumFlowAge);
  CPPUNIT_TEST(detectsSharedTokens);
  CPPUNIT_TEST(endsTheEarlierOwnerOfAnAddressOnceTheNewOneAnswers);
  CPPUNIT_TEST(keepsARunningServerWhenAnEndedOneRegistersLate);
  CPPUNIT_TEST(keepsARunningServerBesideAnotherWritersEntry);
  CPPUNIT_TEST(usesAKnownServerAtTheAddressOfAnEndedOne);
  CPPUNIT_TEST(acceptsARestartWithAnEarlierClock);
  CPPUNIT_TEST(keepsADrainThatALateWriteTakesBack);
  CPPUNIT_TEST(keepsAServerThatChangedItsAddress);
  CPPUNIT_TEST(keepsTheNewerOwnerOfAnAddressAfterARestore);
  CPPUNIT_TEST(provesOnlyWhatRevisionsCanProve);
  CPPUNIT_TEST(keepsBothServersWhileTheirAgeIsUnknown);
  CPPUNIT_TEST(passesOnTheAddressOfAServerThatEnds);
  CPPUNIT_TEST(endsNoRunningServerBecauseOfItsAddress);
  CPPUNIT_TEST(detectsRestartsOfAServer);
  CPPUNIT_TEST(keepsAServerWithAnUnreadableRegistration);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a restarted server that gets no flows because its earlier
  // process had stopped answering, and against a late registration of the
  // earlier process that overwrites the new one. Registrations of several
  // processes of a server, some without a start time, arrive in any order.
  void detectsRestartsOfAServer() {
    property("the newest start time wins over late registrations", [] {
      Backends list({});
      int64_t newest = 0;
      for (int n = *rc::gen::inRange(1, 12); n > 0; --n) {
        Registration info = server(1);
        info.StartedAtMs = *rc::gen::element<int64_t>(0, 1000, 2000, 3000);
        info.Draining = *rc::gen::arbitrary<bool>();
        bool draining =
            list.indexEnd() != 0 && list.at(0).State == BackendState::Draining;
        list.applyRegistration(info, Start);
        auto restarted = list.takeRestarted();
        if (info.StartedAtMs != 0 && info.StartedAtMs < newest) {
          RC_ASSERT(restarted.empty());
          RC_ASSERT((list.at(0).State == BackendState::Draining) == draining);
          continue;
        }
        RC_ASSERT(restarted.size() ==
                  (newest != 0 && info.StartedAtMs > newest));
        newest = std::max(newest, info.StartedAtMs);
        RC_ASSERT(list.at(0).Info.StartedAtMs == newest);
        RC_ASSERT((list.at(0).State == BackendState::Draining) ==
                  info.Draining);
      }
    });
    section("observations of the earlier process are discarded", [] {
      Backends list({});
      Registration info = server(1);
      info.StartedAtMs = 1000;
      list.applyRegistration(info, Start);
      list.at(0).SuspectUntil = Start + 4s;
      list.at(0).Suspicions = 3;
      list.at(0).Probes.Failures = 3;
      list.at(0).Probes.Probing = true;
      info.StartedAtMs = 2000;
      list.applyRegistration(info, Start + 1s);
      expectTrue(!list.at(0).isSuspect(Start + 1s), "no suspicion");
      expectEqual<uint32_t>(0, list.at(0).Probes.Failures);
      expectTrue(list.at(0).Probes.Probing, "a probe is still under way");
    });
    section("a restart while the registration is missing", [] {
      Backends list({});
      Registration info = server(1);
      info.StartedAtMs = 1000;
      list.applyRegistration(info, Start);
      list.markMissing(BackendId{1}, Start + 1s);
      info.StartedAtMs = 2000;
      expectTrue(list.applyRegistration(info, Start + 2s), "it is back");
      expectEqual<size_t>(1, list.takeRestarted().size());
    });
  }

  // Guards against a running server that gets no new flows for ever, or whose
  // flows are reset, after another program has overwritten its key. The server
  // registers itself again a second later.
  void keepsAServerWithAnUnreadableRegistration() {
    Backends list({});
    expectTrue(!list.markUnreadable(BackendId{1}), "the server is unknown");
    list.applyRegistration(server(1), Start);
    expectTrue(list.markUnreadable(BackendId{1}), "the state changes");
    expectTrue(!list.at(0).acceptsNewFlows(), "no new flows");
    expectTrue(list.expire(true, Start + 1h).empty(), "it has not ended");
    expectTrue(list.applyRegistration(server(1), Start + 1h),
               "it has registered again");
    expectTrue(list.at(0).acceptsNewFlows(), "it accepts new flows again");
    section("its key is deleted while it is unreadable", [&] {
      list.markUnreadable(BackendId{1});
      list.markMissing(BackendId{1}, Start + 1h);
      expectEqual<size_t>(1, list.expire(true, Start + 1h).size());
    });
  }

  // Guards against resets of open flows to healthy servers after an outage:
  // while the registry is down registrations expire, it returns without them,
  // and the servers register again a second later. A missing registration does
  // not prove that its server has ended.
  void marksGoneOnlyWhenTrusted() {
    Backends list({});
    list.applyRegistration(server(1), Start);
    expectTrue(list.markMissing(BackendId{1}, Start), "the state changes");
    expectTrue(list.expire(false, Start).empty(),
               "nothing while the registry is not trusted");
    expectTrue(list.at(0).State == BackendState::Missing, "it is missing");
    section("the registry can be trusted again", [&] {
      expectEqual<size_t>(1, list.expire(true, Start).size());
      expectTrue(list.at(0).State == BackendState::Gone, "it is gone");
      expectTrue(list.expire(true, Start).empty(),
                 "a server that is gone is reported only once");
      expectEqual<size_t>(0, list.size());
    });
  }

  void acceptsAServerThatReturns() {
    Backends list({});
    list.applyRegistration(server(1), Start);
    list.markMissing(BackendId{1}, Start);
    list.expire(true, Start);
    expectTrue(list.applyRegistration(server(1), Start), "the state changes");
    expectTrue(list.at(0).acceptsNewFlows(), "it accepts new flows");
    expectEqual<size_t>(1, list.size());
  }

  void removesGoneServersAfterTheMaximumFlowAge() {
    Backends list({.GoneRetention = 60s});
    list.applyRegistration(server(1), Start);
    list.markMissing(BackendId{1}, Start);
    list.expire(true, Start);
    Token token = tokenOf(BackendId{1});
    list.expire(true, Start + 60s);
    expectEqual<size_t>(1, list.withToken(token).size());
    list.expire(true, Start + 61s);
    expectEqual<size_t>(0, list.withToken(token).size());
    expectTrue(list.find(BackendId{1}) == NoBackend, "it was removed");
  }

  static Registration registrationAt(uint64_t id, RegistrationOrder order) {
    Registration out = server(id);
    out.Where = {.Ip = 10, .Port = 80};
    out.Order = order;
    return out;
  }
  static Registration registrationAt(uint64_t id, uint64_t revision) {
    return registrationAt(id, RegistrationOrder{.Revision = revision});
  }
  static const Backend &backend(const Backends &list, uint64_t id) {
    return list.at(list.find(BackendId{id}));
  }
  static void answer(Backends &list, uint64_t id, Time sentAt) {
    list.recordAnswer(list.find(BackendId{id}), sentAt, sentAt + 5ms);
  }

  // Guards against requests that wait for seconds at a server that has crashed,
  // while probes of its address are answered: two seconds after the crash a
  // server of another service is started at that address, and the registration
  // of the crashed server expires only later.
  void endsTheEarlierOwnerOfAnAddressOnceTheNewOneAnswers() {
    property(
        "the order in which the registrations are read does not matter", [] {
          Backends list({});
          bool newerFirst = *rc::gen::arbitrary<bool>();
          for (bool newer : {newerFirst, !newerFirst})
            list.applyRegistration(
                newer ? registrationAt(2, 9) : registrationAt(1, 5), Start);
          RC_ASSERT(list.expire(false, Start).empty());
          RC_ASSERT(backend(list, 2).acceptsNewFlows());
          RC_ASSERT(!backend(list, 1).acceptsNewFlows());
          answer(list, 2, Start + 10ms);
          auto ended = list.expire(false, Start + 20ms);
          RC_ASSERT(ended.size() == 1U);
          RC_ASSERT(list.at(ended[0]).Info.Id == BackendId{1});
          RC_ASSERT(list.at(ended[0]).State == BackendState::Gone);
          RC_ASSERT(list.lostConflict(ended[0])->Other == BackendId{2});
          RC_ASSERT(list.size() == 1U);
          list.applyRegistration(registrationAt(1, 5), Start + 1s);
          RC_ASSERT(list.at(ended[0]).State == BackendState::Gone);
          RC_ASSERT(list.expire(false, Start + 1s).empty());
        });
    section("an answer to what was sent before proves nothing", [] {
      Backends list({});
      list.applyRegistration(registrationAt(1, 5), Start);
      list.applyRegistration(registrationAt(2, 9), Start + 4s);
      answer(list, 1, Start + 3s);
      answer(list, 2, Start - 1s);
      expectTrue(list.expire(false, Start + 5s).empty(), "none has ended");
    });
    section("servers that share a token can't be told apart", [] {
      Backends list({});
      constexpr uint64_t High = uint64_t{1} << 32;
      list.applyRegistration(registrationAt(5, 5), Start);
      list.applyRegistration(registrationAt(High | 4, 9), Start);
      answer(list, High | 4, Start + 1s);
      expectTrue(list.expire(false, Start + 1s).empty(), "none has ended");
    });
  }

  // Guards against resets of the flows of a running server, which then gets no
  // new ones any more, when the registry executes the last write of the former
  // owner of its address seconds late.
  void keepsARunningServerWhenAnEndedOneRegistersLate() {
    for (bool known : {false, true})
      for (bool answered : {false, true}) {
        Backends list({});
        if (known) {
          list.applyRegistration(registrationAt(1, 5), Start);
          list.markMissing(BackendId{1}, Start + 3s);
          list.expire(true, Start + 3s);
        }
        list.applyRegistration(registrationAt(2, 9), Start + 4s);
        if (answered)
          answer(list, 2, Start + 7s);
        list.applyRegistration(registrationAt(1, 12), Start + 7500ms);
        auto ended = list.expire(true, Start + 7500ms);
        expectTrue(std::ranges::none_of(ended,
                                        [&](BackendIndex it) {
                                          return list.at(it).Info.Id ==
                                                 BackendId{2};
                                        }),
                   "the running server has not ended");
        if (known || answered)
          expectTrue(backend(list, 2).acceptsNewFlows() &&
                         !backend(list, 1).acceptsNewFlows(),
                     "the running server gets the new flows");
        section("the running server answers", [&] {
          answer(list, 2, Start + 8s);
          expectTrue(backend(list, 2).acceptsNewFlows(), "it gets new flows");
          expectTrue(backend(list, 1).State == BackendState::Gone,
                     "the other one has ended");
        });
        section("the late registration lapses", [&] {
          list.markMissing(BackendId{1}, Start + 11s);
          list.expire(true, Start + 11s);
          expectTrue(backend(list, 2).acceptsNewFlows(), "the address is its");
        });
      }
    section("neither has answered, and the likely owner is silent", [] {
      Backends list({});
      list.applyRegistration(registrationAt(2, 9), Start);
      list.applyRegistration(registrationAt(1, 12), Start);
      list.yieldAddress(list.find(BackendId{1}));
      expectTrue(backend(list, 2).acceptsNewFlows(), "the other one is tried");
      list.yieldAddress(list.find(BackendId{1}));
      expectTrue(backend(list, 2).acceptsNewFlows(), "it was not the owner");
    });
    section("the answering server ends", [] {
      Backends list({});
      list.applyRegistration(registrationAt(2, 9), Start);
      list.applyRegistration(registrationAt(1, 12), Start);
      answer(list, 2, Start + 1s);
      expectTrue(backend(list, 1).State == BackendState::Gone, "replaced");
      list.expire(true, Start + 2min);
      list.markMissing(BackendId{2}, Start + 2min);
      list.expire(true, Start + 2min);
      expectTrue(backend(list, 1).acceptsNewFlows(),
                 "a registration that stands is used again");
      expectEqual<size_t>(1, list.takeReinstated().size());
      expectEqual<size_t>(1, list.size());
    });
  }

  // Guards against resets of the flows of a running server whose address stands
  // in an entry of another program, with a service that no one has configured.
  void keepsARunningServerBesideAnotherWritersEntry() {
    Registration foreign = registrationAt(1, 12);
    foreign.Service = ServiceId{77};
    Backends list({});
    list.setNamedServices({Records.Value}, Start);
    list.applyRegistration(registrationAt(2, 9), Start);
    list.applyRegistration(foreign, Start + 1s);
    expectTrue(list.expire(true, Start + 1s).empty(), "none has ended");
    expectTrue(backend(list, 2).acceptsNewFlows(), "it gets new flows");
    expectTrue(list.takeContested().empty(), "nothing is contested");
    section("its service is configured later", [&] {
      list.setNamedServices({Records.Value, 77}, Start + 2s);
      expectTrue(list.expire(true, Start + 2s).empty(), "none has ended");
      answer(list, 2, Start + 3s);
      expectTrue(backend(list, 2).acceptsNewFlows(), "it gets new flows");
      expectTrue(backend(list, 1).State == BackendState::Gone, "proven");
    });
    section("a server that registers before its service is configured", [] {
      Backends early({});
      early.setNamedServices({5}, Start);
      early.applyRegistration(registrationAt(2, 9), Start);
      expectTrue(backend(early, 2).State == BackendState::Ready, "it is known");
      early.setNamedServices({5, Records.Value}, Start);
      expectTrue(backend(early, 2).acceptsNewFlows(), "it gets new flows");
    });
  }

  // Guards against a running server that gets no flows, and whose open ones are
  // reset, because it has started again at the address of a server that ended:
  // its registration is the older one of the two.
  void usesAKnownServerAtTheAddressOfAnEndedOne() {
    Backends list({});
    Registration moving = registrationAt(2, 5);
    moving.Where = {.Ip = 11, .Port = 80};
    list.applyRegistration(moving, Start);
    list.applyRegistration(registrationAt(1, 9), Start);
    moving.Where = {.Ip = 10, .Port = 80};
    list.applyRegistration(moving, Start + 5s);
    expectTrue(list.expire(true, Start + 5s).empty(), "none has ended");
    expectTrue(backend(list, 2).acceptsNewFlows(), "it gets new flows");
    answer(list, 2, Start + 6s);
    expectTrue(backend(list, 1).State == BackendState::Gone,
               "the former owner has ended");
  }

  // Guards against a server that gets new flows while it drains, since nothing
  // that it writes counts: it has started again with a clock that was ahead
  // before.
  void acceptsARestartWithAnEarlierClock() {
    Backends list({});
    Registration info = server(1);
    info.StartedAtMs = 3400;
    list.applyRegistration(info, Start);
    info.StartedAtMs = 1000;
    expectTrue(!list.applyRegistration(info, Start + 1s), "it may be late");
    expectTrue(list.applyHeld(Start + 2s).empty(), "not yet");
    section("the server drains meanwhile", [&] {
      Backends draining = list;
      Registration leaving = info;
      leaving.Draining = true;
      draining.applyRegistration(leaving, Start + 2s);
      expectTrue(!draining.at(0).acceptsNewFlows(), "no new flows at once");
      expectEqual<size_t>(1, draining.applyHeld(Start + 4s).size());
      expectTrue(draining.at(0).State == BackendState::Draining, "it drains");
    });
    section("the known process writes again", [&] {
      Backends other = list;
      Registration running = info;
      running.StartedAtMs = 3400;
      other.applyRegistration(running, Start + 2s);
      expectTrue(other.applyHeld(Start + 1h).empty(), "it was a late write");
      expectEqual<int64_t>(3400, other.at(0).Info.StartedAtMs);
    });
    section("it has stood for long enough", [&] {
      list.applyHeld(Start + 4s);
      expectEqual<int64_t>(1000, list.at(0).Info.StartedAtMs);
      expectEqual<size_t>(1, list.takeRestarted().size());
      info.Draining = true;
      expectTrue(list.applyRegistration(info, Start + 9s), "it drains at once");
    });
  }

  // Guards against new flows to a server that drains, because the registry
  // executes a write from before the drain after it.
  void keepsADrainThatALateWriteTakesBack() {
    Backends list({});
    Registration info = server(1);
    info.Sequence = 7;
    info.Draining = true;
    list.applyRegistration(info, Start);
    info.Sequence = 6;
    info.Draining = false;
    expectTrue(!list.applyRegistration(info, Start + 1s), "it may be late");
    expectTrue(list.at(0).State == BackendState::Draining, "it still drains");
    section("the server writes again", [&] {
      Backends other = list;
      info.Sequence = 8;
      info.Draining = true;
      other.applyRegistration(info, Start + 2s);
      expectTrue(other.applyHeld(Start + 1h).empty(), "it was late");
    });
    section("an operator has taken the drain back", [&] {
      Backends other = list;
      info.Sequence = 8;
      info.Draining = false;
      expectTrue(other.applyRegistration(info, Start + 2s), "a later write");
      expectTrue(other.at(0).acceptsNewFlows(), "it gets new flows");
    });
  }

  void keepsAServerThatChangedItsAddress() {
    Backends list({});
    Registration moving = server(1);
    moving.Where = {.Ip = 10, .Port = 80};
    moving.Order.Revision = 5;
    list.applyRegistration(moving, Start);
    moving.Where = {.Ip = 11, .Port = 80};
    list.applyRegistration(moving, Start);
    Registration next = server(2);
    next.Where = {.Ip = 10, .Port = 80};
    next.Order.Revision = 9;
    list.applyRegistration(next, Start);
    expectTrue(list.expire(false, Start).empty(), "no server has ended");
    expectEqual<size_t>(2, list.size());
  }

  // Guards against resets of the flows of a running server because a restored
  // registry lists the earlier owner of its address in a new generation.
  void keepsTheNewerOwnerOfAnAddressAfterARestore() {
    auto at = [](uint64_t id, RegistrationOrder order) {
      Registration out = server(id);
      out.Where = {.Ip = 10, .Port = 80};
      out.Order = order;
      return out;
    };
    Backends list({});
    list.applyRegistration(at(1, {.Generation = 1, .Revision = 20}), Start);
    list.applyRegistration(at(2, {.Generation = 1, .Revision = 50}), Start);
    answer(list, 2, Start + 1s);
    list.expire(false, Start + 1s);
    list.applyRegistration(at(1, {.Generation = 2, .Revision = 20}),
                           Start + 2s);
    expectTrue(list.at(list.find(BackendId{2})).State == BackendState::Ready,
               "the newer owner stays");
    expectTrue(list.at(list.find(BackendId{1})).State == BackendState::Gone,
               "the earlier owner does not come back");
    section("a server that registers after the restore is newer", [&] {
      list.applyRegistration(at(3, {.Generation = 2, .Revision = 45}),
                             Start + 9s);
      answer(list, 3, Start + 10s);
      expectTrue(list.at(list.find(BackendId{2})).State == BackendState::Gone,
                 "the second server has ended");
    });
  }

  void provesOnlyWhatRevisionsCanProve() {
    using enum RegistrationOrigin;
    RegistrationOrder held{.Generation = 2, .Revision = 61};
    section("of a restored registry", [&] {
      RegistrationOrder copied{
          .Generation = 3, .Revision = 45, .Origin = UpToThis};
      expectTrue(!copied.provesNewerThan(held), "it may be from the copy");
      expectTrue(!held.provesNewerThan(copied), "it may be made since");
      expectTrue(copied < held && !(held < copied), "most likely it is older");
      copied.Revision = 62;
      expectTrue(copied.provesNewerThan(held), "a higher revision");
      RegistrationOrder made{.Generation = 3, .Revision = 45};
      expectTrue(made.provesNewerThan(held), "surely made since");
    });
    section("of one generation", [&] {
      RegistrationOrder listed{
          .Generation = 2, .Revision = 60, .Origin = UpToThis};
      expectTrue(held.provesNewerThan(listed), "revisions decide");
      expectTrue(!listed.provesNewerThan(held), "revisions decide");
    });
    section("from a stale read, even from before a restore", [&] {
      RegistrationOrder stale{
          .Generation = 3, .Revision = 70, .Origin = Uncertain};
      expectTrue(!stale.provesNewerThan(held), "it may have been lost");
      stale.Revision = 50;
      expectTrue(!held.provesNewerThan(stale), "of a later generation");
      held.Generation = 3;
      expectTrue(held.provesNewerThan(stale), "revisions decide");
    });
  }

  // Guards against resets of the flows of a running server by an instance that
  // started after the earlier owner of its address had ended, and to which a
  // restored registry lists that owner in a new generation.
  void keepsBothServersWhileTheirAgeIsUnknown() {
    Backends list({});
    RegistrationOrder copied{.Generation = 3,
                             .Revision = 45,
                             .Origin = RegistrationOrigin::UpToThis};
    list.applyRegistration(registrationAt(2, {.Generation = 2, .Revision = 61}),
                           Start);
    list.applyRegistration(registrationAt(1, copied), Start);
    expectTrue(list.expire(true, Start).empty(), "no server has ended");
    expectTrue(backend(list, 2).acceptsNewFlows(), "the likely owner does");
    expectTrue(!backend(list, 1).acceptsNewFlows(), "the other one does not");
    expectEqual<size_t>(1, list.takeContested().size());
    AddressConflict conflict = list.conflictOf(list.find(BackendId{1}));
    expectTrue(conflict.Other == BackendId{2}, "by whom");
    section("read in the other order", [&] {
      Backends other({});
      other.applyRegistration(registrationAt(1, copied), Start);
      other.applyRegistration(
          registrationAt(2, {.Generation = 2, .Revision = 61}), Start);
      expectTrue(other.expire(true, Start).empty(), "no server has ended");
      expectTrue(backend(other, 2).acceptsNewFlows() &&
                     !backend(other, 1).acceptsNewFlows(),
                 "the result is the same");
    });
    section("the owner registers again", [&] {
      list.applyRegistration(
          registrationAt(2, {.Generation = 3, .Revision = 63}), Start);
      answer(list, 2, Start + 1s);
      expectTrue(backend(list, 1).State == BackendState::Gone, "it has ended");
      expectTrue(backend(list, 2).State == BackendState::Ready, "it stays");
      expectEqual<size_t>(1, list.expire(false, Start).size());
      expectTrue(list.lostConflict(list.find(BackendId{1})) != nullptr,
                 "because of the conflict");
    });
  }

  // Guards against a server that never gets flows, since the registration that
  // seemed to be newer was that of a server which had ended.
  void passesOnTheAddressOfAServerThatEnds() {
    auto conflict = [] {
      Backends list({});
      list.applyRegistration(
          registrationAt(2, {.Generation = 2, .Revision = 61}), Start);
      for (uint64_t id : {3, 4})
        list.applyRegistration(
            registrationAt(id, {.Generation = 3,
                                .Revision = 40 + id,
                                .Origin = RegistrationOrigin::UpToThis}),
            Start);
      return list;
    };
    section("its registration ends", [&] {
      Backends list = conflict();
      list.markMissing(BackendId{2}, Start);
      expectTrue(!backend(list, 4).acceptsNewFlows(), "it may be back");
      list.expire(true, Start);
      expectTrue(backend(list, 4).acceptsNewFlows(), "the newer one");
    });
    section("it moves to another address", [&] {
      Backends list = conflict();
      Registration moved = registrationAt(2, {.Generation = 2, .Revision = 61});
      moved.Where.Ip = 11;
      list.applyRegistration(moved, Start);
      expectTrue(backend(list, 2).acceptsNewFlows(), "it stays");
      expectTrue(backend(list, 4).acceptsNewFlows(), "the newer one");
    });
  }

  // Servers follow each other at one address, and the registry is restored
  // between their registrations. An instance knows any of them, and reads any
  // others in any order: those that the registry holds, and at the end the
  // running one.
  void endsNoRunningServerBecauseOfItsAddress() {
    property("the running server is never gone", [] {
      struct Made {
        uint64_t Id;
        uint64_t Generation;
        uint64_t Revision;
      };
      // What each generation's history holds, and where the generation began.
      std::vector<std::vector<Made>> histories(1);
      std::vector<uint64_t> begins{0};
      uint64_t revision = 0;
      uint64_t id = 0;
      auto make = [&] {
        revision += *rc::gen::inRange<uint64_t>(1, 5);
        histories.back().push_back(
            {.Id = ++id, .Generation = begins.size(), .Revision = revision});
      };
      Backends list({});
      Time now = Start;
      auto read = [&](size_t generation, const Made &it, bool stale) {
        using enum RegistrationOrigin;
        bool surely =
            it.Revision > begins[generation - 1] && *rc::gen::arbitrary<bool>();
        list.applyRegistration(
            registrationAt(it.Id, {.Generation = generation,
                                   .Revision = it.Revision,
                                   .Origin = stale    ? Uncertain
                                             : surely ? ThisGeneration
                                                      : UpToThis}),
            now);
      };
      // The server that was made last is the running one. It may answer.
      auto maybeAnswer = [&] {
        now += 3s;
        if (list.find(BackendId{id}) != NoBackend &&
            *rc::gen::arbitrary<bool>())
          answer(list, id, now);
        now += 3s;
      };
      auto readSome = [&] {
        size_t now = begins.size();
        for (int n = *rc::gen::inRange(0, 4); n > 0; --n) {
          bool stale = *rc::gen::arbitrary<bool>();
          size_t of = stale ? *rc::gen::inRange<size_t>(0, now) : now - 1;
          if (!histories[of].empty())
            read(now, *rc::gen::elementOf(histories[of]), stale);
        }
      };
      make();
      for (int n = *rc::gen::inRange(1, 8); n > 0; --n) {
        readSome();
        maybeAnswer();
        if (*rc::gen::arbitrary<bool>()) {
          make();
          continue;
        }
        // A restore keeps the registrations up to some revision.
        revision = *rc::gen::inRange<uint64_t>(0, revision + 1);
        std::vector<Made> kept = histories.back();
        std::erase_if(kept,
                      [&](const Made &it) { return it.Revision > revision; });
        histories.push_back(std::move(kept));
        begins.push_back(revision);
      }
      // The last of all servers is the running one, and it writes again.
      make();
      const Made running = histories.back().back();
      read(begins.size(), running, false);
      readSome();
      RC_ASSERT(backend(list, running.Id).State == BackendState::Ready);
      now += 3s;
      answer(list, running.Id, now);
      readSome();
      now += 3s;
      answer(list, running.Id, now);
      RC_ASSERT(backend(list, running.Id).acceptsNewFlows());
      RC_ASSERT(list.size() == 1U);
    });
  }

  void detectsSharedTokens() {
    Backends list({});
    constexpr uint64_t High = uint64_t{1} << 32;
    list.applyRegistration(server(5), Start);
    expectTrue(!list.sharesToken(0), "no other server");
    list.applyRegistration(server(High | 4), Start);
    expectTrue(tokenOf(BackendId{High | 4}) == tokenOf(BackendId{5}),
               "both ids have the same token");
    expectTrue(list.sharesToken(0) && list.sharesToken(1), "both share it");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendsTest);
