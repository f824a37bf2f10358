package org.corianderweir.logic.delivery;

import java.util.concurrent.TimeUnit;

/**
 * What one entry instance has seen of one backend server. Only outcomes count here, not what the
 * server says of itself. Thread-safe.
 */
public final class ServerHealth {
  private static final int FAILURES_TO_EJECT = 5;
  private static final long FIRST_EJECTION_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);
  private static final long LONGEST_EJECTION_NANOSECONDS = TimeUnit.SECONDS.toNanos(30);
  private static final long SLOW_START_NANOSECONDS = TimeUnit.SECONDS.toNanos(5);
  private static final double SLOW_START_WEIGHT = 0.2;
  private static final double LATENCY_GAIN = 0.2;
  private static final double LATENCY_HALF_LIFE_NANOSECONDS = TimeUnit.SECONDS.toNanos(5);

  private int consecutiveFailures;
  private long ejectionNanoseconds = FIRST_EJECTION_NANOSECONDS;
  private long ejectedUntilNanoseconds;
  private long warmSinceNanoseconds;
  private long refusedUntilNanoseconds;
  private double latencyNanoseconds;
  private long latencyAtNanoseconds;

  /**
   * Begins with a server of which nothing is known.
   *
   * @param nowNanoseconds present monotonic time
   */
  public ServerHealth(long nowNanoseconds) {
    ejectedUntilNanoseconds = nowNanoseconds;
    refusedUntilNanoseconds = nowNanoseconds;
    warmSinceNanoseconds = nowNanoseconds;
    latencyAtNanoseconds = nowNanoseconds;
  }

  /** The server answered. */
  public synchronized void answered(long tookNanoseconds, long nowNanoseconds) {
    consecutiveFailures = 0;
    ejectionNanoseconds = FIRST_EJECTION_NANOSECONDS;
    double known = latency(nowNanoseconds);
    latencyNanoseconds =
        known == 0 ? tookNanoseconds : known + LATENCY_GAIN * (tookNanoseconds - known);
    latencyAtNanoseconds = nowNanoseconds;
  }

  /** The server refused a request before running it: it is full, and asked again later. */
  public synchronized void refused(long avoidNanoseconds, long nowNanoseconds) {
    refusedUntilNanoseconds = nowNanoseconds + avoidNanoseconds;
  }

  /** The server failed; several failures in a row eject it, each time for twice as long. */
  public synchronized void failed(long nowNanoseconds) {
    consecutiveFailures++;
    if (consecutiveFailures >= FAILURES_TO_EJECT) {
      consecutiveFailures = 0;
      ejectedUntilNanoseconds = nowNanoseconds + ejectionNanoseconds;
      warmSinceNanoseconds = ejectedUntilNanoseconds;
      ejectionNanoseconds = Math.min(2 * ejectionNanoseconds, LONGEST_EJECTION_NANOSECONDS);
    }
  }

  /** Returns whether the server gets no requests for a while. */
  public synchronized boolean ejected(long nowNanoseconds) {
    return nowNanoseconds - ejectedUntilNanoseconds < 0;
  }

  /** Returns whether the server refused lately. */
  public synchronized boolean full(long nowNanoseconds) {
    return nowNanoseconds - refusedUntilNanoseconds < 0;
  }

  /** Returns the part of its slots that may be used, from slow start up to 1. */
  public synchronized double share(long nowNanoseconds) {
    double age = nowNanoseconds - warmSinceNanoseconds;
    double grown = Math.clamp(age / SLOW_START_NANOSECONDS, 0, 1);
    return SLOW_START_WEIGHT + (1 - SLOW_START_WEIGHT) * grown;
  }

  /** Returns the moving average of the time to an answer; it fades while none comes. */
  public synchronized double latency(long nowNanoseconds) {
    double age = nowNanoseconds - latencyAtNanoseconds;
    return latencyNanoseconds * Math.pow(0.5, age / LATENCY_HALF_LIFE_NANOSECONDS);
  }
}
