package org.corianderweir.logic.traffic;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.corianderweir.model.traffic.CallerOrganisation;

/**
 * The part of an organisation's limit that this instance may admit, a token bucket whose rate
 * follows the demand of the fleet. As long as the organisation asks for less than its limit, each
 * instance may admit what it was asked for and an equal part of what is left; beyond that the limit
 * is divided by demand. The parts of instances that know the same demand add up to what the group
 * of instances that hear of each other may admit: the whole limit if nobody is missing, an equal
 * part less a reserve if the group is the smaller one. So the groups together keep to the limit,
 * however the fleet is split.
 *
 * <p>A small limit leaves an instance less than one token at a time. So in calm times requests may
 * be admitted ahead of tokens; when the demand grows, that debt is paid back first, and the
 * requests admitted in a window stay those that the tokens allow. Not thread-safe.
 */
final class RateShare {
  private static final double NANOSECONDS_PER_SECOND = 1e9;
  private static final long DEMAND_WINDOW_NANOSECONDS = TimeUnit.SECONDS.toNanos(3);
  private static final int DEMAND_BUCKET_COUNT = 12;

  /** A digest that is older says nothing any more; several are lost by then. */
  private static final long DIGEST_LIFETIME_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);

  /** Part of a group's limit that is divided equally although the demand is beyond it. */
  private static final double EQUAL_SHARE_RATIO = 0.5;

  /** Part of its equal part that an instance outside the larger group may admit. */
  private static final double ISOLATED_SHARE_RATIO = 0.5;

  /** Up to this part of what a window allows an organisation's demand counts as calm. */
  private static final double LOW_DEMAND_RATIO = 0.6;

  /** Part of the allowed overage that is used; the rest covers instances that hear nothing. */
  private static final double OVERAGE_USE_RATIO = 0.3;

  /** Requests that may be admitted ahead of tokens in calm times, and a second's demand more. */
  private static final double LOW_DEMAND_OVERDRAFT_REQUESTS = 5;

  /** Keeps the sum of the parts below the bound although they are renewed at different times. */
  private static final double SAFETY_RATIO = 0.9;

  private final FleetBounds bounds;
  private final SlidingWindowCounter demand =
      new SlidingWindowCounter(DEMAND_WINDOW_NANOSECONDS, DEMAND_BUCKET_COUNT);
  private double limitPerSecond;
  private double burstLimit;
  private double reportedDemand;
  private double fleetDemand;
  private int reportingInstances = 1;
  private long digestNanoseconds;
  private boolean digestReceived;
  private double tokens;
  private double lastShare;
  private long updatedNanoseconds;

  RateShare(
      CallerOrganisation organisation, FleetBounds bounds, int instances, long nowNanoseconds) {
    this.bounds = bounds;
    updateLimit(organisation);
    lastShare = 1.0 / instances;
    tokens = capacity(lastShare);
    updatedNanoseconds = nowNanoseconds;
  }

  /** Takes a request; returns the time until one can be admitted, zero if this one was. */
  Duration tryAcquire(CallerOrganisation organisation, int instances, long nowNanoseconds) {
    demand.add(nowNanoseconds);
    updateLimit(organisation);
    double share = share(instances, nowNanoseconds);
    double perSecond = limitPerSecond * share;
    double elapsed = Math.max(0, nowNanoseconds - updatedNanoseconds) / NANOSECONDS_PER_SECOND;
    tokens = Math.min(capacity(share), tokens + elapsed * perSecond);
    updatedNanoseconds = nowNanoseconds;
    if (tokens - 1 >= -allowedOverdraft(instances, nowNanoseconds)) {
      tokens -= 1;
      return Duration.ZERO;
    }
    double wait = (1 - tokens) / perSecond * NANOSECONDS_PER_SECOND;
    return Duration.ofNanos(Math.max(1, (long) wait));
  }

  /** Returns the requests a second that the organisation asks of this instance. */
  double demand(long nowNanoseconds) {
    return demand.count(nowNanoseconds)
        * NANOSECONDS_PER_SECOND
        / (DEMAND_WINDOW_NANOSECONDS * (1 + 1.0 / DEMAND_BUCKET_COUNT));
  }

  /**
   * The collector tells the demand of the fleet.
   *
   * @param ownDemand what this instance had reported of itself
   * @param knownDemand demand of all instances that are known of
   * @param instances number of these instances
   */
  void updateFleetDemand(double ownDemand, double knownDemand, int instances, long nowNanoseconds) {
    reportedDemand = ownDemand;
    fleetDemand = Math.max(ownDemand, knownDemand);
    reportingInstances = Math.max(1, instances);
    digestNanoseconds = nowNanoseconds;
    digestReceived = true;
  }

  /** Returns what the last decision was based on. */
  RateLimitSnapshot snapshot(CallerOrganisation organisation) {
    return new RateLimitSnapshot(
        organisation.name(),
        organisation.requestsPerSecond(),
        fleetDemand,
        reportingInstances,
        lastShare);
  }

  private void updateLimit(CallerOrganisation organisation) {
    limitPerSecond =
        organisation.requestsPerSecond() * (1 + OVERAGE_USE_RATIO * bounds.rateOverage());
    burstLimit =
        SAFETY_RATIO * (organisation.burst() * (1 + bounds.rateOverage()) + bounds.rateMargin());
  }

  private double allowedOverdraft(int instances, long nowNanoseconds) {
    double window = bounds.rateWindow().toNanos() / NANOSECONDS_PER_SECOND;
    double allowed = limitPerSecond + burstLimit / window;
    boolean lowDemand =
        hasFreshDigest(nowNanoseconds)
            && fleetDemand <= LOW_DEMAND_RATIO * groupShare(instances) * allowed;
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
    double limit = SAFETY_RATIO * limitPerSecond * groupShare;
    double share =
        fleetDemand <= limit
            ? (reportedDemand + (limit - fleetDemand) * equalShare) / limit
            : (1 - EQUAL_SHARE_RATIO) * reportedDemand / fleetDemand
                + EQUAL_SHARE_RATIO * equalShare;
    lastShare = groupShare * share;
    return lastShare;
  }

  /** Returns the part of the limit that the instances which hear of each other may admit. */
  private double groupShare(int instances) {
    double present = Math.min(1, (double) reportingInstances / instances);
    boolean larger = 2 * reportingInstances > instances;
    return larger ? 1 - ISOLATED_SHARE_RATIO * (1 - present) : ISOLATED_SHARE_RATIO * present;
  }

  /** Returns the most tokens: at least one, since requests can't be divided. */
  private double capacity(double share) {
    return Math.max(1, burstLimit * share);
  }
}
