package org.corianderweir.logic.limits.slots;

import java.util.List;

/** Messages between the entry instances of a cell. Any message may be lost or duplicated. */
public sealed interface SlotMessage {
  /** Returns the sender of the message. */
  SlotHolder sender();

  /**
   * Requests a confirmation.
   *
   * @param sender the holder that requests the confirmation
   * @param sentNanoseconds the sender's monotonic time, which the confirmation returns
   * @param view the register that the sender knows
   */
  record Probe(SlotHolder sender, long sentNanoseconds, CellView view) implements SlotMessage {}

  /**
   * A promise not to vote against the probe's sender for the takeover timeout.
   *
   * @param sender the holder that makes the promise
   * @param echoedNanoseconds time that the probe contained
   * @param view the register that the sender knows
   * @param votedAgainst holders that the sender has voted against
   */
  record Confirmation(
      SlotHolder sender, long echoedNanoseconds, CellView view, List<SlotHolder> votedAgainst)
      implements SlotMessage {
    /** Copies the list. */
    public Confirmation {
      votedAgainst = List.copyOf(votedAgainst);
    }
  }

  /** Requests a vote that a holder is unresponsive, valid for one version of the register. */
  record VoteRequest(SlotHolder sender, SlotHolder suspect, long version) implements SlotMessage {}

  /**
   * A vote that a holder is unresponsive. Its sender does not confirm that holder any more at this
   * version.
   */
  record Vote(SlotHolder sender, SlotHolder suspect, long version) implements SlotMessage {}

  /** Requests that a holder of several slots hand one of them over to the sender. */
  record HandoverRequest(SlotHolder sender) implements SlotMessage {}
}
