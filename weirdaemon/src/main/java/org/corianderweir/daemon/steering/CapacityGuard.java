package org.corianderweir.daemon.steering;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.corianderweir.daemon.control.LimitService;
import org.corianderweir.logic.limits.AdmissionGate;
import org.corianderweir.logic.limits.ConcurrencyPermits;
import org.corianderweir.logic.steering.Cell;
import org.corianderweir.logic.steering.LinkAccount;

/**
 * Holds requests to the concurrency of regions and selectors and to the capacity of links, for all
 * entry instances together: each spends only its own slices and loans of these limits. Thread-safe.
 */
public final class CapacityGuard {
  private static final double BITS_PER_BYTE = 8;
  private static final double FIRST_ANSWER_BITS = 16 * 1024 * BITS_PER_BYTE;

  private final String region;
  private final LimitService limits;
  private final Map<String, LinkAccount> answers = new ConcurrentHashMap<>();

  /**
   * Creates a guard.
   *
   * @param region region of this entry instance
   */
  public CapacityGuard(String region, LimitService limits) {
    this.region = region;
    this.limits = limits;
  }

  /**
   * Takes room for a request, or nothing if one of the limits has none left here at present.
   *
   * @param selector name of the selector that covers the request
   * @param requestBytes bytes of the request
   * @param deadlineNanoseconds time by which the request has ended
   */
  public Optional<CapacityPermit> tryAcquire(
      Cell cell,
      String selector,
      long requestBytes,
      long deadlineNanoseconds,
      long nowNanoseconds) {
    List<Runnable> taken = new ArrayList<>();
    boolean room =
        tryPermit(limits.selectorPermits(selector), deadlineNanoseconds, nowNanoseconds, taken)
            && tryPermit(
                limits.regionPermits(cell.region()), deadlineNanoseconds, nowNanoseconds, taken)
            && tryTake(region, cell.region(), requestBytes * BITS_PER_BYTE, nowNanoseconds);
    Optional<LinkAccount> account = room ? answers(cell.region()) : Optional.empty();
    double reserved = account.map(each -> each.tryReserve(nowNanoseconds)).orElse(0.0);
    if (!room || reserved < 0) {
      Collections.reverse(taken);
      taken.forEach(Runnable::run);
      return Optional.empty();
    }
    AtomicBoolean released = new AtomicBoolean();
    return Optional.of(
        answerBytes -> {
          if (released.compareAndSet(false, true)) {
            account.ifPresent(each -> each.settle(reserved, answerBytes * BITS_PER_BYTE));
            taken.forEach(Runnable::run);
          }
        });
  }

  private static boolean tryPermit(
      Optional<ConcurrencyPermits> permits,
      long deadlineNanoseconds,
      long nowNanoseconds,
      List<Runnable> taken) {
    if (permits.isEmpty()) {
      return true;
    }
    boolean acquired = permits.get().tryAcquire(deadlineNanoseconds, nowNanoseconds);
    if (acquired) {
      taken.add(permits.get()::release);
    }
    return acquired;
  }

  private boolean tryTake(String from, String to, double bits, long nowNanoseconds) {
    Optional<AdmissionGate> gate = from.equals(to) ? Optional.empty() : limits.link(from, to);
    return gate.isEmpty() || gate.get().bucket().tryTake(bits, nowNanoseconds);
  }

  private Optional<LinkAccount> answers(String fromRegion) {
    if (fromRegion.equals(region) || limits.link(fromRegion, region).isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        answers.computeIfAbsent(
            fromRegion,
            from ->
                new LinkAccount(
                    (bits, now) -> tryTake(from, region, bits, now), FIRST_ANSWER_BITS)));
  }
}
