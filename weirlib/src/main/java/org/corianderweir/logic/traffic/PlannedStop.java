package org.corianderweir.logic.traffic;

import java.time.Duration;

/**
 * The planned stop of an entry instance. Callers that looked up the instance before the stop keep
 * sending requests to it for a while. At first it admits all of them, later only those that end
 * before the process does.
 *
 * @param startedNanoseconds monotonic time at which the stop began
 * @param admissionPeriod time for which all requests are admitted
 * @param quietPeriod time without requests after which callers are taken to have noticed the stop
 * @param limit time after which the process ends
 */
public record PlannedStop(
    long startedNanoseconds, Duration admissionPeriod, Duration quietPeriod, Duration limit) {

  /** Returns whether a request with the given deadline is admitted. */
  public boolean admits(long deadlineNanoseconds, long nowNanoseconds) {
    return nowNanoseconds - startedNanoseconds < admissionPeriod.toNanos()
        || deadlineNanoseconds - startedNanoseconds <= limit.toNanos();
  }

  /**
   * Returns whether the instance may stop accepting connections. The quiet period before the limit
   * remains for connections that are open.
   *
   * @param requestsInProgress number of requests that have no answer yet
   * @param latestRequestNanoseconds monotonic time at which the latest request arrived
   */
  public boolean mayStopListening(
      int requestsInProgress, long latestRequestNanoseconds, long nowNanoseconds) {
    long elapsed = nowNanoseconds - startedNanoseconds;
    boolean quiet = nowNanoseconds - latestRequestNanoseconds >= quietPeriod.toNanos();
    return elapsed >= limit.minus(quietPeriod).toNanos()
        || (elapsed >= admissionPeriod.toNanos() && quiet && requestsInProgress == 0);
  }

  /** Returns the time that is left until the process ends. */
  public Duration timeLeft(long nowNanoseconds) {
    long left = limit.toNanos() - (nowNanoseconds - startedNanoseconds);
    return Duration.ofNanos(Math.max(0, left));
  }
}
