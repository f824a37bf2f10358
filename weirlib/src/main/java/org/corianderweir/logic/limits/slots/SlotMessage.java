package org.corianderweir.logic.limits.slots;

import java.util.List;

/** What the entry instances of a cell tell each other. Any message may be lost or repeated. */
public sealed interface SlotMessage {
  /** Returns who sends it. */
  SlotHolder sender();

  /**
   * Asks for a confirmation.
   *
   * @param sender who asks
   * @param sentNanoseconds the sender's monotonic time, to be echoed
   * @param view the register that the sender knows
   */
  record Probe(SlotHolder sender, long sentNanoseconds, CellView view) implements SlotMessage {}

  /**
   * A promise not to vote against the probe's sender for the takeover time.
   *
   * @param sender who promises
   * @param echoedNanoseconds time of the probe
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

  /** Asks for a vote that a holder is silent; it counts for one version of the register. */
  record VoteRequest(SlotHolder sender, SlotHolder suspect, long version) implements SlotMessage {}

  /** A vote that a holder is silent; its sender confirms it no more at this version. */
  record Vote(SlotHolder sender, SlotHolder suspect, long version) implements SlotMessage {}

  /** Asks a holder of several slots for one of them. */
  record HandoverRequest(SlotHolder sender) implements SlotMessage {}
}
