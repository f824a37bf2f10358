package org.corianderweir.logic.admission;

/**
 * What the decision needs to know of a request. Times are in nanoseconds.
 *
 * @param organisation name of the caller's organisation; empty if it has none
 * @param priority priority of its organisation, else of its route; 0 is the most urgent
 * @param targetLatency latency within which an answer is most useful
 * @param targetLeft time left until the target latency is over; negative afterwards
 * @param deadlineLeft time left until the answer is useless
 * @param unsent whether the request was not sent before; only then it counts as demand
 * @param mayWait whether the request may wait at this instance
 */
public record AdmissionRequest(
    String organisation,
    int priority,
    long targetLatency,
    long targetLeft,
    long deadlineLeft,
    boolean unsent,
    boolean mayWait) {
  /** Returns a builder of a request of the most urgent class without an organisation. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builds the record. */
  public static final class Builder {
    private String organisation = "";
    private int priority;
    private long targetLatency;
    private long targetLeft;
    private long deadlineLeft;
    private boolean unsent = true;
    private boolean mayWait;

    private Builder() {}

    /** Sets the name of the organisation. */
    public Builder organisation(String value) {
      organisation = value;
      return this;
    }

    /** Sets the priority; 0 is the most urgent. */
    public Builder priority(int value) {
      priority = Math.max(0, value);
      return this;
    }

    /** Sets the target latency and the part of it that is left. */
    public Builder target(long latencyNanoseconds, long leftNanoseconds) {
      targetLatency = latencyNanoseconds;
      targetLeft = leftNanoseconds;
      return this;
    }

    /** Sets the time left until the deadline. */
    public Builder deadlineLeft(long nanoseconds) {
      deadlineLeft = nanoseconds;
      return this;
    }

    /** Sets whether the request was not sent before. */
    public Builder unsent(boolean value) {
      unsent = value;
      return this;
    }

    /** Sets whether the request may wait at this instance. */
    public Builder mayWait(boolean value) {
      mayWait = value;
      return this;
    }

    /** Returns the record. */
    public AdmissionRequest build() {
      return new AdmissionRequest(
          organisation, priority, targetLatency, targetLeft, deadlineLeft, unsent, mayWait);
    }
  }
}
