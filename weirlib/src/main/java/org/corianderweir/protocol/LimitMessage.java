package org.corianderweir.protocol;

import org.corianderweir.logic.limits.LoanMessage;
import org.corianderweir.logic.limits.slots.SlotMessage;

/** Messages by which entry instances divide the fleet-wide limits among themselves. */
public sealed interface LimitMessage extends PeerMessage {
  /** A message about a loan of a part of a limit from one instance to another. */
  record Loan(LoanMessage message) implements LimitMessage {}

  /** A message about the slots of an availability zone. */
  record Slot(SlotMessage message) implements LimitMessage {}
}
