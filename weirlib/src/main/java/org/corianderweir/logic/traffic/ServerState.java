package org.corianderweir.logic.traffic;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
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
  static final Duration REPORT_LIFETIME = Duration.ofSeconds(1);

  private static final long REPORT_LIFETIME_NANOSECONDS = REPORT_LIFETIME.toNanos();

  /**
   * Time in which the weight of a reported speed decreases to zero. The speed of a machine changes
   * about twice a second, so an older report says nothing about the present speed.
   */
  private static final long SPEED_LIFETIME_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final int USUAL_SPEED_PERCENT = 100;

  /** A server that reports to be faster than this is faulty and must not draw all requests. */
  private static final double SMALLEST_SPEED_RATIO = 0.5;

  /** Work that takes this many times as long as usual counts as slow in the metrics. */
  private static final double SLOW_SPEED_RATIO = 1.5;

  /** Bodies above this length are large. Most uploads are below it and go to the best server. */
  private static final long LARGE_BODY_BYTES = 64 * 1024;

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
  private final InFlightHistory history = new InFlightHistory();
  private long bodyBytesInProgress;
  private int largeBodyCount;
  private long noResponseSinceNanoseconds;
  private int requestsOfOtherInstances;
  private long reportedNanoseconds;
  private double averageRequests;
  private long averageNanoseconds;
  private double speedRatio = 1;
  private long speedNanoseconds;
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
    speedNanoseconds = nowNanoseconds - REPORT_LIFETIME_NANOSECONDS;
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

  /**
   * Records that a request is sent to the server.
   *
   * @param bodyBytes length of its body
   */
  void recordSend(long bodyBytes, long nowNanoseconds) {
    bodyBytesInProgress += bodyBytes;
    largeBodyCount += isLargeBody(bodyBytes) ? 1 : 0;
    if (inFlight() == 0) {
      noResponseSinceNanoseconds = nowNanoseconds;
    }
    history.add(1, nowNanoseconds);
    if (isCold(nowNanoseconds)) {
      coldRequests.add(nowNanoseconds);
    }
  }

  /** Records that a send of a request with a body of the given length has ended. */
  void recordEnd(long bodyBytes, long nowNanoseconds) {
    bodyBytesInProgress -= bodyBytes;
    largeBodyCount -= isLargeBody(bodyBytes) ? 1 : 0;
    history.add(-1, nowNanoseconds);
  }

  /**
   * Records the load that the server reported, to this instance or to another one, without the
   * answered request. This instance's requests in flight at that time are part of it. An older
   * report does not replace a newer one.
   *
   * @param heardNanoseconds time at which the report was heard
   * @return whether a figure of the report is the newest one
   */
  boolean recordLoad(ServerLoad load, long heardNanoseconds) {
    boolean newerLoad = load.requests().isPresent() && heardNanoseconds - reportedNanoseconds >= 0;
    if (newerLoad) {
      requestsOfOtherInstances =
          Math.max(0, load.requests().getAsInt() - history.inFlightAt(heardNanoseconds));
      reportedNanoseconds = heardNanoseconds;
    }
    boolean newerSpeed =
        load.speedPercent().isPresent() && heardNanoseconds - speedNanoseconds >= 0;
    if (newerSpeed) {
      double reported = (double) load.speedPercent().getAsInt() / USUAL_SPEED_PERCENT;
      speedRatio = Math.max(SMALLEST_SPEED_RATIO, reported);
      speedNanoseconds = heardNanoseconds;
    }
    return newerLoad || newerSpeed;
  }

  private int inFlight() {
    return history.inFlight();
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
    return inFlight() < 1 + elapsedRatio * registration.slots();
  }

  /** Records that the server responded. */
  void recordResponse(long nowNanoseconds) {
    noResponseSinceNanoseconds = nowNanoseconds;
  }

  /** Returns whether the server has requests in flight but has not responded for a long time. */
  boolean isUnresponsive(long nowNanoseconds) {
    return inFlight() > 0
        && nowNanoseconds - noResponseSinceNanoseconds > UNRESPONSIVE_THRESHOLD_NANOSECONDS;
  }

  /**
   * Records a successful answer and the ratio of its latency to the route's average. What the
   * reported speed explains is left out, since the speed counts by itself and ends sooner.
   */
  void recordSuccess(double observedLatencyRatio, long nowNanoseconds) {
    observe(0, observedLatencyRatio / speedRatio(nowNanoseconds), nowNanoseconds);
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

  /**
   * Returns the estimated number of requests on the server, including other instances'. The part of
   * the last report decreases with its age, in favour of the average of the service if reports are
   * shared.
   */
  public double load(long nowNanoseconds) {
    double weight = reportWeight(reportedNanoseconds, nowNanoseconds);
    double average = averageRequests * reportWeight(averageNanoseconds, nowNanoseconds);
    return inFlight() + requestsOfOtherInstances * weight + average * (1 - weight);
  }

  /** Returns the weight of the newest load report, from 1 (new) to 0 (too old). */
  double reportWeight(long nowNanoseconds) {
    return reportWeight(reportedNanoseconds, nowNanoseconds);
  }

  private static double reportWeight(long heardNanoseconds, long nowNanoseconds) {
    double age = nowNanoseconds - heardNanoseconds;
    return Math.max(0, 1 - age / REPORT_LIFETIME_NANOSECONDS);
  }

  /**
   * Returns how much longer than usual work takes on the server now, by its last report; 1 if it
   * reported no speed recently.
   */
  public double speedRatio(long nowNanoseconds) {
    double age = nowNanoseconds - speedNanoseconds;
    double weight = Math.max(0, 1 - age / SPEED_LIFETIME_NANOSECONDS);
    return 1 + (speedRatio - 1) * weight;
  }

  /** Returns a short name for the speed of the server, for the metrics. */
  String speedLabel(long nowNanoseconds) {
    if (nowNanoseconds - speedNanoseconds >= SPEED_LIFETIME_NANOSECONDS) {
      return "unknown";
    }
    return speedRatio >= SLOW_SPEED_RATIO ? "slow" : "usual";
  }

  /** Returns the age of the newest reported load or speed; empty if it has no weight any more. */
  public Optional<Duration> reportAge(long nowNanoseconds) {
    long age = Math.min(nowNanoseconds - reportedNanoseconds, nowNanoseconds - speedNanoseconds);
    return age < REPORT_LIFETIME_NANOSECONDS
        ? Optional.of(Duration.ofNanos(Math.max(0, age)))
        : Optional.empty();
  }

  /** Returns whether a body of the given length is large. */
  static boolean isLargeBody(long bodyBytes) {
    return bodyBytes > LARGE_BODY_BYTES;
  }

  /** Returns the number of body bytes of this instance's requests in flight to the server. */
  public long bodyBytesInProgress() {
    return bodyBytesInProgress;
  }

  /** Returns the number of large bodies of this instance's requests in flight to the server. */
  int largeBodyCount() {
    return largeBodyCount;
  }

  /**
   * Records how many requests of other instances the servers of the same service and region have on
   * average. Where reports are shared, a server without a recent one is assumed to be like them; if
   * it counted as idle, all instances would choose it.
   */
  void recordAverageRequests(double requests, long nowNanoseconds) {
    averageRequests = requests;
    averageNanoseconds = nowNanoseconds;
  }

  /** Returns the requests of other instances in the last report, if it still has weight. */
  OptionalInt requestsOfOtherInstances(long nowNanoseconds) {
    return reportWeight(reportedNanoseconds, nowNanoseconds) > 0
        ? OptionalInt.of(requestsOfOtherInstances)
        : OptionalInt.empty();
  }

  /** Returns the ratio of recent requests that failed. */
  public double failureRatio(long nowNanoseconds) {
    return failureRatio * decayFactor(nowNanoseconds);
  }

  /**
   * Returns the ratio of the server's latency to the average of its routes, beyond what its
   * reported speed explains.
   */
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
