package org.corianderweir.logic.limits.slots;

import java.util.List;
import java.util.Optional;

/** The changes of a register that an instance may make without a vote. */
final class SlotClaims {
  private SlotClaims() {}

  /**
   * Claims the slots of an earlier run at the same address. That run must have ended, because this
   * one has bound its address.
   */
  static Optional<CellRegister> replaceEarlierIncarnation(CellRegister register, SlotHolder self) {
    return register.distinctHolders().stream()
        .filter(self::replaces)
        .findFirst()
        .map(earlier -> register.with(register.slotsOf(earlier), Optional.of(self)));
  }

  /** Claims free slots, up to an even share among the live instances of the zone. */
  static Optional<CellRegister> claimFreeSlots(
      CellRegister register, SlotHolder self, int zoneMembers) {
    int evenShare = Math.ceilDiv(register.holders().size(), Math.max(1, zoneMembers));
    int missingSlots = evenShare - register.slotsOf(self).size();
    List<Integer> free = register.freeSlots();
    if (missingSlots <= 0 || free.isEmpty()) {
      return Optional.empty();
    }
    List<Integer> claimed = free.subList(0, Math.min(missingSlots, free.size()));
    return Optional.of(register.with(claimed, Optional.of(self)));
  }
}
