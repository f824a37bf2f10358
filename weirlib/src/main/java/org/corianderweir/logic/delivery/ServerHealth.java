package org.corianderweir.logic.delivery;

import java.util.concurrent.TimeUnit;

/**
 * The health of one backend server as observed by one entry instance. It depends only on the
 * outcomes of requests, not on what the server reports about itself. Thread-safe.
 */
public final class ServerHealth {
  private static final int EJECTION_FAILURE_COUNT = 5;
  private static final long INITIAL_EJECTION_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);
  private static final long MAXIMUM_EJECTION_NANOSECONDS = TimeUnit.SECONDS.toNanos(30);
  private static final long SLOW_START_NANOSECONDS = TimeUnit.SECONDS.toNanos(5);
  private static final double SLOW_START_INITIAL_RATIO = 0.2;
  private static final double LATENCY_SMOOTHING_RATIO = 0.2;
  private static final double LATENCY_HALF_LIFE_NANOSECONDS = TimeUnit.SECONDS.toNanos(5);

  private int consecutiveFailures;
  private long nextEjectionNanoseconds = INITIAL_EJECTION_NANOSECONDS;
  private long ejectedUntilNanoseconds;
  private long slowStartBeginNanoseconds;
  private long overloadedUntilNanoseconds;
  private double averageLatencyNanoseconds;
  private long latencyUpdatedNanoseconds;

  /**
   * Creates the health of a server without any observations; it begins in slow start.
   *
   * @param nowNanoseconds present monotonic time
   */
  public ServerHealth(long nowNanoseconds) {
    ejectedUntilNanoseconds = nowNanoseconds;
    overloadedUntilNanoseconds = nowNanoseconds;
    slowStartBeginNanoseconds = nowNanoseconds;
    latencyUpdatedNanoseconds = nowNanoseconds;
  }

  /** Records a response of the server, which ends a series of failures. */
  public synchronized void recordSuccess(long latencyNanoseconds, long nowNanoseconds) {
    consecutiveFailures = 0;
    nextEjectionNanoseconds = INITIAL_EJECTION_NANOSECONDS;
    double average = averageLatencyNanoseconds(nowNanoseconds);
    averageLatencyNanoseconds =
        average == 0
            ? latencyNanoseconds
            : average + LATENCY_SMOOTHING_RATIO * (latencyNanoseconds - average);
    latencyUpdatedNanoseconds = nowNanoseconds;
  }

  /**
   * Records that the server refused a request before running it, because it is full. The server is
   * avoided for the given time.
   */
  public synchronized void recordRefusal(long avoidNanoseconds, long nowNanoseconds) {
    overloadedUntilNanoseconds = nowNanoseconds + avoidNanoseconds;
  }

  /**
   * Records a failure of the server. Several failures in a row eject it, each time for twice as
   * long, up to a maximum.
   */
  public synchronized void recordFailure(long nowNanoseconds) {
    consecutiveFailures++;
    if (consecutiveFailures >= EJECTION_FAILURE_COUNT) {
      consecutiveFailures = 0;
      ejectedUntilNanoseconds = nowNanoseconds + nextEjectionNanoseconds;
      slowStartBeginNanoseconds = ejectedUntilNanoseconds;
      nextEjectionNanoseconds = Math.min(2 * nextEjectionNanoseconds, MAXIMUM_EJECTION_NANOSECONDS);
    }
  }

  /** Returns whether the server is ejected, so that it gets no requests. */
  public synchronized boolean isEjected(long nowNanoseconds) {
    return nowNanoseconds - ejectedUntilNanoseconds < 0;
  }

  /** Returns whether the server is avoided because it refused a request. */
  public synchronized boolean isOverloaded(long nowNanoseconds) {
    return nowNanoseconds - overloadedUntilNanoseconds < 0;
  }

  /** Returns the share of the server's slots that may be used; it grows to 1 during slow start. */
  public synchronized double slowStartRatio(long nowNanoseconds) {
    double age = nowNanoseconds - slowStartBeginNanoseconds;
    double progress = Math.clamp(age / SLOW_START_NANOSECONDS, 0, 1);
    return SLOW_START_INITIAL_RATIO + (1 - SLOW_START_INITIAL_RATIO) * progress;
  }

  /** Returns the moving average of the latency; it decays while no response arrives. */
  public synchronized double averageLatencyNanoseconds(long nowNanoseconds) {
    double age = nowNanoseconds - latencyUpdatedNanoseconds;
    return averageLatencyNanoseconds * Math.pow(0.5, age / LATENCY_HALF_LIFE_NANOSECONDS);
  }
}
