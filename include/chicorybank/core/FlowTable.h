// The target that each flow is pinned to.
//
// An open-addressing hash table with linear probing, allocated once: its memory
// has a hard bound and no packet ever waits for a rehash. A full table refuses
// new flows (Reason::FlowTableFull) and never evicts an established one.

#ifndef CHICORYBANK_CORE_FLOWTABLE_H
#define CHICORYBANK_CORE_FLOWTABLE_H

#include "chicorybank/base/Types.h"

#include <vector>

namespace chicory {

/// The state of one flow. 40 bytes.
struct FlowPin {
  uint64_t SourceBits = 0;
  uint64_t DestinationBits = 0;
  TargetId PinnedTarget;
  ServiceId Service;
  /// Seconds on `CoreClock`, for expiry and for finding silent flows.
  uint32_t LastFromCaller = 0;
  uint32_t LastFromTarget = 0;
  uint8_t Protocol = 0;
  bool Used = false;
  /// The target was guessed during a recovery and has not answered yet.
  bool Tentative = false;
  /// Packets from the caller since the target last sent one.
  uint8_t Unanswered = 0;

  FlowKey key() const {
    return {.Source = Address::unpack(SourceBits),
            .Destination = Address::unpack(DestinationBits),
            .Protocol = Protocol};
  }
};

/// Maps flow keys to pins.
///
///   FlowTable flows(100'000);
///   if (FlowPin *pin = flows.insert(key))
///     pin->PinnedTarget = target;
class FlowTable {
public:
  /// Creates a table for `capacity` flows. It has a quarter more slots than
  /// that, to keep probe sequences short.
  explicit FlowTable(size_t capacity);

  /// Returns the pin of a flow, or null. Valid until the next insert or erase.
  FlowPin *find(const FlowKey &key);
  /// Returns a new pin, or null if the table is full. The key must be absent.
  FlowPin *insert(const FlowKey &key);
  /// Removes a flow if it is present.
  void erase(const FlowKey &key);
  /// Calls `visit` for the pins in the next `count` slots, continuing where the
  /// last sweep ended. A pin is erased if `visit` returns true for it.
  template <typename Visit> void sweep(size_t count, Visit visit);

  size_t size() const { return Count; }
  size_t capacity() const { return Capacity; }
  /// Returns the memory of the table in bytes.
  size_t memoryBytes() const { return Slots.size() * sizeof(FlowPin); }

private:
  size_t preferredSlot(const FlowKey &key) const;
  size_t findSlot(const FlowKey &key) const;
  void eraseAt(size_t i);

  size_t Capacity;
  size_t Count = 0;
  size_t SweepPosition = 0;
  std::vector<FlowPin> Slots;
};

template <typename Visit> void FlowTable::sweep(size_t count, Visit visit) {
  for (size_t n = 0; n < count; ++n) {
    SweepPosition = (SweepPosition + 1) % Slots.size();
    FlowPin &pin = Slots[SweepPosition];
    // Erasing may move a later pin into this slot, so check it again.
    while (pin.Used && visit(pin))
      eraseAt(SweepPosition);
  }
}

} // namespace chicory

#endif
