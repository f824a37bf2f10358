package org.corianderweir.daemon.entry;

import java.time.Duration;
import java.util.Optional;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.timeline.EventCode;

/** The outages of the metadata store as one instance sees them. Not thread-safe. */
final class StoreOutage {
  private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(200);
  private static final Duration MAXIMUM_RETRY_DELAY = Duration.ofMillis(400);

  /** Deputies after this one retry as rarely as it does while the store does not answer. */
  private static final int LARGEST_RETRY_RANK = 4;

  /** In a shorter outage, leases do not expire. */
  private static final Duration MINIMUM_LEASE_EXPIRY_OUTAGE = Duration.ofMillis(1_000);

  private final EventLog events;
  private Duration retryDelay = INITIAL_RETRY_DELAY;
  private Optional<Long> startNanoseconds = Optional.empty();

  StoreOutage(EventLog events) {
    this.events = events;
  }

  /** Returns whether the store does not answer. */
  boolean isPresent() {
    return startNanoseconds.isPresent();
  }

  /** Records that the store did not answer at the given time, which begins an outage. */
  void begin(Throwable failure, long nowNanoseconds) {
    startNanoseconds = Optional.of(nowNanoseconds);
    Throwable cause = WeirException.unwrap(failure);
    events.record(EventCode.PLATFORM_LOST, "store", "cause=" + cause.getMessage());
  }

  /**
   * Ends the outage.
   *
   * @param source the store or the instance that told of it
   * @return how long the outage lasted
   */
  Duration end(String source, long nowNanoseconds) {
    Duration outage = Duration.ofNanos(nowNanoseconds - startNanoseconds.orElse(nowNanoseconds));
    startNanoseconds = Optional.empty();
    resetRetryDelay();
    events.record(
        EventCode.PLATFORM_FOUND,
        "store",
        "outage=%d source=%s".formatted(outage.toMillis(), source));
    return outage;
  }

  /** Returns whether leases may have expired in an outage that lasted for a time. */
  static boolean mayExpireLeases(Duration outage) {
    return outage.compareTo(MINIMUM_LEASE_EXPIRY_OUTAGE) >= 0;
  }

  /** Records that the store answered. */
  void resetRetryDelay() {
    retryDelay = INITIAL_RETRY_DELAY;
  }

  /**
   * Returns the delay before the next attempt, which grows with each one.
   *
   * @param rank position of this instance among those that watch the store; later ones retry more
   *     rarely
   */
  Duration nextRetryDelay(int rank) {
    Duration delay = retryDelay.multipliedBy(1 + Math.min(LARGEST_RETRY_RANK, rank));
    Duration doubled = retryDelay.multipliedBy(2);
    retryDelay = doubled.compareTo(MAXIMUM_RETRY_DELAY) < 0 ? doubled : MAXIMUM_RETRY_DELAY;
    return delay;
  }
}
