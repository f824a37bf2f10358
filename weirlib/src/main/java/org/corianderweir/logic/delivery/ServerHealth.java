package org.corianderweir.logic.delivery;

import java.util.concurrent.TimeUnit;

/**
 * What one entry instance has seen of one backend server. Only outcomes count here, not what the
 * server says of itself. Thread-safe.
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
   * Begins with a server of which nothing is known.
   *
   * @param nowNanoseconds present monotonic time
   */
  public ServerHealth(long nowNanoseconds) {
    ejectedUntilNanoseconds = nowNanoseconds;
    overloadedUntilNanoseconds = nowNanoseconds;
    slowStartBeginNanoseconds = nowNanoseconds;
    latencyUpdatedNanoseconds = nowNanoseconds;
  }

  /** The server answered. */
  public synchronized void recordSuccess(long responseNanoseconds, long nowNanoseconds) {
    consecutiveFailures = 0;
    nextEjectionNanoseconds = INITIAL_EJECTION_NANOSECONDS;
    double average = averageLatencyNanoseconds(nowNanoseconds);
    averageLatencyNanoseconds =
        average == 0
            ? responseNanoseconds
            : average + LATENCY_SMOOTHING_RATIO * (responseNanoseconds - average);
    latencyUpdatedNanoseconds = nowNanoseconds;
  }

  /** The server refused a request before running it: it is full, and asked again later. */
  public synchronized void recordRefusal(long avoidNanoseconds, long nowNanoseconds) {
    overloadedUntilNanoseconds = nowNanoseconds + avoidNanoseconds;
  }

  /** The server failed; several failures in a row eject it, each time for twice as long. */
  public synchronized void recordFailure(long nowNanoseconds) {
    consecutiveFailures++;
    if (consecutiveFailures >= EJECTION_FAILURE_COUNT) {
      consecutiveFailures = 0;
      ejectedUntilNanoseconds = nowNanoseconds + nextEjectionNanoseconds;
      slowStartBeginNanoseconds = ejectedUntilNanoseconds;
      nextEjectionNanoseconds = Math.min(2 * nextEjectionNanoseconds, MAXIMUM_EJECTION_NANOSECONDS);
    }
  }

  /** Returns whether the server gets no requests for a while. */
  public synchronized boolean isEjected(long nowNanoseconds) {
    return nowNanoseconds - ejectedUntilNanoseconds < 0;
  }

  /** Returns whether the server refused lately. */
  public synchronized boolean isOverloaded(long nowNanoseconds) {
    return nowNanoseconds - overloadedUntilNanoseconds < 0;
  }

  /** Returns the part of its slots that may be used, from slow start up to 1. */
  public synchronized double slowStartRatio(long nowNanoseconds) {
    double age = nowNanoseconds - slowStartBeginNanoseconds;
    double progress = Math.clamp(age / SLOW_START_NANOSECONDS, 0, 1);
    return SLOW_START_INITIAL_RATIO + (1 - SLOW_START_INITIAL_RATIO) * progress;
  }

  /** Returns the moving average of the time to an answer; it fades while none comes. */
  public synchronized double averageLatencyNanoseconds(long nowNanoseconds) {
    double age = nowNanoseconds - latencyUpdatedNanoseconds;
    return averageLatencyNanoseconds * Math.pow(0.5, age / LATENCY_HALF_LIFE_NANOSECONDS);
  }
}
