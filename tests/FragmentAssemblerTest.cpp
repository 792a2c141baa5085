#include "chicorybank/edge/FragmentAssembler.h"

#include "Story.h"

#include <algorithm>

using namespace story;
using namespace chicory;
using namespace chicory::edge;

namespace {

std::vector<Fragment> pieces(uint32_t sender, uint64_t message,
                             const std::string &text) {
  std::vector<Fragment> out;
  for (size_t n = 0; n < text.size(); ++n)
    out.push_back({.Sender = InstanceId{sender},
                   .Message = message,
                   .Index = static_cast<uint32_t>(n),
                   .Count = static_cast<uint32_t>(text.size()),
                   .Bytes = text.substr(n, 1)});
  return out;
}

} // namespace

class FragmentAssemblerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FragmentAssemblerTest);
  CPPUNIT_TEST(putsPiecesTogetherInAnyOrder);
  CPPUNIT_TEST(forgetsAMessageThatLostAPiece);
  CPPUNIT_TEST(keepsSendersApart);
  CPPUNIT_TEST(holdsNoMoreThanItSays);
  CPPUNIT_TEST(refusesAPieceOutsideItsMessage);
  CPPUNIT_TEST_SUITE_END();

  void putsPiecesTogetherInAnyOrder() {
    property("any order, any repetition", [] {
      std::vector<Fragment> all = pieces(1, 1, "abcde");
      auto extra = *rc::gen::container<std::vector<size_t>>(
          rc::gen::inRange<size_t>(0, 4));
      auto order = *rc::gen::container<std::vector<int>>(
          5, rc::gen::inRange<int>(0, 100));
      std::vector<size_t> turns = {0, 1, 2, 3, 4};
      std::sort(turns.begin(), turns.end(), [&](size_t a, size_t b) {
        return std::pair(order[a], a) < std::pair(order[b], b);
      });
      FragmentAssembler assembler;
      for (size_t it : extra)
        RC_ASSERT(!assembler.add(all[it]));
      std::optional<std::string> out;
      for (size_t it : turns) {
        RC_ASSERT(!out);
        out = assembler.add(all[it]);
        if (out)
          break;
      }
      RC_ASSERT(out == std::optional<std::string>("abcde"));
    });
  }

  void forgetsAMessageThatLostAPiece() {
    FragmentAssembler assembler;
    assembler.add(pieces(1, 1, "ab")[0]);
    assembler.add(pieces(1, 2, "cd")[0]);
    expectTrue(!assembler.add(pieces(1, 1, "ab")[1]), "the old one is gone");
    assembler.add(pieces(1, 3, "ef")[1]);
    expectTrue(assembler.add(pieces(1, 3, "ef")[0]) == "ef", "the newest");
  }

  void keepsSendersApart() {
    FragmentAssembler assembler;
    assembler.add(pieces(1, 1, "ab")[0]);
    assembler.add(pieces(2, 1, "xy")[0]);
    expectTrue(assembler.add(pieces(1, 1, "ab")[1]) == "ab", "the first's");
    expectTrue(assembler.add(pieces(2, 1, "xy")[1]) == "xy", "the second's");
  }

  // Symptom: memory grows with stray datagrams.
  // Sequence: pieces from ever new senders, never whole.
  // Cause: unfinished messages kept for all of them.
  void holdsNoMoreThanItSays() {
    FragmentAssembler assembler;
    constexpr uint32_t Senders = FragmentAssembler::MaxSenders + 1;
    for (uint32_t n = 1; n <= Senders; ++n)
      assembler.add(pieces(n, 1, "ab")[0]);
    expectTrue(!assembler.add(pieces(1, 1, "ab")[1]),
               "the one that waited longest was forgotten");
    expectTrue(assembler.add(pieces(Senders, 1, "ab")[1]) == "ab",
               "the newest was kept");
  }

  void refusesAPieceOutsideItsMessage() {
    FragmentAssembler assembler;
    Fragment wrong{.Sender = InstanceId{1}, .Index = 3, .Count = 2};
    expectTrue(!assembler.add(wrong), "refused");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FragmentAssemblerTest);
