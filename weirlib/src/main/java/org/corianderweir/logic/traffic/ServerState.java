package org.corianderweir.logic.traffic;

import java.util.concurrent.TimeUnit;
import org.corianderweir.model.traffic.ServerRegistration;

/**
 * What one instance knows of a backend server: its entry, the requests it holds, and how it has
 * answered lately. Not thread-safe.
 */
public final class ServerState {
  /** A load report says little after this time; requests take about as long. */
  private static final long REPORT_LIFETIME_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(1_000);

  private static final long INITIAL_EJECTION_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final long MAXIMUM_EJECTION_NANOSECONDS = TimeUnit.SECONDS.toNanos(4);
  private static final int EJECTION_LOSS_COUNT = 2;

  /** Weight of the newest observation in a moving average. */
  private static final double SMOOTHING_FACTOR = 0.25;

  /** Without new observations a server is taken for sound again, half of it in this time. */
  private static final double HALF_LIFE_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);

  private static final int COLD_REQUEST_BUCKET_COUNT = 10;

  /** A server that holds requests and answers none for this long may be gone without a word. */
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
  private final SlidingWindowCounter coldRequests =
      new SlidingWindowCounter(TimeUnit.SECONDS.toNanos(1), COLD_REQUEST_BUCKET_COUNT);

  ServerState(ServerRegistration registration, String region, long nowNanoseconds) {
    this.registration = registration;
    this.region = region;
    reportedNanoseconds = nowNanoseconds - REPORT_LIFETIME_NANOSECONDS;
    observedNanoseconds = nowNanoseconds;
    ejectedUntilNanoseconds = nowNanoseconds;
    coldUntilNanoseconds = nowNanoseconds + registration.coldRemaining().toNanos();
  }

  /** Returns what the server says of itself. */
  public ServerRegistration registration() {
    return registration;
  }

  /** Returns the region of the server. */
  public String region() {
    return region;
  }

  void update(ServerRegistration newRegistration, long nowNanoseconds) {
    if (!newRegistration.coldRemaining().equals(registration.coldRemaining())) {
      coldUntilNanoseconds = nowNanoseconds + newRegistration.coldRemaining().toNanos();
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
   * The server reported its running and waiting requests, the answered one no longer among them.
   */
  void recordLoad(int requests, long nowNanoseconds) {
    requestsOfOtherInstances = Math.max(0, requests - inFlight);
    reportedNanoseconds = nowNanoseconds;
  }

  /** The server says how much longer it is cold. */
  void recordColdRemaining(long remainingNanoseconds, long nowNanoseconds) {
    coldUntilNanoseconds = nowNanoseconds + remainingNanoseconds;
  }

  /** The server gave a sign of life. */
  void recordResponse(long nowNanoseconds) {
    noResponseSinceNanoseconds = nowNanoseconds;
  }

  /** Returns whether the server holds requests and has not answered for long. */
  boolean isUnresponsive(long nowNanoseconds) {
    return inFlight > 0
        && nowNanoseconds - noResponseSinceNanoseconds > UNRESPONSIVE_THRESHOLD_NANOSECONDS;
  }

  /** The server answered whole; its time is compared with that of its service. */
  void recordSuccess(double observedLatencyRatio, long nowNanoseconds) {
    observe(0, observedLatencyRatio, nowNanoseconds);
    consecutiveLosses = 0;
    ejectionNanoseconds = INITIAL_EJECTION_NANOSECONDS;
  }

  /** The server failed or refused a request although it answered. */
  void recordFailure(long nowNanoseconds) {
    observe(1, latencyRatio(nowNanoseconds), nowNanoseconds);
  }

  /** The server could not be reached or did not answer. */
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

  /** Returns the requests that the server is believed to hold, those of other instances too. */
  public double load(long nowNanoseconds) {
    double age = nowNanoseconds - reportedNanoseconds;
    double weight = Math.max(0, 1 - age / REPORT_LIFETIME_NANOSECONDS);
    return inFlight + requestsOfOtherInstances * weight;
  }

  /** Returns the part of lately sent requests that failed. */
  public double failureRatio(long nowNanoseconds) {
    return failureRatio * decayFactor(nowNanoseconds);
  }

  /** Returns how many times longer than its service the server takes. */
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
