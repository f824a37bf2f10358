package org.corianderweir.logic.limits;

import java.util.Optional;

/**
 * The part of a limit on concurrency that one entry instance may use: permits are held while a
 * request runs and returned after it. A loan of permits covers requests whose deadline lies before
 * its end, so that no request outlives the permit it runs on. Thread-safe.
 */
public final class ConcurrencyPermits implements LendableSlice {
  private static final double RESERVE_PERMITS = 1;

  private final LoanBook lent = new LoanBook();
  private final LoanBook borrowed = new LoanBook();
  private Allowance own = Allowance.NONE;
  private long ownValidUntilNanoseconds = Long.MIN_VALUE;
  private int held;
  private int peak;
  private int waiting;

  /**
   * Takes a permit for a request.
   *
   * @param deadlineNanoseconds time by which the request has ended or is cancelled
   * @return whether there was one
   */
  public synchronized boolean tryAcquire(long deadlineNanoseconds, long nowNanoseconds) {
    expire(nowNanoseconds);
    if (held + 1 > usable(deadlineNanoseconds, nowNanoseconds)) {
      waiting++;
      return false;
    }
    held++;
    peak = Math.max(peak, held);
    return true;
  }

  /** Returns a permit after its request has ended. */
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
  public synchronized void setOwn(Allowance newOwn, long nowNanoseconds) {
    own = newOwn;
  }

  @Override
  public synchronized void renewOwn(long validUntilNanoseconds, long nowNanoseconds) {
    ownValidUntilNanoseconds = validUntilNanoseconds;
  }

  @Override
  public synchronized Optional<Parcel> lend(
      LoanIdentifier loan, Allowance wanted, long lifetimeNanoseconds, long nowNanoseconds) {
    expire(nowNanoseconds);
    if (lent.contains(loan)) {
      return Optional.empty();
    }
    double granted = Math.min(Math.floor(wanted.capacity()), spare(nowNanoseconds));
    if (granted < 1) {
      return Optional.empty();
    }
    Allowance allowance = new Allowance(0, granted);
    lent.add(loan, allowance, nowNanoseconds + LimitTiming.withDrift(lifetimeNanoseconds));
    return Optional.of(new Parcel(allowance, 0));
  }

  @Override
  public synchronized boolean borrow(
      LoanIdentifier loan, Parcel parcel, long expiresNanoseconds, long nowNanoseconds) {
    expire(nowNanoseconds);
    if (expiresNanoseconds <= nowNanoseconds || borrowed.contains(loan)) {
      return false;
    }
    borrowed.add(loan, parcel.allowance(), expiresNanoseconds);
    return true;
  }

  /** Gives a loan back only when the running requests fit into what lasts as long as it. */
  @Override
  public synchronized Optional<Double> giveBack(LoanIdentifier loan, long nowNanoseconds) {
    expire(nowNanoseconds);
    double lasting = usable(borrowed.endOf(loan) - 1, nowNanoseconds);
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
        && waiting == 0
        && !lent.sum().exceeds(own)
        && lent.extend(loan, nowNanoseconds + LimitTiming.withDrift(lifetimeNanoseconds));
  }

  @Override
  public synchronized void takeBack(LoanIdentifier loan, double tokens, long nowNanoseconds) {
    expire(nowNanoseconds);
    lent.remove(loan);
  }

  @Override
  public synchronized Allowance surplus(long nowNanoseconds) {
    expire(nowNanoseconds);
    return new Allowance(0, spare(nowNanoseconds));
  }

  @Override
  public synchronized Position position(long nowNanoseconds) {
    expire(nowNanoseconds);
    double total = usable(nowNanoseconds, nowNanoseconds);
    boolean idle = held == 0 && peak == 0 && waiting == 0;
    double needed = idle ? 0 : Math.max(held, peak) + waiting + RESERVE_PERMITS;
    peak = held;
    waiting = 0;
    return new Position(
        new Allowance(0, Math.max(0, needed - total)),
        new Allowance(0, Math.max(0, total - needed)));
  }

  private double spare(long nowNanoseconds) {
    if (nowNanoseconds >= ownValidUntilNanoseconds) {
      return 0;
    }
    return Math.max(0, own.minus(lent.sum()).capacity() - Math.max(held, peak));
  }

  private void expire(long nowNanoseconds) {
    lent.expire(nowNanoseconds);
    borrowed.expire(nowNanoseconds);
  }

  /** Returns the permits that last until a deadline. */
  private double usable(long deadlineNanoseconds, long nowNanoseconds) {
    boolean ownActive = nowNanoseconds < ownValidUntilNanoseconds;
    double ownPart = ownActive ? own.minus(lent.sum()).capacity() : 0;
    return ownPart + borrowed.capacityUntil(deadlineNanoseconds);
  }
}
