package org.corianderweir.bench.report;

import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * The distribution of a latency in milliseconds.
 *
 * @param count number of values
 * @param p50 median
 * @param p99 99th percentile
 * @param p999 99.9th percentile
 * @param highest largest value
 */
public record LatencySummary(long count, double p50, double p99, double p999, double highest) {
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MICROSECONDS_PER_MILLISECOND = 1e3;
  private static final long NANOSECONDS_PER_MICROSECOND = 1_000;

  /** Summarises latencies given in nanoseconds. */
  static LatencySummary of(List<Long> nanoseconds) {
    Histogram histogram = new Histogram(SIGNIFICANT_DIGITS);
    nanoseconds.forEach(
        value -> histogram.recordValue(Math.max(0, value) / NANOSECONDS_PER_MICROSECOND));
    return new LatencySummary(
        histogram.getTotalCount(),
        milliseconds(histogram.getValueAtPercentile(50)),
        milliseconds(histogram.getValueAtPercentile(99)),
        milliseconds(histogram.getValueAtPercentile(99.9)),
        milliseconds(histogram.getMaxValue()));
  }

  private static double milliseconds(long microseconds) {
    return microseconds / MICROSECONDS_PER_MILLISECOND;
  }
}
