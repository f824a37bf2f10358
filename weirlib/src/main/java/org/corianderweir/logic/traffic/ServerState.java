package org.corianderweir.logic.traffic;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.corianderweir.model.Durations;
import org.corianderweir.model.traffic.ServerRegistration;

/**
 * The state of a backend server as seen by one entry instance: its registration, its load, and its
 * recent answers. Not thread-safe.
 */
public final class ServerState {
  /**
   * Time in which the weight of a load report decreases to zero. Requests take about as long, so an
   * older report says nothing about the present load.
   */
  private static final long REPORT_LIFETIME_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(1_000);

  private static final long INITIAL_EJECTION_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final long MAXIMUM_EJECTION_NANOSECONDS = TimeUnit.SECONDS.toNanos(4);
  private static final int EJECTION_LOSS_COUNT = 2;

  /** Weight of the newest observation in a moving average. */
  private static final double SMOOTHING_FACTOR = 0.25;

  /** Without new observations, failure and latency ratio decay to healthy with this half-life. */
  private static final double HALF_LIFE_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);

  private static final int COLD_REQUEST_BUCKET_COUNT = 10;

  /** A server that asks for a longer pause is asked again after this one. */
  private static final Duration LONGEST_PAUSE = Duration.ofMinutes(10);

  /** Time after a pause in which the server is filled again. */
  private static final Duration RETURN_PERIOD = Duration.ofSeconds(1);

  /** A server that reports a longer time is asked again after this one. */
  private static final Duration LONGEST_COLD_TIME = Duration.ofHours(1);

  /**
   * A server that has requests in flight and answers none for this long may have failed without
   * closing its connections.
   */
  private static final long UNRESPONSIVE_THRESHOLD_NANOSECONDS =
      TimeUnit.MILLISECONDS.toNanos(1_500);

  private ServerRegistration registration;
  private final String region;
  private int inFlight;
  private long noResponseSinceNanoseconds;
  private int requestsOfOtherInstances;
  private long reportedNanoseconds;
  private double failureRatio;
  private double latencyRatio = 1;
  private long observedNanoseconds;
  private int consecutiveLosses;
  private long ejectionNanoseconds = INITIAL_EJECTION_NANOSECONDS;
  private long ejectedUntilNanoseconds;
  private long coldUntilNanoseconds;
  private boolean leaving;
  private long pausedUntilNanoseconds;
  private long returnedUntilNanoseconds;
  private final SlidingWindowCounter coldRequests =
      new SlidingWindowCounter(TimeUnit.SECONDS.toNanos(1), COLD_REQUEST_BUCKET_COUNT);

  ServerState(ServerRegistration registration, String region, long nowNanoseconds) {
    this.registration = registration;
    this.region = region;
    reportedNanoseconds = nowNanoseconds - REPORT_LIFETIME_NANOSECONDS;
    observedNanoseconds = nowNanoseconds;
    ejectedUntilNanoseconds = nowNanoseconds;
    pausedUntilNanoseconds = nowNanoseconds;
    returnedUntilNanoseconds = nowNanoseconds;
    recordColdRemaining(registration.coldRemaining(), nowNanoseconds);
  }

  /** Returns the registration of the server. */
  public ServerRegistration registration() {
    return registration;
  }

  /** Returns the region of the server. */
  public String region() {
    return region;
  }

  void update(ServerRegistration newRegistration, long nowNanoseconds) {
    if (!newRegistration.coldRemaining().equals(registration.coldRemaining())) {
      recordColdRemaining(newRegistration.coldRemaining(), nowNanoseconds);
    }
    registration = newRegistration;
  }

  void recordSend(long nowNanoseconds) {
    if (inFlight == 0) {
      noResponseSinceNanoseconds = nowNanoseconds;
    }
    inFlight++;
    if (isCold(nowNanoseconds)) {
      coldRequests.add(nowNanoseconds);
    }
  }

  void recordEnd() {
    inFlight--;
  }

  /**
   * Records the number of running and waiting requests that the server reported, without the
   * answered one.
   */
  void recordLoad(long requests, long nowNanoseconds) {
    int reported = Math.clamp(requests, 0, Integer.MAX_VALUE);
    requestsOfOtherInstances = Math.max(0, reported - inFlight);
    reportedNanoseconds = nowNanoseconds;
  }

  /** Records how much longer the server reports to be cold. */
  void recordColdRemaining(Duration remaining, long nowNanoseconds) {
    long remainingNanoseconds = Durations.toBoundedNanoseconds(remaining);
    coldUntilNanoseconds =
        nowNanoseconds + Math.min(remainingNanoseconds, LONGEST_COLD_TIME.toNanos());
  }

  /** Records that the server said that it leaves; only its next start ends this. */
  void recordLeaving() {
    leaving = true;
  }

  /**
   * Records that the server asked for a pause. A shorter one does not end a longer one.
   *
   * @param returnDelay time after the pause before this instance returns, so that not all instances
   *     return at the same moment
   */
  void recordPause(Duration pause, Duration returnDelay, long nowNanoseconds) {
    long bounded = Math.min(Durations.toBoundedNanoseconds(pause), LONGEST_PAUSE.toNanos());
    long until = nowNanoseconds + bounded + returnDelay.toNanos();
    if (until - pausedUntilNanoseconds > 0) {
      pausedUntilNanoseconds = until;
      returnedUntilNanoseconds = until + RETURN_PERIOD.toNanos();
    }
  }

  boolean isLeaving() {
    return leaving;
  }

  /** Returns what is believed of the server. */
  public ServerCondition condition(long nowNanoseconds) {
    if (leaving) {
      return ServerCondition.LEAVING;
    }
    if (registration.draining()) {
      return ServerCondition.DRAINING;
    }
    if (isPausing(nowNanoseconds)) {
      return new ServerCondition.Pausing(pausedUntilNanoseconds);
    }
    if (isEjected(nowNanoseconds) || isUnresponsive(nowNanoseconds)) {
      return ServerCondition.FAILING;
    }
    return isCold(nowNanoseconds) ? ServerCondition.COLD : ServerCondition.HEALTHY;
  }

  boolean isPausing(long nowNanoseconds) {
    return nowNanoseconds - pausedUntilNanoseconds < 0;
  }

  /** Returns the time until the end of the pause; zero if there is none. */
  Duration pauseLeft(long nowNanoseconds) {
    return Duration.ofNanos(Math.max(0, pausedUntilNanoseconds - nowNanoseconds));
  }

  /**
   * Returns whether a server that has paused takes one more request. After its pause it is filled
   * slowly, since the requests that waited elsewhere would else arrive at once.
   */
  boolean takesMoreAfterPause(long nowNanoseconds) {
    long left = returnedUntilNanoseconds - nowNanoseconds;
    if (left <= 0) {
      return true;
    }
    double elapsedRatio = 1 - (double) left / RETURN_PERIOD.toNanos();
    return inFlight < 1 + elapsedRatio * registration.slots();
  }

  /** Records that the server responded. */
  void recordResponse(long nowNanoseconds) {
    noResponseSinceNanoseconds = nowNanoseconds;
  }

  /** Returns whether the server has requests in flight but has not responded for a long time. */
  boolean isUnresponsive(long nowNanoseconds) {
    return inFlight > 0
        && nowNanoseconds - noResponseSinceNanoseconds > UNRESPONSIVE_THRESHOLD_NANOSECONDS;
  }

  /** Records a successful answer and the ratio of its latency to the route's average. */
  void recordSuccess(double observedLatencyRatio, long nowNanoseconds) {
    observe(0, observedLatencyRatio, nowNanoseconds);
    consecutiveLosses = 0;
    ejectionNanoseconds = INITIAL_EJECTION_NANOSECONDS;
  }

  /** Records a failed or rejected request. */
  void recordFailure(long nowNanoseconds) {
    observe(1, latencyRatio(nowNanoseconds), nowNanoseconds);
  }

  /** Records that the server could not be reached or did not answer. */
  void recordLoss(boolean unreachable, long nowNanoseconds) {
    recordFailure(nowNanoseconds);
    consecutiveLosses++;
    if (unreachable || consecutiveLosses >= EJECTION_LOSS_COUNT) {
      ejectedUntilNanoseconds = nowNanoseconds + ejectionNanoseconds;
      ejectionNanoseconds = Math.min(2 * ejectionNanoseconds, MAXIMUM_EJECTION_NANOSECONDS);
    }
  }

  boolean isEjected(long nowNanoseconds) {
    return nowNanoseconds - ejectedUntilNanoseconds < 0;
  }

  boolean isCold(long nowNanoseconds) {
    return nowNanoseconds - coldUntilNanoseconds < 0;
  }

  long coldRequests(long nowNanoseconds) {
    return coldRequests.count(nowNanoseconds);
  }

  /** Returns the estimated number of requests on the server, including other instances'. */
  public double load(long nowNanoseconds) {
    double age = nowNanoseconds - reportedNanoseconds;
    double weight = Math.max(0, 1 - age / REPORT_LIFETIME_NANOSECONDS);
    return inFlight + requestsOfOtherInstances * weight;
  }

  /** Returns the age of the last load report; empty if there was none or it has no weight. */
  Optional<Duration> reportAge(long nowNanoseconds) {
    long age = nowNanoseconds - reportedNanoseconds;
    return age < REPORT_LIFETIME_NANOSECONDS
        ? Optional.of(Duration.ofNanos(age))
        : Optional.empty();
  }

  /** Returns the ratio of recent requests that failed. */
  public double failureRatio(long nowNanoseconds) {
    return failureRatio * decayFactor(nowNanoseconds);
  }

  /** Returns the ratio of the server's latency to the average of its routes. */
  public double latencyRatio(long nowNanoseconds) {
    return 1 + (latencyRatio - 1) * decayFactor(nowNanoseconds);
  }

  private void observe(double failure, double observedLatencyRatio, long nowNanoseconds) {
    double currentFailureRatio = failureRatio(nowNanoseconds);
    double currentLatencyRatio = latencyRatio(nowNanoseconds);
    failureRatio = currentFailureRatio + SMOOTHING_FACTOR * (failure - currentFailureRatio);
    latencyRatio =
        currentLatencyRatio + SMOOTHING_FACTOR * (observedLatencyRatio - currentLatencyRatio);
    observedNanoseconds = nowNanoseconds;
  }

  private double decayFactor(long nowNanoseconds) {
    return Math.pow(0.5, (nowNanoseconds - observedNanoseconds) / HALF_LIFE_NANOSECONDS);
  }
}
