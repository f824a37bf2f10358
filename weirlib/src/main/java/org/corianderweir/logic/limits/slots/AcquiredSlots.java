package org.corianderweir.logic.limits.slots;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.corianderweir.logic.limits.LimitTiming;

/**
 * Records when this instance acquired each slot that may have had another holder before. Not
 * thread-safe.
 */
final class AcquiredSlots {
  private final Map<Integer, Long> acquiredNanoseconds = new HashMap<>();

  void registerChanged(CellView before, CellView after, SlotHolder self, long nowNanoseconds) {
    List<Integer> held = after.register().slotsOf(self);
    acquiredNanoseconds.keySet().retainAll(held);
    boolean nextVersion = after.version() == before.version() + 1;
    for (int slot : held) {
      boolean heldBefore = before.register().slotsOf(self).contains(slot);
      boolean firstHolder = nextVersion && !before.register().everHeld().contains(slot);
      if (!heldBefore && !firstHolder) {
        acquiredNanoseconds.put(slot, nowNanoseconds);
      }
    }
  }

  boolean isSettled(int slot, long settleNanoseconds, long nowNanoseconds) {
    Long acquired = acquiredNanoseconds.get(slot);
    return acquired == null
        || nowNanoseconds - acquired >= LimitTiming.withClockDriftMargin(settleNanoseconds);
  }
}
