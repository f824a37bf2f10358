package org.corianderweir.logic.limits;

/**
 * A part of a limit.
 *
 * @param rate tokens a second; zero for limits on concurrency
 * @param capacity tokens that may be saved up, or requests that may run at the same time
 */
public record Allowance(double rate, double capacity) {
  private static final double ROUNDING_TOLERANCE = 1e-9;

  /** No allowance at all. */
  public static final Allowance NONE = new Allowance(0, 0);

  /** Returns whether there is nothing to spend. */
  public boolean isEmpty() {
    return rate <= 0 && capacity <= 0;
  }

  /** Returns whether any part is larger than the other's, by more than rounding. */
  public boolean exceeds(Allowance other) {
    return rate > other.rate + ROUNDING_TOLERANCE || capacity > other.capacity + ROUNDING_TOLERANCE;
  }

  /** Returns the sum of two parts. */
  public Allowance plus(Allowance other) {
    return new Allowance(rate + other.rate, capacity + other.capacity);
  }

  /** Returns what is left without another part, never below zero. */
  public Allowance minus(Allowance other) {
    return new Allowance(Math.max(0, rate - other.rate), Math.max(0, capacity - other.capacity));
  }

  /** Returns the smaller of each part. */
  public Allowance limitedTo(Allowance other) {
    return new Allowance(Math.min(rate, other.rate), Math.min(capacity, other.capacity));
  }
}
