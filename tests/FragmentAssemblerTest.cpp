#include "chicorybank/edge/FragmentAssembler.h"

#include "Story.h"

#include <algorithm>

using namespace story;
using namespace chicory;
using namespace chicory::edge;

namespace {

std::vector<Fragment> fragments(uint32_t sender, uint64_t message,
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
  CPPUNIT_TEST(reassemblesFragmentsInAnyOrder);
  CPPUNIT_TEST(dropsIncompleteMessageWhenTheNextBegins);
  CPPUNIT_TEST(keepsSendersApart);
  CPPUNIT_TEST(boundsTheNumberOfSenders);
  CPPUNIT_TEST(refusesFragmentOutsideItsMessage);
  CPPUNIT_TEST_SUITE_END();

  void reassemblesFragmentsInAnyOrder() {
    property("any order and repetition", [] {
      std::vector<Fragment> all = fragments(1, 1, "abcde");
      auto extra = *rc::gen::container<std::vector<size_t>>(
          rc::gen::inRange<size_t>(0, 4));
      auto order = *rc::gen::container<std::vector<int>>(
          5, rc::gen::inRange<int>(0, 100));
      std::vector<size_t> sequence = {0, 1, 2, 3, 4};
      std::sort(sequence.begin(), sequence.end(), [&](size_t a, size_t b) {
        return std::pair(order[a], a) < std::pair(order[b], b);
      });
      FragmentAssembler assembler;
      for (size_t it : extra)
        RC_ASSERT(!assembler.add(all[it]));
      std::optional<std::string> out;
      for (size_t it : sequence) {
        RC_ASSERT(!out);
        out = assembler.add(all[it]);
        if (out)
          break;
      }
      RC_ASSERT(out == std::optional<std::string>("abcde"));
    });
  }

  void dropsIncompleteMessageWhenTheNextBegins() {
    FragmentAssembler assembler;
    assembler.add(fragments(1, 1, "ab")[0]);
    assembler.add(fragments(1, 2, "cd")[0]);
    expectTrue(!assembler.add(fragments(1, 1, "ab")[1]),
               "the old message is dropped");
    assembler.add(fragments(1, 3, "ef")[1]);
    expectTrue(assembler.add(fragments(1, 3, "ef")[0]) == "ef",
               "the newest message");
  }

  void keepsSendersApart() {
    FragmentAssembler assembler;
    assembler.add(fragments(1, 1, "ab")[0]);
    assembler.add(fragments(2, 1, "xy")[0]);
    expectTrue(assembler.add(fragments(1, 1, "ab")[1]) == "ab", "first sender");
    expectTrue(assembler.add(fragments(2, 1, "xy")[1]) == "xy",
               "second sender");
  }

  // Guards against memory that grows with stray datagrams: incomplete messages
  // of ever new senders must not all be kept.
  void boundsTheNumberOfSenders() {
    FragmentAssembler assembler;
    constexpr uint32_t Senders = FragmentAssembler::MaxSenders + 1;
    for (uint32_t n = 1; n <= Senders; ++n)
      assembler.add(fragments(n, 1, "ab")[0]);
    expectTrue(!assembler.add(fragments(1, 1, "ab")[1]),
               "the least recently used sender was dropped");
    expectTrue(assembler.add(fragments(Senders, 1, "ab")[1]) == "ab",
               "the newest sender was kept");
  }

  void refusesFragmentOutsideItsMessage() {
    FragmentAssembler assembler;
    Fragment wrong{.Sender = InstanceId{1}, .Index = 3, .Count = 2};
    expectTrue(!assembler.add(wrong), "refused");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FragmentAssemblerTest);
