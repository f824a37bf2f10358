package org.corianderweir.logic.limits;

/**
 * A part of a limit on a rate or on concurrency.
 *
 * @param rate tokens a second; zero for limits on concurrency
 * @param capacity largest number of tokens that may accumulate, or of requests that may run at the
 *     same time
 */
public record Allowance(double rate, double capacity) {
  private static final double ROUNDING_TOLERANCE = 1e-9;

  /** The empty allowance. */
  public static final Allowance NONE = new Allowance(0, 0);

  /** Returns whether there is nothing to spend. */
  public boolean isEmpty() {
    return rate <= 0 && capacity <= 0;
  }

  /**
   * Returns whether the rate or the capacity is larger than the other's by more than a rounding
   * error.
   */
  public boolean exceeds(Allowance other) {
    return rate > other.rate + ROUNDING_TOLERANCE || capacity > other.capacity + ROUNDING_TOLERANCE;
  }

  /** Returns the sum of this allowance and another. */
  public Allowance plus(Allowance other) {
    return new Allowance(rate + other.rate, capacity + other.capacity);
  }

  /** Returns this allowance minus another, with zero in place of negative results. */
  public Allowance minus(Allowance other) {
    return new Allowance(Math.max(0, rate - other.rate), Math.max(0, capacity - other.capacity));
  }

  /** Returns the smaller of the two rates and the smaller of the two capacities. */
  public Allowance limitedTo(Allowance other) {
    return new Allowance(Math.min(rate, other.rate), Math.min(capacity, other.capacity));
  }
}
