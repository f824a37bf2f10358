package org.corianderweir.logic.limits.slots;

/** An action that the program must perform for a cell member. */
public sealed interface SlotAction {
  /** Sends a message to an instance of the zone. */
  record Send(SlotHolder target, SlotMessage message) implements SlotAction {}

  /** Reads the register and reports the result. */
  record ReadRegister() implements SlotAction {}

  /** Writes the register if its version is the expected one, and reports the outcome. */
  record WriteRegister(long expectedVersion, CellRegister register) implements SlotAction {}
}
