package org.corianderweir.logic.admission;

import java.util.concurrent.TimeUnit;

/**
 * Measures the shortage of capacity at the servers of a pool, from their reports and from answers.
 * Not thread-safe.
 */
final class ShortageMeter {
  private static final double TIME_CONSTANT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** Without a report for this long, nothing is known of the servers. */
  private static final long REPORT_LIFETIME_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);

  /** With fewer recent reports, a few busy servers look like a shortage. */
  private static final double MINIMUM_REPORTS = 5;

  /** Share of reports from servers without a free slot below which other servers have room. */
  private static final double QUEUED_SHARE_THRESHOLD = 0.4;

  /** Share of late answers up to which chance alone can cause them at servers with room. */
  private static final double LATE_SHARE_THRESHOLD = 0.2;

  /** Part of the target latency below which waiting at servers makes few answers late. */
  private static final double WAIT_THRESHOLD_RATIO = 0.125;

  /** Part of the target latency that an answer must have waited to be late because of it. */
  private static final double LATE_WAIT_RATIO = 0.25;

  private final DecayedMean late = new DecayedMean(TIME_CONSTANT_NANOSECONDS);
  private final DecayedMean waitRatio = new DecayedMean(TIME_CONSTANT_NANOSECONDS);
  private final DecayedMean queued = new DecayedMean(TIME_CONSTANT_NANOSECONDS);
  private final DecayedMean work = new DecayedMean(TimeUnit.SECONDS.toNanos(10));
  private long reportedNanoseconds;
  private boolean reported;

  /** Records a report: a server's running and waiting requests and its slots. */
  void recordReport(long requests, int slots, long nowNanoseconds) {
    queued.add(requests >= slots ? 1 : 0, 1, nowNanoseconds);
    waitRatio.add(Math.max(0, requests + 1.0 - slots) / slots, 1, nowNanoseconds);
    reportedNanoseconds = nowNanoseconds;
    reported = true;
  }

  /** Records an answer and the part of its time that was work. */
  void recordAnswer(
      long latencyNanoseconds, long workNanoseconds, long targetLatency, long nowNanoseconds) {
    long waited = latencyNanoseconds - workNanoseconds;
    boolean lateByWaiting =
        latencyNanoseconds > targetLatency && waited > LATE_WAIT_RATIO * targetLatency;
    late.add(lateByWaiting ? 1 : 0, 1, nowNanoseconds);
  }

  /** Records how long a request took at usual speed, with a weight for how certain that is. */
  void recordWork(double workNanoseconds, double weight, long nowNanoseconds) {
    work.add(workNanoseconds, weight, nowNanoseconds);
  }

  /** Returns the mean work of the requests that run and wait at the servers. */
  double meanWork() {
    return work.mean();
  }

  double lateShare(long nowNanoseconds) {
    return late.weight(nowNanoseconds) < 1 ? 0 : late.mean();
  }

  /** Returns the mean part of a request's work that a further request waits; 0 if unknown. */
  double meanWaitRatio(long nowNanoseconds) {
    return hasReports(nowNanoseconds) ? waitRatio.mean() : 0;
  }

  /** Returns whether requests with the given target latency are late because servers are full. */
  boolean isShort(long targetLatency, long nowNanoseconds) {
    return hasReports(nowNanoseconds)
        && queued.weight(nowNanoseconds) >= MINIMUM_REPORTS
        && queued.mean() >= QUEUED_SHARE_THRESHOLD
        && lateShare(nowNanoseconds) > LATE_SHARE_THRESHOLD
        && waitRatio.mean() * meanWork() > WAIT_THRESHOLD_RATIO * targetLatency;
  }

  private boolean hasReports(long nowNanoseconds) {
    return reported && nowNanoseconds - reportedNanoseconds < REPORT_LIFETIME_NANOSECONDS;
  }
}
