package org.corianderweir.logic.traffic;

import java.time.Duration;
import org.corianderweir.logic.limits.TokenBucket;
import org.corianderweir.model.traffic.CallerOrganisation;

/**
 * The part of an organisation's limit that one instance may admit without asking the others. Not
 * thread-safe.
 */
final class RateShare {
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  /** Keeps requests that are under way when a window begins below the bound. */
  private static final double SAFETY = 0.9;

  private final double requestsPerSecond;
  private final double burst;
  private final int instances;
  private final double tokensPerSecond;
  private final TokenBucket bucket;

  private RateShare(
      CallerOrganisation organisation,
      FleetBounds bounds,
      int instances,
      double formerPart,
      long nowNanoseconds) {
    requestsPerSecond = organisation.requestsPerSecond();
    burst = organisation.burst();
    this.instances = instances;
    tokensPerSecond = requestsPerSecond * (1 + bounds.rateOverage()) / instances;
    double capacity =
        Math.max(
            1, SAFETY * (burst * (1 + bounds.rateOverage()) + bounds.rateMargin()) / instances);
    bucket = new TokenBucket(tokensPerSecond, capacity, formerPart * capacity, nowNanoseconds);
  }

  static RateShare full(
      CallerOrganisation organisation, FleetBounds bounds, int instances, long nowNanoseconds) {
    return new RateShare(organisation, bounds, instances, 1, nowNanoseconds);
  }

  boolean fits(CallerOrganisation organisation, int present) {
    return organisation.requestsPerSecond() == requestsPerSecond
        && organisation.burst() == burst
        && present == instances;
  }

  /** Returns a share with the same part of its tokens under another limit. */
  RateShare changed(
      CallerOrganisation organisation, FleetBounds bounds, int present, long nowNanoseconds) {
    double capacity =
        Math.max(
            1, SAFETY * (burst * (1 + bounds.rateOverage()) + bounds.rateMargin()) / instances);
    double part = Math.min(1, bucket.available(nowNanoseconds) / capacity);
    return new RateShare(organisation, bounds, present, part, nowNanoseconds);
  }

  boolean tryTake(long nowNanoseconds) {
    return bucket.tryTake(1, nowNanoseconds);
  }

  /** Returns the time until a request can be admitted. */
  Duration timeUntilNext(long nowNanoseconds) {
    double missing = Math.max(0, 1 - bucket.available(nowNanoseconds));
    return Duration.ofNanos((long) (missing / tokensPerSecond * NANOSECONDS_PER_SECOND));
  }
}
