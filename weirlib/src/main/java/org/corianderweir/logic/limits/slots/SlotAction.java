package org.corianderweir.logic.limits.slots;

/** What a cell member wants done. */
public sealed interface SlotAction {
  /** Send a message to an instance of the zone. */
  record Send(SlotHolder target, SlotMessage message) implements SlotAction {}

  /** Read the register and report it. */
  record ReadRegister() implements SlotAction {}

  /** Write the register if its version is the expected one, and report the outcome. */
  record WriteRegister(long expectedVersion, CellRegister register) implements SlotAction {}
}
