package org.corianderweir.protocol;

import org.corianderweir.logic.membership.Member;
import org.corianderweir.model.timeline.HybridTimestamp;

/** Messages by which entry instances learn of each other. */
public sealed interface MembershipMessage extends PeerMessage {
  /**
   * "I am alive", sent at a fixed interval.
   *
   * @param sender who sends it
   * @param timestamp the sender's hybrid clock
   */
  record Heartbeat(Member sender, HybridTimestamp timestamp) implements MembershipMessage {}
}
