package org.corianderweir.bench.choice;

import org.HdrHistogram.Histogram;

/** Counters and latencies of one run. */
final class ChoiceStatistics {
  private static final long MAXIMUM_LATENCY_MICROSECONDS = 60_000_000;

  private final Histogram latency = new Histogram(MAXIMUM_LATENCY_MICROSECONDS, 3);
  long requests;
  long shed;
  long refused;
  long failed;
  long messages;

  void recordLatency(double milliseconds) {
    latency.recordValue((long) (milliseconds * 1_000));
  }

  double percentile(double percent) {
    return latency.getValueAtPercentile(percent) / 1_000.0;
  }

  double perThousand(long count) {
    return 1_000.0 * count / requests;
  }
}
