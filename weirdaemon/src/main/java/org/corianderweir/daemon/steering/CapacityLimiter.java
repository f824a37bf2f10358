package org.corianderweir.daemon.steering;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.corianderweir.daemon.control.LimitService;
import org.corianderweir.logic.limits.AdmissionController;
import org.corianderweir.logic.limits.ConcurrencyPermits;
import org.corianderweir.logic.steering.Cell;
import org.corianderweir.logic.steering.LinkAccount;

/**
 * Limits requests to the concurrency of regions and selectors and to the capacity of links between
 * regions. The limits hold over all entry instances together, because each instance uses only its
 * own slices and loans of them. Thread-safe.
 */
public final class CapacityLimiter {
  private static final double BITS_PER_BYTE = 8;
  private static final double INITIAL_RESPONSE_SIZE_BITS = 16 * 1024 * BITS_PER_BYTE;

  private final String region;
  private final LimitService limits;
  private final Map<String, LinkAccount> responseAccounts = new ConcurrentHashMap<>();

  /**
   * Creates a limiter.
   *
   * @param region region of this entry instance
   */
  public CapacityLimiter(String region, LimitService limits) {
    this.region = region;
    this.limits = limits;
  }

  /**
   * Acquires a permit for a request; empty if this instance has reached one of the limits.
   *
   * @param selector name of the selector that covers the request
   * @param requestBytes size of the request body
   * @param deadlineNanoseconds monotonic time at which the request ends at the latest
   * @param nowNanoseconds present monotonic time
   */
  public Optional<CapacityPermit> tryAcquire(
      Cell cell,
      String selector,
      long requestBytes,
      long deadlineNanoseconds,
      long nowNanoseconds) {
    List<Runnable> releases = new ArrayList<>();
    boolean acquired =
        tryAcquirePermit(
                limits.selectorPermits(selector), deadlineNanoseconds, nowNanoseconds, releases)
            && tryAcquirePermit(
                limits.regionPermits(cell.region()), deadlineNanoseconds, nowNanoseconds, releases)
            && tryConsumeLinkCapacity(
                region, cell.region(), requestBytes * BITS_PER_BYTE, nowNanoseconds);
    Optional<LinkAccount> responseAccount =
        acquired ? responseAccount(cell.region()) : Optional.empty();
    double reservedBits =
        responseAccount.map(account -> account.tryReserve(nowNanoseconds)).orElse(0.0);
    if (!acquired || reservedBits < 0) {
      Collections.reverse(releases);
      releases.forEach(Runnable::run);
      return Optional.empty();
    }
    AtomicBoolean released = new AtomicBoolean();
    return Optional.of(
        responseBytes -> {
          if (released.compareAndSet(false, true)) {
            responseAccount.ifPresent(
                account -> account.settle(reservedBits, responseBytes * BITS_PER_BYTE));
            releases.forEach(Runnable::run);
          }
        });
  }

  /**
   * Returns the limit because of which {@link #tryAcquire} would not acquire a permit now; empty if
   * it would. Acquires and counts nothing.
   */
  public Optional<String> reachedLimit(
      Cell cell,
      String selector,
      long requestBytes,
      long deadlineNanoseconds,
      long nowNanoseconds) {
    if (!isAvailable(limits.selectorPermits(selector), deadlineNanoseconds, nowNanoseconds)) {
      return Optional.of("concurrency of the selector");
    }
    if (!isAvailable(limits.regionPermits(cell.region()), deadlineNanoseconds, nowNanoseconds)) {
      return Optional.of("concurrency of region " + cell.region());
    }
    if (!hasLinkCapacity(region, cell.region(), requestBytes * BITS_PER_BYTE, nowNanoseconds)) {
      return Optional.of("link from " + region + " to " + cell.region());
    }
    double responseBits =
        Optional.ofNullable(responseAccounts.get(cell.region()))
            .map(LinkAccount::nextReservationBits)
            .orElse(INITIAL_RESPONSE_SIZE_BITS);
    return hasLinkCapacity(cell.region(), region, responseBits, nowNanoseconds)
        ? Optional.empty()
        : Optional.of("link from " + cell.region() + " to " + region);
  }

  private static boolean isAvailable(
      Optional<ConcurrencyPermits> permits, long deadlineNanoseconds, long nowNanoseconds) {
    return permits.isEmpty() || permits.get().isAvailable(deadlineNanoseconds, nowNanoseconds);
  }

  private boolean hasLinkCapacity(String from, String to, double bits, long nowNanoseconds) {
    return link(from, to)
        .map(controller -> controller.bucket().has(bits, nowNanoseconds))
        .orElse(true);
  }

  private Optional<AdmissionController> link(String from, String to) {
    return from.equals(to) ? Optional.empty() : limits.linkAdmissionController(from, to);
  }

  private static boolean tryAcquirePermit(
      Optional<ConcurrencyPermits> permits,
      long deadlineNanoseconds,
      long nowNanoseconds,
      List<Runnable> releases) {
    if (permits.isEmpty()) {
      return true;
    }
    boolean acquired = permits.get().tryAcquire(deadlineNanoseconds, nowNanoseconds);
    if (acquired) {
      releases.add(permits.get()::release);
    }
    return acquired;
  }

  private boolean tryConsumeLinkCapacity(String from, String to, double bits, long nowNanoseconds) {
    return link(from, to)
        .map(controller -> controller.bucket().tryConsume(bits, nowNanoseconds))
        .orElse(true);
  }

  private Optional<LinkAccount> responseAccount(String fromRegion) {
    if (link(fromRegion, region).isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        responseAccounts.computeIfAbsent(
            fromRegion,
            from ->
                new LinkAccount(
                    (bits, nowNanoseconds) ->
                        tryConsumeLinkCapacity(from, region, bits, nowNanoseconds),
                    INITIAL_RESPONSE_SIZE_BITS)));
  }
}
