package org.corianderweir.logic.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The mean work of requests by route, region of the server, and whether the server was the first
 * candidate of the object. The time between regions is part of it. Not thread-safe.
 */
final class WorkAverages {
  private static final double TIME_CONSTANT_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

  /** Weight of recent observations below which the work counts as unknown. */
  private static final double MINIMUM_WEIGHT = 0.2;

  private final Map<WorkKind, DecayedMean> averages = new HashMap<>();

  void record(WorkKind kind, double workNanoseconds, double weight, long nowNanoseconds) {
    averages
        .computeIfAbsent(kind, unused -> new DecayedMean(TIME_CONSTANT_NANOSECONDS))
        .add(workNanoseconds, weight, nowNanoseconds);
  }

  /** Returns the mean work in nanoseconds, or 0 if there were too few observations recently. */
  long work(WorkKind kind, long nowNanoseconds) {
    DecayedMean average = averages.get(kind);
    return average == null || average.weight(nowNanoseconds) < MINIMUM_WEIGHT
        ? 0
        : Math.round(average.mean());
  }
}
