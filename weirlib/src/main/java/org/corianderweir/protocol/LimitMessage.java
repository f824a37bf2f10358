package org.corianderweir.protocol;

import org.corianderweir.logic.limits.LoanMessage;
import org.corianderweir.logic.limits.slots.SlotMessage;

/** Messages by which limits are shared over the fleet. */
public sealed interface LimitMessage extends PeerMessage {
  /** A message about a loan. */
  record Loan(LoanMessage message) implements LimitMessage {}

  /** A message about the slots of an availability zone. */
  record Slot(SlotMessage message) implements LimitMessage {}
}
