package org.corianderweir.logic.limits;

import java.util.Optional;

/**
 * The token bucket of one limit at one entry instance: its own slice, less what it lent, plus what
 * it borrowed. A loan moves rate and capacity, so at every moment the rates of all instances
 * together are at most the limit's rate and their tokens at most its burst. It refills slower by
 * the clock drift, so that a fast clock admits no excess. Thread-safe.
 */
public final class SliceBucket implements LendableSlice {
  private static final double NANOSECONDS_PER_SECOND = 1e9;
  private static final double RESERVE_FACTOR = 1.05;
  private static final double TOLERANCE = 0.1;
  private static final double OWN_REFILL_SECONDS = 0.05;
  private static final double BACKLOG_SECONDS = 1;
  private static final double LARGEST_DRAIN = 0.5;
  private static final double ROUNDING = 1e-9;

  private final LoanBook lent = new LoanBook();
  private final LoanBook borrowed = new LoanBook();
  private final DemandMeter demand;
  private Allowance own = Allowance.NONE;
  private long ownValidUntilNanoseconds = Long.MIN_VALUE;
  private boolean ownActive;
  private double backlog;
  private double rate;
  private double capacity;
  private double tokens;
  private long updatedNanoseconds;
  private long nextChangeNanoseconds = Long.MAX_VALUE;

  /** Creates a bucket without any allowance. */
  public SliceBucket(long nowNanoseconds) {
    updatedNanoseconds = nowNanoseconds;
    demand = new DemandMeter(nowNanoseconds);
  }

  /** Counts an arrival and takes its tokens if there are enough; allocates nothing. */
  public synchronized boolean tryTake(double amount, long nowNanoseconds) {
    demand.arrived(amount);
    return tryTakeWaiting(amount, nowNanoseconds);
  }

  /** Counts an arrival that does not take its tokens yet. */
  public synchronized void countArrival(double amount) {
    demand.arrived(amount);
  }

  /** Takes tokens for a request that was counted when it arrived. */
  public synchronized boolean tryTakeWaiting(double amount, long nowNanoseconds) {
    advance(nowNanoseconds);
    if (tokens + ROUNDING < amount) {
      return false;
    }
    tokens -= amount;
    return true;
  }

  /** Tells how many tokens the waiting requests need, which raises the demand. */
  public synchronized void setBacklog(double waitingTokens) {
    backlog = waitingTokens;
  }

  @Override
  public synchronized void setOwn(Allowance newOwn, long nowNanoseconds) {
    advance(nowNanoseconds);
    own = newOwn;
    recompute();
  }

  @Override
  public synchronized void renewOwn(long validUntilNanoseconds, long nowNanoseconds) {
    advance(nowNanoseconds);
    ownValidUntilNanoseconds = validUntilNanoseconds;
    ownActive = validUntilNanoseconds > nowNanoseconds;
    recompute();
  }

  @Override
  public synchronized Optional<Parcel> lend(
      LoanIdentifier loan, Allowance wanted, long lifetimeNanoseconds, long nowNanoseconds) {
    advance(nowNanoseconds);
    if (!ownActive || lent.contains(loan)) {
      return Optional.empty();
    }
    Allowance free = own.minus(lent.sum());
    double lentRate = Math.min(wanted.rate(), spareRate(nowNanoseconds));
    double share = free.rate() > 0 ? Math.min(1, lentRate / free.rate()) : 0;
    double moved = Math.min(free.capacity(), tokensToLend(wanted.capacity(), share));
    double lentCapacity = Math.min(free.capacity(), Math.max(share * free.capacity(), moved));
    Allowance granted = new Allowance(lentRate, lentCapacity);
    if (granted.isEmpty()) {
      return Optional.empty();
    }
    tokens -= moved;
    lent.add(loan, granted, nowNanoseconds + LimitTiming.withDrift(lifetimeNanoseconds));
    recompute();
    return Optional.of(new Parcel(granted, moved));
  }

  @Override
  public synchronized boolean borrow(
      LoanIdentifier loan, Parcel parcel, long expiresNanoseconds, long nowNanoseconds) {
    advance(nowNanoseconds);
    if (expiresNanoseconds <= nowNanoseconds || borrowed.contains(loan)) {
      return false;
    }
    borrowed.add(loan, parcel.allowance(), expiresNanoseconds);
    recompute();
    tokens = Math.min(capacity, tokens + parcel.tokens());
    return true;
  }

  @Override
  public synchronized Optional<Double> giveBack(LoanIdentifier loan, long nowNanoseconds) {
    advance(nowNanoseconds);
    double before = tokens;
    if (borrowed.remove(loan).isEmpty()) {
      return Optional.empty();
    }
    recompute();
    return Optional.of(before - tokens);
  }

  @Override
  public synchronized void takeBack(
      LoanIdentifier loan, double returnedTokens, long nowNanoseconds) {
    advance(nowNanoseconds);
    Optional<Allowance> returned = lent.remove(loan);
    if (returned.isEmpty()) {
      return;
    }
    recompute();
    double accepted = Math.min(returnedTokens, returned.get().capacity());
    tokens = Math.min(capacity, tokens + Math.max(0, accepted));
  }

  @Override
  public synchronized boolean extendBorrowed(
      LoanIdentifier loan, long expiresNanoseconds, long nowNanoseconds) {
    advance(nowNanoseconds);
    boolean extended = borrowed.extend(loan, expiresNanoseconds);
    recompute();
    return extended;
  }

  @Override
  public synchronized boolean extendLent(
      LoanIdentifier loan, long lifetimeNanoseconds, long nowNanoseconds) {
    advance(nowNanoseconds);
    boolean inNeed = backlog > 0 && neededRate(nowNanoseconds) > rate;
    if (!ownActive || inNeed || lent.sum().exceeds(own)) {
      return false;
    }
    boolean extended =
        lent.extend(loan, nowNanoseconds + LimitTiming.withDrift(lifetimeNanoseconds));
    recompute();
    return extended;
  }

  /** Returns what can be spent now; demand is not measured. */
  public synchronized Allowance held(long nowNanoseconds) {
    advance(nowNanoseconds);
    return current();
  }

  /** Returns the tokens that can be spent now. */
  public synchronized double available(long nowNanoseconds) {
    advance(nowNanoseconds);
    return tokens;
  }

  @Override
  public synchronized Allowance surplus(long nowNanoseconds) {
    advance(nowNanoseconds);
    return ownActive
        ? new Allowance(spareRate(nowNanoseconds), tokensToLend(tokens, 0))
        : Allowance.NONE;
  }

  @Override
  public synchronized Position position(long nowNanoseconds) {
    advance(nowNanoseconds);
    double needed = neededRate(nowNanoseconds);
    boolean isShort = backlog > 0 || needed > rate * (1 + TOLERANCE);
    double missingRate = isShort ? Math.max(0, needed - rate) : 0;
    double soon = tokens + rate * OWN_REFILL_SECONDS;
    double missingTokens = backlog > 0 && backlog > soon ? backlog - tokens : 0;
    double spareRate = Math.max(0, rate - needed * (1 + TOLERANCE));
    double used = backlog > 0 ? Math.max(1, tokens) : 0;
    double spareCapacity = Math.max(0, capacity - used);
    return new Position(
        new Allowance(missingRate, missingTokens), new Allowance(spareRate, spareCapacity));
  }

  private Allowance current() {
    return new Allowance(rate, capacity);
  }

  private double spareRate(long nowNanoseconds) {
    double free = own.minus(lent.sum()).rate();
    return Math.min(free, Math.max(0, rate - neededRate(nowNanoseconds)));
  }

  /** Tokens go with the rate that is lent; of the rest, all if nobody waits here. */
  private double tokensToLend(double wanted, double share) {
    double withRate = tokens * share;
    double rest = backlog > 0 ? 0 : tokens - withRate;
    return Math.max(0, withRate + Math.min(rest, Math.max(0, wanted - withRate)));
  }

  /** Returns the rate that the demand calls for, with some to work off what waits. */
  private double neededRate(long nowNanoseconds) {
    double arriving = demand.perSecond(nowNanoseconds);
    double drain = Math.min(backlog / BACKLOG_SECONDS, arriving * LARGEST_DRAIN);
    return arriving * RESERVE_FACTOR + drain;
  }

  /** Refills up to the present, ending loans and the own part at their own moments. */
  private void advance(long nowNanoseconds) {
    while (nextChangeNanoseconds <= nowNanoseconds) {
      long change = nextChangeNanoseconds;
      refill(change);
      lent.expire(change);
      borrowed.expire(change);
      if (ownValidUntilNanoseconds <= change) {
        ownActive = false;
      }
      recompute();
    }
    refill(nowNanoseconds);
  }

  private void refill(long untilNanoseconds) {
    long elapsed = untilNanoseconds - updatedNanoseconds;
    if (elapsed <= 0) {
      return;
    }
    double gained = elapsed * rate / (NANOSECONDS_PER_SECOND * (1 + LimitTiming.CLOCK_DRIFT));
    tokens = Math.min(capacity, tokens + gained);
    updatedNanoseconds = untilNanoseconds;
  }

  private void recompute() {
    Allowance active = ownActive ? own.minus(lent.sum()) : Allowance.NONE;
    rate = active.rate() + borrowed.sum().rate();
    capacity = active.capacity() + borrowed.sum().capacity();
    tokens = Math.min(tokens, capacity);
    long next = Math.min(lent.nextEndNanoseconds(), borrowed.nextEndNanoseconds());
    nextChangeNanoseconds = ownActive ? Math.min(next, ownValidUntilNanoseconds) : next;
  }
}
