package org.corianderweir.logic.traffic;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * Decides whether an instance sends reports to its collector. The next message waits for the answer
 * to the previous one, so that on a link that stands still no messages gather whose reports would
 * arrive much older than they say. A collector that leaves several messages unanswered is lost, or
 * is of a version that does not know them and closes the connection; it gets one message from time
 * to time until it answers. Not thread-safe.
 */
public final class ReportPacing {
  private static final int UNANSWERED_LIMIT = 3;

  /** After this time the reports of an answer have no weight any more. */
  private static final Duration ANSWER_TIMEOUT = SharedServerReport.LIFETIME;

  private static final Duration RETRY_INTERVAL = Duration.ofSeconds(10);

  private String collector = "";
  private int unansweredCount;
  private long number;
  private long sentNanoseconds;

  /** Returns whether a message may be sent to a collector now. */
  public boolean maySend(String newCollector, long nowNanoseconds) {
    if (!newCollector.equals(collector)) {
      collector = newCollector;
      unansweredCount = 0;
    }
    Duration pause = isLost() ? RETRY_INTERVAL : ANSWER_TIMEOUT;
    return unansweredCount == 0 || nowNanoseconds - sentNanoseconds >= pause.toNanos();
  }

  /** Records that a message is sent to the collector, and returns its number. */
  public long recordSent(long nowNanoseconds) {
    sentNanoseconds = nowNanoseconds;
    unansweredCount++;
    number++;
    return number;
  }

  /**
   * Records an answer.
   *
   * @param answeredNumber number of the answered message
   * @return the time at which the answered message was sent, from which the ages in the answer
   *     count; empty if the answer is not one to the latest message
   */
  public OptionalLong recordAnswer(String sender, long answeredNumber) {
    if (!sender.equals(collector) || answeredNumber != number || unansweredCount == 0) {
      return OptionalLong.empty();
    }
    unansweredCount = 0;
    return OptionalLong.of(sentNanoseconds);
  }

  /** Returns whether the collector has left several messages without an answer. */
  public boolean isLost() {
    return unansweredCount >= UNANSWERED_LIMIT;
  }
}
