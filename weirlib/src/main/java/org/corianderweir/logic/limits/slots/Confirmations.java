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
 * The confirmations that a holder has got, and until when they make it sure of its slots. Not
 * thread-safe.
 */
final class Confirmations {
  private final Map<SlotHolder, Long> confirmedNanoseconds = new HashMap<>();
  private final Set<SlotHolder> excluded = new HashSet<>();

  /**
   * Takes a confirmation.
   *
   * @param from who confirmed
   * @param probeSentNanoseconds when this instance sent the probe, on its own clock
   */
  void recordConfirmation(SlotHolder from, long probeSentNanoseconds) {
    confirmedNanoseconds.merge(from, probeSentNanoseconds, Math::max);
  }

  /** Does not count the confirmations of some holders until the register changes. */
  void excludeUntilRegisterChange(List<SlotHolder> holders) {
    excluded.addAll(holders);
  }

  /** Forgets former holders, and votes that the new version of the register made void. */
  void registerChanged(CellRegister register) {
    confirmedNanoseconds.keySet().retainAll(register.distinctHolders());
    excluded.clear();
  }

  /** Returns the latest time at which a majority of the slots had confirmed the instance. */
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
