package org.corianderweir.logic.traffic;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.corianderweir.logic.traffic.DemandDigest.OrganisationDemand;
import org.corianderweir.model.traffic.CallerOrganisation;

/**
 * The share of an organisation's rate limit that this instance may admit. Each admitted request
 * adds one to a debt, which the instance's part of the fleet's rate repays. While the demand of the
 * fleet is below its rate, the part is the demand that this instance reported and an equal part of
 * the rest; otherwise the rate is divided in proportion to the demand. The parts add up to the
 * rate, so in a window no more requests are admitted than the rate and the debts allow.
 *
 * <p>The bound of the debt is this instance's part of the requests that the fleet may admit before
 * its instances know of a surge ({@link SurgeAllowance}). Requests that all instances know of
 * through digests do not count as debt while the demand of the last window is within the rate or
 * steady; then a proportion of the requests is admitted, by a counter that carries its error
 * forward. docs/design/rate-limits.md gives the measurements behind the constants.
 *
 * <p>A network partition divides the fleet into groups of instances that receive each other's
 * demand. The shares in a group add up to the share of the group, which is the whole limit if no
 * instance is missing. A group without a majority of the instances, or a single instance without a
 * recent digest, may admit only a part of the equal shares of its instances. A group with a
 * majority leaves these parts to the missing instances. Therefore all groups together stay within
 * the limit, however the fleet is partitioned. Not thread-safe.
 */
final class RateShare {
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  /** With 1 s, a surge from a limit of 8 reached 1.06 of the bound in a trial, with 0.5 s 0.96. */
  private static final long DEMAND_WINDOW_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final int DEMAND_BUCKET_COUNT = 4;

  /** Older digests are not used. Several in a row have been lost by this age. */
  private static final long DIGEST_LIFETIME_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);

  /** Covers the age of a digest that is used. */
  private static final long ADMITTED_WINDOW_NANOSECONDS = TimeUnit.SECONDS.toNanos(3);

  private static final int ADMITTED_BUCKET_COUNT = 48;

  /** Ratio of a group's rate that is divided equally when the demand exceeds it. */
  private static final double EQUAL_SHARE_RATIO = 0.1;

  /** Ratio of the equal shares that instances outside a majority group may admit. */
  private static final double ISOLATED_SHARE_RATIO = 0.5;

  /** Ratio of the overage by which the rate of the fleet exceeds the limit. */
  private static final double OVERAGE_USE_RATIO = 0.3;

  /**
   * Ratio of the bound of a window that is planned. The rest covers the differences between the
   * digests of instances and the variance of demand.
   */
  private static final double PLANNED_WINDOW_RATIO = 0.95;

  /** Ratio of the burst of a window that is left where the bound of the window is small. */
  private static final double MINIMUM_BURST_RATIO = 0.5;

  /**
   * Ratio of the rate that is divided while the demand is low. What it leaves of a window may be
   * admitted in a surge. It is above the usual demand, 0.61 of the rate.
   */
  private static final double LOW_DEMAND_RATIO = 0.8;

  /** Demand below this ratio of the low-demand rate is low. */
  private static final double LOW_DEMAND_MARGIN = 0.97;

  /** Ratio by which the demand in a window may exceed its mean over a longer time. */
  private static final double LASTING_DEMAND_RATIO = 1.2;

  /** Demand of an organisation is usually this ratio of its limit. */
  private static final double USUAL_DEMAND_RATIO = 0.625;

  /** The largest expected surge, as a ratio of the demand before it. */
  private static final double SURGE_RATIO = 7.5;

  /**
   * Duration for which demand beyond the rate has to be refused: a window, and the time in which
   * demand counters fill.
   */
  private static final double EXCESS_SECONDS = 8;

  /** Time between two digests that an instance can still miss when a surge begins. */
  private static final double DIGEST_MARGIN_SECONDS = 0.1;

  /**
   * Standard deviations of a surge's requests that are kept free while the demand is low and hardly
   * an instance reaches its bound. With one, 105 instances exceeded a limit of 8 in 1 of 20 seeds.
   */
  private static final double SPARSE_RESERVED_DEVIATIONS = 2;

  /** The least that is kept free while the demand is low; at the bounds the number varies less. */
  private static final double MINIMUM_RESERVED_DEVIATIONS = 0.3;

  /** Standard deviations of a surge's requests that are kept free while the demand is high. */
  private static final double HIGH_RESERVED_DEVIATIONS = 2;

  /** A surge is unknown for at least this time, because demand counters have to fill. */
  private static final double MINIMUM_UNKNOWN_SECONDS = 0.6;

  /** Standard deviations of a window's requests by which steady demand may exceed the rate. */
  private static final double STEADY_DEVIATIONS = 1;

  /** Ratio of a surge's requests that is used where few are allowed. */
  private static final double MINIMUM_SURGE_RATIO = 0.2;

  /** Mean time over which the demand and the part of an instance in it are averaged. */
  private static final double PART_SECONDS = 15;

  /**
   * Burst of an instance, in requests, below which known requests do not count as debt under steady
   * excess demand. Larger bursts cover the variance of demand, so that debts are repaid in time.
   */
  private static final double SMALL_BURST_REQUESTS = 5;

  /** Above this number of requests, the fraction of a bound does not matter. */
  private static final double LARGE_BOUND_REQUESTS = 8;

  /**
   * Time in which each instance is once among those whose bound is rounded up. It is much longer
   * than a window, so that few instances get an additional request in one.
   */
  private static final double ROTATION_SECONDS = 60;

  /** An instance that may admit no request now asks callers to return after at most this time. */
  private static final double MAXIMUM_ROTATION_WAIT_SECONDS = 1;

  private final FleetBounds bounds;
  private final double position;
  private final SlidingWindowCounter demand;
  private final SlidingWindowCounter admitted;
  private final FleetDemandHistory history;
  private double limitPerSecond;
  private double ratePerSecond;
  private double plannedWindow;
  private int instances;
  private double reportedDemand;
  private double fleetDemand;
  private int reportingInstances = 1;
  private double meanReportedDemand;
  private double meanInstanceDemand;
  private long digestNanoseconds;
  private long reportNanoseconds;
  private boolean digestReceived;
  private long digestCount;
  private boolean demandIsHigh;
  private long lastLowNanoseconds;
  private long lastHighNanoseconds;
  private double debt;
  private double admittedProportion = 1;
  private double proportionCredit;
  private double lastShare;
  private double usedShare;
  private long updatedNanoseconds;

  /**
   * Creates the share of an instance that has received no digest.
   *
   * @param position position of the instance among those whose bound is rounded up, from 0 to 1
   */
  RateShare(
      CallerOrganisation organisation,
      FleetBounds bounds,
      int instances,
      double position,
      long nowNanoseconds) {
    this.bounds = bounds;
    this.position = position;
    this.instances = instances;
    demand = new SlidingWindowCounter(DEMAND_WINDOW_NANOSECONDS, DEMAND_BUCKET_COUNT);
    admitted = new SlidingWindowCounter(ADMITTED_WINDOW_NANOSECONDS, ADMITTED_BUCKET_COUNT);
    history = new FleetDemandHistory(bounds.rateWindow().toNanos());
    updateLimit(organisation);
    lastShare = 1.0 / instances;
    usedShare = lastShare;
    updatedNanoseconds = nowNanoseconds;
    lastLowNanoseconds = nowNanoseconds;
    lastHighNanoseconds = nowNanoseconds - bounds.rateWindow().toNanos();
  }

  private RateShare(RateShare original) {
    bounds = original.bounds;
    position = original.position;
    demand = original.demand.copy();
    admitted = original.admitted.copy();
    history = original.history.copy();
    limitPerSecond = original.limitPerSecond;
    ratePerSecond = original.ratePerSecond;
    plannedWindow = original.plannedWindow;
    instances = original.instances;
    reportedDemand = original.reportedDemand;
    fleetDemand = original.fleetDemand;
    reportingInstances = original.reportingInstances;
    meanReportedDemand = original.meanReportedDemand;
    meanInstanceDemand = original.meanInstanceDemand;
    digestNanoseconds = original.digestNanoseconds;
    reportNanoseconds = original.reportNanoseconds;
    digestReceived = original.digestReceived;
    digestCount = original.digestCount;
    demandIsHigh = original.demandIsHigh;
    lastLowNanoseconds = original.lastLowNanoseconds;
    lastHighNanoseconds = original.lastHighNanoseconds;
    debt = original.debt;
    admittedProportion = original.admittedProportion;
    proportionCredit = original.proportionCredit;
    lastShare = original.lastShare;
    usedShare = original.usedShare;
    updatedNanoseconds = original.updatedNanoseconds;
  }

  /** Returns a copy that is used up by itself. */
  RateShare copy() {
    return new RateShare(this);
  }

  /**
   * Counts the burst of this instance as used. An instance that has just started does not know how
   * much of it was used before the start.
   */
  void useUpBurst() {
    if (instances > 1) {
      debt = Math.max(debt, burst() * ISOLATED_SHARE_RATIO / instances);
    }
  }

  /**
   * Tries to admit a request.
   *
   * @return zero if the request is admitted, otherwise the time until a request can be admitted
   */
  Duration tryAcquire(CallerOrganisation organisation, int fleetInstances, long nowNanoseconds) {
    demand.add(nowNanoseconds);
    updateLimit(organisation);
    instances = fleetInstances;
    boolean fresh = hasFreshDigest(nowNanoseconds);
    usedShare = fresh ? share() : isolatedShare();
    if (fresh) {
      lastShare = usedShare;
    }
    double repaidPerSecond = ratePerSecond * usedShare;
    double elapsed = Math.max(0, nowNanoseconds - updatedNanoseconds) / NANOSECONDS_PER_SECOND;
    debt = Math.max(0, debt - elapsed * repaidPerSecond);
    updatedNanoseconds = nowNanoseconds;
    double bound = fresh ? surgeBound(nowNanoseconds) : burst() * usedShare;
    double rotation = rotation(nowNanoseconds);
    double wholeBound = bound > LARGE_BOUND_REQUESTS ? bound : Math.floor(bound + rotation);
    boolean limitsProportion = fresh && admittedProportion < 1;
    if (limitsProportion) {
      proportionCredit = Math.min(1, proportionCredit) + admittedProportion;
    }
    if (debt + 1 <= wholeBound && (!limitsProportion || proportionCredit >= 1)) {
      debt += 1;
      proportionCredit -= limitsProportion ? 1 : 0;
      admitted.add(nowNanoseconds);
      return Duration.ZERO;
    }
    double waitSeconds =
        wholeBound < 1
            ? Math.min(MAXIMUM_ROTATION_WAIT_SECONDS, (1 - bound - rotation) * ROTATION_SECONDS)
            : Math.max(debt + 1 - wholeBound, limitsProportion ? 1 - proportionCredit : 0)
                / repaidPerSecond;
    return Duration.ofNanos(Math.max(1, (long) (waitSeconds * NANOSECONDS_PER_SECOND)));
  }

  /** Returns the organisation's demand on this instance in requests per second. */
  double demand(long nowNanoseconds) {
    return demand.perSecond(nowNanoseconds);
  }

  /** Updates the demand of the fleet from a digest. */
  void updateFleetDemand(OrganisationDemand digest) {
    long now = digest.receivedNanoseconds();
    reportedDemand = digest.reported();
    fleetDemand = Math.max(digest.reported(), digest.fleet());
    reportingInstances = Math.max(1, digest.instances());
    reportNanoseconds = digest.reportNanoseconds();
    double instanceDemand = fleetDemand / reportingInstances;
    double elapsed = Math.max(0, now - digestNanoseconds) / NANOSECONDS_PER_SECOND;
    digestCount++;
    double weight = Math.max(1.0 / digestCount, 1 - Math.exp(-elapsed / PART_SECONDS));
    meanInstanceDemand += weight * (instanceDemand - meanInstanceDemand);
    meanReportedDemand +=
        weight * ((digestReceived ? reportedDemand : instanceDemand) - meanReportedDemand);
    history.add(fleetDemand, now);
    boolean high = history.window() > LOW_DEMAND_MARGIN * LOW_DEMAND_RATIO * groupRate();
    if (!digestReceived && high) {
      debt = Math.max(debt, surgeBound(now));
    }
    digestNanoseconds = now;
    digestReceived = true;
    double deviation = Math.sqrt(groupRate() / windowSeconds());
    admittedProportion =
        Math.min(1, (groupRate() + STEADY_DEVIATIONS * deviation) / history.sustained());
    forgetKnownRequests(now);
    updateLevel(high, now);
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

  /** Reduces the debt to the requests that the others do not know of. */
  private void forgetKnownRequests(long now) {
    if (now - reportNanoseconds >= DIGEST_LIFETIME_NANOSECONDS) {
      return;
    }
    boolean low = fleetDemand <= dividedRate() && history.window() <= dividedRate();
    boolean small = burst() * groupShare() / reportingInstances < SMALL_BURST_REQUESTS;
    if (low || (small && history.isSteady())) {
      debt = Math.min(debt, admitted.countSince(reportNanoseconds));
    }
  }

  /** Changes between low and high demand after it was so for a whole window. */
  private void updateLevel(boolean high, long now) {
    if (high) {
      lastHighNanoseconds = now;
    } else {
      lastLowNanoseconds = now;
    }
    long window = bounds.rateWindow().toNanos();
    if (now - lastLowNanoseconds >= window) {
      demandIsHigh = true;
    } else if (now - lastHighNanoseconds >= window) {
      demandIsHigh = false;
    }
  }

  private void updateLimit(CallerOrganisation organisation) {
    limitPerSecond = organisation.requestsPerSecond();
    ratePerSecond = limitPerSecond * (1 + OVERAGE_USE_RATIO * bounds.rateOverage());
    double bound =
        (limitPerSecond * windowSeconds() + organisation.burst()) * (1 + bounds.rateOverage())
            + bounds.rateMargin();
    double rateInWindow = windowSeconds() * ratePerSecond;
    plannedWindow =
        Math.max(
            PLANNED_WINDOW_RATIO * bound,
            rateInWindow + Math.max(1, MINIMUM_BURST_RATIO * (bound - rateInWindow)));
  }

  /** Returns the requests that the fleet may admit in a window beyond its rate. */
  private double burst() {
    return plannedWindow - windowSeconds() * ratePerSecond;
  }

  private double windowSeconds() {
    return bounds.rateWindow().toNanos() / NANOSECONDS_PER_SECOND;
  }

  private boolean hasFreshDigest(long nowNanoseconds) {
    return digestReceived && nowNanoseconds - digestNanoseconds <= DIGEST_LIFETIME_NANOSECONDS;
  }

  private double isolatedShare() {
    return instances == 1 ? 1 : Math.min(ISOLATED_SHARE_RATIO / instances, lastShare);
  }

  private double share() {
    double rate = dividedRate();
    double equalShare = 1.0 / reportingInstances;
    double perSecond =
        fleetDemand <= rate
            ? reportedDemand + (rate - fleetDemand) * equalShare
            : rate
                * ((1 - EQUAL_SHARE_RATIO) * reportedDemand / fleetDemand
                    + EQUAL_SHARE_RATIO * equalShare);
    return perSecond / ratePerSecond;
  }

  /**
   * Returns the highest debt with which a request may be admitted, so that the fleet stays within
   * the bound if the demand surges now. It falls while the next digest is awaited.
   */
  private double surgeBound(long nowNanoseconds) {
    double meanDemand = meanInstanceDemand * reportingInstances;
    double lastingDemand = Math.min(groupRate(), LASTING_DEMAND_RATIO * meanDemand);
    double demandInWindow = Math.max(history.window(), lastingDemand);
    double rate = Math.max(dividedRate(), Math.min(groupRate(), demandInWindow));
    double reportAge = (nowNanoseconds - reportNanoseconds) / NANOSECONDS_PER_SECOND;
    double unknownSeconds = Math.max(MINIMUM_UNKNOWN_SECONDS, reportAge + DIGEST_MARGIN_SECONDS);
    double usual = Math.max(meanDemand, USUAL_DEMAND_RATIO * limitPerSecond * groupShare());
    double surge = SURGE_RATIO * Math.min(limitPerSecond * groupShare(), usual);
    double requests =
        Math.max(
            Math.max(fleetDemand, surge) * unknownSeconds,
            EXCESS_SECONDS * (fleetDemand - dividedRate()));
    double part = part();
    double sparse = Math.exp(-requests * part);
    double deviations =
        demandIsHigh || lastingDemand > dividedRate()
            ? HIGH_RESERVED_DEVIATIONS + sparse
            : Math.max(MINIMUM_RESERVED_DEVIATIONS, SPARSE_RESERVED_DEVIATIONS * sparse);
    double left = Math.max(0, plannedWindow * groupShare() - windowSeconds() * rate);
    double allowed = Math.max(MINIMUM_SURGE_RATIO * left, left - deviations * Math.sqrt(left));
    return SurgeAllowance.bound(requests * part, allowed * part);
  }

  /** Returns this instance's part in the demand of its group; one half is divided equally. */
  private double part() {
    double relative = meanInstanceDemand > 0 ? meanReportedDemand / meanInstanceDemand : 1;
    return Math.min(1, (1 + relative) / (2 * reportingInstances));
  }

  /** Returns the rate that the group divides now, in requests per second. */
  private double dividedRate() {
    return (demandIsHigh ? 1 : LOW_DEMAND_RATIO) * groupRate();
  }

  private double groupRate() {
    return ratePerSecond * groupShare();
  }

  /** Returns the ratio of the limit that this instance's group may admit. */
  private double groupShare() {
    double presentRatio = Math.min(1, (double) reportingInstances / instances);
    boolean isMajority = 2 * reportingInstances > instances;
    return isMajority
        ? 1 - ISOLATED_SHARE_RATIO * (1 - presentRatio)
        : ISOLATED_SHARE_RATIO * presentRatio;
  }

  /** Returns a number from 0 to 1 that is added to a bound before it is rounded down. */
  private double rotation(long nowNanoseconds) {
    double turns = position + nowNanoseconds / NANOSECONDS_PER_SECOND / ROTATION_SECONDS;
    return turns - Math.floor(turns);
  }
}
