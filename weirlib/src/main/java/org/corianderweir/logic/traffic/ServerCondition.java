package org.corianderweir.logic.traffic;

/**
 * What an instance believes of a backend server at a time. Its registration, what it said of itself
 * in answers, and what requests to it met each tell a part. What the server said itself goes before
 * an older registration; only a new start of the server ends it.
 */
public sealed interface ServerCondition {
  /** The only draining condition. */
  ServerCondition DRAINING = new Draining();

  /** The only leaving condition. */
  ServerCondition LEAVING = new Leaving();

  /** The only failing condition. */
  ServerCondition FAILING = new Failing();

  /** The only cold condition. */
  ServerCondition COLD = new Cold();

  /** The only healthy condition. */
  ServerCondition HEALTHY = new Healthy();

  /** Its registration says that it accepts no new requests. */
  record Draining() implements ServerCondition {}

  /** It said in an answer that it leaves. */
  record Leaving() implements ServerCondition {}

  /**
   * It asked for a pause.
   *
   * @param untilNanoseconds monotonic time at which the pause ends
   */
  record Pausing(long untilNanoseconds) implements ServerCondition {}

  /** Requests to it were lost, or have been in progress for long without any answer. */
  record Failing() implements ServerCondition {}

  /** It has just started and accepts few requests. */
  record Cold() implements ServerCondition {}

  /** It accepts requests. */
  record Healthy() implements ServerCondition {}

  /** Returns whether no request may be sent to the server, not even as a last resort. */
  default boolean isClosed() {
    return switch (this) {
      case Draining unused -> true;
      case Leaving unused -> true;
      case Pausing unused -> true;
      case Failing unused -> false;
      case Cold unused -> false;
      case Healthy unused -> false;
    };
  }

  /** Returns a short name for the log and the metrics. */
  default String label() {
    return switch (this) {
      case Draining unused -> "draining";
      case Leaving unused -> "leaving";
      case Pausing unused -> "pausing";
      case Failing unused -> "failing";
      case Cold unused -> "cold";
      case Healthy unused -> "healthy";
    };
  }
}
