package org.corianderweir.logic.limits;

import java.util.Optional;

/**
 * The part of a limit on concurrency that one entry instance may use. A request holds a permit
 * while it runs and releases it at its end. A borrowed permit is only given to a request whose
 * deadline lies before the expiry of the loan, so that no request runs longer than its permit is
 * valid. Thread-safe.
 */
public final class ConcurrencyPermits implements LendableSlice {
  private static final double HEADROOM_PERMITS = 1;

  private final OutstandingLoans lent = new OutstandingLoans();
  private final OutstandingLoans borrowed = new OutstandingLoans();
  private Allowance own = Allowance.NONE;
  private long ownValidUntilNanoseconds = Long.MIN_VALUE;
  private int held;
  private int peakHeld;
  private int unmetRequests;

  /**
   * Acquires a permit for a request if one is available.
   *
   * @param deadlineNanoseconds time by which the request has ended or is cancelled
   * @return whether a permit was acquired
   */
  public synchronized boolean tryAcquire(long deadlineNanoseconds, long nowNanoseconds) {
    if (!isAvailable(deadlineNanoseconds, nowNanoseconds)) {
      unmetRequests++;
      return false;
    }
    held++;
    peakHeld = Math.max(peakHeld, held);
    return true;
  }

  /** Returns whether a permit is available for a request; neither acquires it nor counts this. */
  public synchronized boolean isAvailable(long deadlineNanoseconds, long nowNanoseconds) {
    expire(nowNanoseconds);
    return held + 1 <= availablePermits(deadlineNanoseconds, nowNanoseconds);
  }

  /** Releases the permit of a request that has ended. */
  public synchronized void release() {
    if (held <= 0) {
      throw new IllegalStateException("no permit is held");
    }
    held--;
  }

  /** Returns the number of permits held by running requests. */
  public synchronized int held() {
    return held;
  }

  @Override
  public synchronized void setOwnAllowance(Allowance newOwn, long nowNanoseconds) {
    own = newOwn;
  }

  @Override
  public synchronized void renewOwnAllowance(long validUntilNanoseconds, long nowNanoseconds) {
    ownValidUntilNanoseconds = validUntilNanoseconds;
  }

  @Override
  public synchronized Optional<LoanAmount> lend(
      LoanIdentifier loan, Allowance wanted, long lifetimeNanoseconds, long nowNanoseconds) {
    expire(nowNanoseconds);
    if (lent.contains(loan)) {
      return Optional.empty();
    }
    double granted = Math.min(Math.floor(wanted.capacity()), surplusPermits(nowNanoseconds));
    if (granted < 1) {
      return Optional.empty();
    }
    Allowance allowance = new Allowance(0, granted);
    lent.add(
        loan, allowance, nowNanoseconds + LimitTiming.withClockDriftMargin(lifetimeNanoseconds));
    return Optional.of(new LoanAmount(allowance, 0));
  }

  @Override
  public synchronized boolean borrow(
      LoanIdentifier loan, LoanAmount amount, long expiresNanoseconds, long nowNanoseconds) {
    expire(nowNanoseconds);
    if (expiresNanoseconds <= nowNanoseconds || borrowed.contains(loan)) {
      return false;
    }
    borrowed.add(loan, amount.allowance(), expiresNanoseconds);
    return true;
  }

  /**
   * Returns a loan only if the other permits that are valid for at least as long as the loan
   * suffice for the running requests.
   */
  @Override
  public synchronized Optional<Double> returnBorrowed(LoanIdentifier loan, long nowNanoseconds) {
    expire(nowNanoseconds);
    double lasting = availablePermits(borrowed.expiryOf(loan) - 1, nowNanoseconds);
    double remaining = lasting - borrowed.allowanceOf(loan).capacity();
    if (!borrowed.contains(loan) || held > remaining) {
      return Optional.empty();
    }
    borrowed.remove(loan);
    return Optional.of(0.0);
  }

  @Override
  public synchronized boolean extendBorrowed(
      LoanIdentifier loan, long expiresNanoseconds, long nowNanoseconds) {
    expire(nowNanoseconds);
    return borrowed.extend(loan, expiresNanoseconds);
  }

  @Override
  public synchronized boolean extendLent(
      LoanIdentifier loan, long lifetimeNanoseconds, long nowNanoseconds) {
    expire(nowNanoseconds);
    return nowNanoseconds < ownValidUntilNanoseconds
        && unmetRequests == 0
        && !lent.total().exceeds(own)
        && lent.extend(
            loan, nowNanoseconds + LimitTiming.withClockDriftMargin(lifetimeNanoseconds));
  }

  @Override
  public synchronized void acceptReturn(LoanIdentifier loan, double tokens, long nowNanoseconds) {
    expire(nowNanoseconds);
    lent.remove(loan);
  }

  @Override
  public synchronized Allowance surplus(long nowNanoseconds) {
    expire(nowNanoseconds);
    return new Allowance(0, surplusPermits(nowNanoseconds));
  }

  @Override
  public synchronized DemandBalance measureDemandBalance(long nowNanoseconds) {
    expire(nowNanoseconds);
    double total = availablePermits(nowNanoseconds, nowNanoseconds);
    boolean idle = held == 0 && peakHeld == 0 && unmetRequests == 0;
    double needed = idle ? 0 : Math.max(held, peakHeld) + unmetRequests + HEADROOM_PERMITS;
    peakHeld = held;
    unmetRequests = 0;
    return new DemandBalance(
        new Allowance(0, Math.max(0, needed - total)),
        new Allowance(0, Math.max(0, total - needed)));
  }

  private double surplusPermits(long nowNanoseconds) {
    if (nowNanoseconds >= ownValidUntilNanoseconds) {
      return 0;
    }
    return Math.max(0, own.minus(lent.total()).capacity() - Math.max(held, peakHeld));
  }

  private void expire(long nowNanoseconds) {
    lent.expire(nowNanoseconds);
    borrowed.expire(nowNanoseconds);
  }

  /** Returns the number of permits that are valid until a deadline. */
  private double availablePermits(long deadlineNanoseconds, long nowNanoseconds) {
    boolean ownActive = nowNanoseconds < ownValidUntilNanoseconds;
    double ownPart = ownActive ? own.minus(lent.total()).capacity() : 0;
    return ownPart + borrowed.capacityExpiringAfter(deadlineNanoseconds);
  }
}
