#include "chicorybank/core/FlowTable.h"

#include "chicorybank/base/Hash.h"

namespace chicory {

FlowTable::FlowTable(size_t capacity)
    : Capacity(capacity), Slots(capacity + capacity / 4 + 1) {}

size_t FlowTable::preferredSlot(const FlowKey &key) const {
  // The high half of the product maps the hash onto the table without a
  // division (Lemire, "Fast random integer generation in an interval", 2019).
  unsigned __int128 product = hashFlow(key);
  product *= Slots.size();
  return static_cast<size_t>(product >> 64);
}

size_t FlowTable::findSlot(const FlowKey &key) const {
  uint64_t source = key.Source.packed();
  uint64_t destination = key.Destination.packed();
  size_t i = preferredSlot(key);
  while (Slots[i].Used) {
    const FlowPin &pin = Slots[i];
    if (pin.SourceBits == source && pin.DestinationBits == destination &&
        pin.Protocol == key.Protocol)
      return i;
    i = i + 1 == Slots.size() ? 0 : i + 1;
  }
  return i;
}

FlowPin *FlowTable::find(const FlowKey &key) {
  FlowPin &pin = Slots[findSlot(key)];
  return pin.Used ? &pin : nullptr;
}

FlowPin *FlowTable::insert(const FlowKey &key) {
  if (Count == Capacity)
    return nullptr;
  FlowPin &pin = Slots[findSlot(key)];
  pin = {.SourceBits = key.Source.packed(),
         .DestinationBits = key.Destination.packed(),
         .Protocol = key.Protocol,
         .Used = true};
  ++Count;
  return &pin;
}

void FlowTable::erase(const FlowKey &key) {
  size_t i = findSlot(key);
  if (Slots[i].Used)
    eraseAt(i);
}

void FlowTable::eraseAt(size_t i) {
  // Backward-shift deletion: moves later pins of the same probe sequence back,
  // so that no tombstones accumulate.
  size_t size = Slots.size();
  size_t next = i + 1 == size ? 0 : i + 1;
  while (Slots[next].Used) {
    size_t wanted = preferredSlot(Slots[next].key());
    size_t distanceToHole = (i + size - wanted) % size;
    size_t distanceToNext = (next + size - wanted) % size;
    if (distanceToHole < distanceToNext) {
      Slots[i] = Slots[next];
      i = next;
    }
    next = next + 1 == size ? 0 : next + 1;
  }
  Slots[i] = FlowPin{};
  --Count;
}

} // namespace chicory
