package org.corianderweir.logic.traffic;

import java.util.concurrent.TimeUnit;
import org.corianderweir.model.traffic.ServerEntry;

/**
 * What one instance knows of a backend server: its entry, the requests it holds, and how it has
 * answered lately. Not thread-safe.
 */
public final class ServerState {
  /** A load report says little after this time; requests take about as long. */
  private static final long REPORT_LIFETIME_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(1_000);

  private static final long FIRST_EJECTION_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final long LONGEST_EJECTION_NANOSECONDS = TimeUnit.SECONDS.toNanos(4);
  private static final int LOSSES_TO_EJECT = 2;

  /** Weight of the newest observation in a moving average. */
  private static final double GAIN = 0.25;

  /** Without new observations a server is taken for sound again, half of it in this time. */
  private static final double HALF_LIFE_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);

  private static final int COLD_BUCKETS = 10;

  /** A server that holds requests and answers none for this long may be gone without a word. */
  private static final long SILENCE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private ServerEntry entry;
  private final String region;
  private int inFlight;
  private long waitingSince;
  private int reportedOthers;
  private long reportedAt;
  private double failures;
  private double slowness = 1;
  private long observedAt;
  private int consecutiveLosses;
  private long ejectionNanoseconds = FIRST_EJECTION_NANOSECONDS;
  private long ejectedUntil;
  private long coldUntil;
  private final SlidingCount coldRequests =
      new SlidingCount(TimeUnit.SECONDS.toNanos(1), COLD_BUCKETS);

  ServerState(ServerEntry entry, String region, long nowNanoseconds) {
    this.entry = entry;
    this.region = region;
    reportedAt = nowNanoseconds - REPORT_LIFETIME_NANOSECONDS;
    observedAt = nowNanoseconds;
    ejectedUntil = nowNanoseconds;
    coldUntil = nowNanoseconds + entry.coldRemaining().toNanos();
  }

  /** Returns what the server says of itself. */
  public ServerEntry entry() {
    return entry;
  }

  /** Returns the region of the server. */
  public String region() {
    return region;
  }

  void update(ServerEntry newer, long nowNanoseconds) {
    if (!newer.coldRemaining().equals(entry.coldRemaining())) {
      coldUntil = nowNanoseconds + newer.coldRemaining().toNanos();
    }
    entry = newer;
  }

  void begin(long nowNanoseconds) {
    if (inFlight == 0) {
      waitingSince = nowNanoseconds;
    }
    inFlight++;
    if (cold(nowNanoseconds)) {
      coldRequests.add(nowNanoseconds);
    }
  }

  void end() {
    inFlight--;
  }

  /**
   * The server reported its running and waiting requests, the answered one no longer among them.
   */
  void reported(int requests, long nowNanoseconds) {
    reportedOthers = Math.max(0, requests - inFlight);
    reportedAt = nowNanoseconds;
  }

  /** The server says how much longer it is cold. */
  void reportedCold(long remainingNanoseconds, long nowNanoseconds) {
    coldUntil = nowNanoseconds + remainingNanoseconds;
  }

  /** The server gave a sign of life. */
  void heard(long nowNanoseconds) {
    waitingSince = nowNanoseconds;
  }

  /** Returns whether the server holds requests and has not answered for long. */
  boolean silent(long nowNanoseconds) {
    return inFlight > 0 && nowNanoseconds - waitingSince > SILENCE_NANOSECONDS;
  }

  /** The server answered whole; its time is compared with that of its service. */
  void answered(double relativeTime, long nowNanoseconds) {
    observe(0, relativeTime, nowNanoseconds);
    consecutiveLosses = 0;
    ejectionNanoseconds = FIRST_EJECTION_NANOSECONDS;
  }

  /** The server failed or refused a request although it answered. */
  void failed(long nowNanoseconds) {
    observe(1, slowness(nowNanoseconds), nowNanoseconds);
  }

  /** The server could not be reached or did not answer. */
  void lost(boolean unreachable, long nowNanoseconds) {
    failed(nowNanoseconds);
    consecutiveLosses++;
    if (unreachable || consecutiveLosses >= LOSSES_TO_EJECT) {
      ejectedUntil = nowNanoseconds + ejectionNanoseconds;
      ejectionNanoseconds = Math.min(2 * ejectionNanoseconds, LONGEST_EJECTION_NANOSECONDS);
    }
  }

  boolean ejected(long nowNanoseconds) {
    return nowNanoseconds - ejectedUntil < 0;
  }

  boolean cold(long nowNanoseconds) {
    return nowNanoseconds - coldUntil < 0;
  }

  long coldRequests(long nowNanoseconds) {
    return coldRequests.count(nowNanoseconds);
  }

  /** Returns the requests that the server is believed to hold, those of other instances too. */
  public double load(long nowNanoseconds) {
    double age = nowNanoseconds - reportedAt;
    double weight = Math.max(0, 1 - age / REPORT_LIFETIME_NANOSECONDS);
    return inFlight + reportedOthers * weight;
  }

  /** Returns the part of lately sent requests that failed. */
  public double failures(long nowNanoseconds) {
    return failures * fading(nowNanoseconds);
  }

  /** Returns how many times longer than its service the server takes. */
  public double slowness(long nowNanoseconds) {
    return 1 + (slowness - 1) * fading(nowNanoseconds);
  }

  private void observe(double failure, double relativeTime, long nowNanoseconds) {
    double known = failures(nowNanoseconds);
    double pace = slowness(nowNanoseconds);
    failures = known + GAIN * (failure - known);
    slowness = pace + GAIN * (relativeTime - pace);
    observedAt = nowNanoseconds;
  }

  private double fading(long nowNanoseconds) {
    return Math.pow(0.5, (nowNanoseconds - observedAt) / HALF_LIFE_NANOSECONDS);
  }
}
