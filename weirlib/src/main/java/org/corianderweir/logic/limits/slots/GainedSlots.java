package org.corianderweir.logic.limits.slots;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.corianderweir.logic.limits.LimitTiming;

/** When each slot came from a former holder. Not thread-safe. */
final class GainedSlots {
  private final Map<Integer, Long> gainedNanoseconds = new HashMap<>();

  void registerChanged(CellView before, CellView after, SlotHolder self, long nowNanoseconds) {
    List<Integer> held = after.register().slotsOf(self);
    gainedNanoseconds.keySet().retainAll(held);
    boolean nextVersion = after.version() == before.version() + 1;
    for (int slot : held) {
      boolean mine = before.register().slotsOf(self).contains(slot);
      boolean firstHolder = nextVersion && !before.register().everHeld().contains(slot);
      if (!mine && !firstHolder) {
        gainedNanoseconds.put(slot, nowNanoseconds);
      }
    }
  }

  boolean settled(int slot, long settleNanoseconds, long nowNanoseconds) {
    Long gained = gainedNanoseconds.get(slot);
    return gained == null || nowNanoseconds - gained >= LimitTiming.withDrift(settleNanoseconds);
  }
}
