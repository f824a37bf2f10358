package org.corianderweir.bench.choice;

import org.HdrHistogram.Histogram;

/** What is counted in one run. */
final class ChoiceFigures {
  private static final long HIGHEST_MICROSECONDS = 60_000_000;

  private final Histogram latency = new Histogram(HIGHEST_MICROSECONDS, 3);
  long requests;
  long shed;
  long refused;
  long failed;
  long messages;

  void answered(double milliseconds) {
    latency.recordValue((long) (milliseconds * 1_000));
  }

  double percentile(double percent) {
    return latency.getValueAtPercentile(percent) / 1_000.0;
  }

  double perThousand(long count) {
    return 1_000.0 * count / requests;
  }
}
