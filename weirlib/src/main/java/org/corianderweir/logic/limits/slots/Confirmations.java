package org.corianderweir.logic.limits.slots;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The confirmations that this instance has received as a holder, and the time at which a majority
 * had last confirmed it. Not thread-safe.
 */
final class Confirmations {
  private final Map<SlotHolder, Long> confirmedNanoseconds = new HashMap<>();
  private final Set<SlotHolder> excluded = new HashSet<>();

  /**
   * Records a confirmation.
   *
   * @param from the holder that confirmed
   * @param probeSentNanoseconds when this instance sent the probe, on its own clock
   */
  void recordConfirmation(SlotHolder from, long probeSentNanoseconds) {
    confirmedNanoseconds.merge(from, probeSentNanoseconds, Math::max);
  }

  /** Ignores the confirmations of some holders until the register changes. */
  void excludeUntilRegisterChange(List<SlotHolder> holders) {
    excluded.addAll(holders);
  }

  /**
   * Forgets the confirmations of former holders, and the exclusions, which only hold for one
   * version of the register.
   */
  void registerChanged(CellRegister register) {
    confirmedNanoseconds.keySet().retainAll(register.distinctHolders());
    excluded.clear();
  }

  /**
   * Returns the latest time at which a majority of the slots had confirmed the instance, or {@code
   * Long.MIN_VALUE} if there is none.
   */
  long majorityConfirmedNanoseconds(CellRegister register, SlotHolder self, long nowNanoseconds) {
    List<Long> times = new ArrayList<>();
    for (Optional<SlotHolder> holder : register.holders()) {
      holder.ifPresent(
          present -> times.add(confirmationNanoseconds(present, self, nowNanoseconds)));
    }
    if (times.size() < register.majority()) {
      return Long.MIN_VALUE;
    }
    times.sort(Comparator.reverseOrder());
    return times.get(register.majority() - 1);
  }

  private long confirmationNanoseconds(SlotHolder holder, SlotHolder self, long nowNanoseconds) {
    if (holder.equals(self)) {
      return nowNanoseconds;
    }
    if (excluded.contains(holder)) {
      return Long.MIN_VALUE;
    }
    return confirmedNanoseconds.getOrDefault(holder, Long.MIN_VALUE);
  }
}
