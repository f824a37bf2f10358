package org.corianderweir.protocol;

import java.util.List;
import org.corianderweir.logic.traffic.SharedServerReport;

/** Messages by which entry instances of an availability zone share what servers report to them. */
public sealed interface ServerReportMessage extends PeerMessage {
  /**
   * What an instance has heard since its last message, for the collector of its zone.
   *
   * @param number number of the message, which the answer repeats
   */
  record Heard(long number, List<SharedServerReport> reports) implements ServerReportMessage {
    /** Copies the list. */
    public Heard {
      reports = List.copyOf(reports);
    }
  }

  /**
   * The collector's answer: what the other instances of the zone have heard since the last one.
   *
   * @param number number of the answered message
   */
  record Digest(long number, List<SharedServerReport> reports) implements ServerReportMessage {
    /** Copies the list. */
    public Digest {
      reports = List.copyOf(reports);
    }
  }
}
