package org.corianderweir.logic.traffic;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * The demand that this instance reported lately. Tells how old the demand in a digest is: a digest
 * names the demand of the report that it answers, and answers arrive in the order of the reports.
 * Not thread-safe.
 */
public final class OwnDemandReports {
  /** A digest whose report is unknown counts as this old, and older reports are forgotten. */
  private static final Duration RETENTION = Duration.ofMillis(1_500);

  private final Duration ageOfOthers;
  private final Deque<Report> reports = new ArrayDeque<>();
  private long answeredNanoseconds = Long.MIN_VALUE;

  private record Report(Map<String, Double> rates, long sentNanoseconds) {}

  /**
   * Creates an empty list.
   *
   * @param ageOfOthers how much older than the answered report the demand of others in a digest is,
   *     on average
   */
  public OwnDemandReports(Duration ageOfOthers) {
    this.ageOfOthers = ageOfOthers;
  }

  /** Records a report, in requests per second by organisation. */
  public void add(Map<String, Double> rates, long nowNanoseconds) {
    reports.addLast(new Report(transmitted(rates), nowNanoseconds));
    long oldest = nowNanoseconds - RETENTION.plus(ageOfOthers).toNanos();
    while (reports.getFirst().sentNanoseconds() < oldest) {
      reports.removeFirst();
    }
  }

  /**
   * Returns the demand in a digest with the time to which it belongs. The demand of this instance
   * is the one that it reported at that time, so that the parts of all instances belong to the same
   * time and add up.
   *
   * @param reported demand of the answered report, in requests per second by organisation
   * @param reportingInstances number of instances whose demand is included
   * @param fleet demand on these instances, in requests per second by organisation
   */
  public DemandDigest digest(
      Map<String, Double> reported,
      int reportingInstances,
      Map<String, Double> fleet,
      long nowNanoseconds) {
    long time = answered(reported, nowNanoseconds) - ageOfOthers.toNanos();
    Map<String, Double> own = reported;
    for (Report report : reports) {
      if (report.sentNanoseconds() <= time || own == reported) {
        own = report.rates();
      }
    }
    return new DemandDigest(own, reportingInstances, fleet, time, nowNanoseconds);
  }

  /** Of several equal reports the oldest one after the last answered one is taken. */
  private long answered(Map<String, Double> reported, long nowNanoseconds) {
    Map<String, Double> rates = transmitted(reported);
    long oldest = nowNanoseconds - RETENTION.toNanos();
    for (Report report : reports) {
      if (report.sentNanoseconds() > Math.max(answeredNanoseconds, oldest)
          && report.rates().equals(rates)) {
        answeredNanoseconds = report.sentNanoseconds();
        return answeredNanoseconds;
      }
    }
    return oldest;
  }

  /** Rounds to the precision of messages. */
  private static Map<String, Double> transmitted(Map<String, Double> rates) {
    Map<String, Double> rounded = new HashMap<>();
    rates.forEach((organisation, rate) -> rounded.put(organisation, (double) rate.floatValue()));
    return Map.copyOf(rounded);
  }
}
