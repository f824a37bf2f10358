package org.corianderweir.logic.limits.slots;

import java.util.List;
import java.util.Optional;
import org.corianderweir.logic.limits.LimitTiming;

/**
 * Releases slots in three steps: the instance stops spending their slices, the loans made from
 * these expire, and only then the register is changed. Not thread-safe.
 */
final class SlotRelease {
  private List<Integer> slots = List.of();
  private Optional<SlotHolder> successor = Optional.empty();
  private long loansExpiredNanoseconds;
  private boolean leaving;

  void begin(List<Integer> released, Optional<SlotHolder> next, long nowNanoseconds) {
    slots = List.copyOf(released);
    successor = next;
    loansExpiredNanoseconds =
        nowNanoseconds + LimitTiming.withClockDriftMargin(LimitTiming.LOAN_LIFETIME.toNanos());
  }

  void leave() {
    leaving = true;
  }

  boolean isLeaving() {
    return leaving;
  }

  boolean isInProgress() {
    return !slots.isEmpty();
  }

  List<Integer> withoutReleased(List<Integer> held) {
    if (leaving) {
      return List.of();
    }
    return held.stream().filter(slot -> !slots.contains(slot)).toList();
  }

  /** Returns the register without the released slots, once all loans made from them have ended. */
  Optional<CellRegister> registerAfterRelease(
      CellRegister register, SlotHolder self, long nowNanoseconds) {
    if (leaving) {
      slots = register.slotsOf(self);
    }
    if (slots.isEmpty() || nowNanoseconds < loansExpiredNanoseconds) {
      return Optional.empty();
    }
    return Optional.of(register.with(slots, successor));
  }

  /** Forgets slots that this instance no longer holds. */
  void retain(List<Integer> held) {
    slots = slots.stream().filter(held::contains).toList();
  }
}
