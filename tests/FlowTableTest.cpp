#include "chicorybank/core/FlowTable.h"

#include "Samples.h"
#include "Story.h"

#include <map>

using namespace story;
using chicory::FlowKey;
using chicory::FlowPin;
using chicory::FlowTable;
using samples::flow;

class FlowTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowTableTest);
  CPPUNIT_TEST(refusesWhenFull);
  CPPUNIT_TEST(usesAtMost64BytesPerFlow);
  CPPUNIT_TEST(behavesLikeAMap);
  CPPUNIT_TEST(sweepsEveryPin);
  CPPUNIT_TEST_SUITE_END();

  void refusesWhenFull() {
    FlowTable table(3);
    for (uint32_t i = 0; i < 3; ++i)
      expectTrue(table.insert(flow(i)) != nullptr, "there is room");
    expectTrue(table.insert(flow(3)) == nullptr,
               "insert fails when the table is full");
    table.erase(flow(1));
    expectTrue(table.insert(flow(3)) != nullptr, "there is room again");
  }

  void usesAtMost64BytesPerFlow() {
    constexpr size_t Flows = 100'000;
    FlowTable table(Flows);
    size_t perFlow = table.memoryBytes() / Flows;
    expectTrue(perFlow <= 64,
               "at most 64 bytes a flow, got " + std::to_string(perFlow));
  }

  void behavesLikeAMap() {
    property("any sequence of inserts and erases", [] {
      FlowTable table(64);
      std::map<FlowKey, uint16_t> model;
      auto steps = *rc::gen::container<std::vector<std::pair<bool, uint32_t>>>(
          rc::gen::pair(rc::gen::arbitrary<bool>(),
                        rc::gen::inRange<uint32_t>(0, 80)));
      for (auto [insert, n] : steps) {
        FlowKey key = flow(n);
        if (!insert) {
          table.erase(key);
          model.erase(key);
        } else if (!model.contains(key)) {
          FlowPin *pin = table.insert(key);
          RC_ASSERT((pin == nullptr) == (model.size() == 64));
          if (pin == nullptr)
            continue;
          pin->PinnedTarget.Port = static_cast<uint16_t>(n);
          model[key] = static_cast<uint16_t>(n);
        }
      }
      RC_ASSERT(table.size() == model.size());
      for (uint32_t n = 0; n < 80; ++n) {
        FlowPin *pin = table.find(flow(n));
        RC_ASSERT((pin != nullptr) == model.contains(flow(n)));
        if (pin != nullptr)
          RC_ASSERT(pin->PinnedTarget.Port == model[flow(n)]);
      }
    });
  }

  void sweepsEveryPin() {
    property("a sweep of all slots erases exactly the selected pins", [] {
      auto count = *rc::gen::inRange<uint32_t>(1, 200);
      FlowTable table(200);
      for (uint32_t i = 0; i < count; ++i)
        table.insert(flow(i))->LastFromCaller = i;
      table.sweep(
          251, [](const FlowPin &pin) { return pin.LastFromCaller % 2 == 1; });
      RC_ASSERT(table.size() == (count + 1) / 2);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowTableTest);
