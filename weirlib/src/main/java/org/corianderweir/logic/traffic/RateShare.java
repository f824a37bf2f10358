package org.corianderweir.logic.traffic;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.corianderweir.model.traffic.CallerOrganisation;

/**
 * The share of an organisation's rate limit that this instance may admit. It is a token bucket
 * whose rate follows the demand of the fleet. While the demand is below the limit, each instance
 * may admit its own demand and an equal part of the unused limit. While the demand exceeds the
 * limit, one part of the limit is divided by demand and the rest equally.
 *
 * <p>A network partition divides the fleet into groups of instances that receive each other's
 * demand. The shares in a group add up to the share of the group, which is the whole limit if no
 * instance is missing. A group without a majority of the instances, or a single instance without a
 * recent digest, may admit only a part of the equal shares of its instances. A group with a
 * majority leaves these parts to the missing instances. Therefore all groups together stay within
 * the limit, however the fleet is partitioned.
 *
 * <p>With a small limit, the share of an instance is less than one token. Therefore requests may be
 * admitted ahead of tokens while the demand is low. When the demand grows, this overdraft is repaid
 * first, so that the requests admitted in a window do not exceed what the tokens allow. Not
 * thread-safe.
 */
final class RateShare {
  private static final double NANOSECONDS_PER_SECOND = 1e9;
  private static final long DEMAND_WINDOW_NANOSECONDS = TimeUnit.SECONDS.toNanos(3);
  private static final int DEMAND_BUCKET_COUNT = 12;

  /** Older digests are not used. Several in a row have been lost by this age. */
  private static final long DIGEST_LIFETIME_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);

  /** Ratio of a group's limit that is divided equally when the demand exceeds the limit. */
  private static final double EQUAL_SHARE_RATIO = 0.5;

  /** Ratio of the equal shares that instances outside a majority group may admit. */
  private static final double ISOLATED_SHARE_RATIO = 0.5;

  /** Demand up to this ratio of the rate that a window allows counts as low. */
  private static final double LOW_DEMAND_RATIO = 0.6;

  /** Ratio of the overage that is used. The rest covers instances that receive no digests. */
  private static final double OVERAGE_USE_RATIO = 0.3;

  /**
   * Requests that may be admitted ahead of tokens while the demand is low, in addition to one
   * second of the demand that this instance reported.
   */
  private static final double LOW_DEMAND_OVERDRAFT_REQUESTS = 5;

  /**
   * Keeps the sum of the shares within the limit although instances update them at different times.
   */
  private static final double SAFETY_RATIO = 0.9;

  private final FleetBounds bounds;
  private final SlidingWindowCounter demand;
  private double limitPerSecond;
  private double burstLimit;
  private double reportedDemand;
  private double fleetDemand;
  private int reportingInstances = 1;
  private long digestNanoseconds;
  private boolean digestReceived;
  private double tokens;
  private double lastShare;
  private double usedShare;
  private long updatedNanoseconds;

  RateShare(
      CallerOrganisation organisation, FleetBounds bounds, int instances, long nowNanoseconds) {
    this.bounds = bounds;
    demand = new SlidingWindowCounter(DEMAND_WINDOW_NANOSECONDS, DEMAND_BUCKET_COUNT);
    updateLimit(organisation);
    lastShare = 1.0 / instances;
    usedShare = lastShare;
    tokens = capacity(lastShare);
    updatedNanoseconds = nowNanoseconds;
  }

  private RateShare(RateShare original) {
    bounds = original.bounds;
    demand = original.demand.copy();
    limitPerSecond = original.limitPerSecond;
    burstLimit = original.burstLimit;
    reportedDemand = original.reportedDemand;
    fleetDemand = original.fleetDemand;
    reportingInstances = original.reportingInstances;
    digestNanoseconds = original.digestNanoseconds;
    digestReceived = original.digestReceived;
    tokens = original.tokens;
    lastShare = original.lastShare;
    usedShare = original.usedShare;
    updatedNanoseconds = original.updatedNanoseconds;
  }

  /** Returns a copy that is used up by itself. */
  RateShare copy() {
    return new RateShare(this);
  }

  /**
   * Tries to admit a request.
   *
   * @return zero if the request is admitted, otherwise the time until a request can be admitted
   */
  Duration tryAcquire(CallerOrganisation organisation, int instances, long nowNanoseconds) {
    demand.add(nowNanoseconds);
    updateLimit(organisation);
    usedShare = share(instances, nowNanoseconds);
    double tokensPerSecond = limitPerSecond * usedShare;
    double elapsed = Math.max(0, nowNanoseconds - updatedNanoseconds) / NANOSECONDS_PER_SECOND;
    tokens = Math.min(capacity(usedShare), tokens + elapsed * tokensPerSecond);
    updatedNanoseconds = nowNanoseconds;
    if (tokens - 1 >= -allowedOverdraft(instances, nowNanoseconds)) {
      tokens -= 1;
      return Duration.ZERO;
    }
    double wait = (1 - tokens) / tokensPerSecond * NANOSECONDS_PER_SECOND;
    return Duration.ofNanos(Math.max(1, (long) wait));
  }

  /** Returns the organisation's demand on this instance in requests per second. */
  double demand(long nowNanoseconds) {
    return demand.count(nowNanoseconds)
        * NANOSECONDS_PER_SECOND
        / (DEMAND_WINDOW_NANOSECONDS * (1 + 1.0 / DEMAND_BUCKET_COUNT));
  }

  /**
   * Updates the demand of the fleet from a digest, in requests per second.
   *
   * @param ownDemand demand that this instance had reported for the digest
   * @param knownDemand demand of all instances in the digest
   * @param instances number of instances in the digest
   */
  void updateFleetDemand(double ownDemand, double knownDemand, int instances, long nowNanoseconds) {
    reportedDemand = ownDemand;
    fleetDemand = Math.max(ownDemand, knownDemand);
    reportingInstances = Math.max(1, instances);
    digestNanoseconds = nowNanoseconds;
    digestReceived = true;
  }

  /** Returns the state on which the last decision was based. */
  RateLimitSnapshot snapshot(CallerOrganisation organisation) {
    return new RateLimitSnapshot(
        organisation.name(),
        organisation.requestsPerSecond(),
        fleetDemand,
        reportingInstances,
        usedShare,
        digestReceived
            ? Optional.of(Duration.ofNanos(updatedNanoseconds - digestNanoseconds))
            : Optional.empty());
  }

  private void updateLimit(CallerOrganisation organisation) {
    limitPerSecond =
        organisation.requestsPerSecond() * (1 + OVERAGE_USE_RATIO * bounds.rateOverage());
    burstLimit =
        SAFETY_RATIO * (organisation.burst() * (1 + bounds.rateOverage()) + bounds.rateMargin());
  }

  private double allowedOverdraft(int instances, long nowNanoseconds) {
    double windowSeconds = bounds.rateWindow().toNanos() / NANOSECONDS_PER_SECOND;
    double allowedPerSecond = limitPerSecond + burstLimit / windowSeconds;
    boolean lowDemand =
        hasFreshDigest(nowNanoseconds)
            && fleetDemand <= LOW_DEMAND_RATIO * groupShare(instances) * allowedPerSecond;
    return lowDemand ? LOW_DEMAND_OVERDRAFT_REQUESTS + reportedDemand : 0;
  }

  private boolean hasFreshDigest(long nowNanoseconds) {
    return digestReceived && nowNanoseconds - digestNanoseconds <= DIGEST_LIFETIME_NANOSECONDS;
  }

  private double share(int instances, long nowNanoseconds) {
    if (!hasFreshDigest(nowNanoseconds)) {
      double equalShare = 1.0 / instances;
      return instances == 1 ? 1 : Math.min(ISOLATED_SHARE_RATIO * equalShare, lastShare);
    }
    double groupShare = groupShare(instances);
    double equalShare = 1.0 / reportingInstances;
    double groupLimit = SAFETY_RATIO * limitPerSecond * groupShare;
    double share =
        fleetDemand <= groupLimit
            ? (reportedDemand + (groupLimit - fleetDemand) * equalShare) / groupLimit
            : (1 - EQUAL_SHARE_RATIO) * reportedDemand / fleetDemand
                + EQUAL_SHARE_RATIO * equalShare;
    lastShare = groupShare * share;
    return lastShare;
  }

  /** Returns the ratio of the limit that this instance's group may admit. */
  private double groupShare(int instances) {
    double presentRatio = Math.min(1, (double) reportingInstances / instances);
    boolean isMajority = 2 * reportingInstances > instances;
    return isMajority
        ? 1 - ISOLATED_SHARE_RATIO * (1 - presentRatio)
        : ISOLATED_SHARE_RATIO * presentRatio;
  }

  /** Returns the maximum number of tokens. It is at least 1, the cost of one request. */
  private double capacity(double share) {
    return Math.max(1, burstLimit * share);
  }
}
